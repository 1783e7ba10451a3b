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
    let usable = untried(&state, &job.service, tried);
    let mut candidates: Vec<engine::Candidate> = usable
        .into_iter()
        .map(|(key, target)| {
            let work = state.work(key);
            engine::Candidate {
                key,
                stage: target.stage.unwrap_or(Stage::Decode),
                rank: choice::rendezvous(&target.id, job.prompt.home()),
                is_home: false,
                unread: work.prompt_tokens,
                missing: state.missing(key, job),
                requests: work.requests,
                slots: target.slots,
                memory_used: work.memory_tokens,
                memory,
                memory_needed: job.prompt.tokens + job.prompt.output,
                is_near: target.data_centre == context.settings.host.data_centre,
                failures: state.health.failures(key),
            }
        })
        .collect();
    engine::mark_homes(&mut candidates, job.prompt.unshared());
    candidates
}

/// Returns the targets of a service that were not tried; paused ones only when there is no other.
fn untried<'a>(state: &'a State, service: &id::Service, tried: &[Key]) -> Vec<(Key, &'a Target)> {
    let now = clock::now();
    let fresh = state.registry.usable(service).filter(|(key, _)| !tried.contains(key));
    let (sound, paused): (Vec<_>, Vec<_>) =
        fresh.partition(|(key, _)| !state.health.is_paused(*key, now));
    if sound.is_empty() { paused } else { sound }
}
