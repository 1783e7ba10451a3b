//! Requests suspected of crashing targets, and the targets on which they may be retried.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    clock::Moment,
    crash::{Crash, Record},
    id,
};

/// Number of crashes at which a request is refused.
const REFUSAL_THRESHOLD: usize = 2;
/// Maximum number of suspects that a host keeps.
const MAX_SUSPECTS: usize = 4_096;

/// Whether a request may be sent, judged by its recorded crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No crash is recorded.
    Clear,
    /// One target died while running this request among others.
    Suspect,
    /// More than one target died while running the request, so it is refused for a time.
    Refused {
        /// Time until the refusal ends.
        remaining: Duration,
    },
}

#[derive(Debug, Clone)]
struct Suspect {
    record: Record,
    updated: Moment,
    expires: Moment,
}

/// Suspects that this host knows of, and the targets on which suspects are being tried.
#[derive(Debug)]
pub struct Suspects {
    retention: Duration,
    entries: HashMap<id::Fingerprint, Suspect>,
    /// Targets on which this host is trying a suspect, with the suspect.
    local_trials: HashMap<id::Target, id::Fingerprint>,
    /// Targets on which other hosts are trying suspects, with the time until which that is assumed.
    remote_trials: HashMap<id::Target, Moment>,
}

impl Suspects {
    /// Creates an empty set; a suspect expires when it has had no new crash for `retention`.
    pub fn new(retention: Duration) -> Suspects {
        Suspects {
            retention,
            entries: HashMap::new(),
            local_trials: HashMap::new(),
            remote_trials: HashMap::new(),
        }
    }

    /// Returns whether a request may be sent.
    pub fn status(&self, fingerprint: id::Fingerprint, now: Moment) -> Status {
        match self.entries.get(&fingerprint) {
            Some(suspect) if now < suspect.expires => {
                if suspect.record.crashes.len() < REFUSAL_THRESHOLD {
                    return Status::Suspect;
                }
                Status::Refused { remaining: suspect.expires - now }
            }
            _ => Status::Clear,
        }
    }

    /// Adds crashes to those known of a request; returns whether any was new.
    pub fn merge(&mut self, fingerprint: id::Fingerprint, record: &Record, now: Moment) -> bool {
        if self.entries.get(&fingerprint).is_some_and(|it| it.expires <= now) {
            self.entries.remove(&fingerprint);
        }
        self.evict_if_full(fingerprint, now);
        let empty = Suspect { record: Record::default(), updated: now, expires: now };
        let suspect = self.entries.entry(fingerprint).or_insert(empty);
        let known_crashes = suspect.record.crashes.len();
        suspect.record.crashes.extend(record.crashes.iter().cloned());
        let is_new = known_crashes < suspect.record.crashes.len();
        suspect.updated = now;
        if is_new {
            suspect.expires = now + self.retention;
        }
        is_new
    }

    /// Records one crash of a request; returns whether it was new.
    pub fn record_crash(
        &mut self,
        fingerprint: id::Fingerprint,
        crash: Crash,
        now: Moment,
    ) -> bool {
        self.merge(fingerprint, &Record { crashes: [crash].into() }, now)
    }

    /// Returns the known crashes of a request; empty once they have expired.
    pub fn record(&self, fingerprint: id::Fingerprint, now: Moment) -> Record {
        match self.entries.get(&fingerprint) {
            Some(suspect) if now < suspect.expires => suspect.record.clone(),
            _ => Record::default(),
        }
    }

    /// Removes a suspect that ran to completion and returns its record; `None` when the request was
    /// no suspect. A refused request stays refused.
    pub fn record_completion(
        &mut self,
        fingerprint: id::Fingerprint,
        now: Moment,
    ) -> Option<Record> {
        if self.status(fingerprint, now) != Status::Suspect {
            return None;
        }
        self.entries.remove(&fingerprint).map(|it| it.record)
    }

    /// Removes the suspects last updated before `since` that are no longer among `shared`.
    pub fn retain_shared(&mut self, shared: &HashSet<id::Fingerprint>, since: Moment) {
        self.entries.retain(|key, it| since <= it.updated || shared.contains(key));
    }

    /// Reserves a target for trying a suspect; returns false when it is already reserved.
    ///
    /// A target tries one suspect at a time, so that a crash identifies the request that caused it.
    pub fn begin_trial(&mut self, fingerprint: id::Fingerprint, target: &id::Target) -> bool {
        if self.local_trials.contains_key(target) {
            return false;
        }
        self.local_trials.insert(target.clone(), fingerprint);
        true
    }

    /// Ends the trial of a suspect on a target.
    pub fn end_trial(&mut self, fingerprint: id::Fingerprint, target: &id::Target) {
        if self.local_trials.get(target) == Some(&fingerprint) {
            self.local_trials.remove(target);
        }
    }

    /// Records that another host is trying a suspect on a target, assumed until `until`.
    pub fn record_remote_trial(&mut self, target: &id::Target, until: Moment) {
        self.remote_trials.insert(target.clone(), until);
    }

    /// Returns the targets on which other suspects are being tried.
    pub fn targets_on_trial(
        &mut self,
        fingerprint: id::Fingerprint,
        now: Moment,
    ) -> HashSet<id::Target> {
        self.remote_trials.retain(|_, until| now < *until);
        let others = self.local_trials.iter().filter(|(_, suspect)| **suspect != fingerprint);
        let others = others.map(|(target, _)| target);
        others.chain(self.remote_trials.keys()).cloned().collect()
    }

    /// Removes the expired suspects and returns their records.
    pub fn remove_expired(&mut self, now: Moment) -> HashMap<id::Fingerprint, Record> {
        let expired = self.entries.extract_if(|_, it| it.expires <= now);
        expired.map(|(fingerprint, it)| (fingerprint, it.record)).collect()
    }

    fn evict_if_full(&mut self, fingerprint: id::Fingerprint, now: Moment) {
        if self.entries.len() < MAX_SUSPECTS || self.entries.contains_key(&fingerprint) {
            return;
        }
        self.remove_expired(now);
        if self.entries.len() < MAX_SUSPECTS {
            return;
        }
        let weakest =
            self.entries.iter().min_by_key(|(_, it)| (it.record.crashes.len(), it.expires));
        if let Some(evicted) = weakest.map(|(key, _)| *key) {
            self.entries.remove(&evicted);
        }
    }
}
