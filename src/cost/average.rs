//! Streaming estimates of a mean and of a quantile that a single outlier can't move far.

/// An exponentially weighted moving average of positive values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Average {
    value: f64,
    count: u32,
}

impl Average {
    /// Creates an average that has the value `initial` until something is observed.
    pub fn new(initial: f64) -> Average {
        Average { value: initial, count: 0 }
    }

    /// Returns the average.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns the number of values observed.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Adds a value with the weight `gain`, after limiting how far it differs from the average.
    ///
    /// A value that is more than `outlier_factor` times larger or smaller than the average is
    /// clamped to that bound. The first values get a higher weight than `gain`, so that the initial
    /// value soon loses its influence. Values that aren't positive and finite are ignored.
    pub fn observe(&mut self, value: f64, gain: f64, outlier_factor: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        let value = value.clamp(self.value / outlier_factor, self.value * outlier_factor);
        let gain = gain.max(1.0 / f64::from(self.count.saturating_add(2)));
        self.value += (value - self.value) * gain;
        self.count = self.count.saturating_add(1);
    }
}

/// A quantile of positive values, estimated with small multiplicative steps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quantile {
    value: f64,
    level: f64,
    count: u32,
}

impl Quantile {
    /// Creates an estimate of the quantile at `level` (0 to 1), with the value `initial` until
    /// something is observed.
    pub fn new(initial: f64, level: f64) -> Quantile {
        Quantile { value: initial, level, count: 0 }
    }

    /// Returns the estimate.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns the number of values observed.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Moves the estimate towards a value.
    ///
    /// The logarithm of the estimate moves by at most `gain`, however far away the value is; the
    /// first values may move it further. Values that aren't positive and finite are ignored.
    pub fn observe(&mut self, value: f64, gain: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        let step = gain.max(1.0 / f64::from(self.count.saturating_add(2)));
        let distance = (value / self.value).ln().abs();
        let direction = if self.value < value { self.level } else { self.level - 1.0 };
        self.value *= (direction * step.min(distance)).exp();
        self.count = self.count.saturating_add(1);
    }
}
