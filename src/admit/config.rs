//! Settings of admission.

use std::time::Duration;

/// In which order waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// By each plan's share of engine time, earliest deadline first within a plan.
    #[default]
    Weighted,
    /// In the order of arrival, whatever the plan.
    FirstCome,
}

/// Settings of [`super::Admission`].
#[derive(Debug, Clone)]
pub struct Config {
    /// In which order waiting requests start.
    pub policy: Policy,
    /// Part of the capacity that is kept for plans within their share.
    pub reserve: f64,
    /// Time for which a plan may save up unused share.
    pub burst: Duration,
    /// Age of the holder's shares up to which they are used as they are.
    pub shares_bound: Duration,
    /// Time after that in which they move to an even split over the hosts.
    pub shares_fade: Duration,
    /// Requests that may wait on the host, over all plans.
    pub queue: usize,
    /// Shortest time after which a refused request should come back.
    pub retry_least: Duration,
    /// Longest time after which a refused request should come back.
    pub retry_most: Duration,
    /// Time over which each plan's demand is averaged.
    pub demand_window: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            policy: Policy::default(),
            reserve: 0.15,
            burst: Duration::from_millis(500),
            shares_bound: Duration::from_secs(3),
            shares_fade: Duration::from_secs(30),
            queue: 8_192,
            retry_least: Duration::from_millis(100),
            retry_most: Duration::from_secs(30),
            demand_window: Duration::from_secs(2),
        }
    }
}
