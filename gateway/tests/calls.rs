//! Calls of a request to targets are counted as the users' retry budget counts them.

use fuchsiaknot_gateway::upstream::calls::Ledger;

fn record_prefill(calls: &mut Ledger, accepted: bool) {
    calls.record_call();
    if accepted {
        calls.record_accepted_prefill();
    }
}

/// A request that is prefilled on one engine and runs on another makes no further call.
#[test]
fn first_calls() {
    let mut calls = Ledger::default();
    record_prefill(&mut calls, true);
    calls.record_call();
    assert_eq!(calls.further_calls(), 0);
}

/// A second prefill counts like a run, also when the run in between never reached an engine.
#[test]
fn prefilled_again() {
    let mut calls = Ledger::default();
    record_prefill(&mut calls, true);
    record_prefill(&mut calls, true);
    calls.record_call();
    assert_eq!(calls.further_calls(), 1);
}

/// A retry after a broken run is paid with the prefill that it needs.
#[test]
fn retry_price() {
    let mut calls = Ledger::default();
    assert_eq!(calls.price(true), 0);
    record_prefill(&mut calls, true);
    calls.record_call();
    assert_eq!((calls.price(false), calls.price(true)), (1, 2));
}

/// Calls that were paid for and never reached a target are not paid for again.
#[test]
fn unreachable_free() {
    let mut calls = Ledger::default();
    record_prefill(&mut calls, true);
    assert_eq!(calls.price(false), 0);
    calls.record_call();
    calls.record_payment(calls.price(true));
    record_prefill(&mut calls, true);
    assert_eq!(calls.price(false), 0);
}

/// Whatever engines reject or refuse, the further calls never exceed those paid for.
#[test]
fn all_paid() {
    for outcomes in 0..1u32 << 16 {
        let (mut calls, mut paid) = (Ledger::default(), 0);
        for attempt in 0..4 {
            let bit = |number: u32| outcomes >> (4 * attempt + number) & 1 == 1;
            let (prefills, prefill_sent, accepted, run_sent) = (bit(0), bit(1), bit(2), bit(3));
            let price = calls.price(prefills);
            calls.record_payment(price);
            paid += price;
            if prefills && prefill_sent {
                record_prefill(&mut calls, accepted);
            }
            if run_sent && (!prefills || prefill_sent && accepted) {
                calls.record_call();
            }
            assert!(calls.further_calls() <= paid, "{outcomes:016b}");
        }
    }
}

/// A rejected prefill counts, and leaves the free one for later.
#[test]
fn rejected_prefill() {
    let mut calls = Ledger::default();
    record_prefill(&mut calls, false);
    record_prefill(&mut calls, true);
    calls.record_call();
    assert_eq!(calls.further_calls(), 1);
}

/// A call that did not reach its target costs nothing; one without a response counts.
#[test]
fn withdrawn_call() {
    let mut calls = Ledger::default();
    calls.record_call();
    calls.withdraw_call();
    assert_eq!(calls.price(true), 0);
    calls.record_call();
    assert_eq!(calls.price(false), 1);
}
