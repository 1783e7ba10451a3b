//! Requests that broke off at several targets and may be what crashes them.
//!
//! Pattern: one request crashes each target that runs it, and its caller sends it again to any host.
//! Hosts tell each other of every run that broke off; a request that did so at enough targets is
//! refused everywhere.

use std::{collections::HashMap, time::Duration};

use fuchsiaknot_core::{clock::Moment, id};

/// Targets at which a request may break off before it is refused.
const MAX_BROKEN_TARGETS: usize = 3;
/// Time for which a broken run counts; the targets are back and the caller has given up by then.
const BROKEN_RUN_TTL: Duration = Duration::from_secs(60);
/// Requests that are remembered.
const MAX_REQUESTS: usize = 4096;

/// Runs that broke off, by request.
#[derive(Debug, Default)]
pub struct Detector {
    broken_runs: HashMap<id::Fingerprint, Vec<(id::Target, Moment)>>,
}

impl Detector {
    /// Notes that a request broke off at a target.
    pub fn record_broken_run(&mut self, request: id::Fingerprint, target: id::Target, now: Moment) {
        if MAX_REQUESTS <= self.broken_runs.len() && !self.broken_runs.contains_key(&request) {
            self.expire(now);
            if MAX_REQUESTS <= self.broken_runs.len() {
                return;
            }
        }
        let runs = self.broken_runs.entry(request).or_default();
        runs.retain(|(it, at)| *it != target && now < *at + BROKEN_RUN_TTL);
        runs.push((target, now));
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, request: id::Fingerprint, now: Moment) -> bool {
        let runs = self.broken_runs.get(&request).map_or(&[][..], Vec::as_slice);
        MAX_BROKEN_TARGETS <= runs.iter().filter(|(_, at)| now < *at + BROKEN_RUN_TTL).count()
    }

    /// Forgets the runs that no longer count.
    pub fn expire(&mut self, now: Moment) {
        self.broken_runs.retain(|_, runs| {
            runs.retain(|(_, at)| now < *at + BROKEN_RUN_TTL);
            !runs.is_empty()
        });
    }
}
