//! Known targets, according to the last read of the store.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::targets::{
    target::Target,
    tombstone::{self, Tombstones},
};
use fuchsiaknot_core::{clock::Moment, id};

/// Interval at which targets announce themselves, unless the deployment names another one.
const DEFAULT_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

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
    /// The entry is gone.
    Removed(id::Target),
    /// The entry does not describe a target; another writer may have replaced it.
    Unreadable(id::Target),
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
    /// A target that left is listed again in the same run, and not used yet.
    Withheld(Key, id::Target),
}

/// Known targets, by key, ID and service.
#[derive(Debug)]
pub struct Registry {
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<id::Target, Key>,
    by_service: HashMap<id::Service, Vec<Key>>,
    tombstones: Tombstones,
    /// Time until which what the store lost, when it came back from a copy, may be written again;
    /// `None` once the entries were current at that time.
    unsettled_until: Option<Moment>,
}

/// Why a target that is listed is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Withholding {
    /// The store came back from a copy, and may have lost the target's removal.
    UntilSettled,
    /// The announcement may have been sent before the target left.
    UntilProven,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    /// Time at which the announcement was read.
    announced_at: Moment,
    /// Time at which a target that is missing from the store is removed; `None` while it is listed.
    missing_until: Option<Moment>,
    /// Why the target is not used although it is listed, if so.
    withheld: Option<Withholding>,
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
        Registry::with_announcement_interval(DEFAULT_ANNOUNCEMENT_INTERVAL)
    }

    /// Creates an empty registry of targets that announce themselves at this interval.
    pub fn with_announcement_interval(interval: Duration) -> Registry {
        Registry {
            entries: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            tombstones: Tombstones::new(interval),
            unsettled_until: None,
        }
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
            Change::Removed(id) => match self.by_id.get(&id) {
                Some(key) => self.mark_missing(*key, reannounce_deadline, now),
                None => {
                    self.tombstones.record_removal(&id, now);
                    None
                }
            },
            Change::Unreadable(id) => {
                let key = *self.by_id.get(&id)?;
                let event = self.mark_missing(key, reannounce_deadline, now);
                if event.is_some() {
                    self.tombstones.record_replacement(&id);
                }
                event
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
        self.tombstones.expire(now);
        self.remove_missing(now, now, |it| !it.draining)
    }

    /// Adds targets that were removed before but are still listed when the removal would have been
    /// written again, or when a late write would have expired, and removes draining targets that are
    /// still missing.
    ///
    /// `current_at` is a time at which the entries were current. Time alone does not suffice: a
    /// removal may be on its way, or an announcement from before a target drained.
    pub fn settle(&mut self, current_at: Moment, now: Moment) -> Vec<Event> {
        let mut events = self.remove_missing(current_at, now, |it| it.draining);
        match self.unsettled_until {
            None => {
                events.extend(self.adopt_rivals(current_at, now));
                events.extend(self.release_living(current_at));
                return events;
            }
            Some(until) if current_at < until => return events,
            Some(_) => {}
        }
        self.unsettled_until = None;
        for (key, entry) in &mut self.entries {
            if entry.withheld == Some(Withholding::UntilSettled) && entry.missing_until.is_none() {
                entry.withheld = None;
                self.tombstones.forget(&entry.target.id);
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

    /// Returns the tombstones up to this age.
    pub fn tombstones(&self, max_age: Duration, now: Moment) -> Vec<tombstone::Report> {
        self.tombstones.reports(max_age, now)
    }

    /// Adds the tombstones of other hosts, and withholds the targets that they concern.
    pub fn restore_tombstones(&mut self, reports: &[tombstone::Report], now: Moment) -> Vec<Event> {
        reports.iter().filter_map(|it| self.restore_tombstone(it, now)).collect()
    }

    fn restore_tombstone(&mut self, report: &tombstone::Report, now: Moment) -> Option<Event> {
        let Some(key) = self.by_id.get(&report.run.target).copied() else {
            self.tombstones.restore(report, now);
            return None;
        };
        let target = self.entries.get(key)?.target.clone();
        let is_known_to_drain = target.draining && report.run.incarnation == target.incarnation;
        let is_earlier_run = report.run.incarnation < target.incarnation;
        if is_known_to_drain || is_earlier_run || !self.tombstones.restore(report, now) {
            return None;
        }
        let withheld = self.withholding(&target);
        if withheld.is_none() {
            self.tombstones.forget(&target.id);
            return None;
        }
        let before = std::mem::replace(&mut self.entries.get_mut(key)?.withheld, withheld);
        before.is_none().then_some(Event::Withheld(key, target.id))
    }

    fn upsert(&mut self, target: Target, now: Moment) -> Option<Event> {
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
                return self.update(key, target, now);
            }
            self.remove(key);
        }
        let withheld = self.withholding(&target);
        let (id, service) = (target.id.clone(), target.service.clone());
        if target.draining {
            self.tombstones.record(&target, now, now);
        } else if withheld.is_none() {
            self.tombstones.forget(&id);
        }
        let draining = target.draining;
        let entry = Entry { target, announced_at: now, missing_until: None, withheld, rival: None };
        let key = self.entries.insert(entry);
        self.by_id.insert(id.clone(), key);
        self.by_service.entry(service).or_default().push(key);
        Some(match (withheld, draining) {
            (Some(_), _) => Event::Withheld(key, id),
            (None, true) => Event::Draining(key, id),
            (None, false) => Event::Added(key, id),
        })
    }

    /// Replaces the announcement of a run by a newer one.
    fn update(&mut self, key: Key, target: Target, now: Moment) -> Option<Event> {
        let withheld = self.withholding(&target);
        let entry = self.entries.get_mut(key)?;
        let newly_draining = target.draining && !entry.target.draining;
        let newly_used = entry.withheld.is_some() && withheld.is_none();
        let id = target.id.clone();
        entry.missing_until = None;
        entry.announced_at = now;
        entry.target = target;
        if newly_used {
            entry.withheld = None;
        }
        if newly_draining {
            self.tombstones.record(&entry.target, now, now);
        } else if entry.withheld.is_none() && !entry.target.draining {
            self.tombstones.forget(&id);
        }
        match (newly_draining, newly_used) {
            (true, _) => Some(Event::Draining(key, id)),
            (false, true) => Some(Event::Added(key, id)),
            (false, false) => None,
        }
    }

    /// Returns why a target with this announcement is not used; `None` if it is, or is draining.
    fn withholding(&self, target: &Target) -> Option<Withholding> {
        if target.draining {
            return None;
        }
        if self.unsettled_until.is_some() && self.tombstones.is_superseded(target) {
            return Some(Withholding::UntilSettled);
        }
        self.tombstones.is_gone(target).then_some(Withholding::UntilProven)
    }

    /// Uses targets that were withheld and have stayed listed for so long that they are alive.
    fn release_living(&mut self, current_at: Moment) -> Vec<Event> {
        let mut events = Vec::new();
        for (key, entry) in &mut self.entries {
            let id = &entry.target.id;
            if entry.withheld == Some(Withholding::UntilProven)
                && entry.missing_until.is_none()
                && self.tombstones.is_proven_alive(id, current_at)
            {
                entry.withheld = None;
                self.tombstones.forget(id);
                events.push(Event::Added(key, id.clone()));
            }
        }
        events
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
        let Entry { target, announced_at, withheld, .. } = self.entries.get(key)?;
        // The run of a withheld target is already remembered.
        if withheld.is_none() {
            self.tombstones.record(target, *announced_at, now);
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

impl Default for Registry {
    fn default() -> Registry {
        Registry::new()
    }
}

impl Entry {
    /// Returns whether the target accepts new requests.
    fn is_usable(&self) -> bool {
        !self.target.draining && self.withheld.is_none()
    }
}

/// Returns whether an announcement is older than the known one of the same run.
fn is_older(target: &Target, known: &Target) -> bool {
    target.incarnation == known.incarnation && target.sequence < known.sequence
}
