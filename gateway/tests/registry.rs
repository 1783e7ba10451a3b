//! Which targets accept new requests, according to the store.

mod common;

use fuchsiaknot_gateway::targets::registry::{Change, Event, Registry};

use common::{ms, target};

fn usable(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> = registry.usable("models").map(|(_, it)| it.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn draining_target() {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 1), target("two", 1)], ms(0), ms(10));
    let mut leaving = target("one", 2);
    leaving.draining = true;
    let event = registry.apply(Change::Announced(leaving), ms(0), ms(20));
    assert!(matches!(event, Some(Event::Draining(_, id)) if id == "one"));
    assert_eq!(usable(&registry), ["two"]);
}

#[test]
fn removed_at_once() {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 1)], ms(0), ms(10));
    let event = registry.apply(Change::Removed("one".into()), ms(0), ms(20));
    assert!(matches!(event, Some(Event::Removed(..))));
    assert!(usable(&registry).is_empty());
}

/// After an outage, targets whose entries expired have until 2,000 ms to announce themselves again.
#[test]
fn expired_in_outage() {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 1), target("two", 1)], ms(0), ms(10));
    registry.replace(vec![], ms(2000), ms(100));
    assert_eq!(usable(&registry), ["one", "two"]);
    registry.apply(Change::Announced(target("one", 2)), ms(2000), ms(900));
    assert!(registry.expire(ms(1999)).is_empty());
    assert_eq!(registry.expire(ms(2000)).len(), 1);
    assert_eq!(usable(&registry), ["one"]);
}

/// A target that is removed shortly after an outage is kept no longer than those that expired in
/// it.
#[test]
fn removed_after_outage() {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 1)], ms(0), ms(10));
    assert_eq!(registry.apply(Change::Removed("one".into()), ms(2000), ms(900)), None);
    assert_eq!(registry.expire(ms(2000)).len(), 1);
}

/// An announcement that arrives late does not replace a newer one.
#[test]
fn late_announcement() {
    let mut registry = Registry::new();
    let mut leaving = target("one", 5);
    leaving.draining = true;
    registry.replace(vec![leaving], ms(0), ms(10));
    registry.apply(Change::Announced(target("one", 4)), ms(0), ms(20));
    assert!(usable(&registry).is_empty());
    let mut older = target("one", 9);
    older.incarnation = Some(0);
    registry.apply(Change::Announced(older), ms(0), ms(30));
    assert!(usable(&registry).is_empty());
}

#[test]
fn new_incarnation() {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 9)], ms(0), ms(10));
    let before = registry.key(&"one".into()).unwrap();
    let mut again = target("one", 1);
    again.incarnation = Some(2);
    registry.apply(Change::Announced(again), ms(0), ms(20));
    let after = registry.key(&"one".into()).unwrap();
    assert_ne!(before, after);
    assert!(registry.get(before).is_none());
    assert_eq!(usable(&registry), ["one"]);
}

/// A dispatcher that cannot reach the store may grant a draining target. The requesting host has
/// newer state and ignores the grant.
#[test]
fn draining_grant() {
    let mut registry = Registry::new();
    let mut leaving = target("one", 1);
    leaving.draining = true;
    registry.replace(vec![leaving, target("two", 1)], ms(0), ms(10));
    assert_eq!(registry.usable_key(&"one".into()), None);
    assert_eq!(registry.usable_key(&"two".into()), registry.key(&"two".into()));
    assert_eq!(registry.usable_key(&"three".into()), None);
}

/// Returns a registry from which a target was removed at 100 ms, and whose store came back at
/// 500 ms from a copy that still has an earlier announcement of the target.
fn registry_with_departure() -> Registry {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 3), target("two", 1)], ms(0), ms(10));
    registry.apply(Change::Removed("one".into()), ms(0), ms(100));
    registry.unsettle(ms(2500));
    let events = registry.replace(vec![target("one", 2), target("two", 1)], ms(2500), ms(500));
    assert!(matches!(&events[..], [Event::Withheld(_, id)] if id == "one"));
    registry
}

/// A target that left is not used again because a copy of the store lists it, also when its
/// announcements from before are written again in their order, the last of which was never read.
#[test]
fn departed_in_copy() {
    let mut registry = registry_with_departure();
    for sequence in [2, 3, 4] {
        let change = Change::Announced(target("one", sequence));
        assert_eq!(registry.apply(change, ms(2500), ms(600)), None);
        assert_eq!(usable(&registry), ["two"]);
        assert_eq!(registry.usable_key(&"one".into()), None);
    }
    registry.apply(Change::Removed("one".into()), ms(2500), ms(700));
    assert!(matches!(&registry.expire(ms(2500))[..], [Event::Removed(_, id)] if id == "one"));
    assert_eq!(usable(&registry), ["two"]);
}

/// A target that left and starts again is used at once; one that stays listed, after the deadline.
#[test]
fn returned_after_copy() {
    let mut registry = registry_with_departure();
    let mut again = target("one", 1);
    again.incarnation = Some(2);
    let event = registry.apply(Change::Announced(again), ms(2500), ms(600));
    assert!(matches!(event, Some(Event::Added(..))));
    assert_eq!(usable(&registry), ["one", "two"]);
    assert!(registry.settle(ms(2500), ms(2500)).is_empty());

    let mut registry = registry_with_departure();
    assert!(registry.settle(ms(2499), ms(2500)).is_empty());
    assert!(registry.expire(ms(2500)).is_empty());
    assert_eq!(usable(&registry), ["two"]);
    assert!(
        matches!(&registry.settle(ms(2500), ms(2500))[..], [Event::Added(_, id)] if id == "one")
    );
    assert_eq!(usable(&registry), ["one", "two"]);
}

/// A removal that arrives late, before the entries are current, still counts.
#[test]
fn removed_before_settled() {
    let mut registry = registry_with_departure();
    assert!(registry.settle(ms(2400), ms(3300)).is_empty());
    let removed = registry.apply(Change::Removed("one".into()), ms(2500), ms(3350));
    assert!(matches!(removed, Some(Event::Removed(..))));
    let change = Change::Announced(target("one", 3));
    assert!(matches!(registry.apply(change, ms(2500), ms(3360)), Some(Event::Withheld(..))));
    assert_eq!(usable(&registry), ["two"]);
}

/// A draining target that is missing in a copy is remembered, so that an announcement from before
/// it drained does not make it usable.
#[test]
fn draining_missing() {
    let mut registry = Registry::new();
    let mut leaving = target("one", 2);
    leaving.draining = true;
    registry.replace(vec![leaving], ms(0), ms(10));
    registry.replace(vec![], ms(2000), ms(100));
    for now in [200, 2100] {
        assert!(registry.expire(ms(now)).is_empty());
        registry.apply(Change::Announced(target("one", 1)), ms(2000), ms(now));
        assert!(usable(&registry).is_empty());
    }
}

/// A draining target that is still missing once the entries are current is gone.
#[test]
fn draining_gone() {
    let mut registry = Registry::new();
    let mut leaving = target("one", 2);
    leaving.draining = true;
    registry.replace(vec![leaving], ms(0), ms(10));
    registry.replace(vec![], ms(2000), ms(100));
    assert!(registry.settle(ms(1999), ms(2500)).is_empty());
    assert_eq!(registry.settle(ms(2000), ms(2500)).len(), 1);
    assert!(registry.is_empty());
}

/// The memory of removed targets is bounded in time.
#[test]
fn departure_forgotten() {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 3)], ms(0), ms(10));
    registry.apply(Change::Removed("one".into()), ms(0), ms(100));
    registry.expire(ms(60_100));
    registry.unsettle(ms(63_000));
    let event = registry.apply(Change::Announced(target("one", 3)), ms(63_000), ms(61_000));
    assert!(matches!(event, Some(Event::Added(..))));
}

/// A new run whose clock is behind that of the run before was never used. The run before may also have
/// written late, so it has a few seconds to announce itself again.
#[test]
fn run_with_earlier_start() {
    let mut registry = Registry::new();
    registry.replace(vec![target("one", 9)], ms(0), ms(0));
    let mut earlier = target("one", 1);
    earlier.incarnation = Some(0);
    earlier.draining = true;
    registry.apply(Change::Announced(earlier.clone()), ms(0), ms(100));
    assert!(registry.settle(ms(3000), ms(3100)).is_empty());
    registry.apply(Change::Announced(target("one", 9)), ms(0), ms(3200));
    assert!(registry.settle(ms(9000), ms(9100)).is_empty());
    earlier.draining = false;
    earlier.slots = 77;
    registry.apply(Change::Announced(earlier), ms(0), ms(10_000));
    // The store has not been read since.
    assert!(registry.settle(ms(10_100), ms(20_000)).is_empty());
    let events = registry.settle(ms(16_000), ms(16_100));
    assert!(matches!(events[..], [Event::Removed(..), Event::Added(..)]), "{events:?}");
    assert_eq!(registry.usable("models").map(|(_, it)| it.slots).collect::<Vec<_>>(), [77]);
}
