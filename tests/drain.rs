//! The barrier between a drain and the order that follows it.

use std::{collections::BTreeSet, time::Duration};

use fuchsiaknot::drain::{Barrier, Config, Load};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn config() -> Config {
    Config { max_view_age: at(9), clock_drift: at(1), send_window: at(2) }
}

fn idle(measured_at: Duration) -> Load {
    Load { requests: 0, measured_at }
}

/// Creates a barrier for two hosts, of which the first has confirmed the drain.
fn barrier() -> Barrier {
    let mut barrier = Barrier::new(at(100));
    barrier.add_hosts(&BTreeSet::from(["a".into(), "b".into()]));
    barrier.host_drained(&"a".into(), at(101));
    barrier
}

#[test]
fn completes_when_confirmed() {
    let mut barrier = barrier();
    assert!(!barrier.is_complete(at(103), &config(), idle(at(103))));
    barrier.host_drained(&"b".into(), at(104));
    assert!(barrier.is_complete(at(105), &config(), idle(at(105))));
}

#[test]
fn old_report_insufficient() {
    let mut barrier = barrier();
    barrier.host_drained(&"b".into(), at(104));
    assert!(!barrier.is_complete(at(105), &config(), idle(at(104))));
}

#[test]
fn busy_target_awaited() {
    let mut barrier = barrier();
    barrier.host_drained(&"b".into(), at(104));
    assert!(!barrier.is_complete(at(105), &config(), Load { requests: 1, measured_at: at(105) }));
}

#[test]
fn silent_host_bounded() {
    let barrier = barrier();
    assert!(!barrier.is_complete(at(111), &config(), idle(at(111))));
    assert!(barrier.is_complete(at(113), &config(), idle(at(113))));
}

#[test]
fn unlisted_host_awaited() {
    let mut barrier = barrier();
    barrier.add_hosts(&BTreeSet::from(["a".into()]));
    assert!(!barrier.is_complete(at(105), &config(), idle(at(105))));
}
