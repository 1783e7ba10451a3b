//! In-memory stand-ins for the platform, an engine and a plain service, for tests and measurements.
//!
//! All of them use [`crate::link::http_server`], since that server can stream a response, delay it,
//! or close the connection without one.

pub mod cli;
pub mod engine;
pub mod heartbeat;
pub mod platform;
pub mod service;

use serde::de::DeserializeOwned;

pub use self::{engine::Engine, platform::Platform, service::Service};
use crate::link::http_server::{Limits, Request, Response};

/// Reason why a stand-in rejects a request, sent as a plain-text response.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Refusal {
    status: u16,
    text: String,
}

impl Refusal {
    fn new(status: u16, text: impl Into<String>) -> Refusal {
        Refusal { status, text: text.into() }
    }
}

impl From<Refusal> for Response {
    fn from(it: Refusal) -> Response {
        Response::new(it.status, it.text).with_header("content-type", "text/plain")
    }
}

/// Parses the JSON body of a request.
///
/// # Errors
/// Returns a 400 response if the body is not valid JSON of type `T`.
fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, Refusal> {
    serde_json::from_slice(&request.body).map_err(|it| Refusal::new(400, it.to_string()))
}

/// Returns a 200 response without a body.
fn empty_response() -> Response {
    Response::new(200, "")
}

/// Largest request body that a stand-in accepts, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Returns the limits of a stand-in's HTTP server.
fn server_limits() -> Limits {
    Limits { max_body_bytes: MAX_BODY_BYTES, ..Limits::default() }
}

/// Splits a path into its first segment and the rest, without the slashes around the first segment.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}
