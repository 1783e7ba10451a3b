//! Amounts a second over a sliding window.

use std::time::Duration;

use crate::clock::Moment;

/// A rate averaged exponentially over a time window.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    sum: f64,
    at: Moment,
    window: Duration,
}

impl Rate {
    /// Creates a rate of zero that is averaged over `window`.
    pub fn new(window: Duration, now: Moment) -> Rate {
        Rate { sum: 0.0, at: now, window: window.max(Duration::from_millis(1)) }
    }

    /// Adds an amount that occurred now.
    pub fn add(&mut self, amount: f64, now: Moment) {
        self.fade(now);
        self.sum += amount;
    }

    /// Returns the amount a second.
    pub fn value(&self, now: Moment) -> f64 {
        let mut faded = *self;
        faded.fade(now);
        faded.sum / self.window.as_secs_f64()
    }

    fn fade(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.sum *= (-passed / self.window.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }
}
