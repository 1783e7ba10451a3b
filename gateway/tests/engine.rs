//! Measured latencies of engines.

mod common;

use fuchsiaknot_gateway::placement::engine::LatencyModel;

use common::{ms, prompt};

/// The later tokens of very long prompts take longer to prefill. This is measured on such prompts
/// only, so that the estimates for short ones stay the same.
#[test]
fn long_prompts() {
    let mut latency_model = LatencyModel::default();
    let (short, long) = (prompt("s", 200, "p", 600), prompt("s", 5000, "p", 30_000));
    let short_before = latency_model.min_first_event_time(&short);
    // 30,000 tokens at 120 tokens per millisecond, 50% more for attention, and the base time of 30
    // ms.
    for _ in 0..60 {
        latency_model.record_lone_prefill(&long, 30_000, ms(405));
    }
    let weighted = latency_model.weighted_tokens(&long, 30_000);
    assert!((44_000..46_000).contains(&weighted), "{weighted}");
    assert!(latency_model.min_first_event_time(&short).abs_diff(short_before) < ms(1));
}

/// The prefill time of a queued prompt updates the rate but not the attention cost.
#[test]
fn queued_prompts() {
    let mut latency_model = LatencyModel::default();
    let long = prompt("s", 5000, "p", 30_000);
    let before = latency_model.weighted_tokens(&long, 30_000);
    for _ in 0..100 {
        latency_model.record_prefill(60_000, ms(1030));
    }
    assert_eq!(latency_model.weighted_tokens(&long, 30_000), before);
    assert!(ms(800) < latency_model.expected_prefill_time(60_000));
}
