//! The retries of all hosts together stay within the bound in each sliding window.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::upstream::retry_budget::{Budget, Config};
use rstest::rstest;

use common::ms;

const CONFIG: Config = Config { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };

/// Start of the host's process, more than a window before the tests.
const STARTED_AT: Duration = Duration::ZERO;

/// A retry storm: every host tries to retry every request.
#[rstest]
#[case::one_host(1)]
#[case::nine_hosts(9)]
#[case::many_hosts(75)]
fn retry_storm(#[case] hosts: usize) {
    let mut budgets: Vec<Budget> = (0..hosts).map(|_| Budget::new(CONFIG, STARTED_AT)).collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for step in 0..3000 {
        let now = ms(20_000 + step * 10);
        let budget = &mut budgets[step as usize % hosts];
        budget.count_request(now);
        requests.push(now);
        if budget.try_take(1, hosts, now) {
            retries.push(now);
        }
    }
    assert_within_bound(&requests, &retries);
    assert!(!retries.is_empty() || 50 < hosts);
}

/// Asserts that the retries are within the bound in each window that ends with one.
fn assert_within_bound(requests: &[Duration], retries: &[Duration]) {
    for end in retries.iter().copied() {
        let count = |times: &[Duration]| {
            let from = times.partition_point(|it| *it + CONFIG.window < end);
            (times.partition_point(|it| *it <= end) - from) as f64
        };
        let (retries, requests) = (count(retries), count(requests));
        assert!(retries <= CONFIG.ratio * requests + CONFIG.slack, "{retries} of {requests}");
    }
}

/// When hosts restart.
#[derive(Debug, Clone, Copy)]
enum Restart {
    /// All at once, after this time and again after each further one.
    Together(Duration),
    /// One after the other, with this time between two.
    InTurn(Duration),
}

impl Restart {
    /// Returns the start of the last run of a host, of which there are `hosts`, before `now`.
    fn last_start(self, host: usize, hosts: usize, now: Duration) -> Duration {
        let (period, delay) = match self {
            Restart::Together(period) => (period, Duration::ZERO),
            Restart::InTurn(gap) => (gap * hosts as u32, gap * host as u32),
        };
        let Some(elapsed) = now.checked_sub(ms(20_000) + delay) else { return STARTED_AT };
        ms(20_000) + delay + period * (elapsed.as_nanos() / period.as_nanos()) as u32
    }
}

/// Each run of a restarted host took a whole share of the slack.
#[rstest]
fn restarts_in_series(
    #[values(9, 95, 300)] hosts: usize,
    #[values(
        Restart::Together(ms(100_000)),
        Restart::Together(ms(5000)),
        Restart::Together(ms(900)),
        Restart::InTurn(ms(1000)),
        Restart::InTurn(ms(20))
    )]
    restart: Restart,
) {
    let mut runs: Vec<(Duration, Budget)> =
        (0..hosts).map(|_| (STARTED_AT, Budget::new(CONFIG, STARTED_AT))).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..8000 {
        let (now, host) = (ms(10_000 + step * 5), step as usize % hosts);
        let start = restart.last_start(host, hosts, now);
        if start != runs[host].0 {
            runs[host] = (start, Budget::new(CONFIG, start));
        }
        let budget = &mut runs[host].1;
        budget.count_request(now);
        requests.push(now);
        while budget.try_take(1, hosts, now) {
            retries.push(now);
        }
    }
    assert_within_bound(&requests, &retries);
}

/// A host whose process has just started has its share of the ratio, and the slack after a window.
#[test]
fn slack_after_start() {
    let mut budget = Budget::new(CONFIG, ms(20_000));
    assert!(!budget.try_take(1, 1, ms(20_000)));
    (0..8).for_each(|_| budget.count_request(ms(21_000)));
    assert!(budget.try_take(1, 1, ms(21_000)));
    assert!(!budget.try_take(1, 1, ms(29_999)));
    assert!(budget.try_take(10, 1, ms(30_000)));
}

#[test]
fn slack_alone() {
    let mut budget = Budget::new(CONFIG, STARTED_AT);
    let count = (0..100).filter(|step| budget.try_take(1, 1, ms(21_000 + step))).count();
    assert!((1..=58).contains(&count), "{count}");
}

#[test]
fn window_passes() {
    let mut budget = Budget::new(CONFIG, STARTED_AT);
    while budget.try_take(1, 1, ms(21_000)) {}
    assert!(!budget.try_take(1, 1, ms(25_000)));
    assert!(budget.try_take(1, 1, ms(32_100)));
}

/// A retry of two calls is not begun when the budget has only one left.
#[test]
fn taken_whole() {
    let mut budget = Budget::new(Config { ratio: 0.0, slack: 10.0, ..CONFIG }, STARTED_AT);
    let taken = (0..9).filter(|_| budget.try_take(2, 1, ms(21_000))).count();
    assert_eq!(taken, 3);
    assert!(budget.permits(1, 1, ms(21_000)));
    assert!(!budget.permits(2, 1, ms(21_000)));
    assert!(!budget.try_take(2, 1, ms(21_000)));
    assert!(budget.try_take(1, 1, ms(21_000)));
}

/// Retries at the end of a slice were forgotten with its start, up to a tenth of a window early.
#[test]
fn burst_at_slice_end() {
    let mut budget = Budget::new(CONFIG, STARTED_AT);
    budget.count_request(ms(20_000));
    let mut take_all = |now| (0..100).filter(|_| budget.try_take(1, 1, ms(now))).count();
    let (first, second) = (take_all(20_990), take_all(30_010));
    let allowed = CONFIG.ratio + CONFIG.slack;
    assert!(0 < first && (first + second) as f64 <= allowed, "{first} and {second} of {allowed}");
}
