//! Configuration versions in the platform's table, with the history of edits.
//!
//! The row `config/current` holds the current version. It stays small because every host reads it
//! each second. The row `config/<version>` holds the lists of that version or, for large lists, the
//! name of the object that holds them.

use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::{SmolStr, format_smolstr};

use super::{Configuration, Difference, Lists};
use crate::{
    id, settings,
    store::{CallError, Commit, ObjectStore, Row, Table, Write},
};

/// Key of the row that holds the current version.
pub const CURRENT_KEY: &str = "config/current";
/// Maximum size of lists stored in a row, in bytes of JSON; larger ones go to the object store.
pub const MAX_INLINE_BYTES: usize = 64 << 10;
/// Maximum number of commit attempts for one edit.
const MAX_ATTEMPTS: u32 = 5;
/// Delay after the first attempt; doubles after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Contents of the row [`CURRENT_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CurrentVersion {
    /// Current version; 0 if no configuration was ever stored.
    pub version: id::Version,
    /// Token of the edit that stored this version.
    pub token: id::Token,
}

/// Contents of a row `config/<version>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    #[serde(flatten)]
    entry: HistoryEntry,
    contents: Contents,
}

/// Lists of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Contents {
    /// The lists themselves.
    Inline(Lists),
    /// Name of the object that holds the lists as JSON.
    Object(SmolStr),
}

/// An edit in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that the edit created.
    pub version: id::Version,
    /// Token of the edit.
    pub token: id::Token,
    /// Author of the edit.
    pub author: SmolStr,
    /// Time of the edit by the wall clock where it was made, in milliseconds since the Unix epoch.
    pub edited_ms: u64,
}

/// The lists of a stored configuration, with its version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionedLists {
    /// Version; 0 if no configuration was ever stored.
    pub version: id::Version,
    /// The lists as stored.
    pub lists: Lists,
}

/// An edit to store as the next version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Version that the edit is based on.
    pub from: id::Version,
    /// The complete new configuration.
    pub lists: Lists,
    /// Author of the edit.
    pub author: SmolStr,
    /// Time of the edit by the wall clock where it was made, in milliseconds since the Unix epoch.
    pub edited_ms: u64,
    /// Random number that identifies this edit, so that a repeat is recognized.
    pub token: id::Token,
}

/// Outcome of an edit, when it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The edit is stored under this version.
    Stored(id::Version),
    /// Another edit was stored first; nothing of this one was stored.
    Conflict {
        /// Current version.
        current: id::Version,
        /// Changes between the version that the edit is based on and the current one.
        difference: Difference,
    },
}

/// Failure to read the configuration or to store an edit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The lists have faults; nothing was stored.
    #[error("the lists have {} fault(s); nothing was stored", .0.len())]
    Invalid(Vec<settings::Fault>),
    /// A call to the platform failed without effect; nothing was stored.
    #[error("nothing was stored: {0}; try again when the platform answers")]
    NotStored(CallError),
    /// The answer to the commit was lost and the result cannot be read back.
    #[error("version {version} may have been stored: {err}; look at the history before a retry")]
    Unknown {
        /// Version that the edit has if it was stored.
        version: id::Version,
        /// The last failure.
        err: CallError,
    },
    /// A row or object is missing or malformed.
    #[error("{0} cannot be understood")]
    Unreadable(SmolStr),
}

impl From<CallError> for Error {
    fn from(err: CallError) -> Error {
        Error::NotStored(err)
    }
}

/// Reads and writes the configuration.
#[derive(Debug, Clone)]
pub struct Store<T, O> {
    table: T,
    objects: O,
}

impl<T: Table, O: ObjectStore> Store<T, O> {
    /// Creates a store on the platform's table and object store.
    pub fn new(table: T, objects: O) -> Store<T, O> {
        Store { table, objects }
    }

    /// Returns the table that holds the configuration.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// Returns the current configuration; version 0 and empty lists if none was ever stored.
    ///
    /// # Errors
    /// Fails when the platform does not answer or a row is missing or malformed.
    pub fn current(&self) -> Result<VersionedLists, Error> {
        let (current, _) = self.read_current()?;
        self.load(current.version)
    }

    /// Returns a configuration by its version.
    ///
    /// # Errors
    /// Fails when the platform does not answer, or when there is no such version.
    pub fn load(&self, version: id::Version) -> Result<VersionedLists, Error> {
        if version == 0 {
            return Ok(VersionedLists::default());
        }
        let record =
            self.load_record(version)?.ok_or_else(|| Error::Unreadable(row_key(version)))?;
        let lists = match record.contents {
            Contents::Inline(lists) => lists,
            Contents::Object(name) => self.load_object(&name)?,
        };
        Ok(VersionedLists { version, lists })
    }

    /// Returns the last `count` edits, latest first.
    ///
    /// # Errors
    /// Fails when the platform does not answer or a row is missing or malformed.
    pub fn history(&self, count: usize) -> Result<Vec<HistoryEntry>, Error> {
        let (current, _) = self.read_current()?;
        let keys: Vec<SmolStr> = (1..=current.version).rev().take(count).map(row_key).collect();
        if keys.is_empty() {
            return Ok(Vec::new());
        }
        let rows = self.table.read(&keys)?;
        let present = rows.iter().filter(|it| 0 < it.version);
        present.map(|it| decode::<VersionRecord>(it).map(|it| it.entry)).collect()
    }

    /// Stores a complete new configuration if `edit.from` is still the current version.
    ///
    /// # Errors
    /// Fails when the lists have faults, when the platform does not answer, or when a row is
    /// missing or malformed.
    pub fn edit(&self, edit: &Edit) -> Result<Outcome, Error> {
        Configuration::try_from(&edit.lists).map_err(Error::Invalid)?;
        let (current, row) = self.read_current()?;
        if current.version != edit.from {
            return self.resolve_outdated(edit, current.version);
        }
        let writes = self.writes(edit, row.version)?;
        match self.commit(edit, &writes)? {
            Winner::ThisEdit => Ok(Outcome::Stored(edit.from + 1)),
            Winner::OtherEdit => {
                let (current, _) = self.read_current()?;
                self.conflict(edit.from, current.version)
            }
        }
    }

    /// Returns the outcome of an edit that isn't based on the current version: stored, if this is a
    /// repeat of the edit that created the next version, otherwise a conflict.
    fn resolve_outdated(&self, edit: &Edit, current: id::Version) -> Result<Outcome, Error> {
        match self.winner(edit)? {
            Winner::ThisEdit => Ok(Outcome::Stored(edit.from + 1)),
            Winner::OtherEdit => self.conflict(edit.from, current),
        }
    }

    /// Repeats the commit until its outcome is known or the attempts are used up.
    ///
    /// A repeat is harmless: if an earlier attempt took effect, the repeat conflicts and the token
    /// shows that the stored edit is this one.
    fn commit(&self, edit: &Edit, writes: &[Write]) -> Result<Winner, Error> {
        let version = edit.from + 1;
        let mut answer_lost = false;
        let mut backoff = INITIAL_BACKOFF;
        let mut last_err = CallError::Refused(String::new());
        for _ in 0..MAX_ATTEMPTS {
            match self.table.commit(writes) {
                Ok(Commit::Done(_)) => return Ok(Winner::ThisEdit),
                Ok(Commit::Conflict(_)) => match self.winner(edit) {
                    Ok(winner) => return Ok(winner),
                    Err(err) => last_err = err,
                },
                Err(err) => {
                    answer_lost |= matches!(err, CallError::Lost(_));
                    last_err = err;
                }
            }
            thread::sleep(backoff);
            backoff *= 2;
        }
        match answer_lost {
            true => Err(Error::Unknown { version, err: last_err }),
            false => Err(Error::NotStored(last_err)),
        }
    }

    /// Returns which edit created the version after `edit.from`, by its token.
    fn winner(&self, edit: &Edit) -> Result<Winner, CallError> {
        let record = match self.load_record(edit.from + 1) {
            Ok(record) => record,
            Err(Error::NotStored(err)) => return Err(err),
            Err(_) => return Ok(Winner::OtherEdit),
        };
        match record {
            Some(it) if it.entry.token == edit.token => Ok(Winner::ThisEdit),
            _ => Ok(Winner::OtherEdit),
        }
    }

    fn writes(&self, edit: &Edit, current_row: id::Version) -> Result<[Write; 2], Error> {
        let version = edit.from + 1;
        let entry = HistoryEntry {
            version,
            token: edit.token,
            author: edit.author.clone(),
            edited_ms: edit.edited_ms,
        };
        let contents = self.contents(edit)?;
        let current = CurrentVersion { version, token: edit.token };
        let write = |key, expected, value| Write { key, expected, value: Some(value) };
        Ok([
            write(CURRENT_KEY.into(), current_row, encode(&current)),
            write(row_key(version), 0, encode(&VersionRecord { entry, contents })),
        ])
    }

    /// Returns the contents of the new version's row; large lists are first stored as an object.
    fn contents(&self, edit: &Edit) -> Result<Contents, Error> {
        let json = encode(&edit.lists);
        if json.len() <= MAX_INLINE_BYTES {
            return Ok(Contents::Inline(edit.lists.clone()));
        }
        let name = format_smolstr!("{}-{:016x}", row_key(edit.from + 1), edit.token);
        self.objects.put(&name, json.as_bytes())?;
        Ok(Contents::Object(name))
    }

    fn conflict(&self, from: id::Version, current: id::Version) -> Result<Outcome, Error> {
        let before = self.load(from)?;
        let after = self.load(current)?;
        let difference = Difference::between(&before.lists, &after.lists);
        Ok(Outcome::Conflict { current, difference })
    }

    fn read_current(&self) -> Result<(CurrentVersion, Row), Error> {
        let row = self.read_row(CURRENT_KEY.into())?;
        Ok((current(&row)?, row))
    }

    fn load_record(&self, version: id::Version) -> Result<Option<VersionRecord>, Error> {
        let row = self.read_row(row_key(version))?;
        if row.version == 0 {
            return Ok(None);
        }
        decode(&row).map(Some)
    }

    fn read_row(&self, key: SmolStr) -> Result<Row, Error> {
        let rows = self.table.read(std::slice::from_ref(&key))?;
        rows.into_iter().next().ok_or(Error::Unreadable(key))
    }

    fn load_object(&self, name: &SmolStr) -> Result<Lists, Error> {
        let unreadable = || Error::Unreadable(name.clone());
        let contents = self.objects.get(name)?.ok_or_else(unreadable)?;
        serde_json::from_slice(&contents).map_err(|_| unreadable())
    }
}

/// Whether a version was created by the edit in question or by another one.
enum Winner {
    ThisEdit,
    OtherEdit,
}

/// Decodes the row [`CURRENT_KEY`]; version 0 if it is absent.
///
/// # Errors
/// Fails when the row is malformed.
pub fn current(row: &Row) -> Result<CurrentVersion, Error> {
    if row.version == 0 {
        return Ok(CurrentVersion::default());
    }
    decode(row)
}

fn row_key(version: id::Version) -> SmolStr {
    format_smolstr!("config/{version}")
}

fn encode<V: Serialize>(value: &V) -> String {
    serde_json::to_string(value).expect("configuration data always serializes")
}

fn decode<V: DeserializeOwned>(row: &Row) -> Result<V, Error> {
    serde_json::from_str(&row.value).map_err(|_| Error::Unreadable(row.key.clone()))
}
