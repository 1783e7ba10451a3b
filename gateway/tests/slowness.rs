//! Detection and avoidance of slow engines.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::{
    placement::{
        dispatch::{Engine, Fleet},
        engine::LatencyModel,
        load::Work,
        prefix_cache,
        slowness::{Summary, Tracker},
    },
    targets::{registry::Key, target::Stage},
};

use common::{engine, keys, ms, prefill_engine, prompt, request};

/// Returns the measurements of three engines, of which the last takes `factor` times as long
/// between two events.
fn measured(keys: &[Key], factor: f64) -> Tracker {
    let mut tracker = Tracker::default();
    for _ in 0..100 {
        for (at, key) in keys.iter().enumerate() {
            tracker.record(*key, if at == 2 { 20.0 * factor } else { 20.0 }, ms(1000));
        }
    }
    tracker
}

fn slowness(tracker: &Tracker, keys: &[Key], now: Duration) -> f64 {
    tracker.factor(keys[2], tracker.median(keys.iter().copied()), now)
}

#[test]
fn slow_engine() {
    let keys = keys(3);
    let slowness = slowness(&measured(&keys, 5.0), &keys, ms(1000));
    assert!((4.5..=5.0).contains(&slowness), "{slowness}");
}

/// Small differences by load or chance don't count.
#[test]
fn normal_variation() {
    let keys = keys(3);
    assert_eq!(slowness(&measured(&keys, 1.5), &keys, ms(1000)), 1.0);
}

/// The slowness of an engine decays while it gets no work, so that it is tried again.
#[test]
fn slowness_decays() {
    let keys = keys(3);
    let tracker = measured(&keys, 5.0);
    assert!(slowness(&tracker, &keys, ms(6000)) < 1.2);
}

/// Measurements of other hosts count like this host's own.
#[test]
fn reported_measurements() {
    let keys = keys(3);
    let mut tracker = measured(&keys, 1.0);
    for _ in 0..5 {
        tracker.record_summary(keys[2], Summary { count: 20, mean: 100.0 }, ms(1000));
    }
    assert!(4.0 < slowness(&tracker, &keys, ms(1000)));
    assert_eq!(tracker.take_own().len(), 3);
    assert!(tracker.take_own().is_empty());
}

/// One of the decode engines is five times slower. Short prompts go to the others, although those
/// have more load.
#[test]
fn slow_avoided() {
    let keys = keys(3);
    let engine = |at: usize, slowness: f64, requests: u32| Engine {
        work: Work { requests, prompt_tokens: 500, kv_tokens: 1000 },
        slowness,
        ..engine(keys[at], &format!("e{at}"), Stage::Decode)
    };
    let engines = vec![engine(0, 1.0, 10), engine(1, 1.0, 10), engine(2, 5.0, 0)];
    let fleet = Fleet { latency_model: LatencyModel::default(), engines };
    let request = request(1, prompt("s", 10, "p", 600), ms(300));
    assert_ne!(prefill_engine(&fleet, &request, &prefix_cache::Index::default()).key, keys[2]);
}
