//! Validated contents of a group's row.

use std::collections::BTreeMap;

use super::Tenure;
use crate::{
    drain::Drain,
    id,
    lease::Owner,
    target::{Action, Fence},
};

/// Contents of a group's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Group {
    /// Epoch of the last holder that took over the group.
    pub epoch: id::Epoch,
    /// Rises with each write; a host that has read a revision has seen the drains begun up to it.
    pub revision: id::Version,
    /// Sequence number of the epoch's last order.
    pub sequence: id::Sequence,
    /// Random token that identifies the write that stored these contents.
    pub token: id::Token,
    /// Targets with a wanted change, a drain or a pending order.
    pub targets: BTreeMap<id::Target, Entry>,
}

/// State of one target in the group's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Entry {
    /// Requested change that is not complete.
    pub wanted: Option<Action>,
    /// Drain in force.
    pub drain: Option<Drain>,
    /// Order that may still take effect.
    pub pending: Option<Pending>,
}

/// An order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pending {
    /// Fencing token.
    pub fence: Fence,
    /// Change that the order asks for.
    pub action: Action,
    /// Run of the host that recorded the order; no other run may send it.
    pub sender: Owner,
    /// Whether an operator has confirmed that the sender can no longer send the order.
    pub released: bool,
}

impl Pending {
    /// Returns the tenure in which the order was recorded.
    pub fn tenure(&self) -> Tenure {
        Tenure { owner: self.sender.clone(), epoch: self.fence.epoch }
    }
}

impl Group {
    /// Returns the drain of a target, if any.
    pub fn drain(&self, target: &str) -> Option<&Drain> {
        self.targets.get(target)?.drain.as_ref()
    }

    /// Marks a target's pending order as released by an operator; returns whether there was one.
    pub fn release(&mut self, target: &str) -> bool {
        let pending = self.targets.get_mut(target).and_then(|it| it.pending.as_mut());
        let Some(pending) = pending else { return false };
        pending.released = true;
        true
    }

    /// Removes entries without a wanted change, drain or pending order.
    pub fn remove_empty_entries(&mut self) {
        self.targets.retain(|_, it| *it != Entry::default());
    }
}
