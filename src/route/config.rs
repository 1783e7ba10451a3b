//! Settings of the router.

use std::time::Duration;

use crate::cost;

/// How a target is chosen among those that could take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// By expected finish: queue, cached prefix, transfer and distance.
    #[default]
    Expected,
    /// The less loaded of two random candidates.
    TwoRandom,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this host.
    LeastOutstanding,
}

/// Settings of [`super::Router`].
#[derive(Debug, Clone)]
pub struct Config {
    /// How a target is chosen.
    pub policy: Policy,
    /// Random candidates that are compared.
    pub sampled_candidates: usize,
    /// EngineRates assumed until some are learned.
    pub cost: cost::Config,
    /// Time between tokens up to which an engine is filled.
    pub between_tokens: Duration,
    /// Prefill work that may wait in one engine.
    pub prefill_window: Duration,
    /// Prompt tokens whose KV cache is moved in a second within a data centre.
    pub transfer_rate_near: f64,
    /// Prompt tokens whose KV cache is moved in a second between data centres.
    pub transfer_rate_far: f64,
    /// Fixed time of a KV cache transfer.
    pub transfer_setup: Duration,
    /// One-way time between data centres.
    pub data_centre_latency: Duration,
    /// Requests that a replica of a service runs at once when it reports no bound.
    pub service_slots: u32,
    /// Response time of a service assumed until some are seen.
    pub service_time: Duration,
    /// Time that a target is set aside after one failure; doubles with each further one.
    pub base_ejection_time: Duration,
    /// Longest time that a target is set aside.
    pub max_ejection_time: Duration,
    /// Response time of a service's replica, relative to the group's median, above which it is slow.
    pub slow_factor: f64,
    /// Age of a load report after which the target's own load is no longer trusted.
    pub report_bound: Duration,
    /// Pieces that are remembered for each engine's prefix cache.
    pub max_cache_pieces: usize,
    /// Time after which an unconfirmed piece is as likely dropped as kept.
    pub cache_half_life: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            policy: Policy::default(),
            sampled_candidates: 2,
            cost: cost::Config::default(),
            between_tokens: Duration::from_millis(48),
            prefill_window: Duration::from_millis(400),
            transfer_rate_near: 400_000.0,
            transfer_rate_far: 200_000.0,
            transfer_setup: Duration::from_millis(2),
            data_centre_latency: Duration::from_millis(1),
            service_slots: 64,
            service_time: Duration::from_millis(50),
            base_ejection_time: Duration::from_millis(500),
            max_ejection_time: Duration::from_secs(30),
            slow_factor: 4.0,
            report_bound: Duration::from_secs(5),
            max_cache_pieces: 512,
            cache_half_life: Duration::from_secs(120),
        }
    }
}
