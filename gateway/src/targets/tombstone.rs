//! Runs of targets that are leaving or have left, so that a late announcement does not bring them back.
//!
//! The store may perform a write seconds after its sender gave up on an answer. An announcement that
//! follows a removal was either sent before it, or shows that the target is alive: its entry may have
//! expired while the target could not reach the store. The number of the announcement tells the two apart
//! if it is low or high enough. Otherwise time does: the store removes the entry of a target that has
//! left within a few intervals, while that of a living one stays listed.

use std::{cmp::Ordering, collections::HashMap, time::Duration};

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::targets::target::{Run, Target};

/// Time for which a tombstone is kept.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);
/// Longest time from the sending of a write to its performance by the store, with the time of a call.
const LATE_WRITE_TIME: Duration = Duration::from_secs(7);
/// Announcements that a target may send beyond one an interval, when its state changes.
const EXTRA_ANNOUNCEMENTS: u64 = 2;
/// Intervals without an announcement after which the store removes an entry, and one for the removal.
const EXPIRY_INTERVALS: u32 = 4;
/// Largest number of tombstones; beyond it, the oldest one is dropped.
pub const MAX_TOMBSTONES: usize = 1024;

/// Run of a target that is leaving or has left.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    incarnation: Option<id::Incarnation>,
    /// Number of its last known announcement.
    sequence: u64,
    /// Highest number of an announcement that it may have sent before it left.
    last_possible: u64,
    left_at: Moment,
    /// Whether its entry was only replaced by one of another writer, so that it may not have left.
    is_replaced: bool,
    /// Whether it announced that it is leaving; such a run never accepts requests again.
    is_draining: bool,
}

/// A tombstone, as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Report {
    /// The run.
    pub run: Run,
    /// Number of its last known announcement.
    pub sequence: u64,
    /// Highest number of an announcement that it may have sent before it left.
    pub last_possible: u64,
    /// Whether it announced that it is leaving.
    pub is_draining: bool,
    /// Time since it left, in milliseconds.
    pub age_ms: u64,
}

/// Tombstones by target.
#[derive(Debug)]
pub struct Tombstones {
    runs: HashMap<id::Target, Tombstone>,
    announcement_interval: Duration,
}

impl Tombstones {
    /// Creates an empty set; targets announce themselves at the given interval.
    pub fn new(announcement_interval: Duration) -> Tombstones {
        Tombstones { runs: HashMap::new(), announcement_interval }
    }

    /// Records that a target is draining or was removed; `announced_at` is the time at which its
    /// announcement was read.
    pub fn record(&mut self, target: &Target, announced_at: Moment, now: Moment) {
        let silence = now.saturating_sub(announced_at).as_millis();
        let interval = self.announcement_interval.as_millis().max(1);
        let unseen = u64::try_from(silence / interval).unwrap_or(u64::MAX);
        let tombstone = Tombstone {
            incarnation: target.incarnation,
            sequence: target.sequence,
            last_possible: target
                .sequence
                .saturating_add(unseen)
                .saturating_add(EXTRA_ANNOUNCEMENTS),
            left_at: now,
            is_replaced: false,
            is_draining: target.draining,
        };
        self.insert(target.id.clone(), tombstone);
    }

    /// Records that the entry of a target was replaced by one of another writer, and not removed.
    pub fn record_replacement(&mut self, target: &id::Target) {
        if let Some(tombstone) = self.runs.get_mut(target).filter(|it| !it.is_draining) {
            tombstone.is_replaced = true;
        }
    }

    /// Records that the entry of another writer, which had replaced that of a target, was removed.
    pub fn record_removal(&mut self, target: &id::Target, now: Moment) {
        if let Some(tombstone) = self.runs.get_mut(target).filter(|it| it.is_replaced) {
            (tombstone.is_replaced, tombstone.left_at) = (false, now);
        }
    }

    /// Returns whether an announcement is of a run that has left, and was or may have been sent before.
    pub fn is_gone(&self, target: &Target) -> bool {
        let tombstone = self.runs.get(&target.id).filter(|it| !it.is_replaced);
        let Some(tombstone) = tombstone else { return false };
        match target.incarnation.cmp(&tombstone.incarnation) {
            Ordering::Greater => false,
            // A restart whose clock was set back, or one of a target that sends no incarnation, looks
            // like a late write.
            Ordering::Less => true,
            Ordering::Equal if tombstone.incarnation.is_none() => true,
            Ordering::Equal => tombstone.is_draining || target.sequence <= tombstone.last_possible,
        }
    }

    /// Returns whether a target that is listed at this time is alive, whatever its announcement.
    pub fn is_proven_alive(&self, target: &id::Target, listed_at: Moment) -> bool {
        self.runs.get(target).is_none_or(|it| {
            let expiry = self.announcement_interval * EXPIRY_INTERVALS;
            !it.is_draining && it.left_at + LATE_WRITE_TIME + expiry <= listed_at
        })
    }

    /// Returns whether a run has left that is this one or a later one of the same target.
    pub fn is_superseded(&self, target: &Target) -> bool {
        self.runs.get(&target.id).is_some_and(|it| target.incarnation <= it.incarnation)
    }

    /// Drops the tombstone of a target that is back.
    pub fn forget(&mut self, target: &id::Target) {
        self.runs.remove(target);
    }

    /// Drops tombstones that are too old to count.
    pub fn expire(&mut self, now: Moment) {
        self.runs.retain(|_, it| now < it.left_at + TOMBSTONE_TTL);
    }

    /// Returns the tombstones up to this age, in ascending order.
    pub fn reports(&self, max_age: Duration, now: Moment) -> Vec<Report> {
        let is_recent = |it: &Tombstone| !it.is_replaced && now < it.left_at + max_age;
        let recent = self.runs.iter().filter(|(_, it)| is_recent(it));
        let mut reports: Vec<Report> = recent
            .map(|(target, it)| Report {
                run: Run { target: target.clone(), incarnation: it.incarnation },
                sequence: it.sequence,
                last_possible: it.last_possible,
                is_draining: it.is_draining,
                age_ms: now.saturating_sub(it.left_at).as_millis() as u64,
            })
            .collect();
        reports.sort_unstable();
        reports
    }

    /// Adds the tombstone of another host; returns whether it is later than what is known.
    pub fn restore(&mut self, report: &Report, now: Moment) -> bool {
        let Report { run, sequence, last_possible, is_draining, age_ms } = report;
        let left_at = now.saturating_sub(Duration::from_millis(*age_ms));
        let is_known = self.runs.get(&run.target).is_some_and(|it| {
            (run.incarnation, *sequence) < (it.incarnation, it.sequence)
                || run.incarnation == it.incarnation && it.is_draining && !is_draining
        });
        if is_known || left_at + TOMBSTONE_TTL <= now {
            return false;
        }
        let tombstone = Tombstone {
            incarnation: run.incarnation,
            sequence: *sequence,
            last_possible: *last_possible,
            left_at,
            is_replaced: false,
            is_draining: *is_draining,
        };
        self.insert(run.target.clone(), tombstone);
        true
    }

    fn insert(&mut self, target: id::Target, tombstone: Tombstone) {
        if MAX_TOMBSTONES <= self.runs.len() && !self.runs.contains_key(&target) {
            let oldest = self.runs.iter().min_by_key(|(_, it)| it.left_at);
            if let Some(oldest) = oldest.map(|(it, _)| it.clone()) {
                self.runs.remove(&oldest);
            }
        }
        self.runs.insert(target, tombstone);
    }
}
