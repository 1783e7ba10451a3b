//! When a stored configuration counts as in force everywhere.

use std::time::Duration;

use fuchsiaknot::{
    host::Said,
    operate::{in_force::Watch, wire::Progress},
};

const BOUND: Duration = Duration::from_secs(8);
const SILENCE: Duration = Duration::from_secs(3);

fn said(host: &str, version: u64, heard: bool) -> Said {
    Said { host: host.into(), version: Some(version), heard }
}

fn step(watch: &mut Watch, seconds: u64, hosts: &[Said]) -> Progress {
    watch.step(hosts, Duration::from_secs(seconds))
}

fn watch() -> Watch {
    Watch::new(5, BOUND, SILENCE, Duration::from_secs(100))
}

#[test]
fn all_said_so() {
    let progress = step(&mut watch(), 100, &[said("a", 5, true), said("b", 6, true)]);
    assert!(progress.in_force && progress.waiting.is_empty());
}

#[test]
fn heard_host_waited_for() {
    let hosts = [said("a", 5, true), said("b", 4, true), said("c", 5, true)];
    let mut watch = watch();
    for seconds in [100, 109, 900] {
        let progress = step(&mut watch, seconds, &hosts);
        assert!(!progress.in_force);
        assert_eq!(progress.waiting[0].host, "b");
    }
}

#[test]
fn silent_host_outwaited() {
    let hosts = [said("a", 5, true), said("b", 4, false), said("c", 5, true)];
    let mut watch = watch();
    assert!(!step(&mut watch, 100, &hosts).in_force);
    assert!(!step(&mut watch, 108, &hosts).in_force);
    assert!(step(&mut watch, 109, &hosts).in_force);
}

#[test]
fn late_majority_outwaited() {
    let few = [said("a", 5, true), said("b", 4, false), said("c", 4, true)];
    let most = [said("a", 5, true), said("b", 4, false), said("c", 5, true)];
    let mut watch = watch();
    assert!(!step(&mut watch, 107, &few).in_force);
    assert!(!step(&mut watch, 108, &most).in_force);
    assert!(!step(&mut watch, 111, &most).in_force);
    assert!(step(&mut watch, 112, &most).in_force);
}

#[test]
fn minority_never_enough() {
    let hosts = [said("a", 5, true), said("b", 4, false), said("c", 4, false)];
    assert!(!step(&mut watch(), 9_000, &hosts).in_force);
}

#[test]
fn in_force_stays() {
    let mut watch = watch();
    assert!(step(&mut watch, 100, &[said("a", 5, true)]).in_force);
    assert!(step(&mut watch, 101, &[said("a", 5, true), said("b", 4, true)]).in_force);
}
