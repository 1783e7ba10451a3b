//! Admission control: shares of engine time, deadlines, limits and early refusal.

use std::{collections::HashMap, time::Duration};

use fuchsiaknot::{
    admit::{
        Admission, Config, Key, Request, Share, Step,
        share::{self, Demand},
    },
    clock::Moment,
    configuration::Limits,
    id,
    route::Capacity,
    verdict::{Reason, Verdict},
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn limits(weight: f64) -> Limits {
    Limits { weight, first_token: Duration::from_secs(5), ..Limits::default() }
}

fn admission(plans: &[(&str, Limits)]) -> Admission {
    let plans: HashMap<id::Plan, Limits> =
        plans.iter().map(|(name, it)| (id::Plan::new(name), it.clone())).collect();
    let mut admission = Admission::new(Config::default());
    admission.set_limits(&plans, Moment::ZERO);
    admission
}

fn request(plan: &str, cost: Duration, due: Moment) -> Request {
    Request {
        plan: plan.into(),
        pool: "model".into(),
        cost,
        tokens: 100,
        first_token: 10 * MS,
        first_token_due: due,
        expires: due + Duration::from_secs(60),
    }
}

fn capacity(free: Duration) -> impl Fn(&str) -> Capacity {
    move |_| Capacity { free, limit: Duration::from_secs(1) }
}

fn started(steps: &[Step]) -> Vec<Key> {
    let keys = steps.iter().filter_map(|it| match it {
        Step::Start(key) => Some(*key),
        Step::Refuse(..) => None,
    });
    keys.collect()
}

/// Keeps the queues of plans `a` and `b` full and returns the engine-seconds that each was served.
fn serve_contending(admission: &mut Admission, costs: [Duration; 2]) -> [f64; 2] {
    let mut now = Moment::ZERO;
    let mut running = HashMap::new();
    for _ in 0..4_000 {
        for (plan, cost) in [("a", costs[0]), ("b", costs[1])] {
            while admission.stats().by_plan[plan].waiting < 4 {
                let due = now + Duration::from_secs(3_600);
                let key = admission.offer(request(plan, cost, due), now).expect("queue has room");
                running.insert(key, cost);
            }
        }
        for key in started(&admission.schedule(capacity(MS), now)) {
            let cost = running.remove(&key).expect("offered before");
            admission.finish(key, cost, now);
        }
        now += 10 * MS;
    }
    ["a", "b"].map(|it| admission.stats().by_plan[it].served.as_secs_f64())
}

#[rstest]
#[case::equal_weights([1.0, 1.0], [10, 10])]
#[case::triple_weight([3.0, 1.0], [10, 10])]
#[case::long_and_short([1.0, 1.0], [100, 1])]
fn shares_by_cost(#[case] weights: [f64; 2], #[case] costs: [u32; 2]) {
    let mut admission = admission(&[("a", limits(weights[0])), ("b", limits(weights[1]))]);
    let served = serve_contending(&mut admission, costs.map(|it| it * MS));
    let ratio = served[0] / served[1];
    assert!((ratio / (weights[0] / weights[1]) - 1.0).abs() < 0.05, "served {served:?}");
}

#[test]
fn earliest_deadline_first() {
    let mut admission = admission(&[("a", limits(1.0))]);
    let late = admission.offer(request("a", MS, 900 * MS), Moment::ZERO).expect("admitted");
    let early = admission.offer(request("a", MS, 300 * MS), Moment::ZERO).expect("admitted");
    let steps = admission.schedule(capacity(MS), Moment::ZERO);
    assert_eq!(started(&steps), [early]);
    let steps = admission.schedule(capacity(MS), Moment::ZERO);
    assert_eq!(started(&steps), [late]);
}

#[test]
fn late_refused_early() {
    let mut admission = admission(&[("a", limits(1.0))]);
    let key = admission.offer(request("a", MS, 100 * MS), Moment::ZERO).expect("admitted");
    assert!(admission.schedule(capacity(Duration::ZERO), 50 * MS).is_empty());
    let steps = admission.schedule(capacity(Duration::ZERO), 91 * MS);
    let [Step::Refuse(refused, refusal)] = steps[..] else { panic!("not refused: {steps:?}") };
    assert_eq!((refused, refusal.reason), (key, Reason::WouldBeLate));
    assert_eq!(refusal.reason.verdict(), Verdict::NotRun);
    assert!(Duration::ZERO < refusal.retry_after);
    assert!(admission.schedule(capacity(Duration::from_secs(9)), 92 * MS).is_empty());
}

#[test]
fn late_never_queued() {
    let mut admission = admission(&[("a", limits(1.0))]);
    let now = Duration::from_secs(1);
    let refusal = admission.offer(request("a", MS, now + 5 * MS), now).expect_err("too late");
    assert_eq!(refusal.reason, Reason::WouldBeLate);
    assert!(admission.schedule(capacity(Duration::from_secs(9)), now).is_empty());
}

#[rstest]
#[case::rate(Limits { requests_per_second: 2.0, ..limits(1.0) }, Reason::RateLimited)]
#[case::concurrent(Limits { concurrent: 2, ..limits(1.0) }, Reason::ConcurrencyLimited)]
#[case::tokens(Limits { tokens_per_second: 150.0, ..limits(1.0) }, Reason::TokensLimited)]
#[case::queue(Limits { queue: 2, ..limits(1.0) }, Reason::QueueFull)]
fn limits_hold(#[case] limits: Limits, #[case] reason: Reason) {
    let mut admission = admission(&[("a", limits)]);
    let due = Duration::from_secs(3_600);
    for _ in 0..2 {
        admission.offer(request("a", MS, due), Moment::ZERO).expect("within the limit");
    }
    let refusal = admission.offer(request("a", MS, due), Moment::ZERO).expect_err("over the limit");
    assert_eq!(refusal.reason, reason);
    assert_eq!(admission.stats().by_plan["a"].refused[&reason], 1);
}

#[test]
fn flood_isolated() {
    let mut admission = admission(&[("flood", limits(1.0)), ("calm", limits(1.0))]);
    let share = Share { rate: 0.5, fraction: 1.0 };
    let shares = HashMap::from([("flood".into(), share), ("calm".into(), share)]);
    admission.set_shares(&shares, Moment::ZERO);
    let due = Duration::from_secs(3_600);
    for _ in 0..900 {
        admission.offer(request("flood", 10 * MS, due), Moment::ZERO).expect("queue has room");
    }
    let over_share = started(&admission.schedule(capacity(Duration::from_secs(1)), Moment::ZERO));
    let reserved = Config::default().reserved_fraction;
    assert!(
        over_share.len() as f64 * 0.01 <= 1.0 - reserved + 0.011,
        "started {}",
        over_share.len()
    );
    let calm = admission.offer(request("calm", 10 * MS, due), MS).expect("admitted");
    let steps = admission.schedule(capacity(10 * MS), MS);
    assert_eq!(started(&steps), [calm]);
}

#[test]
fn unused_share_lent() {
    let mut admission = admission(&[("a", limits(1.0)), ("idle", limits(9.0))]);
    let shares = HashMap::from([
        ("a".into(), Share { rate: 0.1, fraction: 1.0 }),
        ("idle".into(), Share { rate: 0.9, fraction: 1.0 }),
    ]);
    admission.set_shares(&shares, Moment::ZERO);
    let due = Duration::from_secs(3_600);
    for _ in 0..80 {
        admission.offer(request("a", 10 * MS, due), Moment::ZERO).expect("queue has room");
    }
    let steps = admission.schedule(capacity(Duration::from_secs(1)), Moment::ZERO);
    assert_eq!(started(&steps).len(), 80);
    assert!(Duration::ZERO < admission.stats().by_plan["a"].over_share);
}

#[test]
fn cancelled_frees_limit() {
    let mut admission = admission(&[("a", Limits { concurrent: 1, ..limits(1.0) })]);
    let due = Duration::from_secs(60);
    let key = admission.offer(request("a", MS, due), Moment::ZERO).expect("admitted");
    admission.cancel(key, Moment::ZERO);
    assert!(admission.schedule(capacity(MS), Moment::ZERO).is_empty());
    admission
        .offer(request("a", MS, due), Moment::ZERO)
        .expect("the cancelled request frees the limit");
}

#[test]
fn max_min_entitlements() {
    let weights = HashMap::from([("a".into(), 1.0), ("b".into(), 1.0), ("c".into(), 2.0)]);
    let demand = |plan: &str, rate| Demand { host: "h1".into(), plan: plan.into(), rate };
    let demands = [demand("a", 1.0), demand("b", 9.0), demand("c", 9.0)];
    let given = share::entitlements(10.0, &weights, &demands);
    for (plan, rate) in [("a", 1.0), ("b", 3.0), ("c", 6.0)] {
        assert!((given[plan] - rate).abs() < 1e-6, "{given:?}");
    }
}

#[test]
fn split_sums_up() {
    let weights = HashMap::from([("a".into(), 1.0)]);
    let hosts: Vec<id::Host> = ["h1", "h2", "h3"].map(Into::into).to_vec();
    let demands = [
        Demand { host: "h1".into(), plan: "a".into(), rate: 6.0 },
        Demand { host: "gone".into(), plan: "a".into(), rate: 6.0 },
    ];
    let given = share::entitlements(4.0, &weights, &demands);
    let split = share::split(&given, &hosts, &demands);
    let sum: f64 = split.values().map(|it| it["a"].rate).sum();
    assert!((sum - 4.0).abs() < 1e-6, "{split:?}");
    assert!(split["h3"]["a"].rate < split["h1"]["a"].rate && 0.0 < split["h3"]["a"].rate);
}

#[test]
fn share_fade_evenly() {
    let mut admission = admission(&[("a", Limits { concurrent: 90, ..limits(1.0) })]);
    admission.set_host_count(9, Moment::ZERO);
    let shares = HashMap::from([("a".into(), Share { rate: 1.0, fraction: 1.0 })]);
    admission.set_shares(&shares, Moment::ZERO);
    let config = Config::default();
    let open = |admission: &mut Admission, now: Moment| {
        let offers = (0..100).map_while(|_| {
            admission
                .offer(request("a", Duration::ZERO, now + Duration::from_secs(3_600)), now)
                .ok()
        });
        let keys: Vec<Key> = offers.collect();
        for key in &keys {
            admission.cancel(*key, now);
        }
        keys.len()
    };
    assert_eq!(open(&mut admission, config.max_share_age), 90);
    let faded = config.max_share_age + config.share_fade;
    assert_eq!(open(&mut admission, faded), 10);
}
