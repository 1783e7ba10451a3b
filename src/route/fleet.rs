//! All targets by name and by what they serve.

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

/// Part by which one report moves the learned part of this host.
const PART_GAIN: f64 = 0.1;
/// Most requests of all hosts that one of this host stands for.
const MOST_WEIGHT: f64 = 16.0;
/// Least part of an engine's rate at which its queue is taken to shrink.
const LEAST_NET: f64 = 0.1;
/// Priorities that are told apart.
const MOST_CLASSES: usize = 16;
/// Window of the prefill asked for by priority.
const CLASS_WINDOW: Duration = Duration::from_secs(10);
/// Least part of a queue that goes before a request, since a step under way is not interrupted.
const LEAST_AHEAD: f64 = 0.1;
/// Part of a mixed engine that reads prompts.
const MIXED_READS: f64 = 0.5;
/// Observations from which an engine with one role tells the cost of its stage.
const LEAST_SEEN: u32 = 8;
/// Window of the rates of work asked for.
const ASKED_WINDOW: Duration = Duration::from_secs(1);

/// The targets that this host knows.
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
    pub(super) next: usize,
    /// Requests that an engine may run at once, as last reported; 0 when unknown.
    slots: u32,
    /// Part of all requests that this host sends.
    part: f64,
    /// Engines that read prompts; mixed ones count in part.
    readers: f64,
    prefill: EngineRates,
    decode: EngineRates,
    mixed: EngineRates,
    pub(super) mean: Mean,
    pub(super) asked: Asked,
    pub(super) classes: Classes,
}

/// OfferedLoad asked for, in engine seconds a second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked {
    pub(super) prefill: Rate,
    pub(super) decode: Rate,
}

/// Prefill asked for by priority, so that a request waits only for what goes before it.
#[derive(Debug, Default)]
pub(super) struct Classes {
    by_priority: BTreeMap<i32, Rate>,
}

/// Mean work of a request of the pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Mean {
    /// Prompt tokens read.
    pub(super) prompt: f64,
    /// Tokens generated.
    pub(super) output: f64,
}

impl Fleet {
    pub(super) fn new() -> Fleet {
        Fleet { replicas: SlotMap::with_key(), by_name: HashMap::new(), pools: HashMap::new() }
    }

    pub(super) fn key(&self, name: &str) -> Option<ReplicaKey> {
        self.by_name.get(name).copied()
    }

    pub(super) fn named(&mut self, name: &str) -> Option<&mut Replica> {
        let key = self.key(name)?;
        self.replicas.get_mut(key)
    }

    pub(super) fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name)
    }

    pub(super) fn pool_mut(&mut self, name: &str) -> Option<&mut Pool> {
        self.pools.get_mut(name)
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = (&SmolStr, &Pool)> {
        self.pools.iter()
    }

    pub(super) fn upsert(&mut self, machine: &store::Machine, config: &Config) {
        if let Some(key) = self.key(&machine.name) {
            let replica = &mut self.replicas[key];
            replica.data_centre = machine.data_centre.clone();
            replica.leaving = machine.state == store::State::Leaving;
            if replica.incarnation != machine.incarnation {
                replica.restarted(machine.incarnation, config);
            }
            return;
        }
        let Some(replica) = Replica::new(machine, config) else { return };
        let (name, serves) = (replica.name.clone(), replica.serves.clone());
        let key = self.replicas.insert(replica);
        self.by_name.insert(name, key);
        self.join(key, &serves, config);
    }

    pub(super) fn remove(&mut self, name: &str) {
        let Some(key) = self.by_name.remove(name) else { return };
        let Some(replica) = self.replicas.remove(key) else { return };
        self.leave(key, &replica.serves);
    }

    fn join(&mut self, key: ReplicaKey, serves: &SmolStr, config: &Config) {
        let pool = self.pools.entry(serves.clone()).or_insert_with(|| Pool::new(config));
        pool.members.push(key);
    }

    fn leave(&mut self, key: ReplicaKey, serves: &SmolStr) {
        if let Some(pool) = self.pools.get_mut(serves) {
            pool.members.retain(|it| *it != key);
        }
    }

    pub(super) fn report(&mut self, name: &str, report: &Report, config: &Config, now: Moment) {
        let Some(key) = self.key(name) else { return };
        let serves = self.replicas[key].serves.clone();
        let role = report.role.unwrap_or(Role::Mixed);
        let rate = self.pools.get(&serves).map_or(1.0, |it| it.net_rate(role, now));
        if !self.replicas[key].report(report, rate, now) {
            return;
        }
        if report.serves != serves {
            self.leave(key, &serves);
            self.join(key, &report.serves, config);
        }
        self.learn_part(&report.serves, report);
    }

    /// Learns from the requests in flight what part of all is this host's.
    fn learn_part(&mut self, serves: &str, report: &Report) {
        let Some(pool) = self.pools.get_mut(serves) else { return };
        pool.slots = report.slots;
        let members = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        let readers: f64 = members.map(|it| reads(it.role)).sum();
        pool.readers = readers.max(MIXED_READS);
        let replicas = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        let (own, all) = replicas.fold((0.0, 0.0), |(own, all), it| {
            (own + f64::from(it.load.own), all + it.load.reported())
        });
        if 0 < report.running && 0.0 < own && 0.0 < all {
            let part = (own / all).clamp(1.0 / MOST_WEIGHT, 1.0);
            pool.part += (part - pool.part) * PART_GAIN;
        }
    }
}

impl Pool {
    fn new(config: &Config) -> Pool {
        let rates = EngineRates::new(config.cost.clone());
        let output = f64::from(config.cost.output_tokens);
        let asked = Rate::new(ASKED_WINDOW, Moment::ZERO);
        Pool {
            members: Vec::new(),
            next: 0,
            slots: 0,
            part: 1.0,
            readers: 1.0,
            prefill: rates.clone(),
            decode: rates.clone(),
            mixed: rates,
            mean: Mean { prompt: output, output },
            asked: Asked { prefill: asked, decode: asked },
            classes: Classes::default(),
        }
    }

    /// Returns how many requests of all hosts one of this host stands for.
    pub(super) fn weight(&self) -> f64 {
        (1.0 / self.part).clamp(1.0, MOST_WEIGHT)
    }

    /// Returns the largest batch in which tokens still come in time.
    pub(super) fn full_batch(&self, rates: &EngineRates, config: &Config) -> f64 {
        let most = rates.batch_within(config.between_tokens);
        let slots = if self.slots == 0 { f64::INFINITY } else { f64::from(self.slots) };
        most.min(slots)
    }

    /// Returns the engine seconds to read prompts, where nothing else shares the engine.
    pub(super) fn reading(&self, tokens: f64) -> f64 {
        let seen = LEAST_SEEN <= self.prefill.prefills_observed();
        let rates = if seen { &self.prefill } else { &self.mixed };
        tokens / rates.prefill_rate()
    }

    /// Returns the engine seconds to generate in a full batch, where nothing else shares the engine.
    pub(super) fn decoding(&self, output: f64, config: &Config) -> f64 {
        let seen = LEAST_SEEN <= self.decode.steps_observed();
        let rates = if seen { &self.decode } else { &self.mixed };
        let batch = self.full_batch(rates, config);
        output * rates.step(batch).as_secs_f64() / batch
    }

    /// Returns the prompt tokens a second by which an engine's queue shrinks.
    ///
    /// What the other hosts send meanwhile is estimated from what this host is asked for and from its
    /// part of all requests.
    pub(super) fn net_rate(&self, role: Role, now: Moment) -> f64 {
        let others = self.asked.prefill.value(now) * (self.weight() - 1.0) / self.readers;
        self.rates(role).prefill_rate() * (1.0 - others).max(LEAST_NET)
    }

    /// Returns the rates learned for engines in a role.
    pub(super) fn rates(&self, role: Role) -> &EngineRates {
        match role {
            Role::Prefill => &self.prefill,
            Role::Decode => &self.decode,
            Role::Mixed => &self.mixed,
        }
    }

    pub(super) fn rates_mut(&mut self, role: Role) -> &mut EngineRates {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}

impl Classes {
    /// Takes in prefill of a priority; priorities beyond the bound count as the nearest known one.
    pub(super) fn add(&mut self, priority: i32, seconds: f64, now: Moment) {
        let known = self.by_priority.contains_key(&priority);
        let priority = if known || self.by_priority.len() < MOST_CLASSES {
            priority
        } else {
            let below = self.by_priority.range(..=priority).next_back();
            below.or(self.by_priority.iter().next()).map_or(priority, |it| *it.0)
        };
        let rate = self.by_priority.entry(priority).or_insert(Rate::new(CLASS_WINDOW, now));
        rate.add(seconds, now);
    }

    /// Returns the part of a queue that goes before a request of this priority.
    pub(super) fn ahead(&self, priority: i32, now: Moment) -> f64 {
        let all: f64 = self.by_priority.values().map(|it| it.value(now)).sum();
        if all <= 0.0 {
            return 1.0;
        }
        let ahead: f64 = self.by_priority.range(priority..).map(|it| it.1.value(now)).sum();
        (ahead / all).clamp(LEAST_AHEAD, 1.0)
    }
}

/// Returns the part of an engine in a role that reads prompts.
fn reads(role: Role) -> f64 {
    match role {
        Role::Prefill => 1.0,
        Role::Mixed => MIXED_READS,
        Role::Decode => 0.0,
    }
}

impl Mean {
    /// Takes in one request.
    pub(super) fn observe(&mut self, prompt: f64, output: f64, gain: f64) {
        self.prompt += (prompt - self.prompt) * gain;
        self.output += (output - self.output) * gain;
    }
}
