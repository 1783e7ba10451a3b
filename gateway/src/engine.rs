//! How soon an engine would have read a prompt, and whether a request should go there now.
//!
//! Pattern: more prompts arrive than the engines read within the objective. Requests that can still
//! be on time go first; those that cannot use what the others leave, and are refused rather than
//! held when even that is not in sight.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{prompt::Prompt, registry::Key, target::Stage};

/// Weight of the time that reading takes from the streams beside it, at full strain.
const DECODE_INTERFERENCE_WEIGHT: f64 = 2.5;
/// Weight of the time to read shared tokens, which some other engine may have read already. Where none
/// has, it weighs on all engines alike.
const DUPLICATE_PREFILL_WEIGHT: f64 = 5.0;
/// Part of the time to read the shared tokens that is added for an engine which is not home to the
/// prompt, so that prompts with the same beginning meet at one engine.
const NON_HOME_WEIGHT: f64 = 0.5;
/// Time added to the estimate of an engine whose recent requests all failed.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);
/// Part of the objective that others' prompts may take before a request that will be late anyway.
const LATE_QUEUE_SHARE: f64 = 0.3;
/// Part of the objective that a request may use up to its first event.
const ON_TIME_SHARE: f64 = 0.9;
/// Time that a stream which broke off may wait to go on; callers leave after two seconds of silence.
pub const MAX_RESUME_WAIT: Duration = Duration::from_millis(1200);
/// Part of a caller's deadline for which a request waits for room at most.
const WAIT_DEADLINE_SHARE: f64 = 0.03;

/// Tokens that an engine is taken to read in a millisecond before any were measured.
const INITIAL_PREFILL_RATE: f64 = 120.0;
/// Part of that rate which an engine reaches that also generates.
const DECODE_PREFILL_SHARE: f64 = 0.3;
/// Weight of the newest measurement in a rate or base.
const EWMA_WEIGHT: f64 = 0.03;
/// Tokens below which a measurement says little about the rate.
const MIN_RATE_TOKENS: u64 = 4000;
/// Part of the longest pause that pauses are taken to last before any were measured.
const INITIAL_PAUSE_RATIO: f64 = 0.4;
/// Strain at most; beyond it a pause tells of something else than of other work.
const MAX_PAUSE_RATIO: f64 = 1.5;
/// Part by which a token takes longer for each token before it, before any was measured.
const INITIAL_ATTENTION_COST: f64 = 2e-5;
/// Largest such part; beyond it something else made a prompt slow.
const MAX_ATTENTION_COST: f64 = 1e-4;
/// Tokens above which a prompt tells how much longer the later ones take.
const LONG_PROMPT_TOKENS: u64 = 12_000;
/// Weight of the newest long prompt.
const LONG_PROMPT_EWMA_WEIGHT: f64 = 0.1;
/// Range of a base; beyond it the rate explains the time, not the base.
const BASE_RANGE_MS: (f64, f64) = (10.0, 150.0);

/// Times that a service's engines take, as measured.
///
/// Each time is a base and a part for each token that is read. The rate comes from engines that only
/// read, where little else disturbs it.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    /// Tokens that a reading engine reads in a millisecond.
    prefill_rate: f64,
    /// Milliseconds of reading a prompt of no length.
    prefill_base_ms: f64,
    /// Milliseconds from a prompt that another engine read to the first event.
    handover_base_ms: f64,
    /// Milliseconds to the first event at an engine that reads the prompt itself.
    direct_base_ms: f64,
    /// Part by which a token takes longer for each token before it.
    attention_cost: f64,
    /// How long the pauses between events last, as a part of the longest that is on time.
    pause_ratio: f64,
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
        }
    }
}

impl LatencyModel {
    /// Returns how many tokens a prompt counts as of which `missing` are to be read.
    ///
    /// A token takes longer the more tokens stand before it, which shows with long prompts.
    pub fn weighted_tokens(&self, prompt: &Prompt, missing_tokens: u64) -> u64 {
        (missing_tokens as f64
            * (1.0 + self.attention_cost * mean_position(prompt, missing_tokens))) as u64
    }

    /// Notes that a reading engine read a prompt alone, of which it lacked `missing` tokens, in `took`.
    pub fn record_lone_prefill(&mut self, prompt: &Prompt, missing_tokens: u64, took: Duration) {
        if missing_tokens < LONG_PROMPT_TOKENS {
            return self.record_prefill(self.weighted_tokens(prompt, missing_tokens), took);
        }
        let took = took.as_secs_f64() * 1e3;
        let effort =
            (took - self.prefill_base_ms).max(0.0) * self.prefill_rate / missing_tokens as f64;
        let attention = (effort - 1.0) / mean_position(prompt, missing_tokens).max(1.0);
        self.attention_cost += LONG_PROMPT_EWMA_WEIGHT
            * (attention.clamp(0.0, MAX_ATTENTION_COST) - self.attention_cost);
    }

    /// Notes that a reading engine read a prompt, and what waited before it, in `took`.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        let took = took.as_secs_f64() * 1e3;
        if MIN_RATE_TOKENS <= tokens && self.prefill_base_ms < took {
            let measured = tokens as f64 / (took - self.prefill_base_ms);
            let bounded = measured.clamp(self.prefill_rate / 4.0, self.prefill_rate * 4.0);
            self.prefill_rate += EWMA_WEIGHT * (bounded - self.prefill_rate);
        } else {
            update_base(&mut self.prefill_base_ms, took - tokens as f64 / self.prefill_rate);
        }
    }

    /// Returns the time in which a reading engine should have read so many tokens.
    pub fn expected_prefill_time(&self, tokens: u64) -> Duration {
        milliseconds(self.prefill_base_ms) + self.prefill_time(Stage::Prefill, tokens)
    }

    /// Notes the time from a prompt that another engine read to the first event.
    pub fn record_handover(&mut self, took: Duration) {
        update_base(&mut self.handover_base_ms, took.as_secs_f64() * 1e3);
    }

    /// Notes the time to the first event at an engine that read the prompt itself.
    pub fn record_direct(&mut self, tokens: u64, took: Duration) {
        let prefill_ms = tokens as f64 / (self.prefill_rate * DECODE_PREFILL_SHARE);
        update_base(&mut self.direct_base_ms, took.as_secs_f64() * 1e3 - prefill_ms);
    }

    /// Notes a pause between two events of a stream, of which `longest` would be on time.
    pub fn record_pause(&mut self, pause: Duration, longest: Duration) {
        let strain = pause.as_secs_f64() / longest.as_secs_f64().max(1e-3);
        self.pause_ratio += EWMA_WEIGHT * (strain.min(MAX_PAUSE_RATIO) - self.pause_ratio);
    }

    /// Logs the times as they stand.
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
            "latency_model of engines"
        );
    }

    /// Returns the least time to the first event of a prompt whose shared parts are cached.
    pub fn min_first_event_time(&self, prompt: &Prompt) -> Duration {
        let tokens = self.weighted_tokens(prompt, prompt.unshared_tokens());
        let time = |stage| self.base_time(stage) + self.prefill_time(stage, tokens);
        time(Stage::Prefill).min(time(Stage::Decode))
    }

    /// Returns the time in which an engine of a stage reads `tokens`.
    pub fn prefill_time(&self, stage: Stage, tokens: u64) -> Duration {
        let share = match stage {
            Stage::Prefill => 1.0,
            Stage::Decode => DECODE_PREFILL_SHARE,
        };
        milliseconds(tokens as f64 / (self.prefill_rate * share))
    }

    /// Returns the time to the first event that does not depend on the prompt.
    fn base_time(&self, stage: Stage) -> Duration {
        milliseconds(match stage {
            Stage::Prefill => self.prefill_base_ms + self.handover_base_ms,
            Stage::Decode => self.direct_base_ms,
        })
    }
}

/// Returns how many tokens stand before one that is to be read, in the mean.
fn mean_position(prompt: &Prompt, missing_tokens: u64) -> f64 {
    prompt.tokens as f64 - missing_tokens as f64 / 2.0
}

fn update_base(base: &mut f64, measured: f64) {
    *base += EWMA_WEIGHT * (measured.clamp(BASE_RANGE_MS.0, BASE_RANGE_MS.1) - *base);
}

fn milliseconds(count: f64) -> Duration {
    Duration::from_secs_f64(count / 1e3)
}

/// An engine that could read the prompt.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The engine.
    pub key: Key,
    /// What it does.
    pub stage: Stage,
    /// Number that all hosts derive alike from the engine and the prompt's shared part.
    pub rendezvous_hash: u64,
    /// Whether prompts with the same shared part go here first, so that its cache holds the part.
    pub is_home: bool,
    /// Tokens that wait there to be read, as [`Times::effort`] counts them.
    pub queued_tokens: u64,
    /// Tokens of this prompt that its cache lacks, counted alike.
    pub missing_tokens: u64,
    /// Tokens of this prompt that others share.
    pub shared_tokens: u64,
    /// Those of them that its cache lacks.
    pub missing_shared_tokens: u64,
    /// Requests under way there.
    pub requests: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens of its memory that requests under way take.
    pub used_memory_tokens: u64,
    /// Tokens of its memory.
    pub memory_tokens: u64,
    /// Tokens that this request takes there.
    pub needed_memory_tokens: u64,
    /// Share of recent requests that failed there.
    pub failure_rate: f64,
    /// How many times slower it is than the others.
    pub slowness: f64,
}

impl Candidate {
    /// Returns whether it has room for one more request.
    pub fn has_room(&self) -> bool {
        self.requests < self.slots
            && self.used_memory_tokens + self.needed_memory_tokens <= self.memory_tokens
    }

    /// Returns the time until the first event.
    fn estimate(&self, latency_model: &LatencyModel) -> Estimate {
        let prefill_time =
            latency_model.prefill_time(self.stage, self.queued_tokens + self.missing_tokens);
        let failure_rate = FAILURE_PENALTY.mul_f64(self.failure_rate);
        Estimate {
            wait: latency_model.prefill_time(self.stage, self.queued_tokens).mul_f64(self.slowness),
            first_event: (latency_model.base_time(self.stage) + prefill_time)
                .mul_f64(self.slowness)
                + failure_rate,
        }
    }
}

/// How long a request would take at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estimate {
    /// Time that others' prompts take before it.
    pub wait: Duration,
    /// Time until its first event.
    pub first_event: Duration,
}

/// The engine to send a prompt to, and when it would be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The engine.
    pub key: Key,
    /// What it does.
    pub stage: Stage,
    /// How long the request would take there.
    pub estimate: Estimate,
}

/// Marks the engine of each stage that is home to a prompt.
pub fn mark_homes(candidates: &mut [Candidate]) {
    for stage in [Stage::Prefill, Stage::Decode] {
        let of_stage = candidates.iter_mut().filter(|it| it.stage == stage);
        if let Some(home) = of_stage.max_by_key(|it| it.rendezvous_hash) {
            home.is_home = true;
        }
    }
}

/// Returns the engine with room at which a request costs least, among those that are in time if any.
pub fn choose(
    candidates: &[Candidate],
    latency_model: &LatencyModel,
    latency_budget: LatencyBudget,
) -> Option<Choice> {
    let open = candidates.iter().filter(|it| it.has_room());
    let offers = open.map(|it| ScoredChoice::new(it, latency_model));
    let rank = |it: &ScoredChoice| (!is_on_time(latency_budget, it.choice.estimate), it.cost);
    offers.min_by_key(rank).map(|it| it.choice)
}

/// A choice with what it costs the request and those that it slows down.
#[derive(Debug, Clone, Copy)]
struct ScoredChoice {
    choice: Choice,
    cost: Duration,
}

impl ScoredChoice {
    fn new(candidate: &Candidate, latency_model: &LatencyModel) -> ScoredChoice {
        let estimate = candidate.estimate(latency_model);
        let slowdown = match candidate.stage {
            Stage::Prefill => 1.0,
            Stage::Decode => DECODE_INTERFERENCE_WEIGHT * latency_model.pause_ratio,
        };
        let slowed =
            latency_model.prefill_time(candidate.stage, candidate.missing_tokens).mul_f64(slowdown);
        let choice = Choice { key: candidate.key, stage: candidate.stage, estimate };
        let strange = match candidate.is_home {
            true => Duration::ZERO,
            false => latency_model
                .prefill_time(candidate.stage, candidate.shared_tokens)
                .mul_f64(NON_HOME_WEIGHT),
        };
        let again = latency_model
            .prefill_time(Stage::Prefill, candidate.missing_shared_tokens)
            .mul_f64(DUPLICATE_PREFILL_WEIGHT);
        ScoredChoice { choice, cost: estimate.first_event + slowed + strange + again }
    }
}

/// Where a request stands against its objective.
#[derive(Debug, Clone, Copy)]
pub struct LatencyBudget {
    /// Time to the first event within which it is on time.
    pub objective: Duration,
    /// Time since the caller first sent it.
    pub elapsed: Duration,
}

impl LatencyBudget {
    /// Returns the time after which it can no longer be on time if it takes `least`; `None` when it
    /// is late already.
    pub fn slack(self, least: Duration) -> Option<Duration> {
        self.objective.mul_f64(ON_TIME_SHARE).checked_sub(self.elapsed + least)
    }
}

/// Returns whether a request should start now.
pub fn should_start(latency_budget: LatencyBudget, estimate: Estimate) -> bool {
    is_on_time(latency_budget, estimate)
        || estimate.wait <= latency_budget.objective.mul_f64(LATE_QUEUE_SHARE)
}

fn is_on_time(latency_budget: LatencyBudget, estimate: Estimate) -> bool {
    latency_budget.elapsed + estimate.first_event <= latency_budget.objective.mul_f64(ON_TIME_SHARE)
}

/// Returns how long a request may wait for room; beyond it, it is refused.
pub fn max_wait(objective: Duration, deadline: Duration) -> Duration {
    deadline.mul_f64(WAIT_DEADLINE_SHARE).max(objective / 2)
}

/// Returns the engine that generates from a prompt which another has read: the least occupied.
pub fn choose_decode_engine(candidates: &[Candidate]) -> Option<Key> {
    let generators = candidates.iter().filter(|it| it.stage == Stage::Decode);
    let open = generators.filter(|it| it.has_room());
    let best = open.min_by(|a, b| a.occupancy().total_cmp(&b.occupancy()));
    best.map(|it| it.key)
}

/// Weight of the tokens that wait to be read beside the slots taken, for each thousand.
const QUEUED_KILOTOKEN_COST: f64 = 0.02;
/// Part of the slots that counts as taken everywhere, so that a slow engine is not chosen while idle.
const BASE_OCCUPANCY: f64 = 0.2;

impl Candidate {
    /// Returns how much would slow down one more generation here.
    fn occupancy(&self) -> f64 {
        let slots = f64::from(self.requests) / f64::from(self.slots.max(1));
        let memory_tokens = self.used_memory_tokens as f64 / self.memory_tokens.max(1) as f64;
        let busy = slots.max(memory_tokens)
            + self.queued_tokens as f64 / 1e3 * QUEUED_KILOTOKEN_COST
            + self.failure_rate;
        (busy + BASE_OCCUPANCY) * self.slowness
    }
}
