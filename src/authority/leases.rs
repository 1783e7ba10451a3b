//! Acquiring, renewing and releasing the groups' leases.

use super::{
    Authority, Fleet, Peers,
    host_index::HostIndex,
    rows,
    runner::apply_row,
    state::{GroupState, State},
};
use crate::{
    clock,
    clock::Moment,
    event,
    event::Event,
    id,
    lease::{Attempt, Intent, Purpose},
    order,
    store::{CallError, Commit, Table, Write},
};

impl<T: Table, F: Fleet, P: Peers> Authority<T, F, P> {
    /// Writes the leases that are due; returns whether to try again at once after a conflict.
    pub(super) fn advance_leases(&self, index: &HostIndex) -> bool {
        let (renewals_and_releases, acquisitions) = self.lease_attempts(index);
        let conflict = self.commit_leases(&renewals_and_releases);
        for acquisition in acquisitions {
            self.commit_leases(&[acquisition]);
        }
        conflict
    }

    /// Returns the due writes: first the renewals and releases, which share one transaction, then
    /// the acquisitions, which get one each.
    fn lease_attempts(&self, index: &HostIndex) -> (Vec<GroupAttempt>, Vec<GroupAttempt>) {
        let now = clock::now();
        let mut state = self.state();
        let leaving = state.leaving;
        let sends = state.sends_in_flight.clone();
        let mut attempts = Vec::new();
        for (group, group_state) in &mut state.groups {
            let sending = group_state
                .recorded_epoch
                .is_some_and(|it| sends.contains_key(&(group.clone(), it)));
            let intent = match leaving {
                true if sending => Intent::Keep,
                true => Intent::Release,
                false => self.intent(group, group_state, index, now),
            };
            let attempt = group_state.lease.next_attempt(now, intent, rand::random());
            attempts.extend(attempt.map(|attempt| GroupAttempt { group: group.clone(), attempt }));
        }
        attempts.into_iter().partition(|it| it.attempt.purpose != Purpose::Acquire)
    }

    /// Returns what this host intends to do with a group's lease. It releases the lease once
    /// another host has been preferred for `rebalance_after` and no order or drain is in progress.
    fn intent(
        &self,
        group: &id::Group,
        group_state: &mut GroupState,
        index: &HostIndex,
        now: Moment,
    ) -> Intent {
        let intent = index.intent(group, &self.inner.owner);
        if !index.prefers_other(group, &self.inner.owner) {
            group_state.other_preferred_since = None;
            return intent;
        }
        let since = *group_state.other_preferred_since.get_or_insert(now);
        let busy = group_state.controller.as_ref().is_none_or(order::Controller::is_busy);
        if busy || now < since + self.inner.config.rebalance_after {
            return intent;
        }
        match group_state.lease.held_epoch(now) {
            Some(_) => Intent::Release,
            None => intent,
        }
    }

    /// Commits lease writes in one transaction; returns whether a conflict prevented all of them.
    fn commit_leases(&self, attempts: &[GroupAttempt]) -> bool {
        if attempts.is_empty() {
            return false;
        }
        let writes: Vec<Write> =
            attempts.iter().map(|it| rows::lease_write(&it.group, &it.attempt)).collect();
        let outcome = self.inner.table.commit(&writes);
        let received_at = clock::now();
        let mut state = self.state();
        match outcome {
            Ok(Commit::Done(versions)) => {
                for (it, version) in attempts.iter().zip(versions) {
                    if let Some(group_state) = state.groups.get_mut(&it.group) {
                        group_state.lease.write_committed(&it.attempt, version, received_at);
                    }
                }
                false
            }
            Ok(Commit::Conflict(rows)) => {
                for row in &rows {
                    apply_row(&mut state, row, received_at);
                }
                apply_refusal(&mut state, attempts);
                true
            }
            Err(CallError::Refused(_)) => {
                apply_refusal(&mut state, attempts);
                false
            }
            Err(CallError::Lost(_)) => {
                state.read_now = true;
                false
            }
        }
    }

    /// Reports the leases that were acquired or that ended since the last tick.
    pub(super) fn record_lease_changes(&self) {
        let now = clock::now();
        let mut state = self.state();
        for (group, group_state) in &mut state.groups {
            let epoch = group_state.lease.held_epoch(now);
            if epoch == group_state.recorded_epoch {
                continue;
            }
            if let Some(epoch) = epoch {
                self.inner.metrics.add("lease.taken", 1);
                event!(
                    Event::LeaseTaken,
                    "acquired the lease of the group {group} in epoch {epoch}"
                );
            } else {
                self.inner.metrics.add("lease.ended", 1);
                event!(Event::LeaseEnded, "no longer holds the group {group}");
            }
            group_state.recorded_epoch = epoch;
        }
    }
}

/// A write to one group's lease.
#[derive(Debug)]
struct GroupAttempt {
    group: id::Group,
    attempt: Attempt,
}

/// Marks lease writes as refused.
fn apply_refusal(state: &mut State, attempts: &[GroupAttempt]) {
    for it in attempts {
        if let Some(group_state) = state.groups.get_mut(&it.group) {
            group_state.lease.write_refused(&it.attempt);
        }
    }
}
