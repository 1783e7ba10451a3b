//! State of the claim tokens of one host process.
//!
//! The registry decides whether a request may be sent under a token. Once a token is abandoned
//! here, nothing is ever sent under it, even if its write to the table takes effect later.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

use crate::{
    claim::{Answer, Request, Status},
    id,
};

/// Number of abandoned and unknown tokens that are kept. A removed token counts as unknown, which
/// is always safe.
const MAX_SETTLED_TOKENS: usize = 16_384;

/// Bound on the total size of the bodies of answers that wait to be stored.
const MAX_UNSTORED_ANSWER_BYTES: usize = 8 << 20;

/// State of a token on this host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Progress {
    /// The claim is being written to the table.
    Committing,
    /// The claim is committed; nothing was sent.
    Committed,
    /// The request was sent.
    Sent,
    /// The request ran; its answer is not yet stored in the table.
    Answered(Answer),
    /// The request did not run under this token and never will.
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

/// What this host knows about a request without reading the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LocalState {
    /// Nothing prevents a claim.
    Free,
    /// Another copy is in progress, or its outcome is unknown.
    Held,
    /// The key was used for another request.
    KeyReused,
    /// The request ran; this is its answer.
    Answered(Answer),
}

/// Claim tokens of this host process and their state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Registry {
    entries: BTreeMap<id::Token, Entry>,
    /// Most recent token of each row.
    rows: BTreeMap<SmolStr, id::Token>,
    /// Abandoned and unknown tokens, oldest first; bounded by [`MAX_SETTLED_TOKENS`].
    settled: VecDeque<id::Token>,
    /// Total size of the bodies of answers that wait to be stored, in bytes.
    unstored_answer_bytes: usize,
}

impl Registry {
    /// Returns what is known on this host about a request whose claim belongs in `row`.
    pub fn local_state(&self, row: &str, request: &Request) -> LocalState {
        let Some(entry) = self.rows.get(row).and_then(|it| self.entries.get(it)) else {
            return LocalState::Free;
        };
        if entry.fingerprint != request.fingerprint {
            return LocalState::KeyReused;
        }
        match &entry.progress {
            Progress::Abandoned => LocalState::Free,
            Progress::Answered(answer) => LocalState::Answered(answer.clone()),
            Progress::Committing | Progress::Committed | Progress::Sent | Progress::Unknown => {
                LocalState::Held
            }
        }
    }

    /// Adds a token whose claim is about to be written.
    pub fn begin_claim(&mut self, token: id::Token, row: SmolStr, fingerprint: id::Fingerprint) {
        self.rows.insert(row.clone(), token);
        self.entries.insert(token, Entry { row, fingerprint, progress: Progress::Committing });
    }

    /// Marks a claim as committed; returns false if its token was abandoned in the meantime.
    pub fn mark_committed(&mut self, token: id::Token) -> bool {
        self.transition(token, |it| matches!(it, Progress::Committing), Progress::Committed)
    }

    /// Marks the request as sent and returns true, or returns false if it must not be sent.
    pub fn begin_send(&mut self, token: id::Token) -> bool {
        self.transition(
            token,
            |it| matches!(it, Progress::Committed | Progress::Sent),
            Progress::Sent,
        )
    }

    /// Keeps the answer until it is stored. Returns false and drops the answer if there is no room
    /// for it or nothing was sent under the token.
    pub fn keep_answer(&mut self, token: id::Token, answer: Answer) -> bool {
        let bytes = answer.body.len();
        if MAX_UNSTORED_ANSWER_BYTES < self.unstored_answer_bytes + bytes {
            return false;
        }
        let kept = self.transition(token, |it| *it == Progress::Sent, Progress::Answered(answer));
        if kept {
            self.unstored_answer_bytes += bytes;
        }
        kept
    }

    /// Marks a token under which nothing ran as abandoned.
    pub fn abandon(&mut self, token: id::Token) {
        self.settle(token, Progress::Abandoned);
    }

    /// Marks the outcome of a sent request as unknown.
    pub fn mark_unknown(&mut self, token: id::Token) {
        self.settle(token, Progress::Unknown);
    }

    /// Removes a token whose answer is stored in the table.
    pub fn mark_stored(&mut self, token: id::Token) {
        self.remove(token);
    }

    /// Returns a token's status for another host, and abandons the token if nothing was sent under
    /// it.
    pub fn status_for_peer(&mut self, token: id::Token) -> Status {
        let Some(entry) = self.entries.get(&token) else {
            return Status::Unknown;
        };
        match &entry.progress {
            Progress::Committing | Progress::Committed => {
                self.abandon(token);
                Status::NeverSent
            }
            Progress::Sent => Status::Sent,
            Progress::Answered(answer) => Status::Answered(answer.clone()),
            Progress::Abandoned => Status::Abandoned,
            Progress::Unknown => Status::Unknown,
        }
    }

    /// Sets a token's progress if the current one satisfies `from`; returns whether it did.
    fn transition(
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

    /// Marks a token as abandoned or unknown, unless it already is either.
    fn settle(&mut self, token: id::Token, progress: Progress) {
        let Some(entry) = self.entries.get_mut(&token) else {
            return;
        };
        if matches!(entry.progress, Progress::Abandoned | Progress::Unknown) {
            return;
        }
        if let Progress::Answered(answer) = std::mem::replace(&mut entry.progress, progress) {
            self.unstored_answer_bytes -= answer.body.len();
        }
        self.settled.push_back(token);
        if MAX_SETTLED_TOKENS < self.settled.len()
            && let Some(oldest) = self.settled.pop_front()
        {
            self.remove(oldest);
        }
    }

    fn remove(&mut self, token: id::Token) {
        let Some(entry) = self.entries.remove(&token) else {
            return;
        };
        if let Progress::Answered(answer) = &entry.progress {
            self.unstored_answer_bytes -= answer.body.len();
        }
        if self.rows.get(&entry.row) == Some(&token) {
            self.rows.remove(&entry.row);
        }
    }
}
