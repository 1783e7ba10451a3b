//! A target that refuses connections of several hosts is paused for all.

mod common;

use std::{collections::VecDeque, time::Duration};

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::targets::{
    health::Health,
    refusal::{PAUSE, Tracker},
};
use rand::{Rng as _, SeedableRng, rngs::StdRng};
use rstest::rstest;

use common::{keys, ms};

fn host(number: usize) -> id::Host {
    format!("h{number}").into()
}

/// A host whose route to a target leads elsewhere would take the target from all hosts.
#[test]
fn single_host() {
    let (mut tracker, key) = (Tracker::default(), keys(1)[0]);
    for at in 0..100 {
        assert!(!tracker.record(key, &host(0), ms(at)));
    }
}

#[test]
fn second_host() {
    let (mut tracker, keys) = (Tracker::default(), keys(2));
    assert!(!tracker.record(keys[0], &host(0), ms(0)));
    assert!(!tracker.record(keys[1], &host(1), ms(0)), "reports of different targets");
    assert!(tracker.record(keys[0], &host(1), ms(999)));
    assert!(!tracker.record(keys[0], &host(2), ms(999)), "a pause needs two reports of its own");
    assert!(!tracker.record(keys[0], &host(3), ms(1999)), "the first report is too old");
}

/// Returns the refused connections while one of eight targets is down for `down_time`. A request
/// arrives each millisecond at some host, and the dispatcher places it at random on a target that
/// neither it nor the host has paused. Reports take 2 ms, and a share of them is lost.
fn refused_connections(hosts: usize, down_time: Duration, lost: f64) -> usize {
    let mut rng = StdRng::seed_from_u64(1);
    let keys = keys(8);
    let (mut tracker, mut dispatcher) = (Tracker::default(), Health::default());
    let mut healths: Vec<Health> = (0..hosts).map(|_| Health::default()).collect();
    let mut reports: VecDeque<(Duration, usize)> = VecDeque::new();
    let mut refused = 0;
    for at in 0..down_time.as_millis() as u64 {
        let now = ms(at);
        while let Some((_, reporter)) = reports.pop_front_if(|it| it.0 <= now) {
            if tracker.record(keys[0], &host(reporter), now) {
                dispatcher.pause(keys[0], now + PAUSE);
            }
        }
        let receiver = rng.random_range(0..hosts);
        let is_paused =
            |key| dispatcher.is_paused(key, now) || healths[receiver].is_paused(key, now);
        let usable: Vec<_> = keys.iter().filter(|it| !is_paused(**it)).collect();
        if *usable[rng.random_range(0..usable.len())] != keys[0] {
            continue;
        }
        refused += 1;
        healths[receiver].record_failure(keys[0], now);
        if !rng.random_bool(lost) {
            reports.push_back((now + ms(2), receiver));
        }
    }
    refused
}

/// Each host found out by itself, so that the refused connections grew with the hosts.
#[rstest]
fn number_of_hosts(#[values(9, 95, 300)] hosts: usize, #[values(0.0, 0.5)] lost: f64) {
    let down_time = Duration::from_secs(4);
    let alone = refused_connections(hosts, down_time, 1.0);
    let shared = refused_connections(hosts, down_time, lost);
    println!("{hosts} hosts, {lost} of the reports lost: {alone} -> {shared} refused");
    // Two reports that arrive for each time without a pause, and twice as many as are on their way.
    let tests = down_time.as_secs_f64() / PAUSE.as_secs_f64() + 1.0;
    let allowed = 3.0 * 2.0 * tests / (1.0 - lost);
    assert!(shared as f64 <= allowed, "{shared} refused, allowed {allowed}");
}
