//! The commands `plans` and `limits`.

use std::{
    fs,
    io::{self, Read},
    thread,
    time::{Duration, Instant, UNIX_EPOCH},
};

use clap::Subcommand;

use super::{Failure, Options, Printer, parse_duration};
use crate::{
    configuration::{self, Difference, Lists, list_text},
    id,
    operate::{
        Client,
        wire::{Configuration, Edit, EditOutcome, Fault, History, Progress},
    },
};

/// Prefix of the first line of a printed list; the version of the list follows.
const VERSION_PREFIX: &str = "# version ";
/// Interval between two checks whether a version is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One of the two lists that operators edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum List {
    Plans,
    Limits,
}

/// What to do with a list.
#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Prints the stored list, with its version in the first line.
    Show {
        /// Print this earlier version instead.
        #[arg(long)]
        version: Option<id::Version>,
    },
    /// Changes one section of the stored list.
    ///
    /// Example: fuchsiaknot limits edit 'plan gold' weight=3 queue=50
    Edit {
        /// Name of the section, such as `plan gold` or `customer stall`.
        section: String,
        /// Values to set.
        #[arg(value_name = "KEY=VALUE", value_parser = parse_assignment)]
        set: Vec<list_text::SectionEdit>,
        /// Keys to delete.
        #[arg(long, value_name = "KEY")]
        delete: Vec<String>,
        /// Delete the whole section.
        #[arg(long, conflicts_with_all = ["set", "delete"])]
        delete_section: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// Stores a file as the new list.
    ///
    /// The first line of the file names the version that the file is based on, as `show` prints it.
    Apply {
        /// File with the whole list; `-` reads standard input.
        file: String,
        /// Version that the file is based on; replaces the one in its first line.
        #[arg(long)]
        from: Option<id::Version>,
        #[command(flatten)]
        wait: Wait,
    },
    /// Shows what applying a file would change; the exit code is 8 if there are changes.
    Diff {
        /// File with the whole list; `-` reads standard input.
        file: String,
    },
    /// Shows the latest edits of both lists.
    History {
        /// Largest number of edits to show.
        #[arg(long, default_value_t = 20)]
        count: usize,
    },
}

/// How long to wait until an edit is in force.
#[derive(Debug, Clone, clap::Args)]
pub(super) struct Wait {
    /// Longest time to wait until the edit is in force on every host.
    #[arg(long = "wait", value_name = "TIME", value_parser = parse_duration, default_value = "30 s")]
    time: Duration,
    /// Return as soon as the edit is stored.
    #[arg(long)]
    no_wait: bool,
}

impl Command {
    pub(super) fn run(
        self,
        list: List,
        options: &Options,
        printer: &Printer,
    ) -> Result<(), Failure> {
        let client = options.client();
        match self {
            Command::Show { version } => show(list, &client, version, printer),
            Command::Edit { section, set, delete, delete_section, wait } => {
                let mut edits = set;
                edits.extend(delete.into_iter().map(|key| list_text::SectionEdit::Delete { key }));
                if delete_section {
                    edits.push(list_text::SectionEdit::DeleteSection);
                }
                if edits.is_empty() {
                    return Err(Failure::Usage(
                        "give at least one KEY=VALUE, --delete KEY or --delete-section".into(),
                    ));
                }
                let current = client.configuration()?;
                let new = edits.iter().fold(list.text(&current.lists).to_owned(), |it, edit| {
                    list_text::edit_section(&it, &section, edit)
                });
                store(list, new, current.version, &client, options, printer, &wait)
            }
            Command::Apply { file, from, wait } => {
                let (based_on, new) = read_list(&file)?;
                let Some(from) = from.or(based_on) else {
                    return Err(Failure::Usage(format!(
                        "{file} does not begin with `{VERSION_PREFIX}N`; start from the output of \
                         `show`, or give --from N"
                    )));
                };
                store(list, new, from, &client, options, printer, &wait)
            }
            Command::Diff { file } => diff(list, &file, &client, printer),
            Command::History { count } => {
                printer.print_answer(&client.history(count)?, |it| history_table(it, printer))
            }
        }
    }
}

impl List {
    fn text(self, lists: &Lists) -> &str {
        match self {
            List::Plans => &lists.plans,
            List::Limits => &lists.limits,
        }
    }

    /// Returns a copy of `lists` in which this list has the contents `text`.
    fn replace(self, lists: &Lists, text: String) -> Lists {
        match self {
            List::Plans => Lists { plans: text, ..lists.clone() },
            List::Limits => Lists { limits: text, ..lists.clone() },
        }
    }
}

fn show(
    list: List,
    client: &Client,
    version: Option<id::Version>,
    printer: &Printer,
) -> Result<(), Failure> {
    let stored = match version {
        Some(version) => client.edition(version)?,
        None => client.configuration()?,
    };
    printer.print_answer(&stored, |it: &Configuration| {
        format!("{VERSION_PREFIX}{}\n{}", it.version, list.text(&it.lists))
    })
}

fn diff(list: List, file: &str, client: &Client, printer: &Printer) -> Result<(), Failure> {
    let (_, new) = read_list(file)?;
    let stored = client.configuration()?.lists;
    let new = list.replace(&stored, new);
    validate(&new)?;
    let difference = Difference::between(&stored, &new);
    printer.print_answer(&difference, |it| printer.format_difference(it))?;
    if difference.is_empty() { Ok(()) } else { Err(Failure::ListsDiffer) }
}

/// Checks the lists as a host does before it stores them.
fn validate(lists: &Lists) -> Result<(), Failure> {
    let faults = |it: Vec<crate::settings::Fault>| it.iter().map(Fault::from).collect();
    configuration::Configuration::try_from(lists)
        .map(drop)
        .map_err(|it| Failure::Faults(faults(it)))
}

/// Stores `new` as the list, unless the stored version is no longer `from`, and waits until the
/// edit is in force.
fn store(
    list: List,
    new: String,
    from: id::Version,
    client: &Client,
    options: &Options,
    printer: &Printer,
    wait: &Wait,
) -> Result<(), Failure> {
    let (plans, limits) = match list {
        List::Plans => (Some(new), None),
        List::Limits => (None, Some(new)),
    };
    let author = options.author.clone();
    let edit = Edit { from, plans, limits, author, token: rand::random() };
    let version = stored_version(client.edit(&edit)?)?;
    let progress = wait_until_in_force(version, client, printer, wait)?;
    printer.print_answer(&progress, |it| {
        let state = if it.in_force { "in force on every host" } else { "stored" };
        format!("version {version} is {state}\n")
    })
}

/// Returns the version under which an edit was stored.
///
/// # Errors
/// Fails when nothing was stored, or when it is not known whether the edit was stored.
pub(super) fn stored_version(edited: EditOutcome) -> Result<id::Version, Failure> {
    match edited {
        EditOutcome::Stored { version } => Ok(version),
        EditOutcome::Conflict { current, difference } => {
            Err(Failure::Conflict { current, difference })
        }
        EditOutcome::Invalid { faults } => Err(Failure::Faults(faults)),
        EditOutcome::NotStored { message } => Err(Failure::NotStored(message)),
        EditOutcome::Unknown { message, .. } => Err(Failure::OutcomeUnknown(message)),
    }
}

/// Waits until a version is in force on every host.
///
/// # Errors
/// Fails when the wait times out or the host does not answer.
fn wait_until_in_force(
    version: id::Version,
    client: &Client,
    printer: &Printer,
    wait: &Wait,
) -> Result<Progress, Failure> {
    let start = Instant::now();
    let mut progress = Progress { version, in_force: false, waiting: Vec::new() };
    if wait.no_wait {
        return Ok(progress);
    }
    printer.print_progress(format!("version {version} is stored"));
    loop {
        let previous = std::mem::replace(&mut progress, client.progress(version)?);
        if progress.in_force {
            return Ok(progress);
        }
        let hosts =
            |it: &Progress| -> Vec<_> { it.waiting.iter().map(|it| it.host.clone()).collect() };
        if hosts(&previous) != hosts(&progress) {
            printer.print_progress(format!("waiting for {}", hosts(&progress).join(", ")));
        }
        if wait.time <= start.elapsed() {
            return Err(Failure::NotInForce { version, waiting: progress.waiting });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Reads a list from a file, with the version in its first line if there is one.
fn read_list(file: &str) -> Result<(Option<id::Version>, String), Failure> {
    let mut text = String::new();
    let result = match file {
        "-" => io::stdin().read_to_string(&mut text).map(drop),
        _ => fs::read_to_string(file).map(|it| text = it),
    };
    result.map_err(|source| Failure::File { file: file.to_owned(), source })?;
    let parts = text.strip_prefix(VERSION_PREFIX).and_then(|it| it.split_once('\n'));
    Ok(match parts {
        Some((version, rest)) => (version.trim().parse().ok(), rest.to_owned()),
        None => (None, text),
    })
}

fn history_table(history: &History, printer: &Printer) -> String {
    let row = |it: &crate::configuration::store::HistoryEntry| {
        let age = UNIX_EPOCH.elapsed().unwrap_or_default();
        let age = age.saturating_sub(Duration::from_millis(it.edited_ms)).as_secs();
        vec![it.version.to_string(), it.author.to_string(), format!("{age} s ago")]
    };
    let rows: Vec<_> = history.edits.iter().map(row).collect();
    printer.format_table("Edits", &["version", "author", "edited"], &rows)
}

/// Parses `KEY=VALUE`.
fn parse_assignment(text: &str) -> Result<list_text::SectionEdit, String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE, such as weight=3")?;
    Ok(list_text::SectionEdit::Set { key: key.trim().to_owned(), value: value.trim().to_owned() })
}
