//! Puts one whole answer together from the pieces of several attempts.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::{id, target::Piece};

/// Tokens that may arrive ahead of a missing one before the attempt is given up.
const MAX_AHEAD: usize = 256;

/// The answer of one request as far as it has been passed on.
#[derive(Debug, Clone)]
pub struct Assembly {
    attempt: id::Attempt,
    /// Place of the next token for the caller.
    next: u32,
    /// Tokens of the present attempt that came ahead of a missing one.
    ahead: BTreeMap<u32, SmolStr>,
    ended: bool,
}

/// What became of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// These tokens come next in the answer.
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
    /// The piece is a duplicate, ahead of a missing one, or from an older attempt.
    Nothing,
}

/// The attempt's pieces do not make a whole answer; it must be resumed in another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("token {missing} of the answer is missing")]
pub struct Gap {
    /// Place of the first missing token.
    pub missing: u32,
}

impl Default for Assembly {
    fn default() -> Assembly {
        Assembly::new()
    }
}

impl Assembly {
    /// Starts an answer, in its first attempt.
    pub fn new() -> Assembly {
        Assembly { attempt: 1, next: 0, ahead: BTreeMap::new(), ended: false }
    }

    /// Begins another attempt and returns its number; pieces of older ones are dropped from now on.
    pub fn begin(&mut self) -> id::Attempt {
        self.attempt += 1;
        self.ahead.clear();
        self.attempt
    }

    /// Returns the number of the present attempt.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Returns the place of the first token that the next attempt must generate.
    pub fn resume_at(&self) -> u32 {
        self.next
    }

    /// Returns whether the end of the answer has been passed on.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Takes a piece of an attempt and returns what the caller gets.
    ///
    /// # Errors
    /// Fails when the present attempt ended, or ran too far ahead, without a token.
    pub fn accept(&mut self, attempt: id::Attempt, piece: Piece) -> Result<Accepted, Gap> {
        if attempt != self.attempt || self.ended {
            return Ok(Accepted::Nothing);
        }
        match piece {
            Piece::Token { index, text } => self.token(index, text),
            Piece::End { tokens, cached, finish } => {
                if tokens != self.next || !self.ahead.is_empty() {
                    return Err(self.gap());
                }
                self.ended = true;
                Ok(Accepted::End { tokens, cached, finish })
            }
        }
    }

    fn token(&mut self, index: u32, text: SmolStr) -> Result<Accepted, Gap> {
        if index < self.next {
            return Ok(Accepted::Nothing);
        }
        self.ahead.entry(index).or_insert(text);
        let mut tokens = Vec::new();
        while let Some(text) = self.ahead.remove(&self.next) {
            tokens.push(text);
            self.next += 1;
        }
        if MAX_AHEAD < self.ahead.len() {
            return Err(self.gap());
        }
        Ok(if tokens.is_empty() { Accepted::Nothing } else { Accepted::Tokens(tokens) })
    }

    fn gap(&self) -> Gap {
        Gap { missing: self.next }
    }
}
