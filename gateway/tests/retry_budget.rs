//! Retries of all hosts together stay within the bound of each sliding window.

mod common;

use fuchsiaknot_gateway::retry_budget::{Budget, Config};
use rstest::rstest;

use common::ms;

const CONFIG: Config =
    Config { ratio: 0.2, slack: 58.0, window: std::time::Duration::from_secs(10) };

/// A retry storm: every request of every host is to be retried.
#[rstest]
#[case::one_host(1)]
#[case::nine_hosts(9)]
#[case::many_hosts(75)]
fn storm(#[case] hosts: usize) {
    let mut budgets: Vec<Budget> = (0..hosts).map(|_| Budget::new(CONFIG)).collect();
    let mut taken = Vec::new();
    let mut requests = Vec::new();
    for step in 0..3000 {
        let now = ms(20_000 + step * 10);
        let budget = &mut budgets[step as usize % hosts];
        budget.count_request(now);
        requests.push(now);
        if budget.try_take_retry(hosts, now) {
            taken.push(now);
        }
    }
    for end in taken.iter().copied() {
        let within = |it: &&std::time::Duration| end <= **it + CONFIG.window && **it <= end;
        let retries = taken.iter().filter(within).count() as f64;
        let count = requests.iter().filter(within).count() as f64;
        assert!(retries <= CONFIG.ratio * count + CONFIG.slack, "{retries} of {count}");
    }
    assert!(!taken.is_empty() || 50 < hosts);
}

#[test]
fn slack_alone() {
    let mut budget = Budget::new(CONFIG);
    let taken = (0..100).filter(|step| budget.try_take_retry(1, ms(1000 + step))).count();
    assert!((1..=58).contains(&taken), "{taken}");
}

#[test]
fn window_passes() {
    let mut budget = Budget::new(CONFIG);
    while budget.try_take_retry(1, ms(1000)) {}
    assert!(!budget.try_take_retry(1, ms(5000)));
    assert!(budget.try_take_retry(1, ms(12_100)));
}
