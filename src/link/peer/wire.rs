//! Messages between entry hosts, encoded with bincode.
//!
//! The order and the types of fields and variants are part of the encoding; their names are not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{configuration::store::VersionedLists, id, refresh::Freshness, store::State};

/// An entry host as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Incarnation of the host's process.
    pub incarnation: id::Incarnation,
    /// Data centre of the host.
    pub data_centre: id::DataCentre,
    /// Address on which the host accepts callers.
    pub callers_address: SocketAddr,
    /// Address on which the host accepts peers.
    pub peers_address: SocketAddr,
    /// Whether the host is live or leaving.
    pub state: State,
}

/// A heartbeat, or the answer to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host that sends the heartbeat.
    pub from: Member,
    /// Incarnation of the receiver that the sender last heard from, if any.
    pub heard: Option<id::Incarnation>,
    /// Version of the configuration in force at the sender; `None` before the first configuration.
    pub version: Option<id::Version>,
    /// How current the sender's configuration is.
    pub freshness: Freshness,
    /// Load of the sender.
    pub load: Load,
}

/// Load of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Connections open at the callers' port.
    pub connections: u32,
    /// Maximum number of connections open at the callers' port.
    pub capacity: u32,
}

/// Notice that a row has changed, so that the receiver reads the table before its next refresh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// Name of the row.
    pub row: SmolStr,
    /// Version that the row's contents name.
    pub version: id::Version,
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: id::Version,
    /// The lists as JSON.
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

/// Asks the host that made a claim for the status of the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimQuestion {
    /// Incarnation of the process that made the claim.
    pub incarnation: id::Incarnation,
    /// Client account of the claimed request.
    pub customer: id::Customer,
    /// Idempotency key of the claimed request.
    pub key: SmolStr,
    /// Token of the claim.
    pub token: id::Token,
}

/// Status of a claim, according to the host that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claim was abandoned before any byte was sent; nothing will be sent under its token.
    Abandoned,
    /// The request was not sent yet; with this answer the claimant abandons the claim.
    NeverSent,
    /// The request was sent and has not ended.
    Sent,
    /// The request ran and returned this answer.
    Answered(Answer),
    /// The claimant does not know the claim or its outcome.
    Unknown,
}

/// A complete HTTP response to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// A header field of an [`Answer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: SmolStr,
    /// Value.
    pub value: String,
}

/// Asks a host whether it still has work at a target that is being drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainQuestion {
    /// Group of the target.
    pub group: id::Group,
    /// The target.
    pub target: id::Target,
    /// Revision of the group's row with which the drain began.
    pub revision: id::Version,
}

/// Status of a drain on one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainStatus {
    /// The host has seen the drain and has no work at the target any more.
    Drained,
    /// The host has seen the drain and still has work at the target.
    Busy,
    /// The host has not seen the drain.
    Unseen,
}

/// Asks an earlier holder of a lease whether it has stopped sending orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopQuestion {
    /// Group of the lease.
    pub group: id::Group,
    /// Incarnation of the process that held the lease.
    pub incarnation: id::Incarnation,
    /// Epoch in which the process held the lease.
    pub epoch: id::Epoch,
}

/// Status of a lease that a host held earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopStatus {
    /// The process sends no more orders under that epoch, and none is in flight.
    Stopped,
    /// The process still holds the lease, or an order is in flight.
    Holding,
    /// The host is no longer that incarnation, so it cannot tell.
    Unknown,
}

/// One host's demand in a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demands {
    /// Host that reports the demand.
    pub host: id::Host,
    /// Group of the engines that the demand is for.
    pub group: id::Group,
    /// Demand of each plan.
    pub plans: Vec<Demand>,
    /// Offered load of each model.
    pub offered_load: Vec<OfferedLoad>,
}

/// Offered load of one model, in engine-seconds per second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// The model.
    pub model: id::Model,
    /// Load of the prefill phase.
    pub prefill: f64,
    /// Load of the decode phase.
    pub decode: f64,
}

/// Demand of one plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The plan.
    pub plan: id::Plan,
    /// Demand, in engine-seconds per second.
    pub rate: f64,
}

/// One host's shares in a group.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shares {
    /// Share of each plan.
    pub plans: Vec<Share>,
    /// Offered load of each model on all hosts together.
    pub offered_load: Vec<OfferedLoad>,
}

/// Share of one plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The plan.
    pub plan: id::Plan,
    /// Engine time that the plan may use through the host, in engine-seconds per second.
    pub rate: f64,
    /// Fraction of the plan's limits that applies on the host, from 0 to 1.
    pub fraction: f64,
}

/// The target crashes that a host attributes to one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Targets that crashed while they ran the request.
    pub crashes: Vec<Crash>,
}

/// A crash of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The target.
    pub target: id::Target,
    /// Incarnation of the target's process that crashed.
    pub incarnation: id::Incarnation,
}
