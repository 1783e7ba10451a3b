//! Requests that this host has sent and whose end it hasn't seen yet.

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::{clock::Moment, route::replica::ReplicaKey};

new_key_type! {
    /// Key of a request in flight.
    pub struct Ticket;
}

/// How an attempt at a target ended.
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
    /// The target refused the request before starting it.
    Refused,
    /// The connection failed or the answer was malformed.
    Failed,
    /// The target sent nothing for longer than the idle timeout.
    Silent,
    /// The caller disconnected, or the request was cancelled for another reason that says nothing
    /// about the target.
    Cancelled,
}

/// A request in flight.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    /// Name of the requested model or service.
    pub(super) model_or_service: SmolStr,
    /// Engine that prefills the prompt, when it isn't `target`.
    pub(super) prefill: Option<ReplicaKey>,
    /// Engine that generates the answer, or replica of a plain service.
    pub(super) target: ReplicaKey,
    /// When the request was sent.
    pub(super) sent_at: Moment,
    /// When the first token arrived.
    pub(super) first_token_at: Option<Moment>,
    /// Prompt tokens that the engine is expected to prefill; the others are expected in its cache.
    pub(super) prefill_tokens: f64,
    /// Whether the request was expected to find no queue before it, so that its time to the first
    /// token shows the prefill rate.
    pub(super) unqueued: bool,
    /// Batch size of the target when the request was sent, including this request.
    pub(super) batch: f64,
    /// When the engine in `prefill` had exported the prompt's KV cache.
    pub(super) prefilled_at: Option<Moment>,
    /// Hashes of the prompt's pieces, which count as cached once the prompt has been prefilled.
    pub(super) pieces: Vec<u64>,
}
