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
    cache::Cache,
    choice,
    engine::{self, Candidate, Choice, Estimate, Standing, Times},
    load::Work,
    prompt::Prompt,
    registry::Key,
    target::Stage,
};

/// Number of a request at the host that asks.
pub type Number = u64;

/// Work that is kept waiting at an engine, so that it never idles between two prompts.
const RUN_AHEAD: Duration = Duration::from_millis(30);

/// Part of the tokens that goes to late requests when others would take everything.
const LATE_SHARE: f64 = 0.15;
/// Part that is kept of the tokens placed lately with each further placement.
const SHARES_KEPT: f64 = 0.99;

/// A request that is to be placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number at the host that asks.
    pub number: Number,
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
    pub patience: Duration,
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
    pub reader: Choice,
    /// Engine that generates, if another than the reader.
    pub generator: Option<Key>,
}

/// Requests of all hosts that wait to be placed.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<(id::Host, Number), Waiting>,
    shares: Shares,
}

/// Tokens placed lately, of requests on time and of late ones.
#[derive(Debug, Default)]
struct Shares {
    all: f64,
    late: f64,
}

impl Shares {
    fn count(&mut self, tokens: u64, is_late: bool) {
        let tokens = tokens as f64;
        self.all = self.all * SHARES_KEPT + tokens;
        self.late = self.late * SHARES_KEPT + if is_late { tokens } else { 0.0 };
    }

    /// Returns whether late requests have had less than their share.
    fn late_is_due(&self) -> bool {
        self.late < LATE_SHARE * self.all
    }
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    arrived: Moment,
}

impl Waiting {
    fn standing(&self, now: Moment) -> Standing {
        let elapsed = self.ask.elapsed + now.saturating_sub(self.arrived);
        Standing { objective: self.ask.objective, elapsed }
    }

    /// Returns its place in the queue; the lowest goes first.
    ///
    /// What is late gets what the others leave. A request too large to be on time even alone is not
    /// late but has the objective to start in, so that size alone does not starve it. A stream that
    /// broke off goes first: its caller waits within the answer.
    fn order(&self, times: &Times, now: Moment) -> (bool, Moment, u8) {
        if self.ask.resumes {
            return (false, Moment::ZERO, self.ask.priority);
        }
        let least = times.least(&self.ask.prompt);
        let fresh = Standing { objective: self.ask.objective, elapsed: Duration::ZERO };
        if fresh.left(least).is_none() {
            return (false, self.arrived + self.ask.objective, self.ask.priority);
        }
        match self.standing(now).left(least) {
            Some(left) => (false, now + left, self.ask.priority),
            None => (true, self.arrived + self.ask.patience, self.ask.priority),
        }
    }
}

impl Queue {
    /// Adds a request.
    pub fn add(&mut self, host: id::Host, ask: Ask, now: Moment) {
        let key = (host, ask.number);
        self.waiting.insert(key, Waiting { ask, arrived: now });
    }

    /// Returns whether a request waits.
    pub fn waits(&self, host: &id::Host, number: Number) -> bool {
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
    pub fn forget(&mut self, host: &id::Host) {
        self.waiting.retain(|(it, _), _| it != host);
    }

    /// Returns the services for which requests wait.
    pub fn services(&self) -> BTreeSet<id::Service> {
        self.waiting.values().map(|it| it.ask.service.clone()).collect()
    }

    /// Takes the requests that start now or are refused, and counts them in `fleets`.
    pub fn decide(
        &mut self,
        fleets: &mut HashMap<id::Service, Fleet>,
        cache: &Cache,
        now: Moment,
    ) -> Vec<Decided> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .filter_map(|(key, it)| {
                let fleet = fleets.get(&it.ask.service)?;
                Some((it.order(&fleet.times, now), key.clone()))
            })
            .collect();
        let late_first = self.shares.late_is_due();
        order.sort_by_key(|((is_late, start, priority), key)| {
            (*is_late != late_first, *start, *priority, key.clone())
        });
        let mut decided = Vec::new();
        for ((is_late, ..), key) in order {
            let Some(waiting) = self.waiting.get(&key) else { continue };
            let Some(fleet) = fleets.get_mut(&waiting.ask.service) else { continue };
            let decision = fleet.decide(waiting, cache, now);
            let Some(decision) = decision else { continue };
            if matches!(decision, Decision::Place(_)) {
                self.shares.count(waiting.ask.prompt.unshared_tokens(), is_late);
            }
            if let Some(waiting) = self.waiting.remove(&key) {
                decided.push(Decided { host: key.0, ask: waiting.ask, decision });
            }
        }
        decided
    }
}

/// A request about which something was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decided {
    /// Host that asked.
    pub host: id::Host,
    /// The request.
    pub ask: Ask,
    /// What becomes of it.
    pub decision: Decision,
}

/// Engines of a service with the work that they have.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Times that the engines take.
    pub times: Times,
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
    pub memory: u64,
    /// Work of all hosts.
    pub work: Work,
    /// Share of recent requests that failed there.
    pub failures: f64,
    /// How many times slower it is than the others.
    pub slowness: f64,
}

impl Engine {
    /// Returns what it would be for a prompt.
    pub fn candidate(&self, prompt: &Prompt, cache: &Cache, times: &Times) -> Candidate {
        let missing = cache.missing(self.key, prompt);
        let shared = prompt.tokens - prompt.unshared_tokens();
        Candidate {
            key: self.key,
            stage: self.stage,
            rank: choice::rendezvous(&self.id, prompt.affinity_key()),
            is_home: false,
            unread: self.work.prompt_tokens,
            missing: times.effort(prompt, missing),
            shared,
            shared_missing: missing.saturating_sub(prompt.unshared_tokens()).min(shared),
            requests: self.work.requests,
            slots: self.slots,
            memory_used: self.work.memory_tokens,
            memory: self.memory,
            memory_needed: prompt.tokens + prompt.max_output_tokens,
            failures: self.failures,
            slowness: self.slowness,
        }
    }
}

impl Fleet {
    /// Returns the engines for a request.
    pub fn candidates(&self, ask: &Ask, cache: &Cache) -> Vec<Candidate> {
        let eligible = self.engines.iter().filter(|it| !ask.avoid.contains(&it.id));
        let mut candidates: Vec<Candidate> =
            eligible.map(|it| it.candidate(&ask.prompt, cache, &self.times)).collect();
        engine::mark_homes(&mut candidates);
        candidates
    }

    /// Returns whether an engine can take one more prompt now.
    fn is_open(&self, key: Key) -> bool {
        let engine = self.engines.iter().find(|it| it.key == key);
        engine.is_some_and(|it| {
            let reading = self.times.reading(it.stage, it.work.prompt_tokens);
            reading.mul_f64(it.slowness) <= RUN_AHEAD
        })
    }

    /// Decides about one request.
    ///
    /// One that waits for a busy engine is counted there, so that those behind it see its work: a
    /// short wait for the engine whose cache holds the prompt's beginning beats reading it again.
    fn decide(&mut self, waiting: &Waiting, cache: &Cache, now: Moment) -> Option<Decision> {
        let candidates = self.candidates(&waiting.ask, cache);
        let placement = place(&candidates, &self.times, waiting.standing(now));
        if let Some(placement) = placement {
            let is_open = self.is_open(placement.reader.key);
            self.count(&waiting.ask, placement, cache);
            if is_open {
                return Some(Decision::Place(placement));
            }
        }
        let waited = now.saturating_sub(waiting.arrived);
        let patience = waiting.ask.patience.saturating_sub(waited);
        let ahead =
            placement.map_or(patience, |it| it.reader.estimate.wait.saturating_sub(RUN_AHEAD));
        (patience < ahead || patience.is_zero()).then_some(Decision::Refuse(ahead))
    }

    fn count(&mut self, ask: &Ask, placement: Placement, cache: &Cache) {
        for (key, work) in placement.work(&ask.prompt, cache, &self.times) {
            if let Some(engine) = self.engines.iter_mut().find(|it| it.key == key) {
                engine.work = engine.work.plus(work);
            }
        }
    }
}

impl Placement {
    /// Returns the work that a prompt brings to the engines.
    pub fn work(&self, prompt: &Prompt, cache: &Cache, times: &Times) -> Vec<(Key, Work)> {
        let memory_tokens = prompt.tokens + prompt.max_output_tokens;
        let prompt_tokens = times.effort(prompt, cache.missing(self.reader.key, prompt));
        let reader = (self.reader.key, Work { requests: 1, prompt_tokens, memory_tokens });
        let generator = Work { requests: 1, prompt_tokens: 0, memory_tokens };
        [reader].into_iter().chain(self.generator.map(|key| (key, generator))).collect()
    }
}

/// Returns the cheapest placement, if there is room for one.
pub fn place(candidates: &[Candidate], times: &Times, standing: Standing) -> Option<Placement> {
    let generator = engine::choose_generator(candidates);
    let readers = candidates.iter().filter(|it| it.stage == Stage::Decode || generator.is_some());
    let readers: Vec<Candidate> = readers.copied().collect();
    let reader = engine::choose(&readers, times, standing)?;
    let generator = generator.filter(|_| reader.stage == Stage::Prefill);
    Some(Placement { reader, generator })
}

/// What a dispatcher tells the host that asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request waits.
    Queued,
    /// It goes to these engines; the grant's number tells which grants a host has seen.
    Granted {
        /// Number of the grant among those to this host.
        grant: u64,
        /// Engine that reads the prompt.
        reader: id::Target,
        /// Engine that generates, if another.
        generator: Option<id::Target>,
        /// How long it would take.
        estimate: Estimate,
        /// Tokens that the reader reads before this prompt.
        waiting: u64,
        /// Tokens of this prompt that the reader lacks.
        missing: u64,
    },
    /// It is refused; the work before it takes this long.
    Refused(Duration),
}
