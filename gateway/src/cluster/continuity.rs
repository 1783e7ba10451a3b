//! Time for which a host has followed a table of the store without a gap.

use std::time::Duration;

use fuchsiaknot_core::clock::Moment;

/// Age of the last confirmation, and time between two observations, up to which a host has followed
/// the table.
pub const MAX_GAP: Duration = Duration::from_secs(2);

/// Time since which a table was never too old, as far as this host was there to see it.
#[derive(Debug, Clone, Default)]
pub struct Continuity {
    /// Time since which the table was followed; `None` while it is too old.
    since: Option<Moment>,
    /// Time of the last observation.
    observed_at: Moment,
}

impl Continuity {
    /// Records that the store confirmed the table `age` ago. A host that stood still since the last
    /// observation has not followed it meanwhile.
    pub fn observe(&mut self, age: Duration, now: Moment) {
        let before = self.since.filter(|_| self.is_observed(now));
        self.since = (age <= MAX_GAP).then(|| before.unwrap_or(now));
        self.observed_at = now;
    }

    /// Records that the contents may have come from an earlier copy of the table.
    pub fn interrupt(&mut self) {
        self.since = None;
    }

    /// Returns whether the table was followed for a time until now.
    pub fn covers(&self, duration: Duration, now: Moment) -> bool {
        self.is_observed(now) && self.since.is_some_and(|it| it + duration <= now)
    }

    fn is_observed(&self, now: Moment) -> bool {
        now <= self.observed_at + MAX_GAP
    }
}
