//! Injected faults of the stand-in platform and counts of its calls.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Body of `POST /faults`; omitted fields switch their faults off.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the table refuses all calls.
    pub table_down: bool,
    /// Whether the object store refuses all calls.
    pub objects_down: bool,
    /// Whether the host list refuses all calls.
    pub hosts_down: bool,
    /// Delay of each call other than `/faults` and `/stats`, in milliseconds.
    pub slow_ms: u64,
    /// Limit of reads and scans of the table, per second; `None` for no limit.
    pub reads_per_second: Option<u32>,
    /// Limit of commits to the table, per second; `None` for no limit.
    pub writes_per_second: Option<u32>,
    /// Number of upcoming commits that take effect without a response; the connections are closed.
    pub lose_answers: u32,
    /// Limits `lose_answers` to commits that write a key with this prefix.
    pub lose_prefix: SmolStr,
}

/// Response to `GET /stats`: counts since the start of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads and scans of the table.
    pub reads: u64,
    /// Commits within the rate limit, including those rejected by a conflict.
    pub writes: u64,
    /// Rows written by commits.
    pub rows_written: u64,
    /// Calls refused by a fault or a rate limit.
    pub refused: u64,
    /// Commits whose response was dropped by the fault `lose_answers`.
    pub lost: u64,
    /// Calls to the host list.
    pub hosts: u64,
    /// Calls to the object store.
    pub objects: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of response bodies.
    pub bytes_out: u64,
}

/// Rate limit with a window of one second.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    window_start: Option<Instant>,
    calls: u32,
}

impl RateLimit {
    /// Counts a call and returns whether it is within `limit`; `None` allows all calls.
    pub(super) fn try_acquire(&mut self, limit: Option<u32>, now: Instant) -> bool {
        let Some(limit) = limit else {
            return true;
        };
        let is_new_window = self.window_start.is_none_or(|it| it + Duration::from_secs(1) <= now);
        if is_new_window {
            self.window_start = Some(now);
            self.calls = 0;
        }
        self.calls += 1;
        self.calls <= limit
    }
}
