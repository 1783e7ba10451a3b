//! Counts of each plan's requests, for metrics and the operators' page.

use std::{collections::BTreeMap, time::Duration};

use crate::{id, verdict::Reason};

/// What became of one plan's requests on this host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Counts {
    /// Requests offered.
    pub offered: u64,
    /// Engine time asked for.
    pub asked: Duration,
    /// Requests started.
    pub started: u64,
    /// Engine time of started requests, as expected at the start.
    pub given: Duration,
    /// Part of `given` that was lent beyond the plan's share.
    pub lent: Duration,
    /// Requests finished.
    pub finished: u64,
    /// Engine time that finished requests took.
    pub served: Duration,
    /// Requests refused, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Requests waiting now.
    pub waiting: usize,
    /// Requests running now.
    pub running: u32,
}

/// Counts by plan.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Stats {
    /// Counts since the start of the process.
    pub by_plan: BTreeMap<id::Plan, Counts>,
}
