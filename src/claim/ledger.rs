//! What a host remembers of the tokens that it claimed with.
//!
//! The ledger decides whether a byte may be sent under a token. A token that is abandoned here is
//! never sent under, even when its write takes effect later.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

use crate::{
    claim::{Answer, Request, Status},
    id,
};

/// Settled tokens that are remembered; a forgotten one counts as unknown, which is always safe.
const SETTLED: usize = 16_384;

/// Answers that wait to be stored, in bytes of their bodies.
const ANSWER_BYTES: usize = 8 << 20;

/// How far a token has come on this host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Progress {
    /// Its write is under way.
    Committing,
    /// Its claim is committed; nothing was sent.
    Held,
    /// The request was sent.
    Sent,
    /// The request ran; the answer is not yet stored.
    Answered(Answer),
    /// Nothing was sent and nothing will be.
    Abandoned,
    /// The request was sent and its outcome is not known.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    row: SmolStr,
    fingerprint: id::Fingerprint,
    progress: Progress,
}

/// What this host itself knows of a customer's key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Local {
    /// Nothing that stands in the way of a claim.
    Free,
    /// A copy is under way, or its outcome is unknown.
    Held,
    /// Another request uses the key.
    Reused,
    /// The request ran and this is its answer.
    Answered(Answer),
}

/// The tokens of this host's run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Ledger {
    entries: BTreeMap<id::Token, Entry>,
    /// The token of each row that was last used and is not abandoned.
    rows: BTreeMap<SmolStr, id::Token>,
    /// Abandoned and unknown tokens, oldest first.
    settled: VecDeque<id::Token>,
    /// Bytes of the answers that wait to be stored.
    answer_bytes: usize,
}

impl Ledger {
    /// Returns what is known here of a request, whose claim would be in `row`.
    pub fn local(&self, row: &str, request: &Request) -> Local {
        let Some(entry) = self.rows.get(row).and_then(|it| self.entries.get(it)) else {
            return Local::Free;
        };
        if entry.fingerprint != request.fingerprint {
            return Local::Reused;
        }
        match &entry.progress {
            Progress::Abandoned => Local::Free,
            Progress::Answered(answer) => Local::Answered(answer.clone()),
            Progress::Committing | Progress::Held | Progress::Sent | Progress::Unknown => {
                Local::Held
            }
        }
    }

    /// Notes that a claim is being written.
    pub fn begin(&mut self, token: id::Token, row: SmolStr, fingerprint: id::Fingerprint) {
        self.rows.insert(row.clone(), token);
        self.entries.insert(token, Entry { row, fingerprint, progress: Progress::Committing });
    }

    /// Notes that the claim is committed; returns false when it was given up meanwhile.
    pub fn hold(&mut self, token: id::Token) -> bool {
        self.advance(token, |it| matches!(it, Progress::Committing), Progress::Held)
    }

    /// Returns whether a byte may be sent now, and notes that it is.
    pub fn send(&mut self, token: id::Token) -> bool {
        self.advance(token, |it| matches!(it, Progress::Held | Progress::Sent), Progress::Sent)
    }

    /// Keeps the answer until it is stored; returns false, and keeps none, when there is no room for
    /// it or nothing was sent under the token.
    pub fn answer(&mut self, token: id::Token, answer: Answer) -> bool {
        let bytes = answer.body.len();
        if ANSWER_BYTES < self.answer_bytes + bytes {
            return false;
        }
        let kept = self.advance(token, |it| *it == Progress::Sent, Progress::Answered(answer));
        if kept {
            self.answer_bytes += bytes;
        }
        kept
    }

    /// Gives up a token under which nothing ran.
    pub fn abandon(&mut self, token: id::Token) {
        self.settle(token, Progress::Abandoned);
    }

    /// Notes that the outcome of a sent request will not be known.
    pub fn lose(&mut self, token: id::Token) {
        self.settle(token, Progress::Unknown);
    }

    /// Forgets a token whose answer is stored.
    pub fn stored(&mut self, token: id::Token) {
        self.forget(token);
    }

    /// Answers a peer; a claim that was not used yet is given up by the answer.
    pub fn question(&mut self, token: id::Token) -> Status {
        let Some(entry) = self.entries.get(&token) else {
            return Status::Unknown;
        };
        match &entry.progress {
            Progress::Committing | Progress::Held => {
                self.abandon(token);
                Status::NeverSent
            }
            Progress::Sent => Status::Sent,
            Progress::Answered(answer) => Status::Answered(answer.clone()),
            Progress::Abandoned => Status::Abandoned,
            Progress::Unknown => Status::Unknown,
        }
    }

    fn advance(
        &mut self,
        token: id::Token,
        from: impl FnOnce(&Progress) -> bool,
        to: Progress,
    ) -> bool {
        match self.entries.get_mut(&token) {
            Some(entry) if from(&entry.progress) => {
                entry.progress = to;
                true
            }
            _ => false,
        }
    }

    fn settle(&mut self, token: id::Token, progress: Progress) {
        let Some(entry) = self.entries.get_mut(&token) else {
            return;
        };
        if matches!(entry.progress, Progress::Abandoned | Progress::Unknown) {
            return;
        }
        if let Progress::Answered(answer) = std::mem::replace(&mut entry.progress, progress) {
            self.answer_bytes -= answer.body.len();
        }
        self.settled.push_back(token);
        if SETTLED < self.settled.len()
            && let Some(oldest) = self.settled.pop_front()
        {
            self.forget(oldest);
        }
    }

    fn forget(&mut self, token: id::Token) {
        let Some(entry) = self.entries.remove(&token) else {
            return;
        };
        if let Progress::Answered(answer) = &entry.progress {
            self.answer_bytes -= answer.body.len();
        }
        if self.rows.get(&entry.row) == Some(&token) {
            self.rows.remove(&entry.row);
        }
    }
}
