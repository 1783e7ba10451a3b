//! The commands `announce`, `drain` and `release`.

use std::time::Duration;

use clap::{Subcommand, ValueEnum};
use smol_str::{SmolStr, format_smolstr};

use super::{Failure, Options, Printer, lists::stored_version, parse_duration};
use crate::{
    configuration::{Change, RawAnnouncement, RawSubject},
    operate::wire,
};

/// Whether a change concerns one target or a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(super) enum SubjectKind {
    /// One target.
    Target,
    /// All targets of a data centre.
    DataCentre,
}

/// What to do with the announced changes.
#[derive(Debug, Subcommand)]
pub(super) enum Announce {
    /// Announces that a target, or every target of a data centre, leaves the fleet.
    ///
    /// Example: fuchsiaknot announce withdraw data-centre zlin-c --in '1 h'
    Withdraw(PlannedChange),
    /// Announces that a target, or every target of a data centre, is replaced under the same name.
    Replace(PlannedChange),
    /// Lists the announced changes.
    List,
    /// Cancels an announced change.
    Cancel {
        /// Name of the announcement.
        id: SmolStr,
    },
}

/// A change to announce, and the time until it happens.
#[derive(Debug, clap::Args)]
pub(super) struct PlannedChange {
    /// Whether the change concerns one target or a whole data centre.
    kind: SubjectKind,
    /// Name of the target or data centre.
    name: SmolStr,
    /// Time until the change.
    #[arg(long = "in", value_name = "TIME", value_parser = parse_duration)]
    after: Duration,
    /// Name of the announcement; CHANGE-NAME by default, such as `withdraw-zlin-c`.
    #[arg(long)]
    id: Option<SmolStr>,
}

/// Starts or ends a drain, which stops new work at targets.
#[derive(Debug, clap::Args)]
pub(super) struct Drain {
    /// Name of the target, or of the data centre with --data-centre.
    name: SmolStr,
    /// Apply to all targets of a data centre.
    #[arg(long)]
    data_centre: bool,
    /// End the drain instead of starting it.
    #[arg(long)]
    end: bool,
}

/// Confirms that an earlier lease holder can send no more orders to a target.
#[derive(Debug, clap::Args)]
pub(super) struct Release {
    /// Name of the target.
    target: SmolStr,
    /// Confirm that the earlier holder's process is stopped or cannot reach the target.
    #[arg(long, required = true)]
    holder_is_stopped: bool,
}

impl Announce {
    pub(super) fn run(self, options: &Options, printer: &Printer) -> Result<(), Failure> {
        match self {
            Announce::Withdraw(it) => it.announce(Change::Withdraw, options, printer),
            Announce::Replace(it) => it.announce(Change::Replace, options, printer),
            Announce::List => {
                let announcements = options.client().configuration()?.lists.announcements;
                printer.print_answer(&announcements, |it| announcement_table(it, printer))
            }
            Announce::Cancel { id } => cancel(&id, options, printer),
        }
    }
}

impl PlannedChange {
    fn announce(self, change: Change, options: &Options, printer: &Printer) -> Result<(), Failure> {
        let id = self.id.unwrap_or_else(|| format_smolstr!("{change}-{}", self.name));
        let subject = self.kind.subject(self.name);
        announce(id, change, subject, self.after, options, printer)
    }
}

impl Drain {
    pub(super) fn run(self, options: &Options, printer: &Printer) -> Result<(), Failure> {
        let id = format_smolstr!("drain-{}", self.name);
        if self.end {
            return cancel(&id, options, printer);
        }
        let kind = if self.data_centre { SubjectKind::DataCentre } else { SubjectKind::Target };
        let subject = kind.subject(self.name);
        announce(id, Change::Drain, subject, Duration::ZERO, options, printer)
    }
}

impl Release {
    pub(super) fn run(self, options: &Options, printer: &Printer) -> Result<(), Failure> {
        let released = options.client().release(&self.target, options.author.clone())?;
        let target = self.target;
        match &released {
            wire::ReleaseOutcome::Recorded => {
                printer.print_answer(&released, |_| format!("{target} is released\n"))
            }
            wire::ReleaseOutcome::NothingToRelease => Err(Failure::Refused(format!(
                "{target} does not wait for a release; `fuchsiaknot fleet show` lists the targets \
                 that are held back"
            ))),
            wire::ReleaseOutcome::Failed { message } => Err(Failure::NotStored(message.clone())),
        }
    }
}

impl SubjectKind {
    fn subject(self, name: SmolStr) -> RawSubject {
        match self {
            SubjectKind::Target => RawSubject::Target(name),
            SubjectKind::DataCentre => RawSubject::DataCentre(name),
        }
    }
}

fn announce(
    id: SmolStr,
    change: Change,
    subject: RawSubject,
    after: Duration,
    options: &Options,
    printer: &Printer,
) -> Result<(), Failure> {
    let after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
    let author = options.author.clone();
    let request = wire::AnnounceRequest { id: id.clone(), change, subject, after_ms, author };
    let edited = options.client().announce(&request)?;
    let version = stored_version(edited.clone())?;
    printer.print_answer(&edited, |_| format!("announced {id} in version {version}\n"))
}

fn cancel(id: &str, options: &Options, printer: &Printer) -> Result<(), Failure> {
    let client = options.client();
    let announcements = client.configuration()?.lists.announcements;
    if !announcements.iter().any(|it| it.id == id) {
        let message = format!(
            "{id} is not announced; `fuchsiaknot announce list` shows the announced changes"
        );
        return Err(Failure::Refused(message));
    }
    let edited = client.withdraw(id)?;
    let version = stored_version(edited.clone())?;
    printer.print_answer(&edited, |_| format!("cancelled {id} in version {version}\n"))
}

fn announcement_table(announcements: &[RawAnnouncement], printer: &Printer) -> String {
    let subject = |it: &RawAnnouncement| match &it.subject {
        RawSubject::Target(name) => format!("target {name}"),
        RawSubject::DataCentre(name) => format!("data centre {name}"),
    };
    let row = |it: &RawAnnouncement| {
        let delay = format!("{} s", it.after_ms / 1_000);
        vec![it.id.to_string(), it.change.to_string(), subject(it), it.added_in.to_string(), delay]
    };
    let rows: Vec<_> = announcements.iter().map(row).collect();
    let headings = ["id", "change", "subject", "since version", "delay"];
    printer.format_table("Announced changes", &headings, &rows)
}
