//! Retries that one host may add to the requests of a service.
//!
//! The bound holds for all hosts together. Each host spends a fixed part of it without asking the
//! others: the ratio of its own requests and its part of the slack.

use std::{collections::VecDeque, time::Duration};

use fuchsiaknot_core::clock::Moment;

/// Parts into which a window is cut; a finer cut tracks the sliding window more closely.
const WINDOW_SLICES: u32 = 10;
/// Part of the bound that is spent, so that retries in flight when the hosts change stay within it.
const SAFETY_FACTOR: f64 = 0.7;

/// Bound on the retries towards one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window that are allowed whatever the number of requests.
    pub slack: f64,
    /// Span over which requests and retries are counted.
    pub window: Duration,
}

/// Retry budget of one service on one host.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    slices: VecDeque<Slice>,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    began: Moment,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Creates a budget without any requests counted.
    pub fn new(config: Config) -> Budget {
        Budget { config, slices: VecDeque::new() }
    }

    /// Puts another bound in force; what was counted stays.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Moment) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one retry, as one of `hosts` hosts; returns false when none is left in the window.
    pub fn try_take_retry(&mut self, hosts: usize, now: Moment) -> bool {
        self.current_slice(now);
        let requests: u32 = self.slices.iter().map(|it| it.requests).sum();
        let retries: u32 = self.slices.iter().map(|it| it.retries).sum();
        let slack = self.config.slack / hosts.max(1) as f64;
        let bound = SAFETY_FACTOR * (self.config.ratio * f64::from(requests) + slack);
        if bound < f64::from(retries + 1) {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// Returns the slice of `now`, after dropping those that left the window.
    fn current_slice(&mut self, now: Moment) -> &mut Slice {
        let oldest = now.saturating_sub(self.config.window);
        while self.slices.front().is_some_and(|it| it.began < oldest) {
            self.slices.pop_front();
        }
        let length = self.config.window / WINDOW_SLICES;
        let is_current = self.slices.back().is_some_and(|it| now < it.began + length);
        if !is_current {
            self.slices.push_back(Slice { began: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
