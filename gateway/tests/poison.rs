//! A request that crashes its targets is refused; others are not.

mod common;

use std::time::Duration;

use fuchsiaknot_core::clock::Moment;
use fuchsiaknot_gateway::targets::{
    poison::{
        Admission, Contents, Detector, Fingerprints, MAX_RECOGNISED, MEMORY_TIME, QUIET_TIME,
        TRIAL_DELAYS, fingerprint,
    },
    poison_inquiry::{Answer, Inquiry, Query, SETTLE_TIME},
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

/// A sound request that ran beside a crashing one at its targets was refused with it.
#[test]
fn beside_another() {
    let mut detector = Detector::default();
    for (at, target) in ["a", "b", "c"].iter().enumerate() {
        for request in [8, 7] {
            let now = ms(at as u64);
            assert!(!detector.record_interrupted_run(request, (*target).into(), now));
        }
    }
    assert!(detector.record_interrupted_run(7, "d".into(), ms(4)));
    assert!(!detector.is_refused(8, ms(5)));
    assert!(detector.record_answer(8, ms(6)));
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

/// Runs that were interrupted long before are no evidence.
#[test]
fn old_runs_expire() {
    let mut detector = Detector::default();
    for target in ["a", "b"] {
        detector.record_interrupted_run(7, target.into(), ms(0));
    }
    detector.expire(ms(60_000));
    for target in ["c", "d"] {
        assert!(!detector.record_interrupted_run(7, target.into(), ms(60_001)));
    }
    assert!(!detector.is_refused(7, ms(60_002)));
}

/// Returns a detector that has recognised request 7 at this time.
fn recognised_at(now: Moment) -> Detector {
    let mut detector = Detector::default();
    for target in ["a", "b", "c"] {
        detector.record_interrupted_run(7, target.into(), now);
    }
    detector
}

/// A recognised request was let through again after a minute, though it had gone on coming.
#[test]
fn keeps_coming() {
    let mut detector = recognised_at(ms(0));
    for second in 1..=3 * QUIET_TIME.as_secs() {
        let now = Duration::from_secs(second);
        assert_eq!(detector.admit(7, false, now), Admission::Refused, "after {second} s");
        assert!(detector.expire(now).is_empty());
    }
}

/// A request that has not come for long is let through, until it is interrupted once more.
#[test]
fn comes_again() {
    let mut detector = recognised_at(ms(0));
    assert_eq!(detector.expire(QUIET_TIME), [7]);
    assert!(detector.expire(QUIET_TIME + ms(1)).is_empty(), "reported twice");
    let now = MEMORY_TIME - ms(1);
    detector.expire(now);
    assert_eq!(detector.admit(7, false, now), Admission::Admitted);
    assert!(detector.record_interrupted_run(7, "a".into(), now));
    assert_eq!(detector.admit(7, false, now), Admission::Refused);
    detector.expire(now + MEMORY_TIME);
    assert!(!detector.record_interrupted_run(7, "a".into(), now + MEMORY_TIME));
}

/// A sound request that was recognised after the failure of many targets is served again once a trial
/// was answered; one that crashes targets gets few trials.
#[test]
fn trials() {
    let mut detector = recognised_at(ms(0));
    let mut tried = Vec::new();
    for second in 1..=3 * QUIET_TIME.as_secs() {
        let now = Duration::from_secs(second);
        if detector.admit(7, true, now) == Admission::Tried {
            tried.push(now);
            assert!(!detector.record_interrupted_run(7, "d".into(), now));
        }
    }
    assert_eq!(tried, [TRIAL_DELAYS[0], TRIAL_DELAYS[0] + TRIAL_DELAYS[1]]);

    let (mut detector, now) = (recognised_at(ms(0)), TRIAL_DELAYS[0]);
    assert_eq!(detector.admit(7, true, now), Admission::Tried);
    assert!(detector.record_answer(7, now));
    assert_eq!(detector.admit(7, false, now), Admission::Admitted);
}

/// Reports spread the knowledge and its refreshment, and do not bring back what was cleared; passing
/// them on makes no request seem to have come later.
#[test]
fn reported() {
    let (one, mut two) = (recognised_at(ms(1000)), Detector::default());
    let reports = one.reports_after(None, ms(5000));
    assert_eq!(two.apply_reports(&reports, ms(9000)).learned, [7]);
    assert!(two.apply_reports(&reports, ms(9000)).learned.is_empty(), "learned twice");
    for round in 0..1000 {
        let reports = two.reports_after(None, ms(9000 + round));
        two.apply_reports(&reports, ms(9500 + round));
    }
    assert_eq!(two.reports_after(None, ms(11_000))[0].quiet_ms, 6000);
    assert!(two.record_answer(7, ms(11_000)));
    let findings = two.apply_reports(&one.reports_after(None, ms(12_000)), ms(12_000));
    assert_eq!((findings.learned, findings.cleared), (vec![], vec![7]));
}

/// Only so many requests are kept; those that still come are kept rather than quiet ones, and all are
/// reported in turn.
#[test]
fn many_requests() {
    let mut detector = recognised_at(ms(0));
    for request in 1000..1000 + MAX_RECOGNISED as u64 {
        detector.admit(7, false, ms(request));
        for target in ["a", "b", "c"] {
            detector.record_interrupted_run(request, target.into(), ms(request));
        }
    }
    let now = ms(9000);
    assert_eq!(detector.refused_count(now), MAX_RECOGNISED);
    assert!(detector.is_refused(7, now));
    let mut other = Detector::default();
    for _ in 0..MAX_RECOGNISED.div_ceil(64) {
        other.apply_reports(&detector.next_reports(now), now);
    }
    assert_eq!(other.refused(now), detector.refused(now));
}

/// A host that starts gets all pages, only from hosts that know all, though pages are lost; hosts that
/// have started together answer for good after a while.
#[test]
fn inquiry() {
    let mut detector = Detector::default();
    for request in 1..=200 {
        for target in ["a", "b", "c"] {
            detector.record_interrupted_run(request, target.into(), ms(0));
        }
    }
    let answer = |query: Query, is_complete| {
        let reports = detector.reports_after(query.after, ms(0));
        Answer { query, is_complete, reports }
    };
    let (mut inquiry, mut other) = (Inquiry::new(ms(0)), Detector::default());
    assert!(!inquiry.record_answer(&answer(inquiry.query(), false)));
    let first = answer(inquiry.query(), true);
    let mut pages = 0;
    while !inquiry.is_complete(ms(0)) {
        let page = answer(inquiry.query(), true);
        other.apply_reports(&page.reports, ms(0));
        inquiry.record_answer(&page);
        assert!(!inquiry.record_answer(&first), "a late page of an earlier query");
        pages += 1;
    }
    assert_eq!((pages, other.refused_count(ms(0))), (4, 200));
    let alone = Inquiry::new(ms(0));
    assert!(!alone.is_complete(SETTLE_TIME - ms(1)));
    assert!(alone.is_complete(SETTLE_TIME) && !alone.is_ended(SETTLE_TIME));
}

/// A request that targets answer in between was refused after three interrupted runs.
#[test]
fn answered_request() {
    let mut detector = Detector::default();
    for (at, target) in ["a", "b", "c", "d"].iter().enumerate() {
        detector.record_interrupted_run(7, (*target).into(), ms(2 * at as u64));
        assert!(detector.record_answer(7, ms(2 * at as u64)));
        assert!(!detector.is_refused(7, ms(2 * at as u64 + 1)));
    }
    assert!(!detector.record_answer(7, ms(9)), "reported twice");
}

/// Returns the fingerprints of equal requests to two services.
fn at_two_services() -> [Fingerprints; 2] {
    ["rents", "flats"].map(|it| Fingerprints::new(&it.into(), CONTENTS.digest()))
}

/// Records runs of a request that these targets broke off.
fn interrupt(detector: &mut Detector, request: Fingerprints, targets: &[&str]) {
    for target in targets {
        for fingerprint in request.all() {
            detector.record_interrupted_run(fingerprint, (*target).into(), ms(0));
        }
    }
}

/// A request that was recognised at one service crashed three targets of each to which its route was
/// moved.
#[test]
fn other_service() {
    let ([rents, flats], mut detector) = (at_two_services(), Detector::default());
    interrupt(&mut detector, rents, &["a", "b", "c"]);
    assert_eq!(detector.admit_request(flats, false, ms(10)), Admission::Refused);
    assert_eq!(detector.refused_count(ms(10)), 1);
}

/// Runs at several services count together.
#[test]
fn crashes_at_both() {
    let ([rents, flats], mut detector) = (at_two_services(), Detector::default());
    interrupt(&mut detector, rents, &["a", "b"]);
    interrupt(&mut detector, flats, &["c"]);
    for request in [rents, flats] {
        assert!(detector.is_request_refused(request, ms(10)));
    }
}

/// Where one service answers the request, it goes on doing so, and the other's targets are spared.
#[test]
fn answered_at_other() {
    let ([rents, flats], mut detector) = (at_two_services(), Detector::default());
    interrupt(&mut detector, rents, &["a"]);
    assert_eq!(detector.record_request_answer(flats, ms(1)), [flats.at_service]);
    assert!(detector.record_request_answer(flats, ms(2)).is_empty(), "reported twice");
    interrupt(&mut detector, rents, &["b", "c"]);
    assert_eq!(detector.admit_request(flats, false, ms(10)), Admission::Admitted);
    assert_eq!(detector.admit_request(rents, false, ms(10)), Admission::Refused);
}

/// A trial that is answered lets a sound request through everywhere; one host's word suffices.
#[test]
fn cleared_everywhere() {
    let ([rents, flats], mut detector) = (at_two_services(), Detector::default());
    interrupt(&mut detector, rents, &["a", "b", "c"]);
    let mut other_host = Detector::default();
    interrupt(&mut other_host, rents, &["a", "b", "c"]);
    let now = TRIAL_DELAYS[0];
    assert_eq!(detector.admit_request(rents, true, now), Admission::Tried);
    assert_eq!(detector.admit_request(rents, true, now), Admission::Refused);
    for request in detector.record_request_answer(rents, now) {
        other_host.record_clearing(request, now);
    }
    for detector in [&mut detector, &mut other_host] {
        for request in [rents, flats] {
            assert_eq!(detector.admit_request(request, false, now), Admission::Admitted);
        }
    }
}
