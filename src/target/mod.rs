//! Targets: engines that serve models and replicas of plain services.

pub mod client;
pub mod prefix;
pub mod stream;
pub mod wire;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::{client::Client, stream::Stream};
use crate::{id, verdict::Verdict};

/// Tokens in one piece of an engine's prefix cache.
pub const PIECE_TOKENS: u32 = 2_000;

/// What part of the work an engine takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads prompts and exports their KV cache.
    Prefill,
    /// Imports KV cache and generates tokens.
    Decode,
    /// Does both.
    Mixed,
}

/// Fencing number of an order: a lease's epoch and a number within it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Fence {
    /// Epoch of the lease under which the order was given.
    pub epoch: id::Epoch,
    /// Number within the epoch.
    pub sequence: id::Sequence,
}

/// What an order asks of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action", content = "argument")]
pub enum Action {
    /// Changes nothing; raises the target's fencing floor.
    Nothing,
    /// Changes the role.
    Role(Role),
    /// Loads a model in place of the present one.
    Model(id::Model),
    /// Loads an adapter beside the model.
    Adapter(SmolStr),
    /// Loads a version of the model's weights.
    Version(SmolStr),
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; unique for the group.
    pub fence: Fence,
    /// Host that gives the order.
    pub holder: id::Host,
    /// What is asked.
    #[serde(flatten)]
    pub action: Action,
}

/// How far the target's last order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The change is under way.
    Running,
    /// The change is complete.
    Done,
    /// The change failed and the target is as before.
    Failed,
}

/// The last order that a target took.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// Fencing number of the order.
    pub fence: Fence,
    /// How far it has come.
    pub progress: Progress,
}

/// A target's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Receipt {
    /// The target carries the order out, or had already taken the same one.
    Accepted,
    /// The target has seen a higher fencing number.
    Fenced(Fence),
    /// The target carries out another order.
    Busy,
}

/// A load report as a target last published it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Run of the target's process.
    pub incarnation: id::Incarnation,
    /// Rises with each report of a run.
    pub number: u64,
    /// Age of the figures when the report was sent.
    pub age: Duration,
    /// Present role; `None` for plain services.
    pub role: Option<Role>,
    /// Model or service that it serves.
    pub serves: SmolStr,
    /// Adapters that are loaded.
    pub adapters: Vec<SmolStr>,
    /// Version of the weights.
    pub version: SmolStr,
    /// Whether it takes requests; false during a change.
    pub serving: bool,
    /// Whether it refuses orders with an older fencing number.
    pub checks_fence: bool,
    /// Last order taken, if any.
    pub order: Option<AcceptedOrder>,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u64,
    /// Tokens of KV cache in use.
    pub kv_tokens: u64,
    /// Tokens of KV cache that fit.
    pub kv_capacity: u64,
    /// Requests that it may run at once.
    pub slots: u32,
}

/// A request for generated text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Identifier, unique for each attempt.
    #[serde(rename = "request")]
    pub request_id: SmolStr,
    /// Model asked for.
    pub model: id::Model,
    /// Adapter asked for, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<SmolStr>,
    /// Prompt text; one token a word in the stand-ins.
    pub prompt: String,
    /// Most tokens to generate, counted from the start of the answer.
    pub max_tokens: u32,
    /// First token wanted, from 0; earlier ones are already with the caller.
    #[serde(default)]
    pub resume_at: u32,
    /// Higher goes first.
    #[serde(default)]
    pub priority: i32,
    /// KV cache to import instead of reading the prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvExport>,
}

/// Where an engine finds exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Engine that exported it, as an address for its peers.
    pub address: std::net::SocketAddr,
    /// Handle given by the export.
    pub handle: SmolStr,
    /// Prompt tokens that it covers.
    pub tokens: u32,
}

/// One generated token or the end of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Chunk {
    /// A token with its place in the answer, from 0.
    Token {
        /// Place in the answer.
        index: u32,
        /// Text, with its leading space where it has one.
        text: SmolStr,
    },
    /// The answer is complete.
    End {
        /// Tokens in the whole answer.
        tokens: u32,
        /// Prompt tokens that were found in the prefix cache.
        cached: u32,
        /// Why generation stopped: `stop` or `length`.
        finish: SmolStr,
    },
}

/// A call to a target that gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The connection was refused or could not be opened; nothing was sent.
    #[error("connection refused: {0}")]
    Connect(String),
    /// The target refused the request before it started.
    #[error("refused by the target: {0}")]
    Refused(String),
    /// The connection ended or the answer was malformed after the request was sent.
    #[error("failed after the request was sent: {0}")]
    Broken(String),
    /// Nothing arrived for longer than the silence bound after the request was sent.
    #[error("silent for longer than the bound")]
    Silent,
    /// The caller of this function cancelled the call.
    #[error("cancelled")]
    Cancelled,
}

impl Failure {
    /// Returns whether the target may have started the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Failure::Connect(_) | Failure::Refused(_) => Verdict::NotRun,
            Failure::Broken(_) | Failure::Silent | Failure::Cancelled => Verdict::MayHaveRun,
        }
    }
}

/// KvExport events published since a number, possibly late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Run of the target's process.
    pub incarnation: id::Incarnation,
    /// Number of the newest event in the batch.
    pub last: u64,
    /// Events by number; missing numbers are gaps.
    pub events: BTreeMap<u64, CacheEvent>,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The piece with this chained hash was stored.
    Stored(u64),
    /// The piece with this chained hash was dropped.
    Dropped(u64),
}

/// An engine that serves one model.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Pieces of an answer as they arrive; dropping it cancels the generation.
    type Stream: Iterator<Item = Result<Chunk, Failure>> + Send;

    /// Starts a generation.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the engine may have started it.
    fn generate(&self, generation: &Generation) -> Result<Self::Stream, Failure>;

    /// Reads the prompt only and exports its KV cache.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the engine may have started it.
    fn prefill(&self, generation: &Generation) -> Result<KvExport, Failure>;

    /// Cancels a generation; unknown ones are ignored.
    ///
    /// # Errors
    /// Fails when the engine does not answer.
    fn cancel(&self, request_id: &str) -> Result<(), Failure>;

    /// Returns the cache events after number `since`.
    ///
    /// # Errors
    /// Fails when the engine does not answer.
    fn cache_events(&self, since: u64) -> Result<CacheEvents, Failure>;
}

/// What every target can be asked.
pub trait Control: Clone + Send + Sync + 'static {
    /// Returns the newest load report.
    ///
    /// # Errors
    /// Fails when the target does not answer.
    fn report(&self) -> Result<Report, Failure>;

    /// Gives an order on a connection of its own that is used once.
    ///
    /// `confirm` is called right before the last byte is written; the order is not sent when it
    /// returns false.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the target may have taken the order.
    fn send_order(&self, order: &Order, confirm: impl FnOnce() -> bool)
    -> Result<Receipt, Failure>;
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: SmolStr,
    /// Path with the query, from the first slash.
    pub path: SmolStr,
    /// Header fields to pass on.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body.
    pub body: Vec<u8>,
    /// Time allowed for the whole call.
    pub timeout: Duration,
}

/// A plain service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header fields that are text.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A replica of a plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Calls the service and waits for its whole answer.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the service may have run the call.
    fn call(&self, call: &Call) -> Result<Answer, Failure>;
}
