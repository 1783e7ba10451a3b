//! Rate limits that targets name in their responses: the requests a second that a target takes from
//! all hosts together.

use std::time::Duration;

use fuchsiaknot_core::clock::Moment;
use slotmap::SecondaryMap;

use crate::registry::Key;

/// Requests a second that a target takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Limit(f64);

/// Value of a limit that is not a number of requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a number of requests a second")]
pub struct InvalidLimit;

impl TryFrom<f64> for Limit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Limit, InvalidLimit> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidLimit);
        }
        Ok(Limit(per_second))
    }
}

impl TryFrom<&str> for Limit {
    type Error = InvalidLimit;

    /// Reads a number of requests a second, which may have a fraction.
    fn try_from(text: &str) -> Result<Limit, InvalidLimit> {
        let per_second: f64 = text.trim().parse().map_err(|_| InvalidLimit)?;
        Limit::try_from(per_second)
    }
}

impl From<Limit> for f64 {
    fn from(limit: Limit) -> f64 {
        limit.0
    }
}

/// What a target's latest response said about its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation {
    /// `None` if the response named no limit.
    limit: Option<Limit>,
    /// Time of the response.
    at: Moment,
}

/// Limits of the targets.
#[derive(Debug, Default)]
pub struct Tracker {
    latest: SecondaryMap<Key, Observation>,
}

impl Tracker {
    /// Records what a response of a target at `at` says about its limit; `None` if it names none.
    ///
    /// Returns whether the limit changed.
    pub fn observe(&mut self, key: Key, limit: Option<Limit>, at: Moment) -> bool {
        let before = self.limit(key);
        if self.latest.get(key).is_some_and(|it| at < it.at) {
            return false;
        }
        if limit.is_some() || self.latest.contains_key(key) {
            self.latest.insert(key, Observation { limit, at });
        }
        before != limit
    }

    /// Returns the limit of a target; `None` if it has none.
    pub fn limit(&self, key: Key) -> Option<Limit> {
        self.latest.get(key)?.limit
    }

    /// Returns the time since a target last said what its limit is; `None` if it never named one.
    pub fn age(&self, key: Key, now: Moment) -> Option<Duration> {
        Some(now.saturating_sub(self.latest.get(key)?.at))
    }

    /// Drops the state of a target that left the registry.
    pub fn forget(&mut self, key: Key) {
        self.latest.remove(key);
    }
}
