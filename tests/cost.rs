//! The cost model learns prefill rates, decode step times and answer lengths from served requests.

use std::time::Duration;

use fuchsiaknot::cost::{Config, EngineRates, OutputLengths};
use rstest::rstest;

#[rstest]
#[case::slower(8_000.0)]
#[case::faster(60_000.0)]
fn prefill_rate_learned(#[case] rate: f64) {
    let mut rates = EngineRates::new(Config::default());
    for tokens in (0..200).map(|it| 1_000 + 50 * it) {
        rates.observe_prefill(tokens, Duration::from_secs_f64(f64::from(tokens) / rate));
    }
    assert!((rates.prefill_rate() / rate - 1.0).abs() < 0.05, "{}", rates.prefill_rate());
}

#[test]
fn outlier_clamped() {
    let mut rates = EngineRates::new(Config::default());
    for _ in 0..100 {
        rates.observe_prefill(2_000, Duration::from_millis(100));
    }
    rates.observe_prefill(2_000, Duration::from_secs(600));
    assert!((rates.prefill_rate() / 20_000.0 - 1.0).abs() < 0.05, "{}", rates.prefill_rate());
}

#[test]
fn step_time_learned() {
    let mut rates = EngineRates::new(Config::default());
    for batch in (0..4_000).map(|it| f64::from(it % 40 + 1)) {
        rates.observe_step(batch, Duration::from_secs_f64(0.020 + 0.001 * batch));
    }
    for batch in [1.0, 20.0, 40.0] {
        let step = rates.step_time(batch).as_secs_f64();
        assert!((step / (0.020 + 0.001 * batch) - 1.0).abs() < 0.1, "batch {batch}: {step}");
    }
    let max_batch = rates.max_batch(Duration::from_millis(48));
    assert!((max_batch - 28.0).abs() < 4.0, "{max_batch}");
}

#[test]
fn lengths_per_plan() {
    let mut lengths = OutputLengths::new(Config::default());
    let (model, short, long) = ("m".into(), "short".into(), "long".into());
    for _ in 0..200 {
        lengths.observe(&short, &model, 20);
        lengths.observe(&long, &model, 900);
    }
    assert!((15..=30).contains(&lengths.expected(&short, &model, 4_096)));
    assert!((800..=1_000).contains(&lengths.expected(&long, &model, 4_096)));
    assert_eq!(lengths.expected(&long, &model, 100), 100);
}

#[test]
fn tracked_pairs_bounded() {
    let config = Config { max_output_lengths: 2, ..Config::default() };
    let mut lengths = OutputLengths::new(config.clone());
    for plan in ["a", "b", "c"] {
        for _ in 0..100 {
            lengths.observe(&plan.into(), &"m".into(), 10);
        }
    }
    assert!(lengths.expected(&"a".into(), &"m".into(), 999) < 30);
    assert_eq!(lengths.expected(&"c".into(), &"m".into(), 999), config.output_tokens);
}
