//! JSON request and response bodies of the operators' interface.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    configuration::{self, Difference, Lists, RawAnnouncement, RawSubject, store::HistoryEntry},
    id,
    refresh::Freshness,
    settings,
};

/// A stored configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the lists below.
    pub version: id::Version,
    /// Version in force on the answering host.
    pub in_force_here: id::Version,
    /// Plans, limits and announcements of that version.
    #[serde(flatten)]
    pub lists: Lists,
}

/// Request to edit the configuration; an absent list is left unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Version that the edit is based on.
    pub from: id::Version,
    /// New list of the customers' plans.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plans: Option<String>,
    /// New list of the plans' limits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<String>,
    /// Name of the operator who makes the edit.
    #[serde(default)]
    pub author: SmolStr,
    /// Random idempotency token: repeating the edit after a lost response stores it only once.
    pub token: id::Token,
}

/// Outcome of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum EditOutcome {
    /// The edit is stored, and the other hosts have been told to read it.
    Stored {
        /// Version of the stored edit.
        version: id::Version,
    },
    /// Another edit was stored since the version that this one is based on; nothing was stored.
    Conflict {
        /// Version that is stored now.
        current: id::Version,
        /// Changes since the version that the edit is based on.
        difference: Difference,
    },
    /// The lists have faults; nothing was stored.
    Invalid {
        /// Every fault found in the lists.
        faults: Vec<Fault>,
    },
    /// The platform failed before the edit took effect; nothing was stored.
    NotStored {
        /// Description of the failure.
        message: String,
    },
    /// The edit may have been stored; repeat it with the same token to find out.
    Unknown {
        /// Version of the edit if it was stored.
        version: id::Version,
        /// Description of the failure.
        message: String,
    },
}

/// A fault in a settings file or list, with its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Name of the file or list.
    pub file: SmolStr,
    /// Name of the section; empty when the fault is not in a single section.
    pub section: SmolStr,
    /// Name of the key; empty when the fault is not in a single key.
    pub key: SmolStr,
    /// Description of the fault.
    pub reason: String,
}

impl From<&settings::Fault> for Fault {
    fn from(it: &settings::Fault) -> Fault {
        Fault {
            file: it.location.file.clone(),
            section: it.location.section.clone(),
            key: it.location.key.clone(),
            reason: it.kind.to_string(),
        }
    }
}

/// Rollout progress of a configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The tracked version.
    pub version: id::Version,
    /// Whether every host has stopped admitting requests under earlier versions.
    pub in_force: bool,
    /// Hosts that may still admit requests under an earlier version.
    pub waiting: Vec<PendingHost>,
}

/// A host that may still admit requests under an earlier version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingHost {
    /// Name of the host.
    pub host: id::Host,
    /// Version in force on the host, as last reported.
    pub version: Option<id::Version>,
    /// Whether heartbeats from the host arrive.
    pub heard: bool,
}

/// The most recent edits, newest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Stored edits with their versions, authors and times.
    pub edits: Vec<HistoryEntry>,
}

/// Request to announce a change to the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Announce")]
pub struct AnnounceRequest {
    /// Name of the announcement; an existing one of the same name is replaced.
    pub id: SmolStr,
    /// Kind of change.
    pub change: configuration::Change,
    /// Target or data centre that changes.
    #[serde(flatten)]
    pub subject: RawSubject,
    /// Delay until the change, in milliseconds.
    pub after_ms: u64,
    /// Name of the operator who announces the change.
    #[serde(default)]
    pub author: SmolStr,
}

/// Request to release a target.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Signed")]
pub struct Attribution {
    /// Name of the operator who sends the request.
    #[serde(default)]
    pub author: SmolStr,
}

/// Outcome of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ReleaseOutcome {
    /// The release is recorded; the lease holder of the group may send orders to the target again.
    Recorded,
    /// No group has the target, or the target isn't waiting for a release.
    NothingToRelease,
    /// The release could not be recorded.
    Failed {
        /// Description of the failure.
        message: String,
    },
}

/// The fleet as the answering host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Name of the answering host.
    pub host: id::Host,
    /// Version of the configuration in force on the answering host.
    pub version: id::Version,
    /// How recent that configuration is, which decides what the answering host may admit.
    pub freshness: Freshness,
    /// Entry hosts, sorted by name.
    pub hosts: Vec<Host>,
    /// Groups of targets with their lease holders, pending orders and drains.
    pub groups: Vec<Group>,
    /// Targets with their last reports.
    pub targets: Vec<Target>,
    /// Announced changes to the fleet.
    pub announcements: Vec<RawAnnouncement>,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: id::Host,
    /// Data centre of the host.
    pub data_centre: id::DataCentre,
    /// Membership status: `joining`, `live`, `leaving` or `silent`.
    pub status: SmolStr,
    /// Version of the configuration in force on the host, if known.
    pub version: Option<id::Version>,
    /// How recent that configuration is, which decides what the host may admit.
    pub freshness: Freshness,
    /// Open connections at the callers' port of the host.
    pub connections: u32,
    /// Time since the last heartbeat from the host, in milliseconds; absent for the answering host.
    pub silent_ms: Option<u64>,
}

/// A group of targets.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub group: id::Group,
    /// Host that held the lease when it was last read.
    pub holder: Option<id::Host>,
    /// Fencing token of the lease.
    pub epoch: id::Epoch,
    /// Revision of the group's row.
    pub revision: id::Version,
    /// Orders without a known outcome.
    pub pending: Vec<Order>,
    /// Drains under way.
    pub drains: Vec<Drain>,
    /// Targets that receive no orders until an earlier lease holder is known to have stopped.
    pub held_back: Vec<id::Target>,
}

/// An order without a known outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target that the order was sent to.
    pub target: id::Target,
    /// Action that the target was told to take.
    pub action: SmolStr,
    /// Fencing token of the lease under which the order was sent.
    pub epoch: id::Epoch,
}

/// A drain under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Target being drained.
    pub target: id::Target,
    /// Reason for the drain: `order`, `announced` or `withdrawn`.
    pub purpose: SmolStr,
    /// Whether no request runs at the target or can still arrive. Only the holder of the group
    /// knows; `false` on other hosts.
    #[serde(default)]
    pub complete: bool,
    /// Hosts that have not yet confirmed that they have no request on the target. Only the holder of
    /// the group knows; empty on other hosts.
    pub waiting: Vec<id::Host>,
}

impl fmt::Display for Drain {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Drain { target, purpose, complete, waiting } = self;
        write!(formatter, "{target} ({purpose}")?;
        if *complete {
            formatter.write_str(", complete")?;
        } else if !waiting.is_empty() {
            write!(formatter, ", waits for {}", waiting.join(" "))?;
        }
        formatter.write_str(")")
    }
}

/// A target as the answering host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub target: id::Target,
    /// Data centre of the target.
    pub data_centre: id::DataCentre,
    /// Model or service that the target serves.
    pub serves: SmolStr,
    /// Role of an engine; absent for services and before the first report.
    pub role: Option<SmolStr>,
    /// Whether the target accepts requests; absent before the first report.
    pub serving: Option<bool>,
    /// Whether the target rejects orders with an older fencing token; absent before the first
    /// report.
    pub checks_fence: Option<bool>,
    /// Whether the host list marks the target as leaving.
    pub leaving: bool,
    /// Requests running on the target at the last report.
    pub running: u32,
    /// Requests queued on the target at the last report.
    pub waiting: u32,
    /// Age of the last report, in milliseconds; absent before the first report.
    pub report_age_ms: Option<u64>,
}

/// Open requests of the answering host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// Name of the answering host.
    pub host: id::Host,
    /// The requests, oldest first.
    pub requests: Vec<Request>,
}

/// An open request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier of the request, as sent to the caller in the response.
    pub request: SmolStr,
    /// Client account that sent the request.
    pub customer: id::Customer,
    /// Plan of the client account.
    pub plan: id::Plan,
    /// Requested model or service.
    pub asks: SmolStr,
    /// Target that runs the request, if any.
    pub target: Option<id::Target>,
    /// Number of attempts started.
    pub attempts: id::Attempt,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u64,
}

/// Counters of the answering host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Name of the answering host.
    pub host: id::Host,
    /// Value of each counter since the host started, by name.
    pub counters: BTreeMap<SmolStr, i64>,
}

/// Response to a refused call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Why the call was refused and how to correct it.
    pub message: String,
}
