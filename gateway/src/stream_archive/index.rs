//! Records that a host has read from the store, and when it reads them again.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};

use crate::{
    cluster::stream_origin::Origin,
    stream_archive::{Digest, batch, row::Row},
};

/// Time between two reads, for each host of the deployment: hosts read no more often together than
/// once in this time.
const READ_SPACING: Duration = Duration::from_millis(20);
/// Least time between two reads of one host.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Most streams that are kept.
const MAX_STREAMS: usize = 200_000;

/// A row as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Key of the row.
    pub key: id::Host,
    /// Version of the last write.
    pub version: id::Version,
    /// The contents.
    pub contents: Vec<u8>,
}

/// Whether the deployment has written records at some time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Presence {
    /// This host has not read that yet.
    #[default]
    Unknown,
    /// No host has written records as far as this host knows.
    Absent,
    /// There are records.
    Present,
}

/// What a host does to find a stream's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The record is known.
    Found(Origin),
    /// The records have to be read.
    Read,
    /// The record cannot be known soon: there are no records, or they were just read.
    GiveUp,
    /// This host has yet to learn whether there are records.
    Wait,
}

/// Records that were read from the store.
#[derive(Debug, Default)]
pub struct Index {
    streams: HashMap<Digest, Origin>,
    presence: Presence,
    /// Start of the last read that succeeded.
    read_at: Option<Moment>,
    /// Highest version among the rows that this host wrote, and its slot.
    newest_own: Option<(id::Version, batch::Slot)>,
}

impl Index {
    /// Returns what to do to find the record of a stream, for a caller that came at `asked_at`.
    pub fn next_step(
        &self,
        stream: Digest,
        host_count: usize,
        asked_at: Moment,
        now: Moment,
    ) -> Step {
        if let Some(origin) = self.streams.get(&stream) {
            return Step::Found(origin.clone());
        }
        let is_answered = self.read_at.is_some_and(|at| asked_at <= at);
        match self.presence {
            Presence::Unknown => Step::Wait,
            Presence::Present if !is_answered && self.is_read_due(host_count, now) => Step::Read,
            Presence::Absent | Presence::Present => Step::GiveUp,
        }
    }

    /// Returns whether the records may be read again.
    pub fn is_read_due(&self, host_count: usize, now: Moment) -> bool {
        let hosts = u32::try_from(host_count).unwrap_or(u32::MAX);
        let interval = READ_SPACING.saturating_mul(hosts).max(MIN_READ_INTERVAL);
        self.read_at.is_none_or(|at| at + interval <= now)
    }

    /// Records whether the other hosts say that there are records; that there are none is believed
    /// only until one says otherwise.
    pub fn record_presence(&mut self, is_present: bool) {
        self.presence = match (self.presence, is_present) {
            (Presence::Present, _) | (_, true) => Presence::Present,
            (Presence::Unknown | Presence::Absent, false) => Presence::Absent,
        };
    }

    /// Returns whether there are records as far as this host knows.
    pub fn presence(&self) -> Presence {
        self.presence
    }

    /// Replaces the records by those of a read that started at `started`. Returns the number of rows
    /// that could not be decoded.
    pub fn replace(&mut self, host: &id::Host, rows: &[StoredRow], started: Moment) -> usize {
        self.streams.clear();
        let mut newest_first: Vec<&StoredRow> = rows.iter().collect();
        newest_first.sort_unstable_by_key(|it| std::cmp::Reverse(it.version));
        let mut unreadable = 0;
        for stored in newest_first {
            if let Some(slot) = batch::slot_of(host, &stored.key) {
                self.newest_own = self.newest_own.max(Some((stored.version, slot)));
            }
            let Ok(Row(groups)) = Row::try_from(stored.contents.as_slice()) else {
                unreadable += 1;
                continue;
            };
            for group in groups {
                let free = MAX_STREAMS.saturating_sub(self.streams.len());
                for stream in group.streams.into_iter().take(free) {
                    self.streams.entry(stream).or_insert_with(|| group.origin.clone());
                }
            }
        }
        self.read_at = Some(started);
        unreadable
    }

    /// Returns whether the records were read.
    pub fn is_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Returns the slot of the newest row that this host wrote.
    pub fn newest_own_slot(&self) -> Option<batch::Slot> {
        self.newest_own.map(|(_, slot)| slot)
    }

    /// Returns the origins of all streams.
    pub fn origins(&self) -> BTreeSet<&Origin> {
        self.streams.values().collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
