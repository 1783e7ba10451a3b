//! Bounds and backoff of retries.

use std::time::Duration;

use crate::id;

/// Bounds and backoff of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Retries that a plan earns with each request.
    pub budget_ratio: f64,
    /// Largest number of retries that a plan can accumulate.
    pub budget_capacity: f64,
    /// Attempts per request, including the first one.
    pub max_attempts: id::Attempt,
    /// Mean delay before the second attempt; it doubles with each further attempt.
    pub first_delay: Duration,
    /// Largest mean delay.
    pub max_delay: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            budget_ratio: 0.1,
            budget_capacity: 20.0,
            max_attempts: 5,
            first_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(1),
        }
    }
}

impl Policy {
    /// Returns the backoff after the failed attempt number `attempt`, from 1.
    ///
    /// `random` is drawn uniformly from 0 to 1; the jitter spreads the delay from half to one and a
    /// half times the mean.
    pub fn delay(&self, attempt: id::Attempt, random: f64) -> Duration {
        let doublings = attempt.saturating_sub(1).min(16);
        let mean = self.first_delay.saturating_mul(1 << doublings).min(self.max_delay);
        mean.mul_f64(0.5 + random.clamp(0.0, 1.0))
    }
}
