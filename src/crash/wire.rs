//! The JSON form of a suspected request's row.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    crash::{Crash, trial::Reservation},
    id,
};

/// Crashes that one row may list.
const MAX_CRASHES: usize = 64;

/// Raw contents of a suspected request's row.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    crashes: BTreeSet<Crash>,
}

/// A row that is not a suspected request's.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The contents are not the expected JSON.
    #[error("not a suspected request: {0}")]
    Json(#[from] serde_json::Error),
    /// The row lists more crashes than a host ever writes.
    #[error("not a suspected request: too many crashes")]
    TooMany,
}

impl TryFrom<&str> for super::Record {
    type Error = Fault;

    fn try_from(text: &str) -> Result<super::Record, Fault> {
        let raw: Record = serde_json::from_str(text)?;
        if MAX_CRASHES < raw.crashes.len() {
            return Err(Fault::TooMany);
        }
        Ok(super::Record { crashes: raw.crashes })
    }
}

impl From<&super::Record> for String {
    fn from(record: &super::Record) -> String {
        let raw = Record { crashes: record.crashes.clone() };
        serde_json::to_string(&raw).expect("a suspected request has a JSON form")
    }
}

/// Contents of a row that reserves a target for a suspect.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Trial {
    fingerprint: id::Fingerprint,
    /// Token of the reservation.
    pub(super) token: id::Token,
}

impl TryFrom<&str> for Trial {
    type Error = Fault;

    fn try_from(text: &str) -> Result<Trial, Fault> {
        Ok(serde_json::from_str(text)?)
    }
}

impl From<&Trial> for String {
    fn from(trial: &Trial) -> String {
        serde_json::to_string(trial).expect("a reservation has a JSON form")
    }
}

impl From<&Reservation> for Trial {
    fn from(it: &Reservation) -> Trial {
        Trial { fingerprint: it.fingerprint, token: it.token }
    }
}
