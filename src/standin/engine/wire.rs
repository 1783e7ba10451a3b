//! Messages of the stand-in engine, in addition to those of [`crate::target`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    id,
    target::{Action, Fence, Receipt},
};

/// Largest number of requests, and of orders, that the record keeps.
const MAX_RECORD_ENTRIES: usize = 100_000;

/// Body of `POST /faults`; omitted fields switch their faults off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of tokens generated from now on after which the engine crashes.
    pub crash_after_tokens: Option<u64>,
    /// Prompt word that makes the engine crash while it runs the request.
    pub crash_word: Option<SmolStr>,
    /// Tokens that a request with `crash_word` gets before the crash.
    pub crash_word_after: u32,
    /// Whether the engine crashes instead of completing the next change of role, model, adapter or
    /// version.
    pub crash_on_change: bool,
    /// Whether the engine generates nothing and responds only to `/faults` and `/record`.
    ///
    /// Connections stay open.
    pub freeze: bool,
    /// Number of tokens after which each answer pauses until the fault is switched off.
    pub hold_after_tokens: Option<u32>,
    /// Number of tokens after which the connection of each answer is closed.
    pub cut_after_tokens: Option<u32>,
    /// Whether each token is sent twice.
    pub repeat_tokens: bool,
    /// Whether requests are refused before they start.
    pub refuse: bool,
    /// Number of upcoming orders that are handled without a response; their connections are closed.
    pub lose_order_answers: u32,
}

/// Response to `GET /record`: requests, orders and counts since the start of the engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Requests that were started, oldest first.
    pub started: VecDeque<StartedRequest>,
    /// Orders that were received completely, oldest first.
    pub orders: VecDeque<ReceivedOrder>,
    /// Requests that were answered completely.
    pub finished: u64,
    /// Requests that were cancelled or whose caller disconnected.
    pub cancelled: u64,
    /// Requests that the engine ended early, because of a fault or an order.
    pub cut: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Prompt tokens found in the prefix cache or imported from another engine.
    pub cached: u64,
}

impl Record {
    pub(super) fn add_request(&mut self, started: StartedRequest) {
        push_bounded(&mut self.started, started);
    }

    pub(super) fn add_order(&mut self, ordered: ReceivedOrder) {
        push_bounded(&mut self.orders, ordered);
    }
}

/// Appends an entry and drops the oldest one if there are more than [`MAX_RECORD_ENTRIES`].
fn push_bounded<T>(entries: &mut VecDeque<T>, entry: T) {
    if entries.len() == MAX_RECORD_ENTRIES {
        entries.pop_front();
    }
    entries.push_back(entry);
}

/// A request that was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRequest {
    /// Request id of the attempt.
    pub request: SmolStr,
    /// Hash of model and prompt; see [`crate::target::prefix::prompt_hash`].
    pub prompt_hash: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Index of the first token to send.
    pub resume_at: u32,
    /// Incarnation of the engine that started the request.
    pub incarnation: id::Incarnation,
}

/// An order that was received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// Fencing token.
    pub fence: Fence,
    /// Host that sent the order.
    pub holder: id::Host,
    /// Requested action.
    pub action: Action,
    /// Response of the engine.
    pub receipt: Receipt,
    /// Requests inside the engine, waiting or running, when the order arrived.
    pub running: u32,
}

/// KV cache of a prompt, as one engine sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Prompt tokens covered.
    pub tokens: u32,
    /// Hashes of the complete prefix cache blocks covered.
    #[serde(rename = "pieces")]
    pub blocks: Vec<u64>,
}
