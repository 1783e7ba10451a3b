//! Validated contents of a lease's row.

use crate::id;

/// A process that may hold leases: one run of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Owner {
    /// Name of the host.
    pub host: id::Host,
    /// Run of the host's process.
    pub incarnation: id::Incarnation,
}

/// Validated contents of a lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// Current holder; `None` after it released the lease.
    pub owner: Option<Owner>,
    /// Raised by each acquisition of the lease; first part of the fencing tokens of its orders.
    pub epoch: id::Epoch,
    /// Number of writes by the holder since it acquired the lease.
    pub renewal: u64,
    /// Random token by which the writer recognizes its own write when the answer to it was lost.
    pub token: id::Token,
}

/// The contents of a row are not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The text is not the expected JSON.
    #[error("not the expected JSON: {0}")]
    Json(String),
    /// The named field has a value that no host writes.
    #[error("field {0} is out of range")]
    Field(&'static str),
}

impl From<serde_json::Error> for Malformed {
    fn from(err: serde_json::Error) -> Malformed {
        Malformed::Json(err.to_string())
    }
}
