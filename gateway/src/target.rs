//! Targets as they announce themselves.

use std::net::SocketAddr;

use fuchsiaknot_core::id;
use serde::{Deserialize, Serialize};

/// What one target says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Identity that requests to it name.
    pub id: id::Target,
    /// Tells runs of one target apart; `None` when it does not say.
    pub incarnation: Option<id::Incarnation>,
    /// Counts the announcements of one run; an older one is out of date.
    pub sequence: u64,
    /// Service whose requests it runs.
    pub service: id::Service,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: id::DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and takes nothing new.
    pub draining: bool,
    /// What an engine does; `None` for a plain service.
    pub stage: Option<Stage>,
}

/// What an engine does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Reads prompts and keeps their cache for another engine.
    Prefill,
    /// Generates, from a fetched cache or from a prompt that it reads itself.
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
