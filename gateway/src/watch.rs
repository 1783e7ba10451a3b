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
const STALE_AGE: Duration = Duration::from_millis(1200);
/// Time after a failed call in which a host that others keep up to date tries the store again.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time without a confirmation after which entries may have lapsed while nobody reached the store.
const OUTAGE_AGE: Duration = Duration::from_millis(1500);

/// What a host knows of one table of the store.
#[derive(Debug, Default)]
pub struct Watch {
    /// Version up to which it knows every change.
    known_version: Option<id::Version>,
    /// When that was last confirmed.
    confirmed_at: Option<Moment>,
    /// When the last call failed; `None` once one succeeded.
    failed_at: Option<Moment>,
    /// Whether there is a change that it was not told.
    behind: bool,
    reannounce_deadline: Moment,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the whole table.
    Read,
    /// Poll for the changes after a version; with `long_poll`, hold the call until there is one.
    Poll {
        /// The version.
        after: id::Version,
        /// Whether to wait for a change.
        long_poll: bool,
    },
    /// Rely on the others for so long.
    Sleep(Duration),
}

/// What one host saw in the store and tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update<T> {
    /// Version after which it lists the changes.
    pub after: id::Version,
    /// Version up to which it lists them.
    pub up_to: id::Version,
    /// How old it is.
    pub age: Duration,
    /// What changed, or what there is.
    pub contents: T,
}

/// What a update means to the host that hears of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing; it knows more.
    Stale,
    /// The changes after this version are new.
    NewAfter(id::Version),
    /// Some changes before it are missing.
    Behind,
}

impl Watch {
    /// Returns what to do next; a watcher is one that keeps the others up to date.
    pub fn next(&self, is_watcher: bool, now: Moment) -> Step {
        let Some(after) = self.known_version else { return Step::Read };
        if self.behind {
            return Step::Poll { after, long_poll: false };
        }
        if is_watcher {
            return Step::Poll { after, long_poll: true };
        }
        let stale = self.confirmed_at.unwrap_or_default() + STALE_AGE;
        let due = self.failed_at.map_or(stale, |at| stale.min(at + RETRY_DELAY));
        if due <= now { Step::Poll { after, long_poll: false } } else { Step::Sleep(due - now) }
    }

    /// Notes an answer of the store, complete up to version `up_to`.
    pub fn record_answer(&mut self, up_to: id::Version, reannounce_grace: Duration, now: Moment) {
        self.known_version = self.known_version.max(Some(up_to));
        self.behind = false;
        self.failed_at = None;
        self.confirm(Duration::ZERO, reannounce_grace, now);
    }

    /// Notes a call that failed; without the history of changes, the whole table is due.
    pub fn record_failure(&mut self, history_gone: bool, now: Moment) {
        self.failed_at = Some(now);
        if history_gone {
            self.known_version = None;
        }
    }

    /// Notes what another host saw.
    pub fn apply_update<T>(
        &mut self,
        update: &Update<T>,
        reannounce_grace: Duration,
        now: Moment,
    ) -> Effect {
        let Some(known) = self.known_version else { return Effect::Stale };
        if update.up_to < known {
            return Effect::Stale;
        }
        if known < update.after {
            self.behind = true;
            return Effect::Behind;
        }
        self.known_version = Some(update.up_to);
        self.confirm(update.age, reannounce_grace, now);
        Effect::NewAfter(known)
    }

    /// Notes that another host knows of something newer.
    pub fn mark_behind(&mut self) {
        self.behind = true;
    }

    fn confirm(&mut self, age: Duration, reannounce_grace: Duration, now: Moment) {
        let at = now.saturating_sub(age);
        if self.confirmed_at.is_some_and(|before| before + OUTAGE_AGE < at) {
            self.reannounce_deadline = now + reannounce_grace;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns how long ago the picture was last confirmed; since boot when it never was.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.confirmed_at.unwrap_or_default())
    }

    /// Returns whether the store did not answer this host's last call.
    pub fn has_failed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Returns until when entries that lapsed during an outage may still return.
    pub fn reannounce_deadline(&self) -> Moment {
        self.reannounce_deadline
    }
}
