//! Passive health checks of the targets, with exponential backoff after failures.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::targets::registry::Key;
use fuchsiaknot_core::clock::Moment;

/// Pause after the first failure; doubles with each consecutive failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; a target that recovered is tried again within this time.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest outcome in the failure rate.
const EWMA_WEIGHT: f64 = 0.1;

/// Health of one target.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    consecutive_failures: u32,
    paused_until: Moment,
    failure_rate: f64,
}

/// Health of the targets, based on this host's own requests.
#[derive(Debug, Default)]
pub struct Health {
    states: SecondaryMap<Key, State>,
}

impl Health {
    /// Records a request that a target answered.
    pub fn record_success(&mut self, key: Key) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.consecutive_failures = 0;
            state.paused_until = Moment::ZERO;
            state.failure_rate -= EWMA_WEIGHT * state.failure_rate;
        }
    }

    /// Records a request that failed although its target is reachable; doesn't pause the target.
    pub fn record_error(&mut self, key: Key) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.failure_rate += EWMA_WEIGHT * (1.0 - state.failure_rate);
        }
    }

    /// Records an unreachable target or an interrupted answer; pauses the target and returns for
    /// how long.
    pub fn record_failure(&mut self, key: Key, now: Moment) -> Duration {
        let Some(entry) = self.states.entry(key) else { return Duration::ZERO };
        let state = entry.or_default();
        state.failure_rate += EWMA_WEIGHT * (1.0 - state.failure_rate);
        let pause = INITIAL_PAUSE * 2u32.pow(state.consecutive_failures.min(4));
        state.consecutive_failures += 1;
        let pause = pause.min(MAX_PAUSE);
        state.paused_until = now + pause;
        pause
    }

    /// Pauses a target on the word of other hosts; its failure rate is that of this host's requests.
    pub fn pause(&mut self, key: Key, until: Moment) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.paused_until = state.paused_until.max(until);
        }
    }

    /// Returns whether a target should get no requests for now.
    pub fn is_paused(&self, key: Key, now: Moment) -> bool {
        self.states.get(key).is_some_and(|it| now < it.paused_until)
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, key: Key) -> f64 {
        self.states.get(key).map_or(0.0, |it| it.failure_rate)
    }
}
