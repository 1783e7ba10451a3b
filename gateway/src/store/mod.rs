//! Interface to the store of configuration, targets and hosts.

pub mod era;
pub mod sync;
pub mod watch;

use std::time::Duration;

use crate::{
    cluster::membership::Host,
    configuration::Configuration,
    stream_archive::index::StoredRow,
    targets::{registry::Change, target::Target},
};
use fuchsiaknot_core::id;

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store refused the call, so it had no effect.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// No answer arrived; a write may have taken effect.
    #[error("no answer from the store: {0}")]
    Lost(String),
    /// The store does not have the changes since the requested version; a full read is needed.
    #[error("the store does not have the changes since the requested version")]
    HistoryGone,
    /// The answer is older than another one, since which the store came back from a copy.
    #[error("the answer is of an earlier era of the store")]
    EarlierEra,
    /// The data cannot be encoded or decoded.
    #[error("invalid answer from the store: {0}")]
    Unreadable(String),
}

/// Contents of a table of the store at one version.
#[derive(Debug, Clone)]
pub struct Snapshot<T> {
    /// Era of the store that answered; `None` if the answer does not name it.
    pub era: Option<id::Era>,
    /// Version of the store at which the contents were read.
    pub version: id::Version,
    /// Time of the store's steady clock at which the contents were read; `None` if the answer does
    /// not name it.
    pub read_at: Option<Duration>,
    /// Whether all of the contents could be decoded.
    pub is_complete: bool,
    /// Whether there were changes that are not among the contents, since later ones replaced them.
    pub has_skipped: bool,
    /// The contents.
    pub contents: T,
}

impl<T> Snapshot<T> {
    /// Converts the contents and keeps the rest.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> Snapshot<U> {
        let Snapshot { era, version, read_at, is_complete, has_skipped, contents } = self;
        Snapshot { era, version, read_at, is_complete, has_skipped, contents: change(contents) }
    }
}

/// What a host announces in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The host.
    pub host: Host,
    /// Whether the store has records of where streams began. Builds without them ignore it.
    pub archives_streams: bool,
}

/// One of this project's own records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Version of the last write; 0 if the record does not exist.
    pub version: id::Version,
    /// The contents; `None` if the record does not exist.
    pub contents: Option<Vec<u8>>,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect as this version.
    Committed(id::Version),
    /// The record has another version, and the write had no effect.
    Conflict(Record),
}

/// The store of configuration, targets and hosts.
///
/// Calls return when the store has answered or their timeout has passed. `wait` is the time for
/// which the store may hold a call until there is a change.
#[allow(async_fn_in_trait)] // the request path runs on one thread
pub trait Store: Clone + 'static {
    /// Returns the highest era in any answer so far, errors included; 0 before the first.
    fn newest_era(&self) -> id::Era;

    /// Reads the newest configuration; `None` before the first one is stored.
    ///
    /// # Errors
    /// Fails when the store refuses the call, does not answer, or its answer is invalid.
    async fn configuration(&self) -> Result<Snapshot<Option<Configuration>>, Error>;

    /// Waits for a configuration stored after version `after` of the store; `None` without a
    /// change.
    ///
    /// # Errors
    /// As [`Store::configuration`], and when the store no longer has the changes.
    async fn configuration_after(
        &self,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Option<Configuration>>, Error>;

    /// Reads all targets.
    ///
    /// # Errors
    /// Fails when the store refuses the call, does not answer, or its answer is invalid.
    async fn targets(&self) -> Result<Snapshot<Vec<Target>>, Error>;

    /// Waits for target changes after version `after` of the store; each has its version.
    ///
    /// # Errors
    /// As [`Store::targets`], and when the store no longer has the changes.
    async fn targets_after(
        &self,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Vec<(id::Version, Change)>>, Error>;

    /// Reads the announced hosts.
    ///
    /// # Errors
    /// Fails when the store refuses the call, does not answer, or its answer is invalid.
    async fn hosts(&self) -> Result<Vec<Announcement>, Error>;

    /// Announces a host; returns the era of the store that answered, if the answer names it.
    ///
    /// # Errors
    /// Fails when the store refuses the call or does not answer.
    async fn announce(&self, announcement: &Announcement) -> Result<Option<id::Era>, Error>;

    /// Writes a row of records of where streams began, and the announcement of the host that writes
    /// it. A call without an answer may take effect later.
    ///
    /// # Errors
    /// Fails when the store refuses the call or does not answer.
    async fn archive_streams(
        &self,
        announcement: &Announcement,
        key: &str,
        contents: &[u8],
    ) -> Result<(), Error>;

    /// Reads all rows of records of where streams began.
    ///
    /// # Errors
    /// Fails when the store refuses the call, does not answer, or its answer is invalid.
    async fn archived_streams(&self) -> Result<Vec<StoredRow>, Error>;

    /// Removes a host's announcement.
    ///
    /// # Errors
    /// Fails when the store refuses the call or does not answer.
    async fn withdraw(&self, host: &id::Host) -> Result<(), Error>;

    /// Reads one of this project's own records.
    ///
    /// # Errors
    /// Fails when the store refuses the call, does not answer, or its answer is invalid.
    async fn record(&self, key: &str) -> Result<Snapshot<Record>, Error>;

    /// Writes one of this project's own records if it still has version `expected`; 0 if it must
    /// not exist. A call without an answer may take effect later, if its condition still holds.
    ///
    /// # Errors
    /// Fails when the store refuses the call, does not answer, or its answer is invalid.
    async fn write_record(
        &self,
        key: &str,
        expected: id::Version,
        contents: &[u8],
    ) -> Result<Snapshot<Outcome>, Error>;
}
