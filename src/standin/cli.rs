//! Command line of the stand-ins.

use std::{
    io::{self, Write},
    net::SocketAddr,
    thread,
    time::Duration,
};

use clap::{Args, Parser, Subcommand, ValueEnum};
use signal_hook::{consts::TERM_SIGNALS, flag};
use smol_str::SmolStr;

use super::{Engine, Platform, Service, engine, heartbeat::Listing, platform, service};
use crate::target::Role;

/// Exit code after a crash caused by an injected fault.
const CRASH_EXIT_CODE: i32 = 70;
/// Interval of checks for a crash or a termination signal.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// In-memory stand-ins for the platform, an engine and a plain service.
#[derive(Debug, Parser)]
#[command(name = "fuchsiaknot-standin", version)]
pub struct Command {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// Platform: an in-memory table, object store, host list and weight store.
    Platform(PlatformArgs),
    /// Engine that generates text without a model.
    Engine(EngineArgs),
    /// Plain service that records the calls it executes.
    Service(ServiceArgs),
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// Address to listen on; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Time without a report after which a machine is removed from the host list, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    dropped_after_ms: u64,
    /// Age of the host list that readers get, in milliseconds.
    #[arg(long, default_value_t = 500)]
    lag_ms: u64,
}

#[derive(Debug, Args)]
struct ListingArgs {
    /// Address to listen on; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Address of the platform to send heartbeats to.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Name in the host list.
    #[arg(long, default_value = "target-1")]
    name: SmolStr,
    /// Data centre in the host list.
    #[arg(long, default_value = "local")]
    data_centre: SmolStr,
}

#[derive(Debug, Args)]
struct EngineArgs {
    #[command(flatten)]
    listing: ListingArgs,
    /// Initial model.
    #[arg(long, default_value = "small")]
    model: SmolStr,
    /// Initial role.
    #[arg(long, value_enum, default_value = "mixed")]
    role: RoleArg,
    /// Accept orders with an outdated fencing token.
    #[arg(long)]
    ignores_fence: bool,
    /// Base duration of a step that generates tokens, in microseconds.
    #[arg(long, default_value_t = 2_000)]
    step_us: u64,
    /// Duration of a change of role or model, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    change_ms: u64,
}

#[derive(Debug, Args)]
struct ServiceArgs {
    #[command(flatten)]
    listing: ListingArgs,
    /// Service that this replica belongs to.
    #[arg(long, default_value = "orders")]
    service: SmolStr,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum RoleArg {
    Prefill,
    Decode,
    Mixed,
}

impl From<RoleArg> for Role {
    fn from(it: RoleArg) -> Role {
        match it {
            RoleArg::Prefill => Role::Prefill,
            RoleArg::Decode => Role::Decode,
            RoleArg::Mixed => Role::Mixed,
        }
    }
}

impl From<&ListingArgs> for Listing {
    fn from(it: &ListingArgs) -> Listing {
        Listing {
            platform: it.platform,
            name: it.name.clone(),
            data_centre: it.data_centre.clone(),
            ..Listing::default()
        }
    }
}

/// Runs a stand-in until a termination signal or a crash; returns the exit code.
///
/// # Errors
/// Returns an error if the stand-in cannot start, or if writing its address to stdout fails.
pub fn run(command: Command) -> io::Result<i32> {
    match command.kind {
        Kind::Platform(it) => {
            let platform = Platform::start(it.into())?;
            wait_for_exit(platform.address(), || false)
        }
        Kind::Engine(it) => {
            let engine = Engine::start(it.into())?;
            wait_for_exit(engine.address(), || engine.has_crashed())
        }
        Kind::Service(it) => {
            let service = Service::start(it.into())?;
            wait_for_exit(service.address(), || service.has_crashed())
        }
    }
}

impl From<PlatformArgs> for platform::Config {
    fn from(it: PlatformArgs) -> platform::Config {
        platform::Config {
            address: it.address,
            dropped_after: Duration::from_millis(it.dropped_after_ms),
            lag: Duration::from_millis(it.lag_ms),
            ..platform::Config::default()
        }
    }
}

impl From<EngineArgs> for engine::Config {
    fn from(it: EngineArgs) -> engine::Config {
        engine::Config {
            address: it.listing.address,
            listing: Listing::from(&it.listing),
            model: it.model,
            role: it.role.into(),
            checks_fence: !it.ignores_fence,
            step_base: Duration::from_micros(it.step_us),
            change_time: Duration::from_millis(it.change_ms),
            ..engine::Config::default()
        }
    }
}

impl From<ServiceArgs> for service::Config {
    fn from(it: ServiceArgs) -> service::Config {
        service::Config {
            address: it.listing.address,
            listing: Listing::from(&it.listing),
            service: it.service,
        }
    }
}

/// Prints the address and blocks until a termination signal or a crash; returns the exit code.
fn wait_for_exit(address: SocketAddr, has_crashed: impl Fn() -> bool) -> io::Result<i32> {
    let terminated = std::sync::Arc::default();
    for signal in TERM_SIGNALS {
        flag::register(*signal, std::sync::Arc::clone(&terminated))?;
    }
    println!("listening on {address}");
    io::stdout().flush()?;
    loop {
        if has_crashed() {
            return Ok(CRASH_EXIT_CODE);
        }
        if terminated.load(std::sync::atomic::Ordering::Acquire) {
            return Ok(0);
        }
        thread::sleep(EXIT_POLL_INTERVAL);
    }
}
