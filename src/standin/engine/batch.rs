//! Continuous batching: each step prefills a chunk of tokens and decodes one token per answer.

use std::{cmp::Reverse, time::Duration};

use smol_str::SmolStr;

use super::{
    Config,
    cache::Cache,
    job::{Ending, Job, Kind},
    wire::{Export, Faults},
};
use crate::target::{CacheEvent, Role};

/// Largest number of tokens that a step prefills on an engine with the prefill role.
const PREFILL_CHUNK_TOKENS: u32 = 4_096;
/// Largest number of tokens that a step prefills on an engine with the mixed role.
const MIXED_CHUNK_TOKENS: u32 = 512;
/// Largest number of tokens that a step prefills on an engine with the decode role.
const DECODE_CHUNK_TOKENS: u32 = 128;

/// Waiting and running requests, and the prefix cache.
#[derive(Default)]
pub(super) struct Batch {
    /// Requests without a slot, by descending priority, then in order of arrival.
    waiting: Vec<Job>,
    /// Requests that are prefilled or decoded.
    running: Vec<Job>,
    cache: Cache,
}

/// Plan of a step.
pub(super) struct Step {
    /// Duration before the time scale is applied.
    pub(super) duration: Duration,
    /// Indices in `Batch::running` of the requests that get a token.
    decode_indices: Vec<usize>,
    prefilled_tokens: u32,
}

/// Result of a step.
#[derive(Default)]
pub(super) struct Outcome {
    pub(super) cache_events: Vec<CacheEvent>,
    /// KV caches to be exported, by handle.
    pub(super) exports: Vec<(SmolStr, Export)>,
    pub(super) endings: Vec<Ending>,
    pub(super) generated_tokens: u64,
    pub(super) prefilled_tokens: u64,
    /// Prompt tokens found in the prefix cache or imported.
    pub(super) cached_tokens: u64,
    /// Whether a request with the word [`Faults::crash_word`] crashed the engine.
    pub(super) crashed: bool,
}

/// Load of the engine.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    /// Requests that are prefilled or decoded.
    pub(super) running: u32,
    /// Requests that wait for a slot or for KV memory.
    pub(super) queued: u32,
    /// Tokens that remain to be prefilled.
    pub(super) queued_tokens: u64,
    /// Memory reserved by running requests or used by the prefix cache, in tokens.
    pub(super) kv_tokens: u64,
}

impl Batch {
    pub(super) fn enqueue(&mut self, job: Job) {
        self.waiting.push(job);
        self.waiting.sort_by_key(|it| Reverse(it.priority));
    }

    pub(super) fn cancel(&mut self, request_id: &str) {
        for job in self.waiting.iter_mut().chain(&mut self.running) {
            if job.request_id == request_id {
                job.ending = Some(Ending::Cancelled);
            }
        }
    }

    /// Clears the prefix cache and removes all requests; dropping them closes their connections.
    pub(super) fn reset(&mut self) -> Vec<Job> {
        self.cache = Cache::default();
        self.waiting.drain(..).chain(self.running.drain(..)).collect()
    }

    pub(super) fn load(&self) -> Load {
        let prefill: u64 = self.running.iter().map(|it| u64::from(it.prefill_left)).sum();
        let waiting: u64 = self.waiting.iter().map(|it| u64::from(it.context_tokens)).sum();
        Load {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            queued_tokens: prefill + waiting,
            kv_tokens: self.reserved_tokens() + self.cache.tokens(),
        }
    }

    /// Admits waiting requests and plans a step; returns `None` if there is no work.
    pub(super) fn plan_step(
        &mut self,
        config: &Config,
        role: Role,
        faults: &Faults,
        outcome: &mut Outcome,
    ) -> Option<Step> {
        self.admit(config, outcome);
        let (decode_indices, prefill) = self.partition_running(faults);
        let chunk_tokens = match role {
            Role::Prefill => PREFILL_CHUNK_TOKENS,
            Role::Mixed => MIXED_CHUNK_TOKENS,
            Role::Decode => DECODE_CHUNK_TOKENS,
        };
        let prefilled_tokens = self.prefill_chunk(&prefill, chunk_tokens);
        if decode_indices.is_empty() && prefilled_tokens == 0 {
            return None;
        }
        let decode_time = match decode_indices.len() {
            0 => Duration::ZERO,
            it => config.step_base + config.step_per_request * it as u32,
        };
        let prefill_time =
            Duration::from_secs_f64(f64::from(prefilled_tokens) / config.prefill_rate);
        Some(Step { duration: decode_time + prefill_time, decode_indices, prefilled_tokens })
    }

    /// Sends the tokens that a step has generated, once its duration has passed.
    pub(super) fn finish_step(
        &mut self,
        config: &Config,
        step: &Step,
        faults: &Faults,
        outcome: &mut Outcome,
    ) {
        outcome.prefilled_tokens += u64::from(step.prefilled_tokens);
        for index in &step.decode_indices {
            let job = &mut self.running[*index];
            if job.ending.is_none() {
                outcome.crashed |= job.triggers_crash(faults);
                if outcome.crashed {
                    return;
                }
                job.send_next_token(faults);
                outcome.generated_tokens += 1;
            }
        }
        self.finish_prefills(config, outcome);
    }

    /// Removes the requests that have ended; the caller records `outcome` before it closes them.
    pub(super) fn remove_ended(&mut self, outcome: &mut Outcome) -> Vec<Job> {
        let mut ended = Vec::new();
        for jobs in [&mut self.waiting, &mut self.running] {
            jobs.iter_mut().for_each(Job::check_connection);
            ended.extend(jobs.extract_if(.., |it| it.ending.is_some()));
        }
        outcome.endings.extend(ended.iter().filter_map(|it| it.ending));
        ended
    }

    /// Returns the KV memory that the running requests need once they are complete, in tokens.
    fn reserved_tokens(&self) -> u64 {
        self.running.iter().map(Job::kv_footprint).sum()
    }

    /// Starts waiting requests, as far as slots and KV memory allow.
    ///
    /// A request that alone exceeds the memory is admitted when no other one runs.
    fn admit(&mut self, config: &Config, outcome: &mut Outcome) {
        while let Some(job) = self.waiting.first() {
            let needed_tokens = self.reserved_tokens() + job.kv_footprint();
            let is_full = config.slots as usize <= self.running.len();
            if is_full || (config.kv_capacity < needed_tokens && !self.running.is_empty()) {
                return;
            }
            let mut job = self.waiting.remove(0);
            let cached_tokens = self.cache.lookup(&job.blocks);
            job.start_prefill(cached_tokens);
            outcome.cached_tokens += u64::from(job.cached_tokens());
            outcome
                .cache_events
                .extend(self.cache.evict_to(config.kv_capacity.saturating_sub(needed_tokens)));
            self.running.push(job);
        }
    }

    /// Returns the indices of the requests to decode, and by priority those to prefill.
    fn partition_running(&self, faults: &Faults) -> (Vec<usize>, Vec<usize>) {
        let (mut prefill, mut decode): (Vec<usize>, Vec<usize>) =
            (0..self.running.len()).partition(|it| 0 < self.running[*it].prefill_left);
        prefill.sort_by_key(|it| Reverse(self.running[*it].priority));
        decode.retain(|it| !self.running[*it].is_held(faults));
        (decode, prefill)
    }

    /// Prefills up to `chunk_tokens` tokens in the order of `indices`; returns how many.
    fn prefill_chunk(&mut self, indices: &[usize], chunk_tokens: u32) -> u32 {
        let mut left = chunk_tokens;
        for index in indices {
            let job = &mut self.running[*index];
            let tokens = job.prefill_left.min(left);
            job.prefill_left -= tokens;
            left -= tokens;
        }
        chunk_tokens - left
    }

    /// Caches the blocks of prompts whose prefill is complete, and responds to export requests.
    fn finish_prefills(&mut self, config: &Config, outcome: &mut Outcome) {
        let capacity = config.kv_capacity.saturating_sub(self.reserved_tokens());
        for job in
            self.running.iter_mut().filter(|it| it.prefill_left == 0 && !it.blocks.is_empty())
        {
            outcome.cache_events.extend(self.cache.store(&job.blocks));
            if job.kind == Kind::Generate {
                job.blocks.clear();
            }
        }
        outcome.cache_events.extend(self.cache.evict_to(capacity));
        for job in self.running.iter_mut().filter(|it| it.prefill_left == 0 && it.ending.is_none())
        {
            if let Kind::Export(handle) = job.kind.clone() {
                let blocks = std::mem::take(&mut job.blocks);
                let export = Export { tokens: job.prompt_tokens, blocks };
                outcome.exports.push((handle.clone(), export));
                job.send_export(config, &handle);
            }
        }
    }
}
