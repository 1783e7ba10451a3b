//! What a holder sends to targets and asks of peers.

use super::{Config, Delivery, FLOOR_SEQUENCE, Machine, Pending, Step, slot::Ended};
use crate::{
    clock::Moment,
    target::{Action, Fence, Order},
};

impl Machine {
    pub(super) fn send_floors(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let fence = Fence { epoch: self.tenure.epoch, sequence: FLOOR_SEQUENCE };
        let order =
            Order { fence, holder: self.tenure.owner.host.clone(), action: Action::Nothing };
        for (target, slot) in &mut self.slots {
            let checks = slot.facts.as_ref().is_some_and(|it| it.checks_fence);
            if !checks || slot.is_floor_raised() || slot.sending.is_some() {
                continue;
            }
            if may_repeat(slot.floor_ended.as_ref(), fence, now, &self.config) {
                slot.begin(fence);
                steps.push(Step::Send(target.clone(), order.clone()));
            }
        }
    }

    pub(super) fn send_pending(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let Some(row) = &self.row else { return };
        for (target, entry) in &row.group.targets {
            let Some(pending) = &entry.pending else { continue };
            let slot = self.slots.entry(target.clone()).or_default();
            let Some(facts) = &slot.facts else { continue };
            if pending.fence.epoch != self.tenure.epoch || slot.sending.is_some() {
                continue;
            }
            let ended = slot.ended.as_ref().filter(|it| it.fence == pending.fence);
            let due = match ended {
                None => true,
                Some(ended) => {
                    let lost = ended.delivery == Delivery::Unknown && facts.checks_fence;
                    lost && may_repeat(Some(ended), pending.fence, now, &self.config)
                }
            };
            if due {
                slot.begin(pending.fence);
                let holder = self.tenure.owner.host.clone();
                let (fence, action) = (pending.fence, pending.action.clone());
                steps.push(Step::Send(target.clone(), Order { fence, holder, action }));
            }
        }
    }

    pub(super) fn ask(&self, steps: &mut Vec<Step>) {
        let Some(row) = &self.row else { return };
        for (target, entry) in &row.group.targets {
            let earlier = entry.pending.as_ref().filter(|it| it.fence.epoch < self.tenure.epoch);
            let unknown = earlier.map(Pending::tenure).filter(|it| !self.stopped.contains_key(it));
            steps.extend(unknown.map(Step::AskStopped));
            let Some(drain) = &entry.drain else { continue };
            let barrier = self.slots.get(target).and_then(|it| it.barrier.as_ref());
            for host in barrier.iter().flat_map(|it| it.waiting()) {
                steps.push(Step::AskDrained(host.clone(), target.clone(), drain.revision));
            }
        }
    }
}

fn may_repeat(ended: Option<&Ended>, fence: Fence, now: Moment, config: &Config) -> bool {
    let last = ended.filter(|it| it.fence == fence);
    last.is_none_or(|it| it.at + config.repeat_every <= now)
}
