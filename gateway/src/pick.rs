//! Gathers what the choice of a target needs from what this host believes.

use fuchsiaknot_core::{clock, id};

use crate::{
    choice::{self, Candidate},
    context::{Context, State},
    engine,
    job::Job,
    registry::Key,
    target::{Stage, Target},
};

/// Returns the target of a plain service that a job goes to next.
pub fn plain(context: &Context, job: &Job, tried: &[Key]) -> Option<Key> {
    let state = context.state();
    let candidates: Vec<Candidate> = untried(&state, &job.service, tried)
        .into_iter()
        .map(|(key, target)| Candidate {
            key,
            requests: state.work(key).requests,
            slots: target.slots,
            is_near: target.data_centre == context.settings.host.data_centre,
            failures: state.health.failures(key),
        })
        .collect();
    choice::choose(&candidates, rand::random())
}

/// Returns the engines that could read a job's prompt.
pub fn readers(context: &Context, job: &Job, tried: &[Key]) -> Vec<engine::Candidate> {
    engines(context, job, tried)
}

/// Returns the engine that generates from a prompt which another has read.
pub fn generator(context: &Context, job: &Job, tried: &[Key]) -> Option<Key> {
    let candidates = engines(context, job, tried);
    engine::choose_generator(&candidates)
}

fn engines(context: &Context, job: &Job, tried: &[Key]) -> Vec<engine::Candidate> {
    let state = context.state();
    let configuration = state.configuration.as_ref();
    let figures = configuration.and_then(|it| it.services.get(&job.service)?.engine);
    let memory = figures.map_or(u64::MAX, |it| it.memory_tokens);
    let home = job.prompt.shared().last().map_or("", |it| it.id.as_str());
    let usable = untried(&state, &job.service, tried);
    let mut candidates: Vec<(u64, engine::Candidate)> = usable
        .into_iter()
        .map(|(key, target)| {
            let work = state.work(key);
            let candidate = engine::Candidate {
                key,
                stage: target.stage.unwrap_or(Stage::Decode),
                unread: work.prompt_tokens,
                missing: state.missing(key, job),
                requests: work.requests,
                slots: target.slots,
                memory_used: work.memory_tokens,
                memory,
                memory_needed: job.prompt.tokens + job.prompt.output,
                is_near: target.data_centre == context.settings.host.data_centre,
                failures: state.health.failures(key),
            };
            (choice::rendezvous(&target.id, home), candidate)
        })
        .collect();
    let shared: u64 = job.prompt.shared().iter().map(|it| it.tokens).sum();
    for stage in [Stage::Prefill, Stage::Decode] {
        let of_stage = candidates.iter_mut().filter(|(_, it)| it.stage == stage);
        if let Some((_, home)) = of_stage.max_by_key(|(hash, _)| *hash) {
            home.missing = home.missing.min(job.prompt.tokens - shared);
        }
    }
    candidates.into_iter().map(|(_, it)| it).collect()
}

/// Returns the targets of a service that were not tried; paused ones only when there is no other.
fn untried<'a>(state: &'a State, service: &id::Service, tried: &[Key]) -> Vec<(Key, &'a Target)> {
    let now = clock::now();
    let fresh = state.registry.usable(service).filter(|(key, _)| !tried.contains(key));
    let (sound, paused): (Vec<_>, Vec<_>) =
        fresh.partition(|(key, _)| !state.health.is_paused(*key, now));
    if sound.is_empty() { paused } else { sound }
}
