//! A request that crashes its targets is refused; others are not.

mod common;

use fuchsiaknot_gateway::targets::{
    poison::{Contents, Detector, fingerprint},
    target::Run,
};
use rstest::rstest;

use common::ms;

const CONTENTS: Contents<'_> = Contents {
    host: "rents.example",
    method: "GET",
    path: "/lookup/42",
    query: Some("a=1"),
    account: Some("a"),
    body: b"x",
};

/// Requests to another service, host or caller, or with another method, counted as the same, so that
/// their answers cleared a request that crashes targets.
#[rstest]
#[case::service("flats", CONTENTS)]
#[case::host("rents", Contents { host: "flats.example", ..CONTENTS })]
#[case::method("rents", Contents { method: "POST", ..CONTENTS })]
#[case::path("rents", Contents { path: "/lookup/4", ..CONTENTS })]
#[case::query("rents", Contents { query: None, ..CONTENTS })]
#[case::account("rents", Contents { account: None, ..CONTENTS })]
#[case::body("rents", Contents { body: b"y", ..CONTENTS })]
fn different_requests(#[case] service: &str, #[case] other: Contents<'_>) {
    let request = fingerprint(&"rents".into(), CONTENTS.digest());
    assert_eq!(fingerprint(&"rents".into(), { CONTENTS }.digest()), request);
    assert_ne!(fingerprint(&service.into(), other.digest()), request);
}

#[test]
fn different_targets() {
    let mut detector = Detector::default();
    for (at, target) in ["a", "b", "c"].iter().enumerate() {
        assert!(!detector.is_refused(7, ms(10)));
        detector.record_interrupted_run(7, (*target).into(), ms(at as u64));
    }
    assert!(detector.is_refused(7, ms(10)));
    assert!(!detector.is_refused(8, ms(10)));
}

/// Repeated interruptions at the same target are no evidence against the request.
#[test]
fn same_target() {
    let mut detector = Detector::default();
    for at in 0..9 {
        detector.record_interrupted_run(7, "a".into(), ms(at));
    }
    assert!(!detector.is_refused(7, ms(10)));
}

/// A target that crashed and came back under its old identifier counts again.
#[test]
fn restarted_target() {
    let mut detector = Detector::default();
    for incarnation in 0..3 {
        let run = Run { target: "a".into(), incarnation: Some(incarnation) };
        detector.record_interrupted_run(7, run, ms(incarnation));
    }
    assert!(detector.is_refused(7, ms(10)));
}

#[test]
fn old_runs_expire() {
    let mut detector = Detector::default();
    for target in ["a", "b", "c"] {
        detector.record_interrupted_run(7, target.into(), ms(0));
    }
    assert!(!detector.is_refused(7, ms(60_000)));
    detector.expire(ms(60_000));
    detector.record_interrupted_run(7, "d".into(), ms(60_001));
    assert!(!detector.is_refused(7, ms(60_002)));
}

/// A request that targets answer in between was refused after three interrupted runs.
#[test]
fn answered_request() {
    let mut detector = Detector::default();
    for (at, target) in ["a", "b", "c", "d"].iter().enumerate() {
        detector.record_interrupted_run(7, (*target).into(), ms(2 * at as u64));
        assert!(detector.record_answer(7));
        assert!(!detector.is_refused(7, ms(2 * at as u64 + 1)));
    }
    assert!(!detector.record_answer(7), "reported twice");
}
