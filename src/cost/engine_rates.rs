//! Prefill and decode rates of the engines of one model in one role.

use std::time::Duration;

use crate::cost::{Config, Quantile};

/// Batch sizes below which the effect of the batch cannot be told from noise.
const LEAST_SPREAD: f64 = 4.0;
/// Prompt tokens from which the fixed time of a request no longer counts.
const FULL_WEIGHT: f64 = 4_000.0;
/// Part of the memory that each observed step keeps.
const MEMORY: f64 = 0.995;

/// EngineRates learned from requests that were served.
#[derive(Debug, Clone)]
pub struct EngineRates {
    config: Config,
    prefill: Quantile,
    steps: Line,
    steps_observed: u32,
}

/// A line fitted to (batch size, step time in seconds) with exponential forgetting.
#[derive(Debug, Clone, Copy)]
struct Line {
    weight: f64,
    batch: f64,
    step: f64,
    batch_squared: f64,
    product: f64,
    slope: f64,
}

impl EngineRates {
    /// Creates rates that start from the assumed ones.
    pub fn new(config: Config) -> EngineRates {
        let prefill = Quantile::assumed(config.prefill_rate, config.prefill_quantile);
        let steps =
            Line::assumed(config.step_base.as_secs_f64(), config.step_per_request.as_secs_f64());
        EngineRates { config, prefill, steps, steps_observed: 0 }
    }

    /// Returns the prompt tokens that an engine reads in a second.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill.value()
    }

    /// Returns how many prefills were observed.
    pub fn prefills_observed(&self) -> u32 {
        self.prefill.seen()
    }

    /// Returns how many generations were observed.
    pub fn steps_observed(&self) -> u32 {
        self.steps_observed
    }

    /// Takes in a prefill of `tokens` that took `time` without waiting for others.
    pub fn observe_prefill(&mut self, tokens: u32, time: Duration) {
        let rate = f64::from(tokens) / time.as_secs_f64().max(1e-6);
        let weight = (f64::from(tokens) / FULL_WEIGHT).min(1.0);
        self.prefill.observe(rate, self.config.gain * weight);
    }

    /// Takes in the mean step time of a generation that ran in batches of about `batch` requests.
    pub fn observe_step(&mut self, batch: f64, step: Duration) {
        let step = step.as_secs_f64();
        let expected = self.steps.at(batch);
        let outlier = self.config.outlier_factor;
        if !batch.is_finite() || step <= 0.0 {
            return;
        }
        self.steps_observed = self.steps_observed.saturating_add(1);
        self.steps.observe(batch, step.clamp(expected / outlier, expected * outlier));
    }

    /// Returns the time of a decode step in a batch of `batch` requests.
    pub fn step(&self, batch: f64) -> Duration {
        Duration::from_secs_f64(self.steps.at(batch))
    }

    /// Returns the largest batch whose step takes at most `bound`, and at least 1.
    pub fn batch_within(&self, bound: Duration) -> f64 {
        let room = bound.as_secs_f64() - self.steps.base();
        (room / self.steps.slope.max(1e-7)).clamp(1.0, 1e6)
    }

    /// Returns the time to read `tokens` of prompt.
    pub fn prefill(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.prefill_rate())
    }
}

impl Line {
    /// Starts from an assumed line, as if a few batches had been seen on it.
    fn assumed(base: f64, slope: f64) -> Line {
        let mut line =
            Line { weight: 0.0, batch: 0.0, step: 0.0, batch_squared: 0.0, product: 0.0, slope };
        for batch in [1.0, 32.0] {
            line.add(batch, base + slope * batch);
        }
        line
    }

    fn add(&mut self, batch: f64, step: f64) {
        self.weight += 1.0;
        self.batch += batch;
        self.step += step;
        self.batch_squared += batch * batch;
        self.product += batch * step;
    }

    fn observe(&mut self, batch: f64, step: f64) {
        for it in [
            &mut self.weight,
            &mut self.batch,
            &mut self.step,
            &mut self.batch_squared,
            &mut self.product,
        ] {
            *it *= MEMORY;
        }
        self.add(batch, step);
        let variance = self.batch_squared / self.weight - (self.batch / self.weight).powi(2);
        if LEAST_SPREAD <= variance {
            let covariance =
                self.product / self.weight - self.batch * self.step / self.weight.powi(2);
            self.slope = (covariance / variance).max(0.0);
        }
    }

    fn base(&self) -> f64 {
        (self.step / self.weight - self.slope * self.batch / self.weight).max(1e-6)
    }

    fn at(&self, batch: f64) -> f64 {
        self.base() + self.slope * batch.max(0.0)
    }
}
