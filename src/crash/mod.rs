//! Detection and refusal of requests that crash the targets that run them.
//!
//! Each host records which of its requests a target was running when the target died. One crash
//! does not identify the cause, since other requests ran there too, so each of them becomes a
//! suspect. A suspect is retried only on a target where no other suspect runs. After a second crash
//! every host refuses the request until the record expires. Hosts share the records through the
//! platform's table.

mod probe;
mod record;
mod registry;
mod suspects;
mod trial;
mod wire;

use serde::{Deserialize, Serialize};

pub use self::{
    probe::{Liveness, probe},
    record::{Record, row_key},
    registry::{Config, Registry, Trial},
    suspects::{Status, Suspects},
};
use crate::id;

/// The unexpected end of one run of a target's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Name of the target.
    pub target: id::Target,
    /// Run of the target's process.
    pub incarnation: id::Incarnation,
}
