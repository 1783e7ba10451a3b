//! Measures the latency that an entry host adds: runs the same streams directly against an engine
//! and through the host, in alternating phases.

mod stream;

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Barrier,
    thread,
    time::{Duration, Instant},
};

use clap::Parser;
use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

use self::stream::{Endpoint, Latency};
use crate::{
    configuration::{
        Lists,
        store::{Edit, Store},
    },
    daemon::Daemon,
    settings,
    settings::Settings,
    standin::{self, engine, heartbeat::Listing},
    store, utils,
};

/// API key of the measuring callers.
const API_KEY: &str = "overhead-key";
/// Model that the engine serves.
const MODEL: &str = "draft";
/// Number of tokens that each stream asks for.
const TOKENS_PER_ANSWER: u32 = 16;
/// Prefill throughput of the engine, high enough to make the prefill time negligible.
const PREFILL_TOKENS_PER_SECOND: f64 = 1e9;
/// Duration of one decode step of the engine.
const DECODE_STEP: Duration = Duration::from_millis(10);
/// Timeout for the host to become ready and receive a report from the engine.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Measured phases of each endpoint.
const PHASES_PER_ENDPOINT: usize = 3;
/// Upper bound of the latency histograms, in microseconds; longer latencies are recorded as this
/// value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Arguments of the overhead measurement.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Numbers of concurrent streams, each measured in turn.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 64, 512])]
    pub streams: Vec<usize>,
    /// Streams that each caller runs one after another in a phase.
    #[arg(long, default_value_t = 10)]
    pub rounds: usize,
}

/// Why the measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stand-in platform or engine could not start.
    #[error("a stand-in cannot start: {0}")]
    Start(#[from] std::io::Error),
    /// The entry host could not start.
    #[error("the entry host cannot start: {0}")]
    Daemon(#[from] crate::daemon::Error),
    /// The configuration could not be stored.
    #[error("the configuration cannot be stored: {0}")]
    Configuration(#[from] crate::configuration::store::Error),
    /// The entry host was not ready, or had no report from the engine, before the timeout.
    #[error("the entry host is not ready or has no report from its engine")]
    NotReady,
    /// A stream failed or ended without its end marker.
    #[error("a stream failed: {0}")]
    Stream(String),
}

/// Latencies at one number of concurrent streams.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of streams measured on each endpoint.
    pub measured: u64,
    /// Time to the first token.
    pub first_token: Comparison,
    /// Time to the end marker.
    #[serde(rename = "whole")]
    pub total: Comparison,
}

/// Latency percentiles of both endpoints, in microseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Comparison {
    /// Median when calling the engine directly.
    pub direct_p50: u64,
    /// Median through the host.
    pub host_p50: u64,
    /// 99th percentile when calling the engine directly.
    pub direct_p99: u64,
    /// 99th percentile through the host.
    pub host_p99: u64,
}

impl Comparison {
    fn new(direct: &Histogram<u64>, host: &Histogram<u64>) -> Comparison {
        Comparison {
            direct_p50: direct.value_at_quantile(0.5),
            host_p50: host.value_at_quantile(0.5),
            direct_p99: direct.value_at_quantile(0.99),
            host_p99: host.value_at_quantile(0.99),
        }
    }

    fn added_p50(&self) -> i64 {
        self.host_p50 as i64 - self.direct_p50 as i64
    }

    fn added_p99(&self) -> i64 {
        self.host_p99 as i64 - self.direct_p99 as i64
    }
}

/// Runs the measurement and prints the results; the exit code is 0 only if all streams complete.
pub fn run(args: &Args, json: bool) -> ExitCode {
    match measure(args) {
        Ok(rows) if json => {
            println!("{}", serde_json::to_string_pretty(&rows).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Ok(rows) => {
            print_table(&rows);
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn print_table(rows: &[Row]) {
    println!("added by the host, in microseconds (direct p50/p99 in brackets)");
    println!("streams  measured  first token p50      p99           whole answer p50     p99");
    for row in rows {
        let (first_token, total) = (&row.first_token, &row.total);
        println!(
            "{:>7}  {:>8}  {:>+8} ({:>6})  {:>+8} ({:>6})  {:>+8} ({:>6})  {:>+8} ({:>6})",
            row.streams,
            row.measured,
            first_token.added_p50(),
            first_token.direct_p50,
            first_token.added_p99(),
            first_token.direct_p99,
            total.added_p50(),
            total.direct_p50,
            total.added_p99(),
            total.direct_p99,
        );
    }
}

/// Measures both endpoints at each number of concurrent streams.
///
/// # Errors
/// Fails when a component cannot start, the host does not become ready, or a stream is incomplete.
pub fn measure(args: &Args) -> Result<Vec<Row>, Error> {
    let max_streams = args.streams.iter().copied().max().unwrap_or(1);
    let platform = standin::Platform::start(standin::platform::Config::default())?;
    store_lists(platform.address())?;
    let engine = standin::Engine::start(engine::Config {
        listing: Listing { platform: Some(platform.address()), ..Listing::default() },
        model: SmolStr::new_static(MODEL),
        slots: u32::try_from(2 * max_streams).unwrap_or(u32::MAX),
        prefill_rate: PREFILL_TOKENS_PER_SECOND,
        step_base: DECODE_STEP,
        step_per_request: Duration::ZERO,
        ..engine::Config::default()
    })?;
    let daemon = Daemon::start(host_settings(platform.address()))?;
    wait_ready(&daemon)?;
    let direct = Endpoint::direct(engine.address(), MODEL, TOKENS_PER_ANSWER);
    let host = Endpoint::host(daemon.callers_address(), MODEL, TOKENS_PER_ANSWER, API_KEY);
    args.streams.iter().map(|it| measure_streams(*it, args.rounds, &direct, &host)).collect()
}

/// Runs one unmeasured warm-up phase on each endpoint, then alternates between measured phases.
fn measure_streams(
    streams: usize,
    rounds: usize,
    direct: &Endpoint,
    host: &Endpoint,
) -> Result<Row, Error> {
    let mut direct_latencies = Histograms::new();
    let mut host_latencies = Histograms::new();
    run_phase(streams, 1, direct)?;
    run_phase(streams, 1, host)?;
    for _ in 0..PHASES_PER_ENDPOINT {
        direct_latencies.record(&run_phase(streams, rounds, direct)?);
        host_latencies.record(&run_phase(streams, rounds, host)?);
    }
    Ok(Row {
        streams,
        measured: host_latencies.first_token.len(),
        first_token: Comparison::new(&direct_latencies.first_token, &host_latencies.first_token),
        total: Comparison::new(&direct_latencies.total, &host_latencies.total),
    })
}

/// Latency histograms of one endpoint, in microseconds.
struct Histograms {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
}

impl Histograms {
    fn new() -> Histograms {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
                .expect("the lower bound is below the upper bound")
        };
        Histograms { first_token: empty(), total: empty() }
    }

    fn record(&mut self, latencies: &[Latency]) {
        let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        for it in latencies {
            self.first_token.saturating_record(micros(it.first_token));
            self.total.saturating_record(micros(it.total));
        }
    }
}

/// Runs `callers` concurrent callers, each on its own connection, and returns the latencies of all
/// streams. Each caller runs `streams` streams one after another.
fn run_phase(callers: usize, streams: usize, endpoint: &Endpoint) -> Result<Vec<Latency>, Error> {
    let start = Barrier::new(callers);
    let run_caller = || {
        let caller = endpoint.caller();
        let connected = caller.connect();
        start.wait();
        connected?;
        let run_stream = |_| {
            // Random jitter: without it, the engine's decode steps would synchronise the callers.
            thread::sleep(DECODE_STEP.mul_f64(rand::random()));
            caller.stream()
        };
        (0..streams).map(run_stream).collect::<Result<Vec<_>, Error>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..callers).map(|_| scope.spawn(run_caller)).collect();
        let mut all_latencies = Vec::new();
        for it in threads {
            let joined = it.join();
            all_latencies
                .extend(joined.map_err(|_| Error::Stream("a caller panicked".to_owned()))??);
        }
        Ok(all_latencies)
    })
}

fn store_lists(address: SocketAddr) -> Result<(), Error> {
    let settings = settings::Platform { address, ..settings::Platform::default() };
    let client = store::Client::new(&settings);
    let plans = format!("[customer overhead]\nplan = all\nkey = {}\n", utils::key_hash(API_KEY));
    let limits = "[plan all]\nweight = 1\nconcurrent = 100000\nrequests_per_second = 1000000\n\
                  tokens_per_second = 1000000000\nqueue = 100000\nfirst_token = 10 s\n";
    let lists = Lists { plans, limits: limits.to_owned(), ..Lists::default() };
    let author = SmolStr::new_static("overhead");
    let edit = Edit { from: 0, lists, author, edited_ms: 0, token: rand::random() };
    Store::new(client.clone(), client).edit(&edit)?;
    Ok(())
}

fn host_settings(platform: SocketAddr) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::default();
    settings.host.callers_address = any_port;
    settings.host.operators_address = any_port;
    settings.host.peers_address = any_port;
    settings.peers.key = "overhead-peers".to_owned();
    settings.platform.address = platform;
    settings
}

fn wait_ready(daemon: &Daemon) -> Result<(), Error> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let ctx = daemon.context();
    while ctx.check_ready(crate::clock::now()).is_err()
        || !ctx.fleet.targets().iter().any(|(_, report)| report.is_some())
    {
        if deadline <= Instant::now() {
            return Err(Error::NotReady);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
