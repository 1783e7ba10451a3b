//! Spread of the hosts' calls after the store came back from an earlier copy.
//!
//! Every host reads the tables again and writes its own announcement again. Without a spread, the
//! store would refuse part of the calls, and hosts would wait for their retries.

use std::time::Duration;

/// Mean time between two hosts' reads of the same table; with two tables, hosts use half of the
/// store's read rate.
const READ_SPACING: Duration = Duration::from_millis(2);
/// Longest delay of a read. Together with the duration of a call it stays below the two seconds
/// within which a change must take effect.
const MAX_READ_DELAY: Duration = Duration::from_millis(800);
/// Mean time between two hosts' announcements, which all belong to one partition of the store with
/// its own write rate.
const ANNOUNCEMENT_SPACING: Duration = Duration::from_millis(10);

/// Returns the delay of a host's read of a table; `draw` is uniformly random between 0 and 1.
pub fn read_delay(host_count: usize, draw: f64) -> Duration {
    spread(READ_SPACING, host_count).min(MAX_READ_DELAY).mul_f64(draw)
}

/// Returns the delay of a host's announcement; `draw` is uniformly random between 0 and 1.
pub fn announcement_delay(host_count: usize, draw: f64) -> Duration {
    spread(ANNOUNCEMENT_SPACING, host_count).mul_f64(draw)
}

fn spread(spacing: Duration, host_count: usize) -> Duration {
    spacing * u32::try_from(host_count).unwrap_or(u32::MAX)
}
