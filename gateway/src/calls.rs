//! Counts the calls that a request makes to targets.

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
}

impl Ledger {
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
