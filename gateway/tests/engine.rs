//! What is learned of how long engines take.

mod common;

use fuchsiaknot_gateway::engine::LatencyModel;

use common::{ms, prompt};

/// Pattern: prompts many times longer than the mean. Their later tokens take longer, which is learned
/// from them alone, so that the expectation for short ones stays.
#[test]
fn long_prompts() {
    let mut latency_model = LatencyModel::default();
    let (short, long) = (prompt("s", 200, "p", 600), prompt("s", 5000, "p", 30_000));
    let short_before = latency_model.min_first_event_time(&short);
    // 30,000 tokens at 120 in a millisecond, half as long again, and 30 ms that do not depend on them.
    for _ in 0..60 {
        latency_model.record_lone_prefill(&long, 30_000, ms(405));
    }
    let effort = latency_model.weighted_tokens(&long, 30_000);
    assert!((44_000..46_000).contains(&effort), "{effort}");
    assert!(latency_model.min_first_event_time(&short).abs_diff(short_before) < ms(1));
}

/// A prompt that stood behind others tells of the rate, not of its own length.
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
