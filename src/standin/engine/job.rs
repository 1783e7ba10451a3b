//! A request inside the engine, and what is sent for it.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::{Config, answer, wire::Faults};
use crate::{
    link::http_server::{BodySender, Disconnected},
    target::{Chunk, Generation, prefix},
};

/// Time without a token after which a comment is sent, so that the connection is not silent.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Goal {
    /// An answer.
    Generate,
    /// Exported KV cache under this handle.
    Export(SmolStr),
}

/// How a request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    Finished,
    Gone,
    Cut,
}

/// What a prompt amounts to.
pub(super) struct Prompt {
    /// Tokens.
    pub(super) tokens: u32,
    /// Whole pieces of the prefix cache.
    pub(super) pieces: Vec<u64>,
    /// Hash of model and prompt.
    pub(super) hash: u64,
}

impl From<&Generation> for Prompt {
    fn from(it: &Generation) -> Prompt {
        Prompt {
            tokens: prefix::count_tokens(&it.prompt),
            pieces: prefix::piece_hashes(&it.model, &it.prompt),
            hash: prefix::prompt_hash(&it.model, &it.prompt),
        }
    }
}

/// A request inside the engine; dropping it closes its connection.
pub(super) struct Job {
    pub(super) request: SmolStr,
    pub(super) goal: Goal,
    pub(super) priority: i32,
    pub(super) pieces: Vec<u64>,
    /// Prompt tokens.
    pub(super) prompt_tokens: u32,
    /// Tokens that must be read, the prompt's and those of an answer that is resumed.
    pub(super) context: u32,
    /// Tokens imported from another engine.
    pub(super) imported: u32,
    /// Tokens that remain to be read.
    pub(super) unread: u32,
    pub(super) ending: Option<Ending>,
    cached: u32,
    seed: u64,
    next: u32,
    end: u32,
    finish: &'static str,
    sent: u32,
    has_crash_word: bool,
    output: BodySender,
    last_output: Instant,
}

impl Job {
    pub(super) fn new(
        generation: &Generation,
        prompt: Prompt,
        goal: Goal,
        imported: u32,
        faults: &Faults,
        output: BodySender,
    ) -> Job {
        let text = &generation.prompt;
        let (end, finish) = answer::length(text, generation.max_tokens);
        let next = generation.resume_at.min(end);
        let word = faults.crash_word.as_deref();
        Job {
            request: generation.request_id.clone(),
            goal,
            priority: generation.priority,
            pieces: prompt.pieces,
            prompt_tokens: prompt.tokens,
            context: prompt.tokens + next,
            imported,
            unread: 0,
            ending: None,
            cached: 0,
            seed: prompt.hash,
            next,
            end,
            finish,
            sent: 0,
            has_crash_word: word.is_some_and(|it| text.split_whitespace().any(|w| w == it)),
            output,
            last_output: Instant::now(),
        }
    }

    /// Begins to run, with so many of the prompt's tokens in the prefix cache.
    pub(super) fn begin(&mut self, cached: u32) {
        self.cached = cached.max(self.imported).min(self.prompt_tokens);
        self.unread = (self.context - self.cached).max(1);
    }

    /// Returns the memory that the request needs at its end, in tokens.
    pub(super) fn footprint(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.end)
    }

    /// Returns the prompt tokens that were found in the prefix cache or imported.
    pub(super) fn cached(&self) -> u32 {
        self.cached
    }

    pub(super) fn is_held(&self, faults: &Faults) -> bool {
        faults.hold_after_tokens.is_some_and(|it| it <= self.sent)
    }

    /// Returns whether running the request crashes the engine now.
    pub(super) fn crashes(&self, faults: &Faults) -> bool {
        self.has_crash_word && faults.crash_word_after <= self.sent
    }

    /// Notes a caller that went away, and keeps the connection of a waiting one from being silent.
    pub(super) fn watch(&mut self) {
        if self.output.is_disconnected() {
            self.ending = Some(Ending::Gone);
        } else if KEEPALIVE <= self.last_output.elapsed() {
            let comment = match self.goal {
                Goal::Generate => ": waiting\n\n",
                Goal::Export(_) => "\n",
            };
            self.send(comment.to_owned());
        }
    }

    /// Sends the next token, and the end after the last one.
    pub(super) fn generate(&mut self, faults: &Faults) {
        if self.next < self.end {
            let text = answer::token(self.seed, self.next);
            let piece = event(&Chunk::Token { index: self.next, text });
            if faults.repeat_tokens {
                self.send(piece.clone());
            }
            self.send(piece);
            self.next += 1;
            self.sent += 1;
        }
        if faults.cut_after_tokens.is_some_and(|it| it <= self.sent) {
            self.ending = Some(Ending::Cut);
        } else if self.next == self.end {
            let finish = SmolStr::new_static(self.finish);
            let end = Chunk::End { tokens: self.end, cached: self.cached, finish };
            self.send(event(&end) + "data: [DONE]\n\n");
            self.ending = self.ending.or(Some(Ending::Finished));
        }
    }

    /// Sends the whole answer to a request for exported KV cache.
    pub(super) fn export(&mut self, config: &Config, handle: &SmolStr) {
        let cache = crate::target::KvExport {
            address: config.address,
            handle: handle.clone(),
            tokens: self.prompt_tokens,
        };
        self.send(serde_json::to_string(&cache).unwrap_or_default());
        self.ending = self.ending.or(Some(Ending::Finished));
    }

    /// Closes the answer: whole if it is finished, otherwise by closing the connection.
    pub(super) fn close(self) {
        if self.ending == Some(Ending::Finished) {
            self.output.finish();
        }
    }

    fn send(&mut self, text: String) {
        self.last_output = Instant::now();
        if self.output.send(text) == Err(Disconnected) {
            self.ending = Some(Ending::Gone);
        }
    }
}

fn event(piece: &Chunk) -> String {
    let json = serde_json::to_string(piece).unwrap_or_default();
    format!("data: {json}\n\n")
}
