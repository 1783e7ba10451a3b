//! The daemon of an entry host.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use fuchsiaknot::daemon::process;

/// Serves callers from one entry host.
///
/// Exit codes: 0 after a graceful shutdown, 1 when the daemon cannot start, 2 when the settings
/// have faults, 130 after a second interrupt.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings file, in INI.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,tarpc=warn"))
        .init();
    process::run(&Args::parse().settings)
}
