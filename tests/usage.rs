//! Token usage at the end of a streamed answer.

mod common;
mod deployment;

use deployment::{Fleet, MODEL, Shape};
use rstest::rstest;
use serde_json::{Value, json};

const MAX_TOKENS: u32 = 7;

/// A stream has a usage event before its end marker only if the request sets `include_usage`.
#[rstest]
#[case::requested(true)]
#[case::not_requested(false)]
fn usage_included(#[case] include_usage: bool) {
    let fleet = Fleet::start(&Shape { engines: 1, hosts: 1, ..Shape::default() });
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": MAX_TOKENS, "prompt": "a quick stock question",
        "stream_options": {"include_usage": include_usage},
    });
    let rest = fleet.hosts[0].caller.stream_of(&body).rest();
    assert!(rest.is_whole, "{rest:?}");
    let last: Value = serde_json::from_str(&rest.last).unwrap();
    assert_eq!(last["choices"].as_array().unwrap().is_empty(), include_usage, "{last}");
    let generated = last["usage"]["completion_tokens"].as_u64();
    assert_eq!(generated, include_usage.then_some(u64::from(MAX_TOKENS)), "{last}");
}
