//! The operators' command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use fuchsiaknot::demo::{self, Afterwards};

/// Operates a fuchsiaknot deployment.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the whole path in one process on loopback.
    Demo {
        /// Goes on serving and prints a line to try.
        #[arg(long)]
        keep: bool,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match Args::parse().command {
        Command::Demo { keep } => demo::run(if keep { Afterwards::Keep } else { Afterwards::Stop }),
    }
}
