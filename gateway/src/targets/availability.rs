//! Targets that want no new requests: they are leaving, or asked this host to back off.
//!
//! Unlike a failing target, such a target is never a fallback: if there is no other, requests are
//! refused. A departure holds for all hosts and until the target's next run. A backoff holds only
//! for the host that was asked, and ends by itself; after it, this host's requests to the target
//! are spaced for a short time, so that it isn't flooded by those that could not be sent before.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::targets::{
    registry::Key,
    target::{Run, Target},
};

/// Longest backoff; a longer one would take a target out of service until its next run.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Time after a backoff during which requests to the target are spaced.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// Requests that a host may send to a target during the ramp, as a multiple of its slots.
const RAMP_REQUESTS_PER_SLOT: u32 = 2;
/// Time for which a departure is remembered after its target left the registry; an entry that the
/// store lost may come back.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);
/// Most departures that are remembered.
const MAX_DEPARTURES: usize = 1024;
/// Time for which a host includes a departure in its heartbeats.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Most departures in one datagram.
const MAX_REPORTED: usize = 16;

/// Time for which a target asked a host to send it nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff(Duration);

/// Value of a `Retry-After` header that names no positive number of seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a positive number of seconds")]
pub struct InvalidBackoff;

impl TryFrom<&str> for Backoff {
    type Error = InvalidBackoff;

    /// Reads a number of seconds, which may have a fraction; caps it at [`MAX_BACKOFF`].
    fn try_from(text: &str) -> Result<Backoff, InvalidBackoff> {
        let seconds: f64 = text.trim().parse().map_err(|_| InvalidBackoff)?;
        if !seconds.is_finite() || seconds <= 0.0 {
            return Err(InvalidBackoff);
        }
        Ok(Backoff(Duration::from_secs_f64(seconds.min(MAX_BACKOFF.as_secs_f64()))))
    }
}

impl From<Backoff> for Duration {
    fn from(backoff: Backoff) -> Duration {
        backoff.0
    }
}

/// A run of a target that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The target.
    pub target: id::Target,
    /// Run of its process.
    pub incarnation: Option<id::Incarnation>,
    /// Address of this run.
    pub address: SocketAddr,
}

impl From<&Target> for Departure {
    fn from(target: &Target) -> Departure {
        Departure {
            target: target.id.clone(),
            incarnation: target.incarnation,
            address: target.address,
        }
    }
}

/// How this host learned of a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From a response of the target.
    Target,
    /// From another host.
    Host,
    /// From its memory, when the entry of a departed target came back.
    Memory,
}

impl Source {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Target => "target",
            Source::Host => "host",
            Source::Memory => "memory",
        }
    }
}

/// What one target wants.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    leaving: bool,
    /// End of the last backoff; zero before the first.
    backoff_until: Moment,
    /// Earliest time for the next request during the ramp.
    next_request_at: Moment,
}

/// Targets that want no new requests.
#[derive(Debug, Default)]
pub struct Tracker {
    states: SecondaryMap<Key, State>,
    /// Known departures, by target.
    departures: HashMap<id::Target, Known>,
    /// Backoffs that are not over, by target.
    backoffs: HashMap<id::Target, Remembered>,
}

/// A backoff of a run, which may leave the registry for a moment.
#[derive(Debug)]
struct Remembered {
    run: Run,
    until: Moment,
}

/// A departure that this host knows of.
#[derive(Debug)]
struct Known {
    departure: Departure,
    /// How this host learned of it first.
    source: Source,
    /// Time at which this host learned of it.
    learned_at: Moment,
    /// Time at which it is forgotten; `None` while its target is in the registry.
    expires_at: Option<Moment>,
}

impl Tracker {
    /// Records that a target in the registry is leaving; returns whether this is new.
    pub fn record_departure(
        &mut self,
        key: Key,
        departure: Departure,
        source: Source,
        now: Moment,
    ) -> bool {
        let target = departure.target.clone();
        self.remember(departure, source, now);
        if let Some(known) = self.departures.get_mut(&target) {
            known.expires_at = None;
        }
        let Some(entry) = self.states.entry(key) else { return false };
        !std::mem::replace(&mut entry.or_default().leaving, true)
    }

    /// Remembers the departure of a target that this host may not know yet.
    pub fn remember(&mut self, departure: Departure, source: Source, now: Moment) {
        let known = self.departures.get(&departure.target).map(|it| &it.departure);
        if known.is_some_and(|it| departure.incarnation < it.incarnation || departure == *it) {
            return;
        }
        if MAX_DEPARTURES <= self.departures.len() {
            let oldest = self.departures.values().min_by_key(|it| it.learned_at);
            if let Some(oldest) = oldest.map(|it| it.departure.target.clone()) {
                self.departures.remove(&oldest);
            }
        }
        let target = departure.target.clone();
        let expires_at = Some(now + DEPARTURE_TTL);
        self.departures.insert(target, Known { departure, source, learned_at: now, expires_at });
    }

    /// Returns whether this run of a target is known to be leaving.
    pub fn has_departed(&self, run: &Departure) -> bool {
        self.departures.get(&run.target).is_some_and(|it| it.departure == *run)
    }

    /// Returns the latest departures that this host learned of from the targets themselves, to be
    /// reported to the other hosts.
    pub fn recent_departures(&self, now: Moment) -> Vec<Departure> {
        let recent = self
            .departures
            .values()
            .filter(|it| it.source == Source::Target && now < it.learned_at + REPORT_TIME);
        let mut recent: Vec<&Known> = recent.collect();
        recent.sort_unstable_by_key(|it| std::cmp::Reverse(it.learned_at));
        recent.into_iter().take(MAX_REPORTED).map(|it| it.departure.clone()).collect()
    }

    /// Records that a target asked for a backoff; an earlier request for a longer one stays.
    pub fn record_backoff(&mut self, key: Key, backoff: Backoff, now: Moment) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.backoff_until = state.backoff_until.max(now + backoff.0);
        }
    }

    /// Remembers the backoff of a target in case that it leaves the registry and comes back in the same
    /// run.
    pub fn remember_backoff(&mut self, key: Key, run: Run) {
        let Some(until) = self.states.get(key).map(|it| it.backoff_until) else { return };
        self.backoffs.insert(run.target.clone(), Remembered { run, until });
    }

    /// Applies a remembered backoff to a target that was added to the registry again.
    pub fn restore_backoff(&mut self, key: Key, run: &Run) {
        let remembered = self.backoffs.get(&run.target).filter(|it| it.run == *run);
        if let (Some(remembered), Some(entry)) = (remembered, self.states.entry(key)) {
            let state = entry.or_default();
            state.backoff_until = state.backoff_until.max(remembered.until);
        }
    }

    /// Records a request that is about to be sent to a target.
    pub fn record_request(&mut self, key: Key, slots: u32, now: Moment) {
        let Some(state) = self.states.get_mut(key) else { return };
        if state.backoff_until <= now && now < state.backoff_until + RAMP_TIME {
            let requests = RAMP_REQUESTS_PER_SLOT.saturating_mul(slots.max(1));
            state.next_request_at = now + RAMP_TIME / requests;
        }
    }

    /// Returns whether a target is leaving.
    pub fn is_leaving(&self, key: Key) -> bool {
        self.states.get(key).is_some_and(|it| it.leaving)
    }

    /// Returns whether a target has asked for a backoff that is not over.
    pub fn is_backing_off(&self, key: Key, now: Moment) -> bool {
        self.states.get(key).is_some_and(|it| now < it.backoff_until)
    }

    /// Returns whether a request that was assigned to a target may still be sent.
    pub fn may_send(&self, key: Key, now: Moment) -> bool {
        !self.is_leaving(key) && !self.is_backing_off(key, now)
    }

    /// Returns whether a target may be chosen for another request.
    pub fn is_available(&self, key: Key, now: Moment) -> bool {
        self.time_until_available(key, now).is_some_and(|it| it.is_zero())
    }

    /// Returns the time until a target may be chosen for another request; `None` if it is leaving.
    pub fn time_until_available(&self, key: Key, now: Moment) -> Option<Duration> {
        let state = self.states.get(key).copied().unwrap_or_default();
        let available_at = state.backoff_until.max(state.next_request_at);
        (!state.leaving).then(|| available_at.saturating_sub(now))
    }

    /// Drops the state of a target that left the registry, and remembers its departure for
    /// [`DEPARTURE_TTL`].
    pub fn forget(&mut self, key: Key, target: &id::Target, now: Moment) {
        self.states.remove(key);
        if let Some(known) = self.departures.get_mut(target) {
            known.expires_at = Some(now + DEPARTURE_TTL);
        }
    }

    /// Drops departures and backoffs whose time is over.
    pub fn expire(&mut self, now: Moment) {
        self.backoffs.retain(|_, it| now < it.until + RAMP_TIME);
        self.departures.retain(|_, it| it.expires_at.is_none_or(|at| now < at));
    }
}
