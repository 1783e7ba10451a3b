//! Checked contents of a lease's row.

use crate::id;

/// One run of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Owner {
    /// Name of the host.
    pub host: id::Host,
    /// Run of its process.
    pub incarnation: id::Incarnation,
}

/// Contents of a lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// Present holder; `None` after it gave the lease back.
    pub owner: Option<Owner>,
    /// Fencing number, raised each time that the lease is taken.
    pub epoch: id::Epoch,
    /// Renewals since the lease was taken.
    pub renewal: u64,
    /// Token of the write that stored this record.
    pub token: id::Token,
}

/// A row whose contents cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The text is not the expected JSON.
    #[error("not the expected JSON: {0}")]
    Json(String),
    /// A field has a value that no writer stores.
    #[error("field {0} is out of range")]
    Field(&'static str),
}

impl From<serde_json::Error> for Malformed {
    fn from(err: serde_json::Error) -> Malformed {
        Malformed::Json(err.to_string())
    }
}
