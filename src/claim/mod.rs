//! Claims that make a request run at most once.
//!
//! A request that must not repeat is claimed in the platform's table before its first byte goes to a
//! target. [`Attempt`] and [`Ledger`] are the decisions: the way to a claim, and what a host
//! remembers of its tokens. [`Committer`] runs them against the table, several claims a transaction.

mod answer;
mod attempt;
mod committer;
mod grant;
mod ledger;
mod queue;
mod record;
mod wire;
mod writer;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::{
    answer::{Answer, Body, Header, Stored},
    attempt::{Action, Attempt, Found, Input},
    committer::{Committer, Config, Outcome},
    grant::Grant,
    ledger::{Ledger, Local},
    record::{Record, State, row},
    writer::Counts,
};
use crate::id;

/// A request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Request {
    /// Account that sent it; stored answers belong to it.
    pub customer: id::Customer,
    /// Idempotency key that the caller chose.
    pub key: SmolStr,
    /// Hash of the request's contents; another one under the same key is another request.
    pub fingerprint: id::Fingerprint,
}

/// The run of a host that made a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Name of the host.
    pub host: id::Host,
    /// Run of its process.
    pub incarnation: id::Incarnation,
}

/// Asks the claimant of a claim what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Account of the claimed request.
    pub customer: id::Customer,
    /// Idempotency key of the claimed request.
    pub key: SmolStr,
    /// Token of the claim.
    pub token: id::Token,
}

/// What the claimant says of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    /// The claim was given up before a byte was sent. Final: nothing is ever sent under its token.
    Abandoned,
    /// The claim was committed but not yet used. Final: by saying so the claimant gave it up.
    NeverSent,
    /// The request was sent and has not ended.
    Sent,
    /// The request ran and this is its answer, which is not yet stored.
    Answered(Answer),
    /// The claimant remembers nothing of the token or does not know how the request ended.
    Unknown,
}

impl Status {
    /// Returns whether another host may replace the claim.
    pub fn is_unused(&self) -> bool {
        matches!(self, Status::Abandoned | Status::NeverSent)
    }
}

/// Questions to other hosts about their claims.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks a claimant about a claim; `None` when that run of the host does not answer.
    fn claim_status(&self, claimant: &Claimant, question: &Question) -> Option<Status>;
}
