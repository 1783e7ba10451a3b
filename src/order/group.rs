//! Checked contents of a group's row.

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
    /// Epoch of the holder that last took the group over.
    pub epoch: id::Epoch,
    /// Rises with each write; hosts tell by it which drains they have seen.
    pub revision: id::Version,
    /// Number of the last order of the epoch.
    pub sequence: id::Sequence,
    /// Token of the write that stored these contents.
    pub token: id::Token,
    /// Targets with anything to record.
    pub targets: BTreeMap<id::Target, Entry>,
}

/// What a group's row records of one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Entry {
    /// Change that the target should undergo.
    pub wanted: Option<Action>,
    /// Drain in force.
    pub drain: Option<Drain>,
    /// Order that may yet take effect.
    pub pending: Option<Pending>,
}

/// An order that may yet take effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pending {
    /// Fencing number.
    pub fence: Fence,
    /// What is asked.
    pub action: Action,
    /// Run of the host that recorded it and alone may send it.
    pub sender: Owner,
    /// Whether an operator vouches that the sender can send it no more.
    pub released: bool,
}

impl Pending {
    /// Returns the tenure under which the order was given.
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

    /// Drops entries that record nothing.
    pub fn remove_empty_entries(&mut self) {
        self.targets.retain(|_, it| *it != Entry::default());
    }
}
