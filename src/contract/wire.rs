//! The lists as operators write them and as the platform stores them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Announcement, Change, Subject};
use crate::{
    id,
    settings::{Fault, Flaw, Place, value},
};

/// Name of the announced changes in faults.
const ANNOUNCEMENTS: &str = "announcements";

/// The two lists as text, and the announced changes; not checked.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Lists {
    /// Plans of the customers, in INI.
    pub plans: String,
    /// Limits of each plan, in INI.
    pub limits: String,
    /// Announced changes to the fleet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub announcements: Vec<Notice>,
}

/// An announced change; not checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Name of the announcement.
    pub id: SmolStr,
    /// What happens to the subject.
    pub change: Change,
    /// What it happens to.
    #[serde(flatten)]
    pub subject: RawSubject,
    /// Configuration version that brought it.
    pub start: id::Version,
    /// Delay from the edit, in milliseconds.
    pub after_ms: u64,
    /// Time of the edit by the operator's clock, in milliseconds since 1970.
    pub announced_ms: u64,
}

/// What an announced change concerns; not checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawSubject {
    /// One target.
    Target(SmolStr),
    /// All targets of a data centre.
    DataCentre(SmolStr),
}

impl From<&Announcement> for Notice {
    fn from(it: &Announcement) -> Notice {
        let millis = |it: Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
        Notice {
            id: it.id.clone(),
            change: it.change,
            subject: match &it.subject {
                Subject::Target(name) => RawSubject::Target(name.clone()),
                Subject::DataCentre(name) => RawSubject::DataCentre(name.clone()),
            },
            start: it.start,
            after_ms: millis(it.after),
            announced_ms: millis(it.announced),
        }
    }
}

impl TryFrom<&Notice> for Announcement {
    type Error = Fault;

    fn try_from(it: &Notice) -> Result<Announcement, Fault> {
        let place = Place::file(ANNOUNCEMENTS).section(&it.id);
        let checked =
            |key: &str, text: &str| value::name(text).map_err(|flaw| place.key(key).fault(flaw));
        Ok(Announcement {
            id: checked("id", &it.id)?,
            change: it.change,
            subject: match &it.subject {
                RawSubject::Target(name) => Subject::Target(checked("target", name)?),
                RawSubject::DataCentre(name) => Subject::DataCentre(checked("data_centre", name)?),
            },
            start: it.start,
            after: Duration::from_millis(it.after_ms),
            announced: Duration::from_millis(it.announced_ms),
        })
    }
}

/// Checks all announced changes; a repeated name is a fault.
pub(super) fn announcements(notices: &[Notice]) -> Result<Vec<Announcement>, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut checked: Vec<Announcement> = Vec::new();
    for notice in notices {
        if checked.iter().any(|it| it.id == notice.id) {
            let place = Place::file(ANNOUNCEMENTS).section(&notice.id);
            faults.push(place.fault(Flaw::Repeated));
        }
        match Announcement::try_from(notice) {
            Ok(it) => checked.push(it),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() { Ok(checked) } else { Err(faults) }
}
