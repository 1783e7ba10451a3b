//! The retries of all hosts together stay within the bound in each sliding window.

mod common;

use fuchsiaknot_gateway::retry_budget::{Budget, Config};
use rstest::rstest;

use common::ms;

const CONFIG: Config =
    Config { ratio: 0.2, slack: 58.0, window: std::time::Duration::from_secs(10) };

/// A retry storm: every host tries to retry every request.
#[rstest]
#[case::one_host(1)]
#[case::nine_hosts(9)]
#[case::many_hosts(75)]
fn retry_storm(#[case] hosts: usize) {
    let mut budgets: Vec<Budget> = (0..hosts).map(|_| Budget::new(CONFIG)).collect();
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
    for end in retries.iter().copied() {
        let in_window = |it: &&std::time::Duration| end <= **it + CONFIG.window && **it <= end;
        let retry_count = retries.iter().filter(in_window).count() as f64;
        let request_count = requests.iter().filter(in_window).count() as f64;
        assert!(
            retry_count <= CONFIG.ratio * request_count + CONFIG.slack,
            "{retry_count} of {request_count}"
        );
    }
    assert!(!retries.is_empty() || 50 < hosts);
}

#[test]
fn slack_alone() {
    let mut budget = Budget::new(CONFIG);
    let count = (0..100).filter(|step| budget.try_take(1, 1, ms(1000 + step))).count();
    assert!((1..=58).contains(&count), "{count}");
}

#[test]
fn window_passes() {
    let mut budget = Budget::new(CONFIG);
    while budget.try_take(1, 1, ms(1000)) {}
    assert!(!budget.try_take(1, 1, ms(5000)));
    assert!(budget.try_take(1, 1, ms(12_100)));
}

/// A retry of two calls is not begun when the budget has only one left.
#[test]
fn taken_whole() {
    let mut budget = Budget::new(Config { ratio: 0.0, slack: 10.0, ..CONFIG });
    let taken = (0..9).filter(|_| budget.try_take(2, 1, ms(1000))).count();
    assert_eq!(taken, 3);
    assert!(budget.permits(1, 1, ms(1000)));
    assert!(!budget.permits(2, 1, ms(1000)));
    assert!(!budget.try_take(2, 1, ms(1000)));
    assert!(budget.try_take(1, 1, ms(1000)));
}

/// Retries at the end of a slice were forgotten with its start, up to a tenth of a window early.
#[test]
fn burst_at_slice_end() {
    let mut budget = Budget::new(CONFIG);
    budget.count_request(ms(20_000));
    let mut take_all = |now| (0..100).filter(|_| budget.try_take(1, 1, ms(now))).count();
    let (first, second) = (take_all(20_990), take_all(30_010));
    let allowed = CONFIG.ratio + CONFIG.slack;
    assert!(0 < first && (first + second) as f64 <= allowed, "{first} and {second} of {allowed}");
}
