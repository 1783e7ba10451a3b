//! Names of the headers that the request path reads and writes.

use std::collections::HashSet;

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
    http::request,
};
use smol_str::SmolStr;

/// Names of the headers by which callers, hosts and targets tell each other about a request.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the caller, or the host, goes on waiting.
    pub deadline: HeaderName,
    /// Identity of the target that is to run the request; any other refuses.
    pub expected_target: HeaderName,
    /// Says that the target did not run the request.
    pub not_run: HeaderName,
    /// Last event that the caller of a resumed stream has.
    pub last_event_id: HeaderName,
    /// Tokens of the prompt, and the most to be generated.
    pub token_counts: HeaderName,
    /// Parts of the prompt in order, with their tokens.
    pub prompt_parts: HeaderName,
    /// What an engine is to do with the request.
    pub stage: HeaderName,
    /// Engine and handle from which an engine fetches the prompt's cache.
    pub cache_source: HeaderName,
    /// Value of the stage header that has an engine read a prompt for another.
    pub prefill_stage: HeaderValue,
    /// HeaderNames that only the system sets; those that a caller sent are dropped.
    pub reserved: HashSet<HeaderName>,
}

/// PrefillApi to an engine about the prompts that it keeps for others.
#[derive(Debug, Clone, Copy)]
pub struct PrefillApi {
    /// Reads the name of the kept prompt from the answer to a prefill.
    pub parse_handle: fn(&[u8]) -> Option<SmolStr>,
    /// Returns the path under which a kept prompt is dropped.
    pub release_path: fn(&str) -> String,
}

/// Returns whether a header concerns one connection only.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [&str; 4] = ["keep-alive", "proxy-connection", "te", "trailer"];
    [header::CONNECTION, header::TRANSFER_ENCODING, header::CONTENT_LENGTH, header::UPGRADE]
        .contains(name)
        || NAMES.contains(&name.as_str())
}

/// Returns the headers that are passed on, without those of the connection.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|it| it.split(',')).map(|it| it.trim().to_ascii_lowercase()).collect();
    let kept = headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !named.iter().any(|it| it == name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Bytes that separate a field's name, its value and the next field.
const FIELD_SEPARATOR_BYTES: usize = 4;

/// Returns about how many bytes a request's head takes.
pub fn head_bytes(parts: &request::Parts) -> usize {
    let fields = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    parts.uri.to_string().len() + fields.map(|it| it + FIELD_SEPARATOR_BYTES).sum::<usize>()
}
