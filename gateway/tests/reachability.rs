//! Whether a host reaches the targets, decided from the outcomes of its connections.

mod common;

use common::{keys, ms};
use fuchsiaknot_gateway::targets::reachability::{Change, Tracker};
use rstest::rstest;

/// A host counts as cut off once connections to several targets have failed, fewer if there are
/// fewer.
#[rstest]
#[case::many(20, 5)]
#[case::few(3, 3)]
#[case::one(1, 1)]
fn cut_off(#[case] target_count: usize, #[case] needed: usize) {
    let (keys, mut tracker) = (keys(target_count), Tracker::default());
    for key in &keys[..needed - 1] {
        assert_eq!(tracker.record_failed(*key, target_count, ms(0)), None);
    }
    assert!(!tracker.is_cut_off());
    assert_eq!(tracker.record_failed(keys[needed - 1], target_count, ms(0)), Some(Change::CutOff));
    assert!(tracker.is_cut_off());
}

/// Targets that crashed are no cut as long as another one accepts connections, however often they
/// are tried.
#[test]
fn crashed_targets() {
    let (keys, mut tracker) = (keys(8), Tracker::default());
    for _ in 0..20 {
        for key in &keys[..4] {
            assert_eq!(tracker.record_failed(*key, 8, ms(0)), None);
            assert_eq!(tracker.record_failed(*key, 8, ms(0)), None);
        }
        assert_eq!(tracker.record_connected(keys[7], 8, ms(0)), None);
    }
    assert!(!tracker.is_cut_off());
}

/// One connection that is established does not end a cut; most of those in a second do.
#[test]
fn restored() {
    let (keys, mut tracker) = (keys(8), Tracker::default());
    keys.iter().for_each(|it| _ = tracker.record_failed(*it, 8, ms(0)));
    assert_eq!(tracker.record_connected(keys[0], 8, ms(250)), None);
    assert_eq!(tracker.record_failed(keys[1], 8, ms(250)), None);
    assert_eq!(tracker.record_connected(keys[0], 8, ms(500)), None);
    assert_eq!(tracker.record_connected(keys[2], 8, ms(1500)), None);
    assert_eq!(tracker.record_connected(keys[0], 8, ms(1500)), Some(Change::Restored));
    assert!(!tracker.is_cut_off());
}

/// A host that reaches one of many targets changed between its own way and that through other hosts
/// several times a second.
#[test]
fn nearly_cut_off() {
    let (keys, mut tracker) = (keys(18), Tracker::default());
    let mut changes = Vec::new();
    for round in 0..100 {
        let now = ms(250 * round);
        let at = usize::try_from(round).unwrap();
        changes.extend(tracker.record_connected(keys[0], 18, now));
        changes.extend(tracker.record_connected(keys[1], 18, now));
        let failed = (0..6).map(|it| keys[2 + (at * 6 + it) % 16]);
        changes.extend(failed.filter_map(|it| tracker.record_failed(it, 18, now)));
    }
    assert_eq!(changes, [Change::CutOff]);
}

/// Targets that are silent for a second are probed, and accept the connection.
#[test]
fn silent_targets() {
    let (keys, mut tracker) = (keys(8), Tracker::default());
    assert_eq!(tracker.due_probes(None), 0);
    assert_eq!(tracker.due_probes(Some(ms(499))), 0);
    assert_eq!(tracker.due_probes(Some(ms(500))), 1);
    assert_eq!(tracker.record_connected(keys[0], 8, ms(0)), None);
    assert!(!tracker.is_cut_off());
}

/// A suspicion leads to probes of several targets at once, so that a cut is found soon.
#[test]
fn suspicion() {
    let (keys, mut tracker) = (keys(8), Tracker::default());
    tracker.record_failed(keys[0], 8, ms(0));
    assert_eq!(tracker.due_probes(None), 0);
    assert_eq!(tracker.due_probes(Some(ms(500))), 4);
    tracker.record_failed(keys[1], 8, ms(0));
    assert_eq!(tracker.due_probes(None), 4);
    tracker.record_connected(keys[2], 8, ms(0));
    assert_eq!(tracker.due_probes(None), 0);
}

/// Refused connections of a host that is cut off say nothing about the targets; those of one that
/// still reaches another target do.
#[test]
fn refusals_reported() {
    let (keys, mut tracker) = (keys(8), Tracker::default());
    let mut refuse = |key| {
        tracker.record_refused(key);
        tracker.record_failed(key, 8, ms(0));
    };
    refuse(keys[0]);
    refuse(keys[0]);
    tracker.record_connected(keys[1], 8, ms(0));
    assert_eq!(tracker.take_refused(), [keys[0]]);
    for key in &keys {
        tracker.record_refused(*key);
        tracker.record_failed(*key, 8, ms(0));
    }
    tracker.record_connected(keys[0], 8, ms(0));
    tracker.record_connected(keys[1], 8, ms(0));
    assert!(tracker.take_refused().is_empty());
}
