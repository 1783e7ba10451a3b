//! What the checkpoint in the store holds, and how large it may become.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::{
    checkpoint::contents::{Contents, MAX_BYTES, Malformed},
    targets::{
        poison::{Detector, Report, Suspect},
        poison_part::Block,
        registry::{Change, Registry},
        target::Run,
        tombstone,
    },
};

use common::{SERVICE, ms, target};

fn run(target: &str) -> Run {
    Run { target: target.into(), incarnation: Some(1_764_000_000_000) }
}

fn request(number: u64) -> Report {
    Report { request: u64::MAX - number, age_ms: number, quiet_ms: number, trials: 0 }
}

fn tombstone(target: &str, age_ms: u64) -> tombstone::Report {
    tombstone::Report {
        run: run(target),
        sequence: 6,
        last_possible: 8,
        is_draining: false,
        age_ms,
    }
}

fn contents() -> Contents {
    Contents {
        saved_at_ms: Some(5000),
        requests: vec![request(1)],
        suspects: vec![Suspect { request: 7, runs: vec![(run("a"), 10), (run("b"), 20)] }],
        parts: vec![Block { part: 8, age: ms(30), earlier: 1 }],
        tombstones: vec![tombstone("c", 40)],
    }
}

#[test]
fn round_trip() {
    let bytes = Vec::try_from(contents()).unwrap();
    assert_eq!(Contents::try_from(bytes.as_slice()), Ok(contents()));
}

#[test]
fn unreadable() {
    assert_eq!(Contents::try_from(&[9, 0][..]), Err(Malformed::OtherFormat(9)));
    for bytes in [&[][..], &[1], &[1, 255, 255]] {
        assert_eq!(Contents::try_from(bytes), Err(Malformed::Unreadable));
    }
}

/// Time that passed while no host ran counts.
#[test]
fn aged() {
    assert_eq!(contents().age(Some(ms(65_000))), ms(60_000));
    assert_eq!(contents().age(None), Duration::ZERO);
    // The store's clock started anew.
    assert_eq!(contents().age(Some(ms(100))), Duration::ZERO);
    let aged = contents().aged(ms(60_000));
    assert_eq!((aged.requests[0].age_ms, aged.requests[0].quiet_ms), (60_001, 60_001));
    assert_eq!(aged.suspects[0].runs[1].1, 60_020);
    assert_eq!(aged.parts[0].age, ms(60_030));
    assert_eq!(aged.tombstones[0].age_ms, 60_040);
    assert_eq!(aged.summary(), contents().summary());
}

/// The longest names and all that hosts keep fit into a row; what matters most stays.
#[test]
fn bounded() {
    let name = |number: u64| format!("{number:0>200}");
    let mut full = contents();
    full.requests = (0..1024).map(request).collect();
    full.suspects =
        (0..4096).map(|it| Suspect { request: it, runs: vec![(run(&name(it)), 10); 3] }).collect();
    full.tombstones = (0..1024).map(|it| tombstone(&name(it), it)).collect();
    let bytes = Vec::try_from(full).unwrap();
    assert!(bytes.len() <= MAX_BYTES, "{}", bytes.len());
    let kept = Contents::try_from(bytes.as_slice()).unwrap();
    assert!(!kept.requests.is_empty() && !kept.suspects.is_empty());
    assert_eq!(kept.suspects[0].request, 0);
    assert_eq!(kept.tombstones[0].age_ms, 0);
}

/// Two runs that a lost host recorded count with the third one.
#[test]
fn suspect_restored() {
    let mut before = Detector::default();
    before.record_interrupted_run(7, run("a"), ms(0));
    before.record_interrupted_run(7, run("b"), ms(0));
    let suspects = before.suspects(ms(1000));
    let mut after = Detector::default();
    assert!(!after.restore_suspect(&suspects[0], ms(5000)));
    // The same runs once more, as after a second read.
    assert!(!after.restore_suspect(&suspects[0], ms(5000)));
    assert!(after.record_interrupted_run(7, run("c"), ms(6000)));
}

/// Runs that are too old, and those of a request that was answered since, don't count.
#[test]
fn suspect_outdated() {
    let old = Suspect { request: 7, runs: vec![(run("a"), 60_000), (run("b"), 61_000)] };
    let mut detector = Detector::default();
    detector.restore_suspect(&old, ms(100_000));
    assert!(!detector.record_interrupted_run(7, run("c"), ms(100_001)));

    let suspect = Suspect { request: 8, runs: vec![(run("a"), 100), (run("b"), 100)] };
    detector.record_interrupted_run(8, run("a"), ms(100_000));
    detector.record_answer(8, ms(100_100));
    detector.restore_suspect(&suspect, ms(100_150));
    assert!(!detector.record_interrupted_run(8, run("c"), ms(100_200)));
}

/// Returns a registry that lists a target and has read another host's tombstones.
fn restored(sequence: u64, tombstones: &[tombstone::Report]) -> Registry {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", sequence)], ms(0), ms(0));
    registry.restore_tombstones(tombstones, ms(100));
    registry
}

fn tombstone_of_one(incarnation: u64, is_draining: bool) -> tombstone::Report {
    let run = Run { target: "one".into(), incarnation: Some(incarnation) };
    tombstone::Report { run, sequence: 6, last_possible: 8, is_draining, age_ms: 500 }
}

fn is_used(registry: &Registry) -> bool {
    registry.usable(SERVICE).next().is_some()
}

/// A target that is listed by a late write is withheld when its tombstone is read.
#[test]
fn tombstone_restored() {
    for (sequence, is_draining, used) in [(5, false, false), (9, false, true), (9, true, false)] {
        let mut registry = restored(sequence, &[tombstone_of_one(1, is_draining)]);
        assert_eq!(is_used(&registry), used, "{sequence}, draining {is_draining}");
        registry.apply(Change::Removed("one".into()), ms(0), ms(200));
        registry.apply(Change::Announced(target("one", sequence)), ms(0), ms(300));
        assert!(!is_used(&registry));
    }
}

/// The tombstone of an earlier run says nothing of a later one, nor does one that has grown old.
#[test]
fn tombstone_outdated() {
    assert!(is_used(&restored(5, &[tombstone_of_one(0, true)])));
    let old = tombstone::Report { age_ms: 60_000, ..tombstone_of_one(1, true) };
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 5)], ms(0), ms(100_000));
    registry.restore_tombstones(&[old], ms(100_100));
    assert!(is_used(&registry));
}
