//! Runner of leases, orders and drains on one entry host.
//!
//! All engines of a data centre form one group, so that an engine that changes its model stays
//! under the same fencing numbers; each plain service of a data centre forms another.

mod answers;
mod host_index;
mod leases;
mod orders;
mod rows;
mod runner;
mod state;
mod view;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

pub use self::{
    runner::{Authority, NotHolder},
    view::{DrainView, GroupView, OrderView, View},
};
use crate::{
    clock::Moment,
    id, lease, order,
    store::{Kind, Machine},
    target,
};

/// Name of the group that holds a data centre's engines.
pub const ENGINES_GROUP: &str = "engines";

/// Timing of the runner.
#[derive(Debug, Clone)]
pub struct Config {
    /// Timing of leases.
    pub lease: lease::Config,
    /// Timing of orders and drains.
    pub order: order::Config,
    /// Time between two looks at what is due.
    pub tick_every: Duration,
    /// Time between two reads of the rows of all groups.
    pub read_every: Duration,
    /// Time between two reports of a target that no change is under way at.
    pub report_every: Duration,
    /// Time for which the host list must not name a run before it counts as gone.
    pub gone_after: Duration,
    /// Time for which another host must be the better one before a lease is passed on to it.
    pub rebalance_after: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            lease: lease::Config::default(),
            order: order::Config::default(),
            tick_every: Duration::from_millis(200),
            read_every: Duration::from_secs(1),
            report_every: Duration::from_secs(2),
            gone_after: Duration::from_secs(3),
            rebalance_after: Duration::from_secs(10),
        }
    }
}

/// The host list as it was last read.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// All machines.
    pub machines: Arc<Vec<Machine>>,
    /// When the read that gave them was sent.
    pub read_at: Moment,
}

/// The fleet as this host knows it.
pub trait Fleet: Send + Sync + 'static {
    /// Connection to one target.
    type Control: target::Control;

    /// Returns the host list as it was last read.
    fn listing(&self) -> Listing;

    /// Returns the connection to a target.
    fn control(&self, target: &str) -> Option<Self::Control>;

    /// Stops new requests to these targets, and allows them to all others, before it returns.
    fn set_drained(&self, targets: &BTreeSet<id::Target>);

    /// Returns whether this host has a request at a target.
    ///
    /// A request whose connection was dropped counts until the send window has passed since.
    fn has_requests(&self, target: &str) -> bool;
}

/// Questions to the other entry hosts; `None` means no usable answer.
pub trait Peers: Send + Sync + 'static {
    /// Asks whether a run has stopped ordering in a group under its epoch.
    fn has_stopped(&self, group: &id::Group, earlier: &order::Tenure) -> Option<bool>;

    /// Asks whether a host has seen a drain and has nothing left at the target.
    fn has_drained(
        &self,
        host: &id::Host,
        group: &id::Group,
        target: &id::Target,
        revision: id::Version,
    ) -> Option<bool>;
}

/// Returns the group of a target; entry hosts have none.
pub fn group_of(machine: &Machine) -> Option<id::Group> {
    match &machine.kind {
        Kind::Entry => None,
        Kind::Engine(_) => Some(id::group(&machine.data_centre, ENGINES_GROUP)),
        Kind::Service(service) => Some(id::group(&machine.data_centre, service)),
    }
}
