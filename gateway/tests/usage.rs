//! Usage counts over lost and repeated messages, killed hosts, changes of the holder and clocks that
//! step, without a network.

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot_core::id;
use fuchsiaknot_gateway::usage::{
    Report, Settings, Window,
    clock::Clock,
    collector::Collector,
    counter::{Batch, Counter},
    ledger::Ledger,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};

const SETTINGS: Settings =
    Settings { window: Duration::from_secs(5), due_after: Duration::from_secs(10) };

fn account(number: usize) -> id::Account {
    format_smolstr!("account{number}")
}

fn report(window: Window, count: u64) -> Report {
    Report { window, counts: BTreeMap::from([(account(0), count)]) }
}

fn hosts(count: usize) -> Vec<id::Host> {
    (0..count).map(|it| format_smolstr!("h{it}")).collect()
}

/// Messages are lost, repeated and late, and the holder changes in the middle of a window.
#[rstest]
fn exact_counts(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let hosts = hosts(9);
    let mut counters: Vec<Counter> = hosts.iter().map(|_| Counter::default()).collect();
    let mut collector = Collector::default();
    let mut truth: BTreeMap<Window, BTreeMap<id::Account, u64>> = BTreeMap::new();
    let mut late: Vec<(usize, Batch)> = Vec::new();
    for tick in 0..30 {
        let window = 100 + tick / 5;
        for _ in 0..200 {
            let (host, account) = (rng.random_range(0..9), account(rng.random_range(0..500)));
            counters[host].record(&account, window);
            *truth.entry(window).or_default().entry(account).or_default() += 1;
        }
        let is_new_holder = tick == 17;
        if is_new_holder {
            collector = Collector::default();
        }
        for (host, counter) in counters.iter_mut().enumerate() {
            let batches = counter.batches(100, window + 1, is_new_holder);
            late.extend(batches.into_iter().map(|it| (host, it)));
        }
        for (host, batch) in std::mem::take(&mut late) {
            if rng.random_bool(0.2) {
                late.push((host, batch.clone()));
            }
            if rng.random_bool(0.7) {
                collector.record(&hosts[host], 1, batch);
            }
        }
    }
    for (window, counts) in truth {
        // What was lost is sent again until the window is committed.
        while collector.missing_hosts(window, hosts.iter()) != 0 {
            for (host, counter) in counters.iter_mut().enumerate() {
                for batch in counter.batches(window, 110, false) {
                    if rng.random_bool(0.5) {
                        collector.record(&hosts[host], 1, batch);
                    }
                }
            }
        }
        assert_eq!(collector.report(window).counts, counts);
    }
}

/// Counts take a small part of the bytes that a host has for control, 5 KB a second, at 640 requests a
/// second in all.
#[rstest]
fn sent_bytes(#[values(9, 95, 300)] hosts: usize, #[values(80, 10_000)] accounts: usize) {
    const HEADERS: usize = 28 + 45;
    let mut rng = StdRng::seed_from_u64(1);
    let (mut counter, mut bytes) = (Counter::default(), 0);
    for second in 0..50 {
        let window = 100 + second / 5;
        for batch in counter.batches(window, window, false).iter().chain(
            // Final counts, sent twice.
            &counter.batches(window - u64::from(second % 5 < 2), window, false),
        ) {
            bytes += HEADERS + postcard::to_stdvec(batch).unwrap().len();
        }
        for _ in 0..640 {
            if rng.random_range(0..hosts) == 0 {
                counter.record(&account(rng.random_range(0..accounts)), window);
            }
        }
    }
    println!("{hosts} hosts, {accounts} accounts: {} bytes a second", bytes / 50);
    assert!(bytes / 50 < 5000);
}

/// The last counts of a killed host are reported beside those of its next run.
#[test]
fn killed_host() {
    let (host, mut collector) = (SmolStr::new("h1"), Collector::default());
    let mut run = |incarnation, counts: u64, current| {
        let mut counter = Counter::default();
        (0..counts).for_each(|_| counter.record(&account(0), 7));
        for batch in counter.batches(7, current, false) {
            collector.record(&host, incarnation, batch);
        }
    };
    run(1, 10, 7);
    run(2, 3, 8);
    assert_eq!(collector.missing_hosts(7, [&host].into_iter()), 0);
    assert_eq!(collector.report(7), report(7, 13));
}

/// A window waits for all hosts that are up, but leaves half of the time for the store and the
/// platform.
#[test]
fn late_hosts() {
    let end = SETTINGS.end_of(7);
    let is_ready =
        |missing, after| Collector::is_ready(&SETTINGS, 7, missing, Duration::ZERO, end + after);
    assert!(!Collector::is_ready(&SETTINGS, 7, 0, Duration::ZERO, end - Duration::from_millis(1)));
    assert!(is_ready(0, Duration::ZERO));
    assert!(!is_ready(1, Duration::from_millis(4999)));
    assert!(is_ready(1, Duration::from_secs(5)));
}

/// Hosts have time to send a new holder the counts of windows that ended before.
#[test]
fn new_holder() {
    let taken_over = SETTINGS.end_of(9);
    let is_ready = |missing, after: u64| {
        let time = taken_over + Duration::from_millis(after);
        Collector::is_ready(&SETTINGS, 7, missing, taken_over, time)
    };
    assert!(is_ready(0, 0));
    assert!(!is_ready(1, 2499));
    assert!(is_ready(1, 2500));
}

/// A host without requests confirms its windows too.
#[test]
fn idle_host() {
    let (host, mut collector) = (SmolStr::new("h1"), Collector::default());
    assert_eq!(collector.missing_hosts(7, [&host].into_iter()), 1);
    let batches = Counter::default().batches(7, 9, false);
    assert_eq!(batches.iter().map(|it| it.window).collect::<Vec<_>>(), [7, 8]);
    batches.into_iter().for_each(|it| collector.record(&host, 1, it));
    assert_eq!(collector.missing_hosts(7, [&host].into_iter()), 0);
}

/// The clocks of some hosts step by seconds, and messages that took long arrive.
#[rstest]
#[case::forward(Duration::from_secs(1_000_004))]
#[case::backward(Duration::from_secs(999_996))]
fn stepped_clocks(#[case] stepped: Duration) {
    let (hosts, true_time) = (hosts(9), Duration::from_secs(1_000_000));
    let now = |ms| Duration::from_millis(50_000 + ms);
    let mut clock = Clock::new(stepped, now(0));
    for (index, host) in hosts.iter().enumerate() {
        for ms in [0, 1000, 2000] {
            let time = if index < 3 { stepped } else { true_time };
            let delay = if index == 8 && ms == 1000 { 800 } else { 2 };
            clock.observe_host(host, time + Duration::from_millis(ms), now(ms + delay));
        }
    }
    clock.agree(&hosts);
    assert_eq!(clock.time(now(2002)), true_time + Duration::from_millis(2000));
    // Another host follows, whatever its own clock shows.
    let mut other = Clock::new(stepped, Duration::from_secs(3));
    other.observe_agreed(true_time, Duration::from_secs(5));
    assert_eq!(other.time(Duration::from_secs(6)), true_time + Duration::from_secs(1));
}

/// A new holder does not go by its own clock before it knows those of most hosts.
#[test]
fn own_clock() {
    let (hosts, true_time) = (hosts(3), Duration::from_secs(1_000_000));
    let (stepped, now) = (true_time + Duration::from_secs(5), Duration::from_secs(20));
    let mut clock = Clock::new(true_time, now);
    clock.observe_host(&hosts[0], stepped, now);
    clock.agree(&hosts);
    assert_eq!(clock.time(now), true_time);
    clock.observe_host(&hosts[1], true_time, now);
    clock.observe_host(&hosts[2], true_time, now);
    clock.agree(&hosts);
    assert_eq!(clock.time(now), true_time);
}

/// A successor sends the committed reports again with the same counts.
#[test]
fn taken_over() {
    let ledger = Ledger { era: 2, next: 7, ..Ledger::default() };
    let ledger = ledger.with_next(report(7, 3)).unwrap().with_next(report(8, 4)).unwrap();
    let mut successor = Ledger::decode(&ledger.encode()).unwrap();
    assert_eq!(successor.take_over(2, 8, 10, 12), 0);
    assert_eq!(successor, ledger);
    assert_eq!((successor.next, successor.pending.len()), (9, 2));
}

/// After the store came back from an earlier copy, windows that may have been reported are passed
/// over: their counts would differ.
#[test]
fn earlier_copy() {
    let mut ledger = Ledger { era: 0, next: 7, ..Ledger::default() };
    assert_eq!(ledger.take_over(1, 9, 10, 12), 5);
    assert_eq!((ledger.era, ledger.next), (1, 12));
}

/// Without a holder, a host keeps the counts of a bounded number of windows.
#[test]
fn bounded_counts() {
    let mut counter = Counter::default();
    (0..100).for_each(|window| counter.record(&account(0), window));
    let batches = (1..100).flat_map(|next| counter.batches(next, next + 1, false));
    let windows: Vec<Window> =
        batches.filter(|it| it.is_final && it.total == 1).map(|it| it.window).collect();
    assert_eq!((windows.first(), windows.len()), (Some(&76), 24));
}

/// The first holder of a deployment reports from its start on.
#[test]
fn first_holder() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.take_over(0, 0, 10, 12), 0);
    assert_eq!(ledger.next, 10);
}

/// While the platform is away, a bounded number of reports waits.
#[test]
fn bounded_backlog() {
    let mut ledger = Ledger { next: 1, ..Ledger::default() };
    while ledger.has_room() {
        ledger = ledger.with_next(report(ledger.next, 1)).unwrap();
    }
    assert_eq!((ledger.pending.len(), ledger.next), (12, 13));
    assert_eq!(ledger.skip_until(20), 7);
    let counts = (0..10_000).map(|it| (account(it), 1)).collect();
    assert_eq!(Ledger::default().with_next(Report { window: 0, counts }), None);
}

#[rstest]
#[case::text(b"?")]
#[case::fields(br#"{"era":0}"#)]
#[case::order(br#"{"era":0,"next":5,"pending":[[6,{}]]}"#)]
fn malformed_record(#[case] contents: &[u8]) {
    assert!(Ledger::decode(contents).is_err());
}
