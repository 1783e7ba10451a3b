//! Delay after which a refused caller should retry.
//!
//! If all callers of a refused burst retried together, they would be refused again. So the delay is
//! at least the time for the queued work, with a jitter proportional to the caller's deadline.

use std::time::Duration;

/// Largest jitter, as a share of the caller's deadline.
const JITTER_SHARE: f64 = 0.25;
/// Largest delay, as a share of the caller's deadline.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;
/// Smallest delay before the jitter is added.
const MIN_DELAY: Duration = Duration::from_millis(150);

/// Returns the delay after which a caller should retry.
///
/// `queue_time` is the time for the work queued before the request, `draw` a uniform random number
/// from 0 to 1.
pub fn delay(queue_time: Duration, deadline: Duration, draw: f64) -> Duration {
    (queue_time.max(MIN_DELAY) + deadline.mul_f64(JITTER_SHARE * draw))
        .min(deadline.mul_f64(MAX_DELAY_SHARE))
}
