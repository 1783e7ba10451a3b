//! Token buckets.

use std::time::Duration;

use crate::clock::Moment;

/// A token bucket that may be overdrawn.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    /// Units per second.
    rate: f64,
    /// Largest level, in units.
    burst: f64,
    level: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket that refills with `rate` units per second up to `burst` units.
    pub(super) fn new(rate: f64, burst: f64, now: Moment) -> TokenBucket {
        TokenBucket { rate, burst, level: burst, updated_at: now }
    }

    /// Changes rate and burst; a level above the new burst is reduced to it.
    pub(super) fn set(&mut self, rate: f64, burst: f64, now: Moment) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + self.rate * elapsed).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the units in the bucket; negative when it is overdrawn.
    pub(super) fn level(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes units out. The bucket may be overdrawn by at most the larger of `units` and its burst.
    pub(super) fn take(&mut self, units: f64, now: Moment) {
        self.refill(now);
        self.level = (self.level - units).max(-self.burst.max(units));
    }

    /// Returns the time until the level reaches `units`; zero when it has.
    pub(super) fn time_to(&mut self, units: f64, now: Moment) -> Duration {
        let missing = (units - self.level(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate.max(1e-9)).unwrap_or(Duration::MAX)
    }
}
