//! Error answers to callers.

use std::time::Duration;

use serde::Serialize;

use crate::{
    link::http_server::{Response, VERDICT_HEADER},
    verdict::{self, Reason, Verdict},
};

/// Why a request ends without a complete answer, and what the caller may do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason, under which the refusal is counted.
    pub reason: Reason,
    /// Whether the request may have run; never less cautious than the reason's own verdict.
    pub verdict: Verdict,
    /// Description for the caller.
    pub message: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Callers' addresses of other entry hosts that may accept the request.
    pub hosts: Vec<std::net::SocketAddr>,
}

impl Refusal {
    /// Creates a refusal with the reason's own verdict.
    pub fn new(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal {
            reason,
            verdict: reason.verdict(),
            message: message.into(),
            retry_after: None,
            hosts: Vec::new(),
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Option<Duration>) -> Refusal {
        self.retry_after = retry_after;
        self
    }

    /// Sets the verdict, for a request that may have been sent.
    pub fn with_verdict(mut self, verdict: Verdict) -> Refusal {
        self.verdict = verdict;
        self
    }

    /// Sets the other hosts that may accept the request.
    pub fn with_hosts(mut self, hosts: Vec<std::net::SocketAddr>) -> Refusal {
        self.hosts = hosts;
        self
    }

    /// Returns the refusal as JSON, for response bodies and for the last event of a broken stream.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&wire::Refusal::from(self)).unwrap_or_default()
    }

    /// Returns the refusal as an HTTP response.
    pub fn to_response(&self, request_id: &str) -> Response {
        let response = Response::new(self.reason.status(), self.to_json())
            .with_header("content-type", "application/json")
            .with_header(VERDICT_HEADER, self.verdict.as_str())
            .with_header("x-request-id", request_id);
        match self.retry_after {
            Some(delay) => response.with_header("retry-after", &whole_seconds(delay).to_string()),
            None => response,
        }
    }
}

/// Rounds up to whole seconds, the unit of the `retry-after` header.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(0 < delay.subsec_nanos())
}

impl From<verdict::Refusal> for Refusal {
    fn from(it: verdict::Refusal) -> Refusal {
        Refusal::new(it.reason, it.reason.code()).with_retry_after(it.retry_after)
    }
}

mod wire {
    use super::*;

    #[derive(Serialize)]
    pub(super) struct Refusal {
        error: Error,
    }

    #[derive(Serialize)]
    struct Error {
        code: &'static str,
        message: String,
        verdict: Verdict,
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        hosts: Vec<std::net::SocketAddr>,
    }

    impl From<&super::Refusal> for Refusal {
        fn from(it: &super::Refusal) -> Refusal {
            Refusal {
                error: Error {
                    code: it.reason.code(),
                    message: it.message.clone(),
                    verdict: it.verdict,
                    retry_after_ms: it
                        .retry_after
                        .map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX)),
                    hosts: it.hosts.clone(),
                },
            }
        }
    }
}
