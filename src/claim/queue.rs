//! Table operations that wait for the next transaction.

use std::{
    collections::{HashSet, VecDeque},
    sync::mpsc::SyncSender,
};

use smol_str::SmolStr;

use crate::{
    claim::{Found, Input, Record, State, Stored},
    id,
    store::{Row, Write},
};

/// Operations in one transaction at most.
const BATCH: usize = 128;

/// An operation on the row of one claim.
#[derive(Debug)]
pub(super) struct Operation {
    /// Row of the claim.
    pub(super) row: SmolStr,
    /// What to do with it.
    pub(super) work: Work,
}

/// What to do with a row.
#[derive(Debug)]
pub(super) enum Work {
    /// Write a claim and tell the attempt.
    Claim {
        /// Version that the row must have.
        expected: id::Version,
        /// Contents to write.
        record: Record,
        /// Where the outcome goes.
        reply: SyncSender<Input>,
    },
    /// Read the row and tell the attempt.
    Read {
        /// Where the outcome goes.
        reply: SyncSender<Input>,
    },
    /// Replace the state of an own claim.
    Settle(Settlement),
}

/// The end of a claim, to be written to its row.
#[derive(Debug, Clone)]
pub(super) struct Settlement {
    /// Own record in its final state.
    pub(super) record: Record,
    /// Version of the row as far as it is known.
    pub(super) version: Option<id::Version>,
    /// Bytes of a body that must be in the object store first.
    pub(super) upload: Option<Vec<u8>>,
}

/// Operations in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Operation>,
}

impl Operation {
    /// Returns whether a request waits for the operation.
    pub(super) fn is_urgent(&self) -> bool {
        !matches!(self.work, Work::Settle(_))
    }

    /// Returns the write to make, or `None` when the row must be read first.
    pub(super) fn write(&self) -> Option<Write> {
        let (expected, record) = match &self.work {
            Work::Claim { expected, record, .. } => (*expected, record),
            Work::Settle(Settlement { record, version: Some(version), .. }) => (*version, record),
            Work::Settle(_) | Work::Read { .. } => return None,
        };
        Some(Write { key: self.row.clone(), expected, value: Some(String::from(record)) })
    }
}

impl Settlement {
    /// Settles a claim as never sent.
    pub(super) fn abandoned(record: Record, version: Option<id::Version>) -> Settlement {
        Settlement { record: Record { state: State::Abandoned, ..record }, version, upload: None }
    }

    /// Settles a claim with its answer.
    pub(super) fn done(
        record: Record,
        version: id::Version,
        stored: Option<Stored>,
        upload: Option<Vec<u8>>,
    ) -> Settlement {
        let record = Record { state: State::Done(stored), ..record };
        Settlement { record, version: Some(version), upload }
    }
}

impl Queue {
    /// Adds an operation.
    pub(super) fn push(&mut self, operation: Operation) {
        self.waiting.push_back(operation);
    }

    /// Returns whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request waits for any of the operations.
    pub(super) fn is_urgent(&self) -> bool {
        self.waiting.iter().any(Operation::is_urgent)
    }

    /// Takes the operations for the next transaction, at most one a row.
    pub(super) fn batch(&mut self) -> Vec<Operation> {
        let mut rows = HashSet::new();
        let mut batch = Vec::new();
        let mut rest = VecDeque::new();
        for operation in self.waiting.drain(..) {
            if batch.len() < BATCH && rows.insert(operation.row.clone()) {
                batch.push(operation);
            } else {
                rest.push_back(operation);
            }
        }
        self.waiting = rest;
        batch
    }
}

impl From<&Row> for Found {
    fn from(row: &Row) -> Found {
        if row.version == 0 {
            return Found::Absent;
        }
        match Record::try_from(row.value.as_str()) {
            Ok(record) => Found::Claim { version: row.version, record },
            Err(_) => Found::Garbled,
        }
    }
}
