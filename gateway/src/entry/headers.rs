//! Headers that the request path reads, writes and forwards.

use std::collections::HashSet;

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
    http::request,
};
use smol_str::SmolStr;

/// Names of the request and response headers that callers, hosts and targets exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier that the caller gave the request; a new one for each of its retries.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender, a caller or a host, still waits for the response.
    pub deadline: HeaderName,
    /// Identifier of the target that is to run the request; another target refuses it.
    pub expected_target: HeaderName,
    /// Present in a response when the target did not run the request.
    pub not_run: HeaderName,
    /// Set to `1` in a response of a target that is leaving.
    pub target_leaving: HeaderName,
    /// Requests a second that the target takes from all hosts together; absent when it has no limit.
    pub target_limit: HeaderName,
    /// Identifier of the last event sent to the caller before a stream was resumed.
    pub last_event_id: HeaderName,
    /// Identifier of the caller's request that got the first event of the stream it takes up.
    pub resumed_stream: HeaderName,
    /// Number of prompt tokens, and the maximum number of tokens to generate.
    pub token_counts: HeaderName,
    /// Parts of the prompt in order, each with its number of tokens.
    pub prompt_parts: HeaderName,
    /// Stage that an engine is to run: prefill or decode.
    pub stage: HeaderName,
    /// Engine address and handle from which the prompt's KV cache is fetched.
    pub cache_source: HeaderName,
    /// Address of an engine from which another one first fetches what it lacks of the prompt.
    pub part_source: HeaderName,
    /// Value of the stage header that requests a prefill for another engine.
    pub prefill_stage: HeaderValue,
    /// Name of the client account, which targets are given where the configuration has accounts.
    pub account: HeaderName,
    /// Headers that only hosts may set; they are removed from callers' requests.
    pub reserved: HashSet<HeaderName>,
}

/// Format of the calls with which an engine prefills a prompt for another engine.
#[derive(Debug, Clone, Copy)]
pub struct PrefillApi {
    /// Parses the handle of the prefilled prompt from the response body of a prefill.
    pub parse_handle: fn(&[u8]) -> Option<SmolStr>,
    /// Returns the path to which a `DELETE` releases the prompt with a handle.
    pub release_path: fn(&str) -> String,
}

/// Returns whether a header applies to one connection only and must not be forwarded.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [&str; 4] = ["keep-alive", "proxy-connection", "te", "trailer"];
    [header::CONNECTION, header::TRANSFER_ENCODING, header::CONTENT_LENGTH, header::UPGRADE]
        .contains(name)
        || NAMES.contains(&name.as_str())
}

/// Returns the headers to forward: all but the hop-by-hop ones, which `Connection` may add to.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|it| it.split(',')).map(|it| it.trim().to_ascii_lowercase()).collect();
    let kept = headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !named.iter().any(|it| it == name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns whether a response is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|it| it.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns whether the sender of a response closes its connection.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION);
    connection.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Bytes of `: ` between name and value and of the line end after each header field.
const FIELD_SEPARATOR_BYTES: usize = 4;

/// Returns the approximate size of a request head in bytes.
pub fn head_bytes(parts: &request::Parts) -> usize {
    let fields = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    parts.uri.to_string().len() + fields.map(|it| it + FIELD_SEPARATOR_BYTES).sum::<usize>()
}
