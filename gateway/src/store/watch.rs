//! Decides when a host polls the store itself and when it relies on updates from other hosts.
//!
//! If every host polled, the load on the store would grow with the number of hosts. Instead, two
//! hosts, the watchers, long-poll the store and send its changes to the others with the range of
//! versions that they cover. Another host polls only when it has missed a change, or when no update
//! has confirmed its state for a while.
//!
//! The store answers a poll with each change since a version, so the answer grows with the time for
//! which a host lacked the store, while that to a full read does not. A host whose state was not
//! confirmed for long therefore reads the table in full.
//!
//! The store may come back from an earlier copy, which starts a new era and gives out versions
//! again. Versions are therefore only compared within one era. When a host learns of a later era,
//! it keeps what it knows and reads the tables in full; the watchers do so at once, the others after
//! a random delay ([`crate::store::era`]).

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::store::Error;

/// Age of the last confirmation at which a host polls the store itself. Together with the duration
/// of one call it stays below the two seconds within which a change must take effect.
const STALE_AGE: Duration = Duration::from_millis(1200);
/// Delay after a failed call before a host that receives updates from others polls again.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Gap between confirmations that counts as an outage of the store, in which entries may have
/// expired because nobody could renew them.
const OUTAGE_GAP: Duration = Duration::from_millis(1500);

/// Synchronisation state of one table of the store.
#[derive(Debug)]
pub struct Watch {
    /// Age of the last confirmation from which on the table is read in full.
    max_poll_age: Duration,
    /// Era of the store to which the known version belongs.
    era: id::Era,
    /// Version up to which all changes are known; `None` before the first full read in the era.
    known_version: Option<id::Version>,
    /// Last version up to which changes were applied, possibly with gaps, before the first full
    /// read in an era; `None` when no such read is due.
    partial_version: Option<id::Version>,
    /// Time at which that state was last confirmed to be current.
    confirmed_at: Option<Moment>,
    /// Time of the last failed call; `None` after a successful one.
    failed_at: Option<Moment>,
    /// Time since which a later change is known to exist that was not received; `None` if there is
    /// none.
    behind_since: Option<Moment>,
    /// Number of times that this host learned of such a change.
    missed_changes: u64,
    /// Time until which entries that expired during the last outage, or that are missing in a copy
    /// from which the store came back, may be announced again.
    reannounce_deadline: Moment,
    /// Time of the full read after a change of era, unless this host is a watcher.
    read_due: Moment,
}

/// A call to the store, which is answered with changes that were known to exist before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Changes that this host had learned of by then, received or not.
    missed_changes: u64,
}

/// Next step towards the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the whole table.
    Read,
    /// Poll for changes.
    Poll {
        /// Version after which changes are wanted.
        after: id::Version,
        /// Whether the store holds the call until there is a change.
        long_poll: bool,
    },
    /// Rely on updates from other hosts for this time.
    Sleep(Duration),
}

/// Changes that one host read from the store and sends to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update<T> {
    /// Version after which changes are included.
    pub after: id::Version,
    /// Last version whose changes are included.
    pub up_to: id::Version,
    /// Time since the store answered.
    pub age: Duration,
    /// The changes, or the current value.
    pub contents: T,
    /// Era of the store that gave out the versions. The last field, so that hosts of builds without
    /// it can read the others.
    pub era: id::Era,
}

/// How an update relates to what its receiver knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The receiver knows a later version or era, or has never read the table.
    Stale,
    /// The changes after this version are new to the receiver; there may be others if it has yet to
    /// read the table again.
    NewAfter(id::Version),
    /// The receiver has missed changes before this update.
    Behind,
}

impl Watch {
    /// Creates the state of a table that was never read. After `max_poll_age` without a confirmation,
    /// the table is read in full instead of polled.
    pub fn new(max_poll_age: Duration) -> Watch {
        Watch {
            max_poll_age,
            era: 0,
            known_version: None,
            partial_version: None,
            confirmed_at: None,
            failed_at: None,
            behind_since: None,
            missed_changes: 0,
            reannounce_deadline: Moment::ZERO,
            read_due: Moment::ZERO,
        }
    }

    /// Returns the next step; a watcher polls continuously and updates the other hosts.
    pub fn next(&self, is_watcher: bool, now: Moment) -> Step {
        let Some(after) = self.known_version else {
            return match self.read_due.checked_sub(now) {
                Some(delay) if !is_watcher && !delay.is_zero() => Step::Sleep(delay),
                _ => Step::Read,
            };
        };
        let stale_at = self.confirmed_at.unwrap_or_default() + STALE_AGE;
        let due = self.failed_at.map_or(stale_at, |at| stale_at.min(at + RETRY_DELAY));
        if !self.is_behind() && !is_watcher && now < due {
            return Step::Sleep(due - now);
        }
        if self.max_poll_age <= self.age(now) {
            return Step::Read;
        }
        Step::Poll { after, long_poll: is_watcher && !self.is_behind() }
    }

    /// Returns the era of the store to which the known version belongs.
    pub fn era(&self) -> id::Era {
        self.era
    }

    /// Starts a later era; the table is read in full after `read_delay`. Returns whether the table
    /// was read in an earlier era.
    pub fn start_era(
        &mut self,
        era: id::Era,
        read_delay: Duration,
        reannounce_grace: Duration,
        now: Moment,
    ) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.known_version = None;
        self.behind_since = None;
        if !self.is_known() {
            return false;
        }
        self.partial_version = Some(0);
        self.read_due = now + read_delay;
        self.reannounce_deadline = self.reannounce_deadline.max(now + reannounce_grace);
        true
    }

    /// Returns whether an answer of the store can be applied, or else why not.
    ///
    /// `call_era` is the era at the time of the call, and `answer_era` that of the answer; an
    /// answer without one is of the era of its call. Changes since a version of an earlier era are
    /// incomplete, while full contents are valid in the era of the answer.
    ///
    /// # Errors
    /// [`Error::EarlierEra`] if the answer is out of date, and [`Error::HistoryGone`] if it has the
    /// changes since a version of an earlier era.
    pub fn check_answer(
        &self,
        is_full: bool,
        call_era: id::Era,
        answer_era: Option<id::Era>,
    ) -> Result<(), Error> {
        let answer_era = answer_era.unwrap_or(call_era);
        if answer_era < self.era {
            Err(Error::EarlierEra)
        } else if !is_full && call_era < answer_era {
            Err(Error::HistoryGone)
        } else {
            Ok(())
        }
    }

    /// Returns the version up to which all changes are known; `None` before the first full read in the
    /// era.
    pub fn known_version(&self) -> Option<id::Version> {
        self.known_version
    }

    /// Returns the call that is made now.
    pub fn begin_call(&self) -> Call {
        Call { missed_changes: self.missed_changes }
    }

    /// Records the answer of the store to a call, which is complete up to version `up_to`. Returns the
    /// version known before: updates from other hosts may have overtaken the answer, and its changes up
    /// to that version are not to be applied again.
    ///
    /// A change that this host learned of since it made the call may be missing in the answer, which the
    /// store gave `age` ago.
    pub fn record_answer(
        &mut self,
        call: Call,
        up_to: id::Version,
        age: Duration,
        reannounce_grace: Duration,
        now: Moment,
    ) -> id::Version {
        let known = self.known_version.unwrap_or_default();
        self.known_version = Some(known.max(up_to));
        self.partial_version = None;
        if call == self.begin_call() {
            self.behind_since = None;
        }
        self.failed_at = None;
        self.confirm(age, reannounce_grace, now);
        known
    }

    /// Records that the store answered, though the answer cannot be applied.
    pub fn record_contact(&mut self) {
        self.failed_at = None;
    }

    /// Records a failed call; when the store no longer has the changes, the table is read in full.
    pub fn record_failure(&mut self, history_gone: bool, now: Moment) {
        self.failed_at = Some(now);
        if history_gone {
            self.known_version = None;
        }
    }

    /// Records an update from another host and returns how it relates to the known version. If the
    /// update is of a later era, that era is to be started first.
    pub fn apply_update<T>(
        &mut self,
        update: &Update<T>,
        reannounce_grace: Duration,
        now: Moment,
    ) -> Effect {
        if update.era < self.era {
            return Effect::Stale;
        }
        let known = self.known_version.filter(|_| update.era == self.era);
        let Some(known) = known else {
            return match self.partial_version {
                Some(applied) if applied <= update.up_to => {
                    self.partial_version = Some(update.up_to);
                    Effect::NewAfter(applied)
                }
                _ => Effect::Stale,
            };
        };
        if update.up_to < known {
            return Effect::Stale;
        }
        if known < update.after {
            self.mark_behind(now);
            return Effect::Behind;
        }
        self.known_version = Some(update.up_to);
        // The update arrived late if a later change is already known to exist.
        if !self.is_behind() {
            self.confirm(update.age, reannounce_grace, now);
        }
        Effect::NewAfter(known)
    }

    /// Records that another host knows a later version.
    pub fn mark_behind(&mut self, now: Moment) {
        self.missed_changes += 1;
        self.behind_since.get_or_insert(now);
    }

    /// Returns whether a later version exists that this host has yet to read.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns the time since which this host knows of a later version that it has yet to read.
    pub fn behind_since(&self) -> Option<Moment> {
        self.behind_since
    }

    /// Records that the state was current `age` ago, and detects the end of an outage.
    fn confirm(&mut self, age: Duration, reannounce_grace: Duration, now: Moment) {
        let at = now.saturating_sub(age);
        if self.confirmed_at.is_some_and(|before| before + OUTAGE_GAP < at) {
            self.reannounce_deadline = now + reannounce_grace;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the time since the state was last confirmed; since boot if never.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.confirmed_at.unwrap_or_default())
    }

    /// Returns the time at which the state was last current; zero if never.
    pub fn confirmed_at(&self) -> Moment {
        self.confirmed_at.unwrap_or_default()
    }

    /// Returns whether the table was read.
    pub fn is_known(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns whether this host's last call to the store failed.
    pub fn has_failed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Returns the time until which entries that expired in the last outage may be announced again.
    pub fn reannounce_deadline(&self) -> Moment {
        self.reannounce_deadline
    }
}
