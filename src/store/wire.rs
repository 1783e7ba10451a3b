//! Messages of the platform's HTTP interface.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Machine, Row, Write};

/// Body of `POST /table/read`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Read {
    /// Keys of the rows to read.
    pub keys: Vec<SmolStr>,
}

/// Body of `POST /table/scan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Scan {
    /// Prefix of the keys to read.
    pub prefix: SmolStr,
}

/// Body of `POST /table/commit`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Commit {
    /// Writes of the transaction.
    pub writes: Vec<Write>,
}

/// Answer to a read or a scan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rows {
    /// Rows in the order of the requested keys, or ordered by key for a scan.
    pub rows: Vec<Row>,
}

/// Answer to `GET /hosts`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Machines {
    /// Entry hosts and targets, live and leaving.
    pub machines: Vec<Machine>,
}

/// Answer to `GET /weights/<name>`, sent when the transfer is complete.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Weights {
    /// Size of the weights, in bytes.
    pub bytes: u64,
}
