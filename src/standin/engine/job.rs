//! A request inside the engine, and the response that is streamed for it.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::{Config, answer, wire::Faults};
use crate::{
    link::http_server::{BodySender, Disconnected},
    target::{Chunk, Generation, prefix},
};

/// Time without output after which a comment is sent, so that the client sees a live connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Kind of response that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Kind {
    /// A generated answer.
    Generate,
    /// The KV cache of the prompt, exported under this handle.
    Export(SmolStr),
}

/// How a request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// The response is complete.
    Finished,
    /// The request was cancelled, or its caller has disconnected.
    Cancelled,
    /// The engine closed the connection before the response was complete.
    Cut,
}

/// Length and hashes of a prompt.
pub(super) struct Prompt {
    /// Length in tokens.
    pub(super) tokens: u32,
    /// Hashes of the complete prefix cache blocks.
    pub(super) blocks: Vec<u64>,
    /// Hash of model and prompt.
    pub(super) hash: u64,
}

impl From<&Generation> for Prompt {
    fn from(it: &Generation) -> Prompt {
        Prompt {
            tokens: prefix::count_tokens(&it.prompt),
            blocks: prefix::piece_hashes(&it.model, &it.prompt),
            hash: prefix::prompt_hash(&it.model, &it.prompt),
        }
    }
}

/// A request inside the engine; dropping it closes its connection.
pub(super) struct Job {
    pub(super) request_id: SmolStr,
    pub(super) kind: Kind,
    pub(super) priority: i32,
    /// Hashes of the complete prefix cache blocks of the prompt.
    pub(super) blocks: Vec<u64>,
    pub(super) prompt_tokens: u32,
    /// Tokens of the prompt and of the part of the answer that a resumed request skips.
    pub(super) context_tokens: u32,
    /// Tokens of KV cache imported from another engine.
    pub(super) imported_tokens: u32,
    /// Tokens that remain to be prefilled.
    pub(super) prefill_left: u32,
    pub(super) ending: Option<Ending>,
    cached_tokens: u32,
    seed: u64,
    /// Index of the next token to send.
    next_index: u32,
    /// Length of the complete answer, in tokens.
    answer_tokens: u32,
    finish_reason: &'static str,
    /// Tokens sent to this caller, without those before the index at which it resumes.
    sent_tokens: u32,
    has_crash_word: bool,
    output: BodySender,
    last_output_at: Instant,
}

impl Job {
    pub(super) fn new(
        generation: &Generation,
        prompt: Prompt,
        kind: Kind,
        imported_tokens: u32,
        faults: &Faults,
        output: BodySender,
    ) -> Job {
        let text = &generation.prompt;
        let (answer_tokens, finish_reason) = answer::length_and_reason(text, generation.max_tokens);
        let next_index = generation.resume_at.min(answer_tokens);
        let crash_word = faults.crash_word.as_deref();
        Job {
            request_id: generation.request_id.clone(),
            kind,
            priority: generation.priority,
            blocks: prompt.blocks,
            prompt_tokens: prompt.tokens,
            context_tokens: prompt.tokens + next_index,
            imported_tokens,
            prefill_left: 0,
            ending: None,
            cached_tokens: 0,
            seed: prompt.hash,
            next_index,
            answer_tokens,
            finish_reason,
            sent_tokens: 0,
            has_crash_word: crash_word.is_some_and(|it| text.split_whitespace().any(|w| w == it)),
            output,
            last_output_at: Instant::now(),
        }
    }

    /// Starts the prefill, given how many tokens of the prompt are in the prefix cache.
    ///
    /// At least one token is left to prefill.
    pub(super) fn start_prefill(&mut self, cached_tokens: u32) {
        self.cached_tokens = cached_tokens.max(self.imported_tokens).min(self.prompt_tokens);
        self.prefill_left = (self.context_tokens - self.cached_tokens).max(1);
    }

    /// Returns the KV memory that the request needs once it is complete, in tokens.
    pub(super) fn kv_footprint(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.answer_tokens)
    }

    /// Returns the prompt tokens that were found in the prefix cache or imported.
    pub(super) fn cached_tokens(&self) -> u32 {
        self.cached_tokens
    }

    /// Returns whether the fault `hold_after_tokens` pauses the request.
    pub(super) fn is_held(&self, faults: &Faults) -> bool {
        faults.hold_after_tokens.is_some_and(|it| it <= self.sent_tokens)
    }

    /// Returns whether the fault `crash_word` crashes the engine at this request now.
    pub(super) fn triggers_crash(&self, faults: &Faults) -> bool {
        self.has_crash_word && faults.crash_word_after <= self.sent_tokens
    }

    /// Cancels the request if its caller has disconnected; otherwise sends a due keepalive.
    pub(super) fn check_connection(&mut self) {
        if self.output.is_disconnected() {
            self.ending = Some(Ending::Cancelled);
        } else if KEEPALIVE_INTERVAL <= self.last_output_at.elapsed() {
            let comment = match self.kind {
                Kind::Generate => ": waiting\n\n",
                Kind::Export(_) => "\n",
            };
            self.send(comment.to_owned());
        }
    }

    /// Sends the next token, and the end of the stream after the last token.
    pub(super) fn send_next_token(&mut self, faults: &Faults) {
        if self.next_index < self.answer_tokens {
            let text = answer::token_text(self.seed, self.next_index);
            let event = sse_event(&Chunk::Token { index: self.next_index, text });
            if faults.repeat_tokens {
                self.send(event.clone());
            }
            self.send(event);
            self.next_index += 1;
            self.sent_tokens += 1;
        }
        if faults.cut_after_tokens.is_some_and(|it| it <= self.sent_tokens) {
            self.ending = Some(Ending::Cut);
        } else if self.next_index == self.answer_tokens {
            let finish = SmolStr::new_static(self.finish_reason);
            let end = Chunk::End { tokens: self.answer_tokens, cached: self.cached_tokens, finish };
            self.send(sse_event(&end) + "data: [DONE]\n\n");
            self.ending = self.ending.or(Some(Ending::Finished));
        }
    }

    /// Sends the complete response to a request to export KV cache.
    pub(super) fn send_export(&mut self, config: &Config, handle: &SmolStr) {
        let export = crate::target::KvExport {
            address: config.address,
            handle: handle.clone(),
            tokens: self.prompt_tokens,
        };
        self.send(serde_json::to_string(&export).unwrap_or_default());
        self.ending = self.ending.or(Some(Ending::Finished));
    }

    /// Ends the response if it is complete; otherwise closes the connection without its end.
    pub(super) fn close(self) {
        if self.ending == Some(Ending::Finished) {
            self.output.finish();
        }
    }

    fn send(&mut self, text: String) {
        self.last_output_at = Instant::now();
        if self.output.send(text) == Err(Disconnected) {
            self.ending = Some(Ending::Cancelled);
        }
    }
}

/// Formats a chunk as a server-sent event.
fn sse_event(chunk: &Chunk) -> String {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}
