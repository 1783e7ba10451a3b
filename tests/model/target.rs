//! A target as the specification sees it.

use std::time::Duration;

use fuchsiaknot::{
    clock::Moment,
    drain::Load,
    order::TargetState,
    target::{AcceptedOrder, Action, Fence, Order, Progress, Receipt, Role},
};

/// A target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Machine {
    pub(super) incarnation: u64,
    pub(super) running: bool,
    checks: bool,
    role: Role,
    floor: Fence,
    taken: Option<AcceptedOrder>,
    pending: Option<Role>,
    /// Highest fencing number that ever took effect, over all runs.
    highest: Fence,
}

/// What the arrival of an order brought about.
pub(super) struct Effect {
    pub(super) receipt: Receipt,
    pub(super) changes: bool,
    pub(super) broken: Option<&'static str>,
}

impl Machine {
    pub(super) fn new(checks: bool) -> Machine {
        Machine {
            incarnation: 1,
            running: false,
            checks,
            role: Role::Mixed,
            floor: Fence::default(),
            taken: None,
            pending: None,
            highest: Fence::default(),
        }
    }

    pub(super) fn is_changing(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the epoch of the change under way.
    pub(super) fn changed_in(&self) -> u64 {
        if self.is_changing() { self.highest.epoch } else { 0 }
    }

    pub(super) fn finish(&mut self) {
        let Some(role) = self.pending.take() else { return };
        self.role = role;
        if let Some(taken) = &mut self.taken {
            taken.progress = Progress::Done;
        }
    }

    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.running = false;
        self.floor = Fence::default();
        self.taken = None;
        self.pending = None;
    }

    /// Takes an order, as targets of its kind do.
    pub(super) fn take(&mut self, order: &Order, fence_checked: bool) -> Effect {
        let refused = |receipt| Effect { receipt, changes: false, broken: None };
        let repeated = self.taken.as_ref().is_some_and(|it| it.fence == order.fence);
        if self.checks && fence_checked {
            if order.fence < self.floor {
                return refused(Receipt::Fenced(self.floor));
            }
            if repeated || order.fence == self.floor && order.action == Action::Nothing {
                return refused(Receipt::Accepted);
            }
            if self.pending.is_some() {
                return refused(Receipt::Busy);
            }
        }
        let broken = self.violation(order, repeated);
        self.floor = order.fence;
        self.highest = self.highest.max(order.fence);
        let Action::Role(role) = order.action else {
            self.taken = Some(AcceptedOrder { fence: order.fence, progress: Progress::Done });
            return Effect { receipt: Receipt::Accepted, changes: false, broken };
        };
        self.taken = Some(AcceptedOrder { fence: order.fence, progress: Progress::Running });
        self.pending = Some(role);
        Effect { receipt: Receipt::Accepted, changes: true, broken }
    }

    pub(super) fn facts(&self, now: Moment) -> TargetState {
        TargetState {
            incarnation: self.incarnation,
            checks_fence: self.checks,
            role: Some(self.role),
            serves: "model".into(),
            adapters: Vec::new(),
            version: "1".into(),
            last_order: self.taken.clone(),
            load: Load { requests: u64::from(self.running), measured_at: now },
        }
    }

    pub(super) fn facts_without_load(&self, now: Moment) -> TargetState {
        let load = Load { requests: 0, measured_at: now + Duration::from_secs(1) };
        TargetState { load, ..self.facts(now) }
    }

    fn violation(&self, order: &Order, repeated: bool) -> Option<&'static str> {
        if order.fence.epoch < self.highest.epoch {
            return Some("an order without authority has no effect");
        }
        if order.fence < self.highest && order.action != Action::Nothing {
            return Some("no conflicting orders");
        }
        if repeated {
            return (!self.checks).then_some("an order that is not checked is sent once");
        }
        self.pending.is_some().then_some("no conflicting orders")
    }
}
