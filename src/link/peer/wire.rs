//! Messages between entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{configuration::store::VersionedLists, id, refresh::Freshness, store::State};

/// An entry host as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// Where it takes callers' connections.
    pub callers_address: SocketAddr,
    /// Where it takes peers' connections.
    pub peers_address: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

/// A heartbeat, and the answer to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host that sends it.
    pub from: Member,
    /// Run of the receiver that the sender last heard, if any.
    pub heard: Option<id::Incarnation>,
    /// Configuration in force at the sender; `None` before the first.
    pub version: Option<id::Version>,
    /// What the sender may do with it.
    pub freshness: Freshness,
    /// How busy the sender is.
    pub load: Load,
}

/// How busy an entry host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Connections open at the callers' port.
    pub connections: u32,
    /// Most connections that the callers' port takes.
    pub capacity: u32,
}

/// News of a row, so that the receiver reads the table before its next refresh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// Name of the row.
    pub row: SmolStr,
    /// Version named in the row's contents.
    pub version: id::Version,
}

/// A configuration with its lists as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: id::Version,
    /// The lists.
    pub lists: String,
}

impl From<&VersionedLists> for Configuration {
    fn from(source: &VersionedLists) -> Configuration {
        let lists = serde_json::to_string(&source.lists).expect("plain data always encodes");
        Configuration { version: source.version, lists }
    }
}

impl TryFrom<Configuration> for VersionedLists {
    type Error = serde_json::Error;

    fn try_from(it: Configuration) -> Result<VersionedLists, serde_json::Error> {
        Ok(VersionedLists { version: it.version, lists: serde_json::from_str(&it.lists)? })
    }
}

/// Asks the claimant of a claim what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimQuestion {
    /// Run of the process that made the claim.
    pub incarnation: id::Incarnation,
    /// Account of the claimed request.
    pub customer: id::Customer,
    /// Idempotency key of the claimed request.
    pub key: SmolStr,
    /// Token of the claim.
    pub token: id::Token,
}

/// What the claimant says of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claim was given up before a byte was sent; nothing is ever sent under its token.
    Abandoned,
    /// The claim was not yet used; by saying so the claimant gave it up.
    NeverSent,
    /// The request was sent and has not ended.
    Sent,
    /// The request ran and this is its answer.
    Answered(Answer),
    /// The claimant does not know of the claim or how it ended.
    Unknown,
}

/// A whole answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// A header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: SmolStr,
    /// Value.
    pub value: String,
}

/// Asks whether a host has nothing left at a drained target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainQuestion {
    /// Group of the target.
    pub group: id::Group,
    /// The target.
    pub target: id::Target,
    /// Revision of the group's row that began the drain.
    pub revision: id::Version,
}

/// What a host says of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainStatus {
    /// The host has seen the drain and has nothing left at the target.
    Drained,
    /// The host has seen the drain and still has work at the target.
    Busy,
    /// The host has not seen the drain.
    Unseen,
}

/// Asks an earlier holder whether it has stopped giving orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopQuestion {
    /// Group of the lease.
    pub group: id::Group,
    /// Run of the process that held it.
    pub incarnation: id::Incarnation,
    /// Epoch under which it held it.
    pub epoch: id::Epoch,
}

/// What a host says of a lease that it held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopStatus {
    /// That run sends nothing more under that epoch, and nothing is under way.
    Stopped,
    /// That run still holds the lease or an order is under way.
    Holding,
    /// The host cannot speak for that run.
    Unknown,
}

/// One host's demand in a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demands {
    /// Host that reports them.
    pub host: id::Host,
    /// Group whose engines are asked for.
    pub group: id::Group,
    /// Demand of each plan.
    pub plans: Vec<Demand>,
    /// Work asked of each model.
    pub work: Vec<Work>,
}

/// Work asked of one model, in engine seconds a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// The model.
    pub model: id::Model,
    /// Reading prompts.
    pub prefill: f64,
    /// Generating tokens.
    pub decode: f64,
}

/// Demand of one plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The plan.
    pub plan: id::Plan,
    /// Engine seconds asked for in a second.
    pub rate: f64,
}

/// One host's shares in a group.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shares {
    /// Share of each plan.
    pub plans: Vec<Share>,
    /// Work that all hosts together are asked for.
    pub work: Vec<Work>,
}

/// Share of one plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The plan.
    pub plan: id::Plan,
    /// Engine seconds a second that the plan may use through the host.
    pub rate: f64,
    /// Part of the plan's limits that holds on the host.
    pub part: f64,
}

/// What a host knows of the crashes of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Targets that crashed while they ran it.
    pub crashes: Vec<Crash>,
}

/// A target that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The target.
    pub target: id::Target,
    /// Run of its process.
    pub incarnation: id::Incarnation,
}
