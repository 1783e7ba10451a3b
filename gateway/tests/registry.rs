//! Which targets accept new requests, according to the store.

mod common;

use fuchsiaknot_gateway::registry::{Change, Event, Registry};

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
