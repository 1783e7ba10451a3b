//! Load of a target: its last report corrected by what this host has sent since.

use std::{collections::VecDeque, time::Duration};

use crate::{clock::Moment, id, target::Report};

/// Changes that are kept for replay on the next report.
const MOST_CHANGES: usize = 4_096;

/// Load of one target.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    run: Option<(id::Incarnation, u64)>,
    taken: Moment,
    reported_running: f64,
    reported_tokens: f64,
    changes: VecDeque<Change>,
    changed_running: f64,
    backlog: f64,
    backlog_at: Moment,
    /// Requests of this host that run there.
    pub(crate) own: u32,
    /// Requests that it may run at once.
    pub(crate) slots: u32,
    /// Tokens of KV cache that are free.
    pub(crate) kv_free: f64,
}

/// What this host did since the last report.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: Moment,
    running: f64,
    tokens: f64,
}

impl Load {
    pub(crate) fn new(slots: u32) -> Load {
        Load {
            run: None,
            taken: Moment::ZERO,
            reported_running: 0.0,
            reported_tokens: 0.0,
            changes: VecDeque::new(),
            changed_running: 0.0,
            backlog: 0.0,
            backlog_at: Moment::ZERO,
            own: 0,
            slots: slots.max(1),
            kv_free: f64::INFINITY,
        }
    }

    /// Forgets what was reported by an earlier run; own requests are counted on.
    pub(crate) fn forget(&mut self) {
        let own = self.own;
        *self = Load { own, ..Load::new(self.slots) };
    }

    /// Takes in a report; returns false for one older than the last.
    pub(crate) fn report(&mut self, report: &Report, rate: f64, now: Moment) -> bool {
        let run = (report.incarnation, report.number);
        if self.run.is_some_and(|(it, number)| it == run.0 && run.1 <= number) {
            return false;
        }
        self.run = Some(run);
        self.taken = now.saturating_sub(report.age);
        self.reported_running = f64::from(report.running) + f64::from(report.queued);
        self.reported_tokens = report.queued_tokens as f64;
        if 0 < report.slots {
            self.slots = report.slots;
        }
        if 0 < report.kv_capacity {
            self.kv_free = report.kv_capacity.saturating_sub(report.kv_tokens) as f64;
        }
        self.replay(rate, now);
        true
    }

    /// Applies again what happened after the report's figures were taken.
    fn replay(&mut self, rate: f64, now: Moment) {
        while self.changes.front().is_some_and(|it| it.at <= self.taken) {
            self.changes.pop_front();
        }
        self.changed_running = self.changes.iter().map(|it| it.running).sum();
        self.backlog = self.reported_tokens;
        self.backlog_at = self.taken;
        for index in 0..self.changes.len() {
            let change = self.changes[index];
            self.advance(rate, change.at);
            self.backlog += change.tokens;
        }
        self.advance(rate, now);
    }

    /// Lets the engine read prompts until `now`.
    fn advance(&mut self, rate: f64, now: Moment) {
        let passed = now.saturating_sub(self.backlog_at).as_secs_f64();
        self.backlog = (self.backlog - rate * passed).max(0.0);
        self.backlog_at = self.backlog_at.max(now);
    }

    /// Notes a request of this host that was sent, with the prompt tokens to read.
    pub(crate) fn sent(&mut self, tokens: f64, rate: f64, now: Moment) {
        self.own += 1;
        self.advance(rate, now);
        self.backlog += tokens;
        self.change(Change { at: now, running: 1.0, tokens });
    }

    /// Notes the end of a request of this host.
    pub(crate) fn finished(&mut self, now: Moment) {
        self.own = self.own.saturating_sub(1);
        self.change(Change { at: now, running: -1.0, tokens: 0.0 });
    }

    fn change(&mut self, change: Change) {
        self.changed_running += change.running;
        self.changes.push_back(change);
        if MOST_CHANGES < self.changes.len()
            && let Some(oldest) = self.changes.pop_front()
        {
            self.changed_running -= oldest.running;
            self.reported_running = (self.reported_running + oldest.running).max(0.0);
        }
    }

    /// Returns the requests that run or wait there, as far as is known.
    pub(crate) fn running(&self) -> f64 {
        (self.reported_running + self.changed_running).max(f64::from(self.own))
    }

    /// Returns the requests that ran or waited there at the last report.
    pub(crate) fn reported(&self) -> f64 {
        self.reported_running
    }

    /// Returns the prompt tokens that wait to be read.
    pub(crate) fn backlog(&self, rate: f64, now: Moment) -> f64 {
        let passed = now.saturating_sub(self.backlog_at).as_secs_f64();
        (self.backlog - rate * passed).max(0.0)
    }

    /// Returns the age of the last report's figures; `None` before the first.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.run.map(|_| now.saturating_sub(self.taken))
    }
}
