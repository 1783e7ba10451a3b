//! Work that this host and its peers have under way at each target.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::registry::Key;
use fuchsiaknot_core::{clock::Moment, id};

/// Work under way at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests sent and not yet answered to the end.
    pub requests: u32,
    /// Prompt tokens sent and not yet read, as [`crate::engine::Times::effort`] counts them.
    pub prompt_tokens: u64,
    /// Tokens that the requests take in the target's memory once they are generated.
    pub memory_tokens: u64,
}

impl Work {
    /// Returns the sum with other work.
    pub fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests + other.requests,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }
}

/// What one host has under way, as it tells the others.
#[derive(Debug, Clone)]
struct Told {
    at: Moment,
    work: HashMap<id::Target, Work>,
}

/// Time after which a grant that its host never reported is taken as lost.
const GRANT_TIME: Duration = Duration::from_millis(150);

/// Work that was granted to a host and that it has not reported yet.
#[derive(Debug, Clone)]
struct Granted {
    number: u64,
    at: Moment,
    work: Vec<(Key, Work)>,
}

/// Work under way, by target.
#[derive(Debug)]
pub struct Board {
    memory: Duration,
    own: SecondaryMap<Key, Work>,
    changed: HashSet<Key>,
    told: HashMap<id::Host, Told>,
    granted: HashMap<id::Host, VecDeque<Granted>>,
    grants: u64,
}

impl Board {
    /// Creates an empty board that forgets what a peer told after `memory`.
    pub fn new(memory: Duration) -> Board {
        Board {
            memory,
            own: SecondaryMap::new(),
            changed: HashSet::new(),
            told: HashMap::new(),
            granted: HashMap::new(),
            grants: 0,
        }
    }

    /// Counts work that is being sent.
    pub fn begin(&mut self, key: Key, added: Work) {
        if let Some(entry) = self.own.entry(key) {
            let work = entry.or_default();
            *work = work.plus(added);
            self.changed.insert(key);
        }
    }

    /// Takes off work that ended.
    pub fn end(&mut self, key: Key, ended: Work) {
        if let Some(work) = self.own.get_mut(key) {
            work.requests = work.requests.saturating_sub(ended.requests);
            work.prompt_tokens = work.prompt_tokens.saturating_sub(ended.prompt_tokens);
            work.memory_tokens = work.memory_tokens.saturating_sub(ended.memory_tokens);
            self.changed.insert(key);
        }
    }

    /// Forgets a target.
    pub fn forget(&mut self, key: Key) {
        self.own.remove(key);
        self.changed.remove(&key);
    }

    /// Takes the targets at which this host's own work changed.
    pub fn take_changed(&mut self) -> HashSet<Key> {
        std::mem::take(&mut self.changed)
    }

    /// Notes work that is granted to a host and returns the grant's number.
    pub fn grant(&mut self, host: id::Host, work: Vec<(Key, Work)>, now: Moment) -> u64 {
        self.grants += 1;
        let granted = Granted { number: self.grants, at: now, work };
        self.granted.entry(host).or_default().push_back(granted);
        self.grants
    }

    /// Notes that a host's own count includes its grants up to a number.
    pub fn seen(&mut self, host: &id::Host, number: u64) {
        if let Some(granted) = self.granted.get_mut(host) {
            granted.retain(|it| number < it.number);
        }
    }

    /// Returns this host's own work at a target.
    pub fn own(&self, key: Key) -> Work {
        self.own.get(key).copied().unwrap_or_default()
    }

    /// Returns this host's own work at every target that has any.
    pub fn all_own(&self) -> impl Iterator<Item = (Key, Work)> {
        self.own.iter().filter(|(_, it)| 0 < it.requests).map(|(key, work)| (key, *work))
    }

    /// Returns the work of all hosts at a target.
    pub fn total(&self, key: Key, target: &id::Target, now: Moment) -> Work {
        let fresh = self.told.values().filter(|it| now < it.at + self.memory);
        let told = fresh.filter_map(|it| it.work.get(target)).copied();
        let granted = self.granted.values().flatten().filter(|it| now < it.at + GRANT_TIME);
        let granted = granted.flat_map(|it| &it.work).filter(|(it, _)| *it == key);
        told.chain(granted.map(|(_, work)| *work)).fold(self.own(key), Work::plus)
    }

    /// Takes over all that a peer has under way.
    pub fn hear(&mut self, host: id::Host, work: HashMap<id::Target, Work>, now: Moment) {
        self.told.insert(host, Told { at: now, work });
    }

    /// Takes over what changed at a peer.
    pub fn hear_changes(&mut self, host: &id::Host, work: Vec<(id::Target, Work)>, now: Moment) {
        let told = match self.told.get_mut(host) {
            Some(told) => told,
            None => self.told.entry(host.clone()).or_insert(Told { at: now, work: HashMap::new() }),
        };
        told.at = now;
        told.work.extend(work);
    }

    /// Forgets a peer, and grants that were lost on the way.
    pub fn lost(&mut self, host: &id::Host) {
        self.told.remove(host);
        self.granted.remove(host);
    }

    /// Forgets the grants that were never reported.
    pub fn expire(&mut self, now: Moment) {
        for granted in self.granted.values_mut() {
            granted.retain(|it| now < it.at + GRANT_TIME);
        }
    }
}
