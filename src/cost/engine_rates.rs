//! Prefill rate and decode step time of the engines of one model in one role.

use std::time::Duration;

use crate::cost::{Config, Quantile};

/// Variance of the batch sizes below which the effect of the batch size can't be told from noise.
const MIN_BATCH_VARIANCE: f64 = 4.0;
/// Prompt length, in tokens, from which the fixed time of a request no longer distorts the observed
/// prefill rate. Shorter prompts count less, in proportion to their length.
const FULL_WEIGHT_TOKENS: f64 = 4_000.0;
/// Factor by which the weight of all earlier steps decays with each observed step.
const STEP_DECAY: f64 = 0.995;

/// Prefill rate and decode step time, learned from the requests that engines have served.
#[derive(Debug, Clone)]
pub struct EngineRates {
    config: Config,
    prefill_rate: Quantile,
    step_time: StepFit,
    steps_observed: u32,
}

/// A line fitted to (batch size, step time in seconds) by least squares, with exponentially
/// decaying weights.
#[derive(Debug, Clone, Copy)]
struct StepFit {
    /// Sum of the weights; the next four fields are weighted sums too.
    weight: f64,
    batch: f64,
    step: f64,
    batch_squared: f64,
    batch_times_step: f64,
    /// Seconds that each request of the batch adds to a step.
    slope: f64,
}

impl EngineRates {
    /// Creates an instance that starts from the configured rates.
    pub fn new(config: Config) -> EngineRates {
        let prefill_rate = Quantile::new(config.prefill_rate, config.prefill_quantile);
        let step_time =
            StepFit::new(config.step_base.as_secs_f64(), config.step_per_request.as_secs_f64());
        EngineRates { config, prefill_rate, step_time, steps_observed: 0 }
    }

    /// Returns the prefill rate of an engine, in prompt tokens per second.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate.value()
    }

    /// Returns the number of prefills observed.
    pub fn prefills_observed(&self) -> u32 {
        self.prefill_rate.count()
    }

    /// Returns the number of generations whose step time was observed.
    pub fn steps_observed(&self) -> u32 {
        self.steps_observed
    }

    /// Records a prefill of `tokens` that took `time` without queueing behind other prefills.
    pub fn observe_prefill(&mut self, tokens: u32, time: Duration) {
        let rate = f64::from(tokens) / time.as_secs_f64().max(1e-6);
        let weight = (f64::from(tokens) / FULL_WEIGHT_TOKENS).min(1.0);
        self.prefill_rate.observe(rate, self.config.gain * weight);
    }

    /// Records the mean step time of a generation whose mean batch size was about `batch`.
    pub fn observe_step(&mut self, batch: f64, step: Duration) {
        let step = step.as_secs_f64();
        let expected = self.step_time.at(batch);
        let outlier_factor = self.config.outlier_factor;
        if !batch.is_finite() || step <= 0.0 {
            return;
        }
        self.steps_observed = self.steps_observed.saturating_add(1);
        self.step_time
            .observe(batch, step.clamp(expected / outlier_factor, expected * outlier_factor));
    }

    /// Returns the expected time of a decode step with `batch` requests.
    pub fn step_time(&self, batch: f64) -> Duration {
        Duration::from_secs_f64(self.step_time.at(batch))
    }

    /// Returns the largest batch size whose step time is at most `max_step_time`, and at least 1.
    pub fn max_batch(&self, max_step_time: Duration) -> f64 {
        let remaining = max_step_time.as_secs_f64() - self.step_time.base();
        (remaining / self.step_time.slope.max(1e-7)).clamp(1.0, 1e6)
    }

    /// Returns the expected time to prefill `tokens` of a prompt, without queueing.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.prefill_rate())
    }
}

impl StepFit {
    /// Creates a fit that starts from a given line, by adding the points of two batch sizes on it.
    fn new(base: f64, slope: f64) -> StepFit {
        let mut fit = StepFit {
            weight: 0.0,
            batch: 0.0,
            step: 0.0,
            batch_squared: 0.0,
            batch_times_step: 0.0,
            slope,
        };
        for batch in [1.0, 32.0] {
            fit.add(batch, base + slope * batch);
        }
        fit
    }

    /// Adds a point to the weighted sums.
    fn add(&mut self, batch: f64, step: f64) {
        self.weight += 1.0;
        self.batch += batch;
        self.step += step;
        self.batch_squared += batch * batch;
        self.batch_times_step += batch * step;
    }

    /// Decays the earlier points, adds a new one and updates the slope if the batch sizes vary
    /// enough.
    fn observe(&mut self, batch: f64, step: f64) {
        for it in [
            &mut self.weight,
            &mut self.batch,
            &mut self.step,
            &mut self.batch_squared,
            &mut self.batch_times_step,
        ] {
            *it *= STEP_DECAY;
        }
        self.add(batch, step);
        let variance = self.batch_squared / self.weight - (self.batch / self.weight).powi(2);
        if MIN_BATCH_VARIANCE <= variance {
            let covariance =
                self.batch_times_step / self.weight - self.batch * self.step / self.weight.powi(2);
            self.slope = (covariance / variance).max(0.0);
        }
    }

    /// Returns the fixed part of the step time, in seconds.
    fn base(&self) -> f64 {
        (self.step / self.weight - self.slope * self.batch / self.weight).max(1e-6)
    }

    /// Returns the step time for a batch size, in seconds.
    fn at(&self, batch: f64) -> f64 {
        self.base() + self.slope * batch.max(0.0)
    }
}
