//! How a target answered lately, and when it may be tried again after failures.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::registry::Key;
use fuchsiaknot_core::clock::Moment;

/// Pause after the first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; a target that returned is found within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest outcome in the share of failures.
const NEWEST: f64 = 0.1;

/// What is known of one target.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    consecutive: u32,
    paused_until: Moment,
    failures: f64,
}

/// Health of the targets as this host's own requests show it.
#[derive(Debug, Default)]
pub struct Health {
    states: SecondaryMap<Key, State>,
}

impl Health {
    /// Notes a request that a target answered.
    pub fn succeeded(&mut self, key: Key) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.consecutive = 0;
            state.paused_until = Moment::ZERO;
            state.failures -= NEWEST * state.failures;
        }
    }

    /// Notes an answer that tells of a fault in the request's run, with the target there.
    pub fn erred(&mut self, key: Key) {
        if let Some(entry) = self.states.entry(key) {
            let state = entry.or_default();
            state.failures += NEWEST * (1.0 - state.failures);
        }
    }

    /// Notes a target that could not be reached or broke off; returns the pause that begins.
    pub fn failed(&mut self, key: Key, now: Moment) -> Duration {
        let Some(entry) = self.states.entry(key) else { return Duration::ZERO };
        let state = entry.or_default();
        state.failures += NEWEST * (1.0 - state.failures);
        let pause = FIRST_PAUSE * 2u32.pow(state.consecutive.min(4));
        state.consecutive += 1;
        let pause = pause.min(LONGEST_PAUSE);
        state.paused_until = now + pause;
        pause
    }

    /// Returns whether a target is to be left alone for now.
    pub fn is_paused(&self, key: Key, now: Moment) -> bool {
        self.states.get(key).is_some_and(|it| now < it.paused_until)
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    pub fn failures(&self, key: Key) -> f64 {
        self.states.get(key).map_or(0.0, |it| it.failures)
    }
}
