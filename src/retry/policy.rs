//! Bounds of retries.

use std::time::Duration;

use crate::id;

/// Bounds of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Retries allowed for each first try of a plan.
    pub share: f64,
    /// Retries that a plan may save up.
    pub reserve: f64,
    /// Attempts at one request, the first one included.
    pub attempts: id::Attempt,
    /// Mean delay before the second attempt.
    pub first_delay: Duration,
    /// Longest mean delay.
    pub longest_delay: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            share: 0.1,
            reserve: 20.0,
            attempts: 5,
            first_delay: Duration::from_millis(20),
            longest_delay: Duration::from_secs(1),
        }
    }
}

impl Policy {
    /// Returns the delay after a failed attempt; `random` is drawn evenly from 0 to 1 and spreads it
    /// between half and one and a half of the mean.
    pub fn delay(&self, attempt: id::Attempt, random: f64) -> Duration {
        let doublings = attempt.saturating_sub(1).min(16);
        let mean = self.first_delay.saturating_mul(1 << doublings).min(self.longest_delay);
        mean.mul_f64(0.5 + random.clamp(0.0, 1.0))
    }
}
