//! Leases: who may take one, when, and how they spread over hosts.

use std::{collections::BTreeSet, time::Duration};

use fuchsiaknot::{
    id,
    lease::{self, Config, Machine, Malformed, Owner, Purpose, Record, Wish, spread, wire},
};
use rstest::rstest;

const HOLD: Wish = Wish::Hold { rank: 0 };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn owner(host: &str) -> Owner {
    Owner { host: host.into(), incarnation: 1 }
}

fn machine(host: &str) -> Machine {
    let config = Config { length: at(6), drift: at(1), renew_every: at(2), stagger: at(1) };
    Machine::new(owner(host), config)
}

/// Lets a machine take a lease that no one holds; its request takes two seconds.
fn taken(machine: &mut Machine, now: Duration) -> Record {
    machine.observe(0, None, now);
    let attempt = machine.next(now, HOLD, 7).unwrap();
    assert_eq!(attempt.purpose, Purpose::Take);
    machine.committed(&attempt, 1, now + at(2));
    attempt.record
}

#[test]
fn own_view_ends_first() {
    let (mut holder, mut candidate) = (machine("a"), machine("b"));
    let record = taken(&mut holder, at(10));
    candidate.observe(1, Some(record), at(12));
    assert_eq!(holder.epoch(at(15)), Some(1));
    assert_eq!(holder.epoch(at(16)), None, "counted from before the request was sent");
    assert_eq!(candidate.next(at(18), HOLD, 8), None, "counted from the answer's arrival");
    let attempt = candidate.next(at(19), HOLD, 8).unwrap();
    assert_eq!((attempt.expected, attempt.record.epoch), (1, 2));
}

#[test]
fn renewal_restarts_wait() {
    let (mut holder, mut candidate) = (machine("a"), machine("b"));
    let record = taken(&mut holder, at(10));
    candidate.observe(1, Some(record), at(12));
    let renewal = holder.next(at(13), HOLD, 9).unwrap();
    assert_eq!(renewal.purpose, Purpose::Renew);
    candidate.observe(2, Some(renewal.record), at(14));
    assert_eq!(candidate.next(at(20), HOLD, 8), None);
    assert!(candidate.next(at(21), HOLD, 8).is_some());
}

#[test]
fn lost_answer_read_back() {
    let mut holder = machine("a");
    holder.observe(0, None, at(10));
    let attempt = holder.next(at(10), HOLD, 7).unwrap();
    assert_eq!(holder.next(at(11), HOLD, 8).as_ref(), Some(&attempt), "made again as it was");
    holder.observe(1, Some(attempt.record), at(12));
    assert_eq!(holder.epoch(at(15)), Some(1));
}

#[test]
fn other_token_not_taken() {
    let mut holder = machine("a");
    holder.observe(0, None, at(10));
    let attempt = holder.next(at(10), HOLD, 7).unwrap();
    let other = Record { owner: Some(owner("b")), token: 8, ..attempt.record };
    holder.observe(1, Some(other), at(12));
    assert_eq!(holder.epoch(at(12)), None);
}

#[test]
fn late_wake_holds_nothing() {
    let mut holder = machine("a");
    taken(&mut holder, at(10));
    let attempt = holder.next(at(100), HOLD, 9).unwrap();
    assert_eq!(holder.epoch(at(100)), None);
    assert_eq!((attempt.purpose, attempt.record.epoch), (Purpose::Take, 2));
}

#[test]
fn returned_lease_free() {
    let (mut holder, mut candidate) = (machine("a"), machine("b"));
    taken(&mut holder, at(10));
    let attempt = holder.next(at(12), Wish::Yield, 9).unwrap();
    assert_eq!(holder.epoch(at(12)), None, "given up before the write is sent");
    candidate.observe(2, Some(attempt.record), at(13));
    assert_eq!(candidate.next(at(13), HOLD, 8).unwrap().record.epoch, 2);
}

#[rstest]
#[case(r#"{"holder":null,"epoch":0,"renewal":0,"token":1}"#)]
#[case(r#"{"holder":{"host":"","incarnation":1},"epoch":1,"renewal":0,"token":1}"#)]
#[case(r#"{"epoch":"one"}"#)]
fn bad_row_refused(#[case] text: &str) {
    let checked: Result<Record, Malformed> = wire::Record::parse(text).and_then(Record::try_from);
    assert!(checked.is_err());
}

#[rstest]
#[case(6, 9)]
#[case(30, 9)]
#[case(140, 380)]
fn spread_even(#[case] groups: usize, #[case] hosts: usize) {
    let groups: BTreeSet<id::Group> = (0..groups).map(|it| format!("dc/{it}").into()).collect();
    let hosts: BTreeSet<id::Host> = (0..hosts).map(|it| format!("host-{it}").into()).collect();
    let assigned = spread(&groups, &hosts);
    assert_eq!(assigned.len(), groups.len());
    let most = groups.len().div_ceil(hosts.len());
    for host in &hosts {
        assert!(assigned.values().filter(|it| *it == host).count() <= most);
    }
    let first = groups.first().unwrap();
    assert_eq!(
        lease::rank(first, &hosts, &assigned[first]),
        0,
        "the first group is free to choose"
    );
}
