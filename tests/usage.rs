//! Streamed answers that end with the tokens that they took.

mod common;
mod deployment;

use deployment::{Fleet, MODEL, Shape};
use rstest::rstest;
use serde_json::{Value, json};

const TOKENS: u32 = 7;

/// The caller that asks for its usage gets it before the end mark; one that does not gets no such event.
#[rstest]
#[case::asked(true)]
#[case::not_asked(false)]
fn usage_included(#[case] include_usage: bool) {
    let fleet = Fleet::start(&Shape { engines: 1, hosts: 1, ..Shape::default() });
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": TOKENS, "prompt": "a quick stock question",
        "stream_options": {"include_usage": include_usage},
    });
    let rest = fleet.hosts[0].caller.stream_of(&body).rest();
    assert!(rest.is_whole, "{rest:?}");
    let last: Value = serde_json::from_str(&rest.last).unwrap();
    assert_eq!(last["choices"].as_array().unwrap().is_empty(), include_usage, "{last}");
    let generated = last["usage"]["completion_tokens"].as_u64();
    assert_eq!(generated, include_usage.then_some(u64::from(TOKENS)), "{last}");
}
