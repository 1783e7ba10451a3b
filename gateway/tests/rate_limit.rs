//! The requests of all hosts to a target that named a limit stay within it in each sliding window.

mod common;

use std::time::Duration;

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::targets::{
    rate_limit::{InvalidLimit, Limit, Report, Tracker},
    registry::Key,
    target::Run,
};
use rstest::rstest;

use common::{keys, ms};

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn run() -> Run {
    Run { target: "t1".into(), incarnation: Some(1) }
}

fn limit(per_second: f64) -> Limit {
    Limit::try_from(per_second).unwrap()
}

fn report(limit: Option<f64>, age: Duration) -> Report {
    Report { run: run(), limit, age }
}

/// Hosts that send requests to one target.
struct Hosts {
    key: Key,
    names: Vec<id::Host>,
    trackers: Vec<Tracker>,
    sent: Vec<Duration>,
}

impl Hosts {
    /// Creates hosts that all know the target's limit.
    fn new(count: usize, per_second: f64) -> Hosts {
        let names = (0..count).map(|it| format!("host{it}").into()).collect();
        let trackers = (0..count).map(|_| Tracker::default()).collect();
        let mut hosts = Hosts { key: keys(1)[0], names, trackers, sent: Vec::new() };
        for host in 0..count {
            assert!(hosts.trackers[host].observe(
                hosts.key,
                &run(),
                Some(limit(per_second)),
                ms(0)
            ));
            hosts.divide(host, 0, ms(0));
        }
        hosts
    }

    /// Divides the limit as seen by a host that doesn't know the `unknown` hosts after it.
    fn divide(&mut self, host: usize, unknown: usize, now: Duration) {
        let is_known = |other: usize| {
            let distance = (other + self.names.len() - host) % self.names.len();
            distance == 0 || unknown < distance
        };
        let live = self.names.iter().enumerate().filter(|(it, _)| is_known(*it)).map(|(_, it)| it);
        self.trackers[host].divide(&self.names[host], live, now);
    }

    /// Lets a host send a request if it may.
    fn try_send(&mut self, host: usize, now: Duration) {
        let (tracker, key) = (&mut self.trackers[host], self.key);
        if tracker.is_available(key, now) {
            tracker.record_request(key, now);
            self.sent.push(now);
        }
    }

    /// Lets every host try to send a request each 10 ms.
    fn storm(&mut self, from: Duration, to: Duration) {
        let mut now = from;
        while now < to {
            (0..self.names.len()).for_each(|host| self.try_send(host, now));
            now += ms(10);
        }
    }

    /// Returns the most requests in any window.
    fn most_in_window(&self) -> f64 {
        let count = |from: &Duration| {
            let end = self.sent.partition_point(|it| *it < *from + WINDOW);
            end - self.sent.partition_point(|it| it < from)
        };
        self.sent.iter().map(count).max().unwrap_or_default() as f64
    }
}

/// One and a half times what the limit permits in a window, and five requests.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

#[rstest]
#[case::fraction("5.1", Ok(5.1))]
#[case::spaces(" 3 ", Ok(3.0))]
#[case::zero("0", Ok(0.0))]
#[case::negative("-1", Err(InvalidLimit))]
#[case::not_a_number("NaN", Err(InvalidLimit))]
#[case::infinite("inf", Err(InvalidLimit))]
#[case::overflow("1e400", Err(InvalidLimit))]
#[case::text("few", Err(InvalidLimit))]
#[case::empty("", Err(InvalidLimit))]
fn limit_values(#[case] text: &str, #[case] expected: Result<f64, InvalidLimit>) {
    assert_eq!(Limit::try_from(text).map(f64::from), expected);
}

/// Each of many hosts obeyed the limit for itself, and together they exceeded it.
#[rstest]
fn limit_summed(
    #[values(1, 2, 9, 95, 300)] count: usize,
    #[values(0.0, 0.4, 1.0, 3.5, 5.1, 12.0, 60.0)] per_second: f64,
    #[values(0, 1, 3)] unknown: usize,
) {
    let mut hosts = Hosts::new(count, per_second);
    (0..count).for_each(|host| hosts.divide(host, unknown.min(count / 3), ms(1)));
    hosts.storm(ms(2), ms(40_000));
    let most = hosts.most_in_window();
    assert!(most <= allowed(per_second), "{most} of {}", allowed(per_second));
    let used = hosts.sent.len() as f64 / 40.0;
    assert!(0.9 * per_second <= used, "{used} of {per_second} a second");
}

/// Requests that were not sent before are not saved up for later.
#[rstest]
fn demand_after_pause(
    #[values(9, 95, 300)] count: usize,
    #[values(0.0, 1.0, 5.1, 12.0)] per_second: f64,
) {
    let mut hosts = Hosts::new(count, per_second);
    for begin in [60_000, 90_000, 2_000_000] {
        hosts.storm(ms(begin), ms(begin + 8000));
    }
    let most = hosts.most_in_window();
    assert!(most <= allowed(per_second), "{most} of {}", allowed(per_second));
}

/// Hosts that go and come back change the shares, and the sum stays within the limit.
#[rstest]
fn hosts_change(#[values(9, 95, 300)] count: usize) {
    let mut hosts = Hosts::new(count, 5.1);
    for second in 0..40 {
        for host in 0..count {
            // The hosts learn of a change one after the other.
            hosts.divide(host, (second + host % 3) / 2 % 4, ms(second as u64 * 1000));
        }
        hosts.storm(ms(second as u64 * 1000), ms(second as u64 * 1000 + 1000));
    }
    let most = hosts.most_in_window();
    assert!(most <= allowed(5.1), "{most} of {}", allowed(5.1));
}

/// A limit that changes with each response doesn't keep a host from its share.
#[test]
fn changing_limit() {
    let mut hosts = Hosts::new(3, 5.0);
    for step in 0..1000 {
        let now = ms(step * 20);
        for host in 0..3 {
            let per_second = 5.0 + (step % 7) as f64 / 10.0;
            hosts.trackers[host].observe(hosts.key, &run(), Some(limit(per_second)), now);
            hosts.divide(host, 0, now);
            hosts.try_send(host, now);
        }
    }
    assert!(80 <= hosts.sent.len(), "only {}", hosts.sent.len());
    assert!(hosts.most_in_window() <= allowed(5.0));
}

/// A limit that changes a little with each response was reported to all hosts each time.
#[test]
fn small_changes() {
    let (mut tracker, key) = (Tracker::default(), keys(1)[0]);
    assert!(tracker.observe(key, &run(), Some(limit(5.0)), ms(0)));
    for (time, per_second) in [(1000, 5.4), (2000, 4.6), (6000, 5.0)] {
        assert!(!tracker.observe(key, &run(), Some(limit(per_second)), ms(time)));
    }
    assert_eq!(tracker.recent_reports(ms(6000)), []);
    assert!(tracker.observe(key, &run(), Some(limit(4.0)), ms(7000)));
    assert_eq!(tracker.recent_reports(ms(7000)), [report(Some(4.0), ms(0))]);
}

/// A target without a limit, or after its end, gets any rate.
#[test]
fn no_limit() {
    let mut hosts = Hosts::new(2, 1.0);
    let tracker = &mut hosts.trackers[0];
    tracker.record_request(hosts.key, ms(10));
    assert!(!tracker.is_available(hosts.key, ms(20)));
    assert!(tracker.observe(hosts.key, &run(), None, ms(30)));
    tracker.record_request(hosts.key, ms(30));
    assert!(tracker.is_available(hosts.key, ms(30)));
    assert!(!Tracker::default().observe(hosts.key, &run(), None, ms(30)));
}

/// Hosts learn of a limit and of its end from each other; an earlier response changes nothing.
#[test]
fn reports() {
    let (mut observer, mut other, key) = (Tracker::default(), Tracker::default(), keys(1)[0]);
    assert!(observer.observe(key, &run(), Some(limit(2.0)), ms(1000)));
    assert_eq!(observer.recent_reports(ms(1300)), [report(Some(2.0), ms(300))]);
    assert_eq!(other.apply(key, &report(Some(2.0), ms(300)), ms(5300)), Ok(true));
    assert_eq!(other.limit(key), Some(limit(2.0)));
    assert_eq!(other.recent_reports(ms(5300)), []);
    assert_eq!(other.apply(key, &report(None, ms(800)), ms(5400)), Ok(false));
    assert!(!other.observe(key, &run(), Some(limit(2.0)), ms(5400)));
    assert_eq!(other.apply(key, &report(None, ms(100)), ms(5600)), Ok(true));
    assert_eq!(other.limit(key), None);
    assert_eq!(other.apply(key, &report(Some(f64::NAN), ms(0)), ms(5700)), Err(InvalidLimit));
    assert_eq!(observer.recent_reports(ms(9000)), []);
}

/// A host without a share sends a probe now and then, so that it learns of the end of the limit when
/// no report reaches it.
#[test]
fn probes() {
    let mut hosts = Hosts::new(95, 5.1);
    hosts.storm(ms(0), ms(800_000));
    let probed = |it: &Tracker| {
        it.is_available(hosts.key, ms(1_600_000)) || {
            (0..1000).any(|second| it.is_available(hosts.key, ms(800_000 + second * 900)))
        }
    };
    assert!(hosts.trackers.iter().all(probed));
    let rate = hosts.sent.len() as f64 / 800.0;
    assert!((0.95 * 5.1..1.1 * 5.1).contains(&rate), "{rate} a second");
}
