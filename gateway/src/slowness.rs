//! How slow each engine is beside the others.
//!
//! Pattern: an engine that works several times slower than the others, without failing anything. What
//! it is given takes that much longer there, so it gets work only where even that is soon enough.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::registry::Key;

/// Weight of the newest of several measurements.
const EWMA_WEIGHT: f64 = 0.05;
/// Ratio to the others up to which an engine counts as fast as they are.
const MAX_NORMAL_RATIO: f64 = 1.7;
/// Ratio at most.
const MAX_RATIO: f64 = 20.0;
/// Time after which half of a ratio is forgotten when nothing new is measured, so that an engine
/// without work is tried again.
const DECAY_HALF_LIFE: Duration = Duration::from_millis(1000);

/// Times that one host measured at an engine since it last told of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// How many there are.
    pub count: u32,
    /// Their mean: for an engine that generates the milliseconds between two events, for one that reads
    /// the ratio of the time that a prompt took to the time expected.
    pub mean: f64,
}

impl Summary {
    /// Returns the sample with one more measurement.
    pub fn with(self, value: f64) -> Summary {
        let count = self.count + 1;
        Summary { count, mean: self.mean + (value - self.mean) / f64::from(count) }
    }
}

#[derive(Debug, Clone, Copy)]
struct Average {
    mean: f64,
    at: Moment,
}

/// Paces of the engines, as all hosts measured them.
#[derive(Debug, Default)]
pub struct Tracker {
    engines: SecondaryMap<Key, Average>,
    own: SecondaryMap<Key, Summary>,
}

impl Tracker {
    /// Notes a measurement of this host.
    pub fn record(&mut self, key: Key, value: f64, now: Moment) {
        self.record_summary(key, Summary { count: 1, mean: value }, now);
        if let Some(entry) = self.own.entry(key) {
            let summary = entry.or_default();
            *summary = summary.with(value);
        }
    }

    /// Notes what a host measured.
    pub fn record_summary(&mut self, key: Key, summary: Summary, now: Moment) {
        let Some(entry) = self.engines.entry(key) else { return };
        let average = entry.or_insert(Average { mean: summary.mean, at: now });
        let exponent = i32::try_from(summary.count).unwrap_or(i32::MAX);
        let weight = 1.0 - (1.0 - EWMA_WEIGHT).powi(exponent);
        average.mean += weight * (summary.mean - average.mean);
        average.at = now;
    }

    /// Takes what this host measured since it was last taken.
    pub fn take_own(&mut self) -> Vec<(Key, Summary)> {
        self.own.drain().collect()
    }

    /// Forgets an engine.
    pub fn forget(&mut self, key: Key) {
        self.engines.remove(key);
        self.own.remove(key);
    }

    /// Returns the mean that half of the engines stay below; `None` before any was measured.
    pub fn median(&self, engines: impl Iterator<Item = Key>) -> Option<f64> {
        let mut means: Vec<f64> =
            engines.filter_map(|key| self.engines.get(key)).map(|it| it.mean).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied()
    }

    /// Returns how many times slower an engine is than the median of its stage; 1 when it is usual.
    pub fn slowness(&self, key: Key, median: Option<f64>, now: Moment) -> f64 {
        let (Some(average), Some(median)) = (self.engines.get(key), median) else { return 1.0 };
        let ratio = (average.mean / median.max(1e-3)).min(MAX_RATIO);
        if ratio < MAX_NORMAL_RATIO {
            return 1.0;
        }
        let age = now.saturating_sub(average.at).as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64();
        1.0 + (ratio - 1.0) * 0.5_f64.powf(age)
    }
}

/// Samples as a host tells them to the dispatcher.
pub type Report = Vec<(id::Target, Summary)>;
