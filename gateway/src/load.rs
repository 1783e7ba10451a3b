//! Work in flight at each target, of this host and its peers.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::registry::Key;
use fuchsiaknot_core::{clock::Moment, id};

/// Work in flight at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests sent and not yet completed.
    pub requests: u32,
    /// Prompt tokens sent and not yet prefilled, as counted by
    /// [`crate::engine::LatencyModel::weighted_tokens`].
    pub prompt_tokens: u64,
    /// KV cache memory that the requests take once their answers are complete, in tokens.
    pub kv_tokens: u64,
}

impl Work {
    /// Returns the sum of both.
    pub fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests + other.requests,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            kv_tokens: self.kv_tokens + other.kv_tokens,
        }
    }
}

/// Work in flight of a peer, as last reported.
#[derive(Debug, Clone)]
struct PeerReport {
    received_at: Moment,
    work: HashMap<id::Target, Work>,
}

/// Time after which a grant that its host didn't acknowledge counts as lost.
const GRANT_TTL: Duration = Duration::from_millis(150);

/// Work that was granted to a host and is not yet in its reports.
#[derive(Debug, Clone)]
struct Grant {
    number: u64,
    granted_at: Moment,
    work: Vec<(Key, Work)>,
}

/// Work in flight, by target.
#[derive(Debug)]
pub struct Tracker {
    report_ttl: Duration,
    /// Work of this host.
    own: SecondaryMap<Key, Work>,
    /// Targets at which this host's work changed since the last report.
    changed: HashSet<Key>,
    /// Work of the peers.
    reports: HashMap<id::Host, PeerReport>,
    /// Grants that are not in the peers' reports yet, oldest first.
    grants: HashMap<id::Host, VecDeque<Grant>>,
    /// Number of the last grant.
    last_grant: u64,
}

impl Tracker {
    /// Creates an empty tracker that ignores the reports of a peer silent for `report_ttl`.
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

    /// Adds work that this host sends to a target.
    pub fn add(&mut self, key: Key, added: Work) {
        if let Some(entry) = self.own.entry(key) {
            let work = entry.or_default();
            *work = work.plus(added);
            self.changed.insert(key);
        }
    }

    /// Subtracts completed work of this host.
    pub fn remove(&mut self, key: Key, ended: Work) {
        if let Some(work) = self.own.get_mut(key) {
            work.requests = work.requests.saturating_sub(ended.requests);
            work.prompt_tokens = work.prompt_tokens.saturating_sub(ended.prompt_tokens);
            work.kv_tokens = work.kv_tokens.saturating_sub(ended.kv_tokens);
            self.changed.insert(key);
        }
    }

    /// Removes this host's work at a target.
    pub fn forget_target(&mut self, key: Key) {
        self.own.remove(key);
        self.changed.remove(&key);
    }

    /// Returns the targets at which this host's own work changed since the last call.
    pub fn take_changed(&mut self) -> HashSet<Key> {
        std::mem::take(&mut self.changed)
    }

    /// Records work granted to a host, and returns the number of the grant.
    pub fn record_grant(&mut self, host: id::Host, work: Vec<(Key, Work)>, now: Moment) -> u64 {
        self.last_grant += 1;
        let grant = Grant { number: self.last_grant, granted_at: now, work };
        self.grants.entry(host).or_default().push_back(grant);
        self.last_grant
    }

    /// Drops the grants to a host up to `number`, which its reports now include.
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
        let fresh = self.reports.values().filter(|it| now < it.received_at + self.report_ttl);
        let reported = fresh.filter_map(|it| it.work.get(target)).copied();
        let grants = self.grants.values().flatten().filter(|it| now < it.granted_at + GRANT_TTL);
        let granted = grants.flat_map(|it| &it.work).filter(|(it, _)| *it == key);
        reported.chain(granted.map(|(_, work)| *work)).fold(self.own(key), Work::plus)
    }

    /// Replaces the work of a peer by a full report.
    pub fn replace_peer(&mut self, host: id::Host, work: HashMap<id::Target, Work>, now: Moment) {
        self.reports.insert(host, PeerReport { received_at: now, work });
    }

    /// Updates the work of a peer by a report of changes.
    pub fn update_peer(&mut self, host: &id::Host, work: Vec<(id::Target, Work)>, now: Moment) {
        let report = match self.reports.get_mut(host) {
            Some(report) => report,
            None => self
                .reports
                .entry(host.clone())
                .or_insert(PeerReport { received_at: now, work: HashMap::new() }),
        };
        report.received_at = now;
        report.work.extend(work);
    }

    /// Removes the reports of a peer and the grants to it.
    pub fn forget_peer(&mut self, host: &id::Host) {
        self.reports.remove(host);
        self.grants.remove(host);
    }

    /// Drops the grants that were not acknowledged in time.
    pub fn expire_grants(&mut self, now: Moment) {
        for grants in self.grants.values_mut() {
            grants.retain(|it| now < it.granted_at + GRANT_TTL);
        }
    }
}
