//! Failures of a command and their exit codes.

use std::io;

use crate::{
    configuration::Difference,
    id,
    operate::{self, wire::Fault, wire::PendingHost},
};

/// Exit code of any other failure.
pub(super) const FAILED: u8 = 1;
/// Exit code of wrong usage and of faults in a file or list.
pub(super) const USAGE: u8 = 2;
/// Exit code of a conflict.
const CONFLICT: u8 = 3;
/// Exit code when the platform kept an edit from being stored.
const NOT_STORED: u8 = 4;
/// Exit code when it is not known whether an edit was stored.
const UNKNOWN: u8 = 5;
/// Exit code when a stored edit is not in force in time.
const NOT_IN_FORCE: u8 = 6;
/// Exit code when the host does not answer or refuses the key.
const UNREACHABLE: u8 = 7;
/// Exit code when `diff` found differences.
const DIFFERENT: u8 = 8;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Output or a file failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file cannot be read.
    #[error("{file}: {source}")]
    File {
        /// Name of the file.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// The command line lacks something that only its contents could give.
    #[error("{0}")]
    Usage(String),
    /// A file or list has faults.
    #[error("{} fault(s) found; mend them and try again", .0.len())]
    Faults(Vec<Fault>),
    /// Another edit came first.
    #[error(
        "another edit came first and made version {current}; nothing was stored. Show the \
             list again, repeat the change and apply it"
    )]
    Conflict {
        /// Version that is stored now.
        current: id::Version,
        /// What changed since the version that the edit was made from.
        difference: Difference,
    },
    /// The platform kept the edit from being stored.
    #[error("{0}")]
    NotStored(String),
    /// The edit may have been stored.
    #[error("{0}")]
    Unknown(String),
    /// The edit is stored but not in force on every host in time.
    #[error("version {version} is stored; it is not yet in force on {}", names(.waiting))]
    NotInForce {
        /// The stored version.
        version: id::Version,
        /// Hosts that are waited for.
        waiting: Vec<PendingHost>,
    },
    /// The lists differ.
    #[error("the file differs from the stored list")]
    Different,
    /// The host did not do what was asked.
    #[error("{0}")]
    Refused(String),
    /// The host does not answer, or refuses the call.
    #[error(transparent)]
    Host(#[from] operate::Error),
}

impl Failure {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Io(_) | Failure::Refused(_) => FAILED,
            Failure::File { .. } | Failure::Usage(_) | Failure::Faults(_) => USAGE,
            Failure::Conflict { .. } => CONFLICT,
            Failure::NotStored(_) => NOT_STORED,
            Failure::Unknown(_) => UNKNOWN,
            Failure::NotInForce { .. } => NOT_IN_FORCE,
            Failure::Different => DIFFERENT,
            Failure::Host(operate::Error::Unreachable { .. } | operate::Error::Denied(_)) => {
                UNREACHABLE
            }
            Failure::Host(operate::Error::Refused { status: 503, .. }) => NOT_STORED,
            Failure::Host(_) => FAILED,
        }
    }
}

fn names(waiting: &[PendingHost]) -> String {
    let name = |it: &PendingHost| match (it.heard, it.version) {
        (true, Some(version)) => format!("{} (has version {version})", it.host),
        (true, None) => format!("{} (starting)", it.host),
        (false, _) => format!("{} (not heard)", it.host),
    };
    waiting.iter().map(name).collect::<Vec<_>>().join(", ")
}
