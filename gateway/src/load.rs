//! Work that this host and its peers have under way at each target.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::registry::Key;
use fuchsiaknot_core::{clock::Moment, id};

/// Work under way at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests sent and not yet answered to the end.
    pub requests: u32,
    /// Prompt tokens sent and not yet read, as far as the sender knows.
    pub prompt_tokens: u64,
    /// Tokens that the requests take in the target's memory once they are generated.
    pub memory_tokens: u64,
}

impl Work {
    fn plus(self, other: Work) -> Work {
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

/// Work under way, by target.
#[derive(Debug)]
pub struct Board {
    memory: Duration,
    own: SecondaryMap<Key, Work>,
    told: HashMap<id::Host, Told>,
}

impl Board {
    /// Creates an empty board that forgets what a peer told after `memory`.
    pub fn new(memory: Duration) -> Board {
        Board { memory, own: SecondaryMap::new(), told: HashMap::new() }
    }

    /// Counts work that is being sent.
    pub fn begin(&mut self, key: Key, added: Work) {
        if let Some(entry) = self.own.entry(key) {
            let work = entry.or_default();
            *work = work.plus(added);
        }
    }

    /// Takes off work that ended.
    pub fn end(&mut self, key: Key, ended: Work) {
        if let Some(work) = self.own.get_mut(key) {
            work.requests = work.requests.saturating_sub(ended.requests);
            work.prompt_tokens = work.prompt_tokens.saturating_sub(ended.prompt_tokens);
            work.memory_tokens = work.memory_tokens.saturating_sub(ended.memory_tokens);
        }
    }

    /// Forgets a target.
    pub fn forget(&mut self, key: Key) {
        self.own.remove(key);
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
        let told = fresh.filter_map(|it| it.work.get(target));
        told.fold(self.own(key), |sum, it| sum.plus(*it))
    }

    /// Takes over what a peer has under way.
    pub fn hear(&mut self, host: id::Host, work: HashMap<id::Target, Work>, now: Moment) {
        self.told.insert(host, Told { at: now, work });
    }

    /// Forgets a peer.
    pub fn lost(&mut self, host: &id::Host) {
        self.told.remove(host);
    }
}
