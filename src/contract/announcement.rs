//! Changes to the fleet that operators announce ahead.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;

/// A change to the fleet that an operator has announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name, unique among the announced changes.
    pub id: SmolStr,
    /// What happens.
    pub change: Change,
    /// What it happens to.
    pub subject: Subject,
    /// Configuration version that brought it.
    pub start: id::Version,
    /// Delay from the edit until the change.
    pub after: Duration,
    /// Time of the edit by the operator's clock, since 1970.
    pub announced: Duration,
}

/// What happens to the subject of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It leaves the fleet.
    Withdraw,
    /// It leaves and another one takes its name.
    Replace,
    /// It gets no new work until the announcement is deleted.
    Drain,
}

/// What an announced change concerns.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Subject {
    /// One target.
    Target(id::Target),
    /// All targets of a data centre.
    DataCentre(id::DataCentre),
}

impl Announcement {
    /// Returns the time left until the change; `wall` is the time since 1970.
    ///
    /// The result is an estimate between zero and the announced delay, since the operator's clock
    /// and this host's may differ. It serves planning; no safety rule depends on it.
    pub fn due_in(&self, wall: Duration) -> Duration {
        let passed = wall.saturating_sub(self.announced);
        self.after.saturating_sub(passed)
    }

    /// Returns whether the change concerns a target.
    pub fn concerns(&self, target: &str, data_centre: &str) -> bool {
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
