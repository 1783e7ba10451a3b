//! How soon an engine would have read a prompt, and whether a request should go there now.
//!
//! Pattern: more prompts arrive than the engines read within the objective. Requests that can still
//! be on time go first; those that cannot use what the others leave, and are refused rather than
//! held when even that is not in sight.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{prompt::Prompt, registry::Key, target::Stage};

/// Weight of the time that reading takes from the streams beside it, at full strain.
const SLOWDOWN: f64 = 2.5;
/// Weight of the time to read shared tokens, which some other engine may have read already. Where none
/// has, it weighs on all engines alike.
const AGAIN: f64 = 5.0;
/// Part of the time to read the shared tokens that is added for an engine which is not home to the
/// prompt, so that prompts with the same beginning meet at one engine.
const STRANGE: f64 = 0.5;
/// Time added to the estimate of an engine whose recent requests all failed.
const FAILURE_TIME: Duration = Duration::from_millis(400);
/// Part of the objective that others' prompts may take before a request that will be late anyway.
const SPARE: f64 = 0.3;
/// Part of the objective that a request may use up to its first event.
const ON_TIME: f64 = 0.9;
/// Time that a stream which broke off may wait to go on; callers leave after two seconds of silence.
pub const RESUME_PATIENCE: Duration = Duration::from_millis(1200);
/// Part of a caller's deadline for which a request waits for room at most.
const PATIENCE: f64 = 0.03;

/// Tokens that an engine is taken to read in a millisecond before any were measured.
const FIRST_RATE: f64 = 120.0;
/// Part of that rate which an engine reaches that also generates.
const DIRECT_SHARE: f64 = 0.3;
/// Weight of the newest measurement in a rate or base.
const NEWEST: f64 = 0.03;
/// Tokens below which a measurement says little about the rate.
const LEAST_TOKENS: u64 = 4000;
/// Part of the longest pause that pauses are taken to last before any were measured.
const FIRST_STRAIN: f64 = 0.4;
/// Strain at most; beyond it a pause tells of something else than of other work.
const MAX_STRAIN: f64 = 1.5;
/// Part by which a token takes longer for each token before it, before any was measured.
const FIRST_ATTENTION: f64 = 2e-5;
/// Largest such part; beyond it something else made a prompt slow.
const MAX_ATTENTION: f64 = 1e-4;
/// Tokens above which a prompt tells how much longer the later ones take.
const LONG_PROMPT: u64 = 12_000;
/// Weight of the newest long prompt.
const NEWEST_LONG: f64 = 0.1;
/// Range of a base; beyond it the rate explains the time, not the base.
const BASES: (f64, f64) = (10.0, 150.0);

/// Times that a service's engines take, as measured.
///
/// Each time is a base and a part for each token that is read. The rate comes from engines that only
/// read, where little else disturbs it.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Tokens that a reading engine reads in a millisecond.
    rate: f64,
    /// Milliseconds of reading a prompt of no length.
    reading: f64,
    /// Milliseconds from a prompt that another engine read to the first event.
    handing_over: f64,
    /// Milliseconds to the first event at an engine that reads the prompt itself.
    direct: f64,
    /// Part by which a token takes longer for each token before it.
    attention: f64,
    /// How long the pauses between events last, as a part of the longest that is on time.
    strain: f64,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            rate: FIRST_RATE,
            reading: 30.0,
            handing_over: 70.0,
            direct: 60.0,
            attention: FIRST_ATTENTION,
            strain: FIRST_STRAIN,
        }
    }
}

impl Times {
    /// Returns how many tokens a prompt counts as of which `missing` are to be read.
    ///
    /// A token takes longer the more tokens stand before it, which shows with long prompts.
    pub fn effort(&self, prompt: &Prompt, missing: u64) -> u64 {
        (missing as f64 * (1.0 + self.attention * mean_position(prompt, missing))) as u64
    }

    /// Notes that a reading engine read a prompt alone, of which it lacked `missing` tokens, in `took`.
    pub fn read_alone(&mut self, prompt: &Prompt, missing: u64, took: Duration) {
        if missing < LONG_PROMPT {
            return self.read(self.effort(prompt, missing), took);
        }
        let took = took.as_secs_f64() * 1e3;
        let effort = (took - self.reading).max(0.0) * self.rate / missing as f64;
        let attention = (effort - 1.0) / mean_position(prompt, missing).max(1.0);
        self.attention += NEWEST_LONG * (attention.clamp(0.0, MAX_ATTENTION) - self.attention);
    }

    /// Notes that a reading engine read a prompt, and what waited before it, in `took`.
    pub fn read(&mut self, tokens: u64, took: Duration) {
        let took = took.as_secs_f64() * 1e3;
        if LEAST_TOKENS <= tokens && self.reading < took {
            let measured = tokens as f64 / (took - self.reading);
            let bounded = measured.clamp(self.rate / 4.0, self.rate * 4.0);
            self.rate += NEWEST * (bounded - self.rate);
        } else {
            follow(&mut self.reading, took - tokens as f64 / self.rate);
        }
    }

    /// Returns the time in which a reading engine should have read so many tokens.
    pub fn expected(&self, tokens: u64) -> Duration {
        milliseconds(self.reading) + self.reading(Stage::Prefill, tokens)
    }

    /// Notes the time from a prompt that another engine read to the first event.
    pub fn handed_over(&mut self, took: Duration) {
        follow(&mut self.handing_over, took.as_secs_f64() * 1e3);
    }

    /// Notes the time to the first event at an engine that read the prompt itself.
    pub fn generated(&mut self, tokens: u64, took: Duration) {
        let reading = tokens as f64 / (self.rate * DIRECT_SHARE);
        follow(&mut self.direct, took.as_secs_f64() * 1e3 - reading);
    }

    /// Notes a pause between two events of a stream, of which `longest` would be on time.
    pub fn paused(&mut self, pause: Duration, longest: Duration) {
        let strain = pause.as_secs_f64() / longest.as_secs_f64().max(1e-3);
        self.strain += NEWEST * (strain.min(MAX_STRAIN) - self.strain);
    }

    /// Logs the times as they stand.
    pub fn log(&self, service: &str) {
        tracing::info!(
            code = 8006,
            service,
            tokens_per_ms = self.rate,
            reading_ms = self.reading,
            handing_over_ms = self.handing_over,
            direct_ms = self.direct,
            attention = self.attention,
            strain = self.strain,
            "times of engines"
        );
    }

    /// Returns the least time to the first event of a prompt whose shared parts are cached.
    pub fn least(&self, prompt: &Prompt) -> Duration {
        let tokens = self.effort(prompt, prompt.unshared_tokens());
        let time = |stage| self.base(stage) + self.reading(stage, tokens);
        time(Stage::Prefill).min(time(Stage::Decode))
    }

    /// Returns the time in which an engine of a stage reads `tokens`.
    pub fn reading(&self, stage: Stage, tokens: u64) -> Duration {
        let share = match stage {
            Stage::Prefill => 1.0,
            Stage::Decode => DIRECT_SHARE,
        };
        milliseconds(tokens as f64 / (self.rate * share))
    }

    /// Returns the time to the first event that does not depend on the prompt.
    fn base(&self, stage: Stage) -> Duration {
        milliseconds(match stage {
            Stage::Prefill => self.reading + self.handing_over,
            Stage::Decode => self.direct,
        })
    }
}

/// Returns how many tokens stand before one that is to be read, in the mean.
fn mean_position(prompt: &Prompt, missing: u64) -> f64 {
    prompt.tokens as f64 - missing as f64 / 2.0
}

fn follow(base: &mut f64, measured: f64) {
    *base += NEWEST * (measured.clamp(BASES.0, BASES.1) - *base);
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
    pub rank: u64,
    /// Whether prompts with the same shared part go here first, so that its cache holds the part.
    pub is_home: bool,
    /// Tokens that wait there to be read, as [`Times::effort`] counts them.
    pub unread: u64,
    /// Tokens of this prompt that its cache lacks, counted alike.
    pub missing: u64,
    /// Tokens of this prompt that others share.
    pub shared: u64,
    /// Those of them that its cache lacks.
    pub shared_missing: u64,
    /// Requests under way there.
    pub requests: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens of its memory that requests under way take.
    pub memory_used: u64,
    /// Tokens of its memory.
    pub memory: u64,
    /// Tokens that this request takes there.
    pub memory_needed: u64,
    /// Share of recent requests that failed there.
    pub failures: f64,
    /// How many times slower it is than the others.
    pub slowness: f64,
}

impl Candidate {
    /// Returns whether it has room for one more request.
    pub fn has_room(&self) -> bool {
        self.requests < self.slots && self.memory_used + self.memory_needed <= self.memory
    }

    /// Returns the time until the first event.
    fn estimate(&self, times: &Times) -> Estimate {
        let reading = times.reading(self.stage, self.unread + self.missing);
        let failures = FAILURE_TIME.mul_f64(self.failures);
        Estimate {
            wait: times.reading(self.stage, self.unread).mul_f64(self.slowness),
            first_event: (times.base(self.stage) + reading).mul_f64(self.slowness) + failures,
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
        if let Some(home) = of_stage.max_by_key(|it| it.rank) {
            home.is_home = true;
        }
    }
}

/// Returns the engine with room at which a request costs least, among those that are in time if any.
pub fn choose(candidates: &[Candidate], times: &Times, standing: Standing) -> Option<Choice> {
    let open = candidates.iter().filter(|it| it.has_room());
    let offers = open.map(|it| Offer::new(it, times));
    let rank = |it: &Offer| (!is_on_time(standing, it.choice.estimate), it.cost);
    offers.min_by_key(rank).map(|it| it.choice)
}

/// A choice with what it costs the request and those that it slows down.
#[derive(Debug, Clone, Copy)]
struct Offer {
    choice: Choice,
    cost: Duration,
}

impl Offer {
    fn new(candidate: &Candidate, times: &Times) -> Offer {
        let estimate = candidate.estimate(times);
        let slowdown = match candidate.stage {
            Stage::Prefill => 1.0,
            Stage::Decode => SLOWDOWN * times.strain,
        };
        let slowed = times.reading(candidate.stage, candidate.missing).mul_f64(slowdown);
        let choice = Choice { key: candidate.key, stage: candidate.stage, estimate };
        let strange = match candidate.is_home {
            true => Duration::ZERO,
            false => times.reading(candidate.stage, candidate.shared).mul_f64(STRANGE),
        };
        let again = times.reading(Stage::Prefill, candidate.shared_missing).mul_f64(AGAIN);
        Offer { choice, cost: estimate.first_event + slowed + strange + again }
    }
}

/// Where a request stands against its objective.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// Time to the first event within which it is on time.
    pub objective: Duration,
    /// Time since the caller first sent it.
    pub elapsed: Duration,
}

impl Standing {
    /// Returns the time after which it can no longer be on time if it takes `least`; `None` when it
    /// is late already.
    pub fn left(self, least: Duration) -> Option<Duration> {
        self.objective.mul_f64(ON_TIME).checked_sub(self.elapsed + least)
    }
}

/// Returns whether a request should start now.
pub fn starts(standing: Standing, estimate: Estimate) -> bool {
    is_on_time(standing, estimate) || estimate.wait <= standing.objective.mul_f64(SPARE)
}

fn is_on_time(standing: Standing, estimate: Estimate) -> bool {
    standing.elapsed + estimate.first_event <= standing.objective.mul_f64(ON_TIME)
}

/// Returns how long a request may wait for room; beyond it, it is refused.
pub fn patience(objective: Duration, deadline: Duration) -> Duration {
    deadline.mul_f64(PATIENCE).max(objective / 2)
}

/// Returns the engine that generates from a prompt which another has read: the least occupied.
pub fn choose_generator(candidates: &[Candidate]) -> Option<Key> {
    let generators = candidates.iter().filter(|it| it.stage == Stage::Decode);
    let open = generators.filter(|it| it.has_room());
    let best = open.min_by(|a, b| a.occupancy().total_cmp(&b.occupancy()));
    best.map(|it| it.key)
}

/// Weight of the tokens that wait to be read beside the slots taken, for each thousand.
const UNREAD_COST: f64 = 0.02;
/// Part of the slots that counts as taken everywhere, so that a slow engine is not chosen while idle.
const SLOW_COST: f64 = 0.2;

impl Candidate {
    /// Returns how much would slow down one more generation here.
    fn occupancy(&self) -> f64 {
        let slots = f64::from(self.requests) / f64::from(self.slots.max(1));
        let memory = self.memory_used as f64 / self.memory.max(1) as f64;
        let busy = slots.max(memory) + self.unread as f64 / 1e3 * UNREAD_COST + self.failures;
        (busy + SLOW_COST) * self.slowness
    }
}
