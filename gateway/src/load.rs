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
struct PeerReport {
    at: Moment,
    work: HashMap<id::Target, Work>,
}

/// Time after which a grant that its host never reported is taken as lost.
const GRANT_TTL: Duration = Duration::from_millis(150);

/// Work that was granted to a host and that it has not reported yet.
#[derive(Debug, Clone)]
struct Grant {
    number: u64,
    at: Moment,
    work: Vec<(Key, Work)>,
}

/// Work under way, by target.
#[derive(Debug)]
pub struct Tracker {
    report_ttl: Duration,
    own: SecondaryMap<Key, Work>,
    changed: HashSet<Key>,
    reports: HashMap<id::Host, PeerReport>,
    grants: HashMap<id::Host, VecDeque<Grant>>,
    last_grant: u64,
}

impl Tracker {
    /// Creates an empty board that forgets what a peer told after `memory`.
    pub fn new(report_ttl: Duration) -> Tracker {
        Tracker {
            report_ttl,
            own: SecondaryMap::new(),
            changed: HashSet::new(),
            reports: HashMap::new(),
            grants: HashMap::new(),
            last_grant: 0,
        }
    }

    /// Counts work that is being sent.
    pub fn add(&mut self, key: Key, added: Work) {
        if let Some(entry) = self.own.entry(key) {
            let work = entry.or_default();
            *work = work.plus(added);
            self.changed.insert(key);
        }
    }

    /// Takes off work that ended.
    pub fn remove(&mut self, key: Key, ended: Work) {
        if let Some(work) = self.own.get_mut(key) {
            work.requests = work.requests.saturating_sub(ended.requests);
            work.prompt_tokens = work.prompt_tokens.saturating_sub(ended.prompt_tokens);
            work.memory_tokens = work.memory_tokens.saturating_sub(ended.memory_tokens);
            self.changed.insert(key);
        }
    }

    /// Forgets a target.
    pub fn forget_target(&mut self, key: Key) {
        self.own.remove(key);
        self.changed.remove(&key);
    }

    /// Takes the targets at which this host's own work changed.
    pub fn take_changed(&mut self) -> HashSet<Key> {
        std::mem::take(&mut self.changed)
    }

    /// Notes work that is granted to a host and returns the grant's number.
    pub fn record_grant(&mut self, host: id::Host, work: Vec<(Key, Work)>, now: Moment) -> u64 {
        self.last_grant += 1;
        let grant = Grant { number: self.last_grant, at: now, work };
        self.grants.entry(host).or_default().push_back(grant);
        self.last_grant
    }

    /// Notes that a host's own count includes its grants up to a number.
    pub fn acknowledge_grants(&mut self, host: &id::Host, number: u64) {
        if let Some(grants) = self.grants.get_mut(host) {
            grants.retain(|it| number < it.number);
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
        let fresh = self.reports.values().filter(|it| now < it.at + self.report_ttl);
        let reports = fresh.filter_map(|it| it.work.get(target)).copied();
        let grants = self.grants.values().flatten().filter(|it| now < it.at + GRANT_TTL);
        let grants = grants.flat_map(|it| &it.work).filter(|(it, _)| *it == key);
        reports.chain(grants.map(|(_, work)| *work)).fold(self.own(key), Work::plus)
    }

    /// Takes over all that a peer has under way.
    pub fn replace_peer(&mut self, host: id::Host, work: HashMap<id::Target, Work>, now: Moment) {
        self.reports.insert(host, PeerReport { at: now, work });
    }

    /// Takes over what changed at a peer.
    pub fn update_peer(&mut self, host: &id::Host, work: Vec<(id::Target, Work)>, now: Moment) {
        let reports = match self.reports.get_mut(host) {
            Some(reports) => reports,
            None => self
                .reports
                .entry(host.clone())
                .or_insert(PeerReport { at: now, work: HashMap::new() }),
        };
        reports.at = now;
        reports.work.extend(work);
    }

    /// Forgets a peer, and grants that were lost on the way.
    pub fn forget_peer(&mut self, host: &id::Host) {
        self.reports.remove(host);
        self.grants.remove(host);
    }

    /// Forgets the grants that were never reported.
    pub fn expire_grants(&mut self, now: Moment) {
        for grants in self.grants.values_mut() {
            grants.retain(|it| now < it.at + GRANT_TTL);
        }
    }
}
