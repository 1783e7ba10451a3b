//! Load tool: open-loop arrivals against real daemons and stand-in engines on loopback.

mod arrivals;
mod bound;
mod caller;
mod cluster;
mod fault;
mod observer;
mod plot;
mod report;
mod runner;
mod scenario;
mod timeline;

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Args as ClapArgs, Subcommand};

use crate::{
    settings::{self, Policy},
    slopes,
};

pub use self::{
    arrivals::{Arrival, arrivals},
    bound::Bound,
    report::{PlanReport, Report},
    runner::Run,
    scenario::{Fleet, Phase, Plan, Scenario},
};

/// Arguments of `fuchsiaknot load`.
#[derive(Debug, Clone, ClapArgs)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct Args {
    /// Measurement to make in place of a scenario.
    #[command(subcommand)]
    pub measurement: Option<Measurement>,
    /// Scenario file in INI.
    #[arg(long, value_name = "FILE", required = true)]
    pub scenario: Option<PathBuf>,
    /// Seeds of the arrivals, one run each for every policy.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Policies to run, interleaved: planned, thin, static, mixed, greedy.
    #[arg(long, value_delimiter = ',', default_value = "planned")]
    pub policies: Vec<String>,
    /// Print the reports as JSON lines.
    #[arg(long)]
    pub json: bool,
    /// Write a plot of each run as `<PREFIX>-<policy>-<seed>.svg`.
    #[arg(long, value_name = "PREFIX")]
    pub plot: Option<PathBuf>,
}

/// A measurement that needs no scenario.
#[derive(Debug, Clone, Subcommand)]
pub enum Measurement {
    /// Measures what one more host, target, account, edit, claim or stream costs.
    Slopes(slopes::Args),
}

/// A load run that could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The scenario has faults.
    #[error("{}", list(.0))]
    Scenario(Vec<settings::Fault>),
    /// A policy is not known.
    #[error("`{0}` is not a policy; use planned, thin, static, mixed or greedy")]
    Policy(String),
    /// A stand-in or file could not be set up.
    #[error("cannot set up the run: {0}")]
    Io(#[from] io::Error),
    /// An entry host could not start.
    #[error("cannot start an entry host: {0}")]
    Daemon(#[from] crate::daemon::Error),
    /// The two lists could not be stored.
    #[error("cannot store the lists: {0}")]
    Lists(String),
    /// A run broke a promise.
    #[error("{0} answers were not whole or ran more than once")]
    Broken(u64),
}

fn list(faults: &[settings::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Runs the subcommand and returns its exit code: 0, or 1 when a run failed or broke a promise.
pub fn main(args: &Args) -> ExitCode {
    if let Some(Measurement::Slopes(args)) = &args.measurement {
        return slopes::run(args);
    }
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("{err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a scenario for each seed and policy and prints the reports.
///
/// # Errors
/// Fails when the scenario has faults, a part cannot start, or an answer was not whole or ran
/// twice.
pub fn run(args: &Args) -> Result<(), Error> {
    let scenario = Scenario::read(args.scenario.as_deref().unwrap_or(Path::new("")))
        .map_err(Error::Scenario)?;
    let policies = policies(&args.policies)?;
    let mut broken = 0;
    for seed in &args.seeds {
        for policy in &policies {
            let report = Run { scenario: &scenario, policy: *policy, seed: *seed }.run()?;
            broken += report.broken;
            if args.json {
                println!("{}", report.json());
            } else {
                println!("{report}");
            }
            if let Some(prefix) = &args.plot {
                let name = format!("{}-{}-{seed}.svg", prefix.display(), policy.name());
                std::fs::write(name, plot::svg(&report))?;
            }
        }
    }
    if 0 < broken {
        return Err(Error::Broken(broken));
    }
    Ok(())
}

fn policies(names: &[String]) -> Result<Vec<Policy>, Error> {
    let named = |it: &String| Policy::from_name(it).ok_or_else(|| Error::Policy(it.clone()));
    names.iter().map(named).collect()
}
