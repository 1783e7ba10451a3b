//! Counts of each plan's requests.

use std::{collections::BTreeMap, time::Duration};

use crate::{id, verdict::Reason};

/// Counts of one plan's requests on this host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Counts {
    /// Requests offered.
    pub offered: u64,
    /// Expected engine time of offered requests.
    pub requested: Duration,
    /// Requests started.
    pub started: u64,
    /// Expected engine time of started requests.
    pub granted: Duration,
    /// Part of `granted` that was started while the plan had used up its share.
    pub over_share: Duration,
    /// Requests finished.
    pub finished: u64,
    /// Actual engine time of finished requests.
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
    /// Counts since the plan was added on this host.
    pub by_plan: BTreeMap<id::Plan, Counts>,
}
