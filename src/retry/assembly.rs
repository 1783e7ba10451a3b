//! Assembles one answer from the chunks of several attempts.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::{id, target::Chunk};

/// Largest number of tokens held back behind a missing one before the attempt fails.
const MAX_OUT_OF_ORDER: usize = 256;

/// Puts the tokens of one request's answer in order, across attempts.
#[derive(Debug, Clone)]
pub struct Assembly {
    attempt: id::Attempt,
    /// Index of the next token for the caller.
    next: u32,
    /// Tokens of the current attempt that arrived before a missing one, by index.
    out_of_order: BTreeMap<u32, SmolStr>,
    complete: bool,
}

/// Result of accepting a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// The next tokens of the answer, in order.
    Tokens(Vec<SmolStr>),
    /// The answer is complete.
    End {
        /// Tokens in the whole answer.
        tokens: u32,
        /// Prompt tokens that were found in the prefix cache.
        cached: u32,
        /// Why generation stopped.
        finish: SmolStr,
    },
    /// Nothing for the caller: the chunk is a duplicate, out of order, or from an earlier attempt.
    Nothing,
}

/// A token is missing from the current attempt, so the answer must be resumed in another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("token {missing} of the answer did not arrive")]
pub struct Gap {
    /// Index of the first missing token.
    pub missing: u32,
}

impl Default for Assembly {
    fn default() -> Assembly {
        Assembly::new()
    }
}

impl Assembly {
    /// Creates an empty answer, in its first attempt.
    pub fn new() -> Assembly {
        Assembly { attempt: 1, next: 0, out_of_order: BTreeMap::new(), complete: false }
    }

    /// Starts the next attempt and returns its number; chunks of earlier attempts are ignored from
    /// now on.
    pub fn next_attempt(&mut self) -> id::Attempt {
        self.attempt += 1;
        self.out_of_order.clear();
        self.attempt
    }

    /// Returns the number of the current attempt, from 1.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Returns the index of the first token that the next attempt must generate.
    pub fn resume_at(&self) -> u32 {
        self.next
    }

    /// Returns whether the end of the answer was accepted.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Accepts a chunk of an attempt and returns what to pass on to the caller.
    ///
    /// # Errors
    /// Fails when a token is missing at the end of the current attempt, or when too many later
    /// tokens have arrived without it.
    pub fn accept(&mut self, attempt: id::Attempt, chunk: Chunk) -> Result<Accepted, Gap> {
        if attempt != self.attempt || self.complete {
            return Ok(Accepted::Nothing);
        }
        match chunk {
            Chunk::Token { index, text } => self.accept_token(index, text),
            Chunk::End { tokens, cached, finish } => {
                if tokens != self.next || !self.out_of_order.is_empty() {
                    return Err(self.gap());
                }
                self.complete = true;
                Ok(Accepted::End { tokens, cached, finish })
            }
        }
    }

    fn accept_token(&mut self, index: u32, text: SmolStr) -> Result<Accepted, Gap> {
        if index < self.next {
            return Ok(Accepted::Nothing);
        }
        self.out_of_order.entry(index).or_insert(text);
        let mut tokens = Vec::new();
        while let Some(text) = self.out_of_order.remove(&self.next) {
            tokens.push(text);
            self.next += 1;
        }
        if MAX_OUT_OF_ORDER < self.out_of_order.len() {
            return Err(self.gap());
        }
        Ok(if tokens.is_empty() { Accepted::Nothing } else { Accepted::Tokens(tokens) })
    }

    fn gap(&self) -> Gap {
        Gap { missing: self.next }
    }
}
