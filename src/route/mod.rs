//! Routing: chooses the target, or the pair of prefill and decode engines, that runs a request.

mod baseline;
mod choice;
mod config;
mod feedback;
mod fleet;
mod in_flight;
mod replica;
mod router;

use std::time::Duration;

use smol_str::SmolStr;

use crate::id;

pub use self::{
    config::{Config, Policy},
    in_flight::{Outcome, Ticket},
    router::Router,
};

/// Number of engine priorities within one priority of a plan: one for each millisecond of the limit
/// on the time to the first token. Limits of a minute or longer share the lowest.
const FIRST_TOKEN_STEPS: i32 = 60_000;

/// Kind of target that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetKind {
    /// An engine that serves a model.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// What a request needs of its target, and the figures from which its cost is estimated.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Name of the requested model or service.
    pub model_or_service: SmolStr,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Data centre of the host that sends the request.
    pub data_centre: id::DataCentre,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's full prefix-cache pieces ([`crate::target::PIECE_TOKENS`]
    /// tokens each), from the start of the prompt. Empty for services and for prompts shorter than
    /// one piece.
    pub pieces: Vec<u64>,
    /// Expected length of the answer, in tokens.
    pub output_tokens: u32,
    /// Priority in the engines' queues; higher goes first.
    pub priority: i32,
    /// Targets that must not be chosen, such as those where an earlier attempt of the request
    /// failed.
    pub exclude: Vec<id::Target>,
}

/// The targets that run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Path {
    /// Engine that prefills the prompt and exports its KV cache; `None` when `target` does the
    /// prefill.
    pub prefill: Option<id::Target>,
    /// Engine that generates the answer, or replica of a plain service.
    pub target: id::Target,
}

/// Expected latency and cost of a request that is sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the last token of the answer.
    pub finish: Duration,
    /// Engine time that the request uses.
    pub engine_time: Duration,
}

/// Returns the priority of a plan's requests in the engines' queues.
///
/// Requests are ordered by the plan's `priority` first. Within the same priority, those with the
/// shorter limit on the time to the first token go first.
pub fn engine_priority(priority: i32, first_token: Duration) -> i32 {
    let millis = i32::try_from(first_token.as_millis()).unwrap_or(i32::MAX);
    let within_plan = FIRST_TOKEN_STEPS - 1 - millis.min(FIRST_TOKEN_STEPS - 1);
    priority.saturating_mul(FIRST_TOKEN_STEPS).saturating_add(within_plan)
}

/// Load that the offered requests put on the targets of one model or service.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferedLoad {
    /// Name of the model or service.
    pub name: SmolStr,
    /// Prefill, in engine-seconds per second.
    pub prefill: f64,
    /// Decode with full batches, in engine-seconds per second.
    pub decode: f64,
}

/// Capacity of the targets of one model or service, in engine time of the requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// Engine time of the requests that can be started now.
    pub free: Duration,
    /// Engine time of the requests that could be started if none were running.
    pub limit: Duration,
}
