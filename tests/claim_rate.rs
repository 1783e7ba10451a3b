//! Claims a second against the number of table writes.
//!
//! `cargo test --release --test claim_rate -- --ignored --nocapture`

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    claim::{Answer, Claimant, Committer, Config, Outcome, Peers, Question, Request, Status},
    clock, settings,
    standin::platform::{Config as PlatformConfig, Faults, Platform},
    store::Client,
};

/// Requests of each caller.
const REQUESTS: usize = 100;
/// Most table writes for each claim at 64 callers, its answer included.
const WRITES_A_CLAIM: f64 = 1.0 / 8.0;

#[derive(Debug, Clone)]
struct Alone;

impl Peers for Alone {
    fn claim_status(&self, _claimant: &Claimant, _question: &Question) -> Option<Status> {
        None
    }
}

/// Figures of one run.
struct Figures {
    claims_a_second: f64,
    writes_a_claim: f64,
    median: Duration,
}

fn measure(callers: usize, slow: Duration) -> Figures {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let address = platform.address();
    let faults = Faults { slow_ms: slow.as_millis() as u64, ..Faults::default() };
    ureq::post(format!("http://{address}/faults")).send_json(&faults).expect("faults set");
    let client = Client::new(&settings::Platform { address, ..settings::Platform::default() });
    let config = Config { claimant: Claimant { host: "host-1".into(), incarnation: 1 } };
    let host = Arc::new(Committer::start(config, client.clone(), client, Alone).expect("a host"));
    let started = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|caller| {
            let host = Arc::clone(&host);
            thread::spawn(move || run(&host, caller, REQUESTS))
        })
        .collect();
    let mut times: Vec<_> =
        threads.into_iter().flat_map(|it| it.join().expect("a caller")).collect();
    let elapsed = started.elapsed();
    assert!(host.flush(Duration::from_secs(30)), "answers were not stored");
    times.sort();
    let counts = host.counts();
    assert_eq!(counts.claims, times.len() as u64);
    assert_eq!(counts.settlements, times.len() as u64);
    Figures {
        claims_a_second: times.len() as f64 / elapsed.as_secs_f64(),
        writes_a_claim: counts.transactions as f64 / times.len() as f64,
        median: times[times.len() / 2],
    }
}

/// Runs requests one after another and returns how long each claim took.
fn run(host: &Committer<Client, Alone>, caller: usize, requests: usize) -> Vec<Duration> {
    let mut times = Vec::with_capacity(requests);
    for number in 0..requests {
        let key = format!("order-{caller}-{number}").into();
        let request = Request { customer: "clinic".into(), key, fingerprint: 7 };
        let started = Instant::now();
        let outcome = host.claim(&request, clock::now() + Duration::from_secs(30));
        times.push(started.elapsed());
        let Ok(Outcome::Granted(mut grant)) = outcome else {
            panic!("not granted: {outcome:?}");
        };
        grant.send().expect("allowed");
        grant.finish(Answer { status: 200, headers: Vec::new(), body: b"shipped".to_vec() });
    }
    times
}

#[test]
#[ignore = "a measurement of some seconds; see docs/measurements.md"]
fn claims_share_writes() {
    println!("| callers | store answers in | claims a second | writes a claim | median claim |");
    println!("|---|---|---|---|---|");
    for slow in [Duration::ZERO, Duration::from_millis(5)] {
        for callers in [1, 8, 64, 256] {
            let figures = measure(callers, slow);
            println!(
                "| {callers} | {slow:?} + work | {:.0} | {:.3} | {:.1?} |",
                figures.claims_a_second, figures.writes_a_claim, figures.median
            );
            if callers == 64 {
                assert!(figures.writes_a_claim < WRITES_A_CLAIM, "{}", figures.writes_a_claim);
            }
        }
    }
}
