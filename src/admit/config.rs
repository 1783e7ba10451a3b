//! Settings of admission.

use std::time::Duration;

/// Order in which waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Plans within their share first, then by weighted fair queueing over engine time; within a
    /// plan, the request that must start first.
    #[default]
    Weighted,
    /// By arrival, regardless of the plan.
    Fifo,
}

/// Settings of [`super::Admission`].
#[derive(Debug, Clone)]
pub struct Config {
    /// Order in which waiting requests start.
    pub policy: Policy,
    /// Fraction of the capacity that is reserved for plans within their share.
    pub reserved_fraction: f64,
    /// Period over which a plan may accumulate unused share.
    pub share_burst: Duration,
    /// Age up to which an assigned share is used unchanged.
    pub max_share_age: Duration,
    /// Period after `max_share_age` over which an assigned share changes linearly to an even split
    /// over the hosts.
    pub share_fade: Duration,
    /// Largest number of waiting requests on the host, over all plans.
    pub max_waiting: usize,
    /// Shortest time after which a refused request is told to retry.
    pub min_retry_after: Duration,
    /// Longest time after which a refused request is told to retry.
    pub max_retry_after: Duration,
    /// Window over which each plan's demand and start rate are averaged.
    pub demand_window: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            policy: Policy::default(),
            reserved_fraction: 0.15,
            share_burst: Duration::from_millis(500),
            max_share_age: Duration::from_secs(3),
            share_fade: Duration::from_secs(30),
            max_waiting: 8_192,
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(30),
            demand_window: Duration::from_secs(2),
        }
    }
}
