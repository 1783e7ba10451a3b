//! How a target answered lately, and when it may be tried again after failures.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::registry::Key;
use fuchsiaknot_core::clock::Moment;

/// Pause after the first failure; doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; a target that returned is found within it.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest outcome in the share of failures.
const EWMA_WEIGHT: f64 = 0.1;

/// What is known of one target.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    consecutive_failures: u32,
    paused_until: Moment,
    failure_rate: f64,
}

/// Health of the targets as this host's own requests show it.
#[derive(Debug, Default)]
pub struct Health {
    states: SecondaryMap<Key, State>,
}

impl Health {
    /// Notes a request that a target answered.
    pub fn record_success(&mut self, key: Key) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.consecutive_failures = 0;
            state.paused_until = Moment::ZERO;
            state.failure_rate -= EWMA_WEIGHT * state.failure_rate;
        }
    }

    /// Notes an answer that tells of a fault in the request's run, with the target there.
    pub fn record_error(&mut self, key: Key) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.failure_rate += EWMA_WEIGHT * (1.0 - state.failure_rate);
        }
    }

    /// Notes a target that could not be reached or broke off; returns the pause that begins.
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

    /// Returns whether a target is to be left alone for now.
    pub fn is_paused(&self, key: Key, now: Moment) -> bool {
        self.states.get(key).is_some_and(|it| now < it.paused_until)
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, key: Key) -> f64 {
        self.states.get(key).map_or(0.0, |it| it.failure_rate)
    }
}
