//! A target that has left is not used again because the store performs its announcements late.

mod common;

use fuchsiaknot_core::clock::Moment;
use fuchsiaknot_gateway::targets::{
    registry::{Change, Event, Registry},
    target::Target,
};
use rstest::rstest;

use common::{SERVICE, ms, target};

/// Announcement of the target that leaves.
fn leaving(sequence: u64) -> Target {
    target("one", sequence)
}

fn announce(registry: &mut Registry, target: Target, now: Moment) -> Option<Event> {
    registry.apply(Change::Announced(target), ms(0), now)
}

fn is_used(registry: &Registry) -> bool {
    registry.usable(SERVICE).any(|(_, it)| it.id == "one")
}

/// Returns a registry that read announcement 6 of a target at 0 ms, and its removal at `removed_at`.
fn after_removal(removed_at: Moment) -> Registry {
    let mut registry = Registry::new();
    announce(&mut registry, leaving(6), ms(0));
    registry.apply(Change::Removed("one".into()), ms(0), removed_at);
    registry
}

/// A heartbeat that was sent before the last one, and performed after the removal, made the target
/// usable.
#[test]
fn late_heartbeat() {
    let mut registry = after_removal(ms(1000));
    for now in [2500, 20_000] {
        assert!(matches!(
            announce(&mut registry, leaving(5), ms(now)),
            None | Some(Event::Withheld(..))
        ));
        assert!(!is_used(&registry), "used after {now} ms");
    }
}

/// The same where the list is read whole.
#[test]
fn late_heartbeat_in_list() {
    let mut registry = after_removal(ms(1000));
    registry.replace(vec![leaving(5)], ms(0), ms(2500));
    assert!(!is_used(&registry));
}

/// The last heartbeats before the removal were never read, and are performed one after the other.
#[test]
fn unread_heartbeats() {
    let mut registry = after_removal(ms(3600));
    for (sequence, now) in [(7, 4000), (8, 5200), (9, 9500)] {
        announce(&mut registry, leaving(sequence), ms(now));
        assert!(!is_used(&registry), "used after announcement {sequence}");
    }
    registry.apply(Change::Removed("one".into()), ms(0), ms(12_000));
    announce(&mut registry, leaving(9), ms(12_500));
    assert!(!is_used(&registry));
}

/// A target that announced that it drains gets nothing again in the same run.
#[test]
fn drained() {
    let mut registry = Registry::new();
    announce(&mut registry, Target { draining: true, ..leaving(6) }, ms(0));
    registry.apply(Change::Removed("one".into()), ms(0), ms(1000));
    for (sequence, now) in [(5, 2000), (7, 3000), (60, 30_000)] {
        announce(&mut registry, leaving(sequence), ms(now));
        assert!(!is_used(&registry), "used after announcement {sequence}");
    }
}

/// An earlier run is no more alive than the one that left.
#[test]
fn earlier_run() {
    let mut registry = after_removal(ms(1000));
    announce(&mut registry, Target { incarnation: Some(0), ..leaving(50) }, ms(2000));
    assert!(!is_used(&registry));
}

/// A target that lost its way to the store is used again once it is shown to be alive: by the number of
/// its announcement, or since it stays listed for longer than a late write would.
#[test]
fn returned_by_number() {
    let mut registry = after_removal(ms(3600));
    announce(&mut registry, leaving(11), ms(5000));
    assert!(!is_used(&registry));
    announce(&mut registry, leaving(12), ms(6200));
    assert!(is_used(&registry));
}

/// The store doesn't list each number, so that no further one may follow.
#[rstest]
#[case::possible(leaving(7))]
#[case::old(leaving(5))]
#[case::earlier_run(Target { incarnation: Some(0), ..leaving(9) })]
fn returned_by_time(#[case] announced: Target) {
    let mut registry = after_removal(ms(3600));
    announce(&mut registry, announced, ms(5000));
    // 7 s for late writes, and four intervals until one of them expires.
    assert!(registry.settle(ms(14_599), ms(14_600)).is_empty());
    let events = registry.settle(ms(14_600), ms(14_700));
    assert!(matches!(events[..], [Event::Added(..)]), "{events:?}");
    assert!(is_used(&registry));
}

/// A late write expires before.
#[test]
fn late_write_expires() {
    let mut registry = after_removal(ms(3600));
    announce(&mut registry, leaving(7), ms(9600));
    registry.apply(Change::Removed("one".into()), ms(0), ms(13_500));
    assert!(registry.settle(ms(20_000), ms(20_100)).is_empty());
    assert!(!is_used(&registry));
}

/// A later run under the same identifier is used at once.
#[test]
fn later_run() {
    let mut registry = after_removal(ms(1000));
    let event = announce(&mut registry, Target { incarnation: Some(2), ..leaving(1) }, ms(1500));
    assert!(matches!(event, Some(Event::Added(..))));
    assert!(is_used(&registry));
}

/// A target whose entry another writer had replaced was kept out for seconds, though it had not left.
#[test]
fn replaced() {
    let mut registry = Registry::new();
    announce(&mut registry, leaving(6), ms(0));
    registry.apply(Change::Unreadable("one".into()), ms(0), ms(1000));
    assert!(!is_used(&registry));
    announce(&mut registry, leaving(7), ms(1200));
    assert!(is_used(&registry));
}

/// A target that leaves while its entry is replaced has left all the same.
#[test]
fn removed_while_replaced() {
    let mut registry = Registry::new();
    announce(&mut registry, leaving(6), ms(0));
    registry.apply(Change::Unreadable("one".into()), ms(0), ms(1000));
    registry.apply(Change::Removed("one".into()), ms(0), ms(1500));
    announce(&mut registry, leaving(5), ms(2000));
    assert!(!is_used(&registry));
}
