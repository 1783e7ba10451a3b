//! Admission control: each plan's share of engine time, its limits, and early refusal of requests
//! that cannot start in time.

mod admission;
mod config;
mod queue;
pub mod share;
mod stats;
mod token_bucket;

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
    /// Identifies a request that was offered and has not finished.
    pub struct Key;
}

/// A request to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Plan of the customer.
    pub plan: id::Plan,
    /// Name of the requested model or service, for whose targets the request competes.
    pub pool: SmolStr,
    /// Expected engine time.
    pub cost: Duration,
    /// Expected tokens of prompt and answer.
    pub tokens: u32,
    /// Expected time from the start of the request to its first token.
    pub first_token: Duration,
    /// Deadline of the first token.
    pub first_token_due: Moment,
    /// Deadline of the whole request.
    pub expires: Moment,
}

/// Why a request was not admitted and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason; its verdict is always *not run*.
    pub reason: Reason,
    /// Time after which a retry is likely to be admitted.
    pub retry_after: Duration,
}

/// What to do with an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send it to a target.
    Start(Key),
    /// Refuse it; the key is no longer valid.
    Refuse(Key, Refusal),
}
