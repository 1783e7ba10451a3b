//! State of one group's lease as one host knows it.

use super::{Config, Owner, Record};
use crate::{clock::Moment, id};

/// Whether a host wants a group's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Wish {
    /// Take the lease once it is free, at the given place among the candidates, and keep it.
    Hold {
        /// Place among the candidates, from 0.
        rank: u32,
    },
    /// Keep a lease that is held, but take none.
    Keep,
    /// Give a lease that is held back, and take none.
    Yield,
}

/// What a write to the lease's row is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Takes the lease and raises its epoch.
    Take,
    /// Renews the lease.
    Renew,
    /// Gives the lease back.
    Return,
}

/// A compare-and-set on the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// What it is for.
    pub purpose: Purpose,
    /// Version that the row must have.
    pub expected: id::Version,
    /// New contents.
    pub record: Record,
    /// When the first request with these contents was made, before it was sent.
    pub sent: Moment,
}

/// The lease of one group as one host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Machine {
    owner: Owner,
    config: Config,
    seen: Option<Seen>,
    held: Option<Held>,
    open: Option<Attempt>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    version: id::Version,
    record: Option<Record>,
    /// Arrival of the answer that first showed this version.
    since: Moment,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    epoch: id::Epoch,
    renewed: Moment,
}

impl Machine {
    /// Creates the state of a host that knows nothing of the lease.
    pub fn new(owner: Owner, config: Config) -> Machine {
        Machine { owner, config, seen: None, held: None, open: None }
    }

    /// Returns the epoch of the lease if the host holds it now.
    pub fn epoch(&self, now: Moment) -> Option<id::Epoch> {
        let held = self.held.as_ref()?;
        (now < held.renewed + self.config.length).then_some(held.epoch)
    }

    /// Returns the record that was last seen.
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref()?.record.as_ref()
    }

    /// Returns how long the row has stood unchanged since this host first saw it so.
    pub fn unchanged(&self, now: Moment) -> Option<std::time::Duration> {
        Some(now.saturating_sub(self.seen.as_ref()?.since))
    }

    /// Returns the write whose outcome is unknown, if any.
    pub fn open(&self) -> Option<&Attempt> {
        self.open.as_ref()
    }

    /// Notes the row as read or as a conflict showed it; `received` is when the answer arrived.
    pub fn observe(&mut self, version: id::Version, record: Option<Record>, received: Moment) {
        let known = self.seen.as_ref().map(|it| it.version);
        if known.is_some_and(|it| version < it) {
            return;
        }
        if known != Some(version) {
            self.seen = Some(Seen { version, record: record.clone(), since: received });
        }
        let settled = self.open.take_if(|it| it.expected < version);
        if let Some(attempt) = settled
            && record.as_ref().is_some_and(|it| it.token == attempt.record.token)
        {
            self.won(&attempt);
            return;
        }
        let still = |held: &Held| {
            record
                .as_ref()
                .is_some_and(|it| it.owner.as_ref() == Some(&self.owner) && it.epoch == held.epoch)
        };
        if !self.held.as_ref().is_some_and(still) {
            self.held = None;
        }
    }

    /// Notes that an attempt took effect as `version`; `received` is when the answer arrived.
    pub fn committed(&mut self, attempt: &Attempt, version: id::Version, received: Moment) {
        if self.open.as_ref() != Some(attempt) {
            return;
        }
        self.open = None;
        self.seen = Some(Seen { version, record: Some(attempt.record.clone()), since: received });
        self.won(attempt);
    }

    /// Notes that an attempt was refused before it had any effect.
    pub fn refused(&mut self, attempt: &Attempt) {
        self.open.take_if(|it| it == attempt);
    }

    /// Returns the write to make now, if any.
    ///
    /// An attempt whose answer was lost is returned again with the same contents until a read of
    /// the row or a conflict settles it.
    pub fn next(&mut self, now: Moment, wish: Wish, token: id::Token) -> Option<Attempt> {
        if self.epoch(now).is_none() {
            self.held = None;
        }
        self.open.take_if(|it| it.sent + self.config.length <= now);
        if self.open.is_none() {
            self.open = self.propose(now, wish, token);
        }
        let attempt = self.open.clone();
        if attempt.as_ref().is_some_and(|it| it.purpose == Purpose::Return) {
            self.held = None;
        }
        attempt
    }

    fn propose(&self, now: Moment, wish: Wish, token: id::Token) -> Option<Attempt> {
        let seen = self.seen.as_ref()?;
        let attempt =
            |purpose, record| Attempt { purpose, expected: seen.version, record, sent: now };
        let Some(held) = &self.held else {
            let Wish::Hold { rank } = wish else { return None };
            return self.may_take(seen, now, rank).then(|| {
                let epoch = seen.record.as_ref().map_or(0, |it| it.epoch) + 1;
                let owner = Some(self.owner.clone());
                attempt(Purpose::Take, Record { owner, epoch, renewal: 0, token })
            });
        };
        let renewal = seen.record.as_ref().map_or(0, |it| it.renewal) + 1;
        if wish == Wish::Yield {
            let record = Record { owner: None, epoch: held.epoch, renewal, token };
            return Some(attempt(Purpose::Return, record));
        }
        if now < held.renewed + self.config.renew_every {
            return None;
        }
        let owner = Some(self.owner.clone());
        Some(attempt(Purpose::Renew, Record { owner, epoch: held.epoch, renewal, token }))
    }

    fn may_take(&self, seen: &Seen, now: Moment, rank: u32) -> bool {
        let stagger = self.config.stagger * rank;
        let owner = seen.record.as_ref().and_then(|it| it.owner.as_ref());
        match owner {
            // Only this process could hold it, and it does not.
            Some(owner) if *owner == self.owner => true,
            Some(_) => seen.since + self.config.length + self.config.drift + stagger <= now,
            None => seen.since + stagger <= now,
        }
    }

    fn won(&mut self, attempt: &Attempt) {
        self.held = match attempt.purpose {
            Purpose::Return => None,
            Purpose::Take | Purpose::Renew => {
                Some(Held { epoch: attempt.record.epoch, renewed: attempt.sent })
            }
        };
    }
}
