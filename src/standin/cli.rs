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

use super::{Engine, Platform, Service, engine, platform, presence::Listing, service};
use crate::target::Role;

/// Exit code after a crash on command.
const CRASHED: i32 = 70;
/// Time between two looks at whether the process is to end.
const POLL: Duration = Duration::from_millis(20);

/// Small stand-ins for the platform, an engine and a plain service.
#[derive(Debug, Parser)]
#[command(name = "fuchsiaknot-standin", version)]
pub struct Command {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// Table, object store, host list and weight store in memory.
    Platform(PlatformArgs),
    /// An engine that generates text from nothing.
    Engine(EngineArgs),
    /// A plain service that records its runs.
    Service(ServiceArgs),
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Age of a report after which a machine is dropped, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    dropped_after_ms: u64,
    /// Age of the host list that is read, in milliseconds.
    #[arg(long, default_value_t = 500)]
    lag_ms: u64,
}

#[derive(Debug, Args)]
struct ListingArgs {
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Address of the platform to report to.
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
    /// Model to serve.
    #[arg(long, default_value = "small")]
    model: SmolStr,
    /// Role at the start.
    #[arg(long, value_enum, default_value = "mixed")]
    role: RoleArg,
    /// Takes orders with an older fencing number.
    #[arg(long)]
    ignores_fence: bool,
    /// Time of one step, in microseconds.
    #[arg(long, default_value_t = 2_000)]
    step_us: u64,
    /// Time that a change of role or model takes, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    change_ms: u64,
}

#[derive(Debug, Args)]
struct ServiceArgs {
    #[command(flatten)]
    listing: ListingArgs,
    /// Service to be a replica of.
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

/// Runs a stand-in until it is told to end or has crashed; returns the exit code.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub fn run(command: Command) -> io::Result<i32> {
    match command.kind {
        Kind::Platform(it) => {
            let platform = Platform::start(it.into())?;
            serve(platform.address(), || false)
        }
        Kind::Engine(it) => {
            let engine = Engine::start(it.into())?;
            serve(engine.address(), || engine.has_crashed())
        }
        Kind::Service(it) => {
            let service = Service::start(it.into())?;
            serve(service.address(), || service.has_crashed())
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

fn serve(address: SocketAddr, has_crashed: impl Fn() -> bool) -> io::Result<i32> {
    let ended = std::sync::Arc::default();
    for signal in TERM_SIGNALS {
        flag::register(*signal, std::sync::Arc::clone(&ended))?;
    }
    println!("listening on {address}");
    io::stdout().flush()?;
    loop {
        if has_crashed() {
            return Ok(CRASHED);
        }
        if ended.load(std::sync::atomic::Ordering::Acquire) {
            return Ok(0);
        }
        thread::sleep(POLL);
    }
}
