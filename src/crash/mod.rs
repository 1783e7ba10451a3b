//! Requests that crash the targets that run them.
//!
//! Each host notes which of its requests a target ran when it died. A single crash proves nothing,
//! since other requests ran there too: the request is a suspect, which is tried again only where no
//! other suspect runs. After a second crash it is refused on every host, for a time. The notes are
//! shared through the platform's table.

mod confirm;
mod record;
mod suspects;
mod trial;
mod watch;
mod wire;

use serde::{Deserialize, Serialize};

pub use self::{
    confirm::{Finding, confirm},
    record::{Record, row},
    suspects::{Suspects, Suspicion},
    watch::{Config, Trial, Watch},
};
use crate::id;

/// The death of one run of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Name of the target.
    pub target: id::Target,
    /// Run of its process.
    pub incarnation: id::Incarnation,
}
