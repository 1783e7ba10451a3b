//! The operators' command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use fuchsiaknot::{
    demo::{self, Afterwards},
    load, overhead,
};

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
    /// Measures what an entry host adds to a call.
    Overhead(overhead::Args),
    /// Runs a load scenario against daemons and stand-ins on loopback.
    Load(load::Args),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match Args::parse().command {
        Command::Demo { keep } => demo::run(if keep { Afterwards::Keep } else { Afterwards::Stop }),
        Command::Overhead(args) => overhead::run(&args),
        Command::Load(args) => load::main(&args),
    }
}
