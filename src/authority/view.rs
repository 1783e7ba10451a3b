//! Snapshot of groups for operators and other parts of the daemon.

use serde::Serialize;
use smol_str::SmolStr;

use crate::{
    clock::Moment,
    drain, id,
    order::{Controller, Group},
    target::Action,
};

/// State of all groups, according to the rows that this host last read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct View {
    /// Groups by name.
    pub groups: Vec<GroupView>,
}

/// State of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GroupView {
    /// Name of the group.
    pub group: id::Group,
    /// Holder according to the lease's row.
    pub holder: Option<id::Host>,
    /// Epoch of the lease.
    pub epoch: id::Epoch,
    /// Whether this host holds the lease now.
    pub held_here: bool,
    /// Revision of the group's row.
    pub revision: id::Version,
    /// Drains in force.
    pub drains: Vec<DrainView>,
    /// Requested changes and pending orders.
    pub orders: Vec<OrderView>,
}

/// A drain in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DrainView {
    /// The target.
    pub target: id::Target,
    /// Why the target is drained: `order`, `announced` or `withdrawn`.
    pub purpose: &'static str,
    /// Whether this host is the holder and knows that nothing runs at the target any more.
    pub complete: bool,
    /// Hosts whose requests may still arrive at the target; empty unless this host is the holder.
    pub waiting: Vec<id::Host>,
}

impl DrainView {
    /// Returns whether an announcement began the drain.
    pub fn is_announced(&self) -> bool {
        self.purpose == purpose_name(drain::Purpose::Announced)
    }
}

/// A requested change of a target, or the pending order for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderView {
    /// The target.
    pub target: id::Target,
    /// Change that is requested or ordered.
    #[serde(flatten)]
    pub action: Action,
    /// Whether an order for the change is recorded and may have been sent.
    pub pending: bool,
    /// The only host that may send the order, once it is recorded.
    pub sender: Option<SmolStr>,
    /// Whether an operator has confirmed that the sender can no longer send the order.
    pub released: bool,
}

/// Returns the drains of a group; `controller` is the one of the holder, if this host is it.
pub(super) fn drains(
    group: &Group,
    controller: Option<&Controller>,
    now: Moment,
) -> Vec<DrainView> {
    let drains = group.targets.iter().filter_map(|(target, it)| Some((target, it.drain.as_ref()?)));
    let view = |(target, drain): (&id::Target, &drain::Drain)| DrainView {
        target: target.clone(),
        purpose: purpose_name(drain.purpose),
        complete: controller.is_some_and(|it| it.is_drained(target, now)),
        waiting: controller.map_or_else(Vec::new, |it| it.unconfirmed_hosts(target, now)),
    };
    drains.map(view).collect()
}

/// Returns the requested changes and pending orders of a group.
pub(super) fn orders(group: &Group) -> Vec<OrderView> {
    let mut orders = Vec::new();
    for (target, entry) in &group.targets {
        let pending = entry.pending.as_ref();
        let action = pending.map(|it| &it.action).or(entry.wanted.as_ref());
        orders.extend(action.map(|action| OrderView {
            target: target.clone(),
            action: action.clone(),
            pending: pending.is_some(),
            sender: pending.map(|it| it.sender.host.clone()),
            released: pending.is_some_and(|it| it.released),
        }));
    }
    orders
}

fn purpose_name(purpose: drain::Purpose) -> &'static str {
    match purpose {
        drain::Purpose::Order => "order",
        drain::Purpose::Announced => "announced",
        drain::Purpose::Withdrawn => "withdrawn",
    }
}
