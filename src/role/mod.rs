//! Planning of engines: which role each one has and which model it serves.
//!
//! An engine is changed when the work gained over a horizon exceeds the cost of the change.

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

/// Demand for engine time, in engine-seconds per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Prefill of prompts.
    pub prefill: f64,
    /// Decoding, as engine time with full batches.
    pub decode: f64,
}

/// An engine of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Name of the engine.
    pub target: id::Target,
    /// Current role, or the role to which it is changing.
    pub role: Role,
    /// Whether it is draining or carrying out an order.
    pub changing: bool,
    /// Whether it serves requests, or will once its current change is done.
    pub serving: bool,
    /// When it leaves, if its departure is announced.
    pub leaves_at: Option<Moment>,
    /// Running and queued requests; the engine with the fewest is changed first.
    pub requests: u32,
}

/// The engines of one model in one group, and the model's demand, as the group's lease holder sees
/// them.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct View {
    /// Engines of the model in the group.
    pub engines: Vec<Engine>,
    /// Demand for the model in all groups.
    pub demand: Demand,
    /// Engines of the model in the other groups, which serve the same demand.
    pub other_groups: Supply,
    /// Position of the group among those of the model.
    pub rotation: Rotation,
}

/// Position of a group among those that serve the same model. The groups change engines in
/// rotation, so that they do not all react to the same shift of demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rotation {
    /// Position, from 0.
    pub position: u32,
    /// Number of groups.
    pub groups: u32,
}

impl Default for Rotation {
    fn default() -> Rotation {
        Rotation { position: 0, groups: 1 }
    }
}

/// Why a change is planned. Each cause has a counter `role.<code>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// The ratio of prefill to decode work has shifted.
    Mix,
    /// An engine's departure is announced.
    Announced,
    /// Demand has shifted from one model to another.
    Model,
}

impl Cause {
    /// All causes.
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

/// A planned change of an engine, to be ordered once the engine is drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Engine to change.
    pub target: id::Target,
    /// Action to order.
    pub action: Action,
    /// Why the change is planned.
    pub cause: Cause,
}

/// Returns `fraction` of `count`, rounded up, and at most `count`.
fn ceil_fraction(count: usize, fraction: f64) -> usize {
    ((count as f64 * fraction).ceil() as usize).min(count)
}

/// Returns the weight of a new sample in an exponential moving average, from 0 to 1.
///
/// `elapsed` is the time since the previous sample and `window` the average's time constant.
fn smoothing_factor(elapsed: Duration, window: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / window.as_secs_f64().max(1e-3)).exp()
}
