//! The commands `plans` and `limits`.

use std::{
    fs,
    io::{self, Read},
    thread,
    time::{Duration, Instant, UNIX_EPOCH},
};

use clap::Subcommand;

use super::{Failure, Options, Printer, time};
use crate::{
    configuration::{self, Difference, Lists, list_text},
    id,
    operate::{
        Client,
        wire::{Configuration, Edit, EditOutcome, Fault, History, Progress},
    },
};

/// Start of the line that names the version which a shown list has.
const VERSION_MARK: &str = "# version ";
/// Time between two questions whether a version is in force.
const POLL: Duration = Duration::from_millis(100);

/// One of the two lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum List {
    Plans,
    Limits,
}

/// What to do with a list.
#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Prints the stored list, its version in the first line.
    Show {
        /// Print this earlier version.
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
        #[arg(value_name = "KEY=VALUE", value_parser = assignment)]
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
    /// The file names the version that it was made from in its first line, as `show` prints it.
    Apply {
        /// File with the whole list; `-` reads standard input.
        file: String,
        /// Version that the file was made from.
        #[arg(long)]
        from: Option<id::Version>,
        #[command(flatten)]
        wait: Wait,
    },
    /// Shows what would change if a file were applied; exit code 8 if anything would.
    Diff {
        /// File with the whole list; `-` reads standard input.
        file: String,
    },
    /// Shows the last edits of both lists.
    History {
        /// Number of edits.
        #[arg(long, default_value_t = 20)]
        count: usize,
    },
}

/// How long to wait until an edit is in force.
#[derive(Debug, Clone, clap::Args)]
pub(super) struct Wait {
    /// Time to wait until the edit is in force on every host.
    #[arg(long = "wait", value_name = "TIME", value_parser = time, default_value = "30 s")]
    time: Duration,
    /// Do not wait.
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
                        "name a KEY=VALUE, --delete KEY, or --delete-section".into(),
                    ));
                }
                let current = client.configuration()?;
                let new = edits.iter().fold(list.of(&current.lists).to_owned(), |it, edit| {
                    list_text::edit_section(&it, &section, edit)
                });
                store(list, new, current.version, &client, options, printer, &wait)
            }
            Command::Apply { file, from, wait } => {
                let (marked, new) = read(&file)?;
                let Some(from) = from.or(marked) else {
                    return Err(Failure::Usage(format!(
                        "{file} does not begin with `{VERSION_MARK}N`; start from the output of \
                         `show`, or give --from N"
                    )));
                };
                store(list, new, from, &client, options, printer, &wait)
            }
            Command::Diff { file } => diff(list, &file, &client, printer),
            Command::History { count } => {
                printer.answer(&client.history(count)?, |it| history(it, printer))
            }
        }
    }
}

impl List {
    fn of(self, lists: &Lists) -> &str {
        match self {
            List::Plans => &lists.plans,
            List::Limits => &lists.limits,
        }
    }

    fn replaced(self, lists: &Lists, text: String) -> Lists {
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
    printer.answer(&stored, |it: &Configuration| {
        format!("{VERSION_MARK}{}\n{}", it.version, list.of(&it.lists))
    })
}

fn diff(list: List, file: &str, client: &Client, printer: &Printer) -> Result<(), Failure> {
    let (_, new) = read(file)?;
    let stored = client.configuration()?.lists;
    let new = list.replaced(&stored, new);
    check(&new)?;
    let difference = Difference::between(&stored, &new);
    printer.answer(&difference, |it| printer.difference(it))?;
    if difference.is_empty() { Ok(()) } else { Err(Failure::Different) }
}

fn check(lists: &Lists) -> Result<(), Failure> {
    let faults = |it: Vec<crate::settings::Fault>| it.iter().map(Fault::from).collect();
    configuration::Configuration::try_from(lists)
        .map(drop)
        .map_err(|it| Failure::Faults(faults(it)))
}

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
    let version = stored(client.edit(&edit)?)?;
    let progress = follow(version, client, printer, wait)?;
    printer.answer(&progress, |it| {
        let state = if it.in_force { "in force on every host" } else { "stored" };
        format!("version {version} is {state}\n")
    })
}

/// Returns the version of a stored edit.
///
/// # Errors
/// Returns why nothing was stored, or that it is not known.
pub(super) fn stored(edited: EditOutcome) -> Result<id::Version, Failure> {
    match edited {
        EditOutcome::Stored { version } => Ok(version),
        EditOutcome::Conflict { current, difference } => {
            Err(Failure::Conflict { current, difference })
        }
        EditOutcome::Invalid { faults } => Err(Failure::Faults(faults)),
        EditOutcome::NotStored { message } => Err(Failure::NotStored(message)),
        EditOutcome::Unknown { message, .. } => Err(Failure::Unknown(message)),
    }
}

/// Waits until a version is in force on every host.
fn follow(
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
    printer.note(format!("version {version} is stored"));
    loop {
        let last = std::mem::replace(&mut progress, client.progress(version)?);
        if progress.in_force {
            return Ok(progress);
        }
        let names =
            |it: &Progress| -> Vec<_> { it.waiting.iter().map(|it| it.host.clone()).collect() };
        if names(&last) != names(&progress) {
            printer.note(format!("waiting for {}", names(&progress).join(", ")));
        }
        if wait.time <= start.elapsed() {
            return Err(Failure::NotInForce { version, waiting: progress.waiting });
        }
        thread::sleep(POLL);
    }
}

/// Reads a list and the version in its first line.
fn read(file: &str) -> Result<(Option<id::Version>, String), Failure> {
    let mut text = String::new();
    let read = match file {
        "-" => io::stdin().read_to_string(&mut text).map(drop),
        _ => fs::read_to_string(file).map(|it| text = it),
    };
    read.map_err(|source| Failure::File { file: file.to_owned(), source })?;
    let marked = text.strip_prefix(VERSION_MARK).and_then(|it| it.split_once('\n'));
    Ok(match marked {
        Some((version, rest)) => (version.trim().parse().ok(), rest.to_owned()),
        None => (None, text),
    })
}

fn history(history: &History, printer: &Printer) -> String {
    let row = |it: &crate::configuration::store::HistoryEntry| {
        let age = UNIX_EPOCH.elapsed().unwrap_or_default();
        let age = age.saturating_sub(Duration::from_millis(it.edited_ms)).as_secs();
        vec![it.version.to_string(), it.author.to_string(), format!("{age} s ago")]
    };
    let rows: Vec<_> = history.edits.iter().map(row).collect();
    printer.table("Edits", &["version", "author", "edited"], &rows)
}

fn assignment(text: &str) -> Result<list_text::SectionEdit, String> {
    let (key, value) = text.split_once('=').ok_or("write KEY=VALUE, such as weight=3")?;
    Ok(list_text::SectionEdit::Set { key: key.trim().to_owned(), value: value.trim().to_owned() })
}
