//! Counts the calls that a request makes to targets, and what its next attempt costs.

/// What a call asks a target for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Call {
    /// To run the request.
    #[default]
    Run,
    /// To prefill the prompt for another engine.
    Prefill,
}

impl Call {
    /// Returns the label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Call::Run => "run",
            Call::Prefill => "prefill",
        }
    }
}

/// Calls of one request that were written to a target.
///
/// A call that reads a prompt ahead for another engine is free once: the first one that an engine
/// accepts. Of all other calls, the first is the request itself and the rest are further calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Whether an engine has accepted a prefill.
    prefilled: bool,
    /// Calls that were written to a target, without the first accepted prefill.
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
            after.record_call();
            after.record_accepted_prefill();
        }
        after.record_call();
        after.further_calls().saturating_sub(self.paid)
    }

    /// Records calls taken from the retry budget.
    pub fn record_payment(&mut self, calls: u32) {
        self.paid += calls;
    }

    /// Records a call before its response, which may never come.
    pub fn record_call(&mut self) {
        self.calls += 1;
    }

    /// Takes back a call that did not reach its target.
    pub fn withdraw_call(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// Records that an engine accepted the last prefill; the first one is free.
    pub fn record_accepted_prefill(&mut self) {
        if !self.prefilled {
            self.prefilled = true;
            self.withdraw_call();
        }
    }

    /// Returns the number of calls beyond the request's first.
    pub fn further_calls(&self) -> u32 {
        self.calls.saturating_sub(1)
    }
}
