//! Leases: which host may acquire one, when, and how groups are assigned to hosts.

use std::{collections::BTreeSet, time::Duration};

use fuchsiaknot::{
    id,
    lease::{self, Config, Controller, Intent, Malformed, Owner, Purpose, Record, assign, wire},
};
use rstest::rstest;

const ACQUIRE: Intent = Intent::Acquire { rank: 0 };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn owner(host: &str) -> Owner {
    Owner { host: host.into(), incarnation: 1 }
}

fn controller(host: &str) -> Controller {
    let config = Config { duration: at(6), clock_drift: at(1), renew_every: at(2), stagger: at(1) };
    Controller::new(owner(host), config)
}

/// Lets a controller acquire a free lease with a write that is answered after two seconds.
fn acquire(controller: &mut Controller, now: Duration) -> Record {
    controller.observe_row(0, None, now);
    let attempt = controller.next_attempt(now, ACQUIRE, 7).unwrap();
    assert_eq!(attempt.purpose, Purpose::Acquire);
    controller.write_committed(&attempt, 1, now + at(2));
    attempt.record
}

#[test]
fn ends_first_for_holder() {
    let (mut holder, mut candidate) = (controller("a"), controller("b"));
    let record = acquire(&mut holder, at(10));
    candidate.observe_row(1, Some(record), at(12));
    assert_eq!(holder.held_epoch(at(15)), Some(1));
    assert_eq!(holder.held_epoch(at(16)), None, "measured from before the request was sent");
    assert_eq!(
        candidate.next_attempt(at(18), ACQUIRE, 8),
        None,
        "measured from the answer's arrival"
    );
    let attempt = candidate.next_attempt(at(19), ACQUIRE, 8).unwrap();
    assert_eq!((attempt.expected, attempt.record.epoch), (1, 2));
}

#[test]
fn renewal_restarts_wait() {
    let (mut holder, mut candidate) = (controller("a"), controller("b"));
    let record = acquire(&mut holder, at(10));
    candidate.observe_row(1, Some(record), at(12));
    let renewal = holder.next_attempt(at(13), ACQUIRE, 9).unwrap();
    assert_eq!(renewal.purpose, Purpose::Renew);
    candidate.observe_row(2, Some(renewal.record), at(14));
    assert_eq!(candidate.next_attempt(at(20), ACQUIRE, 8), None);
    assert!(candidate.next_attempt(at(21), ACQUIRE, 8).is_some());
}

#[test]
fn lost_answer_recovered() {
    let mut holder = controller("a");
    holder.observe_row(0, None, at(10));
    let attempt = holder.next_attempt(at(10), ACQUIRE, 7).unwrap();
    assert_eq!(
        holder.next_attempt(at(11), ACQUIRE, 8).as_ref(),
        Some(&attempt),
        "the attempt is repeated unchanged"
    );
    holder.observe_row(1, Some(attempt.record), at(12));
    assert_eq!(holder.held_epoch(at(15)), Some(1));
}

#[test]
fn foreign_token_rejected() {
    let mut holder = controller("a");
    holder.observe_row(0, None, at(10));
    let attempt = holder.next_attempt(at(10), ACQUIRE, 7).unwrap();
    let other = Record { owner: Some(owner("b")), token: 8, ..attempt.record };
    holder.observe_row(1, Some(other), at(12));
    assert_eq!(holder.held_epoch(at(12)), None);
}

#[test]
fn expired_while_paused() {
    let mut holder = controller("a");
    acquire(&mut holder, at(10));
    let attempt = holder.next_attempt(at(100), ACQUIRE, 9).unwrap();
    assert_eq!(holder.held_epoch(at(100)), None);
    assert_eq!((attempt.purpose, attempt.record.epoch), (Purpose::Acquire, 2));
}

#[test]
fn released_lease_free() {
    let (mut holder, mut candidate) = (controller("a"), controller("b"));
    acquire(&mut holder, at(10));
    let attempt = holder.next_attempt(at(12), Intent::Release, 9).unwrap();
    assert_eq!(holder.held_epoch(at(12)), None, "the lease ends before the write is sent");
    candidate.observe_row(2, Some(attempt.record), at(13));
    assert_eq!(candidate.next_attempt(at(13), ACQUIRE, 8).unwrap().record.epoch, 2);
}

#[rstest]
#[case(r#"{"holder":null,"epoch":0,"renewal":0,"token":1}"#)]
#[case(r#"{"holder":{"host":"","incarnation":1},"epoch":1,"renewal":0,"token":1}"#)]
#[case(r#"{"epoch":"one"}"#)]
fn malformed_row_rejected(#[case] text: &str) {
    let parsed: Result<Record, Malformed> = wire::Record::parse(text).and_then(Record::try_from);
    assert!(parsed.is_err());
}

#[rstest]
#[case(6, 9)]
#[case(30, 9)]
#[case(140, 380)]
fn assignment_even(#[case] groups: usize, #[case] hosts: usize) {
    let groups: BTreeSet<id::Group> = (0..groups).map(|it| format!("dc/{it}").into()).collect();
    let hosts: BTreeSet<id::Host> = (0..hosts).map(|it| format!("host-{it}").into()).collect();
    let assigned = assign(&groups, &hosts);
    assert_eq!(assigned.len(), groups.len());
    let max_per_host = groups.len().div_ceil(hosts.len());
    for host in &hosts {
        assert!(assigned.values().filter(|it| *it == host).count() <= max_per_host);
    }
    let first = groups.first().unwrap();
    assert_eq!(
        lease::rank(first, &hosts, &assigned[first]),
        0,
        "the first group gets its preferred host"
    );
}
