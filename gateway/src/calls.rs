//! Counts the calls that a request makes to targets, and what its next attempt costs.

/// Calls of one request that reached a target.
///
/// A call that reads a prompt ahead for another engine is free once: the first one that an engine
/// accepts. Of all other calls, the first is the request itself and the rest are further calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Whether an engine has accepted a prefill.
    prefilled: bool,
    /// Calls that reached a target, without the first accepted prefill.
    calls: u32,
    /// Further calls taken from the retry budget, made or still to be made.
    paid: u32,
}

impl Ledger {
    /// Returns how many calls the next attempt has to take from the retry budget, when all its
    /// calls reach a target; `prefills` tells whether it begins with a prefill on another engine.
    pub fn price(&self, prefills: bool) -> u32 {
        let mut after = *self;
        if prefills {
            after.record_prefill(true);
        }
        after.record_run();
        after.further_calls().saturating_sub(self.paid)
    }

    /// Records calls taken from the retry budget.
    pub fn record_payment(&mut self, calls: u32) {
        self.paid += calls;
    }

    /// Records a prefill that reached an engine.
    pub fn record_prefill(&mut self, accepted: bool) {
        if accepted && !self.prefilled {
            self.prefilled = true;
        } else {
            self.calls += 1;
        }
    }

    /// Records a run that reached a target.
    pub fn record_run(&mut self) {
        self.calls += 1;
    }

    /// Returns the number of calls beyond the request's first.
    pub fn further_calls(&self) -> u32 {
        self.calls.saturating_sub(1)
    }
}
