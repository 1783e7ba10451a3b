//! Counts the work that hosts place for each service, and derives the demand from it.
//!
//! Answers hosts that come, go and fall silent: counts only grow while a host runs, so that the
//! demand between two reports is their difference however many reports were lost in between, and a
//! host that does not report makes the demand unknown, not lower.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::{
    cluster::messages::{Kind, Message},
    scaling::plan::Demand,
};

/// Share of the slots up to which the requests running on a target are on time.
const SLOT_SHARE: f64 = 0.75;
/// Share of the KV cache up to which no running request is preempted.
const CACHE_SHARE: f64 = 0.85;
/// Mean pause between events, as a share of the longest that a route permits, up to which hardly any
/// pause is longer than permitted.
const PAUSE_SHARE: f64 = 0.5;
/// Shortest time between two reports from which a rate is computed.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Longest such time; a rate over more says little about the present.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// What became of a request that was to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It goes to a target, and is expected to be on time.
    OnTime,
    /// It goes to a target, and is expected to be late because of the work before it.
    Late,
    /// It was refused.
    Refused,
}

/// Requests of one service since the start of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were placed.
    pub placed: u64,
    /// Placed requests that were expected to be late because of the work before them.
    pub late: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Prompt tokens of all requests that no engine's cache held, as counted by
    /// [`crate::placement::engine::LatencyModel::weighted_tokens`].
    pub prompt_tokens: u64,
    /// All requests by the data centre of the host that received them.
    pub origins: BTreeMap<id::DataCentre, u64>,
}

/// Work placed by this host.
#[derive(Debug, Default)]
pub struct Tracker {
    services: HashMap<id::Service, Counts>,
}

impl Tracker {
    /// Records a request that a host in `origin` received and this one placed or refused.
    pub fn record(
        &mut self,
        service: &id::Service,
        origin: &id::DataCentre,
        outcome: Outcome,
        prompt_tokens: u64,
    ) {
        let counts = self.services.entry(service.clone()).or_default();
        match outcome {
            Outcome::OnTime => counts.placed += 1,
            Outcome::Late => {
                counts.placed += 1;
                counts.late += 1;
            }
            Outcome::Refused => counts.refused += 1,
        }
        counts.prompt_tokens += prompt_tokens;
        *counts.origins.entry(origin.clone()).or_default() += 1;
    }

    /// Returns the counts of a service.
    pub fn counts(&self, service: &id::Service) -> Counts {
        self.services.get(service).cloned().unwrap_or_default()
    }
}

/// Load of the targets of one service that answer requests, all but the engines that only prefill.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of these targets.
    pub targets: u32,
    /// Requests in flight there.
    pub requests: u64,
    /// Requests that they run concurrently.
    pub slots: u64,
    /// Share of their KV cache that the requests take.
    pub cache_share: f64,
    /// Mean pause between events, as a share of the longest that the routes permit.
    pub pause_ratio: f64,
    /// Tokens that a prefill engine prefills in a millisecond.
    pub prefill_rate: f64,
}

/// Counts and load of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Requests since the start of the reporting host.
    pub counts: Counts,
    /// Load at the time of the report.
    pub load: Load,
}

/// Asks the dispatcher for a [`Report`]; sent by the host that holds the duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query;

impl Message for Query {
    const KIND: Kind = 30;
}

/// Demand as the dispatcher knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identifies the run of the reporting host.
    pub incarnation: id::Incarnation,
    /// Time since the start of the reporting host.
    pub uptime: Duration,
    /// The services that are scaled.
    pub services: Vec<(id::Service, Sample)>,
}

impl Message for Report {
    const KIND: Kind = 31;
}

/// Last report of each host.
#[derive(Debug, Default)]
pub struct Inbox {
    reports: HashMap<id::Host, (Moment, Report)>,
    fresh: Vec<(id::Service, Demand)>,
}

impl Inbox {
    /// Records a report, and derives the demand since the one before it.
    ///
    /// The first report of a host, or of another run of it, only starts the count.
    pub fn record(&mut self, host: id::Host, report: Report, now: Moment) {
        self.reports.retain(|_, (at, _)| now < *at + MAX_INTERVAL);
        if let Some((_, before)) = self.reports.get(&host) {
            let is_same_run = before.incarnation == report.incarnation;
            let interval = report.uptime.saturating_sub(before.uptime);
            if is_same_run && interval < MIN_INTERVAL {
                return;
            }
            if is_same_run {
                let before: HashMap<_, _> = before.services.iter().map(|(it, s)| (it, s)).collect();
                let changes = report.services.iter().filter_map(|(service, sample)| {
                    let demand = demand(before.get(service)?, sample, interval);
                    Some((service.clone(), demand))
                });
                self.fresh.extend(changes.collect::<Vec<_>>());
            }
        }
        self.reports.insert(host, (now, report));
    }

    /// Returns the demand that was derived since the last call.
    pub fn take(&mut self) -> Vec<(id::Service, Demand)> {
        std::mem::take(&mut self.fresh)
    }

    /// Forgets all reports.
    pub fn clear(&mut self) {
        *self = Inbox::default();
    }
}

/// Returns the demand between two samples of one host.
pub fn demand(before: &Sample, after: &Sample, interval: Duration) -> Demand {
    let added = |count: fn(&Counts) -> u64| {
        count(&after.counts).saturating_sub(count(&before.counts)) as f64
    };
    let (placed, late, refused) =
        (added(|it| it.placed), added(|it| it.late), added(|it| it.refused));
    let Load { targets, requests, slots, cache_share, pause_ratio, prefill_rate } = after.load;
    let prefill_ms = added(|it| it.prompt_tokens) / prefill_rate.max(f64::MIN_POSITIVE);
    let slot_share = requests as f64 / (slots as f64).max(1.0);
    let fill = (slot_share / SLOT_SHARE).max(cache_share / CACHE_SHARE);
    // Shorter pauses come from prompts that are prefilled between the events, which count apart.
    let has_long_pauses = 0 < requests && PAUSE_SHARE < pause_ratio;
    let fill = if has_long_pauses { fill.max(pause_ratio / PAUSE_SHARE) } else { fill };
    // Refused requests would have filled as much as the others.
    let with_refused = 1.0 + refused / placed.max(1.0);
    let origins = after.counts.origins.iter().map(|(origin, count)| {
        let known = before.counts.origins.get(origin).copied().unwrap_or_default();
        (origin.clone(), count.saturating_sub(known) as f64)
    });
    Demand {
        prefill: prefill_ms / (interval.as_secs_f64() * 1e3).max(1.0),
        generation: f64::from(targets) * fill * with_refused,
        late_share: (late + refused) / (placed + refused).max(1.0),
        origins: origins.collect(),
    }
}
