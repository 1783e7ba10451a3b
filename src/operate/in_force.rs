//! State machine that decides when a stored configuration is in force on every host.

use std::time::Duration;

use super::wire::{PendingHost, Progress};
use crate::{clock::Moment, host::ReportedVersion, id};

/// Allowance for host clocks that run at different speeds while a bound passes.
const CLOCK_DRIFT: Duration = Duration::from_millis(400);

/// Tracks one configuration version until it is in force on every host.
///
/// A host whose heartbeats do not arrive may still admit requests under an earlier version for two
/// reasons. Either its last refresh is younger than the configuration bound; this ends when the
/// bound has passed since this host knew that the version was stored. Or it hears a majority of
/// hosts, none of which has reported a later version; this ends when more than half of all hosts
/// have the version and the silence bound has passed since: the last report that the unheard host
/// has from one of them is then too old to count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionTracker {
    version: id::Version,
    configuration_bound: Duration,
    silence_bound: Duration,
    stored_at: Moment,
    majority_since: Option<Moment>,
    in_force: bool,
}

impl VersionTracker {
    /// Creates a tracker; this host knew at `stored_at` that the version was stored.
    pub fn new(
        version: id::Version,
        configuration_bound: Duration,
        silence_bound: Duration,
        stored_at: Moment,
    ) -> VersionTracker {
        VersionTracker {
            version,
            configuration_bound,
            silence_bound,
            stored_at,
            majority_since: None,
            in_force: false,
        }
    }

    /// Updates the progress with the versions that all known hosts, this one included, have
    /// reported up to `now`.
    pub fn update(&mut self, hosts: &[ReportedVersion], now: Moment) -> Progress {
        let waiting: Vec<PendingHost> =
            hosts.iter().filter(|it| !self.has_version(it)).map(PendingHost::from).collect();
        let confirmed = hosts.len() - waiting.len();
        if hosts.len() < confirmed * 2 {
            self.majority_since.get_or_insert(now);
        }
        let silent_only = waiting.iter().all(|it| !it.heard);
        self.in_force |= waiting.is_empty() || (silent_only && self.silent_hosts_expired(now));
        let waiting = if self.in_force { Vec::new() } else { waiting };
        Progress { version: self.version, in_force: self.in_force, waiting }
    }

    fn has_version(&self, host: &ReportedVersion) -> bool {
        host.version.is_some_and(|it| self.version <= it)
    }

    fn silent_hosts_expired(&self, now: Moment) -> bool {
        let Some(majority_since) = self.majority_since else { return false };
        let configurations_expired = self.stored_at + self.configuration_bound + CLOCK_DRIFT;
        let reports_expired = majority_since + self.silence_bound + CLOCK_DRIFT;
        configurations_expired.max(reports_expired) <= now
    }
}

impl From<&ReportedVersion> for PendingHost {
    fn from(it: &ReportedVersion) -> PendingHost {
        PendingHost { host: it.host.clone(), version: it.version, heard: it.heard }
    }
}
