//! Averages that a single outlier cannot move far.

/// An exponential average of positive values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Average {
    value: f64,
    seen: u32,
}

impl Average {
    /// Creates an average that starts from an assumed value.
    pub fn assumed(value: f64) -> Average {
        Average { value, seen: 0 }
    }

    /// Returns the average.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns how many values were taken in.
    pub fn seen(&self) -> u32 {
        self.seen
    }

    /// Takes a value in; one further than `outlier` times away counts as just that far.
    ///
    /// The first values weigh more, so that an assumed start is soon left behind. Values that are
    /// not positive and finite are ignored.
    pub fn observe(&mut self, value: f64, gain: f64, outlier: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        let value = value.clamp(self.value / outlier, self.value * outlier);
        let gain = gain.max(1.0 / f64::from(self.seen.saturating_add(2)));
        self.value += (value - self.value) * gain;
        self.seen = self.seen.saturating_add(1);
    }
}

/// A quantile of positive values, followed by small steps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quantile {
    value: f64,
    part: f64,
    seen: u32,
}

impl Quantile {
    /// Creates an estimate of the value below which `part` of all values lie.
    pub fn assumed(value: f64, part: f64) -> Quantile {
        Quantile { value, part, seen: 0 }
    }

    /// Returns the estimate.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns how many values were taken in.
    pub fn seen(&self) -> u32 {
        self.seen
    }

    /// Takes a value in; however far it is, it moves the estimate by at most the part `gain`.
    ///
    /// The first values move it further. Values that are not positive and finite are ignored.
    pub fn observe(&mut self, value: f64, gain: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        let step = gain.max(1.0 / f64::from(self.seen.saturating_add(2)));
        let distance = (value / self.value).ln().abs();
        let sign = if self.value < value { self.part } else { self.part - 1.0 };
        self.value *= (sign * step.min(distance)).exp();
        self.seen = self.seen.saturating_add(1);
    }
}
