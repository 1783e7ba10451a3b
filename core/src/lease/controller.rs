//! State machine by which one host acquires, renews and releases the lease of one group.

use super::{Config, Owner, Record};
use crate::{clock::Moment, id};

/// What a host wants to do with a group's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Intent {
    /// Acquire the lease once it is free, and renew it.
    Acquire {
        /// Position of the host among the candidates, from 0; a higher one waits longer.
        rank: u32,
    },
    /// Renew the lease if this host holds it, but do not acquire it.
    Keep,
    /// Release the lease if this host holds it, and do not acquire it.
    Release,
}

/// Purpose of a write to the lease's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Acquires the lease and raises its epoch.
    Acquire,
    /// Renews the lease.
    Renew,
    /// Releases the lease.
    Release,
}

/// A compare-and-set on the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Purpose of the write.
    pub purpose: Purpose,
    /// Version that the row must have for the write to take effect.
    pub expected: id::Version,
    /// New contents.
    pub record: Record,
    /// Time just before the first request with these contents was sent.
    pub sent: Moment,
}

/// Decides which writes to the lease of one group a host makes, and when the host holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    owner: Owner,
    config: Config,
    observed: Option<Observed>,
    held: Option<Held>,
    /// The write whose outcome is unknown.
    in_flight: Option<Attempt>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observed {
    version: id::Version,
    record: Option<Record>,
    /// Arrival of the answer that first showed this version, from which its expiry is measured.
    since: Moment,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    epoch: id::Epoch,
    /// Time just before the request that last acquired or renewed the lease was sent.
    renewed: Moment,
}

impl Controller {
    /// Creates the controller of a host that has not read the lease's row yet.
    pub fn new(owner: Owner, config: Config) -> Controller {
        Controller { owner, config, observed: None, held: None, in_flight: None }
    }

    /// Returns the epoch in which the host holds the lease; `None` when it does not hold it at
    /// `now`.
    pub fn held_epoch(&self, now: Moment) -> Option<id::Epoch> {
        let held = self.held.as_ref()?;
        (now < held.renewed + self.config.duration).then_some(held.epoch)
    }

    /// Returns the end of the lease that the host holds or held last; `None` if it has lost it.
    pub fn held_until(&self) -> Option<Moment> {
        Some(self.held.as_ref()?.renewed + self.config.duration)
    }

    /// Returns the last observed record; `None` when no row was read or the row is absent.
    pub fn record(&self) -> Option<&Record> {
        self.observed.as_ref()?.record.as_ref()
    }

    /// Returns how long this host has observed the row's current version.
    pub fn unchanged_for(&self, now: Moment) -> Option<std::time::Duration> {
        Some(now.saturating_sub(self.observed.as_ref()?.since))
    }

    /// Returns the write whose outcome is unknown, if any.
    pub fn in_flight(&self) -> Option<&Attempt> {
        self.in_flight.as_ref()
    }

    /// Handles the row as a read or a conflict returned it; `received` is when that answer arrived.
    ///
    /// A row older than the last observed one is ignored.
    pub fn observe_row(&mut self, version: id::Version, record: Option<Record>, received: Moment) {
        let known_version = self.observed.as_ref().map(|it| it.version);
        if known_version.is_some_and(|it| version < it) {
            return;
        }
        if known_version != Some(version) {
            self.observed = Some(Observed { version, record: record.clone(), since: received });
        }
        let settled = self.in_flight.take_if(|it| it.expected < version);
        if let Some(attempt) = settled
            && record.as_ref().is_some_and(|it| it.token == attempt.record.token)
        {
            self.apply(&attempt);
            return;
        }
        let still_holds = |held: &Held| {
            record
                .as_ref()
                .is_some_and(|it| it.owner.as_ref() == Some(&self.owner) && it.epoch == held.epoch)
        };
        if !self.held.as_ref().is_some_and(still_holds) {
            self.held = None;
        }
    }

    /// Handles the answer that an attempt took effect as `version`; `received` is when it arrived.
    pub fn write_committed(&mut self, attempt: &Attempt, version: id::Version, received: Moment) {
        if self.in_flight.as_ref() != Some(attempt) {
            return;
        }
        self.in_flight = None;
        self.observed =
            Some(Observed { version, record: Some(attempt.record.clone()), since: received });
        self.apply(attempt);
    }

    /// Handles the refusal of an attempt, which therefore has no effect.
    pub fn write_refused(&mut self, attempt: &Attempt) {
        self.in_flight.take_if(|it| it == attempt);
    }

    /// Returns the write to make now, if any.
    ///
    /// An attempt whose answer was lost is returned again with the same contents until a read of
    /// the row or a conflict shows its outcome, or until the lease that it asks for would have
    /// ended.
    pub fn next_attempt(
        &mut self,
        now: Moment,
        intent: Intent,
        token: id::Token,
    ) -> Option<Attempt> {
        if self.held_epoch(now).is_none() {
            self.held = None;
        }
        self.in_flight.take_if(|it| it.sent + self.config.duration <= now);
        if self.in_flight.is_none() {
            self.in_flight = self.propose(now, intent, token);
        }
        let attempt = self.in_flight.clone();
        if attempt.as_ref().is_some_and(|it| it.purpose == Purpose::Release) {
            self.held = None;
        }
        attempt
    }

    fn propose(&self, now: Moment, intent: Intent, token: id::Token) -> Option<Attempt> {
        let observed = self.observed.as_ref()?;
        let attempt =
            |purpose, record| Attempt { purpose, expected: observed.version, record, sent: now };
        let Some(held) = &self.held else {
            let Intent::Acquire { rank } = intent else { return None };
            return self.may_acquire(observed, now, rank).then(|| {
                let epoch = observed.record.as_ref().map_or(0, |it| it.epoch) + 1;
                let owner = Some(self.owner.clone());
                attempt(Purpose::Acquire, Record { owner, epoch, renewal: 0, token })
            });
        };
        let renewal = observed.record.as_ref().map_or(0, |it| it.renewal) + 1;
        if intent == Intent::Release {
            let record = Record { owner: None, epoch: held.epoch, renewal, token };
            return Some(attempt(Purpose::Release, record));
        }
        if now < held.renewed + self.config.renew_every {
            return None;
        }
        let owner = Some(self.owner.clone());
        Some(attempt(Purpose::Renew, Record { owner, epoch: held.epoch, renewal, token }))
    }

    fn may_acquire(&self, observed: &Observed, now: Moment, rank: u32) -> bool {
        let stagger = self.config.stagger * rank;
        let owner = observed.record.as_ref().and_then(|it| it.owner.as_ref());
        match owner {
            // No other process can hold the lease, and this one no longer does.
            Some(owner) if *owner == self.owner => true,
            Some(_) => {
                observed.since + self.config.duration + self.config.clock_drift + stagger <= now
            }
            None => observed.since + stagger <= now,
        }
    }

    fn apply(&mut self, attempt: &Attempt) {
        self.held = match attempt.purpose {
            Purpose::Release => None,
            Purpose::Acquire | Purpose::Renew => {
                Some(Held { epoch: attempt.record.epoch, renewed: attempt.sent })
            }
        };
    }
}
