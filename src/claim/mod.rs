//! Claims that make a request run at most once.
//!
//! A request that must not be repeated is claimed in the platform's table before its first byte is
//! sent to a target. Each claim has a random token. [`Attempt`] is the state machine that obtains a
//! claim, [`Registry`] keeps the state of the tokens of this host process; neither does any I/O.
//! [`Committer`] drives both against the table and puts several claims into one transaction.

mod answer;
mod attempt;
mod committer;
mod grant;
mod queue;
mod record;
mod registry;
mod wire;
mod writer;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::{
    answer::{Answer, Header, StoredAnswer, StoredBody},
    attempt::{Action, Attempt, Input, RowContents},
    committer::{Committer, Config, Outcome},
    grant::Grant,
    record::{Record, State, row_key},
    registry::{LocalState, Registry},
    writer::Counts,
};
use crate::id;

/// A request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Request {
    /// Client account that sent the request; stored answers are visible to this account only.
    pub customer: id::Customer,
    /// Idempotency key, chosen by the caller.
    pub key: SmolStr,
    /// Hash of the request's contents; it tells whether a reused key belongs to another request.
    pub fingerprint: id::Fingerprint,
}

/// The host process that made a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Name of the host.
    pub host: id::Host,
    /// Incarnation of the host's process; changes with each restart.
    pub incarnation: id::Incarnation,
}

/// Question to a claimant about the status of its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Client account of the claimed request.
    pub customer: id::Customer,
    /// Idempotency key of the claimed request.
    pub key: SmolStr,
    /// Token of the claim.
    pub token: id::Token,
}

/// Status of a claim, as its claimant reports it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    /// The claim was abandoned; the request did not run under it. Final: nothing is ever sent under
    /// its token.
    Abandoned,
    /// Nothing was sent under the claim, and the claimant abandoned it on being asked. Final:
    /// nothing is ever sent under its token.
    NeverSent,
    /// The request was sent and its outcome is still open.
    Sent,
    /// The request ran; its answer is not yet stored in the table.
    Answered(Answer),
    /// The claimant has no entry for the token, or the request's outcome is unknown.
    Unknown,
}

impl Status {
    /// Returns whether another host may replace the claim.
    pub fn is_replaceable(&self) -> bool {
        matches!(self, Status::Abandoned | Status::NeverSent)
    }
}

/// Access to other hosts to ask them about their claims.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks a claimant about a claim; returns `None` if that incarnation of the host does not
    /// answer.
    fn claim_status(&self, claimant: &Claimant, question: &Question) -> Option<Status>;
}
