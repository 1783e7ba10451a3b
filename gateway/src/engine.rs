//! How soon an engine would have read a prompt, and whether a request should go there now.
//!
//! Pattern: more prompts arrive than the engines read within the objective. Requests that can still
//! be on time go first; those that cannot use what the others leave, and are refused rather than
//! held when even that is not in sight.

use std::time::Duration;

use crate::{registry::Key, target::Stage};

/// Prompt tokens that an engine is taken to read in a millisecond before any was measured.
const FIRST_RATE: f64 = 80.0;
/// Weight of the newest measurement of a rate.
const NEWEST: f64 = 0.05;
/// Part of a prefill's time that does not depend on the prompt.
const OVERHEAD: Duration = Duration::from_millis(25);
/// Tokens below which a measurement says little about the rate.
const LEAST_TOKENS: u64 = 1500;
/// Part of the rate that an engine reaches which also generates.
const DECODE_SHARE: f64 = 0.5;
/// Time that the hand-over of a prompt's cache to another engine takes.
const HAND_OVER: Duration = Duration::from_millis(30);
/// Time added for a target in another data centre.
const REMOTE: Duration = Duration::from_millis(2);
/// Time added to the estimate of an engine whose recent requests all failed.
const FAILURE_TIME: Duration = Duration::from_millis(400);
/// Part of the objective within which a request that is already late may start.
const SPARE: f64 = 0.3;
/// Part of the objective that a request may use up to its first event.
const ON_TIME: f64 = 0.85;

/// Rate at which the engines of a service read prompts, as measured.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    tokens_per_ms: f64,
}

impl Default for Rate {
    fn default() -> Rate {
        Rate { tokens_per_ms: FIRST_RATE }
    }
}

impl Rate {
    /// Notes that a dedicated engine read `tokens`, those that waited before them included.
    pub fn observe(&mut self, tokens: u64, took: Duration) {
        let took = took.saturating_sub(OVERHEAD).as_secs_f64() * 1e3;
        if tokens < LEAST_TOKENS || took <= 0.0 {
            return;
        }
        let measured = tokens as f64 / took;
        let bounded = measured.clamp(self.tokens_per_ms / 4.0, self.tokens_per_ms * 4.0);
        self.tokens_per_ms += NEWEST * (bounded - self.tokens_per_ms);
    }

    /// Returns the time that an engine of a stage needs for `tokens`.
    pub fn time(&self, stage: Stage, tokens: u64) -> Duration {
        let share = match stage {
            Stage::Prefill => 1.0,
            Stage::Decode => DECODE_SHARE,
        };
        Duration::from_secs_f64(tokens as f64 / (self.tokens_per_ms * share) / 1e3)
    }
}

/// An engine that could read the prompt.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The engine.
    pub key: Key,
    /// What it does.
    pub stage: Stage,
    /// Tokens that wait there to be read.
    pub unread: u64,
    /// Tokens of this prompt that its cache lacks.
    pub missing: u64,
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
    /// Whether it stands in this host's data centre.
    pub is_near: bool,
    /// Share of recent requests that failed there.
    pub failures: f64,
}

impl Candidate {
    /// Returns whether it has room for one more request.
    pub fn has_room(&self) -> bool {
        self.requests < self.slots && self.memory_used + self.memory_needed <= self.memory
    }

    /// Returns the time until the prompt is read and the first token can be made.
    pub fn estimate(&self, rate: &Rate) -> Duration {
        let reading = rate.time(self.stage, self.unread + self.missing);
        let hand_over = match self.stage {
            Stage::Prefill => HAND_OVER,
            Stage::Decode => Duration::ZERO,
        };
        let remote = if self.is_near { Duration::ZERO } else { REMOTE };
        OVERHEAD + reading + hand_over + remote + FAILURE_TIME.mul_f64(self.failures)
    }
}

/// The engine to send a prompt to, and when it would be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The engine.
    pub key: Key,
    /// What it does.
    pub stage: Stage,
    /// Time until the prompt is read there.
    pub estimate: Duration,
}

/// Returns the engine that would have read the prompt first.
pub fn choose(candidates: &[Candidate], rate: &Rate) -> Option<Choice> {
    let open = candidates.iter().filter(|it| it.has_room());
    let estimates =
        open.map(|it| Choice { key: it.key, stage: it.stage, estimate: it.estimate(rate) });
    estimates.min_by_key(|it| it.estimate)
}

/// Where a request stands against its objective.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// Time to the first event within which it is on time.
    pub objective: Duration,
    /// Time since the caller first sent it.
    pub elapsed: Duration,
}

/// Returns whether a request should start, given when its prompt would be read.
pub fn starts(standing: Standing, estimate: Duration) -> bool {
    let objective = standing.objective.mul_f64(ON_TIME);
    if standing.elapsed + estimate <= objective {
        return true;
    }
    estimate <= standing.objective.mul_f64(SPARE)
}

/// Returns how long a request may wait for room; beyond it, it is refused.
pub fn patience(standing: Standing, deadline: Duration) -> Duration {
    deadline.mul_f64(PATIENCE).min(standing.objective)
}

/// Part of a caller's deadline for which a request waits for room at most.
const PATIENCE: f64 = 0.08;

/// Returns the engine that generates from a prompt which another has read: the least occupied.
pub fn choose_generator(candidates: &[Candidate]) -> Option<Key> {
    let generators = candidates.iter().filter(|it| it.stage == Stage::Decode);
    let open = generators.filter(|it| it.has_room());
    let best = open.min_by(|a, b| a.occupancy().total_cmp(&b.occupancy()));
    best.map(|it| it.key)
}

/// Weight of the tokens that wait to be read beside the slots taken, for each thousand.
const UNREAD_COST: f64 = 0.02;
/// Part of the slots by which an engine in another data centre must be freer.
const REMOTE_COST: f64 = 0.05;

impl Candidate {
    /// Returns how much would slow down one more generation here.
    fn occupancy(&self) -> f64 {
        let slots = f64::from(self.requests) / f64::from(self.slots.max(1));
        let memory = self.memory_used as f64 / self.memory.max(1) as f64;
        let remote = if self.is_near { 0.0 } else { REMOTE_COST };
        slots.max(memory) + self.unread as f64 / 1e3 * UNREAD_COST + remote + self.failures
    }
}
