//! Settings of the planner.

use std::time::Duration;

/// When roles change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// When the gain over the horizon exceeds the cost of the change.
    #[default]
    Planned,
    /// Never.
    Static,
    /// Whenever the ratio of the moment rounds to other numbers of engines.
    Greedy,
}

/// Settings of [`super::Planner`] and [`super::Placement`].
#[derive(Debug, Clone)]
pub struct Config {
    /// When roles change.
    pub policy: Policy,
    /// Window of the fast average of demand.
    pub fast: Duration,
    /// Window of the slow average of demand.
    pub slow: Duration,
    /// Time over which a change must pay back.
    pub horizon: Duration,
    /// Time that an engine is away for a role change, with its drain.
    pub away: Duration,
    /// Engine time lost with the cache of an engine that read prompts.
    pub cache_loss: Duration,
    /// Factor by which the gain must exceed the cost.
    pub margin: f64,
    /// Least time between two changes of one engine.
    pub dwell: Duration,
    /// Least time between two changes in one group.
    pub pause: Duration,
    /// Largest part of a group that changes at once; one engine may always.
    pub changing: f64,
    /// Part of a group that stays mixed, for short swings.
    pub reserve: f64,
    /// Useful part of a mixed engine's time, relative to an engine with one role.
    pub mixed_efficiency: f64,
    /// Factor on prefill for which capacity is planned; queues before it make first tokens late.
    pub prefill_headroom: f64,
    /// Factor on decoding for which capacity is planned.
    pub headroom: f64,
    /// Time before an announced departure from which the engine is no longer counted on.
    pub prepare: Duration,
    /// Time to load a model when the weight store is otherwise unused.
    pub load: Duration,
    /// Models that are loaded at once within the weight store's rate.
    pub loads: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            policy: Policy::default(),
            fast: Duration::from_secs(3),
            slow: Duration::from_secs(20),
            horizon: Duration::from_secs(60),
            away: Duration::from_secs(6),
            cache_loss: Duration::from_secs(2),
            margin: 1.5,
            dwell: Duration::from_secs(45),
            pause: Duration::from_secs(5),
            changing: 0.25,
            reserve: 0.2,
            mixed_efficiency: 0.65,
            prefill_headroom: 1.5,
            headroom: 1.15,
            prepare: Duration::from_secs(20),
            load: Duration::from_secs(60),
            loads: 1,
        }
    }
}
