//! Work in flight at each target, of this host and its peers.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::targets::registry::Key;
use fuchsiaknot_core::{clock::Moment, id};

/// Work in flight at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests sent and not yet completed.
    pub requests: u32,
    /// Prompt tokens sent and not yet prefilled, as counted by
    /// [`crate::placement::engine::LatencyModel::weighted_tokens`].
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

    /// Returns the difference of both; 0 instead of negative counts.
    pub fn minus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_sub(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            kv_tokens: self.kv_tokens.saturating_sub(other.kv_tokens),
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
///
/// The sums over all hosts are updated with each report and grant, so that reading the work at a
/// target takes the same time however many hosts there are.
#[derive(Debug)]
pub struct Tracker {
    report_ttl: Duration,
    /// Work of this host.
    own: SecondaryMap<Key, Work>,
    /// Targets at which this host's work changed since the last report.
    changed: HashSet<Key>,
    /// Work of the peers.
    reports: HashMap<id::Host, PeerReport>,
    /// Sum of the work in `reports`.
    reported: HashMap<id::Target, Work>,
    /// Grants that are not in the peers' reports yet, oldest first.
    grants: HashMap<id::Host, VecDeque<Grant>>,
    /// Sum of the work in `grants`.
    granted: SecondaryMap<Key, Work>,
    /// Number of the last grant.
    last_grant: u64,
}

impl Tracker {
    /// Creates an empty tracker that drops the reports of a peer silent for `report_ttl`.
    pub fn new(report_ttl: Duration) -> Tracker {
        Tracker {
            report_ttl,
            own: SecondaryMap::new(),
            changed: HashSet::new(),
            reports: HashMap::new(),
            reported: HashMap::new(),
            grants: HashMap::new(),
            granted: SecondaryMap::new(),
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
            *work = work.minus(ended);
            self.changed.insert(key);
        }
    }

    /// Removes this host's work at a target, and the grants there.
    pub fn forget_target(&mut self, key: Key) {
        self.own.remove(key);
        self.granted.remove(key);
        self.changed.remove(&key);
    }

    /// Returns the targets at which this host's own work changed since the last call.
    pub fn take_changed(&mut self) -> HashSet<Key> {
        std::mem::take(&mut self.changed)
    }

    /// Records work granted to a host, and returns the number of the grant.
    pub fn record_grant(&mut self, host: id::Host, work: Vec<(Key, Work)>, now: Moment) -> u64 {
        self.last_grant += 1;
        for (key, work) in &work {
            if let Some(entry) = self.granted.entry(*key) {
                let sum = entry.or_default();
                *sum = sum.plus(*work);
            }
        }
        let grant = Grant { number: self.last_grant, granted_at: now, work };
        self.grants.entry(host).or_default().push_back(grant);
        self.last_grant
    }

    /// Drops the grants to a host up to `number`, which its reports now include.
    pub fn acknowledge_grants(&mut self, host: &id::Host, number: u64) {
        self.drop_grants(host, |it| it.number <= number);
    }

    /// Drops the first grants to a host, as long as they meet a condition.
    fn drop_grants(&mut self, host: &id::Host, is_done: impl Fn(&Grant) -> bool) {
        let Some(grants) = self.grants.get_mut(host) else { return };
        while let Some(grant) = grants.pop_front_if(|it| is_done(it)) {
            for (key, work) in grant.work {
                if let Some(sum) = self.granted.get_mut(key) {
                    *sum = sum.minus(work);
                }
            }
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

    /// Returns the work of all hosts at a target, as of the last call of [`Tracker::expire`].
    pub fn total(&self, key: Key, target: &id::Target) -> Work {
        let reported = self.reported.get(target).copied().unwrap_or_default();
        let granted = self.granted.get(key).copied().unwrap_or_default();
        self.own(key).plus(reported).plus(granted)
    }

    /// Replaces the work of a peer by a full report.
    pub fn replace_peer(&mut self, host: id::Host, work: HashMap<id::Target, Work>, now: Moment) {
        self.drop_report(&host);
        for (target, work) in &work {
            add_reported(&mut self.reported, target, *work);
        }
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
        for (target, work) in work {
            add_reported(&mut self.reported, &target, work);
            if let Some(before) = report.work.insert(target.clone(), work) {
                subtract_reported(&mut self.reported, &target, before);
            }
        }
    }

    /// Removes the reports of a peer and the grants to it.
    pub fn forget_peer(&mut self, host: &id::Host) {
        self.drop_report(host);
        self.drop_grants(host, |_| true);
        self.grants.remove(host);
    }

    fn drop_report(&mut self, host: &id::Host) {
        for (target, work) in self.reports.remove(host).into_iter().flat_map(|it| it.work) {
            subtract_reported(&mut self.reported, &target, work);
        }
    }

    /// Drops the reports of silent peers, and the grants that were not acknowledged in time.
    pub fn expire(&mut self, now: Moment) {
        let is_silent = |it: &PeerReport| it.received_at + self.report_ttl <= now;
        let silent = self.reports.iter().filter(|(_, it)| is_silent(it));
        let silent: Vec<id::Host> = silent.map(|(host, _)| host.clone()).collect();
        for host in silent {
            self.drop_report(&host);
        }
        let is_lost = |it: &Grant| it.granted_at + GRANT_TTL <= now;
        let with_lost = self.grants.iter().filter(|(_, it)| it.front().is_some_and(is_lost));
        let with_lost: Vec<id::Host> = with_lost.map(|(host, _)| host.clone()).collect();
        for host in with_lost {
            self.drop_grants(&host, is_lost);
        }
    }
}

fn add_reported(reported: &mut HashMap<id::Target, Work>, target: &id::Target, work: Work) {
    match reported.get_mut(target) {
        Some(sum) => *sum = sum.plus(work),
        None => drop(reported.insert(target.clone(), work)),
    }
}

fn subtract_reported(reported: &mut HashMap<id::Target, Work>, target: &id::Target, work: Work) {
    let Some(sum) = reported.get_mut(target) else { return };
    *sum = sum.minus(work);
    if *sum == Work::default() {
        reported.remove(target);
    }
}
