//! What operators and other parts see of authority.

use serde::Serialize;
use smol_str::SmolStr;

use crate::{drain, id, order::Group, target::Action};

/// All groups as this host last read them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct View {
    /// Groups by name.
    pub groups: Vec<GroupView>,
}

/// One group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GroupView {
    /// Name of the group.
    pub group: id::Group,
    /// Holder named by the lease's row.
    pub holder: Option<id::Host>,
    /// Epoch of the lease.
    pub epoch: id::Epoch,
    /// Whether this host holds the lease now.
    pub held_here: bool,
    /// Revision of the group's row.
    pub revision: id::Version,
    /// Drains in force.
    pub drains: Vec<DrainView>,
    /// Changes wanted and orders pending.
    pub orders: Vec<OrderView>,
}

/// A drain in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DrainView {
    /// The target.
    pub target: id::Target,
    /// Why it is drained: `order`, `announced` or `withdrawn`.
    pub purpose: &'static str,
    /// Whether the holder, if it is this host, knows that nothing runs there any more.
    pub complete: bool,
}

impl DrainView {
    /// Returns whether an announcement began the drain.
    pub fn is_announced(&self) -> bool {
        self.purpose == purpose(drain::Purpose::Announced)
    }
}

/// A change wanted of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderView {
    /// The target.
    pub target: id::Target,
    /// What is asked.
    #[serde(flatten)]
    pub action: Action,
    /// Whether it is recorded as sent.
    pub pending: bool,
    /// Host that alone may send it, once it is recorded.
    pub sender: Option<SmolStr>,
    /// Whether an operator released the target.
    pub released: bool,
}

/// Returns the drains of a group.
pub(super) fn drains(group: &Group, is_complete: impl Fn(&str) -> bool) -> Vec<DrainView> {
    let drains = group.targets.iter().filter_map(|(target, it)| Some((target, it.drain.as_ref()?)));
    let view = |(target, drain): (&id::Target, &drain::Drain)| DrainView {
        target: target.clone(),
        purpose: purpose(drain.purpose),
        complete: is_complete(target),
    };
    drains.map(view).collect()
}

/// Returns the orders of a group.
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

fn purpose(purpose: drain::Purpose) -> &'static str {
    match purpose {
        drain::Purpose::Order => "order",
        drain::Purpose::Announced => "announced",
        drain::Purpose::Withdrawn => "withdrawn",
    }
}
