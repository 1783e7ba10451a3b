//! Orders to the engine: fencing obeyed or ignored, one change at a time.

use smol_str::SmolStr;

use super::Config;
use crate::{
    id,
    target::{AcceptedOrder, Action, Fence, Order, Progress, Receipt, Role},
};

/// What the engine is set to, and its last order.
#[derive(Debug)]
pub(super) struct Orders {
    checks_fence: bool,
    floor: Fence,
    last: Option<Order>,
    progress: Progress,
    /// Present role.
    pub(super) role: Role,
    /// Present model.
    pub(super) model: id::Model,
    /// Adapters that are loaded.
    pub(super) adapters: Vec<SmolStr>,
    /// Version of the weights.
    pub(super) version: SmolStr,
}

/// What an arriving order leads to.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// Nothing more than the answer.
    None,
    /// A change that takes time begins.
    Change(Action),
}

impl Orders {
    pub(super) fn new(config: &Config) -> Orders {
        Orders {
            checks_fence: config.checks_fence,
            floor: Fence::default(),
            last: None,
            progress: Progress::Done,
            role: config.role,
            model: config.model.clone(),
            adapters: Vec::new(),
            version: config.version.clone(),
        }
    }

    /// Returns the last order and how far it has come.
    pub(super) fn taken(&self) -> Option<AcceptedOrder> {
        let last = self.last.as_ref()?;
        Some(AcceptedOrder { fence: last.fence, progress: self.progress })
    }

    /// Returns whether requests are taken; a change other than of an adapter takes the engine away.
    pub(super) fn is_serving(&self) -> bool {
        let action = self.last.as_ref().map(|it| &it.action);
        self.progress != Progress::Running || !action.is_some_and(is_disruptive)
    }

    pub(super) fn take(&mut self, order: &Order) -> (Receipt, Effect) {
        if self.last.as_ref() == Some(order) {
            return (Receipt::Accepted, Effect::None);
        }
        if self.checks_fence && order.fence <= self.floor {
            return (Receipt::Fenced(self.floor), Effect::None);
        }
        if self.progress == Progress::Running {
            return (Receipt::Busy, Effect::None);
        }
        self.floor = self.floor.max(order.fence);
        self.last = Some(order.clone());
        if order.action == Action::Nothing {
            self.progress = Progress::Done;
            return (Receipt::Accepted, Effect::None);
        }
        self.progress = Progress::Running;
        (Receipt::Accepted, Effect::Change(order.action.clone()))
    }

    /// Completes the change under way.
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

    /// Gives the change under way up; the engine is as before.
    pub(super) fn fail(&mut self) {
        self.progress = Progress::Failed;
    }
}

/// Returns whether an action takes the engine away while it runs.
pub(super) fn is_disruptive(action: &Action) -> bool {
    match action {
        Action::Nothing | Action::Adapter(_) => false,
        Action::Role(_) | Action::Model(_) | Action::Version(_) => true,
    }
}
