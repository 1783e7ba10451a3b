//! Orders to targets under a lease.
//!
//! A target has at most one order pending. It is recorded in the group's row before it is sent, so
//! that the next holder knows of it. A new holder first writes its epoch into the row, after which
//! every write of an earlier holder fails, and then settles what earlier holders left pending:
//!
//! - A target that checks fencing numbers is sent an order that changes nothing, which raises its
//!   floor; once it is accepted, no earlier order can take effect.
//! - Any other target gets no order until the earlier holder has answered that it has stopped, or
//!   its run has left the host list, or an operator has released the target; and until the send
//!   window has passed after that.
//!
//! A pending order is settled by the target's report alone: either it names the order as ended, or
//! its figures are newer than the moment from which the order can no longer arrive.

mod controller;
mod group;
mod messages;
mod tracker;
pub mod wire;

use std::time::Duration;

pub use self::{
    controller::{Controller, Step, Tenure, Write},
    group::{Entry, Group, Pending},
    tracker::{Delivery, Outcome, TargetState},
};
use crate::{drain, id};

/// Prefix of the rows that hold groups.
pub const ROW_PREFIX: &str = "group/";

/// Number of the order that raises the floor; numbers of all others are higher.
pub const FENCING_SEQUENCE: id::Sequence = 1;

/// Timing of orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// Timing of the drains before them.
    pub drain: drain::Config,
    /// Time between two tries of an order that may be repeated.
    pub retry_every: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config { drain: drain::Config::default(), retry_every: Duration::from_secs(1) }
    }
}

/// Returns the name of a group's row.
pub fn row_key(group: &str) -> smol_str::SmolStr {
    smol_str::format_smolstr!("{ROW_PREFIX}{group}")
}
