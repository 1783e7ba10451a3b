//! Whether this host reaches the targets at all, from the outcomes of its new connections.
//!
//! A host that is cut off from all targets must not be confused with targets that crash or fall
//! silent. Only new connections count: a target that sends nothing for a second still accepts them,
//! and old connections may outlive a cut. Until connections to several targets have failed and none
//! has been established since, the host counts as connected.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fuchsiaknot_core::clock::Moment;

use crate::targets::registry::Key;

/// Number of targets to which connections must fail, one after the other, before the host counts as
/// cut off.
const MIN_FAILED: usize = 5;
/// Number of targets that must accept connections before it counts as connected again; at least as
/// many as fail, since a host that reaches a few targets only serves better through others.
const MIN_RESTORED: usize = 2;
/// Time for which a connection counts for this.
const OUTCOME_TTL: Duration = Duration::from_secs(1);
/// Number of failed targets from which on others are probed.
const SUSPICIOUS_FAILED: usize = 2;
/// Targets probed at once on a suspicion.
const PROBES: usize = 4;
/// Time in which no target sends anything, while it should, after which one is probed.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// A change of the host's reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No target is reachable.
    CutOff,
    /// Targets are reachable again.
    Restored,
}

/// Outcome of a connection to a target.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    is_connected: bool,
    at: Moment,
}

/// Reachability of the targets from this host.
#[derive(Debug, Default)]
pub struct Tracker {
    is_cut_off: bool,
    /// Targets to which a connection failed since the last one that was established.
    failed: BTreeSet<Key>,
    /// Latest connection to each target while the host is cut off.
    outcomes: BTreeMap<Key, Outcome>,
    /// Targets that refused a connection, not yet reported to the dispatcher.
    refused: Vec<Key>,
}

impl Tracker {
    /// Returns whether no target is reachable.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records a new connection to one of `target_count` targets that accept requests.
    pub fn record_connected(
        &mut self,
        key: Key,
        target_count: usize,
        now: Moment,
    ) -> Option<Change> {
        self.failed.clear();
        if !self.is_cut_off {
            return None;
        }
        self.outcomes.insert(key, Outcome { is_connected: true, at: now });
        self.outcomes.retain(|_, it| now < it.at + OUTCOME_TTL);
        let connected = self.outcomes.values().filter(|it| it.is_connected).count();
        let failed = self.outcomes.len() - connected;
        if connected < failed.max(MIN_RESTORED.min(target_count)) {
            return None;
        }
        self.is_cut_off = false;
        self.outcomes.clear();
        Some(Change::Restored)
    }

    /// Records that one of `target_count` targets that accept requests could not be connected to.
    pub fn record_failed(&mut self, key: Key, target_count: usize, now: Moment) -> Option<Change> {
        self.failed.insert(key);
        if self.is_cut_off {
            self.outcomes.insert(key, Outcome { is_connected: false, at: now });
            return None;
        }
        if target_count == 0 || self.failed.len() < MIN_FAILED.min(target_count) {
            return None;
        }
        self.is_cut_off = true;
        let outcome = Outcome { is_connected: false, at: now };
        self.outcomes = self.failed.iter().map(|key| (*key, outcome)).collect();
        self.refused.clear();
        Some(Change::CutOff)
    }

    /// Records that a target refused a connection. It is reported once another connection shows that
    /// this is due to the target, not to this host's links.
    pub fn record_refused(&mut self, key: Key) {
        if !self.is_cut_off && !self.refused.contains(&key) {
            self.refused.push(key);
        }
    }

    /// Returns the refusals to report after a connection was established.
    pub fn take_refused(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.refused)
    }

    /// Returns the number of targets to probe now, preferably others than the failed ones.
    ///
    /// `silence` is the time since a target last sent anything or accepted a connection; `None` if
    /// no target has work of this host.
    pub fn due_probes(&self, silence: Option<Duration>) -> usize {
        let is_silent = silence.is_some_and(|it| MAX_SILENCE <= it);
        let suspicious = if is_silent { 1 } else { SUSPICIOUS_FAILED };
        if self.is_cut_off || suspicious <= self.failed.len() {
            return PROBES;
        }
        usize::from(is_silent)
    }

    /// Returns whether a connection to a target failed since the last one that was established.
    pub fn has_failed(&self, key: Key) -> bool {
        self.failed.contains(&key)
    }

    /// Drops the state of a target that left the registry.
    pub fn forget(&mut self, key: Key) {
        self.failed.remove(&key);
        self.outcomes.remove(&key);
        self.refused.retain(|it| *it != key);
    }
}
