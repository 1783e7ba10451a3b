//! Slow engines.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::{
    dispatch::{Engine, Fleet},
    engine::LatencyModel,
    load::Work,
    prefix_cache,
    registry::Key,
    slowness::{Summary, Tracker},
    target::Stage,
};

use common::{ask, engine, keys, ms, prompt, reader};

/// Returns paces of three engines, of which the last takes `slow` times as long between two events.
fn paces(keys: &[Key], slow: f64) -> Tracker {
    let mut paces = Tracker::default();
    for _ in 0..100 {
        for (at, key) in keys.iter().enumerate() {
            paces.record(*key, if at == 2 { 20.0 * slow } else { 20.0 }, ms(1000));
        }
    }
    paces
}

fn slowness(paces: &Tracker, keys: &[Key], now: Duration) -> f64 {
    paces.slowness(keys[2], paces.median(keys.iter().copied()), now)
}

#[test]
fn slow_engine() {
    let keys = keys(3);
    let seen = slowness(&paces(&keys, 5.0), &keys, ms(1000));
    assert!((4.5..=5.0).contains(&seen), "{seen}");
}

/// What differs a little, by load or chance, does not count.
#[test]
fn usual_spread() {
    let keys = keys(3);
    assert_eq!(slowness(&paces(&keys, 1.5), &keys, ms(1000)), 1.0);
}

/// An engine that gets no work since it was slow is tried again.
#[test]
fn forgotten() {
    let keys = keys(3);
    let paces = paces(&keys, 5.0);
    assert!(slowness(&paces, &keys, ms(6000)) < 1.2);
}

/// What other hosts measured counts as if it had been measured here.
#[test]
fn told() {
    let keys = keys(3);
    let mut paces = paces(&keys, 1.0);
    for _ in 0..5 {
        paces.record_summary(keys[2], Summary { count: 20, mean: 100.0 }, ms(1000));
    }
    assert!(4.0 < slowness(&paces, &keys, ms(1000)));
    assert_eq!(paces.take_own().len(), 3);
    assert!(paces.take_own().is_empty());
}

/// Pattern: one of the generating engines works five times slower. Short prompts go to the others even
/// when those have more to do.
#[test]
fn slow_avoided() {
    let keys = keys(3);
    let engine = |at: usize, slowness: f64, requests: u32| Engine {
        work: Work { requests, prompt_tokens: 500, memory_tokens: 1000 },
        slowness,
        ..engine(keys[at], &format!("e{at}"), Stage::Decode)
    };
    let engines = vec![engine(0, 1.0, 10), engine(1, 1.0, 10), engine(2, 5.0, 0)];
    let fleet = Fleet { latency_model: LatencyModel::default(), engines };
    let ask = ask(1, prompt("s", 10, "p", 600), ms(300));
    assert_ne!(reader(&fleet, &ask, &prefix_cache::Index::default()).key, keys[2]);
}
