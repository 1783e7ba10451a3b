//! Records that the archivist has yet to write, and the rows they go to.
//!
//! Each batch gets a row of its own, so that a write which takes effect late repeats its own row and
//! replaces no later one. The rows of a host are used in turn; by the time one is replaced, the
//! streams in it have ended.

use std::collections::BTreeMap;

use fuchsiaknot_core::id;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    cluster::stream_origin::Origin,
    stream_archive::{Digest, Group},
};

/// Number of rows of one host.
pub const SLOTS: u32 = 300;
/// Most streams in one row, so that it stays below the store's limit of 64 KB.
pub const MAX_ROW_STREAMS: usize = 4000;
/// Most streams that wait to be written; further ones are dropped.
pub const MAX_QUEUED: usize = 100_000;

/// Number of a row among those of one host.
pub type Slot = u32;

/// Returns the key of a row.
pub fn key(host: &id::Host, slot: Slot) -> SmolStr {
    format_smolstr!("{host}/{slot:03}")
}

/// Returns the number of a row of this host; `None` for a row of another one.
pub fn slot_of(host: &id::Host, key: &str) -> Option<Slot> {
    let number = key.strip_prefix(host.as_str())?.strip_prefix('/')?;
    number.parse().ok().filter(|it| *it < SLOTS)
}

/// Records that wait to be written.
#[derive(Debug, Default)]
pub struct Queue {
    groups: BTreeMap<Origin, Vec<Digest>>,
    length: usize,
    next_slot: Slot,
}

impl Queue {
    /// Adds records; returns how many were dropped because too many wait.
    pub fn push(&mut self, groups: Vec<Group>) -> usize {
        let mut dropped = 0;
        for Group { origin, mut streams } in groups {
            let free = MAX_QUEUED.saturating_sub(self.length);
            dropped += streams.len().saturating_sub(free);
            streams.truncate(free);
            if !streams.is_empty() {
                self.length += streams.len();
                self.groups.entry(origin).or_default().extend(streams);
            }
        }
        dropped
    }

    /// Takes the records of the next row and the row's number; `None` if none wait.
    pub fn take(&mut self) -> Option<(Slot, Vec<Group>)> {
        let mut taken = Vec::new();
        let mut room = MAX_ROW_STREAMS;
        while 0 < room
            && let Some(mut entry) = self.groups.first_entry()
        {
            let streams = entry.get_mut();
            let rest = streams.split_off(streams.len().min(room));
            let streams = std::mem::replace(streams, rest);
            room -= streams.len();
            taken.push(Group { origin: entry.key().clone(), streams });
            if entry.get().is_empty() {
                entry.remove();
            }
        }
        self.length -= MAX_ROW_STREAMS - room;
        if taken.is_empty() {
            return None;
        }
        let slot = self.next_slot;
        self.next_slot = (slot + 1) % SLOTS;
        Some((slot, taken))
    }

    /// Returns whether no records wait.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Continues after the newest row that an earlier run of this host wrote.
    pub fn continue_after(&mut self, slot: Slot) {
        self.next_slot = (slot + 1) % SLOTS;
    }
}
