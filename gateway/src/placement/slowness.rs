//! Slowness of each engine relative to the others.
//!
//! An engine may be several times slower than the others without failing any request. The latency
//! estimates for it are scaled by its slowness, so that it gets work only if that would still be
//! fast enough.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::targets::registry::Key;

/// Weight of the newest measurement in an engine's moving average.
const EWMA_WEIGHT: f64 = 0.05;
/// Ratio to the median from which an engine counts as slow; smaller differences are normal
/// variation.
const MAX_NORMAL_RATIO: f64 = 1.7;
/// Largest ratio to the median that is counted.
const MAX_RATIO: f64 = 20.0;
/// Half-life of an engine's excess over the median while nothing is measured there, so that a slow
/// engine without work is tried again.
const DECAY_HALF_LIFE: Duration = Duration::from_millis(1000);

/// Summary of the measurements of one host at an engine since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of measurements.
    pub count: u32,
    /// Mean of the measurements: the milliseconds between two events for a decode engine, the ratio
    /// of the actual to the expected prefill time for a prefill engine.
    pub mean: f64,
}

impl Summary {
    /// Returns the summary with one more measurement.
    pub fn with(self, value: f64) -> Summary {
        let count = self.count + 1;
        Summary { count, mean: self.mean + (value - self.mean) / f64::from(count) }
    }
}

/// Exponentially weighted moving average of the measurements at an engine.
#[derive(Debug, Clone, Copy)]
struct Average {
    mean: f64,
    updated: Moment,
}

/// Averages of all engines, as measured by all hosts.
#[derive(Debug, Default)]
pub struct Tracker {
    engines: SecondaryMap<Key, Average>,
    own: SecondaryMap<Key, Summary>,
}

impl Tracker {
    /// Records a measurement of this host.
    pub fn record(&mut self, key: Key, value: f64, now: Moment) {
        self.record_summary(key, Summary { count: 1, mean: value }, now);
        if let Some(entry) = self.own.entry(key) {
            let summary = entry.or_default();
            *summary = summary.with(value);
        }
    }

    /// Records the measurements that a host reported.
    pub fn record_summary(&mut self, key: Key, summary: Summary, now: Moment) {
        let Some(entry) = self.engines.entry(key) else { return };
        let average = entry.or_insert(Average { mean: summary.mean, updated: now });
        let exponent = i32::try_from(summary.count).unwrap_or(i32::MAX);
        let weight = 1.0 - (1.0 - EWMA_WEIGHT).powi(exponent);
        average.mean += weight * (summary.mean - average.mean);
        average.updated = now;
    }

    /// Returns this host's measurements since the last call.
    pub fn take_own(&mut self) -> Vec<(Key, Summary)> {
        self.own.drain().collect()
    }

    /// Removes an engine.
    pub fn forget(&mut self, key: Key) {
        self.engines.remove(key);
        self.own.remove(key);
    }

    /// Returns the median of the engines' averages; `None` before the first measurement.
    pub fn median(&self, engines: impl Iterator<Item = Key>) -> Option<f64> {
        let mut means: Vec<f64> =
            engines.filter_map(|key| self.engines.get(key)).map(|it| it.mean).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied()
    }

    /// Returns the factor by which an engine is slower than the median of its stage; 1 if the
    /// difference is within normal variation.
    pub fn factor(&self, key: Key, median: Option<f64>, now: Moment) -> f64 {
        let (Some(average), Some(median)) = (self.engines.get(key), median) else { return 1.0 };
        let ratio = (average.mean / median.max(1e-3)).min(MAX_RATIO);
        if ratio < MAX_NORMAL_RATIO {
            return 1.0;
        }
        let age = now.saturating_sub(average.updated).as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64();
        1.0 + (ratio - 1.0) * 0.5_f64.powf(age)
    }
}

/// Measurements that a host reports to the dispatcher.
pub type Report = Vec<(id::Target, Summary)>;
