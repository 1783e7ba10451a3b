//! Placement of prompts on engines, and the order in which the queue is served.

mod common;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::{
    placement::{
        dispatch::{DecidedRequest, Decision, Engine, Fleet, Queue, Request},
        engine::{LatencyModel, choose_decode_engine},
        prefix_cache,
    },
    targets::{registry::Key, target::Stage},
};

use common::{SERVICE, engine, keys, ms, prefill_engine, prompt, request};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Returns two prefill engines and two decode engines.
fn fleet(keys: &[Key]) -> HashMap<id::Service, Fleet> {
    let stages = [Stage::Prefill, Stage::Prefill, Stage::Decode, Stage::Decode];
    let engines =
        stages.iter().enumerate().map(|(at, it)| engine(keys[at], &format!("e{at}"), *it));
    let fleet = Fleet { latency_model: LatencyModel::default(), engines: engines.collect() };
    HashMap::from([(SERVICE.into(), fleet)])
}

fn placed_numbers(decided: &[DecidedRequest]) -> Vec<u64> {
    let placed = decided.iter().filter(|it| matches!(it.decision, Decision::Place(_)));
    placed.map(|it| it.request.number).collect()
}

/// Eight hosts send long prompts at the same time. Each idle engine gets one; the rest stays in the
/// queue instead of waiting behind each other at an engine.
#[test]
fn simultaneous_prompts() {
    let keys = keys(4);
    let mut queue = Queue::default();
    for number in 0..8 {
        let prompt = prompt(&format!("s{number}"), 10, &format!("p{number}"), 12_000);
        queue.add(format!("h{number}").into(), request(number, prompt, ms(400)), ms(0));
    }
    let decided = queue.decide(&mut fleet(&keys), &prefix_cache::Index::default(), ms(0));
    let mut prefill_engines: Vec<Key> = decided
        .iter()
        .filter_map(|it| match it.decision {
            Decision::Place(placement) => Some(placement.prefill_engine.key),
            Decision::Refuse(_) => None,
        })
        .collect();
    prefill_engines.sort();
    let count = prefill_engines.len();
    prefill_engines.dedup();
    assert_eq!(count, prefill_engines.len(), "two prompts for one engine");
    assert!(2 <= count);
}

/// The prefill engines are busy with long prompts. A short prompt is not queued behind a long one.
#[test]
fn short_beside_long() {
    let keys = keys(4);
    let mut queue = Queue::default();
    let mut fleets = fleet(&keys);
    for engine in &mut fleets.get_mut(SERVICE).unwrap().engines[..2] {
        engine.work.prompt_tokens = 40_000;
    }
    queue.add("h1".into(), request(1, prompt("s", 10, "p", 600), ms(200)), ms(0));
    let decided = queue.decide(&mut fleets, &prefix_cache::Index::default(), ms(0));
    let Decision::Place(placement) = decided[0].decision else { panic!("{decided:?}") };
    assert_eq!(placement.prefill_engine.stage, Stage::Decode);
}

/// Two prompts share a long prefix. The second goes to the engine that holds the prefix in its
/// cache, although another is idle.
#[test]
fn shared_prefix() {
    let keys = keys(4);
    let mut cache = prefix_cache::Index::default();
    let shared = prompt("contract", 6000, "first", 500);
    cache.record_prefill(keys[0], &shared.parts, 700_000);
    let mut fleets = fleet(&keys);
    fleets.get_mut(SERVICE).unwrap().engines[0].work.prompt_tokens = 1500;
    let mut queue = Queue::default();
    queue.add("h1".into(), request(1, prompt("contract", 6000, "second", 500), ms(400)), ms(0));
    let decided = queue.decide(&mut fleets, &cache, ms(0));
    let Decision::Place(placement) = decided[0].decision else { panic!("{decided:?}") };
    assert_eq!(placement.prefill_engine.key, keys[0]);
}

/// In a burst of prompts with a shared prefix, a further one waits for the engine that holds the
/// prefix in its cache while it is still on time there; a prompt with a new prefix goes to the idle
/// engine.
#[rstest]
#[case::cached("contract", 0)]
#[case::new("other", 1)]
fn shared_in_burst(#[case] prefix: &str, #[case] expected: usize) {
    let keys = keys(4);
    let mut cache = prefix_cache::Index::default();
    cache.record_prefill(keys[0], &prompt("contract", 6000, "first", 500).parts, 700_000);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    fleet.engines.truncate(3);
    fleet.engines[0].work.prompt_tokens = 14_000;
    let request = request(1, prompt(prefix, 6000, "second", 2000), ms(600));
    assert_eq!(prefill_engine(fleet, &request, &cache).key, keys[expected]);
}

/// More prompts arrive than can be prefilled in time. Requests that can still be on time are placed
/// before those that are already late.
#[test]
fn late_goes_last() {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    fleet.engines.truncate(1);
    fleet.engines.push(engine(keys[2], "e2", Stage::Decode));
    fleet.engines[1].work.prompt_tokens = 60_000;
    let mut queue = Queue::default();
    let late = Request { elapsed: ms(900), ..request(1, prompt("a", 10, "b", 9000), ms(300)) };
    queue.add("h1".into(), late, ms(0));
    queue.add("h2".into(), request(2, prompt("c", 10, "d", 9000), ms(300)), ms(1));
    let mut placed = Vec::new();
    for _ in 0..40 {
        let mut engines = fleets.clone();
        let decided = queue.decide(&mut engines, &prefix_cache::Index::default(), ms(2));
        placed.extend(placed_numbers(&decided));
    }
    assert_eq!(placed.first(), Some(&2), "{placed:?}");
}

/// Under overload, a request whose expected queue time exceeds its longest wait is refused
/// immediately, with this queue time.
#[test]
fn overload_refuses() {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    for engine in &mut fleets.get_mut(SERVICE).unwrap().engines {
        engine.work.prompt_tokens = 500_000;
    }
    let mut queue = Queue::default();
    queue.add("h1".into(), request(1, prompt("a", 10, "b", 2000), ms(200)), ms(0));
    let decided = queue.decide(&mut fleets, &prefix_cache::Index::default(), ms(0));
    assert!(matches!(decided[0].decision, Decision::Refuse(queue_time) if ms(400) < queue_time));
    assert!(queue.is_empty());
}

/// Even a late request is placed while an engine is idle.
#[test]
fn idle_engine() {
    let keys = keys(4);
    let mut queue = Queue::default();
    let late = Request { elapsed: ms(5000), ..request(1, prompt("a", 10, "b", 50_000), ms(200)) };
    queue.add("h1".into(), late, ms(0));
    let decided = queue.decide(&mut fleet(&keys), &prefix_cache::Index::default(), ms(0));
    assert_eq!(placed_numbers(&decided), [1]);
}

/// Only a request that is late because of the work before it counts as held up, not one that is late
/// by its own size or came late.
#[test]
fn held_up() {
    let keys = keys(4);
    let mut queue = Queue::default();
    let large = request(1, prompt("a", 10, "b", 50_000), ms(200));
    let late = Request { elapsed: ms(5000), ..request(2, prompt("a", 10, "c", 500), ms(200)) };
    let waiting = request(3, prompt("a", 10, "d", 500), ms(200));
    for request in [large, late, waiting] {
        queue.add("h1".into(), request, ms(0));
    }
    let cache = prefix_cache::Index::default();
    for _ in 0..2 {
        for it in queue.decide(&mut fleet(&keys), &cache, ms(190)) {
            assert_eq!(it.is_held_up, it.request.number == 3, "{it:?}");
        }
    }
    assert!(queue.is_empty());
}

/// An engine that failed a request is not chosen for it again.
#[test]
fn avoided_engine() {
    let keys = keys(4);
    let mut queue = Queue::default();
    let avoid = vec!["e0".into(), "e1".into(), "e2".into()];
    queue.add(
        "h1".into(),
        Request { avoid, ..request(1, prompt("a", 10, "b", 500), ms(400)) },
        ms(0),
    );
    let decided = queue.decide(&mut fleet(&keys), &prefix_cache::Index::default(), ms(0));
    let Decision::Place(placement) = decided[0].decision else { panic!("{decided:?}") };
    assert_eq!(placement.prefill_engine.key, keys[3]);
}

/// After an engine crash, the interrupted streams resume before new requests start.
#[test]
fn interrupted_streams_first() {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    fleet.engines.truncate(1);
    fleet.engines.push(engine(keys[2], "e2", Stage::Decode));
    fleet.engines[1].work.prompt_tokens = 60_000;
    let mut queue = Queue::default();
    queue.add("h1".into(), request(1, prompt("a", 10, "b", 9000), ms(200)), ms(0));
    let interrupted = Request {
        resumes: true,
        elapsed: ms(5000),
        ..request(2, prompt("c", 10, "d", 9000), ms(200))
    };
    queue.add("h2".into(), interrupted, ms(1));
    let decided = queue.decide(&mut fleets, &prefix_cache::Index::default(), ms(2));
    assert_eq!(placed_numbers(&decided), [2]);
}

/// A prefill on a decode engine lengthens the pauses of the streams there. While the pauses are far
/// below the permitted length, a decode engine prefills a prompt for which the prefill engines are
/// too busy; when they are close to it, it doesn't.
#[rstest]
#[case::short_pauses(400, Stage::Decode)]
#[case::long_pauses(60, Stage::Prefill)]
fn prefill_beside_streams(#[case] longest_pause: u64, #[case] expected: Stage) {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    for _ in 0..200 {
        fleet.latency_model.record_pause(ms(56), ms(longest_pause));
    }
    for engine in &mut fleet.engines[..2] {
        engine.work.prompt_tokens = 12_000;
    }
    let request = request(1, prompt("s", 10, "p", 3000), ms(400));
    assert_eq!(prefill_engine(fleet, &request, &prefix_cache::Index::default()).stage, expected);
}

/// Prompts with a few shared parts, one after another, while the decode engines are little occupied.
/// Each shared part stays on one decode engine instead of being copied to all of them; an engine
/// that is far more occupied than the others gets no further prompt.
#[test]
fn decode_engine_holds_prefix() {
    let keys = keys(10);
    let mut cache = prefix_cache::Index::default();
    let mut rng = StdRng::seed_from_u64(5);
    let mut used: BTreeMap<String, BTreeSet<Key>> = BTreeMap::new();
    for number in 0..120 {
        let part = format!("s{}", number % 6);
        let mut engines: Vec<Engine> = Vec::new();
        for (at, key) in keys.iter().enumerate() {
            let stage = if at < 2 { Stage::Prefill } else { Stage::Decode };
            let mut engine = engine(*key, &format!("e{at}"), stage);
            engine.work.requests = if at == 9 { 28 } else { rng.random_range(0..3) };
            engines.push(engine);
        }
        let fleet = Fleet { latency_model: LatencyModel::default(), engines };
        let prompt = prompt(&part, 13_000, &format!("p{number}"), 4000);
        let request = request(number, prompt.clone(), ms(600));
        let candidates = fleet.candidates(&request, &cache);
        let decode_engine = choose_decode_engine(&candidates, &candidates[0]).unwrap();
        assert_ne!(decode_engine, keys[9]);
        cache.record_prefill(decode_engine, &prompt.parts, 450_000);
        used.entry(part).or_default().insert(decode_engine);
    }
    assert!(used.values().all(|it| it.len() == 1), "{used:?}");
}

/// Five data centres with engines of both stages, all equally occupied. The KV cache of a long prompt
/// stays in the data centre where it was prefilled; when the engines there are far more occupied,
/// another data centre generates.
#[rstest]
#[case::equally_occupied(2, true)]
#[case::far_more_occupied(28, false)]
fn decode_in_same_data_centre(#[case] requests: u32, #[case] expected: bool) {
    let keys = keys(50);
    let mut rng = StdRng::seed_from_u64(3);
    for number in 0..40 {
        let mut engines: Vec<Engine> = Vec::new();
        for (at, key) in keys.iter().enumerate() {
            let stage = if at < 10 { Stage::Prefill } else { Stage::Decode };
            let mut engine = engine(*key, &format!("e{at}"), stage);
            engine.data_centre = at as u16 % 5;
            engine.work.requests = if at % 5 == 0 { requests } else { rng.random_range(1..3) };
            if stage == Stage::Prefill && at % 5 != 0 {
                engine.work.prompt_tokens = 90_000;
            }
            engines.push(engine);
        }
        let prompt = prompt(&format!("s{number}"), 10, &format!("p{number}"), 20_000);
        let fleet = Fleet { latency_model: LatencyModel::default(), engines };
        let mut fleets = HashMap::from([(SERVICE.into(), fleet)]);
        let mut queue = Queue::default();
        queue.add("h1".into(), request(number, prompt, ms(600)), ms(0));
        let decided = queue.decide(&mut fleets, &prefix_cache::Index::default(), ms(0));
        let Decision::Place(placement) = decided[0].decision else { panic!("{decided:?}") };
        assert_eq!(placement.prefill_engine.stage, Stage::Prefill);
        let decode_engine = placement.decode_engine.unwrap();
        let at = keys.iter().position(|it| *it == decode_engine).unwrap();
        assert_eq!(at % 5 == 0, expected, "engine {at}");
    }
}

/// In a large fleet, a prompt is compared only with the least loaded engines, its homes and the
/// holders of its shared parts. It goes where the comparison with all engines would send it.
#[test]
fn large_fleet() {
    const ENGINES: usize = 400;
    let keys = keys(ENGINES);
    let mut rng = StdRng::seed_from_u64(11);
    let mut placed = 0;
    for round in 0..200 {
        let mut cache = prefix_cache::Index::default();
        let mut engines: Vec<Engine> = Vec::new();
        for (at, key) in keys.iter().enumerate() {
            let stage = if at % 4 == 0 { Stage::Prefill } else { Stage::Decode };
            let mut engine = engine(*key, &format!("e{at}"), stage);
            engine.work.prompt_tokens = rng.random_range(0..9000);
            engine.work.requests = rng.random_range(0..34);
            engines.push(engine);
        }
        for _ in 0..rng.random_range(0..6) {
            let held = prompt("contract", 6000, "held", 100).parts;
            cache.record_prefill(keys[rng.random_range(0..ENGINES)], &held, 700_000);
        }
        let fleet = Fleet { latency_model: LatencyModel::default(), engines };
        let prompt = prompt("contract", 6000, "own", rng.random_range(100..9000));
        let request = request(round, prompt, ms(5000));
        let expected = prefill_engine(&fleet, &request, &cache);
        let mut fleets = HashMap::from([(SERVICE.into(), fleet)]);
        let mut queue = Queue::default();
        queue.add("h1".into(), request, ms(0));
        let decided = queue.decide(&mut fleets, &cache, ms(0));
        // A prompt for a busy engine stays in the queue.
        let Some(Decision::Place(placement)) = decided.first().map(|it| it.decision) else {
            continue;
        };
        placed += 1;
        assert_eq!(placement.prefill_engine, expected, "round {round}");
    }
    assert!(50 < placed, "{placed}");
}

/// Returns two prefill and two decode engines, one of each of a second software version.
fn mixed_fleet(keys: &[Key]) -> HashMap<id::Service, Fleet> {
    let mut fleets = fleet(keys);
    for at in [1, 3] {
        let engine = &mut fleets.get_mut(SERVICE).unwrap().engines[at];
        (engine.version, engine.software_version) = (1, Some("v1.1".into()));
    }
    fleets
}

fn place_one(fleets: &mut HashMap<id::Service, Fleet>, request: Request) -> Decision {
    let mut queue = Queue::default();
    queue.add("h1".into(), request, ms(0));
    queue.decide(fleets, &prefix_cache::Index::default(), ms(0))[0].decision
}

/// A prompt was prefilled at one software version and generated from its KV cache at another.
#[rstest]
#[case::first_version(0)]
#[case::second_version(1)]
fn handover_within_version(#[case] busy: usize) {
    let keys = keys(4);
    let mut fleets = mixed_fleet(&keys);
    let engines = &mut fleets.get_mut(SERVICE).unwrap().engines;
    engines[busy].work.prompt_tokens = 8000;
    // The decode engine of the same version as the idle prefill engine is the busier one.
    engines[3 - busy].work.requests = 12;
    let Decision::Place(placement) =
        place_one(&mut fleets, request(1, prompt("s", 6000, "p", 6000), ms(400)))
    else {
        panic!("not placed")
    };
    assert_eq!(placement.prefill_engine.key, keys[1 - busy]);
    assert_eq!(placement.decode_engine, Some(keys[3 - busy]));
}

/// A stream that began at one software version was placed at another one that was less busy.
#[test]
fn required_version() {
    let keys = keys(4);
    let mut fleets = mixed_fleet(&keys);
    let engines = &mut fleets.get_mut(SERVICE).unwrap().engines;
    engines[1].work.prompt_tokens = 3000;
    engines[3].work.requests = 12;
    let resumed = Request {
        resumes: true,
        version: Some("v1.1".into()),
        max_wait: ms(1200),
        ..request(1, prompt("s", 10, "p", 600), ms(400))
    };
    let Decision::Place(placement) = place_one(&mut fleets, resumed) else { panic!("not placed") };
    assert!([keys[1], keys[3]].contains(&placement.prefill_engine.key));
}

/// A stream whose software version no engine runs is refused at once.
#[test]
fn version_not_served() {
    let keys = keys(4);
    let gone = Request {
        resumes: true,
        version: Some("v0".into()),
        max_wait: ms(1200),
        ..request(1, prompt("s", 10, "p", 600), ms(400))
    };
    let decision = place_one(&mut mixed_fleet(&keys), gone);
    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}
