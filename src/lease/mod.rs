//! Leases that give a host authority over a group.
//!
//! The holder counts its lease from before it sends the request that renews it; a candidate counts
//! from the arrival of the answer that first showed it the row's present version. The holder's own
//! view therefore ends before anyone else may take the lease, however long a call takes.

mod machine;
mod record;
mod spread;
pub mod wire;

use std::time::Duration;

pub use self::{
    machine::{Attempt, Machine, Purpose, Wish},
    record::{Malformed, Owner, Record},
    spread::{rank, spread},
};

/// Prefix of the rows that hold leases.
pub const ROW_PREFIX: &str = "lease/";

/// Timing of leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// Time for which a renewal holds.
    pub length: Duration,
    /// Allowance for clocks that run at different speeds over one lease.
    pub drift: Duration,
    /// Time between two renewals; a third of the length leaves two more tries.
    pub renew_every: Duration,
    /// Time by which each next candidate in rank waits longer, so that one of them wins.
    pub stagger: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            length: Duration::from_secs(6),
            drift: Duration::from_millis(500),
            renew_every: Duration::from_secs(2),
            stagger: Duration::from_millis(300),
        }
    }
}

/// Returns the name of the row that holds a group's lease.
pub fn row(group: &str) -> smol_str::SmolStr {
    smol_str::format_smolstr!("{ROW_PREFIX}{group}")
}
