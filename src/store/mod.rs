//! Interfaces of the platform's services: transactional table, object store, host list and weight
//! store.

pub mod client;
pub mod wire;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::client::Client;
use crate::{id, verdict::Verdict};

/// A row as read; `version` is 0 and `value` is empty if the row does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, such as `lease/<group>`.
    pub key: SmolStr,
    /// Version, increased by each write; 0 if the row is absent.
    pub version: id::Version,
    /// Contents, as JSON text.
    pub value: String,
}

/// One compare-and-set within a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: SmolStr,
    /// Version that the row must have; 0 if it must be absent.
    pub expected: id::Version,
    /// New contents, as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// The table's answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes took effect; holds the new versions in the order of the writes.
    Done(Vec<id::Version>),
    /// No write took effect; holds the current rows whose versions differ from the expected ones.
    Conflict(Vec<Row>),
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call was refused or never arrived; it had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// No usable answer arrived; a write may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
}

impl CallError {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Refused(_) => Verdict::NotRun,
            CallError::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

/// Transactional table; each call is one transaction.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads rows in the order of `keys`; absent rows have version 0.
    ///
    /// # Errors
    /// Fails when the table refuses or does not answer.
    fn read(&self, keys: &[SmolStr]) -> Result<Vec<Row>, CallError>;

    /// Reads all rows whose key starts with `prefix`, ordered by key.
    ///
    /// # Errors
    /// Fails when the table refuses or does not answer.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, CallError>;

    /// Applies all writes or none.
    ///
    /// # Errors
    /// [`CallError::Refused`] means that nothing was written, [`CallError::Lost`] that it may have
    /// been.
    fn commit(&self, writes: &[Write]) -> Result<Commit, CallError>;
}

/// Object store for contents too large for a row.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Stores an object under a name.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    fn put(&self, name: &str, contents: &[u8]) -> Result<(), CallError>;

    /// Returns an object, or `None` if there is none of that name.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, CallError>;
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

/// State of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The machine runs.
    Live,
    /// The machine will be stopped soon; it must get no new work.
    Leaving,
}

/// A machine in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the entry host or target.
    pub name: SmolStr,
    /// What the machine runs.
    #[serde(flatten)]
    pub kind: Kind,
    /// Data centre of the machine.
    pub data_centre: id::DataCentre,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for the connections of other entry hosts; absent for targets.
    pub peer_address: Option<SocketAddr>,
    /// Incarnation of the process; one that was dropped from the list never returns to it.
    pub incarnation: id::Incarnation,
    /// Whether the machine is about to be stopped.
    pub state: State,
}

/// List of the machines that run; it lags behind the reports.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns all machines, live and leaving.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    fn machines(&self) -> Result<Vec<Machine>, CallError>;

    /// Reports that the machine runs; every process repeats this each second.
    ///
    /// # Errors
    /// Fails when the platform refuses or does not answer; [`CallError::Refused`] also when this
    /// incarnation was already dropped from the list.
    fn report(&self, machine: &Machine) -> Result<(), CallError>;
}

/// Store of the weights of models, adapters and versions.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Downloads weights and returns their size in bytes.
    ///
    /// # Errors
    /// Fails when the store refuses or does not answer.
    fn load(&self, name: &str) -> Result<u64, CallError>;
}
