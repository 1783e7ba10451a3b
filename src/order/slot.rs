//! What the present holder knows of one target.

use smol_str::SmolStr;

use super::{Config, FLOOR_SEQUENCE, Pending};
use crate::{
    clock::Moment,
    drain::{Barrier, Load},
    id,
    target::{Action, Failure, Fence, Progress, Receipt, Report, Role, Taken},
    verdict::Verdict,
};

/// The part of a target's report that orders depend on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Facts {
    /// Run of the target's process.
    pub incarnation: id::Incarnation,
    /// Whether it refuses orders with an older fencing number.
    pub checks_fence: bool,
    /// Present role.
    pub role: Option<Role>,
    /// Model or service that it serves.
    pub serves: SmolStr,
    /// Adapters that are loaded.
    pub adapters: Vec<SmolStr>,
    /// Version of the weights.
    pub version: SmolStr,
    /// Last order taken.
    pub taken: Option<Taken>,
    /// Work at the target, with the moment of the figures.
    pub load: Load,
}

impl Facts {
    /// Takes the facts from a report; `asked` is when the report was asked for.
    pub fn new(report: &Report, asked: Moment) -> Facts {
        Facts {
            incarnation: report.incarnation,
            checks_fence: report.checks_fence,
            role: report.role,
            serves: report.serves.clone(),
            adapters: report.adapters.clone(),
            version: report.version.clone(),
            taken: report.order.clone(),
            load: Load {
                requests: u64::from(report.running) + u64::from(report.queued),
                taken_at: asked.saturating_sub(report.age),
            },
        }
    }

    /// Returns whether the target already is as the action would make it.
    pub fn satisfies(&self, action: &Action) -> bool {
        match action {
            Action::Nothing => true,
            Action::Role(role) => self.role == Some(*role),
            Action::Model(model) => self.serves == *model,
            Action::Adapter(adapter) => self.adapters.contains(adapter),
            Action::Version(version) => self.version == *version,
        }
    }
}

/// How the sending of an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// The target took the order.
    Accepted,
    /// The order was not sent whole or the target refused it; it has no effect.
    WithoutEffect,
    /// The target may have taken the order.
    Unknown,
}

impl From<&Result<Receipt, Failure>> for Delivery {
    fn from(result: &Result<Receipt, Failure>) -> Delivery {
        match result {
            Ok(Receipt::Accepted) => Delivery::Accepted,
            Ok(Receipt::Fenced(_) | Receipt::Busy) => Delivery::WithoutEffect,
            Err(failure) if failure.verdict() == Verdict::NotRun => Delivery::WithoutEffect,
            Err(_) => Delivery::Unknown,
        }
    }
}

/// How a pending order was settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target carried it out.
    Done,
    /// The target took it and failed.
    Failed,
    /// It did not take effect, and cannot any more.
    Void,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Slot {
    pub(super) facts: Option<Facts>,
    pub(super) barrier: Option<Barrier>,
    pub(super) floor: Option<Floor>,
    pub(super) sending: Option<Sending>,
    pub(super) ended: Option<Ended>,
    pub(super) floor_ended: Option<Ended>,
    pub(super) released: Option<Moment>,
}

/// The target's run that accepted an order of the present epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Floor {
    pub(super) incarnation: id::Incarnation,
    pub(super) raised: Moment,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Sending {
    pub(super) fence: Fence,
    incarnation: Option<id::Incarnation>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Ended {
    pub(super) fence: Fence,
    pub(super) delivery: Delivery,
    pub(super) at: Moment,
}

impl Slot {
    pub(super) fn begin(&mut self, fence: Fence) {
        let incarnation = self.facts.as_ref().map(|it| it.incarnation);
        self.sending = Some(Sending { fence, incarnation });
    }

    pub(super) fn end(&mut self, fence: Fence, delivery: Delivery, at: Moment) {
        let Some(sending) = self.sending.take_if(|it| it.fence == fence) else { return };
        if delivery == Delivery::Accepted
            && let Some(incarnation) = sending.incarnation
        {
            self.floor = Some(Floor { incarnation, raised: at });
        }
        if fence.sequence == FLOOR_SEQUENCE {
            self.floor_ended = Some(Ended { fence, delivery, at });
            return;
        }
        let earlier = self.ended.as_ref().filter(|it| it.fence == fence).map(|it| it.delivery);
        // A later try without effect says nothing of an earlier one that may have had it.
        let delivery = match (earlier, delivery) {
            (Some(Delivery::Unknown), Delivery::WithoutEffect) => Delivery::Unknown,
            (_, delivery) => delivery,
        };
        self.ended = Some(Ended { fence, delivery, at });
    }

    /// Returns whether the target's present run has accepted an order of the present epoch.
    pub(super) fn is_floor_raised(&self) -> bool {
        let Some(facts) = &self.facts else { return false };
        self.floor.as_ref().is_some_and(|it| it.incarnation == facts.incarnation)
    }

    /// Returns how a pending order was settled; `stopped` is when its sender was known to have
    /// stopped, for orders of earlier holders.
    pub(super) fn outcome(
        &self,
        pending: &Pending,
        epoch: id::Epoch,
        stopped: Option<Moment>,
        config: &Config,
    ) -> Option<Outcome> {
        let facts = self.facts.as_ref()?;
        if let Some(taken) = facts.taken.as_ref().filter(|it| it.fence == pending.fence) {
            return match taken.progress {
                Progress::Running => None,
                Progress::Done => Some(Outcome::Done),
                Progress::Failed => Some(Outcome::Failed),
            };
        }
        let quiet = if pending.fence.epoch == epoch {
            self.quiet_own(pending, facts, config)
        } else {
            self.quiet_earlier(facts, stopped, config)
        };
        (quiet? < facts.load.taken_at).then_some(Outcome::Void)
    }

    /// Returns the moment from which an order of this tenure can no longer arrive.
    fn quiet_own(&self, pending: &Pending, facts: &Facts, config: &Config) -> Option<Moment> {
        let ended = self.ended.as_ref().filter(|it| it.fence == pending.fence)?;
        match ended.delivery {
            Delivery::WithoutEffect => Some(ended.at),
            // A target that checks is asked again, unless it restarted since it took the order.
            Delivery::Unknown if facts.checks_fence => None,
            Delivery::Unknown | Delivery::Accepted => Some(ended.at + config.drain.send_window),
        }
    }

    /// Returns the moment from which an order of an earlier holder can no longer arrive.
    fn quiet_earlier(
        &self,
        facts: &Facts,
        stopped: Option<Moment>,
        config: &Config,
    ) -> Option<Moment> {
        if facts.checks_fence {
            let floor = self.floor.as_ref().filter(|it| it.incarnation == facts.incarnation)?;
            return Some(floor.raised);
        }
        let stopped = stopped.or(self.released)?;
        Some(stopped + config.drain.send_window)
    }
}
