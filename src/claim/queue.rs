//! Queue of table operations for the next transaction.

use std::{
    collections::{HashSet, VecDeque},
    sync::mpsc::SyncSender,
};

use smol_str::SmolStr;

use crate::{
    claim::{Input, Record, RowContents, State, StoredAnswer},
    id,
    store::{Row, Write},
};

/// Largest number of operations in one transaction.
const MAX_BATCH_OPERATIONS: usize = 128;

/// An operation on the row of one claim.
#[derive(Debug)]
pub(super) struct Operation {
    /// Key of the claim's row.
    pub(super) row: SmolStr,
    /// What to do with the row.
    pub(super) kind: Kind,
}

/// Kind of an operation.
#[derive(Debug)]
pub(super) enum Kind {
    /// Write a claim and send the result to the attempt.
    Claim {
        /// Version that the row must have.
        expected: id::Version,
        /// Contents to write.
        record: Record,
        /// Receives the result.
        reply: SyncSender<Input>,
    },
    /// Read the row and send the result to the attempt.
    Read {
        /// Receives the result.
        reply: SyncSender<Input>,
    },
    /// Write the final state of a claim of this host process.
    Settle(Settlement),
}

/// The final state of a claim, to be written to its row.
#[derive(Debug, Clone)]
pub(super) struct Settlement {
    /// Record with the final state.
    pub(super) record: Record,
    /// Version of the row; `None` if unknown, then the row is read first.
    pub(super) version: Option<id::Version>,
    /// Body that must be uploaded to the object store before the row is written.
    pub(super) upload: Option<Vec<u8>>,
}

/// Pending operations in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pending: VecDeque<Operation>,
}

impl Operation {
    /// Returns whether a request is waiting for the operation.
    pub(super) fn has_waiter(&self) -> bool {
        !matches!(self.kind, Kind::Settle(_))
    }

    /// Returns the write for the table, or `None` if the row must be read first.
    pub(super) fn to_write(&self) -> Option<Write> {
        let (expected, record) = match &self.kind {
            Kind::Claim { expected, record, .. } => (*expected, record),
            Kind::Settle(Settlement { record, version: Some(version), .. }) => (*version, record),
            Kind::Settle(_) | Kind::Read { .. } => return None,
        };
        Some(Write { key: self.row.clone(), expected, value: Some(String::from(record)) })
    }
}

impl Settlement {
    /// Creates the settlement of a claim under which nothing ran.
    pub(super) fn abandoned(record: Record, version: Option<id::Version>) -> Settlement {
        Settlement { record: Record { state: State::Abandoned, ..record }, version, upload: None }
    }

    /// Creates the settlement of a claim whose request ran; `stored` is `None` if the answer was
    /// not kept.
    pub(super) fn done(
        record: Record,
        version: id::Version,
        stored: Option<StoredAnswer>,
        upload: Option<Vec<u8>>,
    ) -> Settlement {
        let record = Record { state: State::Done(stored), ..record };
        Settlement { record, version: Some(version), upload }
    }
}

impl Queue {
    /// Appends an operation.
    pub(super) fn push(&mut self, operation: Operation) {
        self.pending.push_back(operation);
    }

    /// Returns whether no operation is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether a request is waiting for any of the operations.
    pub(super) fn has_waiter(&self) -> bool {
        self.pending.iter().any(Operation::has_waiter)
    }

    /// Removes and returns the operations for the next transaction, at most one per row.
    pub(super) fn take_batch(&mut self) -> Vec<Operation> {
        let mut rows = HashSet::new();
        let mut batch = Vec::new();
        let mut rest = VecDeque::new();
        for operation in self.pending.drain(..) {
            if batch.len() < MAX_BATCH_OPERATIONS && rows.insert(operation.row.clone()) {
                batch.push(operation);
            } else {
                rest.push_back(operation);
            }
        }
        self.pending = rest;
        batch
    }
}

impl From<&Row> for RowContents {
    fn from(row: &Row) -> RowContents {
        if row.version == 0 {
            return RowContents::Absent;
        }
        match Record::try_from(row.value.as_str()) {
            Ok(record) => RowContents::Claim { version: row.version, record },
            Err(_) => RowContents::Invalid,
        }
    }
}
