//! Changes to the fleet that operators announce in advance.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;

/// A change to the fleet that an operator has announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Identifier, unique among the announcements.
    pub id: SmolStr,
    /// Kind of the change.
    pub change: Change,
    /// Targets that the change affects.
    pub subject: Subject,
    /// Configuration version that added the announcement.
    pub added_in: id::Version,
    /// Time from the announcement until the change.
    pub delay: Duration,
    /// Time of the announcement by the wall clock where it was made, since the Unix epoch.
    pub announced_at: Duration,
}

/// Kind of an announced change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The subject leaves the fleet.
    Withdraw,
    /// The subject is replaced by another one of the same name.
    Replace,
    /// The subject gets no new work until the announcement is deleted.
    Drain,
}

/// Targets that an announced change affects.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A single target.
    Target(id::Target),
    /// All targets of a data centre.
    DataCentre(id::DataCentre),
}

impl Announcement {
    /// Returns the time left until the change; `wall_time` is the time since the Unix epoch.
    ///
    /// The result is an estimate, clamped to between zero and the announced delay, since the clock
    /// of the announcement and this host's may differ. Use it for planning only: no safety rule may
    /// depend on it.
    pub fn due_in(&self, wall_time: Duration) -> Duration {
        let elapsed = wall_time.saturating_sub(self.announced_at);
        self.delay.saturating_sub(elapsed)
    }

    /// Returns whether the change affects `target`, which is in `data_centre`.
    pub fn affects(&self, target: &str, data_centre: &str) -> bool {
        match &self.subject {
            Subject::Target(it) => it == target,
            Subject::DataCentre(it) => it == data_centre,
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Change::Withdraw => "withdraw",
            Change::Replace => "replace",
            Change::Drain => "drain",
        })
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Target(it) => write!(f, "target {it}"),
            Subject::DataCentre(it) => write!(f, "data centre {it}"),
        }
    }
}
