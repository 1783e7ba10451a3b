//! State of one entry host that all its request handlers share.

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
    refresh::{self, Freshness},
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

/// Retry delay sent to callers while the configuration is not confirmed as the latest.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Committer of this host's claims.
pub type Claims = claim::Committer<store::Client, Peers>;
/// Refresher of this host's configuration.
pub type Refresher = refresh::Refresher<store::Client, store::Client>;

/// State that all requests of one host share.
#[derive(Debug)]
pub struct Context {
    /// Validated settings.
    pub settings: Settings,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Keeps the configuration up to date.
    pub refresher: Refresher,
    /// Targets and the router that chooses among them.
    pub fleet: Fleet,
    /// Admission control and the requests that wait for it.
    pub admission: AdmissionQueue,
    /// Target streams in progress.
    pub streams: StreamMonitor,
    /// Open requests.
    pub requests: Registry,
    /// Claims on the idempotency keys of requests that must run at most once.
    pub claims: Claims,
    /// Detects requests that crash targets.
    pub crashes: crash::Registry<store::Client>,
    /// Membership of the entry hosts.
    pub members: Members,
    /// Estimates of answer lengths, by plan and model.
    pub output_lengths: Mutex<OutputLengths>,
    /// Retry budgets, by plan.
    pub retry_budgets: RetryBudgets,
    /// Progress of a graceful shutdown.
    pub shutdown: Shutdown,
}

impl Context {
    /// Returns the configuration in force.
    pub fn configuration(&self) -> Arc<configuration::Configuration> {
        self.refresher.configuration()
    }

    /// Checks that this host may admit a request.
    ///
    /// # Errors
    /// Refuses while the host is shutting down, has no configuration yet, or may lack a later one.
    pub fn check_ready(&self, now: Moment) -> Result<(), Refusal> {
        if self.shutdown.refuses(now) {
            return Err(Refusal::new(Reason::Leaving, "this host is leaving; use another")
                .with_hosts(other_hosts(&self.members)));
        }
        match self.refresher.freshness() {
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

    /// Checks that this host may admit a request that must run at most once.
    ///
    /// # Errors
    /// Refuses while no recent read of the platform's table has confirmed the configuration.
    pub fn check_ready_for_unrepeatable(&self) -> Result<(), Refusal> {
        if self.refresher.freshness().admits_unrepeatable() {
            return Ok(());
        }
        let message = "the platform's table does not answer; nothing that must not repeat is sent";
        Err(Refusal::new(Reason::Stale, message).with_retry_after(Some(STALE_RETRY_AFTER)))
    }

    /// Counts and logs a refusal.
    pub fn record_refusal(&self, options: &Options, caller: &Caller, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.reason);
        let (request, customer, verdict) = (&options.request_id, &caller.customer, refusal.verdict);
        let reason = refusal.reason;
        event!(
            Event::Refused,
            "refused request {request} of customer {customer}: {reason}, {verdict}"
        );
    }

    /// Counts and logs a request whose caller went away.
    pub fn record_caller_gone(&self, options: &Options) {
        self.metrics.add("caller.gone", 1);
        event!(Event::CallerGone, "the caller of request {} went away", options.request_id);
    }

    /// Returns the expected length of an answer, in tokens, at most `max_tokens`.
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

    /// Updates the estimate of answer lengths with the tokens of a complete answer.
    pub fn record_output_tokens(&self, plan: &id::Plan, model: &id::Model, tokens: u32) {
        self.output_lengths
            .lock()
            .expect("output length lock poisoned")
            .observe(plan, model, tokens);
    }

    /// Records the first attempt of a request in its plan's retry budget.
    pub fn record_first_attempt(&self, plan: &id::Plan) {
        self.retry_budgets.with_budget(plan, |_, budget| budget.record_first_attempt());
    }

    /// Decides whether to retry after a failed attempt.
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

/// Retry policy and the retry budget of each plan.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    policy: Policy,
    budgets: Mutex<HashMap<id::Plan, Budget>>,
}

impl RetryBudgets {
    /// Calls `f` with the policy and the plan's budget, which is created if it is missing.
    fn with_budget<T>(&self, plan: &id::Plan, f: impl FnOnce(&Policy, &mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("budget lock poisoned");
        if !budgets.contains_key(plan) {
            budgets.insert(plan.clone(), Budget::new(&self.policy));
        }
        let budget = budgets.get_mut(plan).expect("the budget was just inserted");
        f(&self.policy, budget)
    }
}

/// State of a graceful shutdown: whether it has begun, and the number of open requests.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// Time from which new requests are refused; `None` until the shutdown begins.
    refuses_from: RwLock<Option<Moment>>,
    open_requests: AtomicUsize,
}

impl Shutdown {
    /// Begins the shutdown; new requests are refused from `refuses_from` on. Later calls have no
    /// effect.
    pub fn begin(&self, refuses_from: Moment) {
        let mut start = self.refuses_from.write().expect("shutdown lock poisoned");
        start.get_or_insert(refuses_from);
    }

    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.refuses_from.read().expect("shutdown lock poisoned").is_some()
    }

    /// Returns whether new requests are refused at the time `now`.
    pub fn refuses(&self, now: Moment) -> bool {
        let refuses_from = self.refuses_from.read().expect("shutdown lock poisoned");
        refuses_from.is_some_and(|it| it <= now)
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

/// Counts one request as open until dropped.
#[derive(Debug)]
pub struct OpenRequestGuard<'a>(&'a AtomicUsize);

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Settings {
    /// Returns the settings of a plain service, or the defaults if the service has no section.
    pub fn service(&self, name: &str) -> settings::Service {
        self.services.get(&SmolStr::new(name)).cloned().unwrap_or_default()
    }
}
