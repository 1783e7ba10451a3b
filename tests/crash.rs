//! Requests that crash the targets that run them.

use std::time::Duration;

use fuchsiaknot::crash::{Crash, Suspects, Suspicion};

const MEMORY: Duration = Duration::from_secs(600);
const POISON: u64 = 1;
const INNOCENT: u64 = 2;

fn crash(target: &str) -> Crash {
    Crash { target: target.into(), incarnation: 7 }
}

fn is_refused(suspects: &Suspects, fingerprint: u64, now: Duration) -> bool {
    matches!(suspects.check(fingerprint, now), Suspicion::Refused { .. })
}

#[test]
fn second_crash_refused() {
    let mut suspects = Suspects::new(MEMORY);
    let now = Duration::from_secs(1);
    assert!(suspects.crashed(POISON, crash("engine-1"), now));
    assert!(!suspects.crashed(POISON, crash("engine-1"), now), "the same death counts once");
    assert_eq!(suspects.check(POISON, now), Suspicion::Suspect);
    suspects.crashed(POISON, crash("engine-2"), now);
    assert!(is_refused(&suspects, POISON, now + MEMORY - Duration::from_secs(1)));
    assert_eq!(suspects.check(POISON, now + MEMORY), Suspicion::Clear);
}

#[test]
fn forgotten_crash_uncounted() {
    let mut suspects = Suspects::new(MEMORY);
    suspects.crashed(POISON, crash("engine-1"), Duration::ZERO);
    suspects.crashed(POISON, crash("engine-2"), MEMORY);
    assert_eq!(suspects.check(POISON, MEMORY), Suspicion::Suspect);
}

#[test]
fn trials_apart() {
    let mut suspects = Suspects::new(MEMORY);
    let now = Duration::ZERO;
    for fingerprint in [POISON, INNOCENT] {
        suspects.crashed(fingerprint, crash("engine-1"), now);
    }
    let target = "engine-2".into();
    assert!(suspects.begin_trial(POISON, &target));
    assert!(!suspects.begin_trial(INNOCENT, &target));
    assert!(suspects.taken(INNOCENT).contains(&target));
    assert!(suspects.begin_trial(INNOCENT, &"engine-3".into()));
    suspects.crashed(POISON, crash("engine-2"), now);
    suspects.end_trial(POISON, &target);
    assert!(suspects.completed(INNOCENT, now).is_some());
    assert_eq!(suspects.check(INNOCENT, now), Suspicion::Clear);
    assert!(is_refused(&suspects, POISON, now));
    assert!(suspects.completed(POISON, now).is_none(), "a refusal is not cleared by a late answer");
}
