//! The daemon as a process: settings file, signals and exit codes.

use std::{
    io::Write,
    path::Path,
    process::{self, ExitCode},
    sync::Arc,
    thread,
};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use super::{Daemon, Error};
use crate::{event, event::Event, settings::Settings};

/// Exit code if the daemon cannot start.
pub const EXIT_CANNOT_START: u8 = 1;
/// Exit code if the settings file is invalid.
pub const EXIT_SETTINGS_INVALID: u8 = 2;
/// Exit code after a second interrupt, as a shell reports it for SIGINT.
pub const EXIT_INTERRUPTED: u8 = 130;

/// Runs the daemon until a signal stops it and returns the exit code.
pub fn run(file: &Path) -> ExitCode {
    let settings = match Settings::read(file) {
        Ok(it) => it,
        Err(faults) => {
            for fault in faults {
                event!(Event::SettingsInvalid, "{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS_INVALID);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("{err}");
            ExitCode::from(EXIT_CANNOT_START)
        }
    }
}

/// Serves until the first SIGINT or SIGTERM, then shuts down gracefully; a SIGINT during the
/// shutdown exits the process at once.
fn serve(settings: Settings) -> Result<(), Error> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let daemon = Arc::new(Daemon::start(settings)?);
    print_addresses(&daemon);
    signals.forever().next();
    let leaving = Arc::clone(&daemon);
    let leave = thread::Builder::new().name("leave".to_owned()).spawn(move || leaving.leave())?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        if signals.forever().any(|it| it == SIGINT) {
            event!(
                Event::ShutdownForced,
                "interrupted during shutdown; running requests are aborted"
            );
            process::exit(EXIT_INTERRUPTED.into());
        }
    })?;
    let _ = leave.join();
    Ok(())
}

/// Prints the bound addresses for the program that started the daemon, since the settings may have
/// port 0.
fn print_addresses(daemon: &Daemon) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "callers {}", daemon.callers_address());
    let _ = writeln!(out, "operators {}", daemon.operators_address());
    let _ = writeln!(out, "peers {}", daemon.peers_address());
    let _ = out.flush();
}
