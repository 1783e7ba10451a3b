//! Freshness of the configuration: joining, maximum age, and versions that never decrease.

use std::time::Duration;

use fuchsiaknot::refresh::{Action, Freshness, Input, PeerSummary, State, delay};
use proptest::{prelude::*, test_runner::RngSeed};

const MAX_AGE: Duration = Duration::from_secs(8);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn peers(known: usize, heard: usize, highest_version: u64) -> PeerSummary {
    PeerSummary { members_known: true, known, heard, acknowledged: heard, highest_version }
}

fn read(state: &mut State, seconds: u64, version: u64, peers: &PeerSummary) {
    let read = Input::Read { sent_at: at(seconds), version };
    for action in state.step(read, peers) {
        if let Action::FetchFromTable(version) = action {
            state.step(Input::Fetched { version }, peers);
        }
    }
}

fn fresh_state(version: u64) -> State {
    let mut state = State::new(MAX_AGE);
    read(&mut state, 0, version, &peers(8, 8, version));
    state
}

#[test]
fn first_read_joins() {
    let state = fresh_state(4);
    assert_eq!(state.version(), Some(4));
    assert_eq!(state.freshness(at(1), &peers(8, 8, 4)), Freshness::Fresh);
}

#[test]
fn unacknowledged_host_waits() {
    let mut state = State::new(MAX_AGE);
    read(&mut state, 0, 4, &peers(8, 7, 4));
    assert_eq!(state.freshness(at(1), &peers(8, 8, 4)), Freshness::Starting);
    read(&mut state, 1, 4, &peers(8, 8, 4));
    assert_eq!(state.freshness(at(1), &peers(8, 8, 4)), Freshness::Fresh);
}

#[test]
fn unknown_members_wait() {
    let mut state = State::new(MAX_AGE);
    read(&mut state, 0, 4, &PeerSummary::default());
    assert_eq!(state.freshness(at(0), &PeerSummary::default()), Freshness::Starting);
}

#[test]
fn majority_keeps_admitting() {
    let state = fresh_state(4);
    assert_eq!(state.freshness(at(8), &peers(8, 4, 4)), Freshness::Stale);
    assert_eq!(state.freshness(at(8), &peers(8, 3, 4)), Freshness::Alone);
    assert!(!Freshness::Stale.admits_unrepeatable());
}

#[test]
fn later_version_stops_admission() {
    let state = fresh_state(4);
    assert_eq!(state.freshness(at(8), &peers(8, 8, 5)), Freshness::Alone);
}

#[test]
fn age_counts_from_send() {
    let mut state = fresh_state(4);
    state.step(Input::Read { sent_at: at(5), version: 4 }, &peers(8, 0, 0));
    assert_eq!(state.freshness(at(12), &peers(8, 0, 0)), Freshness::Fresh);
    assert_eq!(state.freshness(at(13), &peers(8, 0, 0)), Freshness::Alone);
}

#[test]
fn unfetched_version_expires() {
    let mut state = fresh_state(4);
    let actions = state.step(Input::Read { sent_at: at(7), version: 5 }, &peers(8, 0, 0));
    assert_eq!(actions, [Action::FetchFromTable(5)]);
    assert_eq!(state.freshness(at(9), &peers(8, 0, 0)), Freshness::Alone);
}

#[test]
fn start_without_table() {
    let mut state = State::new(MAX_AGE);
    assert_eq!(state.step(Input::Tick, &peers(8, 5, 6)), [Action::FetchFromPeer(6)]);
    state.step(Input::Fetched { version: 6 }, &peers(8, 5, 6));
    assert_eq!(state.freshness(at(1), &peers(8, 5, 6)), Freshness::Starting);
    state.step(Input::Tick, &peers(8, 5, 6));
    assert_eq!(state.freshness(at(1), &peers(8, 5, 6)), Freshness::Stale);
}

#[test]
fn minority_start_waits() {
    let mut state = State::new(MAX_AGE);
    state.step(Input::Fetched { version: 6 }, &peers(8, 3, 6));
    state.step(Input::Tick, &peers(8, 3, 6));
    assert_eq!(state.freshness(at(1), &peers(8, 3, 6)), Freshness::Starting);
}

#[test]
fn rollback_reported() {
    let mut state = fresh_state(4);
    let actions = state.step(Input::Read { sent_at: at(1), version: 3 }, &peers(8, 8, 4));
    assert_eq!(actions, [Action::ReportRollback(3)]);
    assert_eq!(state.version(), Some(4));
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        (0_u64..100, 0_u64..9)
            .prop_map(|(sent, version)| Input::Read { sent_at: at(sent), version }),
        (0_u64..9).prop_map(|version| Input::Fetched { version }),
        Just(Input::Tick),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn versions_never_decrease(inputs in prop::collection::vec((input(), 0_usize..9, 0_u64..9), 0..60)) {
        let mut state = State::new(MAX_AGE);
        for (input, heard, highest_version) in inputs {
            let before = state.version();
            state.step(input, &peers(8, heard, highest_version));
            prop_assert!(before <= state.version());
        }
    }

    #[test]
    fn delay_bounded(failures in 0_u32..1_000, random in 0.0_f64..1.0) {
        let period = Duration::from_secs(1);
        let delay = delay(period, failures, random);
        prop_assert!(period / 2 <= delay && delay <= Duration::from_millis(4_500));
    }
}
