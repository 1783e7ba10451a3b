//! Cost of requests in engine time, learned from the requests that engines have served.

mod average;
mod engine_rates;
mod output_lengths;
mod rate;

use std::time::Duration;

pub use self::{
    average::{Average, Quantile},
    engine_rates::EngineRates,
    output_lengths::OutputLengths,
    rate::Rate,
};

/// Initial values of the cost model, and how it learns from observations.
#[derive(Debug, Clone)]
pub struct Config {
    /// Initial prefill rate of an engine, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Initial fixed part of the time of a decode step.
    pub step_base: Duration,
    /// Initial time that each request of the batch adds to a decode step.
    pub step_per_request: Duration,
    /// Initial expected length of an answer, in tokens.
    pub output_tokens: u32,
    /// Weight of one observation in a moving average (0 to 1).
    pub gain: f64,
    /// Quantile of the observed prefill rates that is taken as the engines' rate (0 to 1).
    ///
    /// It is above the median, because queueing that this host can't see makes a prefill look
    /// slower than it is, never faster.
    pub prefill_quantile: f64,
    /// Largest factor between an observation and the expected value; beyond it, the observation is
    /// clamped.
    pub outlier_factor: f64,
    /// Largest number of pairs of plan and model whose answer lengths are tracked.
    pub max_output_lengths: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            prefill_rate: 20_000.0,
            step_base: Duration::from_millis(10),
            step_per_request: Duration::from_micros(300),
            output_tokens: 200,
            gain: 0.05,
            prefill_quantile: 0.8,
            outlier_factor: 3.0,
            max_output_lengths: 1_024,
        }
    }
}
