//! Whether a target answers, and how fast.

use std::time::Duration;

use crate::{clock::Moment, cost::Average, route::Config};

/// Doublings after which the time set aside no longer grows.
const MOST_DOUBLINGS: u32 = 16;
/// Response times needed before a replica may count as slow.
const LEAST_SEEN: u32 = 8;

/// Health of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    failures: u32,
    aside_until: Option<Moment>,
    trial: bool,
    time: Option<Average>,
}

impl Health {
    /// Returns whether new work may be sent: not set aside, and at most one trial after that.
    pub(crate) fn usable(&self, now: Moment) -> bool {
        self.aside_until.is_none_or(|it| it <= now && !self.trial)
    }

    /// Notes that a request was sent; after a time set aside it is the one trial.
    pub(crate) fn sent(&mut self) {
        self.trial = self.aside_until.is_some();
    }

    /// Notes a failure and sets the target aside, longer each time.
    pub(crate) fn failed(&mut self, config: &Config, now: Moment) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let aside =
            config.base_ejection_time.saturating_mul(1 << doublings).min(config.max_ejection_time);
        self.failures = self.failures.saturating_add(1);
        self.set_aside(now + aside);
    }

    /// Sets the target aside without counting a failure.
    pub(crate) fn set_aside(&mut self, until: Moment) {
        self.aside_until = Some(until);
        self.trial = false;
    }

    /// Notes a whole answer, which ends every doubt.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
        self.aside_until = None;
        self.trial = false;
    }

    /// Notes a request that ended without telling anything about the target.
    pub(crate) fn undecided(&mut self) {
        self.trial = false;
    }

    /// Takes in the response time of a service's replica.
    pub(crate) fn responded(&mut self, time: Duration, config: &Config) {
        let time = time.as_secs_f64();
        let average = self.time.get_or_insert_with(|| Average::assumed(time.max(1e-6)));
        average.observe(time, config.cost.gain.max(0.2), config.cost.outlier_factor);
    }

    /// Returns the mean response time in seconds, once enough were seen.
    pub(crate) fn time(&self) -> Option<f64> {
        self.time.filter(|it| LEAST_SEEN <= it.seen()).map(|it| it.value())
    }

    /// Forgets the response times, so that a replica set aside for slowness starts anew.
    pub(crate) fn forget_time(&mut self) {
        self.time = None;
    }
}
