//! Time until the next refresh.

use std::time::Duration;

/// Longest time between two tries while the table is down.
const LONGEST: Duration = Duration::from_secs(4);
/// Most failures that still raise the delay.
const MOST_DOUBLINGS: u32 = 3;
/// Share of the period by which refreshes are spread.
const SPREAD: f64 = 0.1;

/// Returns the time until the next refresh after `failures` failed ones in a row.
///
/// `random` is between 0 and 1. Delays are spread by a tenth while the table answers, and over the
/// whole delay while it does not, so that hosts do not all come back at the same moment.
pub fn delay(period: Duration, failures: u32, random: f64) -> Duration {
    if failures == 0 {
        return period.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * random);
    }
    let longest = LONGEST.max(period);
    let delay = (period * (1 << failures.min(MOST_DOUBLINGS))).min(longest);
    period.mul_f64(0.5) + delay.mul_f64(random)
}
