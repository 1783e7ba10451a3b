//! Retries, bounded by verdict, budget and deadline, and the resumption of streams.

use std::time::Duration;

use fuchsiaknot::{
    retry::{Accepted, Assembly, Attempts, Budget, Decision, Gap, Policy, Repeat},
    target::{Chunk, Failure},
    verdict::{Reason, Verdict},
};
use proptest::{prelude::*, sample::Index};
use rstest::rstest;

const DEADLINE: Duration = Duration::from_secs(10);

fn fail_attempts(repeat: Repeat, failures: &[Failure]) -> (Attempts, Option<Decision>) {
    let policy = Policy::default();
    let mut budget = Budget::new(&policy);
    let mut attempts = Attempts::new(repeat, DEADLINE);
    let mut last = None;
    for failure in failures {
        last = Some(attempts.record_failure(failure, Duration::ZERO, 0.5, &policy, &mut budget));
    }
    (attempts, last)
}

fn token(index: u32) -> Chunk {
    Chunk::Token { index, text: format!(" t{index}").into() }
}

fn end(tokens: u32) -> Chunk {
    Chunk::End { tokens, cached: 0, finish: "stop".into() }
}

#[rstest]
#[case::connect(Failure::Connect(String::new()), None)]
#[case::refused(Failure::Refused(String::new()), None)]
#[case::broken(Failure::Broken(String::new()), Some(Reason::TargetFailed))]
#[case::silent(Failure::Silent, Some(Reason::TargetSilent))]
fn verdict_decides(#[case] failure: Failure, #[case] given_up: Option<Reason>) {
    let (_, decision) = fail_attempts(Repeat::Forbidden, std::slice::from_ref(&failure));
    match given_up {
        Some(reason) => assert_eq!(decision, Some(Decision::GiveUp(reason))),
        None => assert!(matches!(decision, Some(Decision::Retry { .. })), "{decision:?}"),
    }
    let (_, decision) = fail_attempts(Repeat::Allowed, &[failure]);
    assert!(matches!(decision, Some(Decision::Retry { .. })), "{decision:?}");
}

#[test]
fn worst_verdict_kept() {
    let refused = Failure::Connect(String::new());
    let failures = [Failure::Silent, refused.clone(), refused.clone(), refused.clone(), refused];
    let (attempts, decision) = fail_attempts(Repeat::Allowed, &failures);
    assert_eq!(attempts.verdict(), Verdict::MayHaveRun);
    assert_eq!(decision, Some(Decision::GiveUp(Reason::TargetSilent)));
}

#[test]
fn deadline_kept() {
    let policy = Policy::default();
    let mut budget = Budget::new(&policy);
    let mut attempts = Attempts::new(Repeat::Allowed, DEADLINE);
    let late = DEADLINE - policy.first_delay / 2;
    let refused = Failure::Refused(String::new());
    let decision = attempts.record_failure(&refused, late, 0.0, &policy, &mut budget);
    assert_eq!(decision, Decision::GiveUp(Reason::NoTarget));
    let mut attempts = Attempts::new(Repeat::Allowed, DEADLINE);
    let decision = attempts.record_failure(&Failure::Silent, late, 0.0, &policy, &mut budget);
    assert_eq!(decision, Decision::GiveUp(Reason::DeadlineExceeded));
}

#[test]
fn budget_shared() {
    let policy = Policy { budget_ratio: 0.1, budget_capacity: 2.0, ..Policy::default() };
    let mut budget = Budget::new(&policy);
    let mut granted = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt();
        let mut attempts = Attempts::new(Repeat::Allowed, DEADLINE);
        let refused = Failure::Refused(String::new());
        match attempts.record_failure(&refused, Duration::ZERO, 0.5, &policy, &mut budget) {
            Decision::Retry { .. } => granted += 1,
            Decision::GiveUp(reason) => assert_eq!(reason, Reason::RetryBudget),
        }
    }
    assert!((100..=102).contains(&granted), "{granted} retries for 1000 first attempts");
}

#[test]
fn delay_grows() {
    let policy = Policy::default();
    for attempt in 1..10 {
        let delays = [0.0, 0.5, 1.0].map(|it| policy.delay(attempt, it));
        assert!(delays[0] < delays[1] && delays[1] < delays[2]);
        assert!(policy.delay(attempt, 0.5) <= policy.delay(attempt + 1, 0.5));
        assert!(delays[2] <= policy.max_delay * 3 / 2);
    }
}

#[test]
fn earlier_attempt_ignored() {
    let mut assembly = Assembly::new();
    assert_eq!(assembly.accept(1, token(0)), Ok(Accepted::Tokens(vec![" t0".into()])));
    assert_eq!(assembly.next_attempt(), 2);
    assert_eq!(assembly.accept(1, token(1)), Ok(Accepted::Nothing));
    assert_eq!(assembly.accept(1, end(1)), Ok(Accepted::Nothing));
    assert_eq!(assembly.resume_at(), 1);
    assert_eq!(assembly.accept(2, token(1)), Ok(Accepted::Tokens(vec![" t1".into()])));
}

#[test]
fn missing_token_found() {
    let mut assembly = Assembly::new();
    assert!(assembly.accept(1, token(0)).is_ok());
    assert_eq!(assembly.accept(1, token(2)), Ok(Accepted::Nothing));
    assert_eq!(assembly.accept(1, end(3)), Err(Gap { missing: 1 }));
    assert!(!assembly.is_complete());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whichever pieces each attempt delivers, in whatever order, the caller gets each token once
    /// and in order.
    #[test]
    fn answer_whole(
        length in 1u32..40,
        attempts in prop::collection::vec(prop::collection::vec(any::<Index>(), 0..60), 0..5),
    ) {
        let mut assembly = Assembly::new();
        let mut answer = Vec::new();
        for picks in &attempts {
            let attempt = assembly.attempt();
            for pick in picks {
                let piece = token(pick.index(length as usize) as u32);
                let accepted = assembly.accept(attempt, piece.clone()).expect("few tokens out of order");
                if let Accepted::Tokens(tokens) = accepted {
                    answer.extend(tokens);
                }
                prop_assert_eq!(assembly.accept(attempt.wrapping_sub(1), piece), Ok(Accepted::Nothing));
            }
            assembly.next_attempt();
        }
        let attempt = assembly.attempt();
        for index in assembly.resume_at()..length {
            if let Ok(Accepted::Tokens(tokens)) = assembly.accept(attempt, token(index)) {
                answer.extend(tokens);
            }
        }
        let whole: Vec<_> = (0..length).map(|it| format!(" t{it}")).collect();
        prop_assert_eq!(answer, whole);
        let ended = matches!(assembly.accept(attempt, end(length)), Ok(Accepted::End { .. }));
        prop_assert!(ended);
    }
}
