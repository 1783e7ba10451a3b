//! Selects targets and engines, based on this host's view of their load and health.

use fuchsiaknot_core::{clock, id};

use crate::{
    balancer,
    context::{Context, State},
    dispatch::{self, Engine, Fleet, Placement, Request},
    engine::{self, LatencyBudget},
    job::Job,
    registry::Key,
    target::{Stage, Target},
};

/// Returns the target of a plain service for a job's next attempt.
pub fn service_target(context: &Context, job: &Job, tried: &[Key]) -> Option<Key> {
    let state = context.state();
    let candidates: Vec<balancer::Candidate> = untried(&state, &job.service, tried)
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
    let targets = untried(state, service, &[]);
    let stage = |target: &Target| target.stage.unwrap_or(Stage::Decode);
    let median = |wanted: Stage| {
        let of_stage = targets.iter().filter(|(_, it)| stage(it) == wanted).map(|(key, _)| *key);
        state.slowness.median(of_stage)
    };
    let (prefill_median, decode_median) = (median(Stage::Prefill), median(Stage::Decode));
    let mut data_centres: Vec<&id::DataCentre> = Vec::new();
    let engines = targets.iter().map(|(key, target)| Engine {
        key: *key,
        id: target.id.clone(),
        stage: stage(target),
        data_centre: index_of(&mut data_centres, &target.data_centre),
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
    Fleet { latency_model, engines: engines.collect() }
}

/// Returns the index of a data centre in the list, to which it is added if it is new.
fn index_of<'a>(data_centres: &mut Vec<&'a id::DataCentre>, name: &'a id::DataCentre) -> u16 {
    let index = data_centres.iter().position(|it| *it == name).unwrap_or_else(|| {
        data_centres.push(name);
        data_centres.len() - 1
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
    let data_centre = fleet.engines.iter().find(|it| it.key == prefill_engine)?.data_centre;
    let candidates = fleet.candidates(request, &state.prefix_cache);
    engine::choose_decode_engine(&candidates, data_centre)
}

/// Returns the targets of a service that were not tried yet; paused ones only if there are no
/// others.
fn untried<'a>(state: &'a State, service: &id::Service, tried: &[Key]) -> Vec<(Key, &'a Target)> {
    let now = clock::now();
    let untried = state.registry.usable(service).filter(|(key, _)| !tried.contains(key));
    let (healthy, paused): (Vec<_>, Vec<_>) =
        untried.partition(|(key, _)| !state.health.is_paused(*key, now));
    if healthy.is_empty() { paused } else { healthy }
}
