//! The configuration in the platform's table: versions, edits and their history.
//!
//! The row `config/current` names the version in force; it stays small, since every host reads it
//! each second. The row `config/<version>` holds what an edit stored, or names the object that does.

use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::{SmolStr, format_smolstr};

use super::{Contract, Difference, Lists};
use crate::{
    id, settings,
    store::{Commit, Fault, Objects, Row, Table, Write},
};

/// Row that names the present version.
pub const CURRENT: &str = "config/current";
/// Largest contents kept in a row, in bytes; larger ones go to the object store.
pub const ROW_BYTES: usize = 64 << 10;
/// Tries of a write whose answer was lost.
const TRIES: u32 = 5;
/// Time before the second try; doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Contents of the row [`CURRENT`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Current {
    /// Version of the configuration; 0 when none was ever stored.
    pub version: id::Version,
    /// Token of the edit that stored it.
    pub token: id::Token,
}

/// Contents of a row `config/<version>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    #[serde(flatten)]
    entry: Entry,
    contents: Contents,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Contents {
    Inline(Lists),
    Object(SmolStr),
}

/// An edit in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Version that the edit made.
    pub version: id::Version,
    /// Token of the edit.
    pub token: id::Token,
    /// Who made it.
    pub author: SmolStr,
    /// Time of the edit by the operator's clock, in milliseconds since 1970.
    pub edited_ms: u64,
}

/// A stored configuration with its version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Edition {
    /// Version; 0 when none was ever stored.
    pub version: id::Version,
    /// The lists as they were stored.
    pub lists: Lists,
}

/// An edit that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Version that the edit was made from.
    pub from: id::Version,
    /// The whole new configuration.
    pub lists: Lists,
    /// Who made it.
    pub author: SmolStr,
    /// Time of the edit by the operator's clock, in milliseconds since 1970.
    pub edited_ms: u64,
    /// Random number that marks this edit.
    pub token: id::Token,
}

/// Known outcome of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The edit is stored under this version.
    Stored(id::Version),
    /// Another edit came first; nothing of this one was stored.
    Conflict {
        /// Version that is stored now.
        current: id::Version,
        /// What changed since the version that the edit was made from.
        difference: Difference,
    },
}

/// An edit whose outcome is a failure or unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The lists have faults; nothing was stored.
    #[error("the lists have {} fault(s); nothing was stored", .0.len())]
    Invalid(Vec<settings::Fault>),
    /// The platform failed before the edit was sent; nothing was stored.
    #[error("nothing was stored: {0}; try again when the platform answers")]
    NotStored(Fault),
    /// The platform's answer was lost and the row cannot be read back.
    #[error("version {version} may have been stored: {fault}; look at the history before a retry")]
    Unknown {
        /// Version that the edit would have.
        version: id::Version,
        /// The last failure.
        fault: Fault,
    },
    /// A row or object cannot be understood.
    #[error("{0} cannot be understood")]
    Unreadable(SmolStr),
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Error {
        Error::NotStored(fault)
    }
}

/// Reads and writes configurations.
#[derive(Debug, Clone)]
pub struct Store<T, O> {
    table: T,
    objects: O,
}

impl<T: Table, O: Objects> Store<T, O> {
    /// Creates a store over the platform's services.
    pub fn new(table: T, objects: O) -> Store<T, O> {
        Store { table, objects }
    }

    /// Returns the table.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// Returns the present configuration; version 0 and empty lists when none was ever stored.
    ///
    /// # Errors
    /// Fails when the platform does not answer or a row cannot be understood.
    pub fn current(&self) -> Result<Edition, Error> {
        let (current, _) = self.read_current()?;
        self.edition(current.version)
    }

    /// Returns a configuration by its version.
    ///
    /// # Errors
    /// Fails when the platform does not answer, or when there is no such version.
    pub fn edition(&self, version: id::Version) -> Result<Edition, Error> {
        if version == 0 {
            return Ok(Edition::default());
        }
        let record = self.record(version)?.ok_or_else(|| Error::Unreadable(key(version)))?;
        let lists = match record.contents {
            Contents::Inline(lists) => lists,
            Contents::Object(name) => self.object(&name)?,
        };
        Ok(Edition { version, lists })
    }

    /// Returns the last `count` edits, the latest first.
    ///
    /// # Errors
    /// Fails when the platform does not answer or a row cannot be understood.
    pub fn history(&self, count: usize) -> Result<Vec<Entry>, Error> {
        let (current, _) = self.read_current()?;
        let keys: Vec<SmolStr> = (1..=current.version).rev().take(count).map(key).collect();
        if keys.is_empty() {
            return Ok(Vec::new());
        }
        let rows = self.table.read(&keys)?;
        let present = rows.iter().filter(|it| 0 < it.version);
        present.map(|it| decode::<Record>(it).map(|it| it.entry)).collect()
    }

    /// Stores a whole new configuration if `edit.from` is still the present version.
    ///
    /// # Errors
    /// Fails when the lists have faults, or when the platform does not answer.
    pub fn edit(&self, edit: &Edit) -> Result<Outcome, Error> {
        Contract::try_from(&edit.lists).map_err(Error::Invalid)?;
        let (current, row) = self.read_current()?;
        if current.version != edit.from {
            return self.repeated(edit, current.version);
        }
        let writes = self.writes(edit, row.version)?;
        match self.commit(edit, &writes)? {
            Won::Ours => Ok(Outcome::Stored(edit.from + 1)),
            Won::Another => {
                let (current, _) = self.read_current()?;
                self.conflict(edit.from, current.version)
            }
        }
    }

    /// Answers an edit from an earlier version: stored already by the same edit, or in conflict.
    fn repeated(&self, edit: &Edit, current: id::Version) -> Result<Outcome, Error> {
        match self.winner(edit)? {
            Won::Ours => Ok(Outcome::Stored(edit.from + 1)),
            Won::Another => self.conflict(edit.from, current),
        }
    }

    /// Repeats the write until its outcome is known; the token makes a repeat harmless.
    fn commit(&self, edit: &Edit, writes: &[Write]) -> Result<Won, Error> {
        let version = edit.from + 1;
        let mut lost = false;
        let mut delay = FIRST_DELAY;
        let mut last = Fault::Refused(String::new());
        for _ in 0..TRIES {
            match self.table.commit(writes) {
                Ok(Commit::Done(_)) => return Ok(Won::Ours),
                Ok(Commit::Conflict(_)) => match self.winner(edit) {
                    Ok(won) => return Ok(won),
                    Err(fault) => last = fault,
                },
                Err(fault) => {
                    lost |= matches!(fault, Fault::Lost(_));
                    last = fault;
                }
            }
            thread::sleep(delay);
            delay *= 2;
        }
        match lost {
            true => Err(Error::Unknown { version, fault: last }),
            false => Err(Error::NotStored(last)),
        }
    }

    /// Tells by the token whose edit made the version after `edit.from`.
    fn winner(&self, edit: &Edit) -> Result<Won, Fault> {
        let record = match self.record(edit.from + 1) {
            Ok(record) => record,
            Err(Error::NotStored(fault)) => return Err(fault),
            Err(_) => return Ok(Won::Another),
        };
        match record {
            Some(it) if it.entry.token == edit.token => Ok(Won::Ours),
            _ => Ok(Won::Another),
        }
    }

    fn writes(&self, edit: &Edit, row: id::Version) -> Result<[Write; 2], Error> {
        let version = edit.from + 1;
        let entry = Entry {
            version,
            token: edit.token,
            author: edit.author.clone(),
            edited_ms: edit.edited_ms,
        };
        let contents = self.contents(edit)?;
        let current = Current { version, token: edit.token };
        let write = |key, expected, value| Write { key, expected, value: Some(value) };
        Ok([
            write(CURRENT.into(), row, encode(&current)),
            write(key(version), 0, encode(&Record { entry, contents })),
        ])
    }

    fn contents(&self, edit: &Edit) -> Result<Contents, Error> {
        let text = encode(&edit.lists);
        if text.len() <= ROW_BYTES {
            return Ok(Contents::Inline(edit.lists.clone()));
        }
        let name = format_smolstr!("{}-{:016x}", key(edit.from + 1), edit.token);
        self.objects.put(&name, text.as_bytes())?;
        Ok(Contents::Object(name))
    }

    fn conflict(&self, from: id::Version, current: id::Version) -> Result<Outcome, Error> {
        let before = self.edition(from)?;
        let after = self.edition(current)?;
        let difference = Difference::between(&before.lists, &after.lists);
        Ok(Outcome::Conflict { current, difference })
    }

    fn read_current(&self) -> Result<(Current, Row), Error> {
        let row = self.row(CURRENT.into())?;
        Ok((current(&row)?, row))
    }

    fn record(&self, version: id::Version) -> Result<Option<Record>, Error> {
        let row = self.row(key(version))?;
        if row.version == 0 {
            return Ok(None);
        }
        decode(&row).map(Some)
    }

    fn row(&self, key: SmolStr) -> Result<Row, Error> {
        let rows = self.table.read(std::slice::from_ref(&key))?;
        rows.into_iter().next().ok_or(Error::Unreadable(key))
    }

    fn object(&self, name: &SmolStr) -> Result<Lists, Error> {
        let unreadable = || Error::Unreadable(name.clone());
        let contents = self.objects.get(name)?.ok_or_else(unreadable)?;
        serde_json::from_slice(&contents).map_err(|_| unreadable())
    }
}

/// Whose edit made a version.
enum Won {
    Ours,
    Another,
}

/// Returns what the row [`CURRENT`] holds; version 0 when it is absent.
///
/// # Errors
/// Fails when the row cannot be understood.
pub fn current(row: &Row) -> Result<Current, Error> {
    if row.version == 0 {
        return Ok(Current::default());
    }
    decode(row)
}

fn key(version: id::Version) -> SmolStr {
    format_smolstr!("config/{version}")
}

fn encode<V: Serialize>(value: &V) -> String {
    serde_json::to_string(value).expect("plain data always encodes")
}

fn decode<V: DeserializeOwned>(row: &Row) -> Result<V, Error> {
    serde_json::from_str(&row.value).map_err(|_| Error::Unreadable(row.key.clone()))
}
