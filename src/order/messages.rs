//! Orders that the holder sends to targets, and questions that it asks its peers.

use super::{Config, Controller, Delivery, FENCING_SEQUENCE, Pending, Step, tracker::Attempt};
use crate::{
    clock::Moment,
    target::{Action, Fence, Order},
};

impl Controller {
    /// Adds the sends of fencing orders to targets that check fencing tokens and have not accepted
    /// an order of this epoch in their current run.
    pub(super) fn send_fencing_orders(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let fence = Fence { epoch: self.tenure.epoch, sequence: FENCING_SEQUENCE };
        let order =
            Order { fence, holder: self.tenure.owner.host.clone(), action: Action::Nothing };
        for (target, tracker) in &mut self.trackers {
            let checks = tracker.observed.as_ref().is_some_and(|it| it.checks_fence);
            if !checks || tracker.rejects_earlier_epochs() || tracker.sending.is_some() {
                continue;
            }
            if is_send_due(tracker.last_fencing_attempt.as_ref(), fence, now, &self.config) {
                tracker.begin_send(fence);
                steps.push(Step::Send(target.clone(), order.clone()));
            }
        }
    }

    /// Adds the sends of pending orders of this epoch. An order whose delivery is unknown is
    /// retried only at a target that checks fencing tokens.
    pub(super) fn send_pending(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let Some(row) = &self.row else { return };
        for (target, entry) in &row.group.targets {
            let Some(pending) = &entry.pending else { continue };
            let tracker = self.trackers.entry(target.clone()).or_default();
            let Some(observed) = &tracker.observed else { continue };
            if pending.fence.epoch != self.tenure.epoch || tracker.sending.is_some() {
                continue;
            }
            let attempt = tracker.last_attempt.as_ref().filter(|it| it.fence == pending.fence);
            let due = match attempt {
                None => true,
                Some(attempt) => {
                    let may_retry = attempt.delivery == Delivery::Unknown && observed.checks_fence;
                    may_retry && is_send_due(Some(attempt), pending.fence, now, &self.config)
                }
            };
            if due {
                tracker.begin_send(pending.fence);
                let holder = self.tenure.owner.host.clone();
                let (fence, action) = (pending.fence, pending.action.clone());
                steps.push(Step::Send(target.clone(), Order { fence, holder, action }));
            }
        }
    }

    /// Adds the questions to earlier holders with pending orders, and to hosts that have not
    /// confirmed a drain.
    pub(super) fn ask_peers(&self, steps: &mut Vec<Step>) {
        let Some(row) = &self.row else { return };
        for (target, entry) in &row.group.targets {
            let earlier = entry.pending.as_ref().filter(|it| it.fence.epoch < self.tenure.epoch);
            let unknown =
                earlier.map(Pending::tenure).filter(|it| !self.stopped_at.contains_key(it));
            steps.extend(unknown.map(Step::AskStopped));
            let Some(drain) = &entry.drain else { continue };
            let barrier = self.trackers.get(target).and_then(|it| it.barrier.as_ref());
            for host in barrier.iter().flat_map(|it| it.pending_hosts()) {
                steps.push(Step::AskDrained(host.clone(), target.clone(), drain.revision));
            }
        }
    }
}

/// Returns whether an order was not sent before or its last attempt ended long enough ago.
fn is_send_due(attempt: Option<&Attempt>, fence: Fence, now: Moment, config: &Config) -> bool {
    let last = attempt.filter(|it| it.fence == fence);
    last.is_none_or(|it| it.ended_at + config.retry_every <= now)
}
