//! Admission of requests under each plan's share.

mod admission;
mod allowance;
mod config;
mod queue;
pub mod share;
mod stats;

use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::{clock::Moment, id, verdict::Reason};

pub use self::{
    admission::Admission,
    config::{Config, Policy},
    share::Share,
    stats::{Counts, Stats},
};

new_key_type! {
    /// Names a request that was offered and not yet finished.
    pub struct Key;
}

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Plan of the customer.
    pub plan: id::Plan,
    /// Model or service asked for.
    pub pool: SmolStr,
    /// Expected engine time.
    pub cost: Duration,
    /// Expected tokens of prompt and answer.
    pub tokens: u32,
    /// Expected time from its start to its first token.
    pub first_token: Duration,
    /// When the first token is due.
    pub due: Moment,
    /// When the caller gives up.
    pub expires: Moment,
}

/// Why a request was not admitted and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason; its verdict is always *not run*.
    pub reason: Reason,
    /// Time after which another try is likely to be admitted.
    pub retry_after: Duration,
}

/// What is to be done with an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It is sent to a target now.
    Start(Key),
    /// It is refused now; the key is no longer valid.
    Refuse(Key, Refusal),
}
