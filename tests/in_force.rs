//! When a stored configuration is in force on every host.

use std::time::Duration;

use fuchsiaknot::{
    host::ReportedVersion,
    operate::{in_force::VersionTracker, wire::Progress},
};

const MAX_AGE: Duration = Duration::from_secs(8);
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

fn said(host: &str, version: u64, heard: bool) -> ReportedVersion {
    ReportedVersion { host: host.into(), version: Some(version), heard }
}

fn step(watch: &mut VersionTracker, seconds: u64, hosts: &[ReportedVersion]) -> Progress {
    watch.update(hosts, Duration::from_secs(seconds))
}

fn watch() -> VersionTracker {
    VersionTracker::new(5, MAX_AGE, SILENCE_TIMEOUT, Duration::from_secs(100))
}

#[test]
fn all_hosts_confirm() {
    let progress = step(&mut watch(), 100, &[said("a", 5, true), said("b", 6, true)]);
    assert!(progress.in_force && progress.waiting.is_empty());
}

#[test]
fn live_host_blocks() {
    let hosts = [said("a", 5, true), said("b", 4, true), said("c", 5, true)];
    let mut watch = watch();
    for seconds in [100, 109, 900] {
        let progress = step(&mut watch, seconds, &hosts);
        assert!(!progress.in_force);
        assert_eq!(progress.waiting[0].host, "b");
    }
}

#[test]
fn silent_host_expires() {
    let hosts = [said("a", 5, true), said("b", 4, false), said("c", 5, true)];
    let mut watch = watch();
    assert!(!step(&mut watch, 100, &hosts).in_force);
    assert!(!step(&mut watch, 108, &hosts).in_force);
    assert!(step(&mut watch, 109, &hosts).in_force);
}

#[test]
fn late_majority_delays() {
    let minority = [said("a", 5, true), said("b", 4, false), said("c", 4, true)];
    let majority = [said("a", 5, true), said("b", 4, false), said("c", 5, true)];
    let mut watch = watch();
    assert!(!step(&mut watch, 107, &minority).in_force);
    assert!(!step(&mut watch, 108, &majority).in_force);
    assert!(!step(&mut watch, 111, &majority).in_force);
    assert!(step(&mut watch, 112, &majority).in_force);
}

#[test]
fn minority_never_suffices() {
    let hosts = [said("a", 5, true), said("b", 4, false), said("c", 4, false)];
    assert!(!step(&mut watch(), 9_000, &hosts).in_force);
}

#[test]
fn in_force_final() {
    let mut watch = watch();
    assert!(step(&mut watch, 100, &[said("a", 5, true)]).in_force);
    assert!(step(&mut watch, 101, &[said("a", 5, true), said("b", 4, true)]).in_force);
}
