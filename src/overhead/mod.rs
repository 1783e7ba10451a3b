//! Measures what an entry host adds to a call: the same streams straight to an engine and through a
//! host, in turns.

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

use self::stream::{Route, Times};
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

/// Key of the measuring caller.
const KEY: &str = "overhead-key";
/// Model of the measured engine.
const MODEL: &str = "draft";
/// Tokens of each answer.
const TOKENS: u32 = 16;
/// Prompt tokens that the engine reads a second, so many that reading takes no time.
const PREFILL_RATE: f64 = 1e9;
/// Time of one decode step of the engine.
const STEP: Duration = Duration::from_millis(10);
/// Time for the host to know its engine.
const READY_TIME: Duration = Duration::from_secs(20);
/// Phases of each route.
const PHASES: usize = 3;
/// Largest latency that is recorded, in microseconds.
const MOST_MICROS: u64 = 60_000_000;
/// Significant digits of the recorded latencies.
const DIGITS: u8 = 3;

/// What to measure.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Concurrent streams, one measurement each.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 64, 512])]
    pub streams: Vec<usize>,
    /// Streams of each caller in one phase.
    #[arg(long, default_value_t = 10)]
    pub rounds: usize,
}

/// A measurement that could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A part could not start.
    #[error("a part cannot start: {0}")]
    Start(#[from] std::io::Error),
    /// The entry host could not start.
    #[error("the entry host cannot start: {0}")]
    Daemon(#[from] crate::daemon::Error),
    /// The configuration could not be stored.
    #[error("the configuration cannot be stored: {0}")]
    Configuration(#[from] crate::configuration::store::Error),
    /// The host did not become ready.
    #[error("the entry host does not see its engine")]
    NotReady,
    /// A stream failed.
    #[error("a stream failed: {0}")]
    Stream(String),
}

/// Latencies with one number of concurrent streams, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Concurrent streams.
    pub streams: usize,
    /// Streams measured on each route.
    pub measured: u64,
    /// Time to the first token.
    pub first_token: Pair,
    /// Time to the end mark.
    pub whole: Pair,
}

/// The same quantiles on both routes, in microseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Pair {
    /// Median straight to the engine.
    pub direct_p50: u64,
    /// Median through the host.
    pub host_p50: u64,
    /// 99th percentile straight to the engine.
    pub direct_p99: u64,
    /// 99th percentile through the host.
    pub host_p99: u64,
}

impl Pair {
    fn new(direct: &Histogram<u64>, host: &Histogram<u64>) -> Pair {
        Pair {
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

/// Measures and prints; the exit code is 0 when every stream was whole.
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
        let (first, whole) = (&row.first_token, &row.whole);
        println!(
            "{:>7}  {:>8}  {:>+8} ({:>6})  {:>+8} ({:>6})  {:>+8} ({:>6})  {:>+8} ({:>6})",
            row.streams,
            row.measured,
            first.added_p50(),
            first.direct_p50,
            first.added_p99(),
            first.direct_p99,
            whole.added_p50(),
            whole.direct_p50,
            whole.added_p99(),
            whole.direct_p99,
        );
    }
}

/// Measures both routes for each number of streams.
///
/// # Errors
/// Fails when a part cannot start or a stream is not whole.
pub fn measure(args: &Args) -> Result<Vec<Row>, Error> {
    let most = args.streams.iter().copied().max().unwrap_or(1);
    let platform = standin::Platform::start(standin::platform::Config::default())?;
    configure(platform.address())?;
    let engine = standin::Engine::start(engine::Config {
        listing: Listing { platform: Some(platform.address()), ..Listing::default() },
        model: SmolStr::new_static(MODEL),
        slots: u32::try_from(2 * most).unwrap_or(u32::MAX),
        prefill_rate: PREFILL_RATE,
        step_base: STEP,
        step_per_request: Duration::ZERO,
        ..engine::Config::default()
    })?;
    let daemon = Daemon::start(host_settings(platform.address()))?;
    wait_ready(&daemon)?;
    let direct = Route::direct(engine.address(), MODEL, TOKENS);
    let host = Route::host(daemon.callers_address(), MODEL, TOKENS, KEY);
    args.streams.iter().map(|it| row(*it, args.rounds, &direct, &host)).collect()
}

fn row(streams: usize, rounds: usize, direct: &Route, host: &Route) -> Result<Row, Error> {
    let mut of_direct = Latencies::new();
    let mut of_host = Latencies::new();
    phase(streams, 1, direct)?;
    phase(streams, 1, host)?;
    for _ in 0..PHASES {
        of_direct.record(&phase(streams, rounds, direct)?);
        of_host.record(&phase(streams, rounds, host)?);
    }
    Ok(Row {
        streams,
        measured: of_host.first.len(),
        first_token: Pair::new(&of_direct.first, &of_host.first),
        whole: Pair::new(&of_direct.whole, &of_host.whole),
    })
}

/// Latencies of one route.
struct Latencies {
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Latencies {
    fn new() -> Latencies {
        let empty =
            || Histogram::new_with_bounds(1, MOST_MICROS, DIGITS).expect("the bounds are in order");
        Latencies { first: empty(), whole: empty() }
    }

    fn record(&mut self, times: &[Times]) {
        let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(MOST_MICROS);
        for it in times {
            self.first.saturating_record(micros(it.first));
            self.whole.saturating_record(micros(it.whole));
        }
    }
}

/// Runs callers side by side, each with a connection of its own, for some streams in a row.
fn phase(callers: usize, streams: usize, route: &Route) -> Result<Vec<Times>, Error> {
    let start = Barrier::new(callers);
    let run = || {
        let caller = route.caller();
        let warmed = caller.warm();
        start.wait();
        warmed?;
        let one = |_| {
            // The engine's steps would otherwise bring the callers into line.
            thread::sleep(STEP.mul_f64(rand::random()));
            caller.stream()
        };
        (0..streams).map(one).collect::<Result<Vec<_>, Error>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..callers).map(|_| scope.spawn(run)).collect();
        let mut times = Vec::new();
        for it in threads {
            let of_caller = it.join();
            times.extend(of_caller.map_err(|_| Error::Stream("a caller panicked".to_owned()))??);
        }
        Ok(times)
    })
}

fn configure(address: SocketAddr) -> Result<(), Error> {
    let settings = settings::Platform { address, ..settings::Platform::default() };
    let client = store::Client::new(&settings);
    let plans = format!("[customer overhead]\nplan = all\nkey = {}\n", utils::key_hash(KEY));
    let limits = "[plan all]\nweight = 1\nconcurrent = 100000\nrequests_per_second = 1000000\n\
                  tokens_per_second = 1000000000\nqueue = 100000\nfirst_token = 10 s\n";
    let lists = Lists { plans, limits: limits.to_owned(), ..Lists::default() };
    let author = SmolStr::new_static("overhead");
    let edit = Edit { from: 0, lists, author, edited_ms: 0, token: rand::random() };
    Store::new(client.clone(), client).edit(&edit)?;
    Ok(())
}

fn host_settings(platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::default();
    settings.host.callers_address = any;
    settings.host.operators_address = any;
    settings.host.peers_address = any;
    settings.peers.key = "overhead-peers".to_owned();
    settings.platform.address = platform;
    settings
}

fn wait_ready(daemon: &Daemon) -> Result<(), Error> {
    let until = Instant::now() + READY_TIME;
    let ctx = daemon.context();
    while ctx.check_ready(crate::clock::now()).is_err()
        || !ctx.fleet.targets().iter().any(|(_, report)| report.is_some())
    {
        if until <= Instant::now() {
            return Err(Error::NotReady);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
