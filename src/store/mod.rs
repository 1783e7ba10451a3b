//! The platform's services: transactional table, object store, host list and weight store.

pub mod client;
pub mod wire;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::client::Client;
use crate::{id, verdict::Verdict};

/// A row as it was read; `version` is 0 and `value` empty when it does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the row, such as `lease/<group>`.
    pub key: SmolStr,
    /// Version, raised by each write; 0 means absent.
    pub version: id::Version,
    /// Contents, as JSON text.
    pub value: String,
}

/// One compare-and-set within a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Name of the row.
    pub key: SmolStr,
    /// Version that the row must have; 0 demands that it is absent.
    pub expected: id::Version,
    /// New contents; `None` deletes the row.
    pub value: Option<String>,
}

/// Outcome of a transaction that the table answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes took effect; the new versions stand in the order of the writes.
    Done(Vec<id::Version>),
    /// No write took effect; the rows that differ, as they stand now.
    Conflict(Vec<Row>),
}

/// A call to the platform that gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The call was refused or never arrived, so it had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The answer was lost; a write may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
}

impl Fault {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Fault::Refused(_) => Verdict::NotRun,
            Fault::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

/// Transactional table; every call is one transaction.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads rows; absent ones come back with version 0, in the order asked for.
    ///
    /// # Errors
    /// Fails when the table refuses or does not answer.
    fn read(&self, keys: &[SmolStr]) -> Result<Vec<Row>, Fault>;

    /// Reads all rows whose key starts with `prefix`, by key.
    ///
    /// # Errors
    /// Fails when the table refuses or does not answer.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Fault>;

    /// Performs all writes or none.
    ///
    /// # Errors
    /// [`Fault::Refused`] means that nothing was written, [`Fault::Lost`] that it may have been.
    fn commit(&self, writes: &[Write]) -> Result<Commit, Fault>;
}

/// Object store for contents too large for a row.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Stores an object under a name.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    fn put(&self, name: &str, contents: &[u8]) -> Result<(), Fault>;

    /// Returns an object, or `None` when there is none of that name.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Fault>;
}

/// What a machine in the host list runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "serves")]
pub enum Kind {
    /// An entry host.
    Entry,
    /// An engine that serves a model.
    Engine(id::Model),
    /// A replica of a plain service.
    Service(id::Service),
}

/// Whether a listed machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The machine runs.
    Live,
    /// The machine is about to be stopped; it must get no new work.
    Leaving,
}

/// A machine in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the entry host or target.
    pub name: SmolStr,
    /// What it runs.
    #[serde(flatten)]
    pub kind: Kind,
    /// Data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where an entry host takes peers' connections; absent for targets.
    pub peer_address: Option<SocketAddr>,
    /// The run of the process; a run once dropped from the list never returns to it.
    pub incarnation: id::Incarnation,
    /// Whether it stays.
    pub state: State,
}

/// The lagging list of machines.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns all machines, live and leaving.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    fn machines(&self) -> Result<Vec<Machine>, Fault>;

    /// Reports that the machine runs; repeated each second by every process.
    ///
    /// # Errors
    /// [`Fault::Refused`] also when this incarnation was already dropped from the list.
    fn report(&self, machine: &Machine) -> Result<(), Fault>;
}

/// Weight store for models, adapters and versions.
pub trait Weights: Clone + Send + Sync + 'static {
    /// Transfers weights and returns their size in bytes.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    fn load(&self, name: &str) -> Result<u64, Fault>;
}
