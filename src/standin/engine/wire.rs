//! Messages of the stand-in engine beside those of [`crate::target`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    id,
    target::{Action, Fence, Receipt},
};

/// Requests and orders that are kept in the record.
const RECORD_ENTRIES: usize = 100_000;

/// Body of `POST /faults`; what it leaves out is switched off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Crashes once it has generated this many tokens from now on.
    pub crash_after_tokens: Option<u64>,
    /// Crashes while it runs a request whose prompt holds this word.
    pub crash_word: Option<SmolStr>,
    /// Tokens that such a request gets before the crash.
    pub crash_word_after: u32,
    /// Crashes in the middle of the next change of role, model or version.
    pub crash_on_change: bool,
    /// Answers nothing and generates nothing; connections stay open.
    pub freeze: bool,
    /// Each answer stops after this many tokens for as long as the fault is on.
    pub hold_after_tokens: Option<u32>,
    /// Each answer's connection is closed after this many tokens.
    pub cut_after_tokens: Option<u32>,
    /// Sends each token twice.
    pub repeat_tokens: bool,
    /// Refuses requests before they start.
    pub refuse: bool,
    /// Carries this many of the next orders out, but closes their connections without an answer.
    pub lose_order_answers: u32,
}

/// Answer to `GET /record`: what the engine did since it was started.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Requests that were started, oldest first.
    pub started: VecDeque<Started>,
    /// Orders that arrived whole, oldest first.
    pub orders: VecDeque<Ordered>,
    /// Requests that ended with a whole answer.
    pub finished: u64,
    /// Requests that were cancelled or whose caller went away.
    pub cancelled: u64,
    /// Requests that the engine itself cut, by a crash or an order.
    pub cut: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens read.
    pub prefilled: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
}

impl Record {
    pub(super) fn start(&mut self, started: Started) {
        push(&mut self.started, started);
    }

    pub(super) fn order(&mut self, ordered: Ordered) {
        push(&mut self.orders, ordered);
    }
}

fn push<T>(entries: &mut VecDeque<T>, entry: T) {
    if entries.len() == RECORD_ENTRIES {
        entries.pop_front();
    }
    entries.push_back(entry);
}

/// A request that was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// Identifier of the attempt.
    pub request: SmolStr,
    /// Hash of model and prompt; see [`crate::target::prefix::prompt_hash`].
    pub prompt_hash: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// First token wanted.
    pub resume_at: u32,
    /// Run of the engine.
    pub incarnation: id::Incarnation,
}

/// An order that arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered {
    /// Fencing number.
    pub fence: Fence,
    /// Host that gave the order.
    pub holder: id::Host,
    /// What was asked.
    pub action: Action,
    /// What the engine made of it.
    pub receipt: Receipt,
    /// Requests that it ran when the order arrived.
    pub running: u32,
}

/// KV cache as one engine sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Tokens that it covers.
    pub tokens: u32,
    /// Whole pieces of the prefix cache that it covers.
    pub pieces: Vec<u64>,
}
