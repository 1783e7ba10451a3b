//! Answers to questions from peers and from other parts of the daemon.

use std::collections::BTreeSet;

use super::{Authority, Fleet, GroupView, Peers, View, view};
use crate::{
    clock, id,
    link::peer::wire::{DrainQuestion, DrainStatus, StopQuestion, StopStatus},
    order::Group,
    store::Table,
};

impl<T: Table, F: Fleet, P: Peers> Authority<T, F, P> {
    /// Answers whether this run has stopped sending orders under an earlier epoch of a lease.
    pub fn stop_status(&self, question: &StopQuestion) -> StopStatus {
        if question.incarnation != self.owner().incarnation {
            return StopStatus::Unknown;
        }
        let state = self.state();
        let lease = state.groups.get(&question.group).map(|it| &it.lease);
        let holds = lease.and_then(|it| it.held_epoch(clock::now())) == Some(question.epoch);
        if holds || state.is_sending(&question.group, question.epoch) {
            return StopStatus::Holding;
        }
        StopStatus::Stopped
    }

    /// Answers whether this host has seen a drain and has no request left at the target.
    ///
    /// If the drain is not in the rows read so far, the next tick reads them again.
    pub fn drain_status(&self, question: &DrainQuestion) -> DrainStatus {
        let seen = {
            let mut state = self.state();
            let group = state.groups.get(&question.group).and_then(|it| it.group());
            let revision = group.map_or(0, |it| it.revision);
            let seen = question.revision <= revision;
            state.read_now |= !seen;
            seen
        };
        if !seen {
            return DrainStatus::Unseen;
        }
        self.publish_drains();
        if self.fleet().has_requests(&question.target) {
            return DrainStatus::Busy;
        }
        DrainStatus::Drained
    }

    /// Returns the drained targets, according to the rows that this host last read.
    pub fn drained_targets(&self) -> BTreeSet<id::Target> {
        let state = self.state();
        let groups = state.groups.values().filter_map(|it| it.group());
        groups.flat_map(targets_with_drain).collect()
    }

    /// Returns whether this host has read the rows of all groups that it knows.
    ///
    /// Until then it may route to a drained target, so it must send no requests that must not run
    /// twice.
    pub fn has_read_all_rows(&self) -> bool {
        let state = self.state();
        state.rows_read_at.is_some() && state.groups.values().all(|it| it.group().is_some())
    }

    /// Returns the host that holds a group, according to the lease that this host last read.
    pub fn holder(&self, group: &str) -> Option<id::Host> {
        let state = self.state();
        let owner = state.groups.get(group)?.lease.record()?.owner.as_ref()?;
        Some(owner.host.clone())
    }

    /// Returns the state of all groups, according to the rows that this host last read.
    pub fn view(&self) -> View {
        let now = clock::now();
        let state = self.state();
        let groups = state.groups.iter().map(|(name, group_state)| {
            let empty = Group::default();
            let group = group_state.group().unwrap_or(&empty);
            let record = group_state.lease.record();
            GroupView {
                group: name.clone(),
                holder: record.and_then(|it| it.owner.as_ref()).map(|it| it.host.clone()),
                epoch: record.map_or(0, |it| it.epoch),
                held_here: group_state.lease.held_epoch(now).is_some(),
                revision: group.revision,
                drains: view::drains(group, group_state.controller.as_ref(), now),
                orders: view::orders(group),
            }
        });
        View { groups: groups.collect() }
    }
}

fn targets_with_drain(group: &Group) -> impl Iterator<Item = id::Target> + '_ {
    group.targets.iter().filter(|(_, it)| it.drain.is_some()).map(|(target, _)| target.clone())
}
