//! Cost of requests in engine time, learned from what was served.

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

/// EngineRates and lengths assumed until some are learned.
#[derive(Debug, Clone)]
pub struct Config {
    /// Prompt tokens that an engine reads in a second.
    pub prefill_rate: f64,
    /// Time of a decode step with an empty batch.
    pub step_base: Duration,
    /// Time that each request of the batch adds to a decode step.
    pub step_per_request: Duration,
    /// Tokens of an answer.
    pub output_tokens: u32,
    /// Part by which one observation moves an average.
    pub gain: f64,
    /// Part of the observed prefill rates that lies below the one that is used.
    ///
    /// Waiting that this host cannot see makes a prefill look slow, never fast.
    pub prefill_quantile: f64,
    /// Largest factor by which one observation may differ from the average; more is cut off.
    pub outlier_factor: f64,
    /// Plans and models whose lengths are remembered.
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
