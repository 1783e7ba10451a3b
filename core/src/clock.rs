//! Time since boot, counting suspension.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment as the time since the machine booted; never compared between hosts.
pub type Moment = Duration;

/// Returns the time since boot, including time spent suspended.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
