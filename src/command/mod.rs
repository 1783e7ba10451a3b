//! The operators' command line.

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
    demo::{self, Afterwards},
    load,
    operate::Client,
    overhead,
    settings::{self, value},
};

/// Time allowed to connect to a host before the next one is tried.
const CONNECT_TIME: Duration = Duration::from_secs(2);

const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  failed
  2  wrong usage, or faults in a file or list
  3  conflict: another edit came first, nothing was stored
  4  nothing was stored, because the platform does not answer
  5  the edit may have been stored; look at the history
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
    /// Operators' addresses of entry hosts, separated by commas; the first that answers is used.
    #[arg(long, global = true, env = "FUCHSIAKNOT_HOST", value_delimiter = ',')]
    #[arg(default_value = "127.0.0.1:8081", value_name = "ADDRESS")]
    host: Vec<SocketAddr>,
    /// Operators' key; better given in the environment than on the command line.
    #[arg(long, global = true, env = "FUCHSIAKNOT_KEY", hide_env_values = true)]
    key: Option<String>,
    /// Name that the history shows for your edits.
    #[arg(long, global = true, env = "USER", default_value = "unknown")]
    author: SmolStr,
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    /// When to use colour.
    #[arg(long, global = true, value_enum, default_value_t = Colour::Auto)]
    colour: Colour,
}

/// When to use colour.
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
    /// The list of customers and the plans that they are on.
    #[command(subcommand)]
    Plans(lists::Command),
    /// The list of plans and what each may use.
    #[command(subcommand)]
    Limits(lists::Command),
    /// Planned changes to the fleet.
    #[command(subcommand)]
    Announce(changes::Announce),
    /// Stops new work at a target, or at all targets of a data centre, until it is ended.
    Drain(changes::Drain),
    /// Declares that no earlier holder's order to a target is under way any more.
    Release(changes::Release),
    /// Hosts, groups and targets.
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// Open requests of the host.
    Requests,
    /// Counters of the host.
    Counters,
    /// Checks a settings file without starting anything.
    Check {
        /// Settings file, in INI.
        file: PathBuf,
    },
    /// What happened to a request, from the hosts' log lines.
    Explain(explain::Explain),
    /// Reads a key from standard input and prints the hash that goes into settings and lists.
    HashKey,
    /// Runs the whole path in one process on loopback.
    Demo {
        /// Goes on serving and prints a line to try.
        #[arg(long)]
        keep: bool,
    },
    /// Measures what an entry host adds to a call, on loopback.
    Overhead(overhead::Args),
    /// Runs a load scenario against daemons and stand-ins on loopback.
    Load(load::Args),
    /// Prints the completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Prints the manual page.
    Manual,
}

/// Runs the command line `args`, the program's name first, and returns its exit code.
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
            printer.failure(&failure);
            ExitCode::from(failure.code())
        }
    }
}

/// Returns the long help of the whole command.
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
        Command::Requests => fleet::requests(options, printer)?,
        Command::Counters => fleet::counters(options, printer)?,
        Command::Check { file } => check::settings(&file, printer)?,
        Command::Explain(it) => it.run(printer)?,
        Command::HashKey => check::hash_key(printer)?,
        Command::Demo { keep } => {
            return Ok(demo::run(if keep { Afterwards::Keep } else { Afterwards::Stop }));
        }
        Command::Overhead(args) => return Ok(overhead::run(&args, options.json)),
        Command::Load(args) => return Ok(load::main(&args)),
        Command::Completions { shell } => completions(shell, printer)?,
        Command::Manual => manual(printer)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn completions(shell: Shell, printer: &Printer) -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "fuchsiaknot", &mut text);
    printer.raw(&text)
}

fn manual(printer: &Printer) -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_mangen::Man::new(Args::command()).render(&mut text)?;
    printer.raw(&text)
}

impl Options {
    /// Returns a client of the first host that takes a connection, or of the first one.
    fn client(&self) -> Client {
        let answers = |it: &&SocketAddr| TcpStream::connect_timeout(it, CONNECT_TIME).is_ok();
        let found = match self.host.as_slice() {
            [only] => Some(only),
            several => several.iter().find(answers),
        };
        let address = found.or(self.host.first()).copied();
        let address = address.unwrap_or(settings::Host::default().operators_address);
        Client::new(address, self.key.clone())
    }
}

/// Parses a time such as `2 min` for an option.
fn time(text: &str) -> Result<Duration, String> {
    value::parse_time(text).map_err(|kind| kind.to_string())
}
