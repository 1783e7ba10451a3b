//! The roster of entry hosts, and the ranking of hosts for callers.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use fuchsiaknot::{
    host::{Candidate, Change, Roster, Status, rank},
    link::peer::wire::{Heartbeat, Load, Member},
    refresh::Freshness,
    store::State,
};
use smol_str::format_smolstr;

const SILENCE: Duration = Duration::from_secs(3);
const RETENTION: Duration = Duration::from_secs(11);
const OWN_INCARNATION: u64 = 77;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn member(host: &str, incarnation: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        host: host.into(),
        incarnation,
        data_centre: "brno-a".into(),
        callers_address: address,
        peers_address: address,
        state: State::Live,
    }
}

fn heartbeat(host: &str, incarnation: u64, version: u64) -> Heartbeat {
    Heartbeat {
        from: member(host, incarnation),
        heard: Some(OWN_INCARNATION),
        version: Some(version),
        freshness: Freshness::Fresh,
        load: Load::default(),
    }
}

fn roster() -> Roster {
    let mut roster = Roster::new("b".into(), OWN_INCARNATION, SILENCE, RETENTION);
    roster.apply_host_list(&[member("a", 1), member("b", OWN_INCARNATION), member("c", 3)], at(0));
    roster
}

#[test]
fn heartbeats_counted() {
    let mut roster = roster();
    assert_eq!(roster.receive_heartbeat(&heartbeat("a", 1, 4), at(1)), [Change::Up("a".into())]);
    let peers = roster.peer_summary(at(2));
    assert_eq!((peers.known, peers.heard, peers.acknowledged, peers.highest_version), (2, 1, 1, 4));
    assert_eq!(roster.peer_summary(at(4)).heard, 0);
    assert_eq!(roster.newly_silent(at(3), at(4)), [Change::Down("a".into())]);
}

#[test]
fn old_acknowledgement_ignored() {
    let mut roster = roster();
    roster.receive_heartbeat(
        &Heartbeat { heard: Some(OWN_INCARNATION + 1), ..heartbeat("a", 1, 4) },
        at(1),
    );
    assert_eq!(roster.peer_summary(at(1)).acknowledged, 0);
}

#[test]
fn new_run_replaces() {
    let mut roster = roster();
    roster.receive_heartbeat(&heartbeat("a", 1, 4), at(1));
    let changes = roster.receive_heartbeat(&heartbeat("a", 2, 5), at(2));
    assert_eq!(changes, [Change::Replaced("a".into()), Change::Up("a".into())]);
    assert_eq!(roster.latest_run("a").unwrap().incarnation, 2);
    assert_eq!(roster.peer_summary(at(2)).known, 2);
    assert!(roster.find_run(&"a".into(), 1).is_some());
    roster.receive_heartbeat(&heartbeat("a", 2, 5), at(13));
    roster.apply_host_list(&[member("a", 2)], at(13));
    assert!(roster.find_run(&"a".into(), 1).is_none());
}

#[test]
fn unlisted_run_removed() {
    let mut roster = roster();
    roster.apply_host_list(&[member("a", 1)], at(10));
    roster.receive_heartbeat(&heartbeat("a", 1, 4), at(10));
    assert_eq!(roster.peer_summary(at(10)).known, 2);
    roster.apply_host_list(&[member("a", 1)], at(11));
    assert_eq!(roster.peer_summary(at(11)).known, 1);
}

#[test]
fn silent_majority_kept() {
    let mut roster = roster();
    roster.apply_host_list(&[], at(500));
    assert_eq!(roster.peer_summary(at(500)).known, 2);
    assert_eq!(roster.reported_versions(at(500)).len(), 2);
}

#[test]
fn left_host_excluded() {
    let mut roster = roster();
    let leaving = Member { state: State::Leaving, ..member("a", 1) };
    roster.receive_heartbeat(&Heartbeat { from: leaving, ..heartbeat("a", 1, 4) }, at(1));
    assert!(roster.reported_versions(at(2)).iter().any(|it| it.host == "a" && it.heard));
    assert!(roster.reported_versions(at(4)).iter().all(|it| it.host != "a"));
}

#[test]
fn unlisted_learns_from_peer() {
    let mut roster = Roster::new("b".into(), OWN_INCARNATION, SILENCE, RETENTION);
    roster.receive_heartbeat(&heartbeat("a", 1, 4), at(1));
    assert!(!roster.peer_summary(at(1)).is_majority());
    roster.learn_members(&[member("a", 1), member("c", 3), member("d", 4)], at(1));
    assert_eq!(roster.peer_summary(at(1)).known, 3);
}

#[test]
fn own_run_unlisted() {
    let mut roster = Roster::new("b".into(), OWN_INCARNATION, SILENCE, RETENTION);
    roster.apply_host_list(&[member("a", 1)], at(0));
    assert!(!roster.knows_peers());
    roster.apply_host_list(&[member("a", 1), member("b", OWN_INCARNATION - 1)], at(1));
    assert!(!roster.knows_peers());
    roster.apply_host_list(&[member("a", 1), member("b", OWN_INCARNATION)], at(2));
    assert!(roster.knows_peers());
}

#[test]
fn leaving_stays_leaving() {
    let mut roster = roster();
    let leaving = Member { state: State::Leaving, ..member("a", 1) };
    roster.receive_heartbeat(&Heartbeat { from: leaving, ..heartbeat("a", 1, 4) }, at(1));
    roster.apply_host_list(&[member("a", 1), member("c", 3)], at(2));
    let views = roster.views(at(2));
    assert_eq!(
        views.iter().map(|it| it.status).collect::<Vec<_>>(),
        [Status::Leaving, Status::Silent]
    );
    assert!(views.iter().all(|it| Candidate::try_from(it).is_err()));
}

#[test]
fn lower_name_initiates() {
    let mut roster = roster();
    roster.receive_heartbeat(&heartbeat("a", 1, 4), at(10));
    roster.receive_heartbeat(&heartbeat("c", 3, 4), at(10));
    let receivers = |roster: &Roster, now| -> Vec<_> {
        roster.heartbeat_receivers(now).into_iter().map(|it| it.host).collect()
    };
    assert_eq!(receivers(&roster, at(11)), ["c"]);
    assert_eq!(receivers(&roster, at(12)), ["a", "c"]);
}

fn candidate(host: &str, data_centre: &str, connections: u32) -> Candidate {
    let member = Member { data_centre: data_centre.into(), ..member(host, 1) };
    Candidate { member, load: Load { connections, capacity: 100 } }
}

#[test]
fn near_hosts_first() {
    let candidates =
        [candidate("a", "far", 0), candidate("b", "near", 50), candidate("c", "near", 90)];
    let order = |seed| -> Vec<_> {
        rank(&candidates, "near", seed).hosts.into_iter().map(|it| it.host).collect()
    };
    assert!((0..50).all(|seed| order(seed) == ["b", "a", "c"]));
}

#[test]
fn callers_spread() {
    let candidates: Vec<_> =
        (0..3).map(|it| candidate(&format_smolstr!("h{it}"), "near", it * 30)).collect();
    let mut first = [0_u32; 3];
    for seed in 0..3_000 {
        let host = &rank(&candidates, "near", seed).hosts[0].host;
        first[host[1..].parse::<usize>().unwrap()] += 1;
    }
    assert!(first[1] < first[0] && first[2] < first[1], "{first:?}");
    assert!(first.iter().all(|it| 300 < *it), "{first:?}");
    let orders: HashSet<_> =
        (0..100).map(|seed| rank(&candidates, "near", seed).hosts[0].host.clone()).collect();
    assert_eq!(orders.len(), 3);
}

#[test]
fn listed_leaving_excluded() {
    let mut roster = roster();
    let leaving = Member { state: State::Leaving, ..member("a", 1) };
    let own = member("b", OWN_INCARNATION);
    roster.apply_host_list(&[leaving, own, member("c", 3)], at(1));
    roster.receive_heartbeat(&heartbeat("c", 3, 4), at(1));
    assert_eq!((roster.peer_summary(at(1)).known, roster.peer_summary(at(1)).acknowledged), (1, 1));
}
