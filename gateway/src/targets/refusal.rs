//! Targets that refuse connections of several hosts.
//!
//! A crashed target stays in the store for some seconds. The hosts report refused connections to the
//! dispatcher, which then places nothing on the target for a short time. One host alone does not
//! decide: its route to the target may lead elsewhere.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use slotmap::SecondaryMap;

use crate::targets::registry::Key;

/// Time within which two hosts must report a target.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Time for which a target gets nothing after the reports; some requests then test it again.
pub const PAUSE: Duration = Duration::from_millis(500);

/// A host's report that a target refused its connection.
#[derive(Debug)]
struct Report {
    host: id::Host,
    at: Moment,
}

/// Reports of refused connections, by target.
#[derive(Debug, Default)]
pub struct Tracker {
    reports: SecondaryMap<Key, Report>,
}

impl Tracker {
    /// Records a report; returns whether another host's report confirms it, so that the target is to
    /// be paused for [`PAUSE`].
    pub fn record(&mut self, key: Key, host: &id::Host, now: Moment) -> bool {
        let earlier = self.reports.get(key);
        let is_confirmed = earlier.is_some_and(|it| it.host != *host && now < it.at + REPORT_TTL);
        if is_confirmed {
            self.reports.remove(key);
        } else {
            self.reports.insert(key, Report { host: host.clone(), at: now });
        }
        is_confirmed
    }

    /// Drops the report about a target that left the registry.
    pub fn forget(&mut self, key: Key) {
        self.reports.remove(key);
    }
}
