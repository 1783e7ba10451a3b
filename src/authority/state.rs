//! What a host keeps in memory between ticks.

use std::collections::{BTreeMap, BTreeSet};

use super::host_index::Absences;
use crate::{
    clock::Moment,
    id, lease,
    order::{self, Group},
};

/// Groups, open sends and questions, kept between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) groups: BTreeMap<id::Group, GroupState>,
    /// When the last successful read of the groups' rows was sent.
    pub(super) rows_read_at: Option<Moment>,
    pub(super) absences: Absences,
    /// Number of orders being sent, by group and epoch.
    pub(super) sends_in_flight: BTreeMap<(id::Group, id::Epoch), usize>,
    /// Questions to peers and targets that are not answered yet.
    pub(super) open_questions: BTreeSet<Question>,
    /// Whether this host releases its leases and acquires no more.
    pub(super) leaving: bool,
    /// Whether to read the groups' rows in the next tick, before the interval has passed.
    pub(super) read_now: bool,
}

/// What this host knows of one group, whether or not it holds the group's lease.
#[derive(Debug)]
pub(super) struct GroupState {
    pub(super) lease: lease::Controller,
    /// Orders and drains of the group; `None` while this host does not hold the lease.
    pub(super) controller: Option<order::Controller>,
    /// The group's row as last read.
    pub(super) row: Option<Group>,
    /// Epoch held at the last tick, for reporting changes of the lease.
    pub(super) recorded_epoch: Option<id::Epoch>,
    /// Time since which another host has been preferred as holder.
    pub(super) other_preferred_since: Option<Moment>,
    /// When each target was last asked for its report.
    pub(super) report_asked_at: BTreeMap<id::Target, Moment>,
}

/// A question of which at most one is open at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Question {
    /// Asks a target for its report.
    Report(id::Target),
    /// Asks an earlier holder whether it has stopped sending orders.
    Stopped(id::Group, order::Tenure),
    /// Asks a host whether it has drained a target.
    Drained(id::Host, id::Target),
}

impl GroupState {
    pub(super) fn new(lease: lease::Controller) -> GroupState {
        GroupState {
            lease,
            controller: None,
            row: None,
            recorded_epoch: None,
            other_preferred_since: None,
            report_asked_at: BTreeMap::new(),
        }
    }

    /// Returns the controller if it belongs to the given epoch.
    pub(super) fn controller_of(&mut self, epoch: id::Epoch) -> Option<&mut order::Controller> {
        self.controller.as_mut().filter(|it| it.epoch() == epoch)
    }

    /// Returns the newest contents of the group's row that this host knows.
    pub(super) fn group(&self) -> Option<&Group> {
        let controlled = self.controller.as_ref().and_then(order::Controller::group);
        match (controlled, &self.row) {
            (Some(controlled), Some(row)) if controlled.revision < row.revision => Some(row),
            (Some(controlled), _) => Some(controlled),
            (None, row) => row.as_ref(),
        }
    }
}

impl State {
    /// Returns whether an order of the epoch is being sent.
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
