//! How lately a configuration was surely the newest, on hosts that lose the store, their peers or
//! time; simulated without a network.

mod common;

use std::{collections::VecDeque, time::Duration};

use fuchsiaknot_core::clock::Moment;
use fuchsiaknot_gateway::account::freshness::Tracker;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

use common::ms;

const TICK_MS: u64 = 50;
const BOUND: Duration = Duration::from_millis(5000);
/// Age at which a host without proofs from others calls the store.
const STALE_AGE: Duration = Duration::from_millis(1200);
/// Time for which the store holds a call.
const HOLD_MS: u64 = 600;
/// Largest error of a clock's speed, in millionths.
const MAX_DRIFT: i64 = 90;

/// A clock that runs at its own speed.
struct Clock {
    offset: u64,
    drift: i64,
}

impl Clock {
    fn new(rng: &mut StdRng) -> Clock {
        Clock {
            offset: rng.random_range(0..1_000_000),
            drift: rng.random_range(-MAX_DRIFT..=MAX_DRIFT),
        }
    }

    fn at(&self, true_ms: u64) -> Duration {
        let drift = i64::try_from(true_ms).unwrap() * self.drift / 1_000_000;
        ms((self.offset + true_ms).saturating_add_signed(drift))
    }

    /// Returns the true time at which the clock shows a time, at most two milliseconds too early.
    fn true_ms(&self, at: Moment) -> u64 {
        let shown = i64::try_from(at.as_millis()).unwrap() - i64::try_from(self.offset).unwrap();
        let true_ms = shown * 1_000_000 / (1_000_000 + self.drift) - 2;
        u64::try_from(true_ms).unwrap_or(0)
    }
}

/// A proof or an answer on its way: when it arrives, when its call was sent if it is an own one, and
/// when the store was read.
struct Arrival {
    due: u64,
    sent: Option<u64>,
    read: u64,
}

struct Host {
    clock: Clock,
    tracker: Tracker,
    version: u64,
    arrivals: VecDeque<Arrival>,
    /// Time until which the host is suspended.
    frozen_until: u64,
    cut_until: u64,
    call_until: u64,
}

impl Host {
    fn receive(&mut self, store: &Clock, newest: impl Fn(u64) -> u64, now: u64) {
        let (due, waiting): (Vec<_>, _) = self.arrivals.drain(..).partition(|it| it.due <= now);
        self.arrivals = waiting.into();
        for it in due {
            let (local, read, version) = (self.clock.at(now), store.at(it.read), newest(it.read));
            if let Some(sent) = it.sent {
                self.tracker.record_call(0, self.clock.at(sent), read, local);
                self.version = self.version.max(version);
            }
            if version <= self.version {
                self.tracker.record_proof(0, read, local);
            }
        }
    }
}

/// With `faulty`, hosts are suspended and cut off, and what they get is late by seconds: no host then
/// takes its configuration for newer than it is. Without, every host can always prove it.
#[rstest]
fn never_younger(
    #[values(9, 95, 300)] count: usize,
    #[values(false, true)] faulty: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = Clock::new(&mut rng);
    let mut hosts: Vec<Host> = (0..count)
        .map(|_| Host {
            clock: Clock::new(&mut rng),
            tracker: Tracker::default(),
            version: 0,
            arrivals: VecDeque::new(),
            frozen_until: 0,
            cut_until: 0,
            call_until: 0,
        })
        .collect();
    // Times at which the versions from 1 on were written.
    let mut writes = vec![0];
    for now in (TICK_MS..30_000).step_by(TICK_MS as usize) {
        if rng.random_bool(0.02) {
            writes.push(now);
        }
        let newest = |at: u64| writes.partition_point(|it| *it <= at) as u64;
        let mut proofs = Vec::new();
        for (index, host) in hosts.iter_mut().enumerate() {
            if faulty && rng.random_bool(0.005) {
                host.frozen_until = now + rng.random_range(0..8_000);
            }
            if faulty && rng.random_bool(0.005) {
                host.cut_until = now + rng.random_range(0..9_000);
            }
            if now < host.frozen_until {
                continue;
            }
            host.receive(&store, newest, now);
            let local = host.clock.at(now);
            let is_watcher = index < 2;
            let age = host.tracker.age(local);
            let is_due = is_watcher || age.is_none_or(|it| STALE_AGE <= it);
            if is_due && host.call_until <= now && host.cut_until <= now {
                let hold = if is_watcher { rng.random_range(0..=HOLD_MS) } else { 0 };
                let late = if faulty { rng.random_range(0..3_000) } else { 50 };
                let (read, due) = (now + hold, now + hold + late);
                host.arrivals.push_back(Arrival { due, sent: Some(now), read });
                host.call_until = due;
                if is_watcher {
                    proofs.push((read, due));
                }
            }
            if let Some(age) = age {
                let at: Moment = local - age;
                assert!(newest(host.clock.true_ms(at)) <= host.version, "at {now}");
            }
            let settled = 1_000 < now;
            assert!(faulty || !settled || host.tracker.is_within(BOUND, local), "{age:?} at {now}");
        }
        for (read, due) in proofs {
            for host in hosts.iter_mut().skip(2) {
                let late = if faulty { rng.random_range(0..6_000) } else { 10 };
                if rng.random_bool(if faulty { 0.5 } else { 0.9 }) {
                    host.arrivals.push_back(Arrival { due: due + late, sent: None, read });
                }
            }
        }
    }
}

/// Returns a tracker that was answered with store time 10 s on a call sent at 100 s.
fn tracker() -> Tracker {
    let mut tracker = Tracker::default();
    tracker.record_call(3, ms(100_000), ms(10_000), ms(100_020));
    tracker.record_proof(3, ms(10_000), ms(100_020));
    tracker
}

#[test]
fn counted_from_call() {
    assert_eq!(tracker().age(ms(102_000)), Some(ms(2000)));
    assert!(tracker().is_within(BOUND, ms(104_700)));
    assert!(!tracker().is_within(BOUND, ms(105_000)));
}

#[test]
fn earlier_era() {
    let mut tracker = tracker();
    tracker.record_call(4, ms(101_000), ms(500), ms(101_010));
    tracker.record_proof(3, ms(12_000), ms(102_500));
    assert_eq!(tracker.age(ms(103_000)), Some(ms(3000)));
    tracker.record_proof(4, ms(500), ms(102_500));
    assert_eq!(tracker.age(ms(103_000)), Some(ms(2000)));
}

#[test]
fn clock_set_forward() {
    let mut tracker = tracker();
    tracker.record_proof(3, ms(90_000), ms(101_000));
    assert_eq!(tracker.age(ms(101_000)), Some(ms(1000)));
    assert!(tracker.needs_call(ms(500), ms(101_000)));
}

/// A configuration that cannot be read may revoke a key.
#[test]
fn unreadable_version() {
    let mut tracker = tracker();
    tracker.set_readable(false);
    tracker.record_proof(3, ms(14_000), ms(104_500));
    assert!(!tracker.is_within(BOUND, ms(105_000)));
}

#[test]
fn drift_renewed() {
    let tracker = tracker();
    assert!(!tracker.needs_call(ms(500), ms(100_000 + 2_000_000)));
    assert!(tracker.needs_call(ms(500), ms(100_000 + 3_000_000)));
}
