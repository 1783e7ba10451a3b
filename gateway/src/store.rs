//! What the request path needs from the place that keeps configuration, targets and hosts.

use std::time::Duration;

use crate::{configuration::Configuration, membership::Host, registry::Change, target::Target};
use fuchsiaknot_core::id;

/// A call to the store that gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store refused the call, so it had no effect.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// No answer arrived; a write may have taken effect.
    #[error("no answer from the store: {0}")]
    Lost(String),
    /// Changes since the version asked for are no longer kept; a full read is due.
    #[error("the store no longer keeps the changes since that version")]
    HistoryGone,
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}

/// Contents of a part of the store at one version.
#[derive(Debug, Clone)]
pub struct Snapshot<T> {
    /// Version of the store at which the contents were read.
    pub version: id::Version,
    /// The contents.
    pub contents: T,
}

impl<T> Snapshot<T> {
    /// Returns the same version with other contents.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> Snapshot<U> {
        Snapshot { version: self.version, contents: change(self.contents) }
    }
}

/// Configuration, targets and hosts, as the store keeps them.
///
/// Calls return once the store answered or gave none within its bound; `wait` is how long the store
/// may hold a call back until there is a change.
#[allow(async_fn_in_trait)] // the request path runs on one thread
pub trait Store: Clone + 'static {
    /// Reads the newest configuration; `None` before the first.
    ///
    /// # Errors
    /// Fails when the store refuses, does not answer or cannot be understood.
    async fn configuration(&self) -> Result<Snapshot<Option<Configuration>>, Error>;

    /// Waits for a configuration newer than the store's version `after`; `None` without a change.
    ///
    /// # Errors
    /// As [`Store::configuration`], and when the changes are no longer kept.
    async fn configuration_after(
        &self,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Option<Configuration>>, Error>;

    /// Reads all targets.
    ///
    /// # Errors
    /// Fails when the store refuses, does not answer or cannot be understood.
    async fn targets(&self) -> Result<Snapshot<Vec<Target>>, Error>;

    /// Waits for changes of the targets after the store's version `after`, with the version of each.
    ///
    /// # Errors
    /// As [`Store::targets`], and when the changes are no longer kept.
    async fn targets_after(
        &self,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Vec<(id::Version, Change)>>, Error>;

    /// Reads the hosts that announced themselves.
    ///
    /// # Errors
    /// Fails when the store refuses, does not answer or cannot be understood.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;

    /// Announces a host.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    async fn announce(&self, host: &Host) -> Result<(), Error>;

    /// Withdraws a host.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    async fn withdraw(&self, host: &id::Host) -> Result<(), Error>;
}
