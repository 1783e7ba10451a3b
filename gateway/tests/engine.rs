//! What is learned of how long engines take.

mod common;

use fuchsiaknot_gateway::engine::Times;

use common::{ms, prompt};

/// Pattern: prompts many times longer than the mean. Their later tokens take longer, which is learned
/// from them alone, so that the expectation for short ones stays.
#[test]
fn long_prompts() {
    let mut times = Times::default();
    let (short, long) = (prompt("s", 200, "p", 600), prompt("s", 5000, "p", 30_000));
    let short_before = times.least(&short);
    // 30,000 tokens at 120 in a millisecond, half as long again, and 30 ms that do not depend on them.
    for _ in 0..60 {
        times.read_alone(&long, 30_000, ms(405));
    }
    let effort = times.effort(&long, 30_000);
    assert!((44_000..46_000).contains(&effort), "{effort}");
    assert!(times.least(&short).abs_diff(short_before) < ms(1));
}

/// A prompt that stood behind others tells of the rate, not of its own length.
#[test]
fn queued_prompts() {
    let mut times = Times::default();
    let long = prompt("s", 5000, "p", 30_000);
    let before = times.effort(&long, 30_000);
    for _ in 0..100 {
        times.read(60_000, ms(1030));
    }
    assert_eq!(times.effort(&long, 30_000), before);
    assert!(ms(800) < times.expected(60_000));
}
