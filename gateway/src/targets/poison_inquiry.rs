//! Asks the other hosts for the recognised requests when a host starts.
//!
//! The answers come in pages, each of which is asked for again until it arrives. A host answers for
//! good once it has got all pages itself, or has run for long enough to have learned of the requests
//! that come: so hosts that start together don't take each other's ignorance for knowledge.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::targets::poison::{MAX_REPORTED, Report};

/// Time from the start after which a host's knowledge counts as complete.
pub const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time from the start after which a host asks no more.
const MAX_TIME: Duration = Duration::from_secs(60);
/// Number of hosts that are asked as soon as they are known.
const MAX_FIRST_QUERIES: u8 = 6;

/// A host asks for the recognised requests after this one; for the first ones if `None`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Last request that the host has got.
    pub after: Option<id::Fingerprint>,
}

/// Answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The query.
    pub query: Query,
    /// Whether the sender's knowledge counts as complete.
    pub is_complete: bool,
    /// The next requests; fewer than [`MAX_REPORTED`] if they are the last.
    pub reports: Vec<Report>,
}

/// State of the inquiry of one host.
#[derive(Debug)]
pub struct Inquiry {
    started_at: Moment,
    query: Query,
    first_queries: u8,
    has_all: bool,
}

impl Inquiry {
    /// Creates the inquiry of a host that starts.
    pub fn new(now: Moment) -> Inquiry {
        Inquiry { started_at: now, query: Query { after: None }, first_queries: 0, has_all: false }
    }

    /// Returns whether this host's knowledge counts as complete.
    pub fn is_complete(&self, now: Moment) -> bool {
        self.has_all || self.started_at + SETTLE_TIME <= now
    }

    /// Returns whether this host asks no more.
    pub fn is_ended(&self, now: Moment) -> bool {
        self.has_all || self.started_at + MAX_TIME <= now
    }

    /// Returns the query to send.
    pub fn query(&self) -> Query {
        self.query
    }

    /// Returns the query to send to a host that has just become known, unless enough were asked so.
    pub fn first_query(&mut self) -> Option<Query> {
        let is_asked = !self.has_all && self.first_queries < MAX_FIRST_QUERIES;
        self.first_queries += u8::from(is_asked);
        is_asked.then_some(self.query)
    }

    /// Records an answer; returns whether its sender is to be asked the next query.
    pub fn record_answer(&mut self, answer: &Answer) -> bool {
        if self.has_all || !answer.is_complete || answer.query != self.query {
            return false;
        }
        self.has_all = answer.reports.len() < MAX_REPORTED;
        if let Some(last) = answer.reports.last() {
            self.query.after = Some(last.request);
        }
        !self.has_all
    }
}
