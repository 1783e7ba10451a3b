//! Limits the prompts that an engine prefills beside its streams, so that their pauses stay within
//! the objective.
//!
//! Load pattern: short prompts on engines that generate, while the engines differ in speed and each
//! is several times slower for moments. A prompt lengthens the pauses of all streams that run
//! beside it. The time that it may add is what the engine's usual pause leaves of a share of the
//! objective; so an engine that is slow, or nearly full, takes shorter prompts or none. The rest of
//! the objective is room for slow moments, which can't be foreseen. How much room they need is
//! found by additive increase and multiplicative decrease, for all engines of a service together:
//! late pauses are too rare at one engine to learn from.

use std::time::Duration;

use fuchsiaknot_core::clock::Moment;
use serde::{Deserialize, Serialize};

/// Time for which pauses are counted before the share changes; several streams of each engine
/// then show the last change.
pub const WINDOW: Duration = Duration::from_millis(500);
/// Largest part of the pauses that may be late because of prompts; a stream of 20 events then is
/// late once in ten.
const MAX_LATE_PAUSES: f64 = 0.005;
/// Factor of the share after a window with too many late pauses.
const DECREASE: f64 = 0.85;
/// Increase of the share in a window without.
const INCREASE: f64 = 0.01;
/// Smallest share of the objective that is planned with.
const MIN_SHARE: f64 = 0.2;
/// Change of the share that is reported.
const NOTICEABLE_CHANGE: f64 = 0.1;
/// Time that an event, the report of its pause and the placement before it are under way.
pub const ATTRIBUTION_MARGIN: Duration = Duration::from_millis(150);

/// Share of the objective from which a pause is long: the engine is in a slow moment.
pub const LONG_SHARE: f64 = 0.5;
/// Time for which an engine counts as slow after a long pause.
pub const SLOW_MOMENT: Duration = Duration::from_millis(300);
/// Time after a late pause for which a host also reports long ones.
pub const LATE_MEMORY: Duration = Duration::from_secs(10);

/// Long pauses at one engine, and how many of them were longer than the objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// Number of pauses that were longer than the objective.
    pub count: u32,
    /// The longest pause.
    pub longest: Duration,
    /// The shortest objective among their streams.
    pub objective: Duration,
}

impl Late {
    /// Returns both together.
    pub fn plus(self, other: Late) -> Late {
        Late {
            count: self.count.saturating_add(other.count),
            longest: self.longest.max(other.longest),
            objective: self.objective.min(other.objective),
        }
    }
}

/// A noticeable change of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Share of the objective that is planned with.
    pub share: f64,
    /// Longest pause with which a stream is on time.
    pub objective: Duration,
}

/// Limit on the prompt work beside the streams of a service.
#[derive(Debug, Clone)]
pub struct Limit {
    objective: Duration,
    /// Share of the objective that is planned with; the rest is room for slow moments.
    share: f64,
    reported_share: f64,
    window_start: Moment,
    pauses: u32,
    late: u32,
}

impl Limit {
    /// Creates the limit of a service at its first late pause beside a prompt.
    pub fn new(late: Late, now: Moment) -> Limit {
        Limit {
            objective: late.objective,
            share: 1.0,
            reported_share: 1.0,
            window_start: now,
            pauses: 0,
            late: late.count,
        }
    }

    /// Records pauses at the service's engines, late or not.
    pub fn record_pauses(&mut self, count: u32) {
        self.pauses = self.pauses.saturating_add(count);
    }

    /// Records late pauses at one engine. Those without a prompt beside them don't count, since
    /// they would not be shorter with a lower limit.
    pub fn record_late(&mut self, late: Late, is_beside_prompt: bool) {
        self.objective = self.objective.min(late.objective);
        if is_beside_prompt {
            self.late = self.late.saturating_add(late.count);
        }
    }

    /// Adapts the share after each window; returns it if it changed noticeably.
    pub fn update(&mut self, now: Moment) -> Option<Change> {
        let windows = now.saturating_sub(self.window_start).as_secs_f64() / WINDOW.as_secs_f64();
        if windows < 1.0 {
            return None;
        }
        let is_exceeded = MAX_LATE_PAUSES * f64::from(self.pauses) < f64::from(self.late);
        self.share = match is_exceeded {
            true => (self.share * DECREASE).max(MIN_SHARE),
            false => (self.share + INCREASE * windows).min(1.0),
        };
        (self.window_start, self.pauses, self.late) = (now, 0, 0);
        if (self.share - self.reported_share).abs() < NOTICEABLE_CHANGE {
            return None;
        }
        self.reported_share = self.share;
        Some(Change { share: self.share, objective: self.objective })
    }

    /// Returns the share of the objective that is planned with.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the longest prefill that an engine may run beside its streams, given their usual
    /// pause there.
    pub fn prefill_time(&self, usual_pause: Duration) -> Duration {
        self.objective.mul_f64(self.share).saturating_sub(usual_pause)
    }
}
