//! Leases that this host takes, keeps and gives back.

use super::{
    Authority, Fleet, Peers,
    lists::Lists,
    runner::note_row,
    state::{Held, State},
    table,
};
use crate::{
    clock,
    clock::Moment,
    event,
    event::Event,
    id,
    lease::{Attempt, Purpose, Wish},
    order,
    store::{Commit, Fault, Table, Write},
};

impl<T: Table, F: Fleet, P: Peers> Authority<T, F, P> {
    /// Makes the writes of leases that are due; returns whether another round may follow at once.
    pub(super) fn advance_leases(&self, lists: &Lists) -> bool {
        let (kept, taken) = self.lease_attempts(lists);
        let again = self.commit_leases(&kept);
        for take in taken {
            self.commit_leases(&[take]);
        }
        again
    }

    /// Returns the writes that keep or return leases, for one transaction, and those that take.
    fn lease_attempts(&self, lists: &Lists) -> (Vec<Taking>, Vec<Taking>) {
        let now = clock::now();
        let mut state = self.state();
        let leaving = state.leaving;
        let sends = state.sends.clone();
        let mut attempts = Vec::new();
        for (group, held) in &mut state.groups {
            let sending = held.epoch.is_some_and(|it| sends.contains_key(&(group.clone(), it)));
            let wish = match leaving {
                true if sending => Wish::Keep,
                true => Wish::Yield,
                false => self.wish(group, held, lists, now),
            };
            let attempt = held.lease.next(now, wish, rand::random());
            attempts.extend(attempt.map(|attempt| Taking { group: group.clone(), attempt }));
        }
        attempts.into_iter().partition(|it| it.attempt.purpose != Purpose::Take)
    }

    fn wish(&self, group: &id::Group, held: &mut Held, lists: &Lists, now: Moment) -> Wish {
        let wish = lists.wish(group, &self.inner.owner);
        if !lists.prefers_other(group, &self.inner.owner) {
            held.misplaced = None;
            return wish;
        }
        let since = *held.misplaced.get_or_insert(now);
        let busy = held.tenure.as_ref().is_none_or(order::Machine::is_busy);
        if busy || now < since + self.inner.config.rebalance_after {
            return wish;
        }
        match held.lease.epoch(now) {
            Some(_) => Wish::Yield,
            None => wish,
        }
    }

    /// Commits writes of leases in one transaction; returns whether some had to be left out.
    fn commit_leases(&self, attempts: &[Taking]) -> bool {
        if attempts.is_empty() {
            return false;
        }
        let writes: Vec<Write> =
            attempts.iter().map(|it| table::lease_write(&it.group, &it.attempt)).collect();
        let outcome = self.inner.table.commit(&writes);
        let received = clock::now();
        let mut state = self.state();
        match outcome {
            Ok(Commit::Done(versions)) => {
                for (it, version) in attempts.iter().zip(versions) {
                    if let Some(held) = state.groups.get_mut(&it.group) {
                        held.lease.committed(&it.attempt, version, received);
                    }
                }
                false
            }
            Ok(Commit::Conflict(rows)) => {
                for row in &rows {
                    note_row(&mut state, row, received);
                }
                refuse(&mut state, attempts);
                true
            }
            Err(Fault::Refused(_)) => {
                refuse(&mut state, attempts);
                false
            }
            Err(Fault::Lost(_)) => {
                state.read_now = true;
                false
            }
        }
    }

    /// Notes which leases were taken or lost since the last look.
    pub(super) fn note_tenures(&self) {
        let now = clock::now();
        let mut state = self.state();
        for (group, held) in &mut state.groups {
            let epoch = held.lease.epoch(now);
            if epoch == held.epoch {
                continue;
            }
            if let Some(epoch) = epoch {
                self.inner.metrics.add("lease.taken", 1);
                event!(Event::LeaseTaken, "holds the group {group} in epoch {epoch}");
            } else {
                self.inner.metrics.add("lease.ended", 1);
                event!(Event::LeaseEnded, "holds the group {group} no more");
            }
            held.epoch = epoch;
        }
    }
}

/// A write to the lease of a group.
#[derive(Debug)]
struct Taking {
    group: id::Group,
    attempt: Attempt,
}

fn refuse(state: &mut State, attempts: &[Taking]) {
    for it in attempts {
        if let Some(held) = state.groups.get_mut(&it.group) {
            held.lease.refused(&it.attempt);
        }
    }
}
