//! Detects poison requests: requests that crash each target that runs them.
//!
//! The caller of such a request may retry it at any host. The hosts inform each other of every
//! interrupted run, and all refuse a request that was interrupted at several targets since a target
//! last answered it.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};

use crate::targets::target::Run;

/// Number of different targets at which a request must have been interrupted to be refused.
const REFUSAL_THRESHOLD: usize = 3;
/// Time for which an interrupted run counts; after it, the targets have restarted and the caller
/// has given up.
const RUN_TTL: Duration = Duration::from_secs(60);
/// Largest number of requests tracked; further ones are not tracked.
const MAX_REQUESTS: usize = 4096;

/// What makes requests the same, beside the service that runs them.
///
/// The account stands for the caller: targets get its name and not the key, so that a request crashes
/// them with any of the account's keys. Callers without an account are not told apart, since a caller's
/// address changes from one connection to the next.
#[derive(Debug, Clone, Copy, Hash)]
pub struct Contents<'a> {
    /// Host of the route.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path as sent.
    pub path: &'a str,
    /// Query as sent.
    pub query: Option<&'a str>,
    /// Name of the caller's account; `None` if the caller is anonymous.
    pub account: Option<&'a str>,
    /// Whole body.
    pub body: &'a [u8],
}

impl Contents<'_> {
    /// Returns a hash of the contents.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns the fingerprint of a request to a service; `digest` is that of its contents.
pub fn fingerprint(service: &id::Service, digest: u64) -> id::Fingerprint {
    let mut hasher = DefaultHasher::new();
    (service, digest).hash(&mut hasher);
    hasher.finish()
}

/// Interrupted runs, by request.
#[derive(Debug, Default)]
pub struct Detector {
    interrupted_runs: HashMap<id::Fingerprint, Vec<(Run, Moment)>>,
}

impl Detector {
    /// Records that a request's run at a target was interrupted.
    pub fn record_interrupted_run(&mut self, request: id::Fingerprint, target: Run, now: Moment) {
        if MAX_REQUESTS <= self.interrupted_runs.len()
            && !self.interrupted_runs.contains_key(&request)
        {
            self.expire(now);
            if MAX_REQUESTS <= self.interrupted_runs.len() {
                return;
            }
        }
        let runs = self.interrupted_runs.entry(request).or_default();
        runs.retain(|(it, at)| *it != target && now < *at + RUN_TTL);
        runs.push((target, now));
    }

    /// Records that a target answered a request, which is therefore no poison; returns whether
    /// interrupted runs counted against it.
    pub fn record_answer(&mut self, request: id::Fingerprint) -> bool {
        self.interrupted_runs.remove(&request).is_some()
    }

    /// Returns whether a request is refused as poison.
    pub fn is_refused(&self, request: id::Fingerprint, now: Moment) -> bool {
        let runs = self.interrupted_runs.get(&request).map_or(&[][..], Vec::as_slice);
        REFUSAL_THRESHOLD <= runs.iter().filter(|(_, at)| now < *at + RUN_TTL).count()
    }

    /// Drops the runs that no longer count.
    pub fn expire(&mut self, now: Moment) {
        self.interrupted_runs.retain(|_, runs| {
            runs.retain(|(_, at)| now < *at + RUN_TTL);
            !runs.is_empty()
        });
    }
}
