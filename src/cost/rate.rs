//! Rates per second, averaged with exponential decay.

use std::time::Duration;

use crate::clock::Moment;

/// A rate per second that is averaged with exponential decay.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    /// Sum of all amounts, each weighted down by its age at `updated_at`.
    decayed_sum: f64,
    updated_at: Moment,
    window: Duration,
}

impl Rate {
    /// Creates a rate of zero; `window` is the time constant of the decay, and at least 1 ms.
    pub fn new(window: Duration, now: Moment) -> Rate {
        Rate { decayed_sum: 0.0, updated_at: now, window: window.max(Duration::from_millis(1)) }
    }

    /// Adds an amount that occurred at `now`.
    pub fn add(&mut self, amount: f64, now: Moment) {
        self.decay(now);
        self.decayed_sum += amount;
    }

    /// Returns the amount per second.
    pub fn value(&self, now: Moment) -> f64 {
        let mut decayed = *self;
        decayed.decay(now);
        decayed.decayed_sum / self.window.as_secs_f64()
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.decayed_sum *= (-elapsed / self.window.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
    }
}
