//! Requests that this host has sent and not yet seen the end of.

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::{clock::Moment, route::replica::ReplicaKey};

new_key_type! {
    /// Names a request that was sent.
    pub struct Ticket;
}

/// How a request that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Done {
        /// Length of the prompt, in tokens.
        prompt_tokens: u32,
        /// Prompt tokens found in the engine's prefix cache.
        cached_tokens: u32,
        /// Length of the answer, in tokens.
        output_tokens: u32,
    },
    /// The target refused the request before it started.
    Refused,
    /// The connection failed or the answer was malformed.
    Failed,
    /// Nothing arrived for longer than the silence bound.
    Silent,
    /// The caller went away or the request was given up for a reason that is not the target's.
    Cancelled,
}

/// A request in flight.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    /// Model or service.
    pub(super) name: SmolStr,
    /// Engine that reads the prompt, if another than `target`.
    pub(super) prefill: Option<ReplicaKey>,
    /// Engine that generates, or replica of a service.
    pub(super) target: ReplicaKey,
    /// When it was sent.
    pub(super) sent: Moment,
    /// When its first token arrived.
    pub(super) first: Option<Moment>,
    /// Prompt tokens expected to be read, not found in the cache.
    pub(super) tokens: f64,
    /// Whether the reading engine had nothing to read before it, as far as was known.
    pub(super) alone: bool,
    /// Requests in the target's batch when it was sent, with itself.
    pub(super) batch: f64,
    /// When the reading engine had exported the prompt's KV cache.
    pub(super) read: Option<Moment>,
    /// The prompt's pieces, noted as cached when the first token arrives.
    pub(super) pieces: Vec<u64>,
}
