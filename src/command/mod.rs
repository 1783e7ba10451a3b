//! The command line `fuchsiaknot` for operators.

mod changes;
mod check;
mod explain;
mod failure;
mod fleet;
mod lists;
mod print;

use std::{
    ffi::OsString,
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use smol_str::SmolStr;

pub use self::{failure::Failure, print::Printer};
use crate::{
    demo::{self, OnSuccess},
    load,
    operate::Client,
    overhead,
    settings::{self, value},
};

/// Timeout for connecting to a host before the next one is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Text at the end of the long help.
const AFTER_HELP: &str = "\
Exit codes:
  0  success
  1  any other failure
  2  wrong usage, or faults in a file or list
  3  conflict: another edit was stored first; nothing was stored
  4  nothing was stored, because the platform failed
  5  the edit may have been stored; `history` shows whether it was
  6  stored, but not yet in force on every host
  7  the host does not answer or refuses the key
  8  `diff` found differences

Examples:
  fuchsiaknot plans show > plans.ini
  fuchsiaknot plans apply plans.ini
  fuchsiaknot limits edit 'plan gold' weight=3
  fuchsiaknot announce withdraw target brno-engine-2 --in '10 min'
  fuchsiaknot fleet show --json";

/// Operates a fuchsiaknot deployment.
#[derive(Debug, Parser)]
#[command(name = "fuchsiaknot", version, after_help = AFTER_HELP)]
pub struct Args {
    #[command(flatten)]
    options: Options,
    #[command(subcommand)]
    command: Command,
}

/// Options of every command.
#[derive(Debug, Clone, clap::Args)]
struct Options {
    /// Operators' addresses of entry hosts, separated by commas; the first that accepts a
    /// connection is used.
    #[arg(long, global = true, env = "FUCHSIAKNOT_HOST", value_delimiter = ',')]
    #[arg(default_value = "127.0.0.1:8081", value_name = "ADDRESS")]
    host: Vec<SocketAddr>,
    /// Operators' key; prefer the environment variable, because other users can see the command
    /// line.
    #[arg(long, global = true, env = "FUCHSIAKNOT_KEY", hide_env_values = true)]
    key: Option<String>,
    /// Author name that the history shows for your edits.
    #[arg(long, global = true, env = "USER", default_value = "unknown")]
    author: SmolStr,
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    /// When to colour the output.
    #[arg(long, global = true, value_enum, default_value_t = Colour::Auto)]
    colour: Colour,
}

/// When to colour the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Colour {
    /// Only on a terminal.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Shows or edits the list of customers, with the plan of each.
    #[command(subcommand)]
    Plans(lists::Command),
    /// Shows or edits the list of plans, with the limits of each.
    #[command(subcommand)]
    Limits(lists::Command),
    /// Announces, lists or cancels planned changes to the fleet.
    #[command(subcommand)]
    Announce(changes::Announce),
    /// Stops new work at a target, or at all targets of a data centre, until the drain is ended.
    Drain(changes::Drain),
    /// Confirms that an earlier lease holder can send no more orders to a target.
    Release(changes::Release),
    /// Shows hosts, groups and targets.
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// Shows the open requests of the host.
    Requests,
    /// Shows the counters of the host.
    Counters,
    /// Checks a settings file without starting anything.
    Check {
        /// Settings file, in INI.
        file: PathBuf,
    },
    /// Shows what happened to a request, from the hosts' log files.
    Explain(explain::Explain),
    /// Reads a key from standard input and prints its hash for the settings and lists.
    HashKey,
    /// Demonstrates a whole deployment in one process on loopback.
    Demo {
        /// Keep serving after the demonstration and print commands to try.
        #[arg(long)]
        keep: bool,
    },
    /// Measures the latency that an entry host adds to a call, on loopback.
    Overhead(overhead::Args),
    /// Runs a load scenario against daemons and stand-ins on loopback.
    Load(load::Args),
    /// Prints the completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Prints the manual page.
    Manual,
}

/// Runs the command line `args`, which begins with the program's name, and returns the exit code.
pub fn run(args: impl IntoIterator<Item = impl Into<OsString> + Clone>) -> ExitCode {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(err) => {
            let _ = err.print();
            return ExitCode::from(u8::try_from(err.exit_code()).unwrap_or(failure::USAGE));
        }
    };
    let printer = Printer::new(args.options.json, args.options.colour);
    match dispatch(args.command, &args.options, &printer) {
        Ok(code) => code,
        Err(failure) => {
            printer.print_failure(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}

/// Returns the long help of the command line.
pub fn help() -> String {
    Args::command().render_long_help().to_string()
}

fn dispatch(command: Command, options: &Options, printer: &Printer) -> Result<ExitCode, Failure> {
    match command {
        Command::Plans(it) => it.run(lists::List::Plans, options, printer)?,
        Command::Limits(it) => it.run(lists::List::Limits, options, printer)?,
        Command::Announce(it) => it.run(options, printer)?,
        Command::Drain(it) => it.run(options, printer)?,
        Command::Release(it) => it.run(options, printer)?,
        Command::Fleet(it) => it.run(options, printer)?,
        Command::Requests => fleet::show_requests(options, printer)?,
        Command::Counters => fleet::show_counters(options, printer)?,
        Command::Check { file } => check::check_settings(&file, printer)?,
        Command::Explain(it) => it.run(printer)?,
        Command::HashKey => check::hash_key(printer)?,
        Command::Demo { keep } => {
            return Ok(demo::run(if keep { OnSuccess::KeepServing } else { OnSuccess::Exit }));
        }
        Command::Overhead(args) => return Ok(overhead::run(&args, options.json)),
        Command::Load(args) => return Ok(load::main(&args)),
        Command::Completions { shell } => print_completions(shell, printer)?,
        Command::Manual => print_manual(printer)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn print_completions(shell: Shell, printer: &Printer) -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "fuchsiaknot", &mut text);
    printer.print_bytes(&text)
}

fn print_manual(printer: &Printer) -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_mangen::Man::new(Args::command()).render(&mut text)?;
    printer.print_bytes(&text)
}

impl Options {
    /// Returns a client of the first host that accepts a connection, or of the first host if none
    /// does.
    fn client(&self) -> Client {
        let accepts = |it: &&SocketAddr| TcpStream::connect_timeout(it, CONNECT_TIMEOUT).is_ok();
        let chosen = match self.host.as_slice() {
            [host] => Some(host),
            hosts => hosts.iter().find(accepts),
        };
        let address = chosen.or(self.host.first()).copied();
        let address = address.unwrap_or(settings::Host::default().operators_address);
        Client::new(address, self.key.clone())
    }
}

/// Parses the duration in an option, such as `2 min`.
fn parse_duration(text: &str) -> Result<Duration, String> {
    value::parse_time(text).map_err(|kind| kind.to_string())
}
