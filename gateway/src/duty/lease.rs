//! The lease of the duties: which writes to its record a host makes, and when it holds the duties.
//!
//! Answers hand-overs under faults: holders that are killed, suspended or cut off from the store,
//! answers that are lost, writes that take effect late, and a store that comes back from an earlier
//! copy. Based on [`core::lease`](fuchsiaknot_core::lease), which keeps the holders of one history of
//! the record apart; this module adds what lies outside of that history.

use std::time::Duration;

use fuchsiaknot_core::{
    clock::Moment,
    id,
    lease::{self, Attempt, Controller, Intent, Owner, Purpose, Record},
};

use crate::duty::{Credential, Tenure};

/// Bits of a fencing token below the store's era, which counts the earlier copies of itself that the
/// store came back from.
const ERA_SHIFT: u32 = 32;
/// Increase of the fencing token after the platform has refused it as too low.
const FENCED_INCREASE: id::Epoch = 1 << 20;

/// Timing of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Timing of one holder's lease.
    pub lease: lease::Config,
    /// Time within which two hosts must not take turns.
    pub turn_interval: Duration,
}

impl Config {
    /// Derives the timing from the time within which two hosts must not take turns.
    ///
    /// A lease lasts for three intervals between renewals, so that two renewals may fail.
    pub fn new(turn_interval: Duration) -> Config {
        let duration = turn_interval.mul_f64(1.5);
        let lease = lease::Config {
            duration,
            clock_drift: Duration::from_millis(500),
            renew_every: duration / 3,
            stagger: Duration::from_millis(300),
        };
        Config { lease, turn_interval }
    }
}

/// What a holder tells other hosts of its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Era of the store in which the record has its version.
    pub era: id::Era,
    /// Version of the record that the holder wrote last.
    pub version: id::Version,
    /// Fencing token of the lease.
    pub epoch: id::Epoch,
    /// Whether the holder has released the lease.
    pub is_released: bool,
}

/// How a host takes part in the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The host may acquire the lease.
    Candidate {
        /// Position among the candidates, from 0.
        rank: u32,
    },
    /// The host renews the lease if it holds it.
    Bystander,
    /// The host shuts down.
    Leaving,
}

/// The record as it was last observed.
#[derive(Debug, Clone)]
struct Observed {
    version: id::Version,
    /// `None` if the record does not exist or has unknown contents.
    record: Option<Record>,
    /// Time at which the version was first known to exist.
    since: Moment,
}

/// One host's view of the lease.
#[derive(Debug)]
pub struct Lease {
    owner: Owner,
    config: Config,
    controller: Controller,
    era: id::Era,
    /// Highest fencing token of any host that is known here.
    highest_epoch: id::Epoch,
    observed: Option<Observed>,
    /// The last claim of another host in this era, and when it arrived.
    claim: Option<(Claim, Moment)>,
    /// Time before which this host does not acquire the lease.
    eligible_from: Moment,
    /// Last time at which this host held the lease.
    last_held: Option<Moment>,
}

impl Lease {
    /// Creates the view of a host that knows nothing of the lease yet.
    ///
    /// The host's former process may have held the lease just before `started`.
    pub fn new(owner: Owner, config: Config, started: Moment) -> Lease {
        let controller = Controller::new(owner.clone(), config.lease.clone());
        let eligible_from = started + config.turn_interval + config.lease.clock_drift;
        Lease {
            owner,
            config,
            controller,
            era: 0,
            highest_epoch: 0,
            observed: None,
            claim: None,
            eligible_from,
            last_held: None,
        }
    }

    /// Returns this host's authority over the duties; `None` if it has none.
    ///
    /// It has none either while it holds the record with a lower fencing token than another host has
    /// used.
    pub fn tenure(&self, now: Moment) -> Option<Tenure> {
        let epoch = self.controller.held_epoch(now).filter(|it| self.highest_epoch <= *it)?;
        let credential = Credential { holder: self.owner.host.clone(), epoch };
        Some(Tenure { credential, ends_at: self.controller.held_until()? })
    }

    /// Returns the era of the store in which this host sees the record.
    pub fn era(&self) -> id::Era {
        self.era
    }

    /// Returns what this host tells other hosts of a lease that it holds.
    pub fn claim(&self, now: Moment) -> Option<Claim> {
        let epoch = self.tenure(now)?.credential.epoch;
        let version = self.observed.as_ref()?.version;
        Some(Claim { era: self.era, version, epoch, is_released: false })
    }

    /// Starts a later era of the store, in which the record may be any earlier one.
    ///
    /// A lease of the earlier era ends here. For other hosts it ends by its time: they count from
    /// when they first read the record in this era.
    pub fn observe_era(&mut self, era: id::Era) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.observed = None;
        self.claim = None;
        self.controller = Controller::new(self.owner.clone(), self.config.lease.clone());
    }

    /// Handles another host's claim to the lease.
    pub fn observe_claim(&mut self, claim: Claim, now: Moment) {
        self.observe_era(claim.era);
        self.raise(claim.epoch);
        if claim.era < self.era || self.claim.is_some_and(|(it, _)| claim.version < it.version) {
            return;
        }
        let is_repeated = self.claim.is_some_and(|(it, _)| it.version == claim.version);
        if !is_repeated {
            self.claim = Some((claim, now));
        }
    }

    /// Handles the record as a read or a conflict returned it; `received` is when that answer
    /// arrived, in `era` of the store.
    pub fn observe(
        &mut self,
        era: id::Era,
        version: id::Version,
        record: Option<Record>,
        received: Moment,
    ) {
        self.observe_era(era);
        if era < self.era {
            return;
        }
        if self.observed.as_ref().is_some_and(|it| version < it.version) {
            if version != 0 {
                return;
            }
            // The record was deleted.
            self.controller = Controller::new(self.owner.clone(), self.config.lease.clone());
        }
        if let Some(record) = &record {
            self.highest_epoch = self.highest_epoch.max(record.epoch);
        }
        let same = self.observed.as_ref().filter(|it| it.version == version).map(|it| it.since);
        // The claim shows that the version existed when it arrived.
        let claimed = self.claim.filter(|(it, _)| it.version == version).map(|(_, at)| at);
        let since = same.or(claimed).unwrap_or(received);
        self.observed = Some(Observed { version, record, since });
        self.pass_observed();
    }

    /// Returns whether the record is to be read: this host is a candidate, and has neither the record
    /// nor a recent claim.
    pub fn needs_read(&self, role: Role, now: Moment) -> bool {
        if !matches!(role, Role::Candidate { .. }) || self.controller.held_epoch(now).is_some() {
            return false;
        }
        let Some((claim, received)) = self.claim else { return self.observed.is_none() };
        let is_behind = self.observed.as_ref().is_none_or(|it| it.version < claim.version);
        let is_silent = received + self.config.lease.renew_every * 2 <= now;
        is_behind && (claim.is_released || is_silent)
    }

    /// Returns the write to make now, if any; see [`Controller::next_attempt`].
    pub fn next_write(&mut self, role: Role, now: Moment, token: id::Token) -> Option<Attempt> {
        if self.tenure(now).is_some() {
            self.last_held = Some(now);
        }
        let intent = self.intent(role, now);
        self.controller.next_attempt(now, intent, token)
    }

    /// Handles the answer that a write took effect in `era` as `version`.
    pub fn committed(
        &mut self,
        attempt: &Attempt,
        era: id::Era,
        version: id::Version,
        received: Moment,
    ) {
        self.observe_era(era);
        // A write that was meant for an earlier era is no lease in this one, and no longer in flight.
        if self.controller.in_flight() != Some(attempt) {
            return;
        }
        let record = Some(attempt.record.clone());
        self.observed = Some(Observed { version, record, since: received });
        self.highest_epoch = self.highest_epoch.max(attempt.record.epoch);
        self.controller.write_committed(attempt, version, received);
        if attempt.purpose != Purpose::Release && self.tenure(received).is_some() {
            self.last_held = Some(received);
        }
    }

    /// Handles the refusal of a write, which therefore has no effect.
    pub fn refused(&mut self, attempt: &Attempt) {
        self.controller.write_refused(attempt);
    }

    /// Handles the platform's refusal of this host's fencing token: the host stops at once.
    pub fn fenced(&mut self, now: Moment) {
        self.controller = Controller::new(self.owner.clone(), self.config.lease.clone());
        self.highest_epoch += FENCED_INCREASE;
        self.eligible_from = now + self.config.turn_interval + self.config.lease.clock_drift;
        self.pass_observed();
    }

    fn intent(&self, role: Role, now: Moment) -> Intent {
        let Role::Candidate { rank } = role else {
            return if role == Role::Leaving { Intent::Release } else { Intent::Keep };
        };
        if let Some(epoch) = self.controller.held_epoch(now) {
            return if epoch < self.highest_epoch { Intent::Release } else { Intent::Keep };
        }
        let record = self.observed.as_ref().and_then(|it| it.record.as_ref());
        let is_own = record.is_some_and(|it| it.owner.as_ref() == Some(&self.owner));
        let acted_lately = self
            .last_held
            .is_some_and(|it| now < it + self.config.turn_interval + self.config.lease.clock_drift);
        if now < self.eligible_from || (acted_lately && !is_own) {
            return Intent::Keep;
        }
        Intent::Acquire { rank }
    }

    /// Records a fencing token of another host.
    fn raise(&mut self, epoch: id::Epoch) {
        if epoch <= self.highest_epoch {
            return;
        }
        self.highest_epoch = epoch;
        if self.controller.held_until().is_none() && self.controller.in_flight().is_none() {
            self.controller = Controller::new(self.owner.clone(), self.config.lease.clone());
            self.pass_observed();
        }
    }

    /// Passes the observed record to the controller, so that the next acquisition has a higher
    /// fencing token than any before.
    ///
    /// A record that does not exist or is of an earlier era says nothing of who holds the lease; it
    /// counts as that of an unknown holder.
    fn pass_observed(&mut self) {
        let Some(Observed { version, record, since }) = self.observed.clone() else { return };
        let epoch = self.highest_epoch.max(self.era << ERA_SHIFT);
        let is_current = |it: &Record| era_of(it.epoch) == self.era;
        let record = match record {
            Some(record) if self.is_own_lease(&record) => record,
            Some(record) if is_current(&record) => Record { epoch, ..record },
            _ => {
                let unknown = Owner { host: id::Host::default(), incarnation: 0 };
                Record { owner: Some(unknown), epoch, renewal: 0, token: 0 }
            }
        };
        self.controller.observe_row(version, Some(record), since);
    }

    /// Returns whether a record is the lease that this host holds, or its write whose answer was
    /// lost.
    fn is_own_lease(&self, record: &Record) -> bool {
        if era_of(record.epoch) != self.era {
            return false;
        }
        let pending = self.controller.in_flight().is_some_and(|it| it.record.token == record.token);
        let is_own = record.owner.as_ref() == Some(&self.owner);
        pending || (is_own && self.controller.held_until().is_some())
    }
}

/// Returns the era of the store in which a fencing token was first used.
fn era_of(epoch: id::Epoch) -> id::Era {
    epoch >> ERA_SHIFT
}
