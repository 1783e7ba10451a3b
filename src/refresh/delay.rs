//! Delay before the next refresh.

use std::time::Duration;

/// Upper bound of the backoff while the table is down; a longer refresh period replaces it.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Number of consecutive failures after which the backoff no longer doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Jitter of a refresh after a success, as a fraction of the period in either direction.
const JITTER: f64 = 0.1;

/// Returns the delay before the next refresh after `failures` consecutive failures.
///
/// `random` is between 0 and 1 and supplies the jitter: 10% of the period in either direction while
/// the table answers, and the whole backoff, on top of half a period, while it fails. Without the
/// jitter all hosts would retry at the same moment when the table recovers.
pub fn delay(period: Duration, failures: u32, random: f64) -> Duration {
    if failures == 0 {
        return period.mul_f64(1.0 - JITTER + 2.0 * JITTER * random);
    }
    let max_backoff = MAX_BACKOFF.max(period);
    let backoff = (period * (1 << failures.min(MAX_DOUBLINGS))).min(max_backoff);
    period.mul_f64(0.5) + backoff.mul_f64(random)
}
