//! Estimates how long ago a caller first sent a request, from the deadline of the current attempt.
//!
//! A caller that retries sends the time that remains. The longest deadline seen on a route is taken
//! as the deadline of a first attempt.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

/// Difference to the longest deadline up to which a request counts as a first attempt.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Deadlines of first attempts, by route.
#[derive(Debug, Default)]
pub struct Deadlines {
    longest: HashMap<SmolStr, Duration>,
}

impl Deadlines {
    /// Records the deadline of an attempt, and returns the time since the caller's first attempt.
    pub fn elapsed(&mut self, route: &SmolStr, deadline: Duration) -> Duration {
        let longest = match self.longest.get_mut(route) {
            Some(longest) => longest,
            None => self.longest.entry(route.clone()).or_insert(deadline),
        };
        *longest = deadline.max(*longest);
        let elapsed = *longest - deadline;
        if elapsed <= TOLERANCE { Duration::ZERO } else { elapsed }
    }
}
