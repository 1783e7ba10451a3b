//! Human-readable differences between two configurations.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Lists, RawAnnouncement, check};
use crate::settings::{Section, values};

/// All differences between two configurations, by section and key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Difference {
    /// Values that differ, ordered by section and key.
    pub changes: Vec<Change>,
}

/// A value that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Section, such as `plan gold`.
    pub section: SmolStr,
    /// Key within the section.
    pub key: SmolStr,
    /// Old value; `None` when absent.
    pub before: Option<String>,
    /// New value; `None` when absent.
    pub after: Option<String>,
}

impl Difference {
    /// Compares two configurations by their values; comments and order are ignored.
    ///
    /// A list with faults is treated as empty.
    pub fn between(before: &Lists, after: &Lists) -> Difference {
        let before = flatten(before);
        let after = flatten(after);
        let keys: std::collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
        let change = |it: &(SmolStr, SmolStr)| Change {
            section: it.0.clone(),
            key: it.1.clone(),
            before: before.get(it).cloned(),
            after: after.get(it).cloned(),
        };
        let changes = keys.into_iter().map(change).filter(|it| it.before != it.after).collect();
        Difference { changes }
    }

    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for it in &self.changes {
            writeln!(f, "{it}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change { section, key, before, after } = self;
        match (before, after) {
            (None, Some(after)) => write!(f, "+ [{section}] {key} = {after}"),
            (Some(before), None) => write!(f, "- [{section}] {key} = {before}"),
            (Some(before), Some(after)) => write!(f, "~ [{section}] {key} = {before} -> {after}"),
            (None, None) => Ok(()),
        }
    }
}

type ValuesByKey = BTreeMap<(SmolStr, SmolStr), String>;

fn flatten(lists: &Lists) -> ValuesByKey {
    let mut all = ValuesByKey::new();
    add_sections(&mut all, &check::accounts(lists));
    add_sections(&mut all, &check::limits(lists));
    for announcement in &lists.announcements {
        let section = smol_str::format_smolstr!("announcement {}", announcement.id);
        all.insert((section, "change".into()), announcement_text(announcement));
    }
    all
}

fn announcement_text(announcement: &RawAnnouncement) -> String {
    let subject = match &announcement.subject {
        super::RawSubject::Target(it) => format!("target {it}"),
        super::RawSubject::DataCentre(it) => format!("data centre {it}"),
    };
    format!("{} {subject} after {} ms", announcement.change, announcement.after_ms)
}

fn add_sections<S: Section + Clone>(all: &mut ValuesByKey, sections: &BTreeMap<SmolStr, S>) {
    for (name, section) in sections {
        let section_name = smol_str::format_smolstr!("{} {name}", S::NAME);
        for (key, value) in values(section) {
            all.insert((section_name.clone(), SmolStr::new_static(key)), value);
        }
    }
}
