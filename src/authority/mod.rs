//! Management of leases, orders and drains on one entry host.
//!
//! All engines of a data centre form one group, so that an engine that changes its model stays
//! under the same sequence of fencing tokens. The replicas of each plain service in a data centre
//! form another group.

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

/// Last part of the name of the group of a data centre's engines.
pub const ENGINES_GROUP: &str = "engines";

/// Timing of leases, orders and drains.
#[derive(Debug, Clone)]
pub struct Config {
    /// Timing of leases.
    pub lease: lease::Config,
    /// Timing of orders and drains.
    pub order: order::Config,
    /// Time between two ticks, which do everything that is due.
    pub tick_every: Duration,
    /// Time between two reads of all groups' rows.
    pub read_every: Duration,
    /// Time between two reports of a target without a requested change, drain or pending order.
    pub report_every: Duration,
    /// Time for which a run must be missing from the host list before it is presumed ended.
    pub gone_after: Duration,
    /// Time for which another host must be preferred before this host releases a lease to it.
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
    /// All listed machines.
    pub machines: Arc<Vec<Machine>>,
    /// When the read of the host list was sent.
    pub read_at: Moment,
}

/// Access to the fleet's targets from this host.
pub trait Fleet: Send + Sync + 'static {
    /// Connection to one target.
    type Control: target::Control;

    /// Returns the host list as it was last read.
    fn listing(&self) -> Listing;

    /// Returns the connection to a target.
    fn control(&self, target: &str) -> Option<Self::Control>;

    /// Stops new requests to these targets and allows them to all others; both are in effect when
    /// the call returns.
    fn set_drained(&self, targets: &BTreeSet<id::Target>);

    /// Returns whether this host has a request at a target.
    ///
    /// A request whose connection was dropped counts until the send window has passed since then.
    fn has_requests(&self, target: &str) -> bool;
}

/// Questions to the other entry hosts. An answer of `None` means that the host gave none or cannot
/// tell.
pub trait Peers: Send + Sync + 'static {
    /// Asks whether an earlier holder has stopped sending a group's orders under its epoch.
    fn has_stopped(&self, group: &id::Group, earlier: &order::Tenure) -> Option<bool>;

    /// Asks whether a host has seen the drain begun at `revision` and has no request left at the
    /// target.
    fn has_drained(
        &self,
        host: &id::Host,
        group: &id::Group,
        target: &id::Target,
        revision: id::Version,
    ) -> Option<bool>;
}

/// Returns the group of a machine; entry hosts have none.
pub fn group_of(machine: &Machine) -> Option<id::Group> {
    match &machine.kind {
        Kind::Entry => None,
        Kind::Engine(_) => Some(id::group(&machine.data_centre, ENGINES_GROUP)),
        Kind::Service(service) => Some(id::group(&machine.data_centre, service)),
    }
}
