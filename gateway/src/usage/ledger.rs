//! Reports that are committed to the store, so that each window is reported with one set of counts.
//!
//! Answers a holder that ends between a report and its answer, and a platform that is away for longer
//! than a report may be late: a report is committed before it is first sent, and its successor sends
//! the same counts again, the oldest first.

use std::collections::{BTreeMap, VecDeque};

use fuchsiaknot_core::id;
use serde::{Deserialize, Serialize};

use crate::usage::{Report, Window};

/// Most reports that wait for the platform.
const MAX_PENDING: usize = 12;
/// Largest size of the record, in bytes.
const MAX_BYTES: usize = 48 * 1024;

/// Contents of the record, as stored.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    era: id::Era,
    next: Window,
    pending: Vec<(Window, BTreeMap<id::Account, u64>)>,
}

/// The contents of the record are not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(String);

/// Reports that are committed and not known to be accepted, and the first window without one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Era of the store in which the ledger was written.
    pub era: id::Era,
    /// First window whose report is not committed.
    pub next: Window,
    /// Committed reports, the oldest first.
    pub pending: VecDeque<Report>,
}

impl Ledger {
    /// Decodes the record.
    ///
    /// # Errors
    /// Fails when the contents are not those of a ledger.
    pub fn decode(contents: &[u8]) -> Result<Ledger, Malformed> {
        let stored: Stored =
            serde_json::from_slice(contents).map_err(|it| Malformed(it.to_string()))?;
        let report = |(window, counts)| Report { window, counts };
        let pending: VecDeque<Report> = stored.pending.into_iter().map(report).collect();
        let mut previous = None;
        for window in pending.iter().map(|it| it.window).chain([stored.next]) {
            if previous.is_some_and(|it| window <= it) {
                return Err(Malformed("the windows are not in order".to_owned()));
            }
            previous = Some(window);
        }
        Ok(Ledger { era: stored.era, next: stored.next, pending })
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let pending = self.pending.iter().map(|it| (it.window, it.counts.clone())).collect();
        let stored = Stored { era: self.era, next: self.next, pending };
        serde_json::to_vec(&stored).expect("a ledger serializes to JSON")
    }

    /// Adapts the ledger to a new holder, in an era of the store and during the window `current`; the
    /// holder's process started in the window `started`.
    ///
    /// Without a record of this era, windows that have ended may have been reported by a holder of an
    /// earlier era, with counts that are unknown here; they are passed over. Returns their number.
    pub fn take_over(
        &mut self,
        era: id::Era,
        known_next: Window,
        started: Window,
        current: Window,
    ) -> u64 {
        let before = self.next;
        if before == 0 && era == 0 {
            self.next = known_next.max(started);
            return 0;
        }
        if self.era < era || before == 0 {
            self.era = era;
            self.next = before.max(known_next).max(current);
        }
        if before == 0 { 0 } else { self.next - before }
    }

    /// Returns whether another report can wait.
    pub fn has_room(&self) -> bool {
        self.pending.len() < MAX_PENDING
    }

    /// Returns this ledger with the report of the next window; `None` if it would be too large.
    pub fn with_next(&self, report: Report) -> Option<Ledger> {
        let mut ledger = self.clone();
        ledger.next = report.window + 1;
        ledger.pending.push_back(report);
        (ledger.encode().len() <= MAX_BYTES).then_some(ledger)
    }

    /// Passes over windows whose counts are no longer kept; returns their number.
    pub fn skip_until(&mut self, first_kept: Window) -> u64 {
        let skipped = first_kept.saturating_sub(self.next);
        self.next += skipped;
        skipped
    }
}
