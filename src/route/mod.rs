//! Routing: which target, or which pair of engines, runs a request.

mod baseline;
mod choice;
mod config;
mod fleet;
mod flight;
mod learn;
mod replica;
mod router;

use std::time::Duration;

use smol_str::SmolStr;

use crate::id;

pub use self::{
    config::{Config, Policy},
    flight::{Outcome, Ticket},
    router::Router,
};

/// Steps of engine_priority within one priority of a plan; also the longest time told apart, in milliseconds.
const FIRST_TOKEN_STEPS: i32 = 60_000;

/// What kind of target a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// An engine that serves a model.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// What a request needs of its target.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Model or service asked for.
    pub model_or_service: SmolStr,
    /// Kind of target that it needs.
    pub kind: Kind,
    /// Data centre of the host that sends it.
    pub data_centre: id::DataCentre,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's whole pieces, in order; may be empty.
    pub pieces: Vec<u64>,
    /// Expected tokens of the answer.
    pub output_tokens: u32,
    /// Priority at the engines; higher goes first.
    pub priority: i32,
    /// Targets that must not be chosen, such as those that have already failed this request.
    pub exclude: Vec<id::Target>,
}

/// The targets that run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Path {
    /// Engine that reads the prompt and exports its KV cache; `None` when `target` reads it.
    pub prefill: Option<id::Target>,
    /// Engine that generates the answer, or replica of a service.
    pub target: id::Target,
}

/// Expected course of a request that is sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the end of the answer.
    pub finish: Duration,
    /// Engine time that it takes up.
    pub engine_time: Duration,
}

/// Returns the priority at the engines: the plan's own first, then the shorter time to the first token.
///
/// Within a plan's priority a request that is due sooner is read before one that may wait.
pub fn engine_priority(priority: i32, first_token: Duration) -> i32 {
    let millis = i32::try_from(first_token.as_millis()).unwrap_or(i32::MAX);
    let sooner = FIRST_TOKEN_STEPS - 1 - millis.min(FIRST_TOKEN_STEPS - 1);
    priority.saturating_mul(FIRST_TOKEN_STEPS).saturating_add(sooner)
}

/// OfferedLoad that was asked of the targets of one model or service.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferedLoad {
    /// Model or service.
    pub name: SmolStr,
    /// Engine seconds of prefill asked for in a second.
    pub prefill: f64,
    /// Engine seconds of decoding asked for in a second, at full batches.
    pub decode: f64,
}

/// Engine time that may be in flight on the targets of one model or service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// Engine time that could be started now.
    pub free: Duration,
    /// Engine time that could be started if nothing were running.
    pub limit: Duration,
}
