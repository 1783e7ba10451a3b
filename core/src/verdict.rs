//! Verdicts on whether a request may have run, and reasons for refusing or retrying one.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// What is known of whether a request that ended without a complete response was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No target has started the request, and none will.
    NotRun,
    /// A target may have started the request.
    MayHaveRun,
    /// A target ran the request to completion.
    Ran,
}

impl Verdict {
    /// Returns the value used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Declares the refusal reasons, each with its code, HTTP status and verdict.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = ($code:literal, $status:literal, $verdict:ident);)*) => {
        /// Why a request was refused or given up.
        ///
        /// Each reason has a counter `refused.<code>`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in the order of declaration.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// Returns the code used in bodies and counters.
            pub fn code(self) -> &'static str {
                match self { $(Reason::$name => $code,)* }
            }

            /// Returns the HTTP status of a response with this reason.
            pub fn status(self) -> u16 {
                match self { $(Reason::$name => $status,)* }
            }

            /// Returns the verdict that this reason implies.
            pub fn verdict(self) -> Verdict {
                match self { $(Reason::$name => Verdict::$verdict,)* }
            }
        }
    };
}

reasons! {
    /// The caller's key is missing or unknown. Checked before admission, so nothing was sent.
    Unauthorised = ("unauthorised", 401, NotRun);
    /// The request is malformed. Checked before admission, so nothing was sent.
    BadRequest = ("bad-request", 400, NotRun);
    /// The path is not part of the interface. Nothing was sent.
    NotFound = ("not-found", 404, NotRun);
    /// The model or service is unknown. Nothing was sent.
    UnknownModel = ("unknown-model", 404, NotRun);
    /// The plan does not include the model. Nothing was sent.
    ModelNotAllowed = ("model-not-allowed", 403, NotRun);
    /// The host has reached its connection limit. The connection was closed before a request was
    /// read.
    TooManyConnections = ("too-many-connections", 503, NotRun);
    /// The request header did not arrive in time. Nothing was sent.
    HeaderTimeout = ("header-timeout", 408, NotRun);
    /// The request header is larger than allowed. Nothing was sent.
    HeaderTooLarge = ("header-too-large", 431, NotRun);
    /// The request body did not arrive in time. Nothing was sent, since the body is read whole
    /// first.
    BodyTimeout = ("body-timeout", 408, NotRun);
    /// The request body is larger than allowed. Nothing was sent.
    BodyTooLarge = ("body-too-large", 413, NotRun);
    /// The bodies of all open requests take the memory set aside for them. Nothing was sent.
    OutOfMemory = ("out-of-memory", 503, NotRun);
    /// The caller's connection was idle for too long. No request was open on the connection.
    IdleTimeout = ("idle-timeout", 408, NotRun);
    /// The caller reads its response too slowly. The connection was closed.
    SlowReader = ("slow-reader", 408, Ran);
    /// The host is shutting down. Checked before admission.
    Leaving = ("leaving", 503, NotRun);
    /// The host's configuration is older than allowed, and a later one may be in force. Checked
    /// before admission.
    Stale = ("stale", 503, NotRun);
    /// The host has not yet read its configuration. Checked before admission.
    NotReady = ("not-ready", 503, NotRun);
    /// The plan's request rate is used up. The request was never queued.
    RateLimited = ("rate-limited", 429, NotRun);
    /// The plan has reached its limit on concurrent requests. The request was never queued.
    ConcurrencyLimited = ("concurrency-limited", 429, NotRun);
    /// The plan's token allowance is used up. The request was never queued.
    TokensLimited = ("tokens-limited", 429, NotRun);
    /// The plan's queue is full. The request was never queued.
    QueueFull = ("queue-full", 503, NotRun);
    /// The response is estimated to be late. Refused before any send.
    WouldBeLate = ("would-be-late", 503, NotRun);
    /// The deadline passed while the request waited in a queue. It was never sent.
    Expired = ("expired", 504, NotRun);
    /// No target can take the request now. Every attempt, if any, was refused before the request
    /// started.
    NoTarget = ("no-target", 503, NotRun);
    /// The prompt and its answer are larger than the memory of any target. Nothing was sent.
    TooLarge = ("too-large", 503, NotRun);
    /// The caller takes up a stream, and the software version at which it began is unknown. Nothing
    /// was sent.
    OriginUnknown = ("origin-unknown", 503, NotRun);
    /// The retry budget is used up, and every attempt was refused before the request started.
    RetryBudget = ("retry-budget", 503, NotRun);
    /// The request has crashed more than one target. This copy was not sent.
    CrashesTargets = ("crashes-targets", 422, NotRun);
    /// The claim could not be committed and its token is abandoned, so this copy is never sent.
    ClaimUnavailable = ("claim-unavailable", 503, NotRun);
    /// A copy with the same key is running elsewhere or its outcome is unknown.
    ClaimHeld = ("claim-held", 409, MayHaveRun);
    /// The idempotency key was used with another request. This request was not sent.
    KeyReused = ("key-reused", 422, NotRun);
    /// A request marked as not repeatable carries no idempotency key. Nothing was sent.
    KeyMissing = ("key-missing", 400, NotRun);
    /// The target failed after the request was sent.
    TargetFailed = ("target-failed", 502, MayHaveRun);
    /// The target sent nothing within the timeout after the request was sent.
    TargetSilent = ("target-silent", 504, MayHaveRun);
    /// The deadline passed after the request was sent.
    DeadlineExceeded = ("deadline-exceeded", 504, MayHaveRun);
    /// The host shut down while a target was running the request.
    ShutDown = ("shut-down", 504, MayHaveRun);
    /// The request ran, but its stored response is lost.
    AnswerLost = ("answer-lost", 410, Ran);
    /// The host failed internally after the request may have been sent.
    Internal = ("internal", 500, MayHaveRun);
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A refusal as sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused or given up.
    pub reason: Reason,
    /// Delay after which the caller may retry; `None` when a retry is no use.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with a retry delay.
    pub fn with_retry_after(reason: Reason, retry_after: Duration) -> Refusal {
        Refusal { reason, retry_after: Some(retry_after) }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Refusal {
        Refusal { reason, retry_after: None }
    }
}

/// Why a request was retried. Each reason has a counter `retried.<code>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The target refused the connection.
    ConnectRefused,
    /// The target refused the request before starting it.
    TargetRefused,
    /// The target failed while running a repeatable request.
    TargetFailed,
    /// The target sent nothing within the timeout.
    Silent,
}

impl RetryReason {
    /// Every retry reason.
    pub const ALL: &'static [RetryReason] = &[
        RetryReason::ConnectRefused,
        RetryReason::TargetRefused,
        RetryReason::TargetFailed,
        RetryReason::Silent,
    ];

    /// Returns the code used in the counter name.
    pub fn code(self) -> &'static str {
        match self {
            RetryReason::ConnectRefused => "connect-refused",
            RetryReason::TargetRefused => "target-refused",
            RetryReason::TargetFailed => "target-failed",
            RetryReason::Silent => "silent",
        }
    }
}
