//! What the runner remembers between two looks.

use std::collections::{BTreeMap, BTreeSet};

use super::lists::Absences;
use crate::{
    clock::Moment,
    id, lease,
    order::{self, Group},
};

/// What the runner remembers.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) groups: BTreeMap<id::Group, Held>,
    pub(super) rows_read_at: Option<Moment>,
    pub(super) absences: Absences,
    /// Orders being sent, by group and epoch.
    pub(super) sends: BTreeMap<(id::Group, id::Epoch), usize>,
    /// Questions to peers and targets that are open.
    pub(super) questions: BTreeSet<Question>,
    pub(super) leaving: bool,
    pub(super) read_now: bool,
}

/// One group.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) lease: lease::Machine,
    pub(super) tenure: Option<order::Machine>,
    /// The group's row as last read, by whichever host it was written.
    pub(super) row: Option<Group>,
    /// Last epoch that this host was seen to hold.
    pub(super) epoch: Option<id::Epoch>,
    /// Since when another host is the better one.
    pub(super) misplaced: Option<Moment>,
    /// When each target was last asked for its report.
    pub(super) asked: BTreeMap<id::Target, Moment>,
}

/// A question that is asked once at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Question {
    /// To a target for its report.
    Report(id::Target),
    /// To an earlier holder.
    Stopped(id::Group, order::Tenure),
    /// To a host about a drain.
    Drained(id::Host, id::Target),
}

impl Held {
    pub(super) fn new(lease: lease::Machine) -> Held {
        Held {
            lease,
            tenure: None,
            row: None,
            epoch: None,
            misplaced: None,
            asked: BTreeMap::new(),
        }
    }

    /// Returns the tenure of an epoch if it is the present one.
    pub(super) fn tenure_of(&mut self, epoch: id::Epoch) -> Option<&mut order::Machine> {
        self.tenure.as_mut().filter(|it| it.epoch() == epoch)
    }

    /// Returns the newest contents of the group's row that this host knows.
    pub(super) fn group(&self) -> Option<&Group> {
        let held = self.tenure.as_ref().and_then(order::Machine::group);
        match (held, &self.row) {
            (Some(held), Some(row)) if held.revision < row.revision => Some(row),
            (Some(held), _) => Some(held),
            (None, row) => row.as_ref(),
        }
    }
}

impl State {
    /// Returns whether an order of an epoch is being sent.
    pub(super) fn is_sending(&self, group: &id::Group, epoch: id::Epoch) -> bool {
        self.sends.contains_key(&(group.clone(), epoch))
    }

    pub(super) fn begin_send(&mut self, group: &id::Group, epoch: id::Epoch) {
        *self.sends.entry((group.clone(), epoch)).or_default() += 1;
    }

    pub(super) fn end_send(&mut self, group: &id::Group, epoch: id::Epoch) {
        let key = (group.clone(), epoch);
        if let Some(count) = self.sends.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.sends.remove(&key);
            }
        }
    }
}
