//! Helpers shared by several tests.
#![allow(dead_code)]

use std::time::Duration;

use fuchsiaknot_gateway::{
    configuration::{RequestKind, Route},
    entry::prompt::{Part, Prompt},
    placement::{
        dispatch::{Engine, Fleet, Request, place},
        engine::{Choice, LatencyBudget},
        load::Work,
        prefix_cache,
    },
    targets::target::{Stage, Target},
};
use slotmap::SlotMap;

use fuchsiaknot_gateway::targets::registry::Key;

/// Service of all engines and requests here.
pub(crate) const SERVICE: &str = "models";

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns distinct keys.
pub(crate) fn keys(count: usize) -> Vec<Key> {
    let mut map: SlotMap<Key, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

pub(crate) fn target(id: &str, sequence: u64) -> Target {
    Target {
        id: id.into(),
        incarnation: Some(1),
        sequence,
        service: SERVICE.into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: "a".into(),
        slots: 4,
        draining: false,
        withdrawable: false,
        stage: Some(Stage::Decode),
        software_version: Some("v1".into()),
    }
}

pub(crate) fn route(host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: ms(1000),
        latency_objective: ms(200),
        max_event_gap: ms(100),
        priority: 0,
        traffic_split: split.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        max_attempts: 2,
        allows_anonymous: false,
    }
}

/// Returns a prompt that consists of a shared part and a part of its own.
pub(crate) fn prompt(shared: &str, shared_tokens: u64, own: &str, own_tokens: u64) -> Prompt {
    Prompt {
        parts: vec![
            Part { id: shared.into(), tokens: shared_tokens },
            Part { id: own.into(), tokens: own_tokens },
        ],
        tokens: shared_tokens + own_tokens,
        max_output_tokens: 100,
    }
}

/// Returns an idle engine.
pub(crate) fn engine(key: Key, name: &str, stage: Stage) -> Engine {
    Engine {
        key,
        id: name.into(),
        stage,
        data_centre: 0,
        version: 0,
        software_version: Some("v1".into()),
        slots: 32,
        kv_capacity_tokens: 700_000,
        work: Work::default(),
        failure_rate: 0.0,
        slowness: 1.0,
    }
}

/// Returns a request that its caller sends for the first time.
pub(crate) fn request(number: u64, prompt: Prompt, objective: Duration) -> Request {
    Request {
        number,
        service: SERVICE.into(),
        prompt,
        priority: 1,
        objective,
        elapsed: Duration::ZERO,
        max_wait: ms(400),
        resumes: false,
        avoid: Vec::new(),
        version: None,
        account: None,
    }
}

/// Returns the engine chosen for the prefill of a request that has just arrived.
pub(crate) fn prefill_engine(
    fleet: &Fleet,
    request: &Request,
    cache: &prefix_cache::Index,
) -> Choice {
    let latency_budget = LatencyBudget { objective: request.objective, elapsed: request.elapsed };
    place(&fleet.candidates(request, cache), &fleet.latency_model, latency_budget)
        .unwrap()
        .prefill_engine
}
