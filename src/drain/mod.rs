//! Drains: no host sends a target new work, and what runs there ends.
//!
//! A drain is begun in the group's row and then pushed to the hosts. An order may follow once each
//! host has either said that it has nothing at the target, or has had to see the drain or grow stale
//! since, and the target reports nothing running in a report whose figures are newer than both.

mod barrier;

use std::time::Duration;

use crate::id;

pub use self::barrier::{Barrier, Load};

/// Why a target is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// An order follows, and the drain ends with it.
    Order,
    /// A change was announced; the drain ends when the announcement does.
    Announced,
    /// The target is withdrawn from the fleet.
    Withdrawn,
}

/// A drain as the group's row records it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Drain {
    /// Revision of the group's row that began it.
    pub revision: id::Version,
    /// Why the target is drained.
    pub purpose: Purpose,
}

/// Timing of drains.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// Age of a host's last refresh after which it sends no work that may not repeat.
    pub freshness: Duration,
    /// Allowance for clocks that run at different speeds over the freshness bound.
    pub drift: Duration,
    /// Longest time between a host's check and the arrival of what it sends.
    pub send_window: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            freshness: Duration::from_secs(9),
            drift: Duration::from_millis(500),
            send_window: Duration::from_secs(2),
        }
    }
}
