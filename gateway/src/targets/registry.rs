//! Known targets, according to the last read of the store.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::targets::target::Target;
use fuchsiaknot_core::{clock::Moment, id};

/// Time for which the run of a removed target is remembered; a copy from which the store comes back
/// is some seconds old.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// Time for which the run of a target with the latest start may announce itself again after another
/// run did; a target writes its entry every second or so.
const RIVAL_TIME: Duration = Duration::from_secs(5);

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
    /// A target that was removed is listed again in the same run, and not used yet.
    Withheld(Key, id::Target),
}

/// Known targets, by key, ID and service.
#[derive(Debug, Default)]
pub struct Registry {
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<id::Target, Key>,
    by_service: HashMap<id::Service, Vec<Key>>,
    departures: HashMap<id::Target, Departure>,
    /// Time until which what the store lost, when it came back from a copy, may be written again;
    /// `None` once the entries were current at that time.
    unsettled_until: Option<Moment>,
}

/// Run of a target that was removed. Its last announcement may be newer than the last known one.
#[derive(Debug)]
struct Departure {
    incarnation: Option<id::Incarnation>,
    removed_at: Moment,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    /// Time at which a target that is missing from the store is removed; `None` while it is listed.
    missing_until: Option<Moment>,
    /// Whether the target is not used because its announcement may be from before it was removed.
    withheld: bool,
    /// Announcement of a run with an earlier start, since the last one of this run: a late one, or the
    /// clock of the target's machine was set back.
    rival: Option<Rival>,
}

#[derive(Debug)]
struct Rival {
    target: Target,
    announced_at: Moment,
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
    pub fn replace(
        &mut self,
        targets: Vec<Target>,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Vec<Event> {
        // A later outage gives the writers more time.
        self.unsettled_until = self.unsettled_until.map(|it| it.max(reannounce_deadline));
        let listed: HashMap<id::Target, ()> =
            targets.iter().map(|it| (it.id.clone(), ())).collect();
        let mut events: Vec<Event> =
            targets.into_iter().filter_map(|it| self.upsert(it, now)).collect();
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
            Change::Announced(target) => self.upsert(target, now),
            Change::Removed(id) => {
                let key = *self.by_id.get(&id)?;
                self.mark_missing(key, reannounce_deadline, now)
            }
        }
    }

    /// Records that the store came back from a copy; what it lost may be written again until
    /// `reannounce_deadline`.
    ///
    /// A target that was removed, and is listed again in the same run, is not used until
    /// [`Registry::settle`]: its removal may be among what was lost.
    pub fn unsettle(&mut self, reannounce_deadline: Moment) {
        self.unsettled_until = self.unsettled_until.max(Some(reannounce_deadline));
        for entry in self.entries.values_mut() {
            entry.missing_until = entry.missing_until.map(|it| it.max(reannounce_deadline));
        }
    }

    /// Removes targets whose entries expired in an outage and that did not announce themselves in
    /// time. Draining ones stay until [`Registry::settle`].
    pub fn expire(&mut self, now: Moment) -> Vec<Event> {
        self.departures.retain(|_, it| now < it.removed_at + DEPARTURE_TTL);
        self.remove_missing(now, now, |it| !it.draining)
    }

    /// Adds targets that were removed before but are still listed when the removal would have been
    /// written again, and removes draining targets that are still missing.
    ///
    /// `current_at` is a time at which the entries were current. Time alone does not suffice: a
    /// removal may be on its way, or an announcement from before a target drained.
    pub fn settle(&mut self, current_at: Moment, now: Moment) -> Vec<Event> {
        let mut events = self.remove_missing(current_at, now, |it| it.draining);
        match self.unsettled_until {
            None => {
                events.extend(self.adopt_rivals(current_at, now));
                return events;
            }
            Some(until) if current_at < until => return events,
            Some(_) => {}
        }
        self.unsettled_until = None;
        for (key, entry) in &mut self.entries {
            if entry.withheld && entry.missing_until.is_none() {
                entry.withheld = false;
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

    /// Returns all known targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|it| &it.target)
    }

    /// Returns the targets of all services that accept new requests.
    pub fn all_usable(&self) -> impl Iterator<Item = Key> {
        self.entries.iter().filter(|(_, it)| it.is_usable()).map(|(key, _)| key)
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn upsert(&mut self, target: Target, now: Moment) -> Option<Event> {
        let departure = self.departures.get(&target.id);
        let withheld = self.unsettled_until.is_some()
            && !target.draining
            && departure.is_some_and(|it| target.incarnation <= it.incarnation);
        if let Some(key) = self.by_id.get(&target.id).copied() {
            let entry = self.entries.get_mut(key)?;
            if target.incarnation < entry.target.incarnation {
                let announced_at = match &entry.rival {
                    Some(it) if it.target.incarnation == target.incarnation => it.announced_at,
                    _ => now,
                };
                entry.rival = Some(Rival { target, announced_at });
                // Listed, if not in this run.
                entry.missing_until = None;
                return None;
            }
            entry.rival = None;
            if is_older(&target, &entry.target) {
                return None;
            }
            let same_run = entry.target.incarnation == target.incarnation
                && entry.target.address == target.address
                && entry.target.service == target.service;
            if same_run {
                entry.missing_until = None;
                let newly_draining = target.draining && !entry.target.draining;
                let newly_used = entry.withheld && !withheld;
                let id = target.id.clone();
                entry.target = target;
                if newly_used {
                    entry.withheld = false;
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
        let entry = Entry { target, missing_until: None, withheld, rival: None };
        let key = self.entries.insert(entry);
        self.by_id.insert(id.clone(), key);
        self.by_service.entry(service).or_default().push(key);
        if withheld {
            return Some(Event::Withheld(key, id));
        }
        self.departures.remove(&id);
        Some(if draining { Event::Draining(key, id) } else { Event::Added(key, id) })
    }

    /// Replaces runs that have not announced themselves for [`RIVAL_TIME`] since another one did.
    fn adopt_rivals(&mut self, current_at: Moment, now: Moment) -> Vec<Event> {
        let is_due = |it: &Rival| it.announced_at + RIVAL_TIME <= current_at;
        let entries = self.entries.iter();
        let due = entries.filter(|(_, it)| it.rival.as_ref().is_some_and(is_due));
        let keys: Vec<Key> = due.map(|(key, _)| key).collect();
        let mut events = Vec::new();
        for key in keys {
            let rival = self.entries.get_mut(key).and_then(|it| it.rival.take());
            let Some(rival) = rival else { continue };
            events.extend(self.remove(key));
            events.extend(self.upsert(rival.target, now));
        }
        events
    }

    fn mark_missing(
        &mut self,
        key: Key,
        reannounce_deadline: Moment,
        now: Moment,
    ) -> Option<Event> {
        let entry = self.entries.get_mut(key)?;
        entry.rival = None;
        if reannounce_deadline <= now {
            return self.depart(key, now);
        }
        entry.missing_until = Some(reannounce_deadline);
        None
    }

    /// Removes the selected targets that have been missing for too long at `at`.
    fn remove_missing(
        &mut self,
        at: Moment,
        now: Moment,
        select: impl Fn(&Target) -> bool,
    ) -> Vec<Event> {
        let is_due = |it: &Entry| it.missing_until.is_some_and(|until| until <= at);
        let entries = self.entries.iter().filter(|(_, it)| is_due(it) && select(&it.target));
        let gone: Vec<Key> = entries.map(|(key, _)| key).collect();
        gone.into_iter().filter_map(|key| self.depart(key, now)).collect()
    }

    /// Removes a target that is gone, and remembers its run.
    fn depart(&mut self, key: Key, now: Moment) -> Option<Event> {
        let Entry { target, withheld, .. } = self.entries.get(key)?;
        // The run of a withheld target is already remembered.
        if !withheld {
            let departure = Departure { incarnation: target.incarnation, removed_at: now };
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
        !self.target.draining && !self.withheld
    }
}

/// Returns whether an announcement is older than the known one of the same run.
fn is_older(target: &Target, known: &Target) -> bool {
    target.incarnation == known.incarnation && target.sequence < known.sequence
}
