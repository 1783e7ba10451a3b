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

/// Inference phases that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills prompts and exports their KV cache.
    Prefill,
    /// Imports KV cache and decodes.
    Decode,
    /// Runs both phases.
    Mixed,
}

/// Fencing token of an order, compared by epoch and then by sequence number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Fence {
    /// Epoch of the lease under which the order is sent.
    pub epoch: id::Epoch,
    /// Sequence number within the epoch.
    pub sequence: id::Sequence,
}

/// Change that an order requests of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action", content = "argument")]
pub enum Action {
    /// Changes nothing, but raises the lowest fencing token that the target still accepts.
    Nothing,
    /// Switches the engine to a role.
    Role(Role),
    /// Replaces the loaded model.
    Model(id::Model),
    /// Loads an adapter for the model.
    Adapter(SmolStr),
    /// Loads another version of the model's weights.
    Version(SmolStr),
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token, unique within the group.
    pub fence: Fence,
    /// Host that sends the order as holder of the group's lease.
    pub holder: id::Host,
    /// Requested change.
    #[serde(flatten)]
    pub action: Action,
}

/// Progress of the last order that a target accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The change is in progress.
    Running,
    /// The change is complete.
    Done,
    /// The change failed and left the target unchanged.
    Failed,
}

/// The last order that a target accepted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// Fencing token of the order.
    pub fence: Fence,
    /// Progress of the change.
    pub progress: Progress,
}

/// Response of a target to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Receipt {
    /// The target carries out the order, or accepted the same order before.
    Accepted,
    /// The target has seen this higher fencing token, so the order has no effect.
    Fenced(Fence),
    /// The target is still carrying out another order.
    Busy,
}

/// Load report that a target publishes periodically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the target's process.
    pub incarnation: id::Incarnation,
    /// Report number, increasing within an incarnation.
    pub number: u64,
    /// Age of the measurements when the report was sent.
    pub age: Duration,
    /// Current role; `None` for plain services.
    pub role: Option<Role>,
    /// Model or service that the target serves.
    pub serves: SmolStr,
    /// Loaded adapters.
    pub adapters: Vec<SmolStr>,
    /// Version of the weights.
    pub version: SmolStr,
    /// Whether the target accepts requests; false while an order changes it.
    pub serving: bool,
    /// Whether the target refuses orders with a lower fencing token than it has seen.
    pub checks_fence: bool,
    /// Last accepted order, if any.
    pub order: Option<AcceptedOrder>,
    /// Running requests.
    pub running: u32,
    /// Requests in the target's queue.
    pub queued: u32,
    /// Tokens that remain to be prefilled, in running and queued requests.
    pub queued_tokens: u64,
    /// KV cache in use, in tokens.
    pub kv_tokens: u64,
    /// KV cache capacity, in tokens.
    pub kv_capacity: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// A text generation request to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Request id, different for each attempt.
    #[serde(rename = "request")]
    pub request_id: SmolStr,
    /// Requested model.
    pub model: id::Model,
    /// Requested adapter, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<SmolStr>,
    /// Prompt text; the stand-ins count each word as one token.
    pub prompt: String,
    /// Maximum length of the whole answer in tokens, including those before `resume_at`.
    pub max_tokens: u32,
    /// Index of the first token to send, from 0; the caller already has the earlier tokens.
    #[serde(default)]
    pub resume_at: u32,
    /// Scheduling priority; higher values run first.
    #[serde(default)]
    pub priority: i32,
    /// KV cache to import instead of prefilling the prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvExport>,
}

/// Reference to KV cache that one engine exported for another to import.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Address at which the exporting engine serves the cache to other engines.
    pub address: std::net::SocketAddr,
    /// Handle of the cache at the exporting engine.
    pub handle: SmolStr,
    /// Prompt tokens that the cache covers.
    pub tokens: u32,
}

/// Element of a streamed answer: a token or the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Chunk {
    /// A generated token.
    Token {
        /// Position in the answer, from 0.
        index: u32,
        /// Text, including a leading space if the token has one.
        text: SmolStr,
    },
    /// The answer is complete.
    End {
        /// Length of the whole answer in tokens.
        tokens: u32,
        /// Prompt tokens found in the prefix cache.
        cached: u32,
        /// Why generation stopped: `stop` or `length`.
        finish: SmolStr,
    },
}

/// Reason why a call to a target returned no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The connection was refused or could not be opened; nothing was sent.
    #[error("connection refused: {0}")]
    Connect(String),
    /// The target refused the request before running it.
    #[error("refused by the target: {0}")]
    Refused(String),
    /// The connection closed or the answer was malformed after the request was sent.
    #[error("failed after the request was sent: {0}")]
    Broken(String),
    /// No data arrived within the inactivity timeout after the request was sent.
    #[error("no data arrived within the inactivity timeout")]
    Silent,
    /// The call was cancelled on this side.
    #[error("cancelled")]
    Cancelled,
}

impl Failure {
    /// Returns whether the target may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Failure::Connect(_) | Failure::Refused(_) => Verdict::NotRun,
            Failure::Broken(_) | Failure::Silent | Failure::Cancelled => Verdict::MayHaveRun,
        }
    }
}

/// Prefix-cache events after a given number, possibly delayed and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine's process.
    pub incarnation: id::Incarnation,
    /// Number of the newest event in the batch.
    pub last: u64,
    /// Events by number; a missing number is a lost event.
    pub events: BTreeMap<u64, CacheEvent>,
}

/// A change to an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The piece with this chained hash was stored.
    Stored(u64),
    /// The piece with this chained hash was evicted.
    Dropped(u64),
}

/// An engine that serves one model.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Chunks of an answer as they arrive; dropping the stream cancels the generation.
    type Stream: Iterator<Item = Result<Chunk, Failure>> + Send;

    /// Starts a generation.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the engine may have started it.
    fn generate(&self, generation: &Generation) -> Result<Self::Stream, Failure>;

    /// Prefills the prompt without decoding and exports its KV cache.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the engine may have started it.
    fn prefill(&self, generation: &Generation) -> Result<KvExport, Failure>;

    /// Cancels a generation; an unknown request id has no effect.
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

/// Control interface of every target.
pub trait Control: Clone + Send + Sync + 'static {
    /// Returns the newest load report.
    ///
    /// # Errors
    /// Fails when the target does not answer.
    fn report(&self) -> Result<Report, Failure>;

    /// Sends an order on a new connection that is closed afterwards.
    ///
    /// `confirm` is called right before the last byte is written. If it returns false, the last
    /// byte is withheld, and the target never receives a complete order.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the target may have accepted the order.
    fn send_order(&self, order: &Order, confirm: impl FnOnce() -> bool)
    -> Result<Receipt, Failure>;
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query, starting with a slash.
    pub path: SmolStr,
    /// Header fields to forward.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

/// Complete response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields whose values are visible ASCII; others are dropped.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Response body.
    pub body: Vec<u8>,
}

/// A replica of a plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Calls the service and waits for the complete response.
    ///
    /// # Errors
    /// [`Failure::verdict`] tells whether the service may have run the call.
    fn call(&self, call: &Call) -> Result<Answer, Failure>;
}
