//! Decides when no work that a drain covers can still run or arrive at the target.

use std::collections::{BTreeMap, BTreeSet};

use super::Config;
use crate::{clock::Moment, id};

/// Work at a target according to its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Load {
    /// Number of running and queued requests.
    pub requests: u64,
    /// Earliest time at which the number may have been measured.
    pub measured_at: Moment,
}

/// Confirmations that the holder of a group's lease has received for one drain.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Barrier {
    started: Moment,
    /// Hosts to wait for, each with the arrival of its confirmation.
    hosts: BTreeMap<id::Host, Option<Moment>>,
}

impl Barrier {
    /// Creates a barrier; `started` is the arrival of the answer that showed the drain in the
    /// group's row.
    pub fn new(started: Moment) -> Barrier {
        Barrier { started, hosts: BTreeMap::new() }
    }

    /// Adds hosts to wait for.
    ///
    /// A host that is missing from later calls still has to confirm the drain, until the bound of
    /// [`Barrier::passed_at`] is reached.
    pub fn add_hosts(&mut self, hosts: &BTreeSet<id::Host>) {
        for host in hosts {
            self.hosts.entry(host.clone()).or_default();
        }
    }

    /// Records that a host has seen the drain and has no work at the target.
    pub fn host_drained(&mut self, host: &id::Host, received: Moment) {
        let confirmed = self.hosts.entry(host.clone()).or_default();
        confirmed.get_or_insert(received);
    }

    /// Returns the hosts that have not confirmed the drain.
    pub fn pending_hosts(&self) -> impl Iterator<Item = &id::Host> {
        self.hosts.iter().filter(|(_, it)| it.is_none()).map(|(host, _)| host)
    }

    /// Returns the time from which no request that the drain covers can arrive; `None` while that
    /// time is unknown or in the future.
    ///
    /// That is the arrival of the last host's confirmation, but at the latest the bound by which
    /// every host has either seen the drain or stopped sending because its view is too old. As long
    /// as no host was added, it is the bound.
    pub fn passed_at(&self, now: Moment, config: &Config) -> Option<Moment> {
        let bound = self.started + config.max_view_age + config.clock_drift + config.send_window;
        let confirmations: Option<Vec<Moment>> = self.hosts.values().copied().collect();
        let passed_at = match confirmations {
            Some(confirmations) if !confirmations.is_empty() => {
                confirmations.into_iter().max().unwrap_or(bound)
            }
            _ => bound,
        };
        (passed_at.min(bound) <= now).then_some(passed_at.min(bound))
    }

    /// Returns whether an order may be sent: the barrier has passed and a later measurement shows
    /// no work at the target.
    pub fn is_complete(&self, now: Moment, config: &Config, load: Load) -> bool {
        let Some(passed_at) = self.passed_at(now, config) else { return false };
        load.requests == 0 && passed_at < load.measured_at
    }
}
