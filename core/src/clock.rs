//! Monotonic clock that counts time since boot, including time spent suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A point in time as the time since boot; not comparable between hosts.
pub type Moment = Duration;

/// Returns the current time since boot.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
