//! What happened over time.

use std::time::Duration;

use serde::Serialize;

/// One moment of a run.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Sample {
    /// Seconds since the start, in the targets' life.
    pub at: f64,
    /// Answers planned to arrive in this interval.
    pub offered: u32,
    /// Those of them that were in time.
    pub in_time: u32,
    /// Part of the offered work that is prefill.
    pub prefill_part: f64,
    /// Engines by role: prefill, decode, mixed.
    pub roles: [u32; 3],
}

/// Length of the interval of one sample.
pub(super) const INTERVAL: Duration = Duration::from_secs(2);

/// Returns the index of the sample for a time since the start.
pub(super) fn index(at: Duration) -> usize {
    (at.as_secs_f64() / INTERVAL.as_secs_f64()) as usize
}
