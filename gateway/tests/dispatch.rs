//! Which prompts go to which engines, and in which order.

mod common;

use std::collections::HashMap;

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::{
    dispatch::{DecidedRequest, Decision, Fleet, Queue, Request},
    engine::LatencyModel,
    prefix_cache,
    registry::Key,
    target::Stage,
};

use common::{SERVICE, ask, engine, keys, ms, prompt, reader};
use rstest::rstest;

/// Returns two engines that read and two that generate.
fn fleet(keys: &[Key]) -> HashMap<id::Service, Fleet> {
    let stages = [Stage::Prefill, Stage::Prefill, Stage::Decode, Stage::Decode];
    let engines =
        stages.iter().enumerate().map(|(at, it)| engine(keys[at], &format!("e{at}"), *it));
    let fleet = Fleet { latency_model: LatencyModel::default(), engines: engines.collect() };
    HashMap::from([(SERVICE.into(), fleet)])
}

fn placed(decided: &[DecidedRequest]) -> Vec<u64> {
    let placed = decided.iter().filter(|it| matches!(it.decision, Decision::Place(_)));
    placed.map(|it| it.request.number).collect()
}

/// Pattern: four hosts send long prompts in the same moment. Each idle engine gets one and the rest
/// wait in the queue instead of behind each other.
#[test]
fn simultaneous_prompts() {
    let keys = keys(4);
    let mut queue = Queue::default();
    for number in 0..8 {
        let prompt = prompt(&format!("s{number}"), 10, &format!("p{number}"), 12_000);
        queue.add(format!("h{number}").into(), ask(number, prompt, ms(400)), ms(0));
    }
    let decided = queue.decide(&mut fleet(&keys), &prefix_cache::Index::default(), ms(0));
    let mut readers: Vec<Key> = decided
        .iter()
        .filter_map(|it| match it.decision {
            Decision::Place(placement) => Some(placement.prefill_engine.key),
            Decision::Refuse(_) => None,
        })
        .collect();
    readers.sort();
    let count = readers.len();
    readers.dedup();
    assert_eq!(count, readers.len(), "two prompts for one engine");
    assert!(2 <= count);
}

/// Pattern: long prompts beside short ones. A short prompt is not sent behind a long one.
#[test]
fn short_beside_long() {
    let keys = keys(4);
    let mut queue = Queue::default();
    let mut fleets = fleet(&keys);
    for engine in &mut fleets.get_mut(SERVICE).unwrap().engines[..2] {
        engine.work.prompt_tokens = 40_000;
    }
    queue.add("h1".into(), ask(1, prompt("s", 10, "p", 600), ms(200)), ms(0));
    let decided = queue.decide(&mut fleets, &prefix_cache::Index::default(), ms(0));
    let Decision::Place(placement) = decided[0].decision else { panic!("{decided:?}") };
    assert_eq!(placement.prefill_engine.stage, Stage::Decode);
}

/// Pattern: prompts that share a long beginning. The second goes to the engine that holds it, though
/// another is idle.
#[test]
fn shared_beginning() {
    let keys = keys(4);
    let mut cache = prefix_cache::Index::default();
    let shared = prompt("contract", 6000, "first", 500);
    cache.record_prefill(keys[0], &shared.parts, 700_000);
    let mut fleets = fleet(&keys);
    fleets.get_mut(SERVICE).unwrap().engines[0].work.prompt_tokens = 1500;
    let mut queue = Queue::default();
    queue.add("h1".into(), ask(1, prompt("contract", 6000, "second", 500), ms(400)), ms(0));
    let decided = queue.decide(&mut fleets, &cache, ms(0));
    let Decision::Place(placement) = decided[0].decision else { panic!("{decided:?}") };
    assert_eq!(placement.prefill_engine.key, keys[0]);
}

/// Pattern: prompts that share a long beginning, in a burst. One more waits for the engine that holds the
/// beginning as long as it is still on time there; a prompt that nobody has read goes to the idle engine.
#[rstest]
#[case::held("contract", 0)]
#[case::new("other", 1)]
fn shared_in_burst(#[case] beginning: &str, #[case] expected: usize) {
    let keys = keys(4);
    let mut cache = prefix_cache::Index::default();
    cache.record_prefill(keys[0], &prompt("contract", 6000, "first", 500).parts, 700_000);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    fleet.engines.truncate(3);
    fleet.engines[0].work.prompt_tokens = 14_000;
    let ask = ask(1, prompt(beginning, 6000, "second", 2000), ms(600));
    assert_eq!(reader(fleet, &ask, &cache).key, keys[expected]);
}

/// Pattern: a burst beyond what can be read in time. What can still be on time goes before what is
/// late already.
#[test]
fn late_goes_last() {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    fleet.engines.truncate(1);
    fleet.engines.push(engine(keys[2], "e2", Stage::Decode));
    fleet.engines[1].work.prompt_tokens = 60_000;
    let mut queue = Queue::default();
    let late = Request { elapsed: ms(900), ..ask(1, prompt("a", 10, "b", 9000), ms(300)) };
    queue.add("h1".into(), late, ms(0));
    queue.add("h2".into(), ask(2, prompt("c", 10, "d", 9000), ms(300)), ms(1));
    let mut first = Vec::new();
    for _ in 0..40 {
        let mut engines = fleets.clone();
        let decided = queue.decide(&mut engines, &prefix_cache::Index::default(), ms(2));
        first.extend(placed(&decided));
    }
    assert_eq!(first.first(), Some(&2), "{first:?}");
}

/// Pattern: overload. What waits longer than its patience, or would, is refused at once with the
/// time that the work before it takes.
#[test]
fn overload_refuses() {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    for engine in &mut fleets.get_mut(SERVICE).unwrap().engines {
        engine.work.prompt_tokens = 500_000;
    }
    let mut queue = Queue::default();
    queue.add("h1".into(), ask(1, prompt("a", 10, "b", 2000), ms(200)), ms(0));
    let decided = queue.decide(&mut fleets, &prefix_cache::Index::default(), ms(0));
    assert!(matches!(decided[0].decision, Decision::Refuse(ahead) if ms(400) < ahead));
    assert!(queue.is_empty());
}

/// Nothing is refused while an engine is idle.
#[test]
fn idle_engine() {
    let keys = keys(4);
    let mut queue = Queue::default();
    let late = Request { elapsed: ms(5000), ..ask(1, prompt("a", 10, "b", 50_000), ms(200)) };
    queue.add("h1".into(), late, ms(0));
    let decided = queue.decide(&mut fleet(&keys), &prefix_cache::Index::default(), ms(0));
    assert_eq!(placed(&decided), [1]);
}

/// An engine that failed a request is not chosen for it again.
#[test]
fn avoided_engine() {
    let keys = keys(4);
    let mut queue = Queue::default();
    let avoid = vec!["e0".into(), "e1".into(), "e2".into()];
    queue.add("h1".into(), Request { avoid, ..ask(1, prompt("a", 10, "b", 500), ms(400)) }, ms(0));
    let decided = queue.decide(&mut fleet(&keys), &prefix_cache::Index::default(), ms(0));
    let Decision::Place(placement) = decided[0].decision else { panic!("{decided:?}") };
    assert_eq!(placement.prefill_engine.key, keys[3]);
}

/// Pattern: an engine dies with many streams. They go on before anything new starts.
#[test]
fn broken_streams_first() {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    fleet.engines.truncate(1);
    fleet.engines.push(engine(keys[2], "e2", Stage::Decode));
    fleet.engines[1].work.prompt_tokens = 60_000;
    let mut queue = Queue::default();
    queue.add("h1".into(), ask(1, prompt("a", 10, "b", 9000), ms(200)), ms(0));
    let broken =
        Request { resumes: true, elapsed: ms(5000), ..ask(2, prompt("c", 10, "d", 9000), ms(200)) };
    queue.add("h2".into(), broken, ms(1));
    let decided = queue.decide(&mut fleets, &prefix_cache::Index::default(), ms(2));
    assert_eq!(placed(&decided), [2]);
}

/// Pattern: prompts that are read beside streams. Where pauses have room to grow, a generating engine
/// reads at once what a busy reading engine would read later; where they have none, it does not.
#[rstest]
#[case::room(400, Stage::Decode)]
#[case::no_room(60, Stage::Prefill)]
fn beside_streams(#[case] longest_pause: u64, #[case] expected: Stage) {
    let keys = keys(4);
    let mut fleets = fleet(&keys);
    let fleet = fleets.get_mut(SERVICE).unwrap();
    for _ in 0..200 {
        fleet.latency_model.record_pause(ms(56), ms(longest_pause));
    }
    for engine in &mut fleet.engines[..2] {
        engine.work.prompt_tokens = 12_000;
    }
    let ask = ask(1, prompt("s", 10, "p", 3000), ms(400));
    assert_eq!(reader(fleet, &ask, &prefix_cache::Index::default()).stage, expected);
}
