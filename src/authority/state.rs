//! What the runner remembers between two looks.

use std::collections::{BTreeMap, BTreeSet};

use super::host_index::Absences;
use crate::{
    clock::Moment,
    id, lease,
    order::{self, Group},
};

/// What the runner remembers.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) groups: BTreeMap<id::Group, GroupState>,
    pub(super) rows_read_at: Option<Moment>,
    pub(super) absences: Absences,
    /// Orders being sent, by group and epoch.
    pub(super) sends_in_flight: BTreeMap<(id::Group, id::Epoch), usize>,
    /// Questions to peers and targets that are open.
    pub(super) open_questions: BTreeSet<Question>,
    pub(super) leaving: bool,
    pub(super) read_now: bool,
}

/// One group.
#[derive(Debug)]
pub(super) struct GroupState {
    pub(super) lease: lease::Machine,
    pub(super) controller: Option<order::Controller>,
    /// The group's row as last read, by whichever host it was written.
    pub(super) row: Option<Group>,
    /// Last epoch that this host was seen to hold.
    pub(super) recorded_epoch: Option<id::Epoch>,
    /// Since when another host is the better one.
    pub(super) other_preferred_since: Option<Moment>,
    /// When each target was last asked for its report.
    pub(super) report_asked_at: BTreeMap<id::Target, Moment>,
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

impl GroupState {
    pub(super) fn new(lease: lease::Machine) -> GroupState {
        GroupState {
            lease,
            controller: None,
            row: None,
            recorded_epoch: None,
            other_preferred_since: None,
            report_asked_at: BTreeMap::new(),
        }
    }

    /// Returns the controller if it is that of the given epoch.
    pub(super) fn controller_of(&mut self, epoch: id::Epoch) -> Option<&mut order::Controller> {
        self.controller.as_mut().filter(|it| it.epoch() == epoch)
    }

    /// Returns the newest contents of the group's row that this host knows.
    pub(super) fn group(&self) -> Option<&Group> {
        let group_state = self.controller.as_ref().and_then(order::Controller::group);
        match (group_state, &self.row) {
            (Some(group_state), Some(row)) if group_state.revision < row.revision => Some(row),
            (Some(group_state), _) => Some(group_state),
            (None, row) => row.as_ref(),
        }
    }
}

impl State {
    /// Returns whether an order of an epoch is being sent.
    pub(super) fn is_sending(&self, group: &id::Group, epoch: id::Epoch) -> bool {
        self.sends_in_flight.contains_key(&(group.clone(), epoch))
    }

    pub(super) fn begin_send(&mut self, group: &id::Group, epoch: id::Epoch) {
        *self.sends_in_flight.entry((group.clone(), epoch)).or_default() += 1;
    }

    pub(super) fn end_send(&mut self, group: &id::Group, epoch: id::Epoch) {
        let key = (group.clone(), epoch);
        if let Some(count) = self.sends_in_flight.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.sends_in_flight.remove(&key);
            }
        }
    }
}
