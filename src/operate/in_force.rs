//! When a stored configuration is in force on every host, as a state machine.

use std::time::Duration;

use super::wire::{Progress, Waiting};
use crate::{clock::Moment, host::ReportedVersion, id};

/// Allowance for clocks that run at different speeds over the configuration bound.
const DRIFT: Duration = Duration::from_millis(400);

/// Follows one version until it is in force.
///
/// A host that is not heard may still admit requests under an earlier version for two reasons: its
/// last refresh is younger than the configuration bound, or it hears most hosts and none of them has
/// a later version. The first ends with the bound, counted from when this host knew that the version
/// was stored. The second ends once more than half of all hosts have the version and the bound on
/// silence has passed since, for then what the silent host remembers of one of them is too old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watch {
    version: id::Version,
    bound: Duration,
    silence: Duration,
    stored: Moment,
    majority: Option<Moment>,
    in_force: bool,
}

impl Watch {
    /// Starts to follow a version that was known to be stored at `stored`.
    pub fn new(version: id::Version, bound: Duration, silence: Duration, stored: Moment) -> Watch {
        Watch { version, bound, silence, stored, majority: None, in_force: false }
    }

    /// Takes what all known hosts said up to `now`, this host included.
    pub fn step(&mut self, hosts: &[ReportedVersion], now: Moment) -> Progress {
        let waiting: Vec<Waiting> =
            hosts.iter().filter(|it| !self.has_version(it)).map(Waiting::from).collect();
        let confirmed = hosts.len() - waiting.len();
        if hosts.len() < confirmed * 2 {
            self.majority.get_or_insert(now);
        }
        let silent_only = waiting.iter().all(|it| !it.heard);
        self.in_force |= waiting.is_empty() || (silent_only && self.silent_hosts_stopped(now));
        let waiting = if self.in_force { Vec::new() } else { waiting };
        Progress { version: self.version, in_force: self.in_force, waiting }
    }

    fn has_version(&self, host: &ReportedVersion) -> bool {
        host.version.is_some_and(|it| self.version <= it)
    }

    fn silent_hosts_stopped(&self, now: Moment) -> bool {
        let Some(majority) = self.majority else { return false };
        let refreshed = self.stored + self.bound + DRIFT;
        let remembered = majority + self.silence + DRIFT;
        refreshed.max(remembered) <= now
    }
}

impl From<&ReportedVersion> for Waiting {
    fn from(it: &ReportedVersion) -> Waiting {
        Waiting { host: it.host.clone(), version: it.version, heard: it.heard }
    }
}
