//! How long ago a caller first sent a request, from the deadline that it has left.
//!
//! A caller that comes back names the time that it has left. The longest deadline seen on a route is
//! what callers begin with.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

/// Time by which a caller's first deadline may differ from the longest without being a return.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Deadlines that callers begin with, by route.
#[derive(Debug, Default)]
pub struct Deadlines {
    longest: HashMap<SmolStr, Duration>,
}

impl Deadlines {
    /// Notes a caller's deadline; returns the time that it has spent already.
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
