//! Counts of all hosts, on the holder of the duties, and when a window is ready to be reported.
//!
//! Answers hosts that are late, killed or restarted: a window waits for the final counts of all hosts
//! that are up, but not beyond its deadline, and the last counts of the others are in it.

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot_core::id;

use crate::usage::{KEPT_WINDOWS, Report, Settings, UnixTime, Window, counter::Batch};

/// Share of the time until a report is due for which it waits for hosts; the rest is for the store
/// and the platform.
const WAIT_RATIO: f64 = 0.5;
/// Time that hosts have to send their counts again to a new holder; they do so every second.
const RESEND_TIME: Duration = Duration::from_millis(2500);

/// One run of a host.
type Run = (id::Host, id::Incarnation);

/// Counts of one run of a host in one window.
#[derive(Debug, Default)]
struct HostCounts {
    by_account: BTreeMap<id::Account, u64>,
    /// Total of all accounts; `None` while it may still grow.
    final_total: Option<u64>,
}

impl HostCounts {
    fn is_complete(&self) -> bool {
        self.final_total.is_some_and(|it| it <= self.by_account.values().sum())
    }
}

/// Counts of all hosts by window.
#[derive(Debug, Default)]
pub struct Collector(BTreeMap<Window, BTreeMap<Run, HostCounts>>);

impl Collector {
    /// Records counts of a host. They may be repeated and arrive in any order.
    pub fn record(&mut self, host: &id::Host, incarnation: id::Incarnation, batch: Batch) {
        let runs = self.0.entry(batch.window).or_default();
        let host_counts = runs.entry((host.clone(), incarnation)).or_default();
        for (account, count) in batch.counts {
            let known = host_counts.by_account.entry(account).or_default();
            *known = count.max(*known);
        }
        if batch.is_final {
            host_counts.final_total = Some(batch.total);
        }
        while KEPT_WINDOWS < self.0.len() as u64 {
            self.0.pop_first();
        }
    }

    /// Drops the counts of windows before this one.
    pub fn forget_before(&mut self, window: Window) {
        self.0 = self.0.split_off(&window);
    }

    /// Returns whether a window can be reported at `time`, when `missing_hosts` of the hosts that are
    /// up have not sent their final counts to this holder, which took over at `taken_over`.
    pub fn is_ready(
        settings: &Settings,
        window: Window,
        missing_hosts: usize,
        taken_over: UnixTime,
        time: UnixTime,
    ) -> bool {
        let end = settings.end_of(window);
        let deadline = end + settings.due_after.mul_f64(WAIT_RATIO);
        let deadline = deadline.max(taken_over + RESEND_TIME);
        end <= time && (missing_hosts == 0 || deadline <= time)
    }

    /// Returns the number of hosts among those that are up that have not sent their final counts.
    pub fn missing_hosts<'a>(
        &self,
        window: Window,
        up: impl Iterator<Item = &'a id::Host>,
    ) -> usize {
        let runs = self.0.get(&window);
        let is_complete = |host: &id::Host| {
            let first = (host.clone(), id::Incarnation::MIN);
            let last = (host.clone(), id::Incarnation::MAX);
            runs.is_some_and(|it| it.range(first..=last).any(|it| it.1.is_complete()))
        };
        up.filter(|it| !is_complete(it)).count()
    }

    /// Returns the report of a window from what is known now.
    pub fn report(&self, window: Window) -> Report {
        let mut counts: BTreeMap<id::Account, u64> = BTreeMap::new();
        for host_counts in self.0.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (account, count) in &host_counts.by_account {
                let sum = counts.entry(account.clone()).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        Report { window, counts }
    }
}
