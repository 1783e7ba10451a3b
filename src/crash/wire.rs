//! JSON of the rows of suspects and of reserved targets.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    crash::{Crash, trial::Reservation},
    id,
};

/// Maximum number of crashes accepted from one row.
const MAX_CRASHES: usize = 64;

/// Contents of a suspect's row, as stored.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    crashes: BTreeSet<Crash>,
}

/// The contents of a row are not valid.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// The contents are not the expected JSON.
    #[error("row is not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The row lists more crashes than a host ever writes.
    #[error("row lists more than {MAX_CRASHES} crashes")]
    TooManyCrashes,
}

impl TryFrom<&str> for super::Record {
    type Error = Malformed;

    fn try_from(text: &str) -> Result<super::Record, Malformed> {
        let raw: Record = serde_json::from_str(text)?;
        if MAX_CRASHES < raw.crashes.len() {
            return Err(Malformed::TooManyCrashes);
        }
        Ok(super::Record { crashes: raw.crashes })
    }
}

impl From<&super::Record> for String {
    fn from(record: &super::Record) -> String {
        let raw = Record { crashes: record.crashes.clone() };
        serde_json::to_string(&raw).expect("a record of crashes serializes to JSON")
    }
}

/// Contents of a row that reserves a target for a suspect, as stored.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Trial {
    fingerprint: id::Fingerprint,
    /// Token of the reservation.
    pub(super) token: id::Token,
}

impl TryFrom<&str> for Trial {
    type Error = Malformed;

    fn try_from(text: &str) -> Result<Trial, Malformed> {
        Ok(serde_json::from_str(text)?)
    }
}

impl From<&Trial> for String {
    fn from(trial: &Trial) -> String {
        serde_json::to_string(trial).expect("a reservation serializes to JSON")
    }
}

impl From<&Reservation> for Trial {
    fn from(reservation: &Reservation) -> Trial {
        Trial { fingerprint: reservation.fingerprint, token: reservation.token }
    }
}
