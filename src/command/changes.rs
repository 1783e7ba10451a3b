//! The commands `announce`, `drain` and `release`.

use std::time::Duration;

use clap::{Subcommand, ValueEnum};
use smol_str::{SmolStr, format_smolstr};

use super::{Failure, Options, Printer, lists::stored, time};
use crate::{
    configuration::{Change, RawAnnouncement, RawSubject},
    operate::wire,
};

/// What a change concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(super) enum Kind {
    /// One target.
    Target,
    /// All targets of a data centre.
    DataCentre,
}

/// A planned change to the fleet.
#[derive(Debug, Subcommand)]
pub(super) enum Announce {
    /// Announces that a target or data centre leaves the fleet.
    ///
    /// Example: fuchsiaknot announce withdraw data-centre zlin-c --in '1 h'
    Withdraw(Planned),
    /// Announces that a target, or all of a data centre, is replaced under the same name.
    Replace(Planned),
    /// Lists the announced changes.
    List,
    /// Cancels an announced change.
    Cancel {
        /// Name of the announcement.
        id: SmolStr,
    },
}

/// What is planned, and when.
#[derive(Debug, clap::Args)]
pub(super) struct Planned {
    /// Whether one target or a whole data centre.
    kind: Kind,
    /// Its name.
    name: SmolStr,
    /// Time until the change.
    #[arg(long = "in", value_name = "TIME", value_parser = time)]
    after: Duration,
    /// Name of the announcement; made from the change when absent.
    #[arg(long)]
    id: Option<SmolStr>,
}

/// Stops new work at a target.
#[derive(Debug, clap::Args)]
pub(super) struct Drain {
    /// Name of the target, or of the data centre with --data-centre.
    name: SmolStr,
    /// Drain all targets of a data centre.
    #[arg(long)]
    data_centre: bool,
    /// End the drain.
    #[arg(long)]
    end: bool,
}

/// Declares a target free of earlier orders.
#[derive(Debug, clap::Args)]
pub(super) struct Release {
    /// Name of the target.
    target: SmolStr,
    /// Confirms that the earlier holder's process is stopped or cannot reach the target.
    #[arg(long, required = true)]
    holder_is_stopped: bool,
}

impl Announce {
    pub(super) fn run(self, options: &Options, printer: &Printer) -> Result<(), Failure> {
        match self {
            Announce::Withdraw(it) => it.announce(Change::Withdraw, options, printer),
            Announce::Replace(it) => it.announce(Change::Replace, options, printer),
            Announce::List => {
                let notices = options.client().configuration()?.lists.announcements;
                printer.answer(&notices, |it| table(it, printer))
            }
            Announce::Cancel { id } => cancel(&id, options, printer),
        }
    }
}

impl Planned {
    fn announce(self, change: Change, options: &Options, printer: &Printer) -> Result<(), Failure> {
        let id = self.id.unwrap_or_else(|| format_smolstr!("{change}-{}", self.name));
        let subject = self.kind.subject(self.name);
        send(id, change, subject, self.after, options, printer)
    }
}

impl Drain {
    pub(super) fn run(self, options: &Options, printer: &Printer) -> Result<(), Failure> {
        let id = format_smolstr!("drain-{}", self.name);
        if self.end {
            return cancel(&id, options, printer);
        }
        let kind = if self.data_centre { Kind::DataCentre } else { Kind::Target };
        let subject = kind.subject(self.name);
        send(id, Change::Drain, subject, Duration::ZERO, options, printer)
    }
}

impl Release {
    pub(super) fn run(self, options: &Options, printer: &Printer) -> Result<(), Failure> {
        let released = options.client().release(&self.target, options.author.clone())?;
        let target = self.target;
        match &released {
            wire::ReleaseOutcome::Recorded => {
                printer.answer(&released, |_| format!("{target} is released\n"))
            }
            wire::ReleaseOutcome::NothingToRelease => Err(Failure::Refused(format!(
                "{target} waits for no release; `fuchsiaknot fleet show` lists what is held back"
            ))),
            wire::ReleaseOutcome::Failed { message } => Err(Failure::NotStored(message.clone())),
        }
    }
}

impl Kind {
    fn subject(self, name: SmolStr) -> RawSubject {
        match self {
            Kind::Target => RawSubject::Target(name),
            Kind::DataCentre => RawSubject::DataCentre(name),
        }
    }
}

fn send(
    id: SmolStr,
    change: Change,
    subject: RawSubject,
    after: Duration,
    options: &Options,
    printer: &Printer,
) -> Result<(), Failure> {
    let after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
    let author = options.author.clone();
    let announce = wire::AnnounceRequest { id: id.clone(), change, subject, after_ms, author };
    let edited = options.client().announce(&announce)?;
    let version = stored(edited.clone())?;
    printer.answer(&edited, |_| format!("announced {id} in version {version}\n"))
}

fn cancel(id: &str, options: &Options, printer: &Printer) -> Result<(), Failure> {
    let client = options.client();
    let notices = client.configuration()?.lists.announcements;
    if !notices.iter().any(|it| it.id == id) {
        let message = format!("{id} is not announced; `fuchsiaknot announce list` shows what is");
        return Err(Failure::Refused(message));
    }
    let edited = client.withdraw(id)?;
    let version = stored(edited.clone())?;
    printer.answer(&edited, |_| format!("{id} is no longer announced as of version {version}\n"))
}

fn table(notices: &[RawAnnouncement], printer: &Printer) -> String {
    let subject = |it: &RawAnnouncement| match &it.subject {
        RawSubject::Target(name) => format!("target {name}"),
        RawSubject::DataCentre(name) => format!("data centre {name}"),
    };
    let row = |it: &RawAnnouncement| {
        let delay = format!("{} s", it.after_ms / 1_000);
        vec![it.id.to_string(), it.change.to_string(), subject(it), it.added_in.to_string(), delay]
    };
    let rows: Vec<_> = notices.iter().map(row).collect();
    let heads = ["id", "change", "subject", "since version", "delay"];
    printer.table("Announced changes", &heads, &rows)
}
