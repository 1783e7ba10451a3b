//! Which requests are suspected of crashing targets, and where they may be tried again.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    clock::Moment,
    crash::{Crash, Record},
    id,
};

/// Runs of targets that a request may crash before it is refused.
const CRASHES: usize = 2;
/// Suspects that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// What is known of a request before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing.
    Clear,
    /// One target died while it ran the request, as did others' requests.
    Suspect,
    /// More than one target died while it ran the request; it is refused until then.
    Refused {
        /// Time until the refusal ends.
        remaining: Duration,
    },
}

#[derive(Debug, Clone)]
struct Suspect {
    record: Record,
    noted: Moment,
    until: Moment,
}

/// Suspected requests as this host knows them.
#[derive(Debug)]
pub struct Suspects {
    memory: Duration,
    known: HashMap<id::Fingerprint, Suspect>,
    /// Targets on which this host tries a suspect, and which.
    trials: HashMap<id::Target, id::Fingerprint>,
    /// Targets on which other hosts try suspects, and until when that is assumed.
    foreign: HashMap<id::Target, Moment>,
}

impl Suspects {
    /// Creates an empty record that forgets a suspect after `memory` without a new crash.
    pub fn new(memory: Duration) -> Suspects {
        Suspects { memory, known: HashMap::new(), trials: HashMap::new(), foreign: HashMap::new() }
    }

    /// Returns what is known of a request.
    pub fn check(&self, fingerprint: id::Fingerprint, now: Moment) -> Suspicion {
        match self.known.get(&fingerprint) {
            Some(suspect) if now < suspect.until => {
                if suspect.record.crashes.len() < CRASHES {
                    return Suspicion::Suspect;
                }
                Suspicion::Refused { remaining: suspect.until - now }
            }
            _ => Suspicion::Clear,
        }
    }

    /// Notes crashes of a request; returns whether any was new.
    pub fn learn(&mut self, fingerprint: id::Fingerprint, record: &Record, now: Moment) -> bool {
        if self.known.get(&fingerprint).is_some_and(|it| it.until <= now) {
            self.known.remove(&fingerprint);
        }
        self.make_room(fingerprint, now);
        let fresh = Suspect { record: Record::default(), noted: now, until: now };
        let suspect = self.known.entry(fingerprint).or_insert(fresh);
        let before = suspect.record.crashes.len();
        suspect.record.crashes.extend(record.crashes.iter().cloned());
        let is_new = before < suspect.record.crashes.len();
        suspect.noted = now;
        if is_new {
            suspect.until = now + self.memory;
        }
        is_new
    }

    /// Notes one crash of a request; returns whether it was new.
    pub fn crashed(&mut self, fingerprint: id::Fingerprint, crash: Crash, now: Moment) -> bool {
        self.learn(fingerprint, &Record { crashes: [crash].into() }, now)
    }

    /// Returns the crashes of a request that are known and not forgotten.
    pub fn record(&self, fingerprint: id::Fingerprint, now: Moment) -> Record {
        match self.known.get(&fingerprint) {
            Some(suspect) if now < suspect.until => suspect.record.clone(),
            _ => Record::default(),
        }
    }

    /// Clears a suspect that ran to its end and returns what was held against it; `None` when it was
    /// no suspect. A refused request stays refused.
    pub fn completed(&mut self, fingerprint: id::Fingerprint, now: Moment) -> Option<Record> {
        if self.check(fingerprint, now) != Suspicion::Suspect {
            return None;
        }
        self.known.remove(&fingerprint).map(|it| it.record)
    }

    /// Forgets the suspects noted before `since` that are not among `shared` any more.
    pub fn retain(&mut self, shared: &HashSet<id::Fingerprint>, since: Moment) {
        self.known.retain(|key, it| since <= it.noted || shared.contains(key));
    }

    /// Returns whether a suspect may be tried on a target now, and reserves the target if so.
    ///
    /// A target tries one suspect at a time, so that its death tells which of them was the cause.
    pub fn begin_trial(&mut self, fingerprint: id::Fingerprint, target: &id::Target) -> bool {
        if self.trials.contains_key(target) {
            return false;
        }
        self.trials.insert(target.clone(), fingerprint);
        true
    }

    /// Ends the trial of a suspect on a target.
    pub fn end_trial(&mut self, fingerprint: id::Fingerprint, target: &id::Target) {
        if self.trials.get(target) == Some(&fingerprint) {
            self.trials.remove(target);
        }
    }

    /// Notes that another host tries a suspect on a target.
    pub fn avoid(&mut self, target: &id::Target, until: Moment) {
        self.foreign.insert(target.clone(), until);
    }

    /// Returns the targets on which a suspect must not be tried now.
    pub fn taken(&mut self, fingerprint: id::Fingerprint, now: Moment) -> HashSet<id::Target> {
        self.foreign.retain(|_, until| now < *until);
        let others = self.trials.iter().filter(|(_, holder)| **holder != fingerprint);
        let others = others.map(|(target, _)| target);
        others.chain(self.foreign.keys()).cloned().collect()
    }

    /// Removes the suspects whose time is over and returns them.
    pub fn expire(&mut self, now: Moment) -> HashMap<id::Fingerprint, Record> {
        let over = self.known.extract_if(|_, it| it.until <= now);
        over.map(|(fingerprint, it)| (fingerprint, it.record)).collect()
    }

    fn make_room(&mut self, fingerprint: id::Fingerprint, now: Moment) {
        if self.known.len() < MAX_SUSPECTS || self.known.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        if self.known.len() < MAX_SUSPECTS {
            return;
        }
        let first = self.known.iter().min_by_key(|(_, it)| (it.record.crashes.len(), it.until));
        if let Some(oldest) = first.map(|(key, _)| *key) {
            self.known.remove(&oldest);
        }
    }
}
