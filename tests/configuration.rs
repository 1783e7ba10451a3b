//! Configuration over real processes: two operators, lost answers, a store that is down, restarts.

mod common;

use std::thread;

use common::{
    fleet::{Callers, Ended, Fleet, stream},
    http,
    proxy::{Mode, Proxy},
    wait_until,
};
use fuchsiaknot::{
    operate::wire::{Edit, Edited},
    standin::platform::Faults,
};

fn limits(from: u64, weight: u64) -> Edit {
    let limits = format!("[plan gold]\nweight = {weight}\nfirst_token = 1 min\n");
    Edit { from, limits: Some(limits), token: rand::random(), ..Edit::default() }
}

fn assert_none_cut(ended: &[Ended]) {
    let cut: Vec<_> = ended.iter().filter(|it| matches!(it, Ended::Cut(_))).collect();
    assert!(cut.is_empty(), "{} of {} requests were cut: {cut:?}", cut.len(), ended.len());
}

#[test]
fn two_operators_conflict() {
    let fleet = Fleet::start(3, 0);
    for round in 2..8 {
        let outcomes: Vec<Edited> = thread::scope(|scope| {
            let edit = |host: usize| {
                let client = fleet.client(host);
                scope.spawn(move || client.edit(&limits(round, round * 10 + host as u64)).unwrap())
            };
            let both = [edit(0), edit(2)];
            both.map(|it| it.join().unwrap()).into()
        });
        let stored = |it: &&Edited| **it == Edited::Stored { version: round + 1 };
        let conflict = |it: &&Edited| match it {
            Edited::Conflict { current, difference } => {
                *current == round + 1 && !difference.is_empty()
            }
            _ => false,
        };
        let counts =
            (outcomes.iter().filter(stored).count(), outcomes.iter().filter(conflict).count());
        assert_eq!(counts, (1, 1), "{outcomes:?}");
    }
}

#[test]
fn lost_answer_found() {
    let fleet = Fleet::start(3, 0);
    for version in 3..6 {
        fleet.fault(&Faults {
            lose_answers: 1,
            lose_prefix: "config/".into(),
            ..Faults::default()
        });
        let weight = format!("weight={version}");
        let output = fleet.operate(1, &["limits", "edit", "plan gold", &weight], "");
        assert!(output.status.success(), "{output:?}");
        assert!((0..3).all(|it| fleet.in_force(it) == version));
    }
    assert_eq!(fleet.client(0).history(100).unwrap().edits.len(), 5);
}

#[test]
fn start_with_store_down() {
    let mut fleet = Fleet::start(3, 1);
    fleet.fault(&Faults { table_down: true, objects_down: true, ..Faults::default() });
    fleet.hosts[1].process.kill();
    fleet.hosts[1] = fleet.start_host("host-1");
    wait_until("the new run serves", || fleet.hosts[1].serves());
    assert_eq!(stream(fleet.hosts[1].callers, 5), Ended::Whole);
    let page = http::get(fleet.hosts[1].operators, "/v1/fleet").body;
    assert!(page.contains("\"version\":2"), "{page}");
    fleet.fault(&Faults::default());
    wait_until("the new run reads the store", || {
        http::get(fleet.hosts[1].operators, "/v1/fleet").body.contains("\"freshness\":\"fresh\"")
    });
}

#[test]
fn paused_host_never_behind() {
    let mut fleet = Fleet::start(2, 1);
    let proxy = Proxy::start(fleet.platform);
    fleet.add_host_through("host-2", proxy.address());
    fleet.hosts[2].process.pause();
    proxy.set(Mode::Silent);
    let withdrawn = "[customer other]\nplan = gold\nkey = ".to_owned() + &"0".repeat(64);
    let plans = ["plans", "apply", "-", "--from", "2", "--wait", "1 min"];
    let output = fleet.operate(0, &plans, &withdrawn);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("waiting for host-2"), "{output:?}");
    fleet.hosts[2].process.resume();
    // The account is gone in the version that is in force, so no host may serve it.
    wait_until("the woken host has the version of its peers", || {
        assert_ne!(stream(fleet.hosts[2].callers, 1), Ended::Whole);
        http::get(fleet.hosts[2].operators, "/v1/fleet").body.contains("\"version\":3")
    });
}

#[test]
fn cut_off_host_follows_peers() {
    let mut fleet = Fleet::start(2, 1);
    let proxy = Proxy::start(fleet.platform);
    fleet.add_host_through("host-2", proxy.address());
    proxy.set(Mode::SilentToClient);
    let output = fleet.operate(0, &["limits", "edit", "plan gold", "weight=2"], "");
    assert!(output.status.success(), "{output:?}");
    let page = || http::get(fleet.hosts[2].operators, "/v1/fleet").body;
    assert!(page().contains("\"version\":3"), "{}", page());
    wait_until("it is stale", || page().contains("\"freshness\":\"stale\""));
    assert_eq!(stream(fleet.hosts[2].callers, 5), Ended::Whole);
    proxy.set(Mode::Pass);
    wait_until("it is fresh", || page().contains("\"freshness\":\"fresh\""));
}

#[test]
fn versions_never_fall() {
    let mut fleet = Fleet::start(3, 0);
    let mut seen = [0; 3];
    let mut look = |fleet: &Fleet| {
        for (host, seen) in seen.iter_mut().enumerate() {
            let version = fleet.in_force(host);
            assert!(*seen <= version, "host {host} fell from {seen} to {version}");
            *seen = version;
        }
    };
    for round in 2..8 {
        let weight = format!("weight={round}");
        let output = fleet.operate(0, &["limits", "edit", "plan gold", &weight], "");
        assert!(output.status.success(), "{output:?}");
        assert!((0..3).all(|it| fleet.in_force(it) == round + 1));
        look(&fleet);
        fleet.fault(&Faults { lose_answers: 2, slow_ms: 5, ..Faults::default() });
        look(&fleet);
        let restarted = (round % 3) as usize;
        fleet.hosts[restarted].process.kill();
        fleet.hosts[restarted] = fleet.start_host(&format!("host-{restarted}"));
        fleet.fault(&Faults::default());
        wait_until("the new run is up to date", || fleet.in_force(restarted) == round + 1);
        fleet.wait_known();
        look(&fleet);
    }
}

#[test]
fn rolling_restart_cuts_none() {
    let mut fleet = Fleet::start(9, 3);
    let addresses: Vec<_> = fleet.hosts.iter().map(|it| it.callers).collect();
    let callers = Callers::start(8, &addresses, 40);
    for host in 0..9 {
        let before = callers.whole();
        wait_until("answers go on", || before + 8 <= callers.whole());
        fleet.hosts[host].process.terminate();
        assert_eq!(fleet.hosts[host].process.exit_code(), Some(0));
        fleet.hosts[host] = fleet.start_host(&format!("host-{host}"));
        wait_until("the new run serves", || fleet.hosts[host].serves());
    }
    let ended = callers.stop();
    assert_none_cut(&ended);
}

#[test]
fn replaced_third_cuts_none() {
    let mut fleet = Fleet::start(9, 3);
    let addresses: Vec<_> = fleet.hosts.iter().map(|it| it.callers).collect();
    let callers = Callers::start(8, &addresses, 40);
    for host in 0..3 {
        let before = callers.whole();
        wait_until("answers go on", || before + 8 <= callers.whole());
        let new = fleet.start_host(&format!("new-{host}"));
        wait_until("the new host serves", || new.serves());
        fleet.hosts[host].process.terminate();
        assert_eq!(fleet.hosts[host].process.exit_code(), Some(0));
        fleet.hosts[host] = new;
    }
    let edit = fleet.operate(0, &["limits", "edit", "plan gold", "weight=2"], "");
    assert!(edit.status.success(), "{edit:?}");
    assert_none_cut(&callers.stop());
}
