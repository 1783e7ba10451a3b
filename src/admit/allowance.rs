//! Token buckets.

use std::time::Duration;

use crate::clock::Moment;

/// A bucket that fills at a rate and may be overdrawn.
#[derive(Debug, Clone, Copy)]
pub(super) struct Allowance {
    rate: f64,
    burst: f64,
    level: f64,
    at: Moment,
}

impl Allowance {
    /// Creates a full bucket of `rate` units a second that holds `burst` units.
    pub(super) fn new(rate: f64, burst: f64, now: Moment) -> Allowance {
        Allowance { rate, burst, level: burst, at: now }
    }

    /// Changes rate and size, and keeps the level within them.
    pub(super) fn set(&mut self, rate: f64, burst: f64, now: Moment) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn fill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + self.rate * passed).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Returns the units that are there.
    pub(super) fn level(&mut self, now: Moment) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes units out; the level may fall below zero, but not below a negative full bucket.
    pub(super) fn take(&mut self, units: f64, now: Moment) {
        self.fill(now);
        self.level = (self.level - units).max(-self.burst.max(units));
    }

    /// Returns the time until the level has risen to `units`.
    pub(super) fn time_to(&mut self, units: f64, now: Moment) -> Duration {
        let missing = (units - self.level(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate.max(1e-9)).unwrap_or(Duration::MAX)
    }
}
