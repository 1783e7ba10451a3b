//! Targets as they announce themselves in the store.

use std::net::SocketAddr;

use fuchsiaknot_core::id;
use serde::{Deserialize, Serialize};

/// Announcement of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
    /// Stage that an engine runs; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Version of its software; `None` when the target does not announce it.
    pub software_version: Option<id::SoftwareVersion>,
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
