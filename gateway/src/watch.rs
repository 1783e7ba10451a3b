//! When a host asks the store for changes itself, and when it relies on what other hosts saw there.
//!
//! Pattern: every host asking the store in short intervals loads it with their number. Two hosts, the
//! watchers, ask all the time and tell the others what changed since which version. A host asks for
//! itself when it missed a change, or when nobody confirmed its picture for a while.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

/// Time since the last confirmation after which a host asks for itself. With the time of one call it
/// stays below the two seconds in which a change must be in force.
const STALE: Duration = Duration::from_millis(1200);
/// Time after a failed call in which a host that others keep up to date tries the store again.
const RETRY: Duration = Duration::from_secs(2);
/// Time without a confirmation after which entries may have lapsed while nobody reached the store.
const OUTAGE: Duration = Duration::from_millis(1500);

/// What a host knows of one table of the store.
#[derive(Debug, Default)]
pub struct Watch {
    /// Version up to which it knows every change.
    known: Option<id::Version>,
    /// When that was last confirmed.
    confirmed: Option<Moment>,
    /// When the last call failed; `None` once one succeeded.
    failed: Option<Moment>,
    /// Whether there is a change that it was not told.
    missed: bool,
    settled: Moment,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the whole table.
    Read,
    /// Ask for the changes after a version; with `wait`, hold the call until there is one.
    Ask {
        /// The version.
        after: id::Version,
        /// Whether to wait for a change.
        wait: bool,
    },
    /// Rely on the others for so long.
    Rest(Duration),
}

/// What one host saw in the store and tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight<T> {
    /// Version after which it lists the changes.
    pub after: id::Version,
    /// Version up to which it lists them.
    pub at: id::Version,
    /// How old it is.
    pub age: Duration,
    /// What changed, or what there is.
    pub contents: T,
}

/// What a sight means to the host that hears of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Nothing; it knows more.
    Old,
    /// The changes after this version are new.
    After(id::Version),
    /// Some changes before it are missing.
    Missed,
}

impl Watch {
    /// Returns what to do next; a watcher is one that keeps the others up to date.
    pub fn next(&self, is_watcher: bool, now: Moment) -> Step {
        let Some(after) = self.known else { return Step::Read };
        if self.missed {
            return Step::Ask { after, wait: false };
        }
        if is_watcher {
            return Step::Ask { after, wait: true };
        }
        let stale = self.confirmed.unwrap_or_default() + STALE;
        let due = self.failed.map_or(stale, |at| stale.min(at + RETRY));
        if due <= now { Step::Ask { after, wait: false } } else { Step::Rest(due - now) }
    }

    /// Notes an answer of the store, complete up to `at`.
    pub fn answered(&mut self, at: id::Version, return_time: Duration, now: Moment) {
        self.known = self.known.max(Some(at));
        self.missed = false;
        self.failed = None;
        self.confirm(Duration::ZERO, return_time, now);
    }

    /// Notes a call that failed; without the history of changes, the whole table is due.
    pub fn failed(&mut self, history_gone: bool, now: Moment) {
        self.failed = Some(now);
        if history_gone {
            self.known = None;
        }
    }

    /// Notes what another host saw.
    pub fn hear<T>(&mut self, sight: &Sight<T>, return_time: Duration, now: Moment) -> News {
        let Some(known) = self.known else { return News::Old };
        if sight.at < known {
            return News::Old;
        }
        if known < sight.after {
            self.missed = true;
            return News::Missed;
        }
        self.known = Some(sight.at);
        self.confirm(sight.age, return_time, now);
        News::After(known)
    }

    /// Notes that another host knows of something newer.
    pub fn miss(&mut self) {
        self.missed = true;
    }

    fn confirm(&mut self, age: Duration, return_time: Duration, now: Moment) {
        let at = now.saturating_sub(age);
        if self.confirmed.is_some_and(|before| before + OUTAGE < at) {
            self.settled = now + return_time;
        }
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns how long ago the picture was last confirmed; since boot when it never was.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.confirmed.unwrap_or_default())
    }

    /// Returns whether the store did not answer this host's last call.
    pub fn has_failed(&self) -> bool {
        self.failed.is_some()
    }

    /// Returns until when entries that lapsed during an outage may still return.
    pub fn settled(&self) -> Moment {
        self.settled
    }
}
