//! Faults of the platform and counts of its calls.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Body of `POST /faults`; what it leaves out is switched off.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The table refuses every call.
    pub table_down: bool,
    /// The object store refuses every call.
    pub objects_down: bool,
    /// The host list refuses every call.
    pub hosts_down: bool,
    /// Every call but those to switch faults waits this long, in milliseconds.
    pub slow_ms: u64,
    /// Reads a second that the table takes.
    pub reads_per_second: Option<u32>,
    /// Commits a second that the table takes.
    pub writes_per_second: Option<u32>,
    /// This many of the next commits take effect, but their connections are closed without an answer.
    pub lose_answers: u32,
    /// Only commits that write a key with this prefix lose their answer.
    pub lose_prefix: SmolStr,
}

/// Answer to `GET /stats`: calls since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads and scans of the table.
    pub reads: u64,
    /// Commits that reached the table, with or without effect.
    pub writes: u64,
    /// Rows written by commits.
    pub rows_written: u64,
    /// Calls refused by a fault or a rate limit.
    pub refused: u64,
    /// Commits whose answer was lost on purpose.
    pub lost: u64,
    /// Reads of the host list and reports to it.
    pub hosts: u64,
    /// Calls of the object store.
    pub objects: u64,
    /// Bytes of bodies received.
    pub bytes_in: u64,
    /// Bytes of bodies sent.
    pub bytes_out: u64,
}

/// Allows a number of calls a second.
#[derive(Debug, Default)]
pub(super) struct Rate {
    second: Option<Instant>,
    taken: u32,
}

impl Rate {
    /// Takes one call out of this second's allowance, unless it is used up.
    pub(super) fn take(&mut self, allowed: Option<u32>, now: Instant) -> bool {
        let Some(allowed) = allowed else {
            return true;
        };
        let fresh = self.second.is_none_or(|it| it + Duration::from_secs(1) <= now);
        if fresh {
            self.second = Some(now);
            self.taken = 0;
        }
        self.taken += 1;
        self.taken <= allowed
    }
}
