//! Which hosts callers are sent to, and how a silent one is found.

mod common;

use fuchsiaknot_gateway::membership::{Change, Heartbeat, Host, Membership};

use common::ms;

fn host(name: &str, port: u16) -> Host {
    Host {
        name: name.into(),
        incarnation: 1,
        data_centre: if port.is_multiple_of(2) { "a".into() } else { "b".into() },
        front: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 1], port + 1000).into(),
        capacity: 250,
    }
}

fn beat(name: &str, port: u16) -> Heartbeat {
    Heartbeat {
        host: host(name, port),
        ready: true,
        leaving: false,
        fit: true,
        cut_off: false,
        claim: None,
    }
}

fn two_hosts() -> Membership {
    let mut members = Membership::new(host("h1", 1));
    assert_eq!(members.hear(beat("h2", 2), ms(0)), Some(Change::Up("h2".into())));
    members
}

/// A silent host is asked, and is down when it does not answer.
#[test]
fn silent_host() {
    let mut members = two_hosts();
    assert_eq!(members.addresses("a", true).len(), 2);
    assert_eq!(members.tick(ms(499)), Default::default());
    assert_eq!(members.tick(ms(500)).ask, [host("h2", 2).peers]);
    assert_eq!(members.tick(ms(999)).down, [""; 0]);
    let tick = members.tick(ms(1000));
    assert_eq!((tick.down, tick.tell), (vec!["h2".into()], vec!["h2".into()]));
    assert_eq!(members.addresses("a", true), [host("h1", 1).front]);
}

#[test]
fn answering_host() {
    let mut members = two_hosts();
    members.tick(ms(500));
    members.hear(beat("h2", 2), ms(900));
    assert_eq!(members.tick(ms(1000)), Default::default());
}

/// A host that was suspended finds all others silent; it asks before it takes them as down.
#[test]
fn own_suspension() {
    let mut members = two_hosts();
    let tick = members.tick(ms(60_000));
    assert!(tick.down.is_empty());
    assert_eq!(tick.ask, [host("h2", 2).peers]);
}

/// Another host's word makes this one ask, no more.
#[test]
fn doubted_host() {
    let mut members = two_hosts();
    assert_eq!(members.doubt(&"h2".into(), ms(100)), None);
    assert_eq!(members.doubt(&"h2".into(), ms(200)), Some(host("h2", 2).peers));
    assert_eq!(members.addresses("a", true).len(), 2);
    members.hear(beat("h2", 2), ms(300));
    assert!(members.tick(ms(700)).down.is_empty());
}

/// What one host found, the others do not tell each other again.
#[test]
fn told_host() {
    let mut members = two_hosts();
    members.doubt(&"h2".into(), ms(200));
    let tick = members.tick(ms(700));
    assert_eq!((tick.down, tick.tell), (vec!["h2".into()], vec![]));
}

#[test]
fn leaving_host() {
    let mut members = two_hosts();
    let leaving = Heartbeat { leaving: true, ready: false, ..beat("h2", 2) };
    assert_eq!(members.hear(leaving, ms(10)), Some(Change::Down("h2".into())));
    assert_eq!(members.addresses("a", true), [host("h1", 1).front]);
    assert_eq!(members.next_round(), []);
}

/// A host that the store names but nobody heard gets heartbeats, and no callers.
#[test]
fn stored_host() {
    let mut members = Membership::new(host("h1", 1));
    members.introduce(host("h2", 2));
    assert_eq!(members.addresses("a", false), []);
    assert_eq!(members.next_round(), [host("h2", 2).peers]);
}

#[test]
fn nearest_first() {
    let members = two_hosts();
    assert_eq!(members.addresses("a", true)[0], host("h2", 2).front);
    assert_eq!(members.addresses("b", true)[0], host("h1", 1).front);
}

/// Many hosts are reached in turn, each once before any twice, and none is missed for it.
#[test]
fn many_hosts() {
    let mut members = Membership::new(host("h040", 40));
    let others = (0..80).filter(|it| *it != 40);
    let beats: Vec<Heartbeat> = others.map(|it| beat(&format!("h{it:03}"), it)).collect();
    for beat in &beats {
        members.hear(beat.clone(), ms(0));
    }
    let mut reached: Vec<_> = (0..5).flat_map(|_| members.next_round()).collect();
    assert_eq!(reached.len(), 80);
    reached.truncate(79);
    reached.sort();
    reached.dedup();
    assert_eq!(reached.len(), 79);
    assert_eq!(members.tick(ms(5 * 150 + 349)), Default::default());
}
