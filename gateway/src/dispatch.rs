//! Order in which prompts go to the engines, decided by one host for all.
//!
//! Pattern: several hosts see an engine fall idle at the same time and all send to it. One host, the
//! dispatcher, places the prompts of all hosts instead. It keeps only a short run of work at each
//! engine and the rest in one queue: requests that can still be on time first, by priority and by
//! the moment at which they must start; then those that are late already. What it knows is a hint,
//! not an agreement: hosts that cannot reach it place their prompts themselves.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::{
    balancer,
    engine::{self, Candidate, Choice, Estimate, LatencyBudget, LatencyModel},
    load::Work,
    prefix_cache,
    prompt::Prompt,
    registry::Key,
    target::Stage,
};

/// Number of a request at the host that asks.
pub type RequestNumber = u64;

/// Work that is kept waiting at an engine, so that it never idles between two prompts.
const MAX_ENGINE_BACKLOG: Duration = Duration::from_millis(30);

/// Part of the tokens that goes to late requests when others would take everything.
const LATE_SHARE: f64 = 0.15;
/// Part that is kept of the tokens placed lately with each further placement.
const SHARE_DECAY: f64 = 0.99;

/// A request that is to be placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number at the host that asks.
    pub number: RequestNumber,
    /// Service that runs it.
    pub service: id::Service,
    /// Its prompt.
    pub prompt: Prompt,
    /// Rank among requests, 0 first.
    pub priority: u8,
    /// Time to the first event within which it is on time, from the caller's first attempt.
    pub objective: Duration,
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
    /// Time that it may wait to be placed.
    pub max_wait: Duration,
    /// Whether its caller already has a part of the answer.
    pub resumes: bool,
    /// Engines that failed it, or that its host found failing.
    pub avoid: Vec<id::Target>,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes to an engine now.
    Place(Placement),
    /// It is refused; the work before it takes this long.
    Refuse(Duration),
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Engine that reads the prompt.
    pub prefill_engine: Choice,
    /// Engine that generates, if another than the reader.
    pub decode_engine: Option<Key>,
}

/// Requests of all hosts that wait to be placed.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<(id::Host, RequestNumber), QueuedRequest>,
    late_share: LateShare,
}

/// Tokens placed lately, of requests on time and of late ones.
#[derive(Debug, Default)]
struct LateShare {
    all: f64,
    late: f64,
}

impl LateShare {
    fn count(&mut self, tokens: u64, is_late: bool) {
        let tokens = tokens as f64;
        self.all = self.all * SHARE_DECAY + tokens;
        self.late = self.late * SHARE_DECAY + if is_late { tokens } else { 0.0 };
    }

    /// Returns whether late requests have had less than their share.
    fn late_is_due(&self) -> bool {
        self.late < LATE_SHARE * self.all
    }
}

#[derive(Debug)]
struct QueuedRequest {
    request: Request,
    arrived: Moment,
}

impl QueuedRequest {
    fn latency_budget(&self, now: Moment) -> LatencyBudget {
        let elapsed = self.request.elapsed + now.saturating_sub(self.arrived);
        LatencyBudget { objective: self.request.objective, elapsed }
    }

    /// Returns its place in the queue; the lowest goes first.
    ///
    /// What is late gets what the others leave. A request too large to be on time even alone is not
    /// late but has the objective to start in, so that size alone does not starve it. A stream that
    /// broke off goes first: its caller waits within the answer.
    fn sort_key(&self, latency_model: &LatencyModel, now: Moment) -> (bool, Moment, u8) {
        if self.request.resumes {
            return (false, Moment::ZERO, self.request.priority);
        }
        let min_time = latency_model.min_first_event_time(&self.request.prompt);
        let fresh = LatencyBudget { objective: self.request.objective, elapsed: Duration::ZERO };
        if fresh.slack(min_time).is_none() {
            return (false, self.arrived + self.request.objective, self.request.priority);
        }
        match self.latency_budget(now).slack(min_time) {
            Some(left) => (false, now + left, self.request.priority),
            None => (true, self.arrived + self.request.max_wait, self.request.priority),
        }
    }
}

impl Queue {
    /// Adds a request.
    pub fn add(&mut self, host: id::Host, request: Request, now: Moment) {
        let key = (host, request.number);
        self.waiting.insert(key, QueuedRequest { request, arrived: now });
    }

    /// Returns whether a request waits.
    pub fn contains(&self, host: &id::Host, number: RequestNumber) -> bool {
        self.waiting.contains_key(&(host.clone(), number))
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Drops the requests of a host.
    pub fn remove_host(&mut self, host: &id::Host) {
        self.waiting.retain(|(it, _), _| it != host);
    }

    /// Returns the services for which requests wait.
    pub fn services(&self) -> BTreeSet<id::Service> {
        self.waiting.values().map(|it| it.request.service.clone()).collect()
    }

    /// Takes the requests that start now or are refused, and counts them in `fleets`.
    pub fn decide(
        &mut self,
        fleets: &mut HashMap<id::Service, Fleet>,
        cache: &prefix_cache::Index,
        now: Moment,
    ) -> Vec<DecidedRequest> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .filter_map(|(key, it)| {
                let fleet = fleets.get(&it.request.service)?;
                Some((it.sort_key(&fleet.latency_model, now), key.clone()))
            })
            .collect();
        let late_first = self.late_share.late_is_due();
        order.sort_by_key(|((is_late, start, priority), key)| {
            (*is_late != late_first, *start, *priority, key.clone())
        });
        let mut decided = Vec::new();
        for ((is_late, ..), key) in order {
            let Some(waiting) = self.waiting.get(&key) else { continue };
            let Some(fleet) = fleets.get_mut(&waiting.request.service) else { continue };
            let decision = fleet.decide(waiting, cache, now);
            let Some(decision) = decision else { continue };
            if matches!(decision, Decision::Place(_)) {
                self.late_share.count(waiting.request.prompt.unshared_tokens(), is_late);
            }
            if let Some(waiting) = self.waiting.remove(&key) {
                decided.push(DecidedRequest { host: key.0, request: waiting.request, decision });
            }
        }
        decided
    }
}

/// A request about which something was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedRequest {
    /// Host that asked.
    pub host: id::Host,
    /// The request.
    pub request: Request,
    /// What becomes of it.
    pub decision: Decision,
}

/// Engines of a service with the work that they have.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Times that the engines take.
    pub latency_model: LatencyModel,
    /// The engines.
    pub engines: Vec<Engine>,
}

/// An engine with the work that it has.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Key in the registry.
    pub key: Key,
    /// Identity.
    pub id: id::Target,
    /// What it does.
    pub stage: Stage,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens of its memory.
    pub memory_tokens: u64,
    /// Work of all hosts.
    pub work: Work,
    /// Share of recent requests that failed there.
    pub failure_rate: f64,
    /// How many times slower it is than the others.
    pub slowness: f64,
}

impl Engine {
    /// Returns what it would be for a prompt.
    pub fn candidate(
        &self,
        prompt: &Prompt,
        cache: &prefix_cache::Index,
        latency_model: &LatencyModel,
    ) -> Candidate {
        let missing_tokens = cache.missing_tokens(self.key, prompt);
        let shared_tokens = prompt.tokens - prompt.unshared_tokens();
        Candidate {
            key: self.key,
            stage: self.stage,
            rendezvous_hash: balancer::rendezvous_hash(&self.id, prompt.affinity_key()),
            is_home: false,
            queued_tokens: self.work.prompt_tokens,
            missing_tokens: latency_model.weighted_tokens(prompt, missing_tokens),
            shared_tokens,
            missing_shared_tokens: missing_tokens
                .saturating_sub(prompt.unshared_tokens())
                .min(shared_tokens),
            requests: self.work.requests,
            slots: self.slots,
            used_memory_tokens: self.work.memory_tokens,
            memory_tokens: self.memory_tokens,
            needed_memory_tokens: prompt.tokens + prompt.max_output_tokens,
            failure_rate: self.failure_rate,
            slowness: self.slowness,
        }
    }
}

impl Fleet {
    /// Returns the engines for a request.
    pub fn candidates(&self, request: &Request, cache: &prefix_cache::Index) -> Vec<Candidate> {
        let eligible = self.engines.iter().filter(|it| !request.avoid.contains(&it.id));
        let mut candidates: Vec<Candidate> =
            eligible.map(|it| it.candidate(&request.prompt, cache, &self.latency_model)).collect();
        engine::mark_homes(&mut candidates);
        candidates
    }

    /// Returns whether an engine can take one more prompt now.
    fn accepts_prompt(&self, key: Key) -> bool {
        let engine = self.engines.iter().find(|it| it.key == key);
        engine.is_some_and(|it| {
            let reading = self.latency_model.prefill_time(it.stage, it.work.prompt_tokens);
            reading.mul_f64(it.slowness) <= MAX_ENGINE_BACKLOG
        })
    }

    /// Decides about one request.
    ///
    /// One that waits for a busy engine is counted there, so that those behind it see its work: a
    /// short wait for the engine whose cache holds the prompt's beginning beats reading it again.
    fn decide(
        &mut self,
        waiting: &QueuedRequest,
        cache: &prefix_cache::Index,
        now: Moment,
    ) -> Option<Decision> {
        let candidates = self.candidates(&waiting.request, cache);
        let placement = place(&candidates, &self.latency_model, waiting.latency_budget(now));
        if let Some(placement) = placement {
            let is_open = self.accepts_prompt(placement.prefill_engine.key);
            self.count(&waiting.request, placement, cache);
            if is_open {
                return Some(Decision::Place(placement));
            }
        }
        let waited = now.saturating_sub(waiting.arrived);
        let patience = waiting.request.max_wait.saturating_sub(waited);
        let ahead = placement.map_or(patience, |it| {
            it.prefill_engine.estimate.wait.saturating_sub(MAX_ENGINE_BACKLOG)
        });
        (patience < ahead || patience.is_zero()).then_some(Decision::Refuse(ahead))
    }

    fn count(&mut self, request: &Request, placement: Placement, cache: &prefix_cache::Index) {
        for (key, work) in placement.work(&request.prompt, cache, &self.latency_model) {
            if let Some(engine) = self.engines.iter_mut().find(|it| it.key == key) {
                engine.work = engine.work.plus(work);
            }
        }
    }
}

impl Placement {
    /// Returns the work that a prompt brings to the engines.
    pub fn work(
        &self,
        prompt: &Prompt,
        cache: &prefix_cache::Index,
        latency_model: &LatencyModel,
    ) -> Vec<(Key, Work)> {
        let memory_tokens = prompt.tokens + prompt.max_output_tokens;
        let prompt_tokens = latency_model
            .weighted_tokens(prompt, cache.missing_tokens(self.prefill_engine.key, prompt));
        let prefill_engine =
            (self.prefill_engine.key, Work { requests: 1, prompt_tokens, memory_tokens });
        let decode_engine = Work { requests: 1, prompt_tokens: 0, memory_tokens };
        [prefill_engine]
            .into_iter()
            .chain(self.decode_engine.map(|key| (key, decode_engine)))
            .collect()
    }
}

/// Returns the cheapest placement, if there is room for one.
pub fn place(
    candidates: &[Candidate],
    latency_model: &LatencyModel,
    latency_budget: LatencyBudget,
) -> Option<Placement> {
    let decode_engine = engine::choose_decode_engine(candidates);
    let readers =
        candidates.iter().filter(|it| it.stage == Stage::Decode || decode_engine.is_some());
    let readers: Vec<Candidate> = readers.copied().collect();
    let prefill_engine = engine::choose(&readers, latency_model, latency_budget)?;
    let decode_engine = decode_engine.filter(|_| prefill_engine.stage == Stage::Prefill);
    Some(Placement { prefill_engine, decode_engine })
}

/// What a dispatcher tells the host that asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request waits.
    Queued,
    /// It goes to these engines; the grant's number tells which grants a host has seen.
    Granted {
        /// Number of the grant among those to this host.
        grant: u64,
        /// Engine that reads the prompt.
        prefill_engine: id::Target,
        /// Engine that generates, if another.
        decode_engine: Option<id::Target>,
        /// How long it would take.
        estimate: Estimate,
        /// Tokens that the reader reads before this prompt.
        queued_tokens: u64,
        /// Tokens of this prompt that the reader lacks.
        missing_tokens: u64,
    },
    /// It is refused; the work before it takes this long.
    Refused(Duration),
}
