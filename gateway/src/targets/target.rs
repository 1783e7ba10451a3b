//! Targets as they announce themselves in the store.

use std::net::SocketAddr;

use fuchsiaknot_core::id;
use serde::{Deserialize, Serialize};

/// Announcement of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Announcement", into = "Announcement")]
pub struct Target {
    /// Identifier; a request names the target that is to run it.
    pub id: id::Target,
    /// Identifies one run of the target's process; a later run has a higher number. `None` when the
    /// target does not send one.
    pub incarnation: Option<id::Incarnation>,
    /// Number of this announcement within an incarnation; a lower number is out of date.
    pub sequence: u64,
    /// Service whose requests the target runs.
    pub service: id::Service,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: id::DataCentre,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is shutting down and accepts no new requests.
    pub draining: bool,
    /// Whether the platform may withdraw the target on short notice.
    pub withdrawable: bool,
    /// Stage that an engine runs; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Version of its software; `None` when the target does not announce it.
    pub software_version: Option<id::SoftwareVersion>,
}

/// A target as hosts send it to each other.
#[derive(Serialize, Deserialize)]
struct Announcement {
    id: id::Target,
    incarnation: Option<id::Incarnation>,
    sequence: u64,
    service: id::Service,
    address: SocketAddr,
    data_centre: id::DataCentre,
    slots: u32,
    condition: Condition,
    stage: Option<Stage>,
    software_version: Option<id::SoftwareVersion>,
}

/// Whether a target is draining and whether it may be withdrawn. The first two have the same bytes as
/// the flag for draining that hosts of earlier builds send and understand.
#[derive(Serialize, Deserialize)]
enum Condition {
    Serving,
    Draining,
    WithdrawableServing,
    WithdrawableDraining,
}

impl From<Announcement> for Target {
    fn from(announcement: Announcement) -> Target {
        let (withdrawable, draining) = match announcement.condition {
            Condition::Serving => (false, false),
            Condition::Draining => (false, true),
            Condition::WithdrawableServing => (true, false),
            Condition::WithdrawableDraining => (true, true),
        };
        Target {
            id: announcement.id,
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            service: announcement.service,
            address: announcement.address,
            data_centre: announcement.data_centre,
            slots: announcement.slots,
            draining,
            withdrawable,
            stage: announcement.stage,
            software_version: announcement.software_version,
        }
    }
}

impl From<Target> for Announcement {
    fn from(target: Target) -> Announcement {
        Announcement {
            id: target.id,
            incarnation: target.incarnation,
            sequence: target.sequence,
            service: target.service,
            address: target.address,
            data_centre: target.data_centre,
            slots: target.slots,
            condition: match (target.withdrawable, target.draining) {
                (false, false) => Condition::Serving,
                (false, true) => Condition::Draining,
                (true, false) => Condition::WithdrawableServing,
                (true, true) => Condition::WithdrawableDraining,
            },
            stage: target.stage,
            software_version: target.software_version,
        }
    }
}

/// One run of a target's process. A target that crashed may start again under its old identifier.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The target.
    pub target: id::Target,
    /// Identifies the run; `None` when the target does not send it.
    pub incarnation: Option<id::Incarnation>,
}

impl From<&Target> for Run {
    fn from(target: &Target) -> Run {
        Run { target: target.id.clone(), incarnation: target.incarnation }
    }
}

impl From<&str> for Run {
    /// Returns the run of a target that sends no incarnation.
    fn from(target: &str) -> Run {
        Run { target: target.into(), incarnation: None }
    }
}

/// Part of the work on a prompt that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Prefills prompts and holds their KV cache for another engine to fetch.
    Prefill,
    /// Generates tokens, from a fetched KV cache or after its own prefill.
    Decode,
}

impl Stage {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}
