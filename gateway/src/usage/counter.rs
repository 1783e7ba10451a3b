//! Requests that began to run through this host, and what of them goes to the holder of the duties.
//!
//! Answers lost datagrams and changes of the holder: counts are cumulative, and those of a window that
//! has ended are sent again until the window is committed.

use std::collections::{BTreeMap, BTreeSet};

use fuchsiaknot_core::id;
use serde::{Deserialize, Serialize};

use crate::usage::{KEPT_WINDOWS, Window};

/// Most accounts in one batch, so that it fits in a datagram.
const MAX_ACCOUNTS_PER_BATCH: usize = 200;
/// Number of windows that have ended and are sent without knowing which are committed.
const UNCONFIRMED_WINDOWS: u64 = 2;

/// Most windows that have ended and are sent at once.
const MAX_ENDED_WINDOWS: u64 = 3;

/// Counts of one host in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The window.
    pub window: Window,
    /// Whether the window has ended, so that the counts no longer grow.
    pub is_final: bool,
    /// Requests of all accounts in the window so far.
    pub total: u64,
    /// Requests so far of some accounts.
    pub counts: Vec<(id::Account, u64)>,
}

/// Counts of one window.
#[derive(Debug, Default)]
struct Counts {
    by_account: BTreeMap<id::Account, u64>,
    total: u64,
    /// Accounts whose count the holder has not been sent.
    unsent: BTreeSet<id::Account>,
}

/// Requests that began to run through this host.
#[derive(Debug, Default)]
pub struct Counter(BTreeMap<Window, Counts>);

impl Counter {
    /// Counts a request.
    pub fn record(&mut self, account: &id::Account, window: Window) {
        let counts = self.0.entry(window).or_default();
        let count = counts.by_account.entry(account.clone()).or_default();
        *count = count.saturating_add(1);
        counts.total = counts.total.saturating_add(1);
        if !counts.unsent.contains(account) {
            counts.unsent.insert(account.clone());
        }
        while KEPT_WINDOWS < self.0.len() as u64 {
            self.0.pop_first();
        }
    }

    /// Drops the counts of windows before this one.
    pub fn forget_before(&mut self, window: Window) {
        self.0 = self.0.split_off(&window);
    }

    /// Returns what goes to the holder during the window `current`: all counts of the first windows
    /// from `next` on that have ended, and what has changed since the last call in the others. With `all`,
    /// everything, for a new holder.
    pub fn batches(&mut self, next: Window, current: Window, all: bool) -> Vec<Batch> {
        self.forget_before(current.saturating_sub(KEPT_WINDOWS));
        let unconfirmed = current.saturating_sub(UNCONFIRMED_WINDOWS);
        let first = if next == 0 { unconfirmed } else { next };
        let first = first.max(current.saturating_sub(KEPT_WINDOWS));
        let mut batches = Vec::new();
        for window in first..current.min(first + MAX_ENDED_WINDOWS) {
            let counts = self.0.get(&window);
            let total = counts.map_or(0, |it| it.total);
            let counts = counts.into_iter().flat_map(|it| &it.by_account);
            let counts = counts.map(|(account, count)| (account.clone(), *count)).collect();
            split(Batch { window, is_final: true, total, counts }, &mut batches);
        }
        for (window, counts) in self.0.range_mut(current..) {
            let unsent = std::mem::take(&mut counts.unsent);
            let is_sent = |account: &id::Account| all || unsent.contains(account);
            let sent = counts.by_account.iter().filter(|it| is_sent(it.0));
            let sent: Vec<_> = sent.map(|(account, count)| (account.clone(), *count)).collect();
            if !sent.is_empty() {
                let total = counts.total;
                let batch = Batch { window: *window, is_final: false, total, counts: sent };
                split(batch, &mut batches);
            }
        }
        batches
    }
}

/// Splits a batch into some that fit in a datagram each.
fn split(batch: Batch, batches: &mut Vec<Batch>) {
    if batch.counts.len() <= MAX_ACCOUNTS_PER_BATCH {
        return batches.push(batch);
    }
    for counts in batch.counts.chunks(MAX_ACCOUNTS_PER_BATCH) {
        batches.push(Batch { counts: counts.to_vec(), ..batch });
    }
}
