//! Condition under which nothing covered by a drain can run at the target any more.

use std::collections::{BTreeMap, BTreeSet};

use super::Config;
use crate::{clock::Moment, id};

/// What a target's report says of its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Load {
    /// Requests that run or wait at the target.
    pub requests: u64,
    /// Lower bound of the moment at which the figures were taken.
    pub taken_at: Moment,
}

/// Progress of one drain as its holder knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Barrier {
    begun: Moment,
    hosts: BTreeMap<id::Host, Option<Moment>>,
}

impl Barrier {
    /// Starts the barrier; `begun` is when the answer that showed the drain as stored arrived.
    pub fn new(begun: Moment) -> Barrier {
        Barrier { begun, hosts: BTreeMap::new() }
    }

    /// Adds hosts to wait for. A host that leaves the list is still waited for until the bound.
    pub fn expect(&mut self, hosts: &BTreeSet<id::Host>) {
        for host in hosts {
            self.hosts.entry(host.clone()).or_default();
        }
    }

    /// Notes that a host has seen the drain and has nothing at the target.
    pub fn answered(&mut self, host: &id::Host, received: Moment) {
        let answer = self.hosts.entry(host.clone()).or_default();
        answer.get_or_insert(received);
    }

    /// Returns the hosts that have not answered.
    pub fn waiting(&self) -> impl Iterator<Item = &id::Host> {
        self.hosts.iter().filter(|(_, it)| it.is_none()).map(|(host, _)| host)
    }

    /// Returns the moment from which no host sends anything that the drain covers, once it is past.
    pub fn passed(&self, now: Moment, config: &Config) -> Option<Moment> {
        let bound = self.begun + config.freshness + config.drift + config.send_window;
        let answers: Option<Vec<Moment>> = self.hosts.values().copied().collect();
        let passed = match answers {
            Some(answers) if !answers.is_empty() => answers.into_iter().max().unwrap_or(bound),
            _ => bound,
        };
        (passed.min(bound) <= now).then_some(passed.min(bound))
    }

    /// Returns whether an order may follow.
    pub fn complete(&self, now: Moment, config: &Config, load: Load) -> bool {
        let Some(passed) = self.passed(now, config) else { return false };
        load.requests == 0 && passed < load.taken_at
    }
}
