//! Load of a target: its last report, corrected by the requests that this host has sent or seen end
//! since then.

use std::{collections::VecDeque, time::Duration};

use crate::{clock::Moment, id, target::Report};

/// Largest number of changes that are kept for the next report; older ones are merged into the last
/// reported figures.
const MAX_CHANGES: usize = 4_096;

/// Load of one target.
///
/// The `rate` that the functions take is the one at which the prefill queue shrinks, in prompt
/// tokens per second.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    /// Incarnation and number of the last report; `None` before the first.
    last_report: Option<(id::Incarnation, u64)>,
    /// When the figures of the last report were taken.
    reported_at: Moment,
    /// Requests running or queued, according to the last report.
    reported_running: f64,
    /// Prompt tokens queued for prefill, according to the last report.
    reported_backlog_tokens: f64,
    /// Changes by this host after `reported_at`, oldest first.
    changes: VecDeque<Change>,
    /// Sum of [`Change::running`] over `changes`.
    running_change: f64,
    /// Prompt tokens queued for prefill, as estimated at `backlog_at`.
    backlog_tokens: f64,
    backlog_at: Moment,
    /// Requests of this host in flight at the target.
    pub(crate) own_requests: u32,
    /// Requests that the target can run at once.
    pub(crate) slots: u32,
    /// Free KV cache, in tokens; infinite until reported.
    pub(crate) kv_free_tokens: f64,
}

/// A request that this host has sent to the target, or whose end it has seen.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: Moment,
    /// Change of the number of running requests: 1 or -1.
    running: f64,
    /// Prompt tokens added to the prefill queue.
    backlog_tokens: f64,
}

impl Load {
    pub(crate) fn new(slots: u32) -> Load {
        Load {
            last_report: None,
            reported_at: Moment::ZERO,
            reported_running: 0.0,
            reported_backlog_tokens: 0.0,
            changes: VecDeque::new(),
            running_change: 0.0,
            backlog_tokens: 0.0,
            backlog_at: Moment::ZERO,
            own_requests: 0,
            slots: slots.max(1),
            kv_free_tokens: f64::INFINITY,
        }
    }

    /// Forgets the reports of an earlier incarnation, but keeps the count of this host's requests.
    pub(crate) fn reset(&mut self) {
        let own_requests = self.own_requests;
        *self = Load { own_requests, ..Load::new(self.slots) };
    }

    /// Records a load report; returns false for one that isn't newer than the last.
    pub(crate) fn record_report(&mut self, report: &Report, rate: f64, now: Moment) -> bool {
        let id = (report.incarnation, report.number);
        if self.last_report.is_some_and(|(it, number)| it == id.0 && id.1 <= number) {
            return false;
        }
        self.last_report = Some(id);
        self.reported_at = now.saturating_sub(report.age);
        self.reported_running = f64::from(report.running) + f64::from(report.queued);
        self.reported_backlog_tokens = report.queued_tokens as f64;
        if 0 < report.slots {
            self.slots = report.slots;
        }
        if 0 < report.kv_capacity {
            self.kv_free_tokens = report.kv_capacity.saturating_sub(report.kv_tokens) as f64;
        }
        self.replay(rate, now);
        true
    }

    /// Restarts the estimate from the last report and applies the changes made after its figures
    /// were taken.
    fn replay(&mut self, rate: f64, now: Moment) {
        while self.changes.front().is_some_and(|it| it.at <= self.reported_at) {
            self.changes.pop_front();
        }
        self.running_change = self.changes.iter().map(|it| it.running).sum();
        self.backlog_tokens = self.reported_backlog_tokens;
        self.backlog_at = self.reported_at;
        for index in 0..self.changes.len() {
            let change = self.changes[index];
            self.advance(rate, change.at);
            self.backlog_tokens += change.backlog_tokens;
        }
        self.advance(rate, now);
    }

    /// Advances the estimated prefill queue to `now`.
    fn advance(&mut self, rate: f64, now: Moment) {
        let elapsed = now.saturating_sub(self.backlog_at).as_secs_f64();
        self.backlog_tokens = (self.backlog_tokens - rate * elapsed).max(0.0);
        self.backlog_at = self.backlog_at.max(now);
    }

    /// Records that this host has sent a request with this many prompt tokens to prefill.
    pub(crate) fn record_sent(&mut self, backlog_tokens: f64, rate: f64, now: Moment) {
        self.own_requests += 1;
        self.advance(rate, now);
        self.backlog_tokens += backlog_tokens;
        self.push_change(Change { at: now, running: 1.0, backlog_tokens });
    }

    /// Records that a request of this host has ended, or that its prefill here has.
    pub(crate) fn record_finished(&mut self, now: Moment) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.push_change(Change { at: now, running: -1.0, backlog_tokens: 0.0 });
    }

    fn push_change(&mut self, change: Change) {
        self.running_change += change.running;
        self.changes.push_back(change);
        if MAX_CHANGES < self.changes.len()
            && let Some(oldest) = self.changes.pop_front()
        {
            self.running_change -= oldest.running;
            self.reported_running = (self.reported_running + oldest.running).max(0.0);
        }
    }

    /// Returns the estimated number of requests that run or wait at the target.
    pub(crate) fn running(&self) -> f64 {
        (self.reported_running + self.running_change).max(f64::from(self.own_requests))
    }

    /// Returns the number of requests that ran or waited at the last report.
    pub(crate) fn reported_running(&self) -> f64 {
        self.reported_running
    }

    /// Returns the estimated number of prompt tokens queued for prefill.
    pub(crate) fn backlog_tokens(&self, rate: f64, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.backlog_at).as_secs_f64();
        (self.backlog_tokens - rate * elapsed).max(0.0)
    }

    /// Returns the age of the last report's figures; `None` before the first.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.last_report.map(|_| now.saturating_sub(self.reported_at))
    }
}
