//! What the present holder knows of one target.

use smol_str::SmolStr;

use super::{Config, FENCING_SEQUENCE, Pending};
use crate::{
    clock::Moment,
    drain::{Barrier, Load},
    id,
    target::{Action, Failure, Fence, Progress, Receipt, Report, Role, Taken},
    verdict::Verdict,
};

/// The part of a target's report that orders depend on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetState {
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

impl TargetState {
    /// Takes the observed from a report; `asked` is when the report was asked for.
    pub fn new(report: &Report, asked: Moment) -> TargetState {
        TargetState {
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
pub(super) struct Tracker {
    pub(super) observed: Option<TargetState>,
    pub(super) barrier: Option<Barrier>,
    pub(super) fenced_run: Option<FencedRun>,
    pub(super) sending: Option<Sending>,
    pub(super) last_attempt: Option<Attempt>,
    pub(super) last_fencing_attempt: Option<Attempt>,
    pub(super) released: Option<Moment>,
}

/// The target's run that accepted an order of the present epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct FencedRun {
    pub(super) incarnation: id::Incarnation,
    pub(super) since: Moment,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Sending {
    pub(super) fence: Fence,
    incarnation: Option<id::Incarnation>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) fence: Fence,
    pub(super) delivery: Delivery,
    pub(super) at: Moment,
}

impl Tracker {
    pub(super) fn begin_send(&mut self, fence: Fence) {
        let incarnation = self.observed.as_ref().map(|it| it.incarnation);
        self.sending = Some(Sending { fence, incarnation });
    }

    pub(super) fn end_send(&mut self, fence: Fence, delivery: Delivery, at: Moment) {
        let Some(sending) = self.sending.take_if(|it| it.fence == fence) else { return };
        if delivery == Delivery::Accepted
            && let Some(incarnation) = sending.incarnation
        {
            self.fenced_run = Some(FencedRun { incarnation, since: at });
        }
        if fence.sequence == FENCING_SEQUENCE {
            self.last_fencing_attempt = Some(Attempt { fence, delivery, at });
            return;
        }
        let earlier =
            self.last_attempt.as_ref().filter(|it| it.fence == fence).map(|it| it.delivery);
        // A later try without effect says nothing of an earlier one that may have had it.
        let delivery = match (earlier, delivery) {
            (Some(Delivery::Unknown), Delivery::WithoutEffect) => Delivery::Unknown,
            (_, delivery) => delivery,
        };
        self.last_attempt = Some(Attempt { fence, delivery, at });
    }

    /// Returns whether the target's present run has accepted an order of the present epoch.
    pub(super) fn rejects_earlier_epochs(&self) -> bool {
        let Some(observed) = &self.observed else { return false };
        self.fenced_run.as_ref().is_some_and(|it| it.incarnation == observed.incarnation)
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
        let observed = self.observed.as_ref()?;
        if let Some(taken) = observed.taken.as_ref().filter(|it| it.fence == pending.fence) {
            return match taken.progress {
                Progress::Running => None,
                Progress::Done => Some(Outcome::Done),
                Progress::Failed => Some(Outcome::Failed),
            };
        }
        let expiry = if pending.fence.epoch == epoch {
            self.own_order_expiry(pending, observed, config)
        } else {
            self.earlier_order_expiry(observed, stopped, config)
        };
        (expiry? < observed.load.taken_at).then_some(Outcome::Void)
    }

    /// Returns the moment from which an order of this tenure can no longer arrive.
    fn own_order_expiry(
        &self,
        pending: &Pending,
        observed: &TargetState,
        config: &Config,
    ) -> Option<Moment> {
        let ended = self.last_attempt.as_ref().filter(|it| it.fence == pending.fence)?;
        match ended.delivery {
            Delivery::WithoutEffect => Some(ended.at),
            // A target that checks is asked again, unless it restarted since it took the order.
            Delivery::Unknown if observed.checks_fence => None,
            Delivery::Unknown | Delivery::Accepted => Some(ended.at + config.drain.send_window),
        }
    }

    /// Returns the moment from which an order of an earlier holder can no longer arrive.
    fn earlier_order_expiry(
        &self,
        observed: &TargetState,
        stopped: Option<Moment>,
        config: &Config,
    ) -> Option<Moment> {
        if observed.checks_fence {
            let run =
                self.fenced_run.as_ref().filter(|it| it.incarnation == observed.incarnation)?;
            return Some(run.since);
        }
        let stopped = stopped.or(self.released)?;
        Some(stopped + config.drain.send_window)
    }
}
