//! Election of the dispatcher.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::cluster::{
    election::{Candidate, elect},
    membership::{Heartbeat, Host, Membership},
};
use rstest::rstest;

use common::ms;

fn host(at: usize) -> Host {
    Host {
        name: format!("h{at:03}").into(),
        incarnation: 1,
        data_centre: "a".into(),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        cpu_millicores: 250,
    }
}

fn heartbeat(at: usize, claim_age: Option<Duration>) -> Heartbeat {
    Heartbeat {
        host: host(at),
        ready: true,
        leaving: false,
        can_dispatch: true,
        targets_age: Duration::ZERO,
        store_unreachable: false,
        claim_age,
    }
}

fn candidate(name: &str, cpu_millicores: u32, claimed: Option<u64>) -> Candidate {
    Candidate { name: name.into(), cpu_millicores, claimed_at: claimed.map(ms) }
}

#[rstest]
#[case::no_claim(&[("h1", 250, None), ("h2", 250, None)], "h1")]
#[case::one_claim(&[("h1", 250, None), ("h2", 250, Some(0))], "h2")]
#[case::oldest_claim(&[("h1", 250, Some(900)), ("h2", 250, Some(100))], "h2")]
#[case::equal_claims(&[("h1", 250, Some(400)), ("h2", 250, Some(100))], "h1")]
#[case::small_claimant(&[("h1", 120, Some(0)), ("h2", 500, None)], "h2")]
fn elected(#[case] candidates: &[(&str, u32, Option<u64>)], #[case] expected: &str) {
    let candidates: Vec<_> = candidates.iter().map(|it| candidate(it.0, it.1, it.2)).collect();
    assert_eq!(elect(&candidates).unwrap().name, expected);
}

/// With 75 hosts that start at once, each pair exchanges heartbeats only every fifth round. The
/// hosts agree within 20 rounds and do not change the dispatcher again.
#[test]
fn many_hosts() {
    let mut members: Vec<Membership> = (0..75).map(|at| Membership::new(host(at))).collect();
    let mut changes = Vec::new();
    for round in 0..60 {
        let now = ms(1000 + 150 * round as u64);
        let claims: Vec<_> = members.iter().map(|it| it.claim_age(now)).collect();
        for (at, member) in members.iter_mut().enumerate() {
            for (other, claim) in claims.iter().enumerate().filter(|(it, _)| *it != at) {
                if (other + at) % 5 == round % 5 {
                    member.handle_heartbeat(heartbeat(other, *claim), now);
                }
            }
            if member.elect_dispatcher(Some(Duration::ZERO), now) {
                changes.push(round);
            }
        }
    }
    assert!(members.iter().all(|it| it.dispatcher() == members[0].dispatcher()));
    assert!(changes.iter().all(|it| *it < 20), "{changes:?}");
}

fn three_hosts() -> Membership {
    let mut first = Membership::new(host(1));
    first.handle_heartbeat(heartbeat(2, Some(ms(5000))), ms(9000));
    first.handle_heartbeat(heartbeat(3, None), ms(9000));
    first.elect_dispatcher(Some(Duration::ZERO), ms(9000));
    first
}

/// A host that restarts does not take over from the current dispatcher.
#[test]
fn claim_kept() {
    let first = three_hosts();
    assert_eq!(first.dispatcher(), "h002");
    assert_eq!(first.claim_age(ms(9000)), None);
}

#[test]
fn dispatcher_silent() {
    let mut first = three_hosts();
    first.exclude_dispatcher("h002".into(), ms(9500));
    assert!(first.elect_dispatcher(Some(Duration::ZERO), ms(9001)));
    assert_ne!(first.dispatcher(), "h002");
    first.elect_dispatcher(Some(Duration::ZERO), ms(9500));
    assert_eq!(first.dispatcher(), "h002");
    assert_eq!(first.claim_age(ms(9500)), None);
}

/// A host that knows no targets yet is not elected.
#[test]
fn starting_host() {
    let mut first = Membership::new(host(1));
    first.handle_heartbeat(heartbeat(2, None), ms(0));
    first.elect_dispatcher(None, ms(0));
    assert_eq!(first.dispatcher(), "h002");
}

/// The dispatcher is cut off from the store, and its list of targets ages while the others' lists
/// stay fresh: another host is elected, also by the cut-off host itself.
#[rstest]
#[case::seen_by_others(1, 2)]
#[case::seen_by_itself(2, 2)]
fn stale_dispatcher(#[case] own: usize, #[case] cut_off: usize) {
    let mut members = Membership::new(host(own));
    let mut elected = Vec::new();
    for now in (0..4000).step_by(150) {
        let targets_age = |at| ms(if at == cut_off { now } else { 0 });
        for at in (1..=3).filter(|at| *at != own) {
            let claim_age = (at == cut_off).then(|| ms(5000 + now));
            let heartbeat = Heartbeat { targets_age: targets_age(at), ..heartbeat(at, claim_age) };
            members.handle_heartbeat(heartbeat, ms(5000 + now));
        }
        members.elect_dispatcher(Some(targets_age(own)), ms(5000 + now));
        elected.push(members.dispatcher().clone());
    }
    assert_eq!(elected[13], if own == 2 { "h001" } else { "h002" }, "{elected:?}");
    assert_ne!(elected.last().unwrap(), "h002", "{elected:?}");
}

/// The store is away for eight seconds. Each of 58 hosts got its last answer at another moment, and
/// gets heartbeats from a tenth of the others in each round. All keep the same dispatcher throughout.
#[test]
fn store_away() {
    const COUNT: usize = 58;
    let mut members: Vec<Membership> = (0..COUNT).map(|at| Membership::new(host(at))).collect();
    let mut dispatchers = std::collections::BTreeSet::new();
    for round in 0..80 {
        let now = 20_000 + 150 * round as u64;
        let targets_age = |at: usize| ms((at * 23 % 1200) as u64 + (now - 20_000).min(8000));
        let claims: Vec<_> = members.iter().map(|it| it.claim_age(ms(now))).collect();
        for (at, member) in members.iter_mut().enumerate() {
            for (other, claim_age) in claims.iter().enumerate().filter(|(it, _)| *it != at) {
                if (other + at) % 10 == round % 10 {
                    let targets_age = targets_age(other);
                    let heartbeat = Heartbeat { targets_age, ..heartbeat(other, *claim_age) };
                    member.handle_heartbeat(heartbeat, ms(now));
                }
            }
            member.elect_dispatcher(Some(targets_age(at)), ms(now));
            if 30 <= round {
                dispatchers.insert(member.dispatcher().clone());
            }
        }
    }
    assert_eq!(dispatchers.len(), 1, "{dispatchers:?}");
}
