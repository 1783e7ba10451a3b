//! A fast and a slow moving average of demand.

use std::time::Duration;

use crate::{
    clock::Moment,
    role::{Demand, smoothing_factor},
};

/// Multiple of the slow average at which a new demand is capped, so that a spike raises the average
/// only a little.
const MAX_RISE_FACTOR: f64 = 2.0;
/// Demand that is never capped, in engine-seconds per second, so that the slow average can rise
/// from zero.
const UNCAPPED_DEMAND: f64 = 0.1;

/// Two moving averages of a demand.
#[derive(Debug, Clone, Copy, Default)]
pub struct History {
    /// Time of the first observation.
    first_at: Option<Moment>,
    /// Time of the last observation.
    last_at: Moment,
    /// Fast average.
    pub fast: Demand,
    /// Slow average.
    pub slow: Demand,
}

impl History {
    /// Adds the current demand to both averages.
    ///
    /// Until the observations span the slow window, the slow average weights all time since the
    /// first observation equally.
    pub fn observe(
        &mut self,
        demand: Demand,
        fast_window: Duration,
        slow_window: Duration,
        now: Moment,
    ) {
        if self.first_at.is_none() {
            *self = History { first_at: Some(now), last_at: now, fast: demand, slow: demand };
            return;
        }
        let elapsed = now.saturating_sub(self.last_at);
        self.last_at = self.last_at.max(now);
        self.fast.move_toward(demand, smoothing_factor(elapsed, fast_window));
        if self.covers(slow_window, now) {
            let capped = demand.capped(self.slow.scaled(MAX_RISE_FACTOR));
            self.slow.move_toward(capped, smoothing_factor(elapsed, slow_window));
        } else {
            self.slow.move_toward(demand, self.fraction_of_history(elapsed, now));
        }
    }

    /// Returns `elapsed` as a fraction of the time since the first observation, at most 1.
    fn fraction_of_history(&self, elapsed: Duration, now: Moment) -> f64 {
        let total = self.first_at.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        (elapsed.as_secs_f64() / total.as_secs_f64().max(1e-9)).min(1.0)
    }

    /// Returns whether the first observation was at least `time` ago.
    pub fn covers(&self, time: Duration, now: Moment) -> bool {
        self.first_at.is_some_and(|it| time <= now.saturating_sub(it))
    }
}

impl Demand {
    /// Moves the demand toward `other` by `factor` of their difference.
    fn move_toward(&mut self, other: Demand, factor: f64) {
        self.prefill += (other.prefill - self.prefill) * factor;
        self.decode += (other.decode - self.decode) * factor;
    }

    /// Returns the demand capped at `max`, where a cap is at least [`UNCAPPED_DEMAND`].
    fn capped(self, max: Demand) -> Demand {
        Demand {
            prefill: self.prefill.min(max.prefill.max(UNCAPPED_DEMAND)),
            decode: self.decode.min(max.decode.max(UNCAPPED_DEMAND)),
        }
    }

    /// Returns the demand multiplied by a factor.
    pub fn scaled(self, factor: f64) -> Demand {
        Demand { prefill: self.prefill * factor, decode: self.decode * factor }
    }

    /// Returns the sum of prefill and decode.
    pub fn sum(self) -> f64 {
        self.prefill + self.decode
    }
}
