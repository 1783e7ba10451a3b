//! Which hosts callers are sent to, and which host places requests.

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
    }
}

fn beat(name: &str, port: u16, follows: &str) -> Heartbeat {
    Heartbeat {
        host: host(name, port),
        ready: true,
        leaving: false,
        fit: true,
        follows: follows.into(),
    }
}

#[test]
fn silent_host() {
    let mut members = Membership::new(host("h1", 1), ms(1000));
    assert_eq!(members.hear(beat("h2", 2, "h2"), ms(0)), Some(Change::Up("h2".into())));
    assert_eq!(members.addresses("a", true).len(), 2);
    assert!(members.tick(ms(999)).is_empty());
    assert_eq!(members.tick(ms(1000)), [Change::Down("h2".into())]);
    assert_eq!(members.addresses("a", true), [host("h1", 1).front]);
}

#[test]
fn leaving_host() {
    let mut members = Membership::new(host("h1", 1), ms(1000));
    members.hear(beat("h2", 2, "h2"), ms(0));
    let leaving = Heartbeat { leaving: true, ready: false, ..beat("h2", 2, "h2") };
    assert_eq!(members.hear(leaving, ms(10)), Some(Change::Down("h2".into())));
    assert_eq!(members.addresses("a", true), [host("h1", 1).front]);
    assert_eq!(members.recipients().count(), 0);
}

/// A host that the store names but nobody heard gets heartbeats, and no callers.
#[test]
fn stored_host() {
    let mut members = Membership::new(host("h1", 1), ms(1000));
    members.introduce(host("h2", 2));
    assert_eq!(members.addresses("a", false), []);
    assert_eq!(
        members.recipients().map(|(it, up)| (it.name.as_str(), up)).next(),
        Some(("h2", false))
    );
}

#[test]
fn nearest_first() {
    let mut members = Membership::new(host("h1", 1), ms(1000));
    members.hear(beat("h2", 2, "h2"), ms(0));
    assert_eq!(members.addresses("a", true)[0], host("h2", 2).front);
    assert_eq!(members.addresses("b", true)[0], host("h1", 1).front);
}

/// All hosts start alone and come to follow one.
#[test]
fn dispatcher_agreed() {
    let names = ["h1", "h2", "h3"];
    let mut members: Vec<Membership> =
        (1..=3).map(|at| Membership::new(host(names[at - 1], at as u16), ms(1000))).collect();
    for round in 0..3 {
        let follows: Vec<String> = members.iter().map(|it| it.dispatcher().to_string()).collect();
        for (at, member) in members.iter_mut().enumerate() {
            for other in (0..3).filter(|it| *it != at) {
                member.hear(beat(names[other], other as u16 + 1, &follows[other]), ms(round));
            }
            member.elect(true, ms(round));
        }
    }
    assert!(members.iter().all(|it| it.dispatcher() == "h1"));
}

/// A host that returns does not take over from the one that the others follow.
#[test]
fn dispatcher_stays() {
    let mut first = Membership::new(host("h1", 1), ms(1000));
    first.hear(beat("h2", 2, "h2"), ms(0));
    first.hear(beat("h3", 3, "h2"), ms(0));
    first.elect(true, ms(0));
    assert_eq!(first.dispatcher(), "h2");
}

#[test]
fn dispatcher_silent() {
    let mut first = Membership::new(host("h1", 1), ms(1000));
    first.hear(beat("h2", 2, "h2"), ms(0));
    first.hear(beat("h3", 3, "h2"), ms(0));
    first.elect(true, ms(0));
    first.suspect("h2".into(), ms(500));
    assert!(first.elect(true, ms(1)));
    assert_ne!(first.dispatcher(), "h2");
    first.elect(true, ms(500));
    assert_eq!(first.dispatcher(), "h2");
}

/// A host without a fresh picture of the targets places for nobody.
#[test]
fn unfit_host() {
    let mut first = Membership::new(host("h1", 1), ms(1000));
    first.hear(beat("h2", 2, "h1"), ms(0));
    first.elect(false, ms(0));
    assert_eq!(first.dispatcher(), "h2");
}
