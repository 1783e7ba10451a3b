//! Measures the rate of claims and the number of table transactions per claim.
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

/// Number of requests of each caller.
const REQUESTS: usize = 100;
/// Upper bound on transactions per claim with 64 callers, those that store the answers included.
const MAX_TRANSACTIONS_PER_CLAIM: f64 = 1.0 / 8.0;

/// No other host can be reached.
#[derive(Debug, Clone)]
struct NoPeers;

impl Peers for NoPeers {
    fn claim_status(&self, _claimant: &Claimant, _question: &Question) -> Option<Status> {
        None
    }
}

/// Results of one measurement.
struct Measurement {
    claims_per_second: f64,
    transactions_per_claim: f64,
    /// Median time to claim a request.
    median: Duration,
}

fn measure(callers: usize, store_delay: Duration) -> Measurement {
    let platform = Platform::start(PlatformConfig::default()).expect("platform starts");
    let address = platform.address();
    let faults = Faults { slow_ms: store_delay.as_millis() as u64, ..Faults::default() };
    ureq::post(format!("http://{address}/faults")).send_json(&faults).expect("faults are set");
    let client = Client::new(&settings::Platform { address, ..settings::Platform::default() });
    let config = Config { claimant: Claimant { host: "host-1".into(), incarnation: 1 } };
    let host =
        Arc::new(Committer::start(config, client.clone(), client, NoPeers).expect("host starts"));
    let started = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|caller| {
            let host = Arc::clone(&host);
            thread::spawn(move || run(&host, caller, REQUESTS))
        })
        .collect();
    let mut times: Vec<_> =
        threads.into_iter().flat_map(|it| it.join().expect("caller finishes")).collect();
    let elapsed = started.elapsed();
    assert!(host.flush(Duration::from_secs(30)), "answers were not stored");
    times.sort();
    let counts = host.counts();
    assert_eq!(counts.claims, times.len() as u64);
    assert_eq!(counts.settlements, times.len() as u64);
    Measurement {
        claims_per_second: times.len() as f64 / elapsed.as_secs_f64(),
        transactions_per_claim: counts.transactions as f64 / times.len() as f64,
        median: times[times.len() / 2],
    }
}

/// Runs requests sequentially and returns the duration of each claim.
fn run(host: &Committer<Client, NoPeers>, caller: usize, requests: usize) -> Vec<Duration> {
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
        grant.begin_send().expect("send is allowed");
        grant.finish(Answer { status: 200, headers: Vec::new(), body: b"shipped".to_vec() });
    }
    times
}

#[test]
#[ignore = "takes some seconds; see docs/measurements.md"]
fn claims_share_writes() {
    println!(
        "| callers | store delay | claims per second | transactions per claim | median time to claim |"
    );
    println!("|---|---|---|---|---|");
    for store_delay in [Duration::ZERO, Duration::from_millis(5)] {
        for callers in [1, 8, 64, 256] {
            let result = measure(callers, store_delay);
            println!(
                "| {callers} | {store_delay:?} + processing | {:.0} | {:.3} | {:.1?} |",
                result.claims_per_second, result.transactions_per_claim, result.median
            );
            if callers == 64 {
                assert!(
                    result.transactions_per_claim < MAX_TRANSACTIONS_PER_CLAIM,
                    "{}",
                    result.transactions_per_claim
                );
            }
        }
    }
}
