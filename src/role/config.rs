//! Settings of the planners.

use std::time::Duration;

/// When engines change their roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// When the gain over the horizon exceeds the cost of the change.
    #[default]
    Planned,
    /// Never.
    Static,
    /// Whenever the current ratio of prefill to decode work rounds to another number of engines.
    Greedy,
}

/// Settings of [`super::Planner`] and [`super::Placement`].
#[derive(Debug, Clone)]
pub struct Config {
    /// When engines change their roles.
    pub policy: Policy,
    /// Window of the fast average of demand in planning roles.
    pub fast_window: Duration,
    /// Window of the slow average of demand in planning roles, and of the fast one in placing
    /// models.
    pub slow_window: Duration,
    /// Time within which a change must pay for itself; also the window of the slow average of
    /// demand in placing models.
    pub horizon: Duration,
    /// Time for which a role change takes an engine out of service, including its drain.
    pub change_time: Duration,
    /// Engine time lost with the prefix cache when an engine that runs prefill changes its role.
    pub cache_loss: Duration,
    /// Factor by which the gain must exceed the cost.
    pub margin: f64,
    /// Shortest time between two changes of one engine.
    pub dwell: Duration,
    /// Shortest time between two role changes in one group.
    pub cooldown: Duration,
    /// Largest fraction of a group that changes at once; one engine is always allowed.
    pub max_changing: f64,
    /// Fraction of a model's engines that stays mixed, to absorb short swings of the mix.
    pub mixed_reserve: f64,
    /// Work that a mixed engine does per second, relative to an engine with one role.
    pub mixed_efficiency: f64,
    /// Factor on prefill demand in planning; queueing before prefill delays first tokens.
    pub prefill_headroom: f64,
    /// Factor on decode demand in planning roles, and on all demand in placing models.
    pub headroom: f64,
    /// Time before an announced departure from which the engine no longer counts as supply.
    pub departure_lead: Duration,
    /// Time to load a model when nothing else is read from the weight store.
    pub load_time: Duration,
    /// Largest number of concurrent model loads, within the throughput of the weight store.
    pub max_loads: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            policy: Policy::default(),
            fast_window: Duration::from_secs(3),
            slow_window: Duration::from_secs(20),
            horizon: Duration::from_secs(60),
            change_time: Duration::from_secs(6),
            cache_loss: Duration::from_secs(2),
            margin: 1.5,
            dwell: Duration::from_secs(45),
            cooldown: Duration::from_secs(5),
            max_changing: 0.25,
            mixed_reserve: 0.2,
            mixed_efficiency: 0.65,
            prefill_headroom: 1.5,
            headroom: 1.15,
            departure_lead: Duration::from_secs(20),
            load_time: Duration::from_secs(60),
            max_loads: 1,
        }
    }
}
