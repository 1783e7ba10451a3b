//! Membership: heartbeat rounds, failure detection and the addresses for callers.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::cluster::membership::{Change, Heartbeat, Host, Membership};

use common::ms;

fn host(name: &str, port: u16) -> Host {
    Host {
        name: name.into(),
        incarnation: 1,
        data_centre: if port.is_multiple_of(2) { "a".into() } else { "b".into() },
        caller_address: ([127, 0, 0, 1], port).into(),
        peer_address: ([127, 0, 0, 1], port + 1000).into(),
        cpu_millicores: 250,
    }
}

fn heartbeat(name: &str, port: u16) -> Heartbeat {
    Heartbeat {
        host: host(name, port),
        ready: true,
        leaving: false,
        can_dispatch: true,
        targets_age: Duration::ZERO,
        store_unreachable: false,
        claim_age: None,
    }
}

fn two_hosts() -> Membership {
    let mut members = Membership::new(host("h1", 1));
    assert_eq!(members.handle_heartbeat(heartbeat("h2", 2), ms(0)), Some(Change::Up("h2".into())));
    members
}

/// A silent host is probed, and is down when it does not answer.
#[test]
fn silent_host() {
    let mut members = two_hosts();
    assert_eq!(members.caller_addresses("a", true).len(), 2);
    assert_eq!(members.tick(ms(499)), Default::default());
    assert_eq!(members.tick(ms(500)).probe, [host("h2", 2).peer_address]);
    assert_eq!(members.tick(ms(999)).down, [""; 0]);
    let tick = members.tick(ms(1000));
    assert_eq!((tick.down, tick.report), (vec!["h2".into()], vec!["h2".into()]));
    assert_eq!(members.caller_addresses("a", true), [host("h1", 1).caller_address]);
}

#[test]
fn answering_host() {
    let mut members = two_hosts();
    members.tick(ms(500));
    members.handle_heartbeat(heartbeat("h2", 2), ms(900));
    assert_eq!(members.tick(ms(1000)), Default::default());
}

/// A host that was suspended finds all others silent; it probes them before it marks them as down.
#[test]
fn own_suspension() {
    let mut members = two_hosts();
    let tick = members.tick(ms(60_000));
    assert!(tick.down.is_empty());
    assert_eq!(tick.probe, [host("h2", 2).peer_address]);
}

/// A report from another host leads to a probe, but does not mark the host as down.
#[test]
fn reported_host() {
    let mut members = two_hosts();
    assert_eq!(members.handle_down_report(&"h2".into(), ms(100)), None);
    assert_eq!(members.handle_down_report(&"h2".into(), ms(200)), Some(host("h2", 2).peer_address));
    assert_eq!(members.caller_addresses("a", true).len(), 2);
    members.handle_heartbeat(heartbeat("h2", 2), ms(300));
    assert!(members.tick(ms(700)).down.is_empty());
}

/// A failure that another host reported is not reported again.
#[test]
fn reported_down() {
    let mut members = two_hosts();
    members.handle_down_report(&"h2".into(), ms(200));
    let tick = members.tick(ms(700));
    assert_eq!((tick.down, tick.report), (vec!["h2".into()], vec![]));
}

#[test]
fn leaving_host() {
    let mut members = two_hosts();
    let leaving = Heartbeat { leaving: true, ready: false, ..heartbeat("h2", 2) };
    assert_eq!(members.handle_heartbeat(leaving, ms(10)), Some(Change::Down("h2".into())));
    assert_eq!(members.caller_addresses("a", true), [host("h1", 1).caller_address]);
    assert_eq!(members.next_round(false), []);
}

/// A host known only from the store is sent heartbeats, but no callers.
#[test]
fn registered_host() {
    let mut members = Membership::new(host("h1", 1));
    members.add_registered(host("h2", 2), ms(0));
    assert_eq!(members.caller_addresses("a", false), []);
    assert_eq!(members.next_round(false), [host("h2", 2).peer_address]);
}

#[test]
fn nearest_first() {
    let members = two_hosts();
    assert_eq!(members.caller_addresses("a", true)[0], host("h2", 2).caller_address);
    assert_eq!(members.caller_addresses("b", true)[0], host("h1", 1).caller_address);
}

/// Heartbeat rounds reach many hosts in turn, each once before any twice, and the longer interval
/// between heartbeats marks none as silent.
#[test]
fn many_hosts() {
    let mut members = Membership::new(host("h040", 40));
    let others = (0..80).filter(|it| *it != 40);
    let heartbeats: Vec<Heartbeat> = others.map(|it| heartbeat(&format!("h{it:03}"), it)).collect();
    for heartbeat in &heartbeats {
        members.handle_heartbeat(heartbeat.clone(), ms(0));
    }
    let mut reached: Vec<_> = (0..5).flat_map(|_| members.next_round(false)).collect();
    assert_eq!(reached.len(), 80);
    reached.truncate(79);
    reached.sort();
    reached.dedup();
    assert_eq!(reached.len(), 79);
    assert_eq!(members.tick(ms(5 * 150 + 349)), Default::default());
}

/// Of several hundred hosts that start at once, only the two largest watch the store, also while
/// they do not know each other yet.
#[test]
fn watchers() {
    let mut members = Membership::new(host("h1", 1));
    assert!(!members.is_watcher(false));
    members.set_registered();
    assert!(members.is_watcher(false));
    assert!(!members.is_watcher(true));
    for name in ["h2", "h3"] {
        let host = Host { cpu_millicores: 500, ..host(name, 2) };
        members.handle_heartbeat(Heartbeat { host, ..heartbeat(name, 2) }, ms(0));
    }
    assert!(!members.is_watcher(false));
}

/// All of 110 hosts lose power and start again within 250 ms, in an arbitrary order, with the list
/// of hosts from the store. A starting host changes its state in each of its first rounds. Although
/// the first heartbeats reach hosts that have not started, all hosts know each other within two
/// cycles of heartbeats.
#[test]
fn restarted_together() {
    const COUNT: usize = 110;
    const STATE_CHANGES: usize = 8;
    let start = |at: usize| (at * 37 % COUNT) as u64 * 250 / COUNT as u64;
    let hosts: Vec<Host> = (0..COUNT).map(|at| host(&format!("h{at:03}"), at as u16)).collect();
    let mut members: Vec<Membership> = hosts.iter().cloned().map(Membership::new).collect();
    for members in &mut members {
        for host in &hosts {
            members.add_registered(host.clone(), ms(0));
        }
    }
    let deliver = |members: &mut [Membership], from: usize, to: usize, now: u64| {
        let heartbeat = |at: usize| Heartbeat { host: hosts[at].clone(), ..heartbeat("", 0) };
        if start(to) <= now
            && members[to].handle_heartbeat(heartbeat(from), ms(now)).is_some()
            && start(from) <= now
        {
            members[from].handle_heartbeat(heartbeat(to), ms(now));
        }
    };
    let mut sent = 0;
    let two_cycles = 2 * COUNT.div_ceil(16) as u64 * 150;
    for now in 0..start(COUNT - 1).max(250) + two_cycles {
        for from in (0..COUNT).filter(|at| start(*at) <= now && (now - start(*at)) % 150 == 0) {
            let round = (now - start(from)) / 150;
            let addresses = members[from].next_round(round < STATE_CHANGES as u64);
            sent += addresses.len();
            for address in addresses {
                let to = usize::from(address.port()) - 1000;
                deliver(&mut members, from, to, now);
            }
        }
    }
    let known: Vec<usize> = members.iter().map(Membership::live_count).collect();
    assert!(known.iter().all(|it| *it == COUNT), "{known:?}");
    assert!(sent < COUNT * COUNT * (STATE_CHANGES + 3), "{sent} datagrams");
}

/// A partitioned host received no heartbeats, divided the budget by one and took all of it.
#[test]
fn silent_hosts_share() {
    let mut members = two_hosts();
    members.add_registered(host("h3", 3), ms(0));
    assert_eq!(members.budget_sharers(ms(0)), 3);
    members.tick(ms(500));
    members.tick(ms(1000));
    assert_eq!((members.live_count(), members.budget_sharers(ms(1000))), (1, 3));
    assert_eq!(members.limit_sharers(ms(59_999)).collect::<Vec<_>>(), ["h1", "h2", "h3"]);
    assert_eq!(members.limit_sharers(ms(60_000)).collect::<Vec<_>>(), ["h1"]);
    members.handle_heartbeat(heartbeat("h2", 2), ms(3_000_000));
    assert_eq!(members.budget_sharers(ms(4_000_000)), 2);
}

/// Requests go only through hosts that reach targets. A probe, which does not say whether its sender
/// does, made a host that is cut off count as connected.
#[test]
fn cut_off_host() {
    let mut members = two_hosts();
    members.handle_heartbeat(heartbeat("h3", 3), ms(0));
    members.set_cut_off(&"h2".into(), true);
    members.handle_heartbeat(heartbeat("h2", 2), ms(100));
    let chosen = |members: &Membership, draw| members.choose_proxy(&[], draw).unwrap().name;
    assert_eq!([0, 1, 2].map(|it| chosen(&members, it)), ["h3", "h3", "h3"]);
    assert!(members.choose_proxy(&["h3".into()], 0).is_none());
    members.set_cut_off(&"h2".into(), false);
    assert_eq!([0, 1].map(|it| chosen(&members, it)), ["h2", "h3"]);
    let restarted = Host { incarnation: 2, ..host("h3", 3) };
    members.set_cut_off(&"h3".into(), true);
    members.handle_heartbeat(Heartbeat { host: restarted, ..heartbeat("h3", 3) }, ms(200));
    assert_eq!([0, 1].map(|it| chosen(&members, it)), ["h2", "h3"]);
}

/// A host that shuts down completes the requests that others send through it; one that does not
/// answer, or was restarted, has lost them.
#[test]
fn lost_host() {
    let mut members = two_hosts();
    let is_lost = |members: &Membership| members.is_lost(&"h2".into(), 1);
    assert!(!is_lost(&members));
    members.handle_heartbeat(Heartbeat { leaving: true, ..heartbeat("h2", 2) }, ms(100));
    assert!(!is_lost(&members));
    assert!(members.choose_proxy(&[], 0).is_none());
    let restarted = Host { incarnation: 2, ..host("h2", 2) };
    members.handle_heartbeat(Heartbeat { host: restarted, ..heartbeat("h2", 2) }, ms(200));
    assert!(is_lost(&members));
    let mut silent = two_hosts();
    silent.tick(ms(500));
    silent.tick(ms(1000));
    assert!(is_lost(&silent));
}

/// The hosts that keep a stream's record are the same on all hosts, apart from the host itself, and
/// three at most.
#[test]
fn record_keepers() {
    let names: Vec<String> = (0..9).map(|it| format!("h{it}")).collect();
    let members = |own: usize| {
        let mut members = Membership::new(host(&names[own], own as u16));
        for (port, name) in names.iter().enumerate().filter(|(it, _)| *it != own) {
            members.handle_heartbeat(heartbeat(name, port as u16), ms(0));
        }
        members
    };
    for stream in 0..50 {
        let stream = format!("r{stream}");
        let keepers = members(0).record_keepers(&stream);
        assert_eq!(keepers.len(), 3);
        for (asking, name) in names.iter().enumerate().skip(1) {
            let asked = members(asking).record_keepers(&stream);
            let common = asked.iter().filter(|it| keepers.contains(it)).count();
            let is_keeper = keepers.iter().any(|it| it == name);
            assert!(is_keeper || 2 <= common, "{name} asks {asked:?} of {keepers:?}");
        }
    }
}
