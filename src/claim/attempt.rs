//! The way of one request to its claim.

use std::time::Duration;

use crate::{
    claim::{Answer, Body, Claimant, Record, Request, State, Status, Stored},
    clock::Moment,
    id,
    verdict::Reason,
};

/// Time between two tries while the store does not answer.
const STORE_RETRY: Duration = Duration::from_millis(50);
/// Time for which a store that refuses calls is tried again.
const REFUSAL_PATIENCE: Duration = Duration::from_millis(500);
/// Times that the row may change hands under an attempt before it is refused.
const MAX_ROUNDS: u32 = 8;

/// A row as it was found.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Found {
    /// There is no such row.
    Absent,
    /// The row holds a claim.
    Claim {
        /// Version of the row.
        version: id::Version,
        /// Its contents.
        record: Record,
    },
    /// The row cannot be read as a claim.
    Garbled,
}

/// What an attempt learns.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// The write took effect and the row has this version.
    Committed(id::Version),
    /// The write had no effect; the row stands like this.
    Conflict(Found),
    /// The write was refused and had no effect.
    Refused,
    /// The write's answer was lost.
    Lost,
    /// The row was read back.
    Read(Found),
    /// The row could not be read.
    Unreadable,
    /// The claimant's answer; `None` when that run of the host does not answer.
    Told(Option<Status>),
    /// The stored body was read; `None` when it is gone.
    Fetched(Option<Vec<u8>>),
}

/// What an attempt asks its runner to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record if the row still has this version.
    Commit {
        /// Version that the row must have; 0 demands that it is absent.
        expected: id::Version,
        /// Contents to write.
        record: Record,
        /// Time to wait first.
        after: Duration,
    },
    /// Read the row.
    ReadBack {
        /// Time to wait first.
        after: Duration,
    },
    /// Ask the claimant what became of its token.
    Ask {
        /// Who claimed.
        claimant: Claimant,
        /// Token of its claim.
        token: id::Token,
    },
    /// Read the body of a stored answer.
    Fetch(Stored),
    /// The claim is committed, and known to be.
    Grant {
        /// Version of its row.
        version: id::Version,
    },
    /// The request ran before; this is its answer.
    Replay(Answer),
    /// Give up the token for good and refuse the request.
    Refuse(Reason),
}

/// An attempt to claim a request under one token.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    request: Request,
    me: Claimant,
    token: id::Token,
    /// Version that the next write expects.
    expected: id::Version,
    until: Moment,
    /// When the store first refused a call.
    refused_at: Option<Moment>,
    rounds: u32,
    /// Token whose claimant was asked last.
    asked: id::Token,
    /// Token whose claimant could not say what became of it.
    unsettled: Option<id::Token>,
    replaying: Option<Stored>,
}

impl Attempt {
    /// Creates an attempt that ends at `until` at the latest, and its first action.
    pub fn new(
        request: Request,
        me: Claimant,
        token: id::Token,
        until: Moment,
    ) -> (Attempt, Action) {
        let attempt = Attempt {
            request,
            me,
            token,
            expected: 0,
            until,
            refused_at: None,
            rounds: 0,
            asked: 0,
            unsettled: None,
            replaying: None,
        };
        let action = attempt.commit(Duration::ZERO);
        (attempt, action)
    }

    /// Returns the moment after which the runner abandons the token and refuses the request.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Returns the reason for a refusal while the store does not answer.
    ///
    /// A claim that another copy was seen to hold may have run.
    pub fn unanswered(&self) -> Reason {
        match self.unsettled {
            Some(_) => Reason::ClaimHeld,
            None => Reason::ClaimUnavailable,
        }
    }

    /// Takes what was learnt and returns what to do next.
    pub fn step(&mut self, now: Moment, input: Input) -> Action {
        match input {
            Input::Committed(version) => Action::Grant { version },
            Input::Conflict(found) | Input::Read(found) => self.found(found),
            Input::Refused if self.in_time(now) => self.commit(STORE_RETRY),
            Input::Lost => Action::ReadBack { after: Duration::ZERO },
            Input::Unreadable if self.replaying.is_some() => Action::Refuse(Reason::ClaimHeld),
            Input::Unreadable if self.in_time(now) && self.unsettled.is_none() => {
                Action::ReadBack { after: STORE_RETRY }
            }
            Input::Refused | Input::Unreadable => Action::Refuse(self.unanswered()),
            Input::Told(status) => self.told(status),
            Input::Fetched(body) => self.fetched(body),
        }
    }

    fn in_time(&mut self, now: Moment) -> bool {
        let refused_at = *self.refused_at.get_or_insert(now);
        now + STORE_RETRY < self.until.min(refused_at + REFUSAL_PATIENCE)
    }

    fn commit(&self, after: Duration) -> Action {
        let record = Record {
            token: self.token,
            claimant: self.me.clone(),
            fingerprint: self.request.fingerprint,
            state: State::Claimed,
        };
        Action::Commit { expected: self.expected, record, after }
    }

    fn replace(&mut self, version: id::Version) -> Action {
        self.rounds += 1;
        if MAX_ROUNDS < self.rounds {
            return Action::Refuse(Reason::ClaimHeld);
        }
        self.expected = version;
        self.commit(Duration::ZERO)
    }

    fn found(&mut self, found: Found) -> Action {
        let (version, record) = match found {
            Found::Absent => return self.replace(0),
            Found::Garbled => return Action::Refuse(Reason::ClaimHeld),
            Found::Claim { version, record } => (version, record),
        };
        if record.token == self.token {
            return Action::Grant { version };
        }
        if record.state == State::Abandoned {
            return self.replace(version);
        }
        if record.fingerprint != self.request.fingerprint {
            return Action::Refuse(Reason::KeyReused);
        }
        match record.state {
            State::Done(Some(stored)) => self.replay(stored),
            State::Done(None) => Action::Refuse(Reason::AnswerLost),
            State::Claimed if self.unsettled == Some(record.token) => {
                Action::Refuse(Reason::ClaimHeld)
            }
            State::Claimed | State::Abandoned => {
                self.expected = version;
                self.asked = record.token;
                Action::Ask { claimant: record.claimant, token: record.token }
            }
        }
    }

    fn replay(&mut self, stored: Stored) -> Action {
        match &stored.body {
            Body::Inline(text) => {
                let body = text.clone().into_bytes();
                Action::Replay(stored.with_body(body))
            }
            Body::Object(_) => {
                self.replaying = Some(stored.clone());
                Action::Fetch(stored)
            }
        }
    }

    fn fetched(&mut self, body: Option<Vec<u8>>) -> Action {
        match (self.replaying.take(), body) {
            (Some(stored), Some(body)) => Action::Replay(stored.with_body(body)),
            _ => Action::Refuse(Reason::AnswerLost),
        }
    }

    fn told(&mut self, status: Option<Status>) -> Action {
        match status {
            Some(Status::Abandoned | Status::NeverSent) => self.replace(self.expected),
            Some(Status::Answered(answer)) => Action::Replay(answer),
            Some(Status::Sent) => Action::Refuse(Reason::ClaimHeld),
            // The claimant forgets an answer once its row holds it, perhaps since the row was read.
            Some(Status::Unknown) | None => {
                self.unsettled = Some(self.asked);
                Action::ReadBack { after: Duration::ZERO }
            }
        }
    }
}
