//! A request that crashes its targets is refused, and only that one.

mod common;

use fuchsiaknot_gateway::poison::Detector;

use common::ms;

#[test]
fn third_target() {
    let mut poison = Detector::default();
    for (at, target) in ["a", "b", "c"].iter().enumerate() {
        assert!(!poison.is_refused(7, ms(10)));
        poison.record_interrupted_run(7, (*target).into(), ms(at as u64));
    }
    assert!(poison.is_refused(7, ms(10)));
    assert!(!poison.is_refused(8, ms(10)));
}

/// A target that breaks off often says nothing of the request.
#[test]
fn same_target() {
    let mut poison = Detector::default();
    for at in 0..9 {
        poison.record_interrupted_run(7, "a".into(), ms(at));
    }
    assert!(!poison.is_refused(7, ms(10)));
}

#[test]
fn forgotten() {
    let mut poison = Detector::default();
    for target in ["a", "b", "c"] {
        poison.record_interrupted_run(7, target.into(), ms(0));
    }
    assert!(!poison.is_refused(7, ms(60_000)));
    poison.expire(ms(60_000));
    poison.record_interrupted_run(7, "d".into(), ms(60_001));
    assert!(!poison.is_refused(7, ms(60_002)));
}
