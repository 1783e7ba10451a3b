//! State of orders to the engine: fencing token checks, and one change at a time.

use smol_str::SmolStr;

use super::Config;
use crate::{
    id,
    target::{AcceptedOrder, Action, Fence, Order, Progress, Receipt, Role},
};

/// Role, model, adapters and version of the engine, and its last accepted order.
#[derive(Debug)]
pub(super) struct OrderState {
    checks_fence: bool,
    /// Highest fencing token of the accepted orders.
    highest_fence: Fence,
    last_order: Option<Order>,
    /// Progress of `last_order`.
    progress: Progress,
    /// Current role.
    pub(super) role: Role,
    /// Current model.
    pub(super) model: id::Model,
    /// Loaded adapters.
    pub(super) adapters: Vec<SmolStr>,
    /// Current version of the weights.
    pub(super) version: SmolStr,
}

/// What the engine does after an order, apart from its response.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// Nothing.
    None,
    /// Starts this change, which takes time.
    Change(Action),
}

impl OrderState {
    pub(super) fn new(config: &Config) -> OrderState {
        OrderState {
            checks_fence: config.checks_fence,
            highest_fence: Fence::default(),
            last_order: None,
            progress: Progress::Done,
            role: config.role,
            model: config.model.clone(),
            adapters: Vec::new(),
            version: config.version.clone(),
        }
    }

    /// Returns the last accepted order and its progress.
    pub(super) fn last_accepted(&self) -> Option<AcceptedOrder> {
        let order = self.last_order.as_ref()?;
        Some(AcceptedOrder { fence: order.fence, progress: self.progress })
    }

    /// Returns whether the engine accepts requests, that is, no disruptive change is in progress.
    pub(super) fn is_serving(&self) -> bool {
        let action = self.last_order.as_ref().map(|it| &it.action);
        self.progress != Progress::Running || !action.is_some_and(is_disruptive)
    }

    /// Accepts or rejects an order; a repetition of the last accepted order has no further effect.
    pub(super) fn handle(&mut self, order: &Order) -> (Receipt, Effect) {
        if self.last_order.as_ref() == Some(order) {
            return (Receipt::Accepted, Effect::None);
        }
        if self.checks_fence && order.fence <= self.highest_fence {
            return (Receipt::Fenced(self.highest_fence), Effect::None);
        }
        if self.progress == Progress::Running {
            return (Receipt::Busy, Effect::None);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.last_order = Some(order.clone());
        if order.action == Action::Nothing {
            self.progress = Progress::Done;
            return (Receipt::Accepted, Effect::None);
        }
        self.progress = Progress::Running;
        (Receipt::Accepted, Effect::Change(order.action.clone()))
    }

    /// Completes the change in progress.
    pub(super) fn complete(&mut self, action: Action) {
        self.progress = Progress::Done;
        match action {
            Action::Nothing => {}
            Action::Role(it) => self.role = it,
            Action::Model(it) => self.model = it,
            Action::Adapter(it) => self.adapters.push(it),
            Action::Version(it) => self.version = it,
        }
    }

    /// Marks the change in progress as failed; role, model, adapters and version stay as they were.
    pub(super) fn fail(&mut self) {
        self.progress = Progress::Failed;
    }
}

/// Returns whether the engine ends its requests and serves none while it carries out the action.
pub(super) fn is_disruptive(action: &Action) -> bool {
    match action {
        Action::Nothing | Action::Adapter(_) => false,
        Action::Role(_) | Action::Model(_) | Action::Version(_) => true,
    }
}
