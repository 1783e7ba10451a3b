//! Small stand-ins for the platform, an engine and a plain service, for tests and experiments.
//!
//! All of them are served by [`crate::link::http_server`], since that port can stream an answer, hold it, or
//! cut its connection without one.

pub mod cli;
pub mod engine;
pub mod platform;
pub mod presence;
pub mod service;

use serde::de::DeserializeOwned;

pub use self::{engine::Engine, platform::Platform, service::Service};
use crate::link::http_server::{Limits, Request, Response};

/// Why a stand-in does not carry a request out.
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

/// Reads a JSON body.
fn body<T: DeserializeOwned>(request: &Request) -> Result<T, Refusal> {
    serde_json::from_slice(&request.body).map_err(|it| Refusal::new(400, it.to_string()))
}

/// Returns an answer without a body.
fn done() -> Response {
    Response::new(200, "")
}

/// Largest body that a stand-in takes, in bytes.
const BODY_BYTES: usize = 64 << 20;

/// Returns the bounds of a stand-in's port.
fn bounds() -> Limits {
    Limits { max_body_bytes: BODY_BYTES, ..Limits::default() }
}

/// Splits `<first>/<rest>` off a path without its leading slash.
fn split(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}
