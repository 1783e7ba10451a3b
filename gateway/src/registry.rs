//! Known targets, according to the last read of the store.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::target::Target;
use fuchsiaknot_core::{clock::Moment, id};

slotmap::new_key_type! {
    /// Key of a target in the registry; a new incarnation of a target gets a new key.
    pub struct Key;
}

/// A change of an entry in the store's table of targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A target announced itself or updated its announcement.
    Announced(Target),
    /// The entry is gone or no longer describes a usable target.
    Removed(id::Target),
}

/// A change in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A target was added and accepts requests.
    Added(Key, id::Target),
    /// A target accepts no new requests.
    Draining(Key, id::Target),
    /// A target was removed.
    Removed(Key, id::Target),
}

/// Known targets, by key, ID and service.
#[derive(Debug, Default)]
pub struct Registry {
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<id::Target, Key>,
    by_service: HashMap<id::Service, Vec<Key>>,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    /// Time at which a target that is missing from the store is removed; `None` while it is listed.
    missing_until: Option<Moment>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Registry {
        Registry::default()
    }

    /// Replaces all targets by those in the store.
    ///
    /// A target that is missing is kept until `reannounce_deadline`: its entry may have expired
    /// during an outage of the store, and the target may announce itself again.
    pub fn replace(
        &mut self,
        targets: Vec<Target>,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Vec<Event> {
        let listed: HashMap<id::Target, ()> =
            targets.iter().map(|it| (it.id.clone(), ())).collect();
        let mut events: Vec<Event> = targets.into_iter().filter_map(|it| self.upsert(it)).collect();
        let missing: Vec<Key> = self
            .entries
            .iter()
            .filter_map(|(key, entry)| (!listed.contains_key(&entry.target.id)).then_some(key))
            .collect();
        for key in missing {
            events.extend(self.mark_missing(key, reannounce_deadline, now));
        }
        events
    }

    /// Applies one change; `reannounce_deadline` as in [`Registry::replace`].
    pub fn apply(
        &mut self,
        change: Change,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Option<Event> {
        match change {
            Change::Announced(target) => self.upsert(target),
            Change::Removed(id) => {
                let key = *self.by_id.get(&id)?;
                self.mark_missing(key, reannounce_deadline, now)
            }
        }
    }

    /// Removes targets whose entries expired in an outage and that did not announce themselves in
    /// time.
    pub fn expire(&mut self, now: Moment) -> Vec<Event> {
        let expired = |entry: &Entry| entry.missing_until.is_some_and(|until| until <= now);
        let gone: Vec<Key> =
            self.entries.iter().filter(|(_, it)| expired(it)).map(|(key, _)| key).collect();
        gone.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Returns a target.
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.entries.get(key).map(|it| &it.target)
    }

    /// Returns the key of a target.
    pub fn key(&self, id: &id::Target) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Returns the key of a target if it accepts new requests according to this host's own state,
    /// which may be newer than that of the host that named the target.
    pub fn usable_key(&self, id: &id::Target) -> Option<Key> {
        let key = self.key(id)?;
        self.get(key).filter(|it| !it.draining).map(|_| key)
    }

    /// Returns the targets of a service that accept new requests.
    pub fn usable<'a>(&'a self, service: &str) -> impl Iterator<Item = (Key, &'a Target)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let targets = keys.iter().filter_map(|key| Some((*key, self.get(*key)?)));
        targets.filter(|(_, it)| !it.draining)
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn upsert(&mut self, target: Target) -> Option<Event> {
        if let Some(key) = self.by_id.get(&target.id).copied() {
            let entry = self.entries.get_mut(key)?;
            if is_older(&target, &entry.target) {
                return None;
            }
            let same_run = entry.target.incarnation == target.incarnation
                && entry.target.address == target.address
                && entry.target.service == target.service;
            if same_run {
                entry.missing_until = None;
                let newly_draining = target.draining && !entry.target.draining;
                entry.target = target;
                return newly_draining
                    .then(|| Event::Draining(key, self.entries[key].target.id.clone()));
            }
            self.remove(key);
        }
        let (id, service) = (target.id.clone(), target.service.clone());
        let draining = target.draining;
        let key = self.entries.insert(Entry { target, missing_until: None });
        self.by_id.insert(id.clone(), key);
        self.by_service.entry(service).or_default().push(key);
        Some(if draining { Event::Draining(key, id) } else { Event::Added(key, id) })
    }

    fn mark_missing(
        &mut self,
        key: Key,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Option<Event> {
        let entry = self.entries.get_mut(key)?;
        if reannounce_deadline <= now || entry.target.draining {
            return self.remove(key);
        }
        entry.missing_until = Some(reannounce_deadline);
        None
    }

    fn remove(&mut self, key: Key) -> Option<Event> {
        let entry = self.entries.remove(key)?;
        let target = entry.target;
        if self.by_id.get(&target.id) == Some(&key) {
            self.by_id.remove(&target.id);
        }
        if let Some(keys) = self.by_service.get_mut(&target.service) {
            keys.retain(|it| *it != key);
        }
        Some(Event::Removed(key, target.id))
    }
}

/// Returns whether an announcement is older than the known one.
fn is_older(target: &Target, known: &Target) -> bool {
    let same_run = target.incarnation == known.incarnation;
    target.incarnation < known.incarnation || (same_run && target.sequence < known.sequence)
}
