//! Serialized form of a configuration, as operators write it and the platform stores it; not
//! validated.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Announcement, Change, Subject};
use crate::{
    id,
    settings::{Fault, FaultKind, Location, value},
};

/// Name of the announcements in error messages.
const ANNOUNCEMENTS_LIST: &str = "announcements";

/// The two lists as text and the announcements; not validated.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Lists {
    /// Plans list: the plan and keys of each customer, in INI format.
    pub plans: String,
    /// Limits list: the limits of each plan, in INI format.
    pub limits: String,
    /// Announced changes to the fleet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub announcements: Vec<RawAnnouncement>,
}

/// Serialized form of an [`Announcement`]; not validated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawAnnouncement {
    /// Identifier, unique among the announcements.
    pub id: SmolStr,
    /// Kind of the change.
    pub change: Change,
    /// Targets that the change affects.
    #[serde(flatten)]
    pub subject: RawSubject,
    /// Configuration version that added the announcement.
    #[serde(rename = "start")]
    pub added_in: id::Version,
    /// Time from the announcement until the change, in milliseconds.
    pub after_ms: u64,
    /// Time of the announcement by the wall clock where it was made, in milliseconds since the Unix
    /// epoch.
    pub announced_ms: u64,
}

/// Serialized form of a [`Subject`]; not validated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawSubject {
    /// A single target.
    Target(SmolStr),
    /// All targets of a data centre.
    DataCentre(SmolStr),
}

impl From<&Announcement> for RawAnnouncement {
    fn from(it: &Announcement) -> RawAnnouncement {
        let millis = |it: Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
        RawAnnouncement {
            id: it.id.clone(),
            change: it.change,
            subject: match &it.subject {
                Subject::Target(name) => RawSubject::Target(name.clone()),
                Subject::DataCentre(name) => RawSubject::DataCentre(name.clone()),
            },
            added_in: it.added_in,
            after_ms: millis(it.delay),
            announced_ms: millis(it.announced_at),
        }
    }
}

impl TryFrom<&RawAnnouncement> for Announcement {
    type Error = Fault;

    fn try_from(it: &RawAnnouncement) -> Result<Announcement, Fault> {
        let location = Location::file(ANNOUNCEMENTS_LIST).section(&it.id);
        let name = |key: &str, text: &str| {
            value::parse_name(text).map_err(|kind| location.key(key).fault(kind))
        };
        Ok(Announcement {
            id: name("id", &it.id)?,
            change: it.change,
            subject: match &it.subject {
                RawSubject::Target(it) => Subject::Target(name("target", it)?),
                RawSubject::DataCentre(it) => Subject::DataCentre(name("data_centre", it)?),
            },
            added_in: it.added_in,
            delay: Duration::from_millis(it.after_ms),
            announced_at: Duration::from_millis(it.announced_ms),
        })
    }
}

/// Validates the announcements; a repeated identifier is a fault.
pub(super) fn announcements(raw: &[RawAnnouncement]) -> Result<Vec<Announcement>, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut valid: Vec<Announcement> = Vec::new();
    for announcement in raw {
        if valid.iter().any(|it| it.id == announcement.id) {
            let location = Location::file(ANNOUNCEMENTS_LIST).section(&announcement.id);
            faults.push(location.fault(FaultKind::Repeated));
        }
        match Announcement::try_from(announcement) {
            Ok(it) => valid.push(it),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() { Ok(valid) } else { Err(faults) }
}
