//! Decides how lately the configuration in force was the newest one, for revocation that binds hosts
//! which are cut off, suspended or behind others.
//!
//! The store tells the time of its steady clock with each answer. A call that this host sent at
//! local time *t* and that was answered with store time *n* shows that *n* was not before *t*. From
//! then on each store time has an earliest local time, and so has another host's proof that a
//! version was the newest at some store time. Delays, suspensions and datagrams that wait in a socket
//! make a proof older, never younger.
//!
//! Answers keys that are revoked while hosts lose the store, their peers, or time.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};

/// Time of the store's steady clock; it has no relation to that of another era.
pub type StoreTime = Duration;

/// Largest difference in speed between a host's clock and the store's, as a divisor.
const DRIFT_DIVISOR: u32 = 5000;
/// Part of the bound that is left for the way of an answer and for rounded times.
const MARGIN: Duration = Duration::from_millis(200);

/// An own call, which was sent at a local time and answered with a store time that was not earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Anchor {
    sent_at: Moment,
    store_time: StoreTime,
}

impl Anchor {
    /// Returns the earliest local time at which the store's clock can have shown `time`.
    fn earliest(&self, time: StoreTime) -> Moment {
        match time.checked_sub(self.store_time) {
            Some(later) => self.sent_at + (later - later / DRIFT_DIVISOR),
            None => {
                let earlier = self.store_time - time;
                self.sent_at.saturating_sub(earlier + earlier / DRIFT_DIVISOR)
            }
        }
    }
}

/// Evidence that the configuration in force was the newest one.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Era of the store to which `anchor` belongs.
    era: id::Era,
    /// The call that gives the latest local times.
    anchor: Option<Anchor>,
    /// Latest local time at which no newer configuration existed; `None` before the first proof.
    proven_at: Option<Moment>,
    /// Whether the store holds a newer configuration that cannot be read.
    is_unreadable: bool,
}

impl Tracker {
    /// Records an answer of the store to a call that was sent at local time `sent_at`.
    pub fn record_call(
        &mut self,
        era: id::Era,
        sent_at: Moment,
        store_time: StoreTime,
        now: Moment,
    ) {
        if era < self.era {
            return;
        }
        let is_better = |it: &Anchor| (sent_at..=now).contains(&it.earliest(store_time));
        let anchor = self.anchor.filter(|it| self.era == era && is_better(it));
        self.era = era;
        self.anchor = Some(anchor.unwrap_or(Anchor { sent_at, store_time }));
    }

    /// Records that no configuration newer than the one in force existed at a store time.
    ///
    /// A proof of another era, or one that this host cannot place in its own time yet, has no effect.
    pub fn record_proof(&mut self, era: id::Era, store_time: StoreTime, now: Moment) {
        let Some(anchor) = self.anchor.filter(|_| self.era == era) else { return };
        let at = anchor.earliest(store_time);
        if now < at {
            // The store's clock was set forward, so the anchor says nothing of it any more.
            self.anchor = None;
            return;
        }
        if !self.is_unreadable {
            self.proven_at = self.proven_at.max(Some(at));
        }
    }

    /// Records whether the newest configuration in the store can be read. Until it can, nothing proves
    /// that the one in force is the newest.
    pub fn set_readable(&mut self, is_readable: bool) {
        self.is_unreadable = !is_readable;
    }

    /// Returns whether the newest configuration in the store can be read, as far as this host knows.
    pub fn is_readable(&self) -> bool {
        !self.is_unreadable
    }

    /// Returns the time since the configuration in force was surely the newest; `None` if it never
    /// was.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether a key that was revoked longer than `bound` ago is surely known to be revoked.
    pub fn is_within(&self, bound: Duration, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN <= bound)
    }

    /// Returns whether store times cannot be placed in local time, or only with an error above
    /// `tolerance` because of the drift since the last own call.
    pub fn needs_call(&self, tolerance: Duration, now: Moment) -> bool {
        self.anchor.is_none_or(|it| tolerance < now.saturating_sub(it.sent_at) / DRIFT_DIVISOR)
    }
}
