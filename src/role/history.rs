//! Demand by a fast and a slow average.

use std::time::Duration;

use crate::{
    clock::Moment,
    role::{Demand, decay},
};

/// Factor above the slow average beyond which a demand counts no more, so that a spike stays short.
const MOST_RISE: f64 = 2.0;
/// Demand below which the slow average may rise freely, in engine seconds a second.
const LEAST: f64 = 0.1;

/// Two averages of a group's demand.
#[derive(Debug, Clone, Copy, Default)]
pub struct History {
    first: Option<Moment>,
    last: Moment,
    /// Fast average.
    pub fast: Demand,
    /// Slow average.
    pub slow: Demand,
}

impl History {
    /// Takes in the demand of the moment.
    pub fn observe(&mut self, demand: Demand, fast: Duration, slow: Duration, now: Moment) {
        if self.first.is_none() {
            *self = History { first: Some(now), last: now, fast: demand, slow: demand };
            return;
        }
        let passed = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        self.fast.approach(demand, decay(passed, fast));
        self.slow.approach(demand.at_most(self.slow.scaled(MOST_RISE)), decay(passed, slow));
    }

    /// Returns whether demand was observed for at least `time`.
    pub fn covers(&self, time: Duration, now: Moment) -> bool {
        self.first.is_some_and(|it| time <= now.saturating_sub(it))
    }
}

impl Demand {
    fn approach(&mut self, other: Demand, part: f64) {
        self.prefill += (other.prefill - self.prefill) * part;
        self.decode += (other.decode - self.decode) * part;
    }

    fn at_most(self, most: Demand) -> Demand {
        Demand {
            prefill: self.prefill.min(most.prefill.max(LEAST)),
            decode: self.decode.min(most.decode.max(LEAST)),
        }
    }

    /// Returns the demand multiplied by a factor.
    pub fn scaled(self, factor: f64) -> Demand {
        Demand { prefill: self.prefill * factor, decode: self.decode * factor }
    }

    /// Returns the sum of both stages.
    pub fn sum(self) -> f64 {
        self.prefill + self.decode
    }
}
