//! Orders that the lease holder of a group sends to the group's targets.
//!
//! A target has at most one pending order. The holder records an order in the group's row before
//! sending it, so that the next holder knows about the order. A new holder first writes its epoch
//! into the row, after which every write of an earlier holder fails. It then settles the orders
//! that earlier holders left pending:
//!
//! - To a target that checks fencing tokens, it sends a fencing order, which changes nothing but
//!   makes the target refuse lower tokens. Once the target has accepted the fencing order, no
//!   earlier order can take effect.
//! - Any other target gets no new order until the earlier holder has answered that it has stopped,
//!   or the host list has dropped that holder's run, or an operator has released the target, and
//!   the send window has passed since then.
//!
//! Only a report of the target settles a pending order. The report either names the order as done
//! or failed, or has figures taken after the last moment at which the order could still arrive.

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

/// Prefix of the keys of the groups' rows.
pub const ROW_PREFIX: &str = "group/";

/// Sequence number of an epoch's fencing order; all other orders of the epoch have higher numbers.
pub const FENCING_SEQUENCE: id::Sequence = 1;

/// Timing of orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// Timing of the drains that precede orders.
    pub drain: drain::Config,
    /// Minimum time between the end of a send and a retry of the same order.
    pub retry_every: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config { drain: drain::Config::default(), retry_every: Duration::from_secs(1) }
    }
}

/// Returns the key of a group's row.
pub fn row_key(group: &str) -> smol_str::SmolStr {
    smol_str::format_smolstr!("{ROW_PREFIX}{group}")
}
