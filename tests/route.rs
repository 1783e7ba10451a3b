//! The router weighs load, cached prefixes, KV cache transfers and health, also when reports are
//! outdated or cache events are missing.

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot::{
    clock::Moment,
    id,
    route::{Config, Demand, Outcome, Path, Router, TargetKind},
    store::{self, Machine, State},
    target::{CacheEvent, CacheEvents, Report, Role},
    verdict::Reason,
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const DONE: Outcome = Outcome::Done { prompt_tokens: 100, cached_tokens: 0, output_tokens: 100 };

fn machine(name: &str, kind: store::Kind) -> Machine {
    Machine {
        name: name.into(),
        kind,
        data_centre: "brno-a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: None,
        incarnation: 1,
        state: State::Live,
    }
}

fn report(number: u64, role: Role) -> Report {
    Report {
        incarnation: 1,
        number,
        age: Duration::ZERO,
        role: Some(role),
        serves: "model".into(),
        adapters: Vec::new(),
        version: "1".into(),
        serving: true,
        checks_fence: true,
        order: None,
        running: 0,
        queued: 0,
        queued_tokens: 0,
        kv_tokens: 0,
        kv_capacity: 1_000_000,
        slots: 64,
    }
}

fn router(roles: &[Role], seed: u64) -> Router {
    let mut router = Router::new(Config::default(), seed);
    for (index, role) in roles.iter().enumerate() {
        let name = format!("e{index}");
        let kind = store::Kind::Engine("model".into());
        router.upsert(&machine(&name, kind), Moment::ZERO);
        router.record_report(&name, &report(1, *role), Moment::ZERO);
    }
    router
}

fn service_router(count: usize, seed: u64) -> Router {
    let mut router = Router::new(Config::default(), seed);
    for index in 0..count {
        let kind = store::Kind::Service("orders".into());
        router.upsert(&machine(&format!("s{index}"), kind), Moment::ZERO);
    }
    router
}

fn demand(prompt_tokens: u32, pieces: &[u64]) -> Demand {
    Demand {
        model_or_service: "model".into(),
        kind: TargetKind::Engine,
        data_centre: "brno-a".into(),
        prompt_tokens,
        pieces: pieces.to_vec(),
        output_tokens: 100,
        priority: 0,
        exclude: Vec::new(),
    }
}

fn service_demand() -> Demand {
    Demand { model_or_service: "orders".into(), kind: TargetKind::Service, ..demand(0, &[]) }
}

/// Sends `count` requests and returns how many each target received.
fn send_requests(
    router: &mut Router,
    demand: &Demand,
    count: usize,
) -> BTreeMap<id::Target, usize> {
    let mut sent = BTreeMap::new();
    for _ in 0..count {
        let path = router.choose(demand, Moment::ZERO).expect("a target is usable");
        router.record_sent(&path, demand, Moment::ZERO);
        *sent.entry(path.target).or_default() += 1;
    }
    sent
}

fn single_target(target: &str) -> Path {
    Path { prefill: None, target: target.into() }
}

#[test]
fn unknown_model() {
    let mut router = router(&[Role::Mixed], 1);
    let demand = Demand { model_or_service: "other".into(), ..demand(100, &[]) };
    assert_eq!(router.choose(&demand, Moment::ZERO), Err(Reason::UnknownModel));
}

#[rstest]
#[case::drained(|it: &mut Router| it.set_drained("e0", true))]
#[case::leaving(|it: &mut Router| it.set_leaving("e0", true))]
#[case::removed(|it: &mut Router| it.remove("e0"))]
#[case::changing(|it: &mut Router| {
    it.record_report("e0", &Report { serving: false, ..report(2, Role::Mixed) }, MS);
})]
fn no_new_requests(#[case] withdraw: fn(&mut Router)) {
    let mut router = router(&[Role::Mixed, Role::Mixed], 2);
    withdraw(&mut router);
    let sent = send_requests(&mut router, &demand(100, &[]), 50);
    assert_eq!(sent.into_iter().collect::<Vec<_>>(), [("e1".into(), 50)]);
    router.remove("e1");
    assert_eq!(router.choose(&demand(100, &[]), Moment::ZERO), Err(Reason::NoTarget));
}

#[test]
fn excluded_not_chosen() {
    let mut router = router(&[Role::Mixed, Role::Mixed], 3);
    let demand = Demand { exclude: vec!["e1".into()], ..demand(100, &[]) };
    assert_eq!(send_requests(&mut router, &demand, 20).len(), 1);
}

#[test]
fn ejected_then_probed() {
    let mut router = router(&[Role::Mixed], 4);
    let demand = demand(100, &[]);
    let ticket = router.record_sent(&single_target("e0"), &demand, Moment::ZERO);
    router.record_finished(ticket, Outcome::Failed, Moment::ZERO);
    assert_eq!(router.choose(&demand, MS), Err(Reason::NoTarget));
    let ejection_time = Config::default().base_ejection_time;
    let path = router.choose(&demand, ejection_time).expect("the ejection time is over");
    let probe = router.record_sent(&path, &demand, ejection_time);
    assert_eq!(router.choose(&demand, ejection_time), Err(Reason::NoTarget), "only one probe");
    router.record_finished(probe, Outcome::Failed, ejection_time);
    assert_eq!(
        router.choose(&demand, 2 * ejection_time),
        Err(Reason::NoTarget),
        "ejected for longer"
    );
    let probe = router.record_sent(&path, &demand, 3 * ejection_time);
    router.record_finished(probe, DONE, 3 * ejection_time);
    assert!(router.choose(&demand, 3 * ejection_time).is_ok());
}

#[test]
fn cached_engine_preferred() {
    let mut router = router(&[Role::Mixed; 9], 5);
    let pieces = [11, 12, 13, 14];
    let events = pieces.iter().zip(1..).map(|(it, number)| (number, CacheEvent::Stored(*it)));
    let events = CacheEvents { incarnation: 1, last: 4, events: events.collect() };
    router.record_cache_events("e7", &events, Moment::ZERO);
    let path = router.choose(&demand(8_100, &pieces), MS).expect("usable");
    assert_eq!(path.target, "e7");
}

#[test]
fn queue_beats_cache() {
    let mut router = router(&[Role::Mixed; 9], 6);
    let pieces = [11];
    let events =
        CacheEvents { incarnation: 1, last: 1, events: [(1, CacheEvent::Stored(11))].into() };
    router.record_cache_events("e7", &events, Moment::ZERO);
    let busy = Report { queued_tokens: 100_000, ..report(2, Role::Mixed) };
    router.record_report("e7", &busy, MS);
    let path = router.choose(&demand(2_100, &pieces), MS).expect("usable");
    assert_ne!(path.target, "e7");
}

#[test]
fn prefilled_prefix_found() {
    let mut router = router(&[Role::Mixed; 9], 7);
    let demand = demand(8_100, &[21, 22, 23, 24]);
    let ticket = router.record_sent(&single_target("e4"), &demand, Moment::ZERO);
    router.record_first_token(ticket, 500 * MS);
    router.record_finished(ticket, DONE, 600 * MS);
    assert_eq!(router.choose(&demand, 600 * MS).expect("usable").target, "e4");
}

#[test]
fn gaps_lower_confidence() {
    let pieces: Vec<u64> = (1..=4).collect();
    let estimate = |missing: u64| {
        let mut router = router(&[Role::Mixed], 8);
        let stored = pieces.iter().map(|it| (*it, CacheEvent::Stored(*it)));
        let first = CacheEvents { incarnation: 1, last: 4, events: stored.collect() };
        router.record_cache_events("e0", &first, Moment::ZERO);
        let gap = CacheEvents { incarnation: 1, last: 4 + missing, events: BTreeMap::new() };
        router.record_cache_events("e0", &gap, Moment::ZERO);
        router.estimate(&demand(8_100, &pieces), Moment::ZERO).expect("usable").first_token
    };
    assert!(estimate(0) < estimate(20));
}

#[test]
fn cache_view_bounded() {
    let mut router = router(&[Role::Mixed], 9);
    let max_pieces = Config::default().max_cache_pieces as u64;
    let stored = (1..=3 * max_pieces).map(|it| (it, CacheEvent::Stored(it)));
    let events = CacheEvents { incarnation: 1, last: 3 * max_pieces, events: stored.collect() };
    router.record_cache_events("e0", &events, MS);
    assert_eq!(router.cached_pieces("e0"), max_pieces as usize);
}

#[test]
fn transfer_cost_counted() {
    let roles = [Role::Prefill, Role::Decode, Role::Mixed];
    let mut idle = router(&roles, 10);
    let long = demand(20_000, &[]);
    assert_eq!(idle.choose(&long, Moment::ZERO).expect("usable").prefill, None);
    let mut busy = router(&roles, 10);
    let queue = Report { queued_tokens: 200_000, ..report(2, Role::Mixed) };
    busy.record_report("e2", &queue, Moment::ZERO);
    let path = busy.choose(&long, Moment::ZERO).expect("usable");
    assert_eq!((path.prefill.as_deref(), path.target.as_str()), (Some("e0"), "e1"));
}

#[test]
fn failed_prefill_ejected() {
    let mut router = router(&[Role::Prefill, Role::Decode], 11);
    let demand = demand(100, &[]);
    let path = router.choose(&demand, Moment::ZERO).expect("usable");
    let ticket = router.record_sent(&path, &demand, Moment::ZERO);
    router.record_finished(ticket, Outcome::Failed, Moment::ZERO);
    assert_eq!(router.role("e0", MS), Some((Role::Prefill, false)));
    assert_eq!(router.role("e1", MS), Some((Role::Decode, true)));
}

/// Hosts with the same load reports must not all send their requests to the same few targets.
#[test]
fn no_herd_effect() {
    let mut sent: BTreeMap<id::Target, usize> = BTreeMap::new();
    for seed in 0..9 {
        let mut host = router(&[Role::Mixed; 9], seed);
        for (target, count) in send_requests(&mut host, &demand(1_000, &[]), 10) {
            *sent.entry(target).or_default() += count;
        }
    }
    let max_count = sent.values().max().expect("nothing was sent");
    assert!(sent.len() == 9 && *max_count <= 20, "{sent:?}");
}

/// Requests sent after a report's figures were taken count on top of it, even if it arrives later.
#[test]
fn report_corrected() {
    let mut router = router(&[Role::Mixed; 2], 12);
    let long = demand(10_000, &[]);
    for _ in 0..4 {
        router.record_sent(&single_target("e0"), &long, 10 * MS);
    }
    let late = Report { age: 20 * MS, ..report(2, Role::Mixed) };
    router.record_report("e0", &late, 20 * MS);
    let path = router.choose(&long, 20 * MS).expect("usable");
    assert_eq!(path.target, "e1", "the report was taken before the requests were sent");
}

#[test]
fn old_report_ignored() {
    let mut router = router(&[Role::Mixed], 13);
    let changing = Report { serving: false, ..report(5, Role::Mixed) };
    router.record_report("e0", &changing, MS);
    router.record_report("e0", &report(4, Role::Mixed), 2 * MS);
    assert_eq!(router.role("e0", 2 * MS), Some((Role::Mixed, false)));
}

#[test]
fn slow_replica_ejected() {
    let mut router = service_router(3, 14);
    let demand = service_demand();
    for round in 0..40 {
        let now = round * 100 * MS;
        for (target, time) in [("s0", 10 * MS), ("s1", 12 * MS), ("s2", 300 * MS)] {
            let ticket = router.record_sent(&single_target(target), &demand, now);
            router.record_finished(ticket, DONE, now + time);
        }
    }
    let now = 4_000 * MS;
    let usable = ["s0", "s1", "s2"].map(|it| router.role(it, now).is_some_and(|it| it.1));
    assert!(usable[0] && usable[1], "{usable:?}");
    let sent = (0..50).map(|_| router.choose(&demand, 3_950 * MS).expect("usable").target);
    assert!(!sent.collect::<Vec<_>>().contains(&"s2".into()));
}

#[test]
fn service_load_spread() {
    let sent = send_requests(&mut service_router(3, 15), &service_demand(), 90);
    assert!(sent.len() == 3 && sent.values().all(|it| (20..=40).contains(it)), "{sent:?}");
}

#[test]
fn capacity_falls() {
    let mut router = router(&[Role::Mixed; 3], 16);
    let before = router.capacity("model", Moment::ZERO);
    assert_eq!(before.free, before.limit);
    send_requests(&mut router, &demand(4_000, &[]), 6);
    assert!(router.capacity("model", Moment::ZERO).free < before.free);
    assert_eq!(router.capacity("other", Moment::ZERO).limit, Duration::ZERO);
}

/// Run with `cargo test --release --test route decision_time -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement, not a check"]
fn decision_time() {
    for targets in [18, 720] {
        let roles: Vec<Role> =
            (0..targets).map(|it| [Role::Prefill, Role::Decode, Role::Mixed][it % 3]).collect();
        let mut router = router(&roles, 17);
        let mut times: Vec<Duration> = (0..10_000u64)
            .map(|it| {
                let pieces: Vec<u64> = (0..4).map(|piece| it % 50 * 10 + piece).collect();
                let demand = demand(8_100, &pieces);
                let now = it as u32 * MS;
                let begun = std::time::Instant::now();
                router.record_offered(&demand, now);
                let estimate = router.estimate(&demand, now);
                let path = router.choose(&demand, now).expect("usable");
                let ticket = router.record_sent(&path, &demand, now);
                let time = begun.elapsed();
                assert!(estimate.is_some());
                router.record_kv_export(ticket, now);
                router.record_first_token(ticket, now);
                router.record_finished(ticket, DONE, now);
                time
            })
            .collect();
        times.sort();
        println!("{targets} targets: median {:?}, p99 {:?}", times[5_000], times[9_900]);
    }
}

#[test]
fn decode_engine_prefills() {
    let mut router = router(&[Role::Decode, Role::Decode], 18);
    let path =
        router.choose(&demand(100, &[]), Moment::ZERO).expect("a decode engine also prefills");
    assert_eq!(path.prefill, None);
}

#[test]
fn prefill_needs_decode() {
    let mut router = router(&[Role::Prefill, Role::Prefill], 18);
    assert_eq!(router.choose(&demand(100, &[]), Moment::ZERO), Err(Reason::NoTarget));
}
