//! Prompts beside the streams of engines that differ in speed and have slow moments.

mod common;

use std::time::{Duration, Instant};

use fuchsiaknot_gateway::{
    concurrency::{
        Tracker,
        pause::{Late, Limit, WINDOW},
    },
    placement::{
        dispatch::{Engine, Fleet},
        engine::LatencyModel,
        load::Work,
        prefix_cache, slowness,
    },
    targets::{registry::Key, target::Stage},
};
use rstest::rstest;

use common::{SERVICE, engine, keys, ms, prefill_engine, prompt, request};

const OBJECTIVE: Duration = Duration::from_millis(200);

fn late(count: u32) -> Late {
    Late { count, longest: ms(250), objective: OBJECTIVE }
}

/// Returns a limit after some windows, in each of which `late_count` of a thousand pauses were late
/// beside a prompt.
fn limit_after(windows: u32, late_count: u32) -> Limit {
    let mut limit = Limit::new(late(1), ms(0));
    for window in 1..=windows {
        limit.record_pauses(1000);
        limit.record_late(late(late_count), true);
        limit.update(WINDOW * window);
    }
    limit
}

/// Returns a tracker of a service whose limit has fallen.
fn limited_tracker(key: Key) -> Tracker {
    let mut tracker = Tracker::default();
    for window in 1..=6 {
        let now = WINDOW * window;
        tracker.record_prompt(key, now);
        tracker.record_late(&SERVICE.into(), key, late(50), now);
        tracker.update(now);
    }
    tracker
}

/// A service whose streams keep their objective has no limit, and none begins with late pauses that
/// prompts didn't cause.
#[test]
fn no_limit() {
    let keys = keys(1);
    let mut tracker = Tracker::default();
    tracker.record_prompt(keys[0], ms(0));
    assert!(!tracker.record_late(&SERVICE.into(), keys[0], late(1), ms(5000)));
    tracker.update(ms(10_000));
    assert!(tracker.pause_limit(&SERVICE.into()).is_none());
}

/// Late pauses beside prompts lower the limit within a few windows; then it settles.
#[test]
fn falls_fast() {
    assert!(limit_after(8, 50).prefill_time(ms(60)) < ms(20));
}

/// Rare late pauses are what slow moments leave; they don't lower the limit.
#[test]
fn rare_pauses() {
    assert_eq!(limit_after(20, 1).share(), 1.0);
}

/// A limit rises slowly once no pause is late, over seconds rather than windows.
#[rstest]
#[case(1, 0.45)]
#[case(60, 1.0)]
fn recovery(#[case] seconds: u32, #[case] highest: f64) {
    let mut limit = limit_after(6, 50);
    let fallen = limit.share();
    let end = WINDOW * 6 + Duration::from_secs(u64::from(seconds));
    limit.update(end);
    assert!(fallen < limit.share() && limit.share() <= highest, "{}", limit.share());
}

/// All engines are slow and all pauses late. The limit falls no further than its least share, and
/// recovers; engines without streams take prompts all the time.
#[test]
fn service_wide_slowdown() {
    let mut limit = limit_after(1000, 1000);
    assert!(0.2 <= limit.share());
    limit.update(WINDOW * 1000 + Duration::from_secs(60));
    assert_eq!(limit.share(), 1.0);
    let idle = candidate_engine(keys(1)[0], 0, Some(Duration::ZERO));
    assert_eq!(choose(vec![prefill_with_queue(keys(2)[1], 400_000), idle]), Stage::Decode);
}

/// Late pauses beside no prompt have other causes; a lower limit would not help.
#[test]
fn other_causes() {
    let mut limit = Limit::new(late(1), ms(0));
    for window in 1..=10 {
        limit.record_pauses(1000);
        limit.record_late(late(500), false);
        limit.update(WINDOW * window);
    }
    assert!(0.8 <= limit.share());
}

/// With the same limit, an engine with shorter pauses takes a prompt that a slower one doesn't.
#[test]
fn uneven_speeds() {
    let limit = limit_after(4, 50);
    assert!(limit.prefill_time(ms(45)) > limit.prefill_time(ms(75)));
}

/// An engine that slows down before it is full has longer pauses, and so takes less.
#[test]
fn early_slowdown() {
    let limit = limit_after(4, 50);
    assert_eq!(limit.prefill_time(ms(150)), Duration::ZERO);
}

/// One long pause marks an engine's slow moment, whichever host saw it; it ends by itself.
#[test]
fn slow_moment() {
    let keys = keys(2);
    let mut tracker = limited_tracker(keys[0]);
    let now = ms(10_000);
    tracker.record_late(&SERVICE.into(), keys[1], Late { longest: ms(130), ..late(0) }, now);
    assert!(tracker.is_slow(keys[1], now + ms(100)));
    assert!(!tracker.is_slow(keys[1], now + ms(1000)));
    assert!(!tracker.is_slow(keys[0], now));
}

/// A target that starts again is a new one to the registry; nothing of its last run is left.
#[test]
fn restart() {
    let keys = keys(1);
    let mut tracker = limited_tracker(keys[0]);
    tracker.forget(keys[0]);
    assert!(!tracker.is_slow(keys[0], WINDOW * 6));
}

/// An engine without recent measurements counts like its peers.
#[test]
fn few_samples() {
    let keys = keys(2);
    let mut slowness = slowness::Tracker::default();
    slowness.record(keys[0], 60.0, ms(1000));
    assert_eq!(slowness.typical(keys[1], Some(70.0), ms(1000)), Some(70.0));
    assert_eq!(slowness.typical(keys[0], Some(70.0), ms(1000)), Some(60.0));
}

/// A measurement that is older than its half-life no longer tells how slow an engine is.
#[test]
fn stale_reports() {
    let keys = keys(1);
    let mut slowness = slowness::Tracker::default();
    slowness.record(keys[0], 150.0, ms(1000));
    assert_eq!(slowness.typical(keys[0], Some(70.0), ms(9000)), Some(70.0));
}

fn candidate_engine(key: Key, streams: u32, prefill_limit: Option<Duration>) -> Engine {
    let work = Work { requests: streams, prompt_tokens: 0, kv_tokens: 1000 };
    Engine { work, prefill_limit, ..engine(key, "decode", Stage::Decode) }
}

fn prefill_with_queue(key: Key, prompt_tokens: u64) -> Engine {
    let work = Work { requests: 1, prompt_tokens, kv_tokens: 1000 };
    Engine { work, ..engine(key, "prefill", Stage::Prefill) }
}

/// Returns the stage of the engine that prefills a prompt of 600 tokens.
fn choose(engines: Vec<Engine>) -> Stage {
    let fleet = Fleet { latency_model: LatencyModel::default(), engines };
    let request = request(1, prompt("s", 10, "p", 600), ms(300));
    prefill_engine(&fleet, &request, &prefix_cache::Index::default()).stage
}

/// A short prompt goes to a busy prefill engine instead of beside streams that it would make late,
/// and beside those that it doesn't.
#[rstest]
#[case(Some(ms(2)), Stage::Prefill)]
#[case(Some(ms(60)), Stage::Decode)]
#[case(None, Stage::Decode)]
fn beside_streams(#[case] prefill_limit: Option<Duration>, #[case] expected: Stage) {
    let keys = keys(2);
    let decode = candidate_engine(keys[1], 8, prefill_limit);
    assert_eq!(choose(vec![prefill_with_queue(keys[0], 4000), decode]), expected);
}

/// Without prefill engines, prompts and streams share the engines, whatever the limit.
#[test]
fn no_prefill_engine() {
    let decode = candidate_engine(keys(1)[0], 8, Some(Duration::ZERO));
    assert_eq!(choose(vec![decode]), Stage::Decode);
}

/// Prints the time of one update of a limit.
#[test]
#[ignore = "measures time"]
fn update_time() {
    const UPDATES: u32 = 1_000_000;
    let keys = keys(1);
    let mut tracker = limited_tracker(keys[0]);
    let start = Instant::now();
    for at in 0..UPDATES {
        let now = ms(u64::from(at));
        tracker.record_pauses(&SERVICE.into(), 1);
        tracker.record_late(&SERVICE.into(), keys[0], late(at % 2), now);
    }
    println!("{} ns an update", start.elapsed().as_nanos() / u128::from(UPDATES));
}
