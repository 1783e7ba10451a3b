//! The transactional table in memory.

use std::{collections::BTreeMap, ops::Bound};

use smol_str::SmolStr;

use crate::store::{Commit, Row, Write};

/// Rows by key; a deleted row keeps its version, so that no version comes twice.
#[derive(Debug, Default)]
pub(super) struct Table(BTreeMap<SmolStr, Cell>);

#[derive(Debug, Default)]
struct Cell {
    version: u64,
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
            .filter(|(_, cell)| cell.value.is_some())
            .map(|(key, _)| self.row(key))
            .collect()
    }

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

    fn row(&self, key: &SmolStr) -> Row {
        let cell = self.0.get(key).and_then(|it| Some((it.version, it.value.clone()?)));
        let (version, value) = cell.unwrap_or_default();
        Row { key: key.clone(), version, value }
    }

    fn write(&mut self, write: &Write) -> u64 {
        let cell = self.0.entry(write.key.clone()).or_default();
        cell.version += 1;
        cell.value = write.value.clone();
        cell.version
    }
}
