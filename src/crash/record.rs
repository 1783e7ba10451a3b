//! The row of a suspected request.

use std::collections::BTreeSet;

use smol_str::{SmolStr, format_smolstr};

use crate::{crash::Crash, id};

/// Prefix of the rows that hold suspected requests.
pub(super) const PREFIX: &str = "crash/";

/// The checked contents of a suspected request's row.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Record {
    /// Runs of targets that died while they ran the request.
    pub crashes: BTreeSet<Crash>,
}

/// Returns the name of the row of a request.
pub fn row(fingerprint: id::Fingerprint) -> SmolStr {
    format_smolstr!("{PREFIX}{fingerprint:016x}")
}

/// Returns the request that a row is about; `None` when the name is not such a row's.
pub(super) fn fingerprint(row: &str) -> Option<id::Fingerprint> {
    id::Fingerprint::from_str_radix(row.strip_prefix(PREFIX)?, 16).ok()
}
