//! Drains: no host sends new work to a target, and the work that runs there ends.
//!
//! A drain begins in the group's row and is then pushed to the hosts. An order may follow under two
//! conditions. First, each host has either confirmed that it has no work at the target, or enough
//! time has passed that it has seen the drain or its view has become too old to send work. Second,
//! a report measured after that shows no work at the target.

mod barrier;

use std::time::Duration;

use crate::id;

pub use self::barrier::{Barrier, Load};

/// Why a target is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// An order to the target follows; the drain ends with the change that the order makes.
    Order,
    /// A change was announced; the drain ends with the announcement.
    Announced,
    /// The target is being withdrawn from the fleet.
    Withdrawn,
}

/// A drain as stored in the group's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Drain {
    /// Revision of the group's row that began the drain.
    pub revision: id::Version,
    /// Why the target is drained.
    pub purpose: Purpose,
}

/// Timing of drains.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// Age of a host's last refresh from which it sends no work that must not be repeated.
    pub max_view_age: Duration,
    /// Allowance for clocks that run at different speeds, over `max_view_age`.
    pub clock_drift: Duration,
    /// Longest time between a host's check of its view and the arrival of the request that it
    /// sends.
    pub send_window: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_view_age: Duration::from_secs(9),
            clock_drift: Duration::from_millis(500),
            send_window: Duration::from_secs(2),
        }
    }
}
