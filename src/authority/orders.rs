//! Orders and drains of the groups that this host holds.

use std::collections::BTreeSet;

use super::{
    Authority, Fleet, Peers,
    host_index::HostIndex,
    rows,
    runner::apply_row,
    state::{Question, State},
};
use crate::{
    clock,
    clock::Moment,
    event,
    event::Event,
    id,
    link::{
        peer::wire::{DrainQuestion, DrainStatus, StopQuestion, StopStatus},
        runtime,
    },
    order::{self, Delivery, Outcome, Step, TargetState, Tenure},
    store::{CallError, Commit, Table},
    target::{Control, Order},
};

/// Maximum number of rounds for one group in one tick; several rounds let an order pass several
/// stages without waiting for the next tick.
const MAX_ROUNDS: usize = 4;

/// Whether another round for the group should follow in this tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Round {
    Again,
    Done,
}

impl<T: Table, F: Fleet, P: Peers> Authority<T, F, P> {
    pub(super) fn advance_orders(&self, index: &HostIndex) {
        let groups: Vec<id::Group> = self.state().groups.keys().cloned().collect();
        for group in groups {
            for _ in 0..MAX_ROUNDS {
                if self.advance_group(&group, index) == Round::Done {
                    break;
                }
            }
        }
    }

    fn advance_group(&self, group: &id::Group, index: &HostIndex) -> Round {
        let Some((epoch, steps)) = self.steps(group, index) else { return Round::Done };
        let mut round = Round::Done;
        for step in steps {
            match step {
                Step::Read => round = self.read_group(group),
                Step::Write(write) => round = self.write_group(group, epoch, &write),
                Step::Send(target, order) => self.send(group, target, order),
                Step::AskStopped(earlier) => self.ask_stopped(group, epoch, earlier, index),
                Step::AskDrained(host, target, revision) => {
                    let group = group.clone();
                    self.ask_drained(epoch, host, DrainQuestion { group, target, revision });
                }
                Step::Resign => {}
            }
        }
        round
    }

    /// Returns the lease's epoch and the steps to take, if this host holds the group.
    fn steps(&self, group: &id::Group, index: &HostIndex) -> Option<(id::Epoch, Vec<Step>)> {
        let now = clock::now();
        let mut state = self.state();
        let state = &mut *state;
        let group_state = state.groups.get_mut(group)?;
        let Some(epoch) = group_state.lease.held_epoch(now) else {
            group_state.controller = None;
            return None;
        };
        let config = &self.inner.config.order;
        if group_state.controller_of(epoch).is_none() {
            let tenure = Tenure { owner: self.owner().clone(), epoch };
            group_state.controller = Some(order::Controller::new(tenure, config.clone()));
            group_state.report_asked_at.clear();
        }
        let controller = group_state.controller.as_mut()?;
        let steps = controller.next_steps(now, &index.hosts, rand::random());
        for (target, _, outcome) in controller.take_settled() {
            self.report_outcome(&target, outcome);
        }
        // Counted under the same lock, so that a peer is not told that this host has stopped
        // between the decision to send and the send.
        for _ in steps.iter().filter(|it| matches!(it, Step::Send(..))) {
            state.begin_send(group, epoch);
        }
        Some((epoch, steps))
    }

    /// Logs and counts a settled order.
    fn report_outcome(&self, target: &str, outcome: Outcome) {
        let (counter, text) = match outcome {
            Outcome::Done => ("order.done", "carried out"),
            Outcome::Failed => ("order.failed", "failed"),
            Outcome::Void => ("order.void", "without effect"),
        };
        self.inner.metrics.add(counter, 1);
        event!(Event::OrderSettled, "the order to {target} is settled: {text}");
    }

    fn read_group(&self, group: &id::Group) -> Round {
        let key = order::row_key(group);
        match self.inner.table.read(std::slice::from_ref(&key)) {
            Ok(rows) => {
                let received_at = clock::now();
                let mut state = self.state();
                rows.iter().for_each(|it| apply_row(&mut state, it, received_at));
                Round::Again
            }
            Err(err) => {
                log::debug!("cannot read the row of the group {group}: {err}");
                Round::Done
            }
        }
    }

    fn write_group(&self, group: &id::Group, epoch: id::Epoch, write: &order::Write) -> Round {
        let outcome = self.inner.table.commit(&[rows::group_write(group, write)]);
        let received_at = clock::now();
        let round = {
            let mut state = self.state();
            match outcome {
                Ok(Commit::Conflict(rows)) => {
                    rows.iter().for_each(|it| apply_row(&mut state, it, received_at));
                    Round::Again
                }
                Ok(Commit::Done(versions)) => {
                    let controller =
                        state.groups.get_mut(group).and_then(|it| it.controller_of(epoch));
                    if let (Some(controller), Some(version)) = (controller, versions.first()) {
                        controller.write_committed(write, *version, received_at);
                    }
                    Round::Again
                }
                Err(CallError::Refused(_)) => {
                    if let Some(it) =
                        state.groups.get_mut(group).and_then(|it| it.controller_of(epoch))
                    {
                        it.write_refused(write);
                    }
                    Round::Done
                }
                // The same write is repeated; a conflict shows whether this attempt took effect.
                Err(CallError::Lost(_)) => Round::Done,
            }
        };
        self.publish_drains();
        round
    }

    /// Sends an order on a thread of the blocking pool.
    fn send(&self, group: &id::Group, target: id::Target, order: Order) {
        let it = self.clone();
        let group = group.clone();
        runtime::handle().spawn_blocking(move || {
            let fence = order.fence;
            let delivery = it.deliver(&group, &target, &order);
            let ended_at = clock::now();
            let mut state = it.state();
            state.end_send(&group, fence.epoch);
            let controller =
                state.groups.get_mut(&group).and_then(|it| it.controller_of(fence.epoch));
            if let Some(controller) = controller {
                controller.send_ended(&target, fence, delivery, ended_at);
            }
        });
    }

    fn deliver(&self, group: &id::Group, target: &id::Target, order: &Order) -> Delivery {
        let Some(control) = self.inner.fleet.control(target) else {
            return Delivery::WithoutEffect;
        };
        let epoch = order.fence.epoch;
        let holds_lease = || {
            let state = self.state();
            let lease = state.groups.get(group).map(|it| &it.lease);
            lease.and_then(|it| it.held_epoch(clock::now())) == Some(epoch)
        };
        self.inner.metrics.add("order.sent", 1);
        let result = control.send_order(order, holds_lease);
        let (number, action) = (order.fence.sequence, &order.action);
        event!(Event::OrderSent, "order {epoch}.{number} to {target}, {action:?}: {result:?}");
        Delivery::from(&result)
    }

    fn ask_stopped(&self, group: &id::Group, epoch: id::Epoch, earlier: Tenure, index: &HostIndex) {
        let it = self.clone();
        let group = group.clone();
        if earlier.owner == *self.owner() {
            let incarnation = earlier.owner.incarnation;
            let question = StopQuestion { group: group.clone(), incarnation, epoch: earlier.epoch };
            if self.stop_status(&question) == StopStatus::Stopped {
                self.update_controller(&group, epoch, |it, now| it.holder_stopped(&earlier, now));
            }
            return;
        }
        let absent_since = self.state().absences.absent_since(&earlier.owner, index);
        if absent_since.is_some_and(|it| it + self.inner.config.gone_after <= index.read_at) {
            self.update_controller(&group, epoch, |it, now| it.holder_stopped(&earlier, now));
            return;
        }
        let question = Question::Stopped(group.clone(), earlier.clone());
        self.ask(question, move || {
            if it.inner.peers.has_stopped(&group, &earlier) == Some(true) {
                it.update_controller(&group, epoch, |it, now| it.holder_stopped(&earlier, now));
            }
        });
    }

    fn ask_drained(&self, epoch: id::Epoch, host: id::Host, question: DrainQuestion) {
        let it = self.clone();
        self.ask(Question::Drained(host.clone(), question.target.clone()), move || {
            let DrainQuestion { group, target, revision } = &question;
            let drained = if host == it.owner().host {
                it.drain_status(&question) == DrainStatus::Drained
            } else {
                it.inner.peers.has_drained(&host, group, target, *revision) == Some(true)
            };
            if drained {
                it.update_controller(group, epoch, |it, now| {
                    it.host_drained(&host, target, *revision, now)
                });
            }
        });
    }

    /// Asks targets of the groups that this host holds for their reports: at every tick while the
    /// group's row has an entry for the target, otherwise every `report_every`.
    pub(super) fn ask_reports(&self, index: &HostIndex) {
        let now = clock::now();
        let mut due = Vec::new();
        {
            let mut state = self.state();
            for (group, group_state) in &mut state.groups {
                let Some(epoch) = group_state.lease.held_epoch(now) else { continue };
                let recorded: BTreeSet<id::Target> = group_state
                    .group()
                    .map(|it| it.targets.keys().cloned().collect())
                    .unwrap_or_default();
                for target in index.groups.get(group).into_iter().flat_map(|it| it.keys()) {
                    let last = group_state.report_asked_at.get(target);
                    let is_due = recorded.contains(target)
                        || last.is_none_or(|it| *it + self.inner.config.report_every <= now);
                    if is_due {
                        group_state.report_asked_at.insert(target.clone(), now);
                        due.push((group.clone(), epoch, target.clone()));
                    }
                }
            }
        }
        for (group, epoch, target) in due {
            let it = self.clone();
            self.ask(Question::Report(target.clone()), move || {
                it.fetch_report(&group, epoch, &target)
            });
        }
    }

    fn fetch_report(&self, group: &id::Group, epoch: id::Epoch, target: &id::Target) {
        let Some(control) = self.inner.fleet.control(target) else { return };
        let asked_at = clock::now();
        match control.report() {
            Ok(report) => {
                self.update_controller(group, epoch, |it, _| {
                    it.target_reported(target, TargetState::new(&report, asked_at))
                });
            }
            Err(failure) => log::debug!("cannot get a report from the target {target}: {failure}"),
        }
    }

    /// Runs `ask` on a thread of the blocking pool, unless the same question is already open.
    fn ask(&self, question: Question, ask: impl FnOnce() + Send + 'static) {
        if !self.state().open_questions.insert(question.clone()) {
            return;
        }
        let it = self.clone();
        runtime::handle().spawn_blocking(move || {
            ask();
            it.state().open_questions.remove(&question);
        });
    }

    /// Passes the group's controller and the current time to `update`, if the controller still
    /// belongs to the epoch.
    fn update_controller(
        &self,
        group: &id::Group,
        epoch: id::Epoch,
        update: impl FnOnce(&mut order::Controller, Moment),
    ) {
        let now = clock::now();
        let mut state = self.state();
        let state: &mut State = &mut state;
        if let Some(controller) = state.groups.get_mut(group).and_then(|it| it.controller_of(epoch))
        {
            update(controller, now);
        }
    }
}
