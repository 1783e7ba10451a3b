//! What the holder of a group knows about one target.

use smol_str::SmolStr;

use super::{Config, FENCING_SEQUENCE, Pending};
use crate::{
    clock::Moment,
    drain::{Barrier, Load},
    id,
    target::{AcceptedOrder, Action, Failure, Fence, Progress, Receipt, Report, Role},
    verdict::Verdict,
};

/// State of a target, from the parts of its report that orders depend on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetState {
    /// Run of the target's process.
    pub incarnation: id::Incarnation,
    /// Whether the target refuses orders with a fencing token lower than one that it has accepted.
    pub checks_fence: bool,
    /// Current role; `None` for plain services.
    pub role: Option<Role>,
    /// Model or service that the target serves.
    pub serves: SmolStr,
    /// Loaded adapters.
    pub adapters: Vec<SmolStr>,
    /// Version of the weights.
    pub version: SmolStr,
    /// Last order that the target accepted, if any.
    pub last_order: Option<AcceptedOrder>,
    /// Requests at the target, and the earliest time at which they may have been counted.
    pub load: Load,
}

impl TargetState {
    /// Extracts the state from a report; `asked_at` is when the request for the report was made.
    pub fn new(report: &Report, asked_at: Moment) -> TargetState {
        TargetState {
            incarnation: report.incarnation,
            checks_fence: report.checks_fence,
            role: report.role,
            serves: report.serves.clone(),
            adapters: report.adapters.clone(),
            version: report.version.clone(),
            last_order: report.order.clone(),
            load: Load {
                requests: u64::from(report.running) + u64::from(report.queued),
                measured_at: asked_at.saturating_sub(report.age),
            },
        }
    }

    /// Returns whether the target is already in the state that the action leads to.
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

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// The target accepted the order.
    Accepted,
    /// The order has no effect: it was not sent completely, or the target refused it.
    WithoutEffect,
    /// The target may have accepted the order.
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

/// Final result of a pending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target carried out the order.
    Done,
    /// The target accepted the order but failed to carry it out.
    Failed,
    /// The order had no effect, and can no longer have one.
    Void,
}

/// What the holder knows about one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Tracker {
    pub(super) observed: Option<TargetState>,
    pub(super) barrier: Option<Barrier>,
    /// Run that accepted an order of this epoch.
    pub(super) fenced_run: Option<FencedRun>,
    /// Order that is being sent.
    pub(super) sending: Option<Sending>,
    /// Last finished send of an order other than the fencing order.
    pub(super) last_attempt: Option<Attempt>,
    /// Last finished send of the fencing order.
    pub(super) last_fencing_attempt: Option<Attempt>,
    /// When the row first showed the pending order as released by an operator.
    pub(super) released_at: Option<Moment>,
}

/// A run of a target that has accepted an order of this epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct FencedRun {
    pub(super) incarnation: id::Incarnation,
    /// When the send of the accepted order ended.
    pub(super) since: Moment,
}

/// A send in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Sending {
    pub(super) fence: Fence,
    /// Run of the target, as known when the send began.
    incarnation: Option<id::Incarnation>,
}

/// A finished send.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) fence: Fence,
    pub(super) delivery: Delivery,
    /// When the send ended.
    pub(super) ended_at: Moment,
}

impl Tracker {
    pub(super) fn begin_send(&mut self, fence: Fence) {
        let incarnation = self.observed.as_ref().map(|it| it.incarnation);
        self.sending = Some(Sending { fence, incarnation });
    }

    pub(super) fn end_send(&mut self, fence: Fence, delivery: Delivery, ended_at: Moment) {
        let Some(sending) = self.sending.take_if(|it| it.fence == fence) else { return };
        if delivery == Delivery::Accepted
            && let Some(incarnation) = sending.incarnation
        {
            self.fenced_run = Some(FencedRun { incarnation, since: ended_at });
        }
        if fence.sequence == FENCING_SEQUENCE {
            self.last_fencing_attempt = Some(Attempt { fence, delivery, ended_at });
            return;
        }
        let earlier =
            self.last_attempt.as_ref().filter(|it| it.fence == fence).map(|it| it.delivery);
        // A retry without effect does not show whether an earlier attempt had an effect.
        let delivery = match (earlier, delivery) {
            (Some(Delivery::Unknown), Delivery::WithoutEffect) => Delivery::Unknown,
            (_, delivery) => delivery,
        };
        self.last_attempt = Some(Attempt { fence, delivery, ended_at });
    }

    /// Returns whether the target's current run has accepted an order of this epoch.
    pub(super) fn rejects_earlier_epochs(&self) -> bool {
        let Some(observed) = &self.observed else { return false };
        self.fenced_run.as_ref().is_some_and(|it| it.incarnation == observed.incarnation)
    }

    /// Returns the outcome of a pending order, or `None` while it is open; `stopped_at` is when an
    /// earlier holder that recorded the order was known to have stopped.
    pub(super) fn outcome(
        &self,
        pending: &Pending,
        epoch: id::Epoch,
        stopped_at: Option<Moment>,
        config: &Config,
    ) -> Option<Outcome> {
        let observed = self.observed.as_ref()?;
        if let Some(order) = observed.last_order.as_ref().filter(|it| it.fence == pending.fence) {
            return match order.progress {
                Progress::Running => None,
                Progress::Done => Some(Outcome::Done),
                Progress::Failed => Some(Outcome::Failed),
            };
        }
        let expiry = if pending.fence.epoch == epoch {
            self.own_order_expiry(pending, observed, config)
        } else {
            self.earlier_order_expiry(observed, stopped_at, config)
        };
        (expiry? < observed.load.measured_at).then_some(Outcome::Void)
    }

    /// Returns the time after which an order of this tenure can no longer arrive.
    fn own_order_expiry(
        &self,
        pending: &Pending,
        observed: &TargetState,
        config: &Config,
    ) -> Option<Moment> {
        let attempt = self.last_attempt.as_ref().filter(|it| it.fence == pending.fence)?;
        match attempt.delivery {
            Delivery::WithoutEffect => Some(attempt.ended_at),
            // A target that checks fencing tokens is sent the order again. Once it has accepted the
            // order, its report lacks the order only if the target has restarted since.
            Delivery::Unknown if observed.checks_fence => None,
            Delivery::Unknown | Delivery::Accepted => {
                Some(attempt.ended_at + config.drain.send_window)
            }
        }
    }

    /// Returns the time after which an order of an earlier holder can no longer arrive.
    fn earlier_order_expiry(
        &self,
        observed: &TargetState,
        stopped_at: Option<Moment>,
        config: &Config,
    ) -> Option<Moment> {
        if observed.checks_fence {
            let run =
                self.fenced_run.as_ref().filter(|it| it.incarnation == observed.incarnation)?;
            return Some(run.since);
        }
        let stopped_at = stopped_at.or(self.released_at)?;
        Some(stopped_at + config.drain.send_window)
    }
}
