//! Continuous batching: each step reads a chunk of prompts and generates one token for each answer.

use std::{cmp::Reverse, time::Duration};

use smol_str::SmolStr;

use super::{
    Config,
    cache::Cache,
    job::{Ending, Goal, Job},
    wire::{Export, Faults},
};
use crate::target::{CacheEvent, Role};

/// Prompt tokens that one step reads on an engine for prefill.
const PREFILL_CHUNK: u32 = 4_096;
/// Prompt tokens that one step reads on a mixed engine.
const MIXED_CHUNK: u32 = 512;
/// Prompt tokens that one step reads on an engine for decode.
const DECODE_CHUNK: u32 = 128;

/// Requests that wait or run, and the prefix cache.
#[derive(Default)]
pub(super) struct Batch {
    waiting: Vec<Job>,
    active: Vec<Job>,
    cache: Cache,
}

/// What one step does.
pub(super) struct Step {
    /// Time that it takes in life.
    pub(super) duration: Duration,
    decode: Vec<usize>,
    prefilled: u32,
}

/// What came of one step.
#[derive(Default)]
pub(super) struct Outcome {
    pub(super) events: Vec<CacheEvent>,
    pub(super) exports: Vec<(SmolStr, Export)>,
    pub(super) endings: Vec<Ending>,
    pub(super) tokens: u64,
    pub(super) prefilled: u64,
    pub(super) cached: u64,
    pub(super) crashed: bool,
}

/// Load of the engine at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) queued_tokens: u64,
    pub(super) kv_tokens: u64,
}

impl Batch {
    pub(super) fn push(&mut self, job: Job) {
        self.waiting.push(job);
        self.waiting.sort_by_key(|it| Reverse(it.priority));
    }

    pub(super) fn cancel(&mut self, request: &str) {
        for job in self.waiting.iter_mut().chain(&mut self.active) {
            if job.request == request {
                job.ending = Some(Ending::Gone);
            }
        }
    }

    /// Forgets the prefix cache and returns all requests, which are to be cut.
    pub(super) fn reset(&mut self) -> Vec<Job> {
        self.cache = Cache::default();
        self.waiting.drain(..).chain(self.active.drain(..)).collect()
    }

    pub(super) fn load(&self) -> Load {
        let unread: u64 = self.active.iter().map(|it| u64::from(it.unread)).sum();
        let waiting: u64 = self.waiting.iter().map(|it| u64::from(it.context)).sum();
        Load {
            running: self.active.len() as u32,
            queued: self.waiting.len() as u32,
            queued_tokens: unread + waiting,
            kv_tokens: self.reserved() + self.cache.tokens(),
        }
    }

    /// Moves waiting requests into the batch and plans a step; `None` when there is nothing to do.
    pub(super) fn plan(
        &mut self,
        config: &Config,
        role: Role,
        faults: &Faults,
        outcome: &mut Outcome,
    ) -> Option<Step> {
        self.admit(config, outcome);
        let (decode, rest) = self.indices(faults);
        let chunk = match role {
            Role::Prefill => PREFILL_CHUNK,
            Role::Mixed => MIXED_CHUNK,
            Role::Decode => DECODE_CHUNK,
        };
        let prefilled = self.read_prompts(&rest, chunk);
        if decode.is_empty() && prefilled == 0 {
            return None;
        }
        let decoding = match decode.len() {
            0 => Duration::ZERO,
            it => config.step_base + config.step_per_request * it as u32,
        };
        let reading = Duration::from_secs_f64(f64::from(prefilled) / config.prefill_rate);
        Some(Step { duration: decoding + reading, decode, prefilled })
    }

    /// Carries out what a step generates, after its time has passed.
    pub(super) fn finish(
        &mut self,
        config: &Config,
        step: &Step,
        faults: &Faults,
        outcome: &mut Outcome,
    ) {
        outcome.prefilled += u64::from(step.prefilled);
        for index in &step.decode {
            let job = &mut self.active[*index];
            if job.ending.is_none() {
                outcome.crashed |= job.crashes(faults);
                if outcome.crashed {
                    return;
                }
                job.generate(faults);
                outcome.tokens += 1;
            }
        }
        self.export_ready(config, outcome);
    }

    /// Takes out the requests that have ended; they are closed once that is recorded.
    pub(super) fn retire(&mut self, outcome: &mut Outcome) -> Vec<Job> {
        let mut ended = Vec::new();
        for jobs in [&mut self.waiting, &mut self.active] {
            jobs.iter_mut().for_each(Job::watch);
            ended.extend(jobs.extract_if(.., |it| it.ending.is_some()));
        }
        outcome.endings.extend(ended.iter().filter_map(|it| it.ending));
        ended
    }

    fn reserved(&self) -> u64 {
        self.active.iter().map(Job::footprint).sum()
    }

    fn admit(&mut self, config: &Config, outcome: &mut Outcome) {
        while let Some(job) = self.waiting.first() {
            let needed = self.reserved() + job.footprint();
            let is_full = config.slots as usize <= self.active.len();
            if is_full || (config.kv_capacity < needed && !self.active.is_empty()) {
                return;
            }
            let mut job = self.waiting.remove(0);
            let cached = self.cache.hit(&job.pieces);
            job.begin(cached);
            outcome.cached += u64::from(job.cached());
            outcome.events.extend(self.cache.shrink(config.kv_capacity.saturating_sub(needed)));
            self.active.push(job);
        }
    }

    /// Returns the places of the requests that generate and of those that read, by priority.
    fn indices(&self, faults: &Faults) -> (Vec<usize>, Vec<usize>) {
        let (mut read, mut decode): (Vec<usize>, Vec<usize>) =
            (0..self.active.len()).partition(|it| 0 < self.active[*it].unread);
        read.sort_by_key(|it| Reverse(self.active[*it].priority));
        decode.retain(|it| !self.active[*it].is_held(faults));
        (decode, read)
    }

    fn read_prompts(&mut self, places: &[usize], chunk: u32) -> u32 {
        let mut left = chunk;
        for place in places {
            let job = &mut self.active[*place];
            let read = job.unread.min(left);
            job.unread -= read;
            left -= read;
        }
        chunk - left
    }

    /// Stores the pieces of prompts that were just read, and answers requests for their KV cache.
    fn export_ready(&mut self, config: &Config, outcome: &mut Outcome) {
        let capacity = config.kv_capacity.saturating_sub(self.reserved());
        for job in self.active.iter_mut().filter(|it| it.unread == 0 && !it.pieces.is_empty()) {
            outcome.events.extend(self.cache.store(&job.pieces));
            if job.goal == Goal::Generate {
                job.pieces.clear();
            }
        }
        outcome.events.extend(self.cache.shrink(capacity));
        for job in self.active.iter_mut().filter(|it| it.unread == 0 && it.ending.is_none()) {
            if let Goal::Export(handle) = job.goal.clone() {
                let pieces = std::mem::take(&mut job.pieces);
                let export = Export { tokens: job.prompt_tokens, pieces };
                outcome.exports.push((handle.clone(), export));
                job.export(config, &handle);
            }
        }
    }
}
