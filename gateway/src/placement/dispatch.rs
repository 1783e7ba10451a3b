//! Central queue that places the prompts of all hosts on the engines.
//!
//! If each host placed its own prompts, several hosts would see an engine become idle at the same
//! time and all send to it. Instead one host, the dispatcher, places the prompts of all hosts. It
//! keeps only a short backlog at each engine and the rest in one queue: first the requests that can
//! still be on time, ordered by the latest time at which they must start and then by priority; then
//! those that are already late. Where the callers have accounts, requests beyond their account's share
//! go after those within ([`crate::placement::share`]). Placement is an optimisation and needs no consensus: hosts that
//! can't reach the dispatcher place their prompts themselves.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::{
    entry::prompt::Prompt,
    placement::{
        balancer,
        engine::{self, Candidate, Choice, Estimate, Fetch, LatencyBudget, LatencyModel},
        load::Work,
        prefix_cache, share,
        shortlist::{Affinity, Ranking},
    },
    targets::{registry::Key, target::Stage},
};

/// Number that identifies a request at the host that received it from its caller.
pub type RequestNumber = u64;

/// Longest prefill time queued at an engine with which it still gets another prompt, so that it
/// doesn't idle between two prompts.
const MAX_ENGINE_BACKLOG: Duration = Duration::from_millis(30);

/// Smallest share of the recently placed tokens that goes to late requests, so that requests on
/// time don't starve them.
const LATE_SHARE: f64 = 0.15;
/// Factor by which the counts of recently placed tokens decay with each placement.
const SHARE_DECAY: f64 = 0.99;

/// Most engines that are compared as sources of a prompt's shared parts.
const MAX_SOURCES: usize = 8;
/// Fewest shared tokens that are worth a search for a source.
const MIN_FETCHED_TOKENS: u64 = 1000;
/// Failure rate from which nothing is fetched from an engine.
const MAX_SOURCE_FAILURE_RATE: f64 = 0.2;

/// An engine that holds the shared parts of a prompt.
#[derive(Debug, Clone, Copy)]
struct Source {
    key: Key,
    version: u16,
    /// Tokens of the leading parts that it holds.
    tokens: u64,
}

impl Source {
    /// Returns whether an engine can fetch from this one; what two software versions compute does not
    /// fit together.
    fn serves(&self, engine: &Candidate) -> bool {
        self.key != engine.key && self.version == engine.version
    }
}

/// A request to be placed on the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number at the requesting host.
    pub number: RequestNumber,
    /// Service that runs it.
    pub service: id::Service,
    /// Parts and sizes of the prompt.
    pub prompt: Prompt,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time from the caller's first attempt within which the first event is on time.
    pub objective: Duration,
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
    /// Longest time that it may be queued.
    pub max_wait: Duration,
    /// Whether it resumes a stream of which the caller already has a part.
    pub resumes: bool,
    /// Engines that already failed this request, or that its host considers unhealthy.
    pub avoid: Vec<id::Target>,
    /// Software version that the engines must have; `None` for any.
    pub version: Option<id::SoftwareVersion>,
    /// Client account of the caller, which follows the request on the wire only if there is one.
    #[serde(skip)]
    pub account: Option<id::Account>,
}

impl Request {
    /// Returns whether an engine has the software version that the request needs.
    fn has_version(&self, engine: &Engine) -> bool {
        self.version.is_none() || self.version == engine.software_version
    }

    /// Returns whether the request may go to an engine.
    pub(crate) fn allows(&self, engine: &Engine) -> bool {
        self.has_version(engine) && !self.avoid.contains(&engine.id)
    }
}

/// What the dispatcher decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now.
    Place(Placement),
    /// The request is refused, with the time that the work queued before it takes.
    Refuse(Duration),
}

/// Engines that run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Engine that prefills the prompt; a decode engine also generates.
    pub prefill_engine: Choice,
    /// Engine that generates, if another than the prefill engine.
    pub decode_engine: Option<Key>,
    /// What the prefill engine fetches from another one first.
    pub fetch: Option<Fetch>,
}

/// Queue of the requests of all hosts that are to be placed.
#[derive(Debug, Default)]
pub struct Queue {
    requests: BTreeMap<(id::Host, RequestNumber), QueuedRequest>,
    late_share: LateShare,
    /// Homes of the prompts, by service.
    homes: HashMap<id::Service, Affinity>,
    /// What the accounts got, by service; none before a caller with an account has come.
    shares: HashMap<id::Service, share::Tracker>,
}

/// Recently placed tokens, of all requests and of late ones, with exponential decay.
#[derive(Debug, Default)]
struct LateShare {
    all: f64,
    late: f64,
}

impl LateShare {
    fn record_placement(&mut self, tokens: u64, is_late: bool) {
        let tokens = tokens as f64;
        self.all = self.all * SHARE_DECAY + tokens;
        self.late = self.late * SHARE_DECAY + if is_late { tokens } else { 0.0 };
    }

    /// Returns whether late requests got less than their share.
    fn is_late_due(&self) -> bool {
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

    /// Returns whether a placed request is expected to be late, and wouldn't be if there had been no
    /// work before it.
    fn is_held_up(&self, decision: Decision, now: Moment) -> bool {
        let Decision::Place(placement) = decision else { return false };
        let Estimate { queue_time, first_event } = placement.prefill_engine.estimate;
        let elapsed = self.request.elapsed;
        let held_up = now.saturating_sub(self.arrived) + queue_time;
        let own = elapsed + first_event.saturating_sub(queue_time);
        (own..own + held_up).contains(&self.request.objective)
    }

    /// Returns the tokens whose engine time the request takes: those of its prompt that no other
    /// request shares, and those that are generated.
    fn tokens(&self) -> u64 {
        let prompt = &self.request.prompt;
        prompt.unshared_tokens() + prompt.max_output_tokens
    }

    /// Returns the sort key in the queue: whether the request is late, the latest start and the
    /// priority.
    ///
    /// A late request is sorted by the end of its longest wait instead. A request whose prompt is
    /// too large to be on time even on an idle engine doesn't count as late, but has the full
    /// objective to start in, so that large prompts don't starve. An interrupted stream goes first,
    /// since its caller is in the middle of an answer.
    fn sort_key(&self, latency_model: &LatencyModel, now: Moment) -> (bool, Moment, u8) {
        if self.request.resumes {
            return (false, Moment::ZERO, self.request.priority);
        }
        let min_time = latency_model.min_first_event_time(&self.request.prompt);
        let full_budget =
            LatencyBudget { objective: self.request.objective, elapsed: Duration::ZERO };
        if full_budget.slack(min_time).is_none() {
            return (false, self.arrived + self.request.objective, self.request.priority);
        }
        match self.latency_budget(now).slack(min_time) {
            Some(slack) => (false, now + slack, self.request.priority),
            None => (true, self.arrived + self.request.max_wait, self.request.priority),
        }
    }
}

impl Queue {
    /// Adds a request of a host.
    pub fn add(&mut self, host: id::Host, request: Request, now: Moment) {
        let key = (host, request.number);
        let queued = QueuedRequest { request, arrived: now };
        let QueuedRequest { request, .. } = &queued;
        if request.account.is_some() && !self.shares.contains_key(&request.service) {
            self.shares.insert(request.service.clone(), share::Tracker::default());
        }
        if let Some(tracker) = self.shares.get_mut(&request.service) {
            tracker.record_offer(&request.account, queued.tokens(), now);
        }
        self.requests.insert(key, queued);
    }

    /// Returns whether a request is queued.
    pub fn contains(&self, host: &id::Host, number: RequestNumber) -> bool {
        self.requests.contains_key(&(host.clone(), number))
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes the requests of a host.
    pub fn remove_host(&mut self, host: &id::Host) {
        self.requests.retain(|(it, _), _| it != host);
    }

    /// Returns the services with queued requests.
    pub fn services(&self) -> BTreeSet<id::Service> {
        self.requests.values().map(|it| it.request.service.clone()).collect()
    }

    /// Removes and refuses the requests of a service that has no engine left for them.
    pub fn refuse_service(&mut self, service: &id::Service) -> Vec<DecidedRequest> {
        let of_service = self.requests.iter().filter(|(_, it)| it.request.service == *service);
        let keys: Vec<_> = of_service.map(|(key, _)| key.clone()).collect();
        let refused = keys.into_iter().filter_map(|key| {
            let QueuedRequest { request, .. } = self.requests.remove(&key)?;
            let decision = Decision::Refuse(Duration::ZERO);
            let (is_held_up, is_excess) = (false, false);
            Some(DecidedRequest { host: key.0, request, decision, is_held_up, is_excess })
        });
        refused.collect()
    }

    /// Removes and returns the requests that start now or are refused.
    ///
    /// Adds the work of the placed and of the queued requests to the engines in `fleets`.
    pub fn decide(
        &mut self,
        fleets: &mut HashMap<id::Service, Fleet>,
        cache: &prefix_cache::Index,
        now: Moment,
    ) -> Vec<DecidedRequest> {
        let Queue { requests, late_share, homes, shares } = self;
        let mut order: Vec<_> = requests
            .iter()
            .filter_map(|(key, it)| {
                let fleet = fleets.get(&it.request.service)?;
                Some((it.sort_key(&fleet.latency_model, now), key.clone()))
            })
            .collect();
        let late_first = late_share.is_late_due();
        order.sort_unstable_by(|((a_late, a_start, a_priority), a), (b_sort_key, b)| {
            let (b_late, b_start, b_priority) = b_sort_key;
            let a_sort_key = (*a_late != late_first, a_start, a_priority, a);
            a_sort_key.cmp(&(*b_late != late_first, b_start, b_priority, b))
        });
        let excess = find_excess(&order, requests, shares, now);
        order.sort_by_key(|((is_late, ..), key)| (*is_late != late_first, excess.contains(key)));
        let runs = fleets.iter_mut().map(|(service, fleet)| {
            let homes = homes.remove(service).unwrap_or_default();
            (service.clone(), Run::new(fleet, homes))
        });
        let mut runs: HashMap<id::Service, Run> = runs.collect();
        let mut decided = Vec::new();
        for ((is_late, ..), key) in order {
            let Some(queued) = requests.get(&key) else { continue };
            let Some(run) = runs.get_mut(&queued.request.service) else { continue };
            let decision = run.decide(queued, cache, now);
            let Some(decision) = decision else { continue };
            if matches!(decision, Decision::Place(_)) {
                late_share.record_placement(queued.request.prompt.unshared_tokens(), is_late);
                if let Some(tracker) = shares.get_mut(&queued.request.service) {
                    tracker.record_placement(&queued.request.account, queued.tokens(), now);
                }
            }
            if let Some(queued) = requests.remove(&key) {
                let is_held_up = queued.is_held_up(decision, now);
                let is_excess = excess.contains(&key);
                let request = queued.request;
                let host = key.0;
                decided.push(DecidedRequest { host, request, decision, is_held_up, is_excess });
            }
        }
        homes.extend(runs.into_iter().map(|(service, run)| (service, run.homes)));
        decided
    }
}

/// Sort key in the queue, and identity of the request.
type Entry = ((bool, Moment, u8), (id::Host, RequestNumber));

/// Returns the requests with which an account gets more than its share, given the order in which they
/// would be served.
fn find_excess(
    order: &[Entry],
    requests: &BTreeMap<(id::Host, RequestNumber), QueuedRequest>,
    shares: &mut HashMap<id::Service, share::Tracker>,
    now: Moment,
) -> BTreeSet<(id::Host, RequestNumber)> {
    let queued = || order.iter().filter_map(|(_, key)| Some((key, requests.get(key)?)));
    let mut excess = BTreeSet::new();
    for (service, tracker) in shares {
        let of_service = queued().filter(|(_, it)| it.request.service == *service);
        let (keys, waiting): (Vec<_>, Vec<_>) = of_service
            .filter(|(_, it)| !it.request.resumes)
            .map(|(key, it)| (key, (&it.request.account, it.tokens())))
            .unzip();
        let flags = tracker.find_excess(&waiting, now);
        excess
            .extend(keys.into_iter().zip(flags).filter(|(_, it)| *it).map(|(key, _)| key.clone()));
    }
    excess
}

/// A request taken from the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedRequest {
    /// Host that sent the request.
    pub host: id::Host,
    /// The request.
    pub request: Request,
    /// What the dispatcher decided.
    pub decision: Decision,
    /// Whether it is placed so late that it misses its objective because of the work before it.
    pub is_held_up: bool,
    /// Whether its account got more than its share with it.
    pub is_excess: bool,
}

/// Engines of a service with their load.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Measured latencies of the engines.
    pub latency_model: LatencyModel,
    /// The engines.
    pub engines: Vec<Engine>,
}

/// An engine with its load.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Key in the registry.
    pub key: Key,
    /// Identity of the target.
    pub id: id::Target,
    /// Stage that the engine runs.
    pub stage: Stage,
    /// Data centre of the engine, as an index into those of its service.
    pub data_centre: u16,
    /// Software version of the engine, as an index into those of its service.
    pub version: u16,
    /// Software version of the engine, if it announces one.
    pub software_version: Option<id::SoftwareVersion>,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
    /// KV cache memory, in tokens.
    pub kv_capacity_tokens: u64,
    /// Work of all hosts in flight there.
    pub work: Work,
    /// Share of recent requests that failed there, from 0 to 1.
    pub failure_rate: f64,
    /// Factor by which it is slower than the other engines of its stage; 1 if it isn't.
    pub slowness: f64,
}

impl Engine {
    /// Returns the engine as a candidate for a prompt, without its rendezvous hash.
    fn candidate(
        &self,
        prompt: &Prompt,
        cache: &prefix_cache::Index,
        latency_model: &LatencyModel,
    ) -> Candidate {
        let missing_tokens = cache.missing_tokens(self.key, prompt);
        let shared_tokens = prompt.tokens - prompt.unshared_tokens();
        Candidate {
            missing_tokens: latency_model.weighted_tokens(prompt, missing_tokens),
            shared_tokens,
            missing_shared_tokens: missing_tokens
                .saturating_sub(prompt.unshared_tokens())
                .min(shared_tokens),
            needed_kv_tokens: prompt.tokens + prompt.max_output_tokens,
            ..self.without_prompt()
        }
    }

    /// Returns the engine as a candidate for a prompt without tokens.
    pub(crate) fn without_prompt(&self) -> Candidate {
        Candidate {
            key: self.key,
            stage: self.stage,
            data_centre: self.data_centre,
            version: self.version,
            rendezvous_hash: 0,
            is_home: false,
            queued_tokens: self.work.prompt_tokens,
            missing_tokens: 0,
            shared_tokens: 0,
            missing_shared_tokens: 0,
            requests: self.work.requests,
            slots: self.slots,
            used_kv_tokens: self.work.kv_tokens,
            kv_capacity_tokens: self.kv_capacity_tokens,
            needed_kv_tokens: 0,
            failure_rate: self.failure_rate,
            slowness: self.slowness,
            fetch: None,
        }
    }
}

impl Fleet {
    /// Returns the engines that a request may go to, with the homes of its prompt marked.
    pub fn candidates(&self, request: &Request, cache: &prefix_cache::Index) -> Vec<Candidate> {
        let eligible = self.engines.iter().filter(|it| request.allows(it));
        let part = request.prompt.affinity_key();
        let mut candidates: Vec<Candidate> = eligible
            .map(|it| Candidate {
                rendezvous_hash: balancer::rendezvous_hash(&it.id, part),
                ..it.candidate(&request.prompt, cache, &self.latency_model)
            })
            .collect();
        engine::mark_homes(&mut candidates);
        candidates
    }
}

/// One run of the dispatcher over a fleet.
#[derive(Debug)]
struct Run<'a> {
    fleet: &'a mut Fleet,
    ranking: Ranking,
    homes: Affinity,
}

impl<'a> Run<'a> {
    fn new(fleet: &'a mut Fleet, mut homes: Affinity) -> Run<'a> {
        homes.set_engines(&fleet.engines);
        let ranking = Ranking::new(&fleet.engines, &fleet.latency_model);
        Run { fleet, ranking, homes }
    }

    /// Returns the engines that can be the best choice for a request.
    fn candidates(&mut self, request: &Request, cache: &prefix_cache::Index) -> Vec<Candidate> {
        let Fleet { engines, latency_model } = &*self.fleet;
        let prompt = &request.prompt;
        let part = prompt.affinity_key();
        let homes = self.homes.homes(engines, part, request);
        let kv_tokens = prompt.tokens + prompt.max_output_tokens;
        let is_avoided =
            |position: usize| engines.get(position).is_some_and(|it| !request.allows(it));
        let shortlist = self.ranking.shortlist(kv_tokens, homes, cache.holders(part), is_avoided);
        let engines = shortlist.into_iter().filter_map(|position| engines.get(position));
        let candidates = engines.map(|it| Candidate {
            is_home: homes.contains(&Some(it.key)),
            ..it.candidate(prompt, cache, latency_model)
        });
        candidates.collect()
    }

    /// Returns the best placement. Only if its engine would have to read shared parts that others
    /// hold, engines may fetch these.
    fn place(
        &mut self,
        queued: &QueuedRequest,
        cache: &prefix_cache::Index,
        now: Moment,
    ) -> Option<Placement> {
        let request = &queued.request;
        let mut candidates = self.candidates(request, cache);
        let latency_model = self.fleet.latency_model;
        let latency_budget = queued.latency_budget(now);
        let placement = place(&candidates, &latency_model, latency_budget)?;
        let key = placement.prefill_engine.key;
        let missing = candidates.iter().find(|it| it.key == key)?.missing_shared_tokens;
        if missing < MIN_FETCHED_TOKENS {
            return Some(placement);
        }
        let sources = self.sources(request.prompt.affinity_key(), &request.prompt, cache);
        if sources.is_empty() {
            return Some(placement);
        }
        for candidate in &mut candidates {
            let serving = sources.iter().filter(|it| it.serves(candidate));
            if let Some(source) = serving.max_by_key(|it| it.tokens) {
                *candidate = candidate.with_source(
                    source.key,
                    source.tokens,
                    &request.prompt,
                    &latency_model,
                );
            }
        }
        place(&candidates, &latency_model, latency_budget)
    }

    /// Returns the engines from which another one can fetch the shared parts of a prompt.
    fn sources(&self, part: &str, prompt: &Prompt, cache: &prefix_cache::Index) -> Vec<Source> {
        let shared_parts = prompt.shared_parts();
        let holders = cache.holders(part).iter().take(MAX_SOURCES).copied();
        let sources = holders.filter_map(|key| {
            let engine = self.fleet.engines.get(self.ranking.position(key)?)?;
            let tokens = cache.fetchable_tokens(key, shared_parts);
            let is_usable = 0 < tokens && engine.failure_rate < MAX_SOURCE_FAILURE_RATE;
            is_usable.then_some(Source { key, version: engine.version, tokens })
        });
        sources.collect()
    }

    /// Returns whether an engine's backlog is short enough for one more prompt.
    fn accepts_prompt(&self, key: Key) -> bool {
        let engine = self.ranking.position(key).and_then(|it| self.fleet.engines.get(it));
        engine.is_some_and(|it| {
            let backlog = self.fleet.latency_model.prefill_time(it.stage, it.work.prompt_tokens);
            backlog.mul_f64(it.slowness) <= MAX_ENGINE_BACKLOG
        })
    }

    /// Decides whether a request is placed, refused or stays queued (`None`).
    ///
    /// The work of a request that stays queued for a busy engine is added to this engine, so that
    /// later requests take it into account: a short wait for the engine whose cache holds the
    /// prompt's prefix is better than prefilling the prefix again elsewhere.
    fn decide(
        &mut self,
        queued: &QueuedRequest,
        cache: &prefix_cache::Index,
        now: Moment,
    ) -> Option<Decision> {
        let placement = self.place(queued, cache, now);
        if let Some(placement) = placement {
            let starts_now = self.accepts_prompt(placement.prefill_engine.key);
            self.add_work(&queued.request, placement, cache);
            if starts_now {
                return Some(Decision::Place(placement));
            }
        }
        if !self.fleet.engines.iter().any(|it| queued.request.has_version(it)) {
            return Some(Decision::Refuse(Duration::ZERO));
        }
        let waited = now.saturating_sub(queued.arrived);
        let remaining_wait = queued.request.max_wait.saturating_sub(waited);
        let queue_time = placement.map_or(remaining_wait, |it| {
            it.prefill_engine.estimate.queue_time.saturating_sub(MAX_ENGINE_BACKLOG)
        });
        (remaining_wait < queue_time || remaining_wait.is_zero())
            .then_some(Decision::Refuse(queue_time))
    }

    fn add_work(&mut self, request: &Request, placement: Placement, cache: &prefix_cache::Index) {
        let Fleet { engines, latency_model } = &mut *self.fleet;
        for (key, work) in placement.work(&request.prompt, cache, latency_model) {
            let Some(position) = self.ranking.position(key) else { continue };
            let Some(engine) = engines.get_mut(position) else { continue };
            engine.work = engine.work.plus(work);
            self.ranking.update(position, engine, latency_model);
        }
    }
}

impl Placement {
    /// Returns the tokens of a prompt that the prefill engine has to read, at least 1.
    pub fn missing_tokens(&self, prompt: &Prompt, cache: &prefix_cache::Index) -> u64 {
        let missing_tokens = cache.missing_tokens(self.prefill_engine.key, prompt);
        missing_tokens.saturating_sub(self.fetch.map_or(0, |it| it.tokens)).max(1)
    }

    /// Returns the work that a prompt adds to each engine.
    pub fn work(
        &self,
        prompt: &Prompt,
        cache: &prefix_cache::Index,
        latency_model: &LatencyModel,
    ) -> Vec<(Key, Work)> {
        let kv_tokens = prompt.tokens + prompt.max_output_tokens;
        let prompt_tokens =
            latency_model.weighted_tokens(prompt, self.missing_tokens(prompt, cache));
        let prefill_work =
            (self.prefill_engine.key, Work { requests: 1, prompt_tokens, kv_tokens });
        let decode_work = Work { requests: 1, prompt_tokens: 0, kv_tokens };
        [prefill_work].into_iter().chain(self.decode_engine.map(|key| (key, decode_work))).collect()
    }
}

/// Returns the placement with the lowest cost; `None` if no engine has room.
pub fn place(
    candidates: &[Candidate],
    latency_model: &LatencyModel,
    latency_budget: LatencyBudget,
) -> Option<Placement> {
    let decode_engines = candidates.iter().filter(|it| it.stage == Stage::Decode && it.has_room());
    let decode_versions: BTreeSet<u16> = decode_engines.map(|it| it.version).collect();
    let prefill_candidates = candidates
        .iter()
        .filter(|it| it.stage == Stage::Decode || decode_versions.contains(&it.version));
    let prefill_candidates: Vec<Candidate> = prefill_candidates.copied().collect();
    let prefill_engine = engine::choose(&prefill_candidates, latency_model, latency_budget)?;
    let chosen = candidates.iter().find(|it| it.key == prefill_engine.key)?;
    let decode_engine = match prefill_engine.stage {
        Stage::Prefill => engine::choose_decode_engine(candidates, chosen),
        Stage::Decode => None,
    };
    Some(Placement { prefill_engine, decode_engine, fetch: chosen.fetch })
}

/// Reply of the dispatcher to the requesting host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request is queued; another reply follows.
    Queued,
    /// The request may go to these engines.
    Granted {
        /// Number of the grant, which the host acknowledges in its reports of work.
        grant: u64,
        /// Engine that prefills the prompt.
        prefill_engine: id::Target,
        /// Engine that generates, if another than the prefill engine.
        decode_engine: Option<id::Target>,
        /// Expected latencies.
        estimate: Estimate,
        /// Tokens queued at the prefill engine before this prompt.
        queued_tokens: u64,
        /// Tokens of this prompt that are not in the prefill engine's prefix cache.
        missing_tokens: u64,
        /// Engine from which the prefill engine first fetches what it lacks; follows the reply on
        /// the wire only if there is one.
        #[serde(skip)]
        source: Option<id::Target>,
    },
    /// The request is refused, with the time that the work queued before it takes.
    Refused(Duration),
}
