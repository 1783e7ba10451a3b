//! Detects poison requests: requests that crash each target that runs them.
//!
//! The caller of such a request may retry it at any host. The hosts inform each other of every
//! interrupted run, and all refuse a request that was interrupted at several targets since a target
//! last answered it. They do so while it keeps coming, and inform each other that it does.
//!
//! A sound request may be recognised too, when its targets failed for other reasons. So that it is
//! served again, one host tries a recognised request a few times, at growing intervals; an answer
//! clears it everywhere.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    ops::Bound,
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};
use serde::{Deserialize, Serialize};

use crate::targets::target::Run;

/// Number of different targets at which a request must have been interrupted to be refused.
const REFUSAL_THRESHOLD: usize = 3;
/// The same if another request was interrupted at most of these targets too: one of the two may be
/// sound, and only have run beside the other.
const SHARED_THRESHOLD: usize = 4;
/// Number of shared interrupted runs from which on this holds; the last run of the other request may
/// be reported yet.
const SHARED_RUNS: usize = 2;
/// Time for which an interrupted run counts against a request that is not recognised.
const RUN_TTL: Duration = Duration::from_secs(60);
/// Largest number of requests tracked; further ones are not tracked.
const MAX_REQUESTS: usize = 4096;
/// Time without an arrival after which a recognised request is let through again.
pub const QUIET_TIME: Duration = Duration::from_secs(3600);
/// Time without an arrival after which it is forgotten; before, one interrupted run is enough for it
/// to be refused again.
pub const MEMORY_TIME: Duration = Duration::from_secs(24 * 3600);
/// Time from recognition to the first trial, and from one trial to the next; there are no further ones.
pub const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];
/// Largest number of recognised requests; beyond it, the one that has been quiet longest is dropped.
pub const MAX_RECOGNISED: usize = 1024;
/// Largest number of recognised requests in one report.
pub const MAX_REPORTED: usize = 64;
/// Largest number of cleared requests that are known as such.
const MAX_CLEARED: usize = 4096;
/// Difference in time up to which a report is no news, since reports take time on their way.
const REPORT_TOLERANCE: Duration = Duration::from_secs(2);

/// Bits of a fingerprint that mark it as that of a request at any service, and their value. The
/// fingerprints at one service are hashes, of which few have it by chance.
const ANYWHERE_MASK: id::Fingerprint = 0xffff;
const ANYWHERE_MARK: id::Fingerprint = 0xa11;

/// What makes requests the same, beside the service that runs them.
///
/// The account stands for the caller: targets get its name and not the key, so that a request crashes
/// them with any of the account's keys. Callers without an account are not distinguished, since a caller's
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

/// Returns the fingerprint of a request at any service; `digest` is that of its contents.
fn fingerprint_anywhere(digest: u64) -> id::Fingerprint {
    fingerprint(&id::Service::default(), digest) & !ANYWHERE_MASK | ANYWHERE_MARK
}

/// Returns whether a fingerprint is that of a request at any service.
pub fn is_anywhere(request: id::Fingerprint) -> bool {
    request & ANYWHERE_MASK == ANYWHERE_MARK
}

/// Fingerprints of one request.
///
/// A request that crashes the targets of one service is taken to crash those of another, to which its
/// route may be moved, until a target of that service has answered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fingerprints {
    /// Fingerprint at the service that is to run it.
    pub at_service: id::Fingerprint,
    /// Fingerprint at any service.
    pub anywhere: id::Fingerprint,
}

impl Fingerprints {
    /// Returns the fingerprints of a request to a service; `digest` is that of its contents.
    pub fn new(service: &id::Service, digest: u64) -> Fingerprints {
        Fingerprints {
            at_service: fingerprint(service, digest),
            anywhere: fingerprint_anywhere(digest),
        }
    }

    /// Returns all fingerprints.
    pub fn all(self) -> [id::Fingerprint; 2] {
        [self.at_service, self.anywhere]
    }
}

/// Interrupted runs, and recognised requests.
#[derive(Debug, Default)]
pub struct Detector {
    /// Interrupted runs of requests that are not recognised.
    interrupted_runs: HashMap<id::Fingerprint, Vec<(Run, Moment)>>,
    recognised: BTreeMap<id::Fingerprint, Record>,
    /// Times at which requests were cleared, so that late reports don't bring them back.
    cleared: HashMap<id::Fingerprint, Moment>,
    /// Last request in the previous report.
    last_reported: id::Fingerprint,
}

/// What is known of a recognised request.
#[derive(Debug, Clone, Copy)]
struct Record {
    /// Time of the recognition or of the last trial.
    since: Moment,
    /// Time of the last arrival or interrupted run at any host, as far as this host knows.
    seen_at: Moment,
    trials: u8,
    /// Whether the request is let through since it has not come for long.
    is_quiet: bool,
}

impl Record {
    fn is_refused(&self, now: Moment) -> bool {
        now < self.seen_at + QUIET_TIME
    }

    fn is_trial_due(&self, now: Moment) -> bool {
        TRIAL_DELAYS.get(usize::from(self.trials)).is_some_and(|it| self.since + *it <= now)
    }
}

/// A recognised request, as the hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub request: id::Fingerprint,
    /// Time since its recognition or its last trial, in milliseconds.
    pub age_ms: u64,
    /// Time since its last arrival, in milliseconds.
    pub quiet_ms: u64,
    /// Number of its trials.
    pub trials: u8,
}

/// A request with interrupted runs that is not recognised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub request: id::Fingerprint,
    /// The runs, and the time since each was interrupted, in milliseconds.
    pub runs: Vec<(Run, u64)>,
}

/// What follows from other hosts' reports.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Requests that are refused from now on.
    pub learned: Vec<id::Fingerprint>,
    /// Requests in the reports that were answered since.
    pub cleared: Vec<id::Fingerprint>,
}

/// What is to be done with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is sent.
    Admitted,
    /// It is recognised, and sent once to find out whether it still crashes targets.
    Tried,
    /// It is not sent.
    Refused,
}

impl Detector {
    /// Records that a request's run at a target was interrupted; returns whether the request is
    /// refused from now on.
    pub fn record_interrupted_run(
        &mut self,
        request: id::Fingerprint,
        target: Run,
        now: Moment,
    ) -> bool {
        if let Some(record) = self.recognised.get_mut(&request) {
            let was_refused = record.is_refused(now);
            (record.seen_at, record.is_quiet) = (now, false);
            return !was_refused;
        }
        self.add_run(request, target, now, now)
    }

    /// Adds the interrupted runs of a request that another host has recorded; returns whether the
    /// request is refused from now on.
    pub fn restore_suspect(&mut self, suspect: &Suspect, now: Moment) -> bool {
        let mut is_recognised = false;
        for (run, age_ms) in &suspect.runs {
            let at = now.saturating_sub(Duration::from_millis(*age_ms));
            let is_cleared = self.cleared.get(&suspect.request).is_some_and(|it| at <= *it);
            let is_known = self.recognised.contains_key(&suspect.request);
            if !is_cleared && !is_known && now < at + RUN_TTL {
                is_recognised |= self.add_run(suspect.request, run.clone(), at, now);
            }
        }
        is_recognised
    }

    /// Returns the requests with interrupted runs that are not recognised, those with the most runs
    /// first.
    pub fn suspects(&self, now: Moment) -> Vec<Suspect> {
        let age_ms = |at: &Moment| now.saturating_sub(*at).as_millis() as u64;
        let suspects = self.interrupted_runs.iter().map(|(request, runs)| Suspect {
            request: *request,
            runs: runs.iter().map(|(run, at)| (run.clone(), age_ms(at))).collect(),
        });
        let mut suspects: Vec<Suspect> = suspects.collect();
        suspects.sort_unstable_by_key(|it| (Reverse(it.runs.len()), it.request));
        suspects
    }

    /// Adds an interrupted run to a request that is not recognised; returns whether it is from now on.
    fn add_run(&mut self, request: id::Fingerprint, target: Run, at: Moment, now: Moment) -> bool {
        if MAX_REQUESTS <= self.interrupted_runs.len()
            && !self.interrupted_runs.contains_key(&request)
        {
            self.expire_runs(now);
            if MAX_REQUESTS <= self.interrupted_runs.len() {
                return false;
            }
        }
        let runs = self.interrupted_runs.entry(request).or_default();
        let known_at = runs.iter().find(|(it, _)| *it == target).map(|(_, at)| *at);
        runs.retain(|(it, at)| *it != target && now < *at + RUN_TTL);
        runs.push((target, known_at.unwrap_or(at).max(at)));
        let count = runs.len();
        if count < REFUSAL_THRESHOLD || count < SHARED_THRESHOLD && self.is_shared(request) {
            return false;
        }
        self.interrupted_runs.remove(&request);
        let record = Record { since: now, seen_at: now, trials: 0, is_quiet: false };
        self.recognise(request, record);
        true
    }

    /// Records that a target answered a request, which is therefore no poison; returns whether
    /// interrupted runs counted against it.
    pub fn record_answer(&mut self, request: id::Fingerprint, now: Moment) -> bool {
        let had_runs = self.interrupted_runs.remove(&request).is_some();
        let was_suspected = self.recognised.remove(&request).is_some() || had_runs;
        if was_suspected
            && (self.cleared.len() < MAX_CLEARED || self.cleared.contains_key(&request))
        {
            self.cleared.insert(request, now);
        }
        was_suspected
    }

    /// Records that a target answered a request; returns the fingerprints that the other hosts must clear
    /// too.
    ///
    /// An answer of a service at which the request was not suspected says nothing of the others.
    pub fn record_request_answer(
        &mut self,
        request: Fingerprints,
        now: Moment,
    ) -> Vec<id::Fingerprint> {
        let Fingerprints { at_service, anywhere } = request;
        if self.record_answer(at_service, now) {
            self.record_answer(anywhere, now);
            return request.all().into();
        }
        let is_suspected = self.recognised.contains_key(&anywhere)
            || self.interrupted_runs.contains_key(&anywhere);
        if !is_suspected || self.cleared.contains_key(&at_service) {
            return Vec::new();
        }
        self.record_clearing(at_service, now);
        vec![at_service]
    }

    /// Records that a request is let through, on the word of another host or the operator, or since a
    /// target answered it before it was suspected there.
    pub fn record_clearing(&mut self, request: id::Fingerprint, now: Moment) {
        self.record_answer(request, now);
        if self.cleared.len() < MAX_CLEARED {
            self.cleared.insert(request, now);
        }
    }

    /// Records the arrival of a request to a service; `may_try` tells whether this host may try a
    /// recognised one.
    pub fn admit_request(
        &mut self,
        request: Fingerprints,
        may_try: bool,
        now: Moment,
    ) -> Admission {
        self.admit_all(&self.relevant(request), may_try, now)
    }

    /// Returns whether a request is refused at a service.
    pub fn is_request_refused(&self, request: Fingerprints, now: Moment) -> bool {
        self.relevant(request).into_iter().any(|it| self.is_refused(it, now))
    }

    /// Returns the fingerprints that count at the service of a request.
    fn relevant(&self, request: Fingerprints) -> Vec<id::Fingerprint> {
        match self.cleared.contains_key(&request.at_service) {
            true => vec![request.at_service],
            false => request.all().into(),
        }
    }

    /// Records the arrival of a request with one fingerprint, as [`Detector::admit_request`].
    pub fn admit(&mut self, request: id::Fingerprint, may_try: bool, now: Moment) -> Admission {
        self.admit_all(&[request], may_try, now)
    }

    fn admit_all(&mut self, requests: &[id::Fingerprint], may_try: bool, now: Moment) -> Admission {
        let (mut is_refused, mut is_trial_due) = (false, may_try);
        for request in requests {
            let record = self.recognised.get_mut(request).filter(|it| it.is_refused(now));
            let Some(record) = record else { continue };
            record.seen_at = now;
            is_refused = true;
            is_trial_due &= record.is_trial_due(now);
        }
        if !is_refused {
            return Admission::Admitted;
        }
        if !is_trial_due {
            return Admission::Refused;
        }
        for request in requests {
            if let Some(record) = self.recognised.get_mut(request).filter(|it| it.is_refused(now)) {
                record.since = now;
                record.trials += 1;
            }
        }
        Admission::Tried
    }

    /// Returns whether a request is refused as poison.
    pub fn is_refused(&self, request: id::Fingerprint, now: Moment) -> bool {
        self.recognised.get(&request).is_some_and(|it| it.is_refused(now))
    }

    /// Returns the number of requests that are refused, at any service or at one.
    pub fn refused_count(&self, now: Moment) -> usize {
        let refused = self.recognised.iter().filter(|(_, it)| it.is_refused(now));
        let (anywhere, at_service): (Vec<_>, Vec<_>) =
            refused.partition(|(request, _)| is_anywhere(**request));
        anywhere.len().max(at_service.len())
    }

    /// Returns the requests that are refused.
    pub fn refused(&self, now: Moment) -> Vec<id::Fingerprint> {
        let refused = self.recognised.iter().filter(|(_, it)| it.is_refused(now));
        refused.map(|(request, _)| *request).collect()
    }

    /// Returns a report of one recognised request.
    pub fn report(&self, request: id::Fingerprint, now: Moment) -> Option<Report> {
        self.recognised.get(&request).map(|it| {
            // Rounded up, so that passing a report on makes no request seem to have come later.
            let millis = |at| (now.saturating_sub(at).as_micros() as u64).div_ceil(1000);
            Report {
                request,
                age_ms: millis(it.since),
                quiet_ms: millis(it.seen_at),
                trials: it.trials,
            }
        })
    }

    /// Returns a report of the recognised requests after this one, in ascending order; of the first
    /// ones for `None`.
    pub fn reports_after(&self, request: Option<id::Fingerprint>, now: Moment) -> Vec<Report> {
        let start = request.map_or(Bound::Unbounded, Bound::Excluded);
        let requests = self.recognised.range((start, Bound::Unbounded)).take(MAX_REPORTED);
        requests.filter_map(|(request, _)| self.report(*request, now)).collect()
    }

    /// Returns reports of all recognised requests, in ascending order.
    pub fn all_reports(&self, now: Moment) -> Vec<Report> {
        self.recognised.keys().filter_map(|request| self.report(*request, now)).collect()
    }

    /// Returns the next report in a round over all recognised requests.
    pub fn next_reports(&mut self, now: Moment) -> Vec<Report> {
        let mut reports = self.reports_after(Some(self.last_reported), now);
        if reports.is_empty() {
            reports = self.reports_after(None, now);
        }
        self.last_reported = reports.last().map_or(0, |it| it.request);
        reports
    }

    /// Applies another host's reports.
    pub fn apply_reports(&mut self, reports: &[Report], now: Moment) -> Findings {
        let mut findings = Findings::default();
        for report in reports.iter().take(MAX_REPORTED) {
            let age = |ms| Duration::from_millis(ms);
            let (since, seen_at) =
                (now.saturating_sub(age(report.age_ms)), now.saturating_sub(age(report.quiet_ms)));
            if self.cleared.get(&report.request).is_some_and(|it| since <= *it) {
                findings.cleared.push(report.request);
                continue;
            }
            if MEMORY_TIME <= age(report.quiet_ms) {
                continue;
            }
            let was_refused = self.is_refused(report.request, now);
            match self.recognised.get_mut(&report.request) {
                Some(record) => {
                    let is_later = record.since + REPORT_TOLERANCE < since;
                    if record.trials < report.trials || record.trials == report.trials && is_later {
                        (record.trials, record.since) = (report.trials, since);
                    }
                    if record.seen_at + REPORT_TOLERANCE < seen_at {
                        record.seen_at = seen_at;
                    }
                }
                None => {
                    self.interrupted_runs.remove(&report.request);
                    let trials = report.trials;
                    let record = Record { since, seen_at, trials, is_quiet: false };
                    self.recognise(report.request, record);
                }
            }
            if !was_refused && self.is_refused(report.request, now) {
                findings.learned.push(report.request);
            }
        }
        findings
    }

    /// Drops what no longer counts; returns the requests that are let through again since they have
    /// not come for long.
    pub fn expire(&mut self, now: Moment) -> Vec<id::Fingerprint> {
        self.expire_runs(now);
        self.cleared.retain(|_, at| now < *at + QUIET_TIME);
        self.recognised.retain(|_, it| now < it.seen_at + MEMORY_TIME);
        let mut quiet = Vec::new();
        for (request, record) in &mut self.recognised {
            let is_quiet = !record.is_refused(now);
            if is_quiet && !record.is_quiet {
                quiet.push(*request);
            }
            record.is_quiet = is_quiet;
        }
        quiet
    }

    /// Returns whether another request was interrupted together with this one; the fingerprints of one
    /// request always are.
    fn is_shared(&self, request: id::Fingerprint) -> bool {
        let Some(runs) = self.interrupted_runs.get(&request) else { return false };
        let is_own = |(run, _): &&(Run, Moment)| runs.iter().any(|(it, _)| it == run);
        self.interrupted_runs.iter().any(|(other, others)| {
            *other != request
                && is_anywhere(*other) == is_anywhere(request)
                && SHARED_RUNS <= others.iter().filter(is_own).count()
        })
    }

    fn expire_runs(&mut self, now: Moment) {
        self.interrupted_runs.retain(|_, runs| {
            runs.retain(|(_, at)| now < *at + RUN_TTL);
            !runs.is_empty()
        });
    }

    fn recognise(&mut self, request: id::Fingerprint, record: Record) {
        if MAX_RECOGNISED <= self.recognised.len() {
            let quietest = self.recognised.iter().min_by_key(|(_, it)| it.seen_at);
            if let Some(quietest) = quietest.map(|(it, _)| *it) {
                self.recognised.remove(&quietest);
            }
        }
        self.cleared.remove(&request);
        self.recognised.insert(request, record);
    }
}
