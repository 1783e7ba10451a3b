//! Work in flight of all hosts at a target.

mod common;

use std::collections::BTreeMap;

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::placement::load::{Tracker, Work};
use rand::{Rng, SeedableRng, rngs::StdRng};

use common::{keys, ms};

const ONE: Work = Work { requests: 1, prompt_tokens: 100, kv_tokens: 200 };

#[test]
fn sum_of_hosts() {
    let key = keys(1)[0];
    let mut tracker = Tracker::new(ms(1000));
    tracker.add(key, ONE);
    tracker.replace_peer("h2".into(), [("t".into(), ONE)].into(), ms(0));
    tracker.expire(ms(999));
    assert_eq!(tracker.total(key, &"t".into()).requests, 2);
    tracker.remove(key, ONE);
    assert_eq!(tracker.total(key, &"t".into()).requests, 1);
    tracker.add(key, ONE);
    tracker.expire(ms(1000));
    assert_eq!(tracker.total(key, &"t".into()).requests, 1);
    tracker.remove(key, ONE);
    assert_eq!(tracker.total(key, &"t".into()), Work::default());
}

/// A grant counts only until its host acknowledges it, so that its work isn't counted twice.
#[test]
fn acknowledged_grant() {
    let key = keys(1)[0];
    let mut tracker = Tracker::new(ms(1000));
    let number = tracker.record_grant("h2".into(), vec![(key, ONE)], ms(0));
    assert_eq!(tracker.total(key, &"t".into()).requests, 1);
    tracker.update_peer(&"h2".into(), vec![("t".into(), ONE)], ms(2));
    tracker.acknowledge_grants(&"h2".into(), number);
    assert_eq!(tracker.total(key, &"t".into()).requests, 1);
}

/// A grant that its host never acknowledges expires.
#[test]
fn lost_grant() {
    let key = keys(1)[0];
    let mut tracker = Tracker::new(ms(1000));
    tracker.record_grant("h2".into(), vec![(key, ONE)], ms(0));
    tracker.expire(ms(149));
    assert_eq!(tracker.total(key, &"t".into()), ONE);
    tracker.expire(ms(150));
    assert_eq!(tracker.total(key, &"t".into()), Work::default());
}

/// Full reports, changes, grants, failed hosts and expiry in an arbitrary order: the total is always
/// the sum of what is still valid.
#[test]
fn sum_of_events() {
    let key = keys(1)[0];
    let mut rng = StdRng::seed_from_u64(7);
    let mut tracker = Tracker::new(ms(1000));
    let mut reports: BTreeMap<u64, (u64, Work)> = BTreeMap::new();
    let mut grants: Vec<(u64, u64, u64)> = Vec::new();
    for now in 0..20_000 {
        let host = rng.random_range(0..40);
        let name: id::Host = format!("h{host}").into();
        let work = Work { requests: rng.random_range(1..9), ..ONE };
        match rng.random_range(0..5) {
            0 => {
                tracker.replace_peer(name, [("t".into(), work)].into(), ms(now));
                reports.insert(host, (now, work));
            }
            1 => {
                tracker.update_peer(&name, vec![("t".into(), work)], ms(now));
                reports.insert(host, (now, work));
            }
            2 => grants.push((host, tracker.record_grant(name, vec![(key, ONE)], ms(now)), now)),
            3 => {
                let first = grants.iter().find(|it| it.0 == host).map_or(0, |it| it.1);
                tracker.acknowledge_grants(&name, first);
                grants.retain(|it| it.0 != host || first < it.1);
            }
            _ => {
                tracker.forget_peer(&name);
                reports.remove(&host);
                grants.retain(|it| it.0 != host);
            }
        }
        tracker.expire(ms(now));
        reports.retain(|_, it| now < it.0 + 1000);
        grants.retain(|it| now < it.2 + 150);
        let granted = grants.iter().map(|_| ONE);
        let expected = reports.values().map(|it| it.1).chain(granted);
        assert_eq!(
            tracker.total(key, &"t".into()),
            expected.fold(Work::default(), Work::plus),
            "step {now}"
        );
    }
}
