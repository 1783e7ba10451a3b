//! Requests that began to run, by account and time window.
//!
//! Each host counts its own; the holder of the duties collects the counts, commits a report to the
//! store and then sends it to the platform.

pub mod clock;
pub mod collector;
pub mod counter;
pub mod ledger;
pub mod runner;

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot_core::{clock::Moment, id};

use self::{clock::Clock, collector::Collector, counter::Counter};

/// Number of a time window, counted from the start of 1970.
pub type Window = u64;
/// Time since the start of 1970.
pub type UnixTime = Duration;

/// Number of windows for which counts are kept while they cannot be reported.
pub const KEPT_WINDOWS: u64 = 24;

/// Bounds of the usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window by which its report is due.
    pub due_after: Duration,
}

impl Settings {
    /// Returns the window that contains a time.
    pub fn window_at(&self, time: UnixTime) -> Window {
        let window = time.as_millis() / self.window.as_millis().max(1);
        Window::try_from(window).unwrap_or(Window::MAX)
    }

    /// Returns the end of a window.
    pub fn end_of(&self, window: Window) -> UnixTime {
        let ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(window.saturating_add(1).saturating_mul(ms))
    }
}

/// Requests of each account that began to run in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Requests by account.
    pub counts: BTreeMap<id::Account, u64>,
}

/// State of the usage reports on this host.
#[derive(Debug, Default)]
pub struct State(Option<Tracker>);

/// What a host of a deployment with usage reports counts and collects.
#[derive(Debug)]
pub struct Tracker {
    /// Bounds of the reports.
    pub settings: Settings,
    /// The time of day that the hosts agree on.
    pub clock: Clock,
    /// Requests that began to run through this host.
    pub counter: Counter,
    /// Counts of all hosts, while this one holds the duties.
    pub collector: Collector,
    /// First window that is not committed yet, as far as this host knows; 0 while unknown.
    pub next: Window,
}

impl State {
    /// Starts counting.
    pub fn start(&mut self, settings: Settings, clock: Clock) {
        self.0 = Some(Tracker {
            settings,
            clock,
            counter: Counter::default(),
            collector: Collector::default(),
            next: 0,
        });
    }

    /// Returns the counts; `None` if the deployment wants no reports.
    pub fn tracker(&mut self) -> Option<&mut Tracker> {
        self.0.as_mut()
    }

    /// Counts a request that began to run.
    pub fn record(&mut self, account: &id::Account, now: Moment) {
        if let Some(tracker) = &mut self.0 {
            let window = tracker.settings.window_at(tracker.clock.time(now));
            tracker.counter.record(account, window);
        }
    }
}

impl Tracker {
    /// Records that all windows before `next` are committed, and drops their counts.
    pub fn commit_until(&mut self, next: Window) {
        self.next = self.next.max(next);
        self.counter.forget_before(self.next);
        self.collector.forget_before(self.next);
    }
}
