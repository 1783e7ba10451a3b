//! Rate limits that targets name in their responses: the requests a second that a target takes from
//! all hosts together.
//!
//! A limit is divided among a few hosts, the same on every host that knows the same others: those
//! that rank highest for the target. Each of them sends at most one request per interval and saves
//! none up, so the sum stays within the limit and a few requests, however many hosts there are. The
//! other hosts send a rare probe, from which they learn of the end of a limit if no other host's
//! report reaches them. Hosts report what they learn from a target's responses to each other.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::{
    placement::balancer,
    targets::{registry::Key, target::Run},
};

/// Hosts among which a limit below one request a second is divided; one more for each further
/// request a second. All of them may send at the same moment.
const MIN_SHARERS: usize = 2;
/// Smallest rate that is divided, in requests a second, so that a target with a lower limit is still
/// asked whether it has ended.
const MIN_RATE: f64 = 0.2;
/// Probes of all hosts without a share, as a share of the limit.
const PROBE_RATIO: f64 = 0.05;
/// Time in each interval in which a host may send its probe. Hosts that have no request meanwhile
/// leave it out, so that unused probes do not come together later.
const PROBE_SLOT: Duration = Duration::from_secs(1);
/// Share of a limit by which another one must differ to replace it. Smaller changes would be reported
/// to all hosts each time, for a share that hardly changes.
const MIN_CHANGE: f64 = 0.1;
/// Time by which a request may follow the previous one too early if that one was late by as much, so
/// that a host whose requests come irregularly still uses its share.
const LATENESS: Duration = Duration::from_millis(50);
/// Time for which a host includes a change that it learned from a target in its heartbeats.
const REPORT_TIME: Duration = Duration::from_secs(4);
/// Most reports in one datagram.
const MAX_REPORTED: usize = 16;

/// Requests a second that a target takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Limit(f64);

/// Value of a limit that is not a number of requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a number of requests a second")]
pub struct InvalidLimit;

impl TryFrom<f64> for Limit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Limit, InvalidLimit> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidLimit);
        }
        Ok(Limit(per_second))
    }
}

impl TryFrom<&str> for Limit {
    type Error = InvalidLimit;

    /// Reads a number of requests a second, which may have a fraction.
    fn try_from(text: &str) -> Result<Limit, InvalidLimit> {
        let per_second: f64 = text.trim().parse().map_err(|_| InvalidLimit)?;
        Limit::try_from(per_second)
    }
}

impl Limit {
    /// Returns the rate that is divided among the hosts, in requests a second.
    fn rate(self) -> f64 {
        self.0.max(MIN_RATE)
    }

    /// Returns whether hosts have to divide this limit instead of another one.
    fn differs_from(self, other: Limit) -> bool {
        MIN_CHANGE * other.rate() < (self.rate() - other.rate()).abs()
    }
}

impl From<Limit> for f64 {
    fn from(limit: Limit) -> f64 {
        limit.0
    }
}

/// A target's latest limit, as hosts report it to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The target.
    pub run: Run,
    /// Requests a second; `None` if the target takes any rate.
    pub limit: Option<f64>,
    /// Time since the target said so.
    pub age: Duration,
}

/// A host's share of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Share {
    /// One request per interval.
    Regular {
        /// Time between two requests.
        interval: Duration,
    },
    /// One request per interval, in the slot that begins at this time of each interval.
    Probe {
        /// Time between two slots.
        interval: Duration,
        /// Time from the begin of an interval to its slot.
        offset: Duration,
    },
}

impl Share {
    /// Returns the share of a host in a target's limit, and the time until its first request;
    /// `hosts` are all hosts among which the limit is divided.
    fn of_host<'a>(
        rate: f64,
        target: &str,
        own: &id::Host,
        hosts: impl Iterator<Item = &'a id::Host>,
    ) -> (Share, Duration) {
        let order = |host: &id::Host| (balancer::rendezvous_hash(host, target), host.clone());
        let own_order = order(own);
        let (mut count, mut rank) = (1, 0);
        for host in hosts.filter(|it| *it != own) {
            count += 1;
            rank += usize::from(own_order < order(host));
        }
        let sharers = MIN_SHARERS.saturating_add(rate as usize).min(count);
        if rank < sharers {
            let interval = Duration::from_secs_f64(sharers as f64 / rate);
            return (Share::Regular { interval }, interval.mul_f64(rank as f64 / sharers as f64));
        }
        let interval = Duration::from_secs_f64(count as f64 / (rate * PROBE_RATIO));
        let offset = interval.mul_f64(own_order.0 as f64 / u64::MAX as f64);
        (Share::Probe { interval, offset }, Duration::ZERO)
    }
}

/// What this host knows of a target that has named a limit.
#[derive(Debug, Clone)]
struct State {
    run: Run,
    /// `None` if its latest response named none.
    limit: Option<Limit>,
    /// Time of the latest response.
    at: Moment,
    /// Time at which a response to this host changed the limit; `None` if another host reported it.
    changed_at: Option<Moment>,
    share: Option<Share>,
    /// Time of this host's latest request.
    sent_at: Option<Moment>,
    /// Earliest time of the next request with a regular share.
    next_request_at: Moment,
}

impl State {
    /// Returns the time until this host may send a request.
    fn time_until_available(&self, now: Moment) -> Duration {
        let (Some(limit), Some(share)) = (self.limit, self.share) else { return Duration::ZERO };
        match share {
            Share::Regular { .. } => self.next_request_at.saturating_sub(now),
            Share::Probe { interval, offset } => {
                let since_slot = Duration::from_nanos_u128(
                    (now + interval.saturating_sub(offset)).as_nanos() % interval.as_nanos(),
                );
                let is_used = self.sent_at.is_some_and(|it| now.saturating_sub(it) < since_slot);
                if since_slot < PROBE_SLOT && !is_used {
                    return Duration::ZERO;
                }
                // A caller that comes back reaches any host, so the target's pace counts.
                Duration::from_secs_f64(limit.rate().recip())
            }
        }
    }
}

/// Limits of the targets.
#[derive(Debug, Default)]
pub struct Tracker {
    states: SecondaryMap<Key, State>,
}

impl Tracker {
    /// Records what a response of a target to this host says about its limit; `None` if it names
    /// none.
    ///
    /// Returns whether the limit changed; then [`Tracker::divide`] has to be called.
    pub fn observe(&mut self, key: Key, run: &Run, limit: Option<Limit>, now: Moment) -> bool {
        self.update(key, run, limit, now, Some(now))
    }

    /// Records what another host learned from a target.
    ///
    /// Returns whether the limit changed; then [`Tracker::divide`] has to be called.
    ///
    /// # Errors
    /// Fails when the reported limit is not a number of requests a second.
    pub fn apply(&mut self, key: Key, report: &Report, now: Moment) -> Result<bool, InvalidLimit> {
        let limit = report.limit.map(Limit::try_from).transpose()?;
        Ok(self.update(key, &report.run, limit, now.saturating_sub(report.age), None))
    }

    /// Records a limit unless a later response is known; `changed_at` is kept if it is a change.
    fn update(
        &mut self,
        key: Key,
        run: &Run,
        limit: Option<Limit>,
        at: Moment,
        changed_at: Option<Moment>,
    ) -> bool {
        let Some(state) = self.states.get_mut(key) else {
            if limit.is_some() {
                let state = State {
                    run: run.clone(),
                    limit,
                    at,
                    changed_at,
                    share: None,
                    sent_at: None,
                    next_request_at: Moment::ZERO,
                };
                self.states.insert(key, state);
            }
            return limit.is_some();
        };
        if at < state.at {
            return false;
        }
        state.at = at;
        let changed = match (state.limit, limit) {
            (Some(before), Some(after)) => after.differs_from(before),
            (before, after) => before != after,
        };
        if changed {
            state.limit = limit;
            state.changed_at = changed_at;
        }
        changed
    }

    /// Divides the limits among hosts, of which `own` is this one.
    pub fn divide<'a>(
        &mut self,
        own: &id::Host,
        hosts: impl Iterator<Item = &'a id::Host> + Clone,
        now: Moment,
    ) {
        for state in self.states.values_mut() {
            let share = state
                .limit
                .map(|it| Share::of_host(it.rate(), &state.run.target, own, hosts.clone()));
            let Some((share, delay)) = share else {
                state.share = None;
                continue;
            };
            match (state.share.replace(share), share) {
                (Some(Share::Regular { .. }), Share::Regular { interval }) => {
                    state.next_request_at = state.next_request_at.min(now + interval);
                }
                // The sharers begin one after the other.
                _ => state.next_request_at = state.next_request_at.max(now + delay),
            }
        }
    }

    /// Returns the limit of a target; `None` if it has none.
    pub fn limit(&self, key: Key) -> Option<Limit> {
        self.states.get(key)?.limit
    }

    /// Returns whether this host may send a target another request.
    pub fn is_available(&self, key: Key, now: Moment) -> bool {
        self.time_until_available(key, now).is_zero()
    }

    /// Returns the time until this host may send a target another request. For a host without a
    /// share, it is the time that the target needs for one request.
    pub fn time_until_available(&self, key: Key, now: Moment) -> Duration {
        self.states.get(key).map_or(Duration::ZERO, |it| it.time_until_available(now))
    }

    /// Records a request that is about to be sent to a target.
    pub fn record_request(&mut self, key: Key, now: Moment) {
        let Some(state) = self.states.get_mut(key) else { return };
        state.sent_at = Some(now);
        if let Some(Share::Regular { interval }) = state.share {
            let due_at = state.next_request_at.max(now.saturating_sub(LATENESS.min(interval)));
            state.next_request_at = due_at + interval;
        }
    }

    /// Returns the latest changes that this host learned from the targets themselves, to be reported
    /// to the other hosts.
    pub fn recent_reports(&self, now: Moment) -> Vec<Report> {
        let is_recent = |it: &&State| it.changed_at.is_some_and(|at| now < at + REPORT_TIME);
        let mut recent: Vec<&State> = self.states.values().filter(is_recent).collect();
        recent.sort_unstable_by_key(|it| std::cmp::Reverse(it.changed_at));
        let reports = recent.into_iter().take(MAX_REPORTED).map(|it| Report {
            run: it.run.clone(),
            limit: it.limit.map(f64::from),
            age: now.saturating_sub(it.at),
        });
        reports.collect()
    }

    /// Drops the state of a target that left the registry.
    pub fn forget(&mut self, key: Key) {
        self.states.remove(key);
    }
}
