//! What every part of the callers' interface reads.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    claim,
    clock::Moment,
    configuration,
    cost::OutputLengths,
    crash, event,
    event::Event,
    id,
    metric::Metrics,
    refresh::{Freshness, Refresher},
    retry::{Attempts, Budget, Decision, Policy},
    serve::{
        Refusal,
        admission::AdmissionQueue,
        fleet::Fleet,
        options::{Caller, Options},
        peers::{Members, Peers, other_hosts},
        registry::Registry,
        stream_monitor::StreamMonitor,
    },
    settings::{self, Settings},
    store,
    target::Failure,
    verdict::Reason,
};

/// Time after which to come back when the platform's table does not answer.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Claims of this host.
pub type Claims = claim::Committer<store::Client, Peers>;
/// Configuration of this host.
pub type Configuration = Refresher<store::Client, store::Client>;

/// State that the requests of one host share.
#[derive(Debug)]
pub struct Context {
    /// Checked settings.
    pub settings: Settings,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Configuration in force.
    pub refresh: Configuration,
    /// Targets and router.
    pub fleet: Fleet,
    /// Admission.
    pub admission: AdmissionQueue,
    /// Streams under way.
    pub streams: StreamMonitor,
    /// Open requests.
    pub requests: Registry,
    /// Claims of requests that may not repeat.
    pub claims: Claims,
    /// Requests that crash targets.
    pub crashes: crash::Watch<store::Client>,
    /// Entry hosts.
    pub members: Members,
    /// Expected lengths of answers.
    pub output_lengths: Mutex<OutputLengths>,
    /// Retry budgets.
    pub retry_budgets: RetryBudgets,
    /// Whether this host stays, and what it still runs.
    pub shutdown: Shutdown,
}

impl Context {
    /// Returns the configuration in force.
    pub fn contract(&self) -> Arc<configuration::Configuration> {
        self.refresh.configuration()
    }

    /// Checks that this host may admit a request.
    ///
    /// # Errors
    /// Refuses while the host is leaving, has no configuration, or has one that is too old.
    pub fn check_ready(&self, now: Moment) -> Result<(), Refusal> {
        if self.shutdown.refuses(now) {
            return Err(Refusal::new(Reason::Leaving, "this host is leaving; use another")
                .with_hosts(other_hosts(&self.members)));
        }
        match self.refresh.freshness() {
            Freshness::Starting => {
                Err(Refusal::new(Reason::NotReady, "this host has no configuration yet")
                    .with_hosts(other_hosts(&self.members)))
            }
            Freshness::Alone => {
                Err(Refusal::new(Reason::Stale, "this host is cut off; use another")
                    .with_hosts(other_hosts(&self.members)))
            }
            Freshness::Fresh | Freshness::Stale => Ok(()),
        }
    }

    /// Checks that this host may admit a request that must not repeat.
    ///
    /// # Errors
    /// Refuses while the configuration is older than the bound.
    pub fn check_unrepeatable_ready(&self) -> Result<(), Refusal> {
        if self.refresh.freshness().admits_unrepeatable() {
            return Ok(());
        }
        let message = "the platform's table does not answer; nothing that must not repeat is sent";
        Err(Refusal::new(Reason::Stale, message).with_retry_after(Some(STALE_RETRY_AFTER)))
    }

    /// Counts and logs a refusal.
    pub fn record_refusal(&self, options: &Options, caller: &Caller, refusal: &Refusal) {
        self.metrics.refused(refusal.reason);
        let (request, customer, verdict) = (&options.request_id, &caller.customer, refusal.verdict);
        let reason = refusal.reason;
        event!(Event::Refused, "request {request} of {customer}: {reason}, {verdict}");
    }

    /// Counts and logs a caller that went away.
    pub fn record_caller_gone(&self, options: &Options) {
        self.metrics.add("caller.gone", 1);
        event!(Event::CallerGone, "the caller of request {} went away", options.request_id);
    }

    /// Returns the expected tokens of an answer.
    pub fn expected_output_tokens(
        &self,
        plan: &id::Plan,
        model: &id::Model,
        max_tokens: u32,
    ) -> u32 {
        self.output_lengths
            .lock()
            .expect("output length lock poisoned")
            .expected(plan, model, max_tokens)
    }

    /// Learns from the tokens of a complete answer.
    pub fn record_output_tokens(&self, plan: &id::Plan, model: &id::Model, tokens: u32) {
        self.output_lengths
            .lock()
            .expect("output length lock poisoned")
            .observe(plan, model, tokens);
    }

    /// Notes the first try of a request in its plan's retry budget.
    pub fn record_first_attempt(&self, plan: &id::Plan) {
        self.retry_budgets.with_budget(plan, |_, budget| budget.record_first_attempt());
    }

    /// Decides after a failed attempt.
    pub fn decide_retry(
        &self,
        plan: &id::Plan,
        attempts: &mut Attempts,
        failure: &Failure,
        now: Moment,
    ) -> Decision {
        let random = rand::random();
        self.retry_budgets.with_budget(plan, |policy, budget| {
            attempts.record_failure(failure, now, random, policy, budget)
        })
    }
}

/// Retry budgets by plan.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    policy: Policy,
    budgets: Mutex<HashMap<id::Plan, Budget>>,
}

impl RetryBudgets {
    fn with_budget<T>(&self, plan: &id::Plan, f: impl FnOnce(&Policy, &mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("budget lock poisoned");
        if !budgets.contains_key(plan) {
            budgets.insert(plan.clone(), Budget::new(&self.policy));
        }
        let budget = budgets.get_mut(plan).expect("the budget was just inserted");
        f(&self.policy, budget)
    }
}

/// Whether this host stays, and how many requests it still runs.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// When new requests are refused.
    refuses_from: RwLock<Option<Moment>>,
    open_requests: AtomicUsize,
}

impl Shutdown {
    /// Begins to leave; new requests are refused from the given time on.
    pub fn begin(&self, refuses_from: Moment) {
        let mut begun = self.refuses_from.write().expect("shutdown lock poisoned");
        begun.get_or_insert(refuses_from);
    }

    /// Returns whether the host has begun to leave.
    pub fn has_begun(&self) -> bool {
        self.refuses_from.read().expect("shutdown lock poisoned").is_some()
    }

    /// Returns whether new requests are refused.
    pub fn refuses(&self, now: Moment) -> bool {
        let begun = self.refuses_from.read().expect("shutdown lock poisoned");
        begun.is_some_and(|it| it <= now)
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn track_request(&self) -> OpenRequestGuard<'_> {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequestGuard(&self.open_requests)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }
}

/// Counts one request as open.
#[derive(Debug)]
pub struct OpenRequestGuard<'a>(&'a AtomicUsize);

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Settings {
    /// Returns the settings of a plain service; the defaults when it has no section.
    pub fn service(&self, name: &str) -> settings::Service {
        self.services.get(&SmolStr::new(name)).cloned().unwrap_or_default()
    }
}
