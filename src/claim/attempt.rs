//! State machine that obtains the claim for one request.

use std::time::Duration;

use crate::{
    claim::{Answer, Claimant, Record, Request, State, Status, StoredAnswer, StoredBody},
    clock::Moment,
    id,
    verdict::Reason,
};

/// Delay before a refused write or a failed read is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the first refused or failed call during which calls are retried.
const STORE_RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Largest number of times that an attempt writes its claim again after a conflict; then the
/// request is refused.
const MAX_REPLACEMENTS: u32 = 8;

/// Contents of a claim's row when it was read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RowContents {
    /// The row does not exist.
    Absent,
    /// The row holds a claim.
    Claim {
        /// Version of the row.
        version: id::Version,
        /// Contents of the row.
        record: Record,
    },
    /// The row does not hold a valid claim.
    Invalid,
}

/// Result of an action, passed to [`Attempt::step`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// The write took effect; the row now has this version.
    Committed(id::Version),
    /// The write had no effect because the row has another version; these are its contents.
    Conflict(RowContents),
    /// The write was refused and had no effect.
    Refused,
    /// The store's response to the write was lost; the write may have taken effect.
    ResponseLost,
    /// The row was read.
    Read(RowContents),
    /// The row or the stored body could not be read.
    ReadFailed,
    /// Status from the claimant; `None` if that incarnation of the host does not answer.
    StatusReceived(Option<Status>),
    /// The stored body was read; `None` if the object no longer exists.
    BodyFetched(Option<Vec<u8>>),
}

/// What the caller of an attempt must do next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record if the row still has the expected version.
    Commit {
        /// Version that the row must have; 0 means that the row must not exist.
        expected: id::Version,
        /// Contents to write.
        record: Record,
        /// Time to wait before the call.
        delay: Duration,
    },
    /// Read the row.
    ReadRow {
        /// Time to wait before the call.
        delay: Duration,
    },
    /// Ask the owner of a claim for its status.
    QueryStatus {
        /// Owner of the claim.
        claimant: Claimant,
        /// Token of the claim.
        token: id::Token,
    },
    /// Read the body of a stored answer.
    FetchBody(StoredAnswer),
    /// The claim is committed; the request may be sent.
    Grant {
        /// Version of the claim's row.
        version: id::Version,
    },
    /// Return this answer: an earlier copy of the request ran.
    Replay(Answer),
    /// Abandon the token permanently and refuse the request.
    Refuse(Reason),
}

/// An attempt to claim a request under one token.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    request: Request,
    /// This host process.
    claimant: Claimant,
    token: id::Token,
    /// Version that the next write expects.
    expected: id::Version,
    deadline: Moment,
    /// When a call was first refused or failed.
    first_failure_at: Option<Moment>,
    /// Number of writes that were repeated after a conflict.
    replacements: u32,
    /// Token whose claimant was asked most recently; 0 before the first question.
    queried_token: id::Token,
    /// Token whose status the claimant did not know or did not report.
    unresolved_token: Option<id::Token>,
    /// Answer whose body is being fetched.
    pending_replay: Option<StoredAnswer>,
}

impl Attempt {
    /// Creates an attempt that ends at `deadline` at the latest, and returns its first action.
    pub fn new(
        request: Request,
        claimant: Claimant,
        token: id::Token,
        deadline: Moment,
    ) -> (Attempt, Action) {
        let attempt = Attempt {
            request,
            claimant,
            token,
            expected: 0,
            deadline,
            first_failure_at: None,
            replacements: 0,
            queried_token: 0,
            unresolved_token: None,
            pending_replay: None,
        };
        let action = attempt.commit(Duration::ZERO);
        (attempt, action)
    }

    /// Returns the moment after which the caller must abandon the token and refuse the request.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns the reason with which the request is refused when the store does not answer.
    ///
    /// If another copy's claim was seen and its status is unknown, that copy may have run, so the
    /// reason is [`Reason::ClaimHeld`].
    pub fn unavailable_reason(&self) -> Reason {
        match self.unresolved_token {
            Some(_) => Reason::ClaimHeld,
            None => Reason::ClaimUnavailable,
        }
    }

    /// Applies the result of the last action and returns the next one.
    pub fn step(&mut self, now: Moment, input: Input) -> Action {
        match input {
            Input::Committed(version) => Action::Grant { version },
            Input::Conflict(contents) | Input::Read(contents) => self.evaluate_row(contents),
            Input::Refused if self.may_retry(now) => self.commit(STORE_RETRY_DELAY),
            Input::ResponseLost => Action::ReadRow { delay: Duration::ZERO },
            Input::ReadFailed if self.pending_replay.is_some() => Action::Refuse(Reason::ClaimHeld),
            Input::ReadFailed if self.may_retry(now) && self.unresolved_token.is_none() => {
                Action::ReadRow { delay: STORE_RETRY_DELAY }
            }
            Input::Refused | Input::ReadFailed => Action::Refuse(self.unavailable_reason()),
            Input::StatusReceived(status) => self.handle_status(status),
            Input::BodyFetched(body) => self.finish_replay(body),
        }
    }

    /// Returns whether a refused or failed call may be retried. The retry period starts when this
    /// is first called.
    fn may_retry(&mut self, now: Moment) -> bool {
        let first_failure_at = *self.first_failure_at.get_or_insert(now);
        now + STORE_RETRY_DELAY < self.deadline.min(first_failure_at + STORE_RETRY_PERIOD)
    }

    fn commit(&self, delay: Duration) -> Action {
        let record = Record {
            token: self.token,
            claimant: self.claimant.clone(),
            fingerprint: self.request.fingerprint,
            state: State::Claimed,
        };
        Action::Commit { expected: self.expected, record, delay }
    }

    fn replace(&mut self, version: id::Version) -> Action {
        self.replacements += 1;
        if MAX_REPLACEMENTS < self.replacements {
            return Action::Refuse(Reason::ClaimHeld);
        }
        self.expected = version;
        self.commit(Duration::ZERO)
    }

    fn evaluate_row(&mut self, contents: RowContents) -> Action {
        let (version, record) = match contents {
            RowContents::Absent => return self.replace(0),
            RowContents::Invalid => return Action::Refuse(Reason::ClaimHeld),
            RowContents::Claim { version, record } => (version, record),
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
            State::Claimed if self.unresolved_token == Some(record.token) => {
                Action::Refuse(Reason::ClaimHeld)
            }
            State::Claimed | State::Abandoned => {
                self.expected = version;
                self.queried_token = record.token;
                Action::QueryStatus { claimant: record.claimant, token: record.token }
            }
        }
    }

    fn replay(&mut self, stored: StoredAnswer) -> Action {
        match &stored.body {
            StoredBody::Inline(text) => {
                let body = text.clone().into_bytes();
                Action::Replay(stored.with_body(body))
            }
            StoredBody::Object(_) => {
                self.pending_replay = Some(stored.clone());
                Action::FetchBody(stored)
            }
        }
    }

    fn finish_replay(&mut self, body: Option<Vec<u8>>) -> Action {
        match (self.pending_replay.take(), body) {
            (Some(stored), Some(body)) => Action::Replay(stored.with_body(body)),
            _ => Action::Refuse(Reason::AnswerLost),
        }
    }

    fn handle_status(&mut self, status: Option<Status>) -> Action {
        match status {
            Some(Status::Abandoned | Status::NeverSent) => self.replace(self.expected),
            Some(Status::Answered(answer)) => Action::Replay(answer),
            Some(Status::Sent) => Action::Refuse(Reason::ClaimHeld),
            // A claimant drops an answer once the row holds it. That may have happened after this
            // attempt read the row, so read it again.
            Some(Status::Unknown) | None => {
                self.unresolved_token = Some(self.queried_token);
                Action::ReadRow { delay: Duration::ZERO }
            }
        }
    }
}
