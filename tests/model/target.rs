//! Model of a target.

use std::time::Duration;

use fuchsiaknot::{
    clock::Moment,
    drain::Load,
    order::TargetState,
    target::{AcceptedOrder, Action, Fence, Order, Progress, Receipt, Role},
};

/// A target, which runs at most one request that drains cover.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Target {
    pub(super) incarnation: u64,
    /// Whether a covered request runs.
    pub(super) running: bool,
    checks_fence: bool,
    role: Role,
    /// Fencing token of the last accepted order of this run.
    last_fence: Fence,
    last_order: Option<AcceptedOrder>,
    /// Role of the change that is in progress.
    pending_role: Option<Role>,
    /// Highest fencing token that ever took effect, over all runs.
    highest_fence: Fence,
}

/// Effect of an order that arrived.
pub(super) struct Effect {
    pub(super) receipt: Receipt,
    pub(super) starts_change: bool,
    /// The invariant that the order violated, if any.
    pub(super) violation: Option<&'static str>,
}

impl Target {
    pub(super) fn new(checks_fence: bool) -> Target {
        Target {
            incarnation: 1,
            running: false,
            checks_fence,
            role: Role::Mixed,
            last_fence: Fence::default(),
            last_order: None,
            pending_role: None,
            highest_fence: Fence::default(),
        }
    }

    pub(super) fn is_changing(&self) -> bool {
        self.pending_role.is_some()
    }

    /// Returns the epoch of the change in progress, 0 when there is none.
    pub(super) fn change_epoch(&self) -> u64 {
        if self.is_changing() { self.highest_fence.epoch } else { 0 }
    }

    pub(super) fn finish_change(&mut self) {
        let Some(role) = self.pending_role.take() else { return };
        self.role = role;
        if let Some(order) = &mut self.last_order {
            order.progress = Progress::Done;
        }
    }

    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.running = false;
        self.last_fence = Fence::default();
        self.last_order = None;
        self.pending_role = None;
    }

    /// Handles an order; a target that checks fencing tokens does so only with `fence_checked`.
    pub(super) fn receive_order(&mut self, order: &Order, fence_checked: bool) -> Effect {
        let refused = |receipt| Effect { receipt, starts_change: false, violation: None };
        let repeated = self.last_order.as_ref().is_some_and(|it| it.fence == order.fence);
        if self.checks_fence && fence_checked {
            if order.fence < self.last_fence {
                return refused(Receipt::Fenced(self.last_fence));
            }
            if repeated || order.fence == self.last_fence && order.action == Action::Nothing {
                return refused(Receipt::Accepted);
            }
            if self.pending_role.is_some() {
                return refused(Receipt::Busy);
            }
        }
        let violation = self.violated_invariant(order, repeated);
        self.last_fence = order.fence;
        self.highest_fence = self.highest_fence.max(order.fence);
        let Action::Role(role) = order.action else {
            self.last_order = Some(AcceptedOrder { fence: order.fence, progress: Progress::Done });
            return Effect { receipt: Receipt::Accepted, starts_change: false, violation };
        };
        self.last_order = Some(AcceptedOrder { fence: order.fence, progress: Progress::Running });
        self.pending_role = Some(role);
        Effect { receipt: Receipt::Accepted, starts_change: true, violation }
    }

    pub(super) fn state(&self, now: Moment) -> TargetState {
        TargetState {
            incarnation: self.incarnation,
            checks_fence: self.checks_fence,
            role: Some(self.role),
            serves: "model".into(),
            adapters: Vec::new(),
            version: "1".into(),
            last_order: self.last_order.clone(),
            load: Load { requests: u64::from(self.running), measured_at: now },
        }
    }

    pub(super) fn state_without_load(&self, now: Moment) -> TargetState {
        let load = Load { requests: 0, measured_at: now + Duration::from_secs(1) };
        TargetState { load, ..self.state(now) }
    }

    fn violated_invariant(&self, order: &Order, repeated: bool) -> Option<&'static str> {
        if order.fence.epoch < self.highest_fence.epoch {
            return Some("an order without authority has no effect");
        }
        if order.fence < self.highest_fence && order.action != Action::Nothing {
            return Some("no conflicting orders");
        }
        if repeated {
            return (!self.checks_fence).then_some("an order that is not checked is sent once");
        }
        self.pending_role.is_some().then_some("no conflicting orders")
    }
}
