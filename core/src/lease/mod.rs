//! Leases that give one host at a time authority over a group.
//!
//! The holder measures its lease from the moment before it sends the renewal; a candidate measures
//! from the arrival of the answer that first showed it the row's current version. The lease
//! therefore ends for the holder before another host may acquire it, however long a call to the
//! table takes.

mod assignment;
mod controller;
mod record;
pub mod wire;

use std::time::Duration;

pub use self::{
    assignment::{assign, rank},
    controller::{Attempt, Controller, Intent, Purpose},
    record::{Malformed, Owner, Record},
};

/// Prefix of the row keys of leases.
pub const ROW_PREFIX: &str = "lease/";

/// Timing of leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// Time for which an acquisition or a renewal is valid.
    pub duration: Duration,
    /// Allowance for clocks that run at different speeds, over the duration of one lease.
    pub clock_drift: Duration,
    /// Time between two renewals; a third of the duration leaves two more attempts if one fails.
    pub renew_every: Duration,
    /// Additional wait per rank before a candidate acquires a lease, so that candidates do not
    /// compete for it.
    pub stagger: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            duration: Duration::from_secs(6),
            clock_drift: Duration::from_millis(500),
            renew_every: Duration::from_secs(2),
            stagger: Duration::from_millis(300),
        }
    }
}

/// Returns the key of the row that holds a group's lease.
pub fn row_key(group: &str) -> smol_str::SmolStr {
    smol_str::format_smolstr!("{ROW_PREFIX}{group}")
}
