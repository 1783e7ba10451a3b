//! Predicts the latency of a prompt on each engine and chooses the engine with the lowest cost.
//!
//! Under overload, more prompts arrive than the engines can prefill within the latency objective.
//! Requests that can still meet their objective have priority. Late requests get the remaining
//! capacity, and are refused rather than queued when none is expected in time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    entry::prompt::Prompt,
    targets::{registry::Key, target::Stage},
};

/// Weight of the time by which a prefill on a decode engine delays the streams running there, at a
/// pause ratio of 1.
const DECODE_INTERFERENCE_WEIGHT: f64 = 2.5;
/// Weight of the prefill time for shared tokens missing from the engine's cache, which another
/// engine may already hold. If no engine holds them, all engines bear the same cost.
const DUPLICATE_PREFILL_WEIGHT: f64 = 5.0;
/// Share of the prefill time for the shared tokens that is added to the cost of every engine but
/// the prompt's home engine, so that prompts with the same prefix go to the same engine.
const NON_HOME_WEIGHT: f64 = 0.5;
/// Weight of the prefill time for shared tokens that the engine would fetch, since the copy displaces
/// other parts from its cache.
const COPY_WEIGHT: f64 = 1.0;
/// Time added to the estimate of an engine with a failure rate of 1; scales with the failure rate.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);
/// Longest queue time at an engine with which a late request still starts, as a share of the
/// objective.
const LATE_QUEUE_SHARE: f64 = 0.3;
/// Share of the objective within which the first event must be expected for a request to count as
/// on time.
const ON_TIME_SHARE: f64 = 0.9;
/// Longest time that an interrupted stream may be queued before it resumes; callers disconnect
/// after two seconds of silence.
pub const MAX_RESUME_WAIT: Duration = Duration::from_millis(1200);
/// Share of a caller's deadline that a request may spend in the queue.
const QUEUE_DEADLINE_SHARE: f64 = 0.03;

/// Time of a fetch from another engine beside the transfer.
const FETCH_BASE: Duration = Duration::from_millis(15);
/// Multiple of a fetch's time that reading must take for a fetch to be worthwhile; it may have to wait
/// for other transfers.
const FETCH_MARGIN: u32 = 2;
/// Prefill rate of a prefill engine before the first measurement, in tokens per millisecond.
const INITIAL_PREFILL_RATE: f64 = 120.0;
/// Prefill rate of a decode engine, as a share of the rate of a prefill engine.
const DECODE_PREFILL_RATE_SHARE: f64 = 0.3;
/// Weight of the newest measurement in the moving averages.
const EWMA_WEIGHT: f64 = 0.03;
/// Tokens from which a measurement updates the prefill rate; shorter prefills say little about the
/// rate and update the base time instead.
const MIN_RATE_TOKENS: u64 = 4000;
/// Pause ratio before the first measurement.
const INITIAL_PAUSE_RATIO: f64 = 0.4;
/// Largest pause ratio that is counted; longer pauses have other causes than the engine's load.
const MAX_PAUSE_RATIO: f64 = 1.5;
/// Attention cost before the first measurement.
const INITIAL_ATTENTION_COST: f64 = 2e-5;
/// Largest attention cost that is counted; slower prefills have other causes.
const MAX_ATTENTION_COST: f64 = 1e-4;
/// Missing tokens from which a prefill updates the attention cost; shorter prefills say little
/// about it.
const LONG_PROMPT_TOKENS: u64 = 12_000;
/// Weight of the newest long prompt in the attention cost.
const LONG_PROMPT_EWMA_WEIGHT: f64 = 0.1;
/// Smallest and largest base time that is counted, in milliseconds; a time outside this range has
/// its cause in the prefill rate, not in the base time.
const BASE_RANGE_MS: (f64, f64) = (10.0, 150.0);

/// Measured latencies of a service's engines.
///
/// A latency consists of a base time and a time for each token to prefill. The prefill rate is
/// measured on prefill engines, where no other work disturbs it.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    /// Prefill rate of a prefill engine, in tokens per millisecond.
    prefill_rate: f64,
    /// Base time of a prefill on a prefill engine, in milliseconds.
    prefill_base_ms: f64,
    /// Time from the end of the prefill to the first event from another engine, in milliseconds.
    handover_base_ms: f64,
    /// Base time to the first event on a decode engine that prefills the prompt itself, in
    /// milliseconds.
    direct_base_ms: f64,
    /// Relative increase of a token's prefill time for each token before it in the prompt.
    attention_cost: f64,
    /// Mean pause between two events of a stream, as a share of the longest pause the route
    /// permits.
    pause_ratio: f64,
    /// Tokens whose KV cache an engine fetches from another one in a millisecond; `None` if that is
    /// unknown.
    fetch_rate: Option<f64>,
}

impl Default for LatencyModel {
    fn default() -> LatencyModel {
        LatencyModel {
            prefill_rate: INITIAL_PREFILL_RATE,
            prefill_base_ms: 30.0,
            handover_base_ms: 70.0,
            direct_base_ms: 60.0,
            attention_cost: INITIAL_ATTENTION_COST,
            pause_ratio: INITIAL_PAUSE_RATIO,
            fetch_rate: None,
        }
    }
}

impl LatencyModel {
    /// Sets the tokens that an engine fetches from another one in a millisecond.
    pub fn with_fetch_rate(mut self, tokens_per_ms: f64) -> LatencyModel {
        self.fetch_rate = Some(tokens_per_ms).filter(|it| it.is_finite() && 0.0 < *it);
        self
    }

    /// Returns the time to fetch the KV cache of `tokens` from another engine; `None` if reading them
    /// would take no longer.
    fn fetch_time(&self, stage: Stage, tokens: u64) -> Option<Duration> {
        let time = FETCH_BASE + milliseconds(tokens as f64 / self.fetch_rate?);
        (time * FETCH_MARGIN < self.prefill_time(stage, tokens)).then_some(time)
    }

    /// Returns the `missing_tokens` of a prompt, weighted by the prefill time that they take.
    ///
    /// The later a token's position in the prompt, the longer its prefill takes, which matters for
    /// long prompts.
    pub fn weighted_tokens(&self, prompt: &Prompt, missing_tokens: u64) -> u64 {
        (missing_tokens as f64
            * (1.0 + self.attention_cost * mean_position(prompt, missing_tokens))) as u64
    }

    /// Records that a prefill engine with no other prompt queued prefilled the `missing_tokens` of
    /// a prompt.
    pub fn record_lone_prefill(&mut self, prompt: &Prompt, missing_tokens: u64, took: Duration) {
        if missing_tokens < LONG_PROMPT_TOKENS {
            return self.record_prefill(self.weighted_tokens(prompt, missing_tokens), took);
        }
        let took = took.as_secs_f64() * 1e3;
        let weight =
            (took - self.prefill_base_ms).max(0.0) * self.prefill_rate / missing_tokens as f64;
        let attention = (weight - 1.0) / mean_position(prompt, missing_tokens).max(1.0);
        self.attention_cost += LONG_PROMPT_EWMA_WEIGHT
            * (attention.clamp(0.0, MAX_ATTENTION_COST) - self.attention_cost);
    }

    /// Records that a prefill engine prefilled a prompt and those queued before it: `tokens`
    /// together, as counted by [`LatencyModel::weighted_tokens`].
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        let took = took.as_secs_f64() * 1e3;
        if MIN_RATE_TOKENS <= tokens && self.prefill_base_ms < took {
            let measured = tokens as f64 / (took - self.prefill_base_ms);
            let clamped = measured.clamp(self.prefill_rate / 4.0, self.prefill_rate * 4.0);
            self.prefill_rate += EWMA_WEIGHT * (clamped - self.prefill_rate);
        } else {
            update_base(&mut self.prefill_base_ms, took - tokens as f64 / self.prefill_rate);
        }
    }

    /// Returns the expected time to prefill `tokens` on a prefill engine, with the base time.
    pub fn expected_prefill_time(&self, tokens: u64) -> Duration {
        milliseconds(self.prefill_base_ms) + self.prefill_time(Stage::Prefill, tokens)
    }

    /// Records the time from the end of the prefill to the first event from another engine.
    pub fn record_handover(&mut self, took: Duration) {
        update_base(&mut self.handover_base_ms, took.as_secs_f64() * 1e3);
    }

    /// Records the time to the first event on a decode engine that prefilled `tokens` itself.
    pub fn record_direct_first_event(&mut self, tokens: u64, took: Duration) {
        let prefill_ms = tokens as f64 / (self.prefill_rate * DECODE_PREFILL_RATE_SHARE);
        update_base(&mut self.direct_base_ms, took.as_secs_f64() * 1e3 - prefill_ms);
    }

    /// Records a pause between two events of a stream, with the longest pause that the route
    /// permits.
    pub fn record_pause(&mut self, pause: Duration, longest: Duration) {
        let ratio = pause.as_secs_f64() / longest.as_secs_f64().max(1e-3);
        self.pause_ratio += EWMA_WEIGHT * (ratio.min(MAX_PAUSE_RATIO) - self.pause_ratio);
    }

    /// Returns the mean pause between two events of a stream, as a share of the longest that the
    /// route permits.
    pub fn pause_ratio(&self) -> f64 {
        self.pause_ratio
    }

    /// Returns the prefill rate of a prefill engine, in tokens per millisecond.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate
    }

    /// Logs the current values.
    pub fn log(&self, service: &str) {
        tracing::info!(
            code = 8006,
            service,
            tokens_per_ms = self.prefill_rate,
            reading_ms = self.prefill_base_ms,
            handing_over_ms = self.handover_base_ms,
            direct_ms = self.direct_base_ms,
            attention = self.attention_cost,
            strain = self.pause_ratio,
            "measured engine latencies"
        );
    }

    /// Returns the time to a prompt's first event on an idle engine that has its shared parts
    /// cached.
    pub fn min_first_event_time(&self, prompt: &Prompt) -> Duration {
        let tokens = self.weighted_tokens(prompt, prompt.unshared_tokens());
        let time = |stage| self.base_time(stage) + self.prefill_time(stage, tokens);
        time(Stage::Prefill).min(time(Stage::Decode))
    }

    /// Returns the time to prefill `tokens` on an engine of a stage, without the base time.
    pub fn prefill_time(&self, stage: Stage, tokens: u64) -> Duration {
        let share = match stage {
            Stage::Prefill => 1.0,
            Stage::Decode => DECODE_PREFILL_RATE_SHARE,
        };
        milliseconds(tokens as f64 / (self.prefill_rate * share))
    }

    /// Returns the part of the time to the first event that does not depend on the prompt.
    fn base_time(&self, stage: Stage) -> Duration {
        milliseconds(match stage {
            Stage::Prefill => self.prefill_base_ms + self.handover_base_ms,
            Stage::Decode => self.direct_base_ms,
        })
    }
}

/// Returns the mean position in the prompt of its missing tokens, which are its last ones.
fn mean_position(prompt: &Prompt, missing_tokens: u64) -> f64 {
    prompt.tokens as f64 - missing_tokens as f64 / 2.0
}

fn update_base(base_ms: &mut f64, measured_ms: f64) {
    *base_ms += EWMA_WEIGHT * (measured_ms.clamp(BASE_RANGE_MS.0, BASE_RANGE_MS.1) - *base_ms);
}

fn milliseconds(count: f64) -> Duration {
    Duration::from_secs_f64(count / 1e3)
}

/// An engine that may prefill a prompt.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Key of the engine in the registry.
    pub key: Key,
    /// Stage that the engine runs.
    pub stage: Stage,
    /// Data centre of the engine, as an index into those of its service.
    pub data_centre: u16,
    /// Software version of the engine, as an index into those of its service.
    pub version: u16,
    /// Rendezvous hash of the engine and the prompt's last shared part; the same on all hosts.
    pub rendezvous_hash: u64,
    /// Whether the engine is home to the prompt: preferred for all prompts with the same shared
    /// part, so that its cache holds this part.
    pub is_home: bool,
    /// Prompt tokens queued for prefill there, as counted by [`LatencyModel::weighted_tokens`].
    pub queued_tokens: u64,
    /// Tokens of this prompt that are not in its prefix cache, counted in the same way.
    pub missing_tokens: u64,
    /// Tokens of this prompt that other prompts may share.
    pub shared_tokens: u64,
    /// Shared tokens of this prompt that are not in its prefix cache.
    pub missing_shared_tokens: u64,
    /// Requests in flight there.
    pub requests: u32,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
    /// KV cache memory reserved by the requests in flight, in tokens.
    pub used_kv_tokens: u64,
    /// KV cache memory, in tokens.
    pub kv_capacity_tokens: u64,
    /// KV cache memory that this request needs, in tokens.
    pub needed_kv_tokens: u64,
    /// Share of recent requests that failed there, from 0 to 1.
    pub failure_rate: f64,
    /// Factor by which it is slower than the other engines of its stage; 1 if it isn't.
    pub slowness: f64,
    /// What it fetches from another engine first; the missing tokens are without it.
    pub fetch: Option<Fetch>,
}

/// A transfer of KV cache between engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// Engine that holds the tokens.
    pub source: Key,
    /// Tokens that the other engine lacks.
    pub tokens: u64,
    /// Expected time of the transfer.
    pub time: Duration,
}

impl Candidate {
    /// Plans to fetch the tokens up to `held_tokens`, which a source holds, if that is faster than
    /// reading those that the engine lacks.
    pub fn with_source(
        mut self,
        source: Key,
        held_tokens: u64,
        prompt: &Prompt,
        latency_model: &LatencyModel,
    ) -> Candidate {
        let kept_tokens = self.shared_tokens - self.missing_shared_tokens;
        let tokens = held_tokens.min(self.shared_tokens).saturating_sub(kept_tokens);
        let Some(time) = latency_model.fetch_time(self.stage, tokens) else { return self };
        self.missing_shared_tokens -= tokens;
        let missing_tokens = prompt.unshared_tokens() + self.missing_shared_tokens;
        self.missing_tokens = latency_model.weighted_tokens(prompt, missing_tokens);
        self.fetch = Some(Fetch { source, tokens, time });
        self
    }

    /// Returns whether a slot and the needed memory are free.
    pub fn has_room(&self) -> bool {
        self.requests < self.slots
            && self.used_kv_tokens + self.needed_kv_tokens <= self.kv_capacity_tokens
    }

    /// Returns the expected latencies of the request there.
    pub(crate) fn estimate(&self, latency_model: &LatencyModel) -> Estimate {
        let prefill_time =
            latency_model.prefill_time(self.stage, self.queued_tokens + self.missing_tokens);
        let failure_penalty = FAILURE_PENALTY.mul_f64(self.failure_rate);
        Estimate {
            queue_time: latency_model
                .prefill_time(self.stage, self.queued_tokens)
                .mul_f64(self.slowness),
            first_event: (latency_model.base_time(self.stage) + prefill_time)
                .mul_f64(self.slowness)
                + self.fetch.map_or(Duration::ZERO, |it| it.time)
                + failure_penalty,
        }
    }
}

/// Expected latencies of a request at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estimate {
    /// Time for the prefill of the prompts queued before it.
    pub queue_time: Duration,
    /// Time to its first event, including `queue_time`.
    pub first_event: Duration,
}

/// An engine chosen for the prefill of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Key of the engine in the registry.
    pub key: Key,
    /// Stage that the engine runs.
    pub stage: Stage,
    /// Expected latencies there.
    pub estimate: Estimate,
}

/// Marks the home engine of each stage: the one with the highest rendezvous hash.
pub fn mark_homes(candidates: &mut [Candidate]) {
    for stage in [Stage::Prefill, Stage::Decode] {
        let of_stage = candidates.iter_mut().filter(|it| it.stage == stage);
        if let Some(home) = of_stage.max_by_key(|it| it.rendezvous_hash) {
            home.is_home = true;
        }
    }
}

/// Returns the engine with the lowest cost among those with room; any engine that would meet the
/// objective is preferred to one that wouldn't.
pub fn choose(
    candidates: &[Candidate],
    latency_model: &LatencyModel,
    latency_budget: LatencyBudget,
) -> Option<Choice> {
    let available = candidates.iter().filter(|it| it.has_room());
    let scored = available.map(|it| ScoredChoice::new(it, latency_model));
    let sort_key = |it: &ScoredChoice| (!is_on_time(latency_budget, it.choice.estimate), it.cost);
    scored.min_by_key(sort_key).map(|it| it.choice)
}

/// A choice with its cost: the request's own latency plus penalties for the load that it adds.
#[derive(Debug, Clone, Copy)]
struct ScoredChoice {
    choice: Choice,
    cost: Duration,
}

impl ScoredChoice {
    fn new(candidate: &Candidate, latency_model: &LatencyModel) -> ScoredChoice {
        let estimate = candidate.estimate(latency_model);
        let interference = match candidate.stage {
            Stage::Prefill => 1.0,
            Stage::Decode => DECODE_INTERFERENCE_WEIGHT * latency_model.pause_ratio,
        };
        let delay_of_others = latency_model
            .prefill_time(candidate.stage, candidate.missing_tokens)
            .mul_f64(interference);
        let choice = Choice { key: candidate.key, stage: candidate.stage, estimate };
        let non_home_penalty = match candidate.is_home {
            true => Duration::ZERO,
            false => latency_model
                .prefill_time(candidate.stage, candidate.shared_tokens)
                .mul_f64(NON_HOME_WEIGHT),
        };
        let duplicate_penalty = latency_model
            .prefill_time(Stage::Prefill, candidate.missing_shared_tokens)
            .mul_f64(DUPLICATE_PREFILL_WEIGHT);
        let copied_tokens = candidate.fetch.map_or(0, |it| it.tokens);
        let copy_penalty =
            latency_model.prefill_time(candidate.stage, copied_tokens).mul_f64(COPY_WEIGHT);
        ScoredChoice {
            choice,
            cost: estimate.first_event
                + delay_of_others
                + non_home_penalty
                + duplicate_penalty
                + copy_penalty,
        }
    }
}

/// Latency objective of a request and the time already used of it.
#[derive(Debug, Clone, Copy)]
pub struct LatencyBudget {
    /// Time from the caller's first attempt within which the first event is on time.
    pub objective: Duration,
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
}

impl LatencyBudget {
    /// Returns how long a request that takes `min_time` can still be queued and be on time; `None`
    /// if it is already late.
    pub fn slack(self, min_time: Duration) -> Option<Duration> {
        self.objective.mul_f64(ON_TIME_SHARE).checked_sub(self.elapsed + min_time)
    }
}

/// Returns whether a request should start now: if it would be on time, or the queue at the engine
/// is short.
pub fn should_start(latency_budget: LatencyBudget, estimate: Estimate) -> bool {
    is_on_time(latency_budget, estimate)
        || estimate.queue_time <= latency_budget.objective.mul_f64(LATE_QUEUE_SHARE)
}

fn is_on_time(latency_budget: LatencyBudget, estimate: Estimate) -> bool {
    latency_budget.elapsed + estimate.first_event <= latency_budget.objective.mul_f64(ON_TIME_SHARE)
}

/// Returns how long a request may be queued before it is refused: at least half of its objective.
pub fn max_wait(objective: Duration, deadline: Duration) -> Duration {
    deadline.mul_f64(QUEUE_DEADLINE_SHARE).max(objective / 2)
}

/// Returns the decode engine with room that is best to generate from a prompt that another engine
/// prefilled: little occupied, in the same data centre, and holding the prompt's shared parts already.
///
/// It has the same software version, since what two versions write does not fit together.
///
/// The engine keeps the KV cache that it fetches. If prompts with the same shared part always went
/// to the least occupied engine, copies of the part would displace other parts on all engines.
pub fn choose_decode_engine(candidates: &[Candidate], prefill_engine: &Candidate) -> Option<Key> {
    let data_centre = prefill_engine.data_centre;
    let decode_engines = candidates
        .iter()
        .filter(|it| it.stage == Stage::Decode && it.version == prefill_engine.version);
    let available = decode_engines.filter(|it| it.has_room());
    let cost = |it: &Candidate| it.occupancy() + it.fetch_cost(data_centre);
    let best = available.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map(|it| it.key)
}

/// Occupancy added for each thousand tokens that an engine has to fetch.
const FETCHED_KILOTOKEN_COST: f64 = 0.02;
/// Occupancy added for each thousand tokens of a prompt that come from another data centre, which
/// takes twice as long.
const REMOTE_KILOTOKEN_COST: f64 = 0.005;
/// Share of the cost of fetching which the home engine saves for shared parts that it does not hold
/// yet.
const HOME_FETCH_SAVING: f64 = 0.5;
/// Occupancy added for each thousand prompt tokens queued.
const QUEUED_KILOTOKEN_COST: f64 = 0.02;
/// Occupancy added to all engines, so that slowness counts even against an idle engine.
const BASE_OCCUPANCY: f64 = 0.2;

impl Candidate {
    /// Returns the cost of fetching the prompt's KV cache from an engine in `data_centre`, as an
    /// addition to the occupancy.
    fn fetch_cost(&self, data_centre: u16) -> f64 {
        let saving = if self.is_home { HOME_FETCH_SAVING } else { 0.0 };
        let fetched = self.missing_tokens as f64 - saving * self.missing_shared_tokens as f64;
        let prompt_tokens =
            (self.missing_tokens + self.shared_tokens - self.missing_shared_tokens) as f64;
        let remote = if self.data_centre == data_centre { 0.0 } else { prompt_tokens };
        (fetched * FETCHED_KILOTOKEN_COST + remote * REMOTE_KILOTOKEN_COST) / 1e3
    }

    /// Returns a measure of how much one more generation would be slowed down here.
    pub(crate) fn occupancy(&self) -> f64 {
        let slots = f64::from(self.requests) / f64::from(self.slots.max(1));
        let memory = self.used_kv_tokens as f64 / self.kv_capacity_tokens.max(1) as f64;
        let occupancy = slots.max(memory)
            + self.queued_tokens as f64 / 1e3 * QUEUED_KILOTOKEN_COST
            + self.failure_rate;
        (occupancy + BASE_OCCUPANCY) * self.slowness
    }
}
