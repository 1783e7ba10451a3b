//! Messages of the operators' interface, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    configuration::{self, Difference, Lists, RawAnnouncement, RawSubject, store::HistoryEntry},
    id,
    refresh::Freshness,
    settings,
};

/// The stored configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version in the table.
    pub version: id::Version,
    /// Version in force on the answering host.
    pub in_force_here: id::Version,
    /// The lists.
    #[serde(flatten)]
    pub lists: Lists,
}

/// Asks to store an edit; lists that are absent stay as they are.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Version that the edit was made from.
    pub from: id::Version,
    /// New plans of the customers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plans: Option<String>,
    /// New limits of each plan.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<String>,
    /// Who makes the edit.
    #[serde(default)]
    pub author: SmolStr,
    /// Random number that marks the edit, so that it can be repeated after a lost answer.
    pub token: id::Token,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Edited {
    /// The edit is stored and on its way to all hosts.
    Stored {
        /// Its version.
        version: id::Version,
    },
    /// Another edit came first; nothing was stored.
    Conflict {
        /// Version that is stored now.
        current: id::Version,
        /// What changed since the version that the edit was made from.
        difference: Difference,
    },
    /// The lists have faults; nothing was stored.
    Invalid {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The platform failed before the edit took effect; nothing was stored.
    NotStored {
        /// What failed.
        message: String,
    },
    /// The edit may have been stored; repeat it with the same token to find out.
    Unknown {
        /// Version that it would have.
        version: id::Version,
        /// What failed.
        message: String,
    },
}

/// A fault with its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Name of the file or list.
    pub file: SmolStr,
    /// Name of the section; empty when it concerns more than one.
    pub section: SmolStr,
    /// Name of the key; empty when it concerns more than one.
    pub key: SmolStr,
    /// What is wrong there.
    pub reason: String,
}

impl From<&settings::Fault> for Fault {
    fn from(it: &settings::Fault) -> Fault {
        Fault {
            file: it.place.file.clone(),
            section: it.place.section.clone(),
            key: it.place.key.clone(),
            reason: it.flaw.to_string(),
        }
    }
}

/// How far a version has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The version asked for.
    pub version: id::Version,
    /// Whether no host admits anything under an earlier version any more.
    pub in_force: bool,
    /// Hosts that are waited for.
    pub waiting: Vec<Waiting>,
}

/// A host that is waited for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Name of the host.
    pub host: id::Host,
    /// Version that it last said to have in force.
    pub version: Option<id::Version>,
    /// Whether it is heard.
    pub heard: bool,
}

/// The last edits, the latest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The edits.
    pub edits: Vec<HistoryEntry>,
}

/// Asks to announce a change to the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Name of the announcement.
    pub id: SmolStr,
    /// What happens.
    pub change: configuration::Change,
    /// What it happens to.
    #[serde(flatten)]
    pub subject: RawSubject,
    /// Delay until the change, in milliseconds.
    pub after_ms: u64,
    /// Who announces it.
    #[serde(default)]
    pub author: SmolStr,
}

/// Asks to release a target, or names who withdraws an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Signed {
    /// Who asks.
    #[serde(default)]
    pub author: SmolStr,
}

/// What became of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Released {
    /// The release is recorded; the holder of the group may order the target again.
    Recorded,
    /// No group has such a target, or nothing waits for a release there.
    NothingToRelease,
    /// The release could not be recorded.
    Failed {
        /// What failed.
        message: String,
    },
}

/// The fleet as the answering host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Name of the answering host.
    pub host: id::Host,
    /// Configuration in force there.
    pub version: id::Version,
    /// What it may do with it.
    pub freshness: Freshness,
    /// All entry hosts.
    pub hosts: Vec<Host>,
    /// All groups.
    pub groups: Vec<Group>,
    /// All targets.
    pub targets: Vec<Target>,
    /// Announced changes.
    pub announcements: Vec<RawAnnouncement>,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub host: id::Host,
    /// Data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// Whether it is in use: `joining`, `live`, `leaving` or `silent`.
    pub status: SmolStr,
    /// Configuration in force there.
    pub version: Option<id::Version>,
    /// What it may do with it.
    pub freshness: Freshness,
    /// Connections open at its callers' port.
    pub connections: u32,
    /// Time since it was last heard, in milliseconds; absent for the answering host.
    pub silent_ms: Option<u64>,
}

/// A group of targets.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Group {
    /// Name.
    pub group: id::Group,
    /// Host that holds the lease, as last read.
    pub holder: Option<id::Host>,
    /// Fencing number of the lease.
    pub epoch: id::Epoch,
    /// Revision of the group's row.
    pub revision: id::Version,
    /// Orders without a known outcome.
    pub pending: Vec<Order>,
    /// Drains under way.
    pub drains: Vec<Drain>,
    /// Targets that get no order until an earlier holder is known to have stopped.
    pub held_back: Vec<id::Target>,
}

/// An order without a known outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target that was ordered.
    pub target: id::Target,
    /// What was ordered.
    pub action: SmolStr,
    /// Fencing number of the lease under which it was given.
    pub epoch: id::Epoch,
}

/// A drain under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Target that is drained.
    pub target: id::Target,
    /// Why: `order`, `announced` or `withdrawn`.
    pub purpose: SmolStr,
    /// Hosts that have not yet said that they have nothing there.
    pub waiting: Vec<id::Host>,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name.
    pub target: id::Target,
    /// Data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// Model or service that it serves.
    pub serves: SmolStr,
    /// Role of an engine; absent for services and before the first report.
    pub role: Option<SmolStr>,
    /// Whether it takes requests; absent before the first report.
    pub serving: Option<bool>,
    /// Whether it refuses orders with an older fencing number; absent before the first report.
    pub checks_fence: Option<bool>,
    /// Whether the host list says that it leaves.
    pub leaving: bool,
    /// Requests that it ran at its last report.
    pub running: u32,
    /// Requests that waited there at its last report.
    pub waiting: u32,
    /// Age of its last report, in milliseconds.
    pub report_age_ms: Option<u64>,
}

/// Open requests of the answering host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// Name of the answering host.
    pub host: id::Host,
    /// The requests, the oldest first.
    pub requests: Vec<Request>,
}

/// An open request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier, as the caller sees it in its answer.
    pub request: SmolStr,
    /// Account that sent it.
    pub customer: id::Customer,
    /// Plan of the account.
    pub plan: id::Plan,
    /// Model or service that it asks for.
    pub asks: SmolStr,
    /// Target that runs it, if any.
    pub target: Option<id::Target>,
    /// Attempts begun.
    pub attempts: id::Attempt,
    /// Time since it arrived, in milliseconds.
    pub age_ms: u64,
}

/// Counters of the answering host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Name of the answering host.
    pub host: id::Host,
    /// Value of each counter since the start.
    pub counters: BTreeMap<SmolStr, i64>,
}

/// A call that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refused {
    /// What is wrong and what to do about it.
    pub message: String,
}
