//! In-memory transactional table.

use std::{collections::BTreeMap, ops::Bound};

use smol_str::SmolStr;

use crate::store::{Commit, Row, Write};

/// Rows by key; a deleted row keeps its version number, so that no version of a key is used twice.
#[derive(Debug, Default)]
pub(super) struct Table(BTreeMap<SmolStr, Content>);

/// Content of a row.
#[derive(Debug, Default)]
struct Content {
    version: u64,
    /// `None` if the row is deleted.
    value: Option<String>,
}

impl Table {
    pub(super) fn read(&self, keys: &[SmolStr]) -> Vec<Row> {
        keys.iter().map(|it| self.row(it)).collect()
    }

    pub(super) fn scan(&self, prefix: &str) -> Vec<Row> {
        self.0
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, content)| content.value.is_some())
            .map(|(key, _)| self.row(key))
            .collect()
    }

    /// Applies all writes, or none if a row does not have the version that its write expects.
    pub(super) fn commit(&mut self, writes: &[Write]) -> Commit {
        let conflicts: Vec<_> = writes
            .iter()
            .map(|it| (it, self.row(&it.key)))
            .filter(|(write, row)| write.expected != row.version)
            .map(|(_, row)| row)
            .collect();
        if !conflicts.is_empty() {
            return Commit::Conflict(conflicts);
        }
        Commit::Done(writes.iter().map(|it| self.write(it)).collect())
    }

    /// Returns the row, with version 0 if it does not exist or is deleted.
    fn row(&self, key: &SmolStr) -> Row {
        let content = self.0.get(key).and_then(|it| Some((it.version, it.value.clone()?)));
        let (version, value) = content.unwrap_or_default();
        Row { key: key.clone(), version, value }
    }

    /// Writes a row and returns its new version.
    fn write(&mut self, write: &Write) -> u64 {
        let content = self.0.entry(write.key.clone()).or_default();
        content.version += 1;
        content.value = write.value.clone();
        content.version
    }
}
