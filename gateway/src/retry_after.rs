//! When a refused caller should come back.
//!
//! Pattern: a burst that is refused together returns together, and is refused again. Callers are
//! spread over a part of their deadline, behind the work that waits now.

use std::time::Duration;

/// Part of their deadline over which refused callers are spread.
const SPREAD_SHARE: f64 = 0.25;
/// Part of their deadline within which callers come back at all.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;
/// Shortest time after which a caller is asked to come back.
const MIN_DELAY: Duration = Duration::from_millis(150);

/// Returns the time after which a caller should come back, with `ahead` the time that the work before
/// it takes and `draw` uniform from 0 to 1.
pub fn delay(queue_time: Duration, deadline: Duration, draw: f64) -> Duration {
    (queue_time.max(MIN_DELAY) + deadline.mul_f64(SPREAD_SHARE * draw))
        .min(deadline.mul_f64(MAX_DELAY_SHARE))
}
