//! Settings of the router.

use std::time::Duration;

use crate::cost;

/// How a target is chosen among those that could take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// The path with the lowest score, which is a weighted sum of its expected latency and of the
    /// slowdown of other requests. It takes into account queues, cached prefixes, KV cache
    /// transfers and network latency.
    #[default]
    Expected,
    /// The less loaded of two targets drawn at random, for each role.
    TwoRandom,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests in flight from this host.
    LeastOutstanding,
}

/// Settings of [`super::Router`].
#[derive(Debug, Clone)]
pub struct Config {
    /// How a target is chosen among those that could take a request.
    pub policy: Policy,
    /// Targets of each role that are drawn at random and compared, for [`Policy::Expected`].
    pub sampled_candidates: usize,
    /// Settings of the cost model.
    pub cost: cost::Config,
    /// Longest time between tokens; bounds the batch size up to which an engine is filled.
    pub between_tokens: Duration,
    /// Prefill work that may be queued at one engine, in engine time.
    pub prefill_window: Duration,
    /// Rate of KV cache transfers within a data centre, in prompt tokens per second.
    pub transfer_rate_near: f64,
    /// Rate of KV cache transfers between data centres, in prompt tokens per second.
    pub transfer_rate_far: f64,
    /// Fixed part of the time of a KV cache transfer.
    pub transfer_setup: Duration,
    /// One-way network latency between data centres.
    pub data_centre_latency: Duration,
    /// Requests that a replica of a service can run at once when it reports no limit.
    pub service_slots: u32,
    /// Response time that is assumed for a service until enough have been observed.
    pub service_time: Duration,
    /// Time for which a target gets no requests after a failure or a refusal. Each further
    /// consecutive failure doubles it.
    pub base_ejection_time: Duration,
    /// Longest time for which a target gets no requests after a failure.
    pub max_ejection_time: Duration,
    /// Ratio of a replica's mean response time to the median of its service's replicas above which
    /// the replica counts as too slow.
    pub slow_factor: f64,
    /// Age of a load report above which its figures are no longer trusted.
    pub max_report_age: Duration,
    /// Largest number of prefix-cache pieces that are tracked for each engine.
    pub max_cache_pieces: usize,
    /// Time in which the probability that a piece is still cached halves, unless it is seen again.
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
            max_report_age: Duration::from_secs(5),
            max_cache_pieces: 512,
            cache_half_life: Duration::from_secs(120),
        }
    }
}
