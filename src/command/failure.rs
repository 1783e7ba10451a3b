//! Failures of a command, with their exit codes.

use std::io;

use crate::{
    configuration::Difference,
    id,
    operate::{self, wire::Fault, wire::PendingHost},
};

/// Exit code of failures that have no code of their own.
pub(super) const FAILED: u8 = 1;
/// Exit code of wrong usage and of faults in a file or list.
pub(super) const USAGE: u8 = 2;
/// Exit code when another edit was stored first.
const CONFLICT: u8 = 3;
/// Exit code when nothing was stored because the platform failed.
const NOT_STORED: u8 = 4;
/// Exit code when it is not known whether an edit was stored.
const OUTCOME_UNKNOWN: u8 = 5;
/// Exit code when a stored edit did not come into force on every host within the wait.
const NOT_IN_FORCE: u8 = 6;
/// Exit code when the host does not answer or refuses the key.
const UNREACHABLE: u8 = 7;
/// Exit code when `diff` found differences.
const DIFFERENT: u8 = 8;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Reading standard input or writing the output failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file cannot be read.
    #[error("{file}: {source}")]
    File {
        /// Name of the file.
        file: String,
        /// Why the file cannot be read.
        source: io::Error,
    },
    /// The arguments or the input are not usable, although the command line parsed.
    #[error("{0}")]
    Usage(String),
    /// A file or list has faults.
    #[error("{} fault(s) found; correct them and try again", .0.len())]
    Faults(Vec<Fault>),
    /// Another edit was stored first.
    #[error(
        "another edit was stored first, as version {current}; this edit was not stored. Show the \
             list again, repeat the change and apply it"
    )]
    Conflict {
        /// Version that is stored now.
        current: id::Version,
        /// Changes since the version that the edit is based on.
        difference: Difference,
    },
    /// Nothing was stored, because the platform failed.
    #[error("{0}")]
    NotStored(String),
    /// The edit may have been stored.
    #[error("{0}")]
    OutcomeUnknown(String),
    /// The edit is stored but did not come into force on every host within the wait.
    #[error("version {version} is stored but not yet in force on {}", join_hosts(.waiting))]
    NotInForce {
        /// The stored version.
        version: id::Version,
        /// Hosts on which the version is not yet in force.
        waiting: Vec<PendingHost>,
    },
    /// The file given to `diff` differs from the stored list.
    #[error("the file differs from the stored list")]
    ListsDiffer,
    /// What the command asks for does not apply, such as a cancellation of an unknown announcement.
    #[error("{0}")]
    Refused(String),
    /// The call to the host failed.
    #[error(transparent)]
    Host(#[from] operate::Error),
}

impl Failure {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Io(_) | Failure::Refused(_) => FAILED,
            Failure::File { .. } | Failure::Usage(_) | Failure::Faults(_) => USAGE,
            Failure::Conflict { .. } => CONFLICT,
            Failure::NotStored(_) => NOT_STORED,
            Failure::OutcomeUnknown(_) => OUTCOME_UNKNOWN,
            Failure::NotInForce { .. } => NOT_IN_FORCE,
            Failure::ListsDiffer => DIFFERENT,
            Failure::Host(operate::Error::Unreachable { .. } | operate::Error::Denied(_)) => {
                UNREACHABLE
            }
            Failure::Host(operate::Error::Refused { status: 503, .. }) => NOT_STORED,
            Failure::Host(_) => FAILED,
        }
    }
}

fn join_hosts(waiting: &[PendingHost]) -> String {
    let host = |it: &PendingHost| match (it.heard, it.version) {
        (true, Some(version)) => format!("{} (has version {version})", it.host),
        (true, None) => format!("{} (starting)", it.host),
        (false, _) => format!("{} (sends no heartbeats)", it.host),
    };
    waiting.iter().map(host).collect::<Vec<_>>().join(", ")
}
