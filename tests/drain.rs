//! The barrier between a drain and the order that follows it.

use std::{collections::BTreeSet, time::Duration};

use fuchsiaknot::drain::{Barrier, Config, Load};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn config() -> Config {
    Config { freshness: at(9), drift: at(1), send_window: at(2) }
}

fn idle(taken_at: Duration) -> Load {
    Load { requests: 0, taken_at }
}

fn barrier() -> Barrier {
    let mut barrier = Barrier::new(at(100));
    barrier.expect(&BTreeSet::from(["a".into(), "b".into()]));
    barrier.answered(&"a".into(), at(101));
    barrier
}

#[test]
fn answers_complete() {
    let mut barrier = barrier();
    assert!(!barrier.complete(at(103), &config(), idle(at(103))));
    barrier.answered(&"b".into(), at(104));
    assert!(barrier.complete(at(105), &config(), idle(at(105))));
}

#[test]
fn old_report_not_enough() {
    let mut barrier = barrier();
    barrier.answered(&"b".into(), at(104));
    assert!(!barrier.complete(at(105), &config(), idle(at(104))));
}

#[test]
fn busy_target_waited_for() {
    let mut barrier = barrier();
    barrier.answered(&"b".into(), at(104));
    assert!(!barrier.complete(at(105), &config(), Load { requests: 1, taken_at: at(105) }));
}

#[test]
fn silent_host_outwaited() {
    let barrier = barrier();
    assert!(!barrier.complete(at(111), &config(), idle(at(111))));
    assert!(barrier.complete(at(113), &config(), idle(at(113))));
}

#[test]
fn unlisted_host_still_expected() {
    let mut barrier = barrier();
    barrier.expect(&BTreeSet::from(["a".into()]));
    assert!(!barrier.complete(at(105), &config(), idle(at(105))));
}
