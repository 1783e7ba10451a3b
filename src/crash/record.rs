//! Table row of a suspect: its key and its validated contents.

use std::collections::BTreeSet;

use smol_str::{SmolStr, format_smolstr};

use crate::{crash::Crash, id};

/// Prefix of the row keys of suspects.
pub(super) const ROW_PREFIX: &str = "crash/";

/// Validated contents of a suspect's row.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Record {
    /// Runs of targets that died while running the request.
    pub crashes: BTreeSet<Crash>,
}

/// Returns the key of a request's row.
pub fn row_key(fingerprint: id::Fingerprint) -> SmolStr {
    format_smolstr!("{ROW_PREFIX}{fingerprint:016x}")
}

/// Returns the fingerprint in a suspect's row key; `None` for any other key.
pub(super) fn parse_row_key(key: &str) -> Option<id::Fingerprint> {
    id::Fingerprint::from_str_radix(key.strip_prefix(ROW_PREFIX)?, 16).ok()
}
