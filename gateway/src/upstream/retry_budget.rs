//! Retry budget of a service in a sliding window.
//!
//! The bound holds for all hosts together, also while hosts restart or are partitioned. To need no
//! coordination, each host limits itself to the ratio of its own requests plus an equal share of
//! the slack. Its earlier run may have spent that share already, so a process has no slack in the
//! first window of its life.

use std::{collections::VecDeque, time::Duration};

use fuchsiaknot_core::clock::Moment;

/// Number of slices per window; more slices approximate the sliding window more closely.
const WINDOW_SLICES: u32 = 10;
/// Share of the bound that is used, so that the bound holds for retries in flight while the number
/// of hosts changes.
const SAFETY_FACTOR: f64 = 0.7;

/// Bound on the retries towards one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window regardless of the number of requests.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Retry budget of one service on one host.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    /// Start of this host's process.
    started_at: Moment,
    slices: VecDeque<Slice>,
}

/// What this host has counted in the current window, and what it may take in all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests of callers.
    pub requests: u32,
    /// Retries taken.
    pub retries: u32,
    /// Retries that this host may take in the window.
    pub allowed: f64,
}

/// Counts of a part of the window.
#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Moment,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Creates a budget with an empty window on a host whose process started at `started_at`.
    pub fn new(config: Config, started_at: Moment) -> Budget {
        Budget { config, started_at, slices: VecDeque::new() }
    }

    /// Changes the bound and keeps the counts.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Counts a request of a caller, not a retry.
    pub fn count_request(&mut self, now: Moment) {
        self.current_slice(now).requests += 1;
    }

    /// Takes this many retries, or none if this host's share of the budget does not permit all of
    /// them; `hosts` is the number of hosts that share the slack.
    pub fn try_take(&mut self, count: u32, hosts: usize, now: Moment) -> bool {
        let permits = self.permits(count, hosts, now);
        if permits {
            self.current_slice(now).retries += count;
        }
        permits
    }

    /// Returns whether this host's share of the budget permits this many retries; `hosts` is the
    /// number of hosts that share the slack.
    pub fn permits(&mut self, count: u32, hosts: usize, now: Moment) -> bool {
        let usage = self.usage(hosts, now);
        count == 0 || f64::from(usage.retries + count) <= usage.allowed
    }

    /// Returns the counts of the current window and this host's share of the budget; `hosts` is the
    /// number of hosts that share the slack.
    pub fn usage(&mut self, hosts: usize, now: Moment) -> Usage {
        self.current_slice(now);
        let window_start = now.saturating_sub(self.config.window);
        // A slice that is partly in the window counts with its retries, but not with its requests.
        let whole = self.slices.iter().filter(|it| window_start <= it.start);
        let requests: u32 = whole.map(|it| it.requests).sum();
        let retries: u32 = self.slices.iter().map(|it| it.retries).sum();
        let has_slack = self.started_at + self.config.window <= now;
        let slack = if has_slack { self.config.slack / hosts.max(1) as f64 } else { 0.0 };
        let allowed = SAFETY_FACTOR * (self.config.ratio * f64::from(requests) + slack);
        Usage { requests, retries, allowed }
    }

    /// Drops the slices that left the window, and returns the current one.
    fn current_slice(&mut self, now: Moment) -> &mut Slice {
        let length = self.config.window / WINDOW_SLICES;
        let window_start = now.saturating_sub(self.config.window);
        while self.slices.front().is_some_and(|it| it.start + length < window_start) {
            self.slices.pop_front();
        }
        let is_current = self.slices.back().is_some_and(|it| now < it.start + length);
        if !is_current {
            self.slices.push_back(Slice { start: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
