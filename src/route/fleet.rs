//! The known targets, by name and grouped into pools by what they serve.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::{
    clock::Moment,
    cost::{EngineRates, Rate},
    id,
    route::{
        Config,
        replica::{Replica, ReplicaKey},
    },
    store,
    target::{Report, Role},
};

/// Weight of one load report in the moving average of [`Pool::own_share`].
const SHARE_GAIN: f64 = 0.1;
/// Largest value of [`Pool::share_factor`].
const MAX_SHARE_FACTOR: f64 = 16.0;
/// Smallest fraction of an engine's prefill rate at which its queue is assumed to shrink.
const MIN_NET_FRACTION: f64 = 0.1;
/// Largest number of priorities whose prefill load is tracked separately.
const MAX_PRIORITIES: usize = 16;
/// Averaging window of the prefill load of each priority.
const PRIORITY_WINDOW: Duration = Duration::from_secs(10);
/// Smallest share of a queue that counts as ahead of a request, because an engine doesn't interrupt
/// a step that it has started.
const MIN_SHARE_AHEAD: f64 = 0.1;
/// Share of a mixed engine's time that counts as available for prefill.
const MIXED_PREFILL_SHARE: f64 = 0.5;
/// Number of observations of prefill or decode engines from which their own rates are used for the
/// cost of their stage; until then, the rates of mixed engines are used.
const MIN_OBSERVATIONS: u32 = 8;
/// Averaging window of the offered load.
const OFFERED_WINDOW: Duration = Duration::from_secs(1);

/// The targets that this host knows, and the pools that they form.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) replicas: SlotMap<ReplicaKey, Replica>,
    by_name: HashMap<id::Target, ReplicaKey>,
    pools: HashMap<SmolStr, Pool>,
}

/// The targets that serve one model or service.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) members: Vec<ReplicaKey>,
    /// Counter of requests for [`crate::route::Policy::RoundRobin`].
    pub(super) next_turn: usize,
    /// Requests that one target can run at once, as last reported by any target of the pool; 0 when
    /// unknown.
    slots: u32,
    /// Estimated share of all hosts' requests that this host sends, from 0 to 1.
    own_share: f64,
    /// Number of engines that prefill; a mixed engine counts as [`MIXED_PREFILL_SHARE`].
    prefill_engines: f64,
    /// Rates of the engines in each role.
    prefill_rates: EngineRates,
    decode_rates: EngineRates,
    mixed_rates: EngineRates,
    pub(super) mean_request: MeanRequest,
    pub(super) offered: OfferedRates,
    pub(super) prefill_by_priority: PriorityRates,
}

/// Load of the requests offered to this host, in engine-seconds per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferedRates {
    pub(super) prefill: Rate,
    pub(super) decode: Rate,
}

/// Prefill load offered to this host by priority, in engine-seconds per second.
///
/// Used to estimate the share of a queue that is served before a request.
#[derive(Debug, Default)]
pub(super) struct PriorityRates {
    by_priority: BTreeMap<i32, Rate>,
}

/// Moving averages over the pool's completed requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeanRequest {
    /// Prompt tokens that weren't found in the prefix cache.
    pub(super) prefill_tokens: f64,
    /// Tokens of the answer.
    pub(super) output_tokens: f64,
}

impl Fleet {
    pub(super) fn new() -> Fleet {
        Fleet { replicas: SlotMap::with_key(), by_name: HashMap::new(), pools: HashMap::new() }
    }

    pub(super) fn key(&self, name: &str) -> Option<ReplicaKey> {
        self.by_name.get(name).copied()
    }

    /// Returns a target by its name.
    pub(super) fn replica_mut(&mut self, name: &str) -> Option<&mut Replica> {
        let key = self.key(name)?;
        self.replicas.get_mut(key)
    }

    /// Returns the pool of a model or service.
    pub(super) fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name)
    }

    pub(super) fn pool_mut(&mut self, name: &str) -> Option<&mut Pool> {
        self.pools.get_mut(name)
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = (&SmolStr, &Pool)> {
        self.pools.iter()
    }

    /// Adds or updates a target; ignores entry hosts. A new incarnation resets the target's load,
    /// cache view and health.
    pub(super) fn upsert(&mut self, machine: &store::Machine, config: &Config) {
        if let Some(key) = self.key(&machine.name) {
            let replica = &mut self.replicas[key];
            replica.data_centre = machine.data_centre.clone();
            replica.leaving = machine.state == store::State::Leaving;
            if replica.incarnation != machine.incarnation {
                replica.reset(machine.incarnation, config);
            }
            return;
        }
        let Some(replica) = Replica::new(machine, config) else { return };
        let (name, serves) = (replica.name.clone(), replica.serves.clone());
        let key = self.replicas.insert(replica);
        self.by_name.insert(name, key);
        self.join_pool(key, &serves, config);
    }

    pub(super) fn remove(&mut self, name: &str) {
        let Some(key) = self.by_name.remove(name) else { return };
        let Some(replica) = self.replicas.remove(key) else { return };
        self.leave_pool(key, &replica.serves);
    }

    fn join_pool(&mut self, key: ReplicaKey, serves: &SmolStr, config: &Config) {
        let pool = self.pools.entry(serves.clone()).or_insert_with(|| Pool::new(config));
        pool.members.push(key);
    }

    fn leave_pool(&mut self, key: ReplicaKey, serves: &SmolStr) {
        if let Some(pool) = self.pools.get_mut(serves) {
            pool.members.retain(|it| *it != key);
        }
    }

    /// Records a load report, and moves the target to another pool when it serves something else
    /// now.
    pub(super) fn record_report(
        &mut self,
        name: &str,
        report: &Report,
        config: &Config,
        now: Moment,
    ) {
        let Some(key) = self.key(name) else { return };
        let serves = self.replicas[key].serves.clone();
        let role = report.role.unwrap_or(Role::Mixed);
        let rate = self.pools.get(&serves).map_or(1.0, |it| it.net_prefill_rate(role, now));
        if !self.replicas[key].record_report(report, rate, now) {
            return;
        }
        if report.serves != serves {
            self.leave_pool(key, &serves);
            self.join_pool(key, &report.serves, config);
        }
        self.update_own_share(&report.serves, report);
    }

    /// Updates a pool's slots and prefill engines, and estimates this host's share of the requests
    /// from those in flight.
    fn update_own_share(&mut self, serves: &str, report: &Report) {
        let Some(pool) = self.pools.get_mut(serves) else { return };
        pool.slots = report.slots;
        let members = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        let prefill_engines: f64 = members.map(|it| prefill_share(it.role)).sum();
        pool.prefill_engines = prefill_engines.max(MIXED_PREFILL_SHARE);
        let replicas = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        let (own, all) = replicas.fold((0.0, 0.0), |(own, all), it| {
            (own + f64::from(it.load.own_requests), all + it.load.reported_running())
        });
        if 0 < report.running && 0.0 < own && 0.0 < all {
            let share = (own / all).clamp(1.0 / MAX_SHARE_FACTOR, 1.0);
            pool.own_share += (share - pool.own_share) * SHARE_GAIN;
        }
    }
}

impl Pool {
    fn new(config: &Config) -> Pool {
        let rates = EngineRates::new(config.cost.clone());
        let output_tokens = f64::from(config.cost.output_tokens);
        let offered = Rate::new(OFFERED_WINDOW, Moment::ZERO);
        Pool {
            members: Vec::new(),
            next_turn: 0,
            slots: 0,
            own_share: 1.0,
            prefill_engines: 1.0,
            prefill_rates: rates.clone(),
            decode_rates: rates.clone(),
            mixed_rates: rates,
            mean_request: MeanRequest { prefill_tokens: output_tokens, output_tokens },
            offered: OfferedRates { prefill: offered, decode: offered },
            prefill_by_priority: PriorityRates::default(),
        }
    }

    /// Returns the factor from this host's offered load to that of all hosts together.
    pub(super) fn share_factor(&self) -> f64 {
        (1.0 / self.own_share).clamp(1.0, MAX_SHARE_FACTOR)
    }

    /// Returns the largest batch size that keeps the bound on the time between tokens and fits the
    /// slots.
    pub(super) fn max_batch(&self, rates: &EngineRates, config: &Config) -> f64 {
        let in_time = rates.max_batch(config.between_tokens);
        let slots = if self.slots == 0 { f64::INFINITY } else { f64::from(self.slots) };
        in_time.min(slots)
    }

    /// Returns the engine time to prefill `tokens`, in seconds, on an engine that only prefills.
    pub(super) fn prefill_cost(&self, tokens: f64) -> f64 {
        let learned = MIN_OBSERVATIONS <= self.prefill_rates.prefills_observed();
        let rates = if learned { &self.prefill_rates } else { &self.mixed_rates };
        tokens / rates.prefill_rate()
    }

    /// Returns the engine time to decode an answer in a full batch, in seconds, on an engine that
    /// only decodes.
    pub(super) fn decode_cost(&self, output_tokens: f64, config: &Config) -> f64 {
        let learned = MIN_OBSERVATIONS <= self.decode_rates.steps_observed();
        let rates = if learned { &self.decode_rates } else { &self.mixed_rates };
        let batch = self.max_batch(rates, config);
        output_tokens * rates.step_time(batch).as_secs_f64() / batch
    }

    /// Returns the rate at which an engine's prefill queue shrinks, in prompt tokens per second.
    ///
    /// This is the prefill rate less what the other hosts are expected to add to the queue, which
    /// is estimated from this host's offered load and its share of all requests.
    pub(super) fn net_prefill_rate(&self, role: Role, now: Moment) -> f64 {
        let others =
            self.offered.prefill.value(now) * (self.share_factor() - 1.0) / self.prefill_engines;
        self.rates(role).prefill_rate() * (1.0 - others).max(MIN_NET_FRACTION)
    }

    /// Returns the rates of the pool's engines in a role.
    pub(super) fn rates(&self, role: Role) -> &EngineRates {
        match role {
            Role::Prefill => &self.prefill_rates,
            Role::Decode => &self.decode_rates,
            Role::Mixed => &self.mixed_rates,
        }
    }

    pub(super) fn rates_mut(&mut self, role: Role) -> &mut EngineRates {
        match role {
            Role::Prefill => &mut self.prefill_rates,
            Role::Decode => &mut self.decode_rates,
            Role::Mixed => &mut self.mixed_rates,
        }
    }
}

impl PriorityRates {
    /// Adds prefill work of a priority, in engine-seconds.
    ///
    /// When [`MAX_PRIORITIES`] are tracked, a further priority counts as the next lower tracked
    /// one, or as the lowest when there is none below it.
    pub(super) fn add(&mut self, priority: i32, seconds: f64, now: Moment) {
        let tracked = self.by_priority.contains_key(&priority);
        let priority = if tracked || self.by_priority.len() < MAX_PRIORITIES {
            priority
        } else {
            let below = self.by_priority.range(..=priority).next_back();
            below.or(self.by_priority.iter().next()).map_or(priority, |it| *it.0)
        };
        let rate = self.by_priority.entry(priority).or_insert(Rate::new(PRIORITY_WINDOW, now));
        rate.add(seconds, now);
    }

    /// Returns the share of a queue that is served before a new request of a priority, from 0 to 1.
    pub(super) fn share_ahead(&self, priority: i32, now: Moment) -> f64 {
        let all: f64 = self.by_priority.values().map(|it| it.value(now)).sum();
        if all <= 0.0 {
            return 1.0;
        }
        let ahead: f64 = self.by_priority.range(priority..).map(|it| it.1.value(now)).sum();
        (ahead / all).clamp(MIN_SHARE_AHEAD, 1.0)
    }
}

/// Returns the share of an engine's time that counts as available for prefill, by role.
fn prefill_share(role: Role) -> f64 {
    match role {
        Role::Prefill => 1.0,
        Role::Mixed => MIXED_PREFILL_SHARE,
        Role::Decode => 0.0,
    }
}

impl MeanRequest {
    /// Adds a completed request with the weight `gain`.
    pub(super) fn observe(&mut self, prefill_tokens: f64, output_tokens: f64, gain: f64) {
        self.prefill_tokens += (prefill_tokens - self.prefill_tokens) * gain;
        self.output_tokens += (output_tokens - self.output_tokens) * gain;
    }
}
