//! Calls of a request to targets are counted as the users' retry budget counts them.

use fuchsiaknot_gateway::calls::Ledger;

/// A request that is prefilled on one engine and runs on another makes no further call.
#[test]
fn first_calls() {
    let mut calls = Ledger::default();
    calls.record_prefill(true);
    calls.record_run();
    assert_eq!(calls.further_calls(), 0);
}

/// A second prefill counts like a run, also when the run in between never reached an engine.
#[test]
fn prefilled_again() {
    let mut calls = Ledger::default();
    calls.record_prefill(true);
    calls.record_prefill(true);
    calls.record_run();
    assert_eq!(calls.further_calls(), 1);
}

/// A rejected prefill counts, and leaves the free one for later.
#[test]
fn rejected_prefill() {
    let mut calls = Ledger::default();
    calls.record_prefill(false);
    calls.record_prefill(true);
    calls.record_run();
    assert_eq!(calls.further_calls(), 1);
}
