//! Election of the dispatcher.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::{
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
            if member.elect_dispatcher(true, now) {
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
    first.elect_dispatcher(true, ms(9000));
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
    assert!(first.elect_dispatcher(true, ms(9001)));
    assert_ne!(first.dispatcher(), "h002");
    first.elect_dispatcher(true, ms(9500));
    assert_eq!(first.dispatcher(), "h002");
    assert_eq!(first.claim_age(ms(9500)), None);
}

/// A host without a fresh list of targets is not elected.
#[test]
fn stale_host() {
    let mut first = Membership::new(host(1));
    first.handle_heartbeat(heartbeat(2, None), ms(0));
    first.elect_dispatcher(false, ms(0));
    assert_eq!(first.dispatcher(), "h002");
}
