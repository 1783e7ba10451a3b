//! Known targets, according to the last read of the store.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::target::Target;
use fuchsiaknot_core::{clock::Moment, id};

/// Time for which a removed target is remembered; a copy from which the store comes back is some
/// seconds old.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

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
    /// A target that was removed is listed with an announcement from before, and not used yet.
    Withheld(Key, id::Target),
}

/// Known targets, by key, ID and service.
#[derive(Debug, Default)]
pub struct Registry {
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<id::Target, Key>,
    by_service: HashMap<id::Service, Vec<Key>>,
    departures: HashMap<id::Target, Departure>,
}

/// The last announcement of a target that was removed.
#[derive(Debug)]
struct Departure {
    incarnation: Option<id::Incarnation>,
    sequence: u64,
    removed_at: Moment,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    /// Time at which a target that is missing from the store is removed; `None` while it is listed.
    missing_until: Option<Moment>,
    /// Time until which the target is not used, because its announcement may be that of a copy from
    /// before it was removed; `None` once it is used.
    withheld_until: Option<Moment>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Registry {
        Registry::default()
    }

    /// Replaces all targets by those in the store.
    ///
    /// A target that is missing is kept until `reannounce_deadline`: its entry may have expired
    /// during an outage of the store, or be lost with it, and the target may announce itself again.
    /// One that was removed, and comes back with an announcement from before, is not used until then:
    /// the store may have come back from a copy, and the removal may be written again.
    pub fn replace(
        &mut self,
        targets: Vec<Target>,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Vec<Event> {
        let listed: HashMap<id::Target, ()> =
            targets.iter().map(|it| (it.id.clone(), ())).collect();
        let upsert = |it| self.upsert(it, reannounce_deadline, now);
        let mut events: Vec<Event> = targets.into_iter().filter_map(upsert).collect();
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
            Change::Announced(target) => self.upsert(target, reannounce_deadline, now),
            Change::Removed(id) => {
                let key = *self.by_id.get(&id)?;
                self.mark_missing(key, reannounce_deadline, now)
            }
        }
    }

    /// Removes targets whose entries expired in an outage and that did not announce themselves in
    /// time, and adds those that are still listed although they were removed before.
    pub fn expire(&mut self, now: Moment) -> Vec<Event> {
        self.departures.retain(|_, it| now < it.removed_at + DEPARTURE_TTL);
        let is_due = |until: Option<Moment>| until.is_some_and(|it| it <= now);
        let gone: Vec<Key> = self
            .entries
            .iter()
            .filter_map(|(key, it)| is_due(it.missing_until).then_some(key))
            .collect();
        let mut events: Vec<Event> =
            gone.into_iter().filter_map(|key| self.depart(key, now)).collect();
        for (key, entry) in &mut self.entries {
            if is_due(entry.withheld_until) {
                entry.withheld_until = None;
                self.departures.remove(&entry.target.id);
                events.push(Event::Added(key, entry.target.id.clone()));
            }
        }
        events
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
        self.entries.get(key).filter(|it| it.is_usable()).map(|_| key)
    }

    /// Returns the targets of a service that accept new requests.
    pub fn usable<'a>(&'a self, service: &str) -> impl Iterator<Item = (Key, &'a Target)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let entries = keys.iter().filter_map(|key| Some((*key, self.entries.get(*key)?)));
        entries.filter(|(_, it)| it.is_usable()).map(|(key, it)| (key, &it.target))
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn upsert(
        &mut self,
        target: Target,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Option<Event> {
        let departure = self.departures.get(&target.id);
        let is_withheld = now < reannounce_deadline
            && !target.draining
            && departure.is_some_and(|it| !it.is_older_than(&target));
        let withheld_until = is_withheld.then_some(reannounce_deadline);
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
                let newly_used = entry.withheld_until.is_some() && !is_withheld;
                let id = target.id.clone();
                entry.target = target;
                if newly_used {
                    entry.withheld_until = None;
                    self.departures.remove(&id);
                }
                return match (newly_draining, newly_used) {
                    (true, _) => Some(Event::Draining(key, id)),
                    (false, true) => Some(Event::Added(key, id)),
                    (false, false) => None,
                };
            }
            self.remove(key);
        }
        let (id, service) = (target.id.clone(), target.service.clone());
        let draining = target.draining;
        let key = self.entries.insert(Entry { target, missing_until: None, withheld_until });
        self.by_id.insert(id.clone(), key);
        self.by_service.entry(service).or_default().push(key);
        if is_withheld {
            return Some(Event::Withheld(key, id));
        }
        self.departures.remove(&id);
        Some(if draining { Event::Draining(key, id) } else { Event::Added(key, id) })
    }

    fn mark_missing(
        &mut self,
        key: Key,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Option<Event> {
        let entry = self.entries.get_mut(key)?;
        if reannounce_deadline <= now {
            return self.depart(key, now);
        }
        entry.missing_until = Some(reannounce_deadline);
        None
    }

    /// Removes a target that is gone, and remembers its last announcement.
    fn depart(&mut self, key: Key, now: Moment) -> Option<Event> {
        let Entry { target, withheld_until, .. } = self.entries.get(key)?;
        // That of a withheld target is no newer than the one already remembered.
        if withheld_until.is_none() {
            let departure = Departure {
                incarnation: target.incarnation,
                sequence: target.sequence,
                removed_at: now,
            };
            self.departures.insert(target.id.clone(), departure);
        }
        self.remove(key)
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

impl Entry {
    /// Returns whether the target accepts new requests.
    fn is_usable(&self) -> bool {
        !self.target.draining && self.withheld_until.is_none()
    }
}

impl Departure {
    /// Returns whether an announcement was made after this one.
    fn is_older_than(&self, target: &Target) -> bool {
        (self.incarnation, self.sequence) < (target.incarnation, target.sequence)
    }
}

/// Returns whether an announcement is older than the known one.
fn is_older(target: &Target, known: &Target) -> bool {
    let same_run = target.incarnation == known.incarnation;
    target.incarnation < known.incarnation || (same_run && target.sequence < known.sequence)
}
