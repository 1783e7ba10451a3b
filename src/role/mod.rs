//! Roles of engines: when a change gains more answers in time than it costs.

mod config;
mod history;
mod placement;
mod planner;
mod supply;

use std::time::Duration;

use crate::{
    clock::Moment,
    id,
    target::{Action, Role},
};

pub use self::{
    config::{Config, Policy},
    history::History,
    placement::{Model, Placement},
    planner::Planner,
    supply::Supply,
};

/// Work asked of a group, in engine seconds a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Reading prompts.
    pub prefill: f64,
    /// Generating tokens at full batches.
    pub decode: f64,
}

/// An engine of the group.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Name.
    pub target: id::Target,
    /// Present role, or the one that it is changing to.
    pub role: Role,
    /// Whether a drain or an order is under way.
    pub changing: bool,
    /// Whether it serves, or will after the change under way.
    pub serving: bool,
    /// When it leaves, if that was announced.
    pub leaves: Option<Moment>,
    /// Requests that it runs or holds; the emptiest engine is changed first.
    pub running: u32,
}

/// A group as its holder sees it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct View {
    /// Engines of the group.
    pub engines: Vec<Engine>,
    /// Work asked of the model in all groups.
    pub demand: Demand,
    /// Engines of the model in the other groups, which share its work.
    pub elsewhere: Supply,
    /// Place of the group among those of the model.
    pub turn: Turn,
}

/// Place of a group among those that serve the same model; they change in turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Place, from 0.
    pub place: u32,
    /// Number of groups.
    pub groups: u32,
}

impl Default for Turn {
    fn default() -> Turn {
        Turn { place: 0, groups: 1 }
    }
}

/// Why a change is wanted. Each has a counter `role.<code>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// The mix of work has moved.
    Mix,
    /// An announced departure is prepared.
    Announced,
    /// Demand has moved from one model to another.
    Model,
}

impl Cause {
    /// Every cause.
    pub const ALL: &'static [Cause] = &[Cause::Mix, Cause::Announced, Cause::Model];

    /// Returns the code used in the counter's name.
    pub fn code(self) -> &'static str {
        match self {
            Cause::Mix => "mix",
            Cause::Announced => "announced",
            Cause::Model => "model",
        }
    }
}

/// A change that should be ordered after a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Engine to be changed.
    pub target: id::Target,
    /// What to order.
    pub action: Action,
    /// Why.
    pub cause: Cause,
}

/// Returns `part` of `all`, rounded up, and at most `all`.
fn part_of(all: usize, part: f64) -> usize {
    ((all as f64 * part).ceil() as usize).min(all)
}

/// Returns a duration's seconds per second of another, for averaging.
fn decay(passed: Duration, window: Duration) -> f64 {
    1.0 - (-passed.as_secs_f64() / window.as_secs_f64().max(1e-3)).exp()
}
