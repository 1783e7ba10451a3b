//! Selects targets and engines, based on this host's view of their load and health.

use std::time::Duration;

use fuchsiaknot_core::{clock, id};

use crate::{
    context::{Context, State},
    entry::job::Job,
    placement::{
        balancer,
        dispatch::{self, Engine, Fleet, Placement, Request},
        engine::{self, LatencyBudget},
    },
    targets::{
        registry::Key,
        target::{Stage, Target},
    },
};

/// Returns the target of a plain service for a job's next attempt.
pub fn service_target(context: &Context, job: &Job, tried: &[Key]) -> Option<Key> {
    let state = context.state();
    let now = clock::now();
    let is_excluded = |key| tried.contains(&key) || !state.is_available(key, now);
    let is_excluded = |key, target: &Target| is_excluded(key) || !job.allows(target);
    let candidates: Vec<balancer::Candidate> = preferred(&state, &job.service, is_excluded)
        .into_iter()
        .map(|(key, target)| balancer::Candidate {
            key,
            requests: state.total_work(key).requests,
            slots: target.slots,
            is_local: target.data_centre == context.settings.host.data_centre,
            failure_rate: state.health.failure_rate(key),
        })
        .collect();
    balancer::choose(&candidates, rand::random())
}

/// Returns the engines of a service with their load.
pub fn fleet(state: &State, service: &id::Service) -> Fleet {
    let kv_capacity_tokens = state.kv_capacity_tokens(service);
    let now = clock::now();
    // A backoff binds only the host that was asked; a request names the engines that it avoids.
    let targets = preferred(state, service, |key, _| state.availability.is_leaving(key));
    let stage = |target: &Target| target.stage.unwrap_or(Stage::Decode);
    let median = |wanted: Stage| {
        let of_stage = targets.iter().filter(|(_, it)| stage(it) == wanted).map(|(key, _)| *key);
        state.slowness.median(of_stage)
    };
    let (prefill_median, decode_median) = (median(Stage::Prefill), median(Stage::Decode));
    let mut data_centres: Vec<&id::DataCentre> = Vec::new();
    let mut versions: Vec<&Option<id::SoftwareVersion>> = Vec::new();
    let engines = targets.iter().map(|(key, target)| Engine {
        key: *key,
        id: target.id.clone(),
        stage: stage(target),
        data_centre: index_of(&mut data_centres, &target.data_centre),
        version: index_of(&mut versions, &target.software_version),
        software_version: target.software_version.clone(),
        slots: target.slots,
        kv_capacity_tokens,
        work: state.total_work(*key),
        failure_rate: state.health.failure_rate(*key),
        slowness: match stage(target) {
            Stage::Prefill => state.slowness.factor(*key, prefill_median, now),
            Stage::Decode => state.slowness.factor(*key, decode_median, now),
        },
    });
    let latency_model = state.latency_models.get(service).copied().unwrap_or_default();
    let latency_model = latency_model.with_fetch_rate(state.fetch_rate(service));
    Fleet { latency_model, engines: engines.collect() }
}

/// Returns the index of an item in the list, to which it is added if it is new.
fn index_of<'a, T: PartialEq>(items: &mut Vec<&'a T>, item: &'a T) -> u16 {
    let index = items.iter().position(|it| *it == item).unwrap_or_else(|| {
        items.push(item);
        items.len() - 1
    });
    u16::try_from(index).unwrap_or(u16::MAX)
}

/// Returns where this host places a request without the dispatcher, and whether it should start
/// now.
pub fn place_locally(state: &State, request: &Request) -> Option<(Placement, bool)> {
    let fleet = fleet(state, &request.service);
    let mut candidates = fleet.candidates(request, &state.prefix_cache);
    // Without the dispatcher's prefix cache index, the home engines are assumed to hold the shared
    // tokens: all hosts send the prompts that share them there.
    for home in candidates.iter_mut().filter(|it| it.is_home) {
        home.missing_tokens = home.missing_tokens.min(request.prompt.unshared_tokens().max(1));
    }
    let latency_budget = LatencyBudget { objective: request.objective, elapsed: request.elapsed };
    let placement = dispatch::place(&candidates, &fleet.latency_model, latency_budget)?;
    let should_start = engine::should_start(latency_budget, placement.prefill_engine.estimate);
    Some((placement, should_start))
}

/// Returns the decode engine for a request whose prompt an engine has already prefilled, chosen by
/// this host alone.
pub fn decode_engine(state: &State, request: &Request, prefill_engine: Key) -> Option<Key> {
    let fleet = fleet(state, &request.service);
    let prefill_engine = fleet.engines.iter().find(|it| it.key == prefill_engine)?.without_prompt();
    let candidates = fleet.candidates(request, &state.prefix_cache);
    engine::choose_decode_engine(&candidates, &prefill_engine)
}

/// Returns whether all engines of a service that generate, of which there is at least one, are
/// leaving.
pub fn are_all_leaving(state: &State, service: &id::Service) -> bool {
    let mut engines = answering(state, service).peekable();
    engines.peek().is_some() && engines.all(|key| state.availability.is_leaving(key))
}

/// Returns the targets of a service that answer requests: all but the engines that only prefill.
pub fn answering(state: &State, service: &id::Service) -> impl Iterator<Item = Key> {
    let targets = state.registry.usable(service);
    targets.filter(|(_, it)| it.stage != Some(Stage::Prefill)).map(|(key, _)| key)
}

/// Returns the time until a target of a service that can answer a request is available to this host;
/// zero if one is, or if all are leaving.
pub fn time_until_available(state: &State, service: &id::Service) -> Duration {
    let now = clock::now();
    let times = answering(state, service).filter_map(|key| state.time_until_available(key, now));
    times.min().unwrap_or_default()
}

/// Returns the targets of a service that are not excluded; paused ones only if there are no others.
fn preferred<'a>(
    state: &'a State,
    service: &id::Service,
    is_excluded: impl Fn(Key, &Target) -> bool,
) -> Vec<(Key, &'a Target)> {
    let now = clock::now();
    let eligible = state.registry.usable(service).filter(|(key, it)| !is_excluded(*key, it));
    let (healthy, paused): (Vec<_>, Vec<_>) =
        eligible.partition(|(key, _)| !state.health.is_paused(*key, now));
    if healthy.is_empty() { paused } else { healthy }
}
