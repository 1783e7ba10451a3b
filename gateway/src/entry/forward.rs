//! Forwards callers' requests to targets and the responses back.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use fuchsiaknot_core::{
    clock::{self, Moment},
    verdict::{Reason, RetryReason, Verdict},
};
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    cluster::{peer_proxy, peer_ticket::Ticket},
    configuration::RequestKind,
    context::Context,
    entry::{
        job::{self, Job, MAX_SILENCE_TIMEOUT},
        response::{self, Body, Chunks},
        retry_after, shutdown,
        stream_relay::{self, Relay, next_event},
    },
    placement::selection,
    targets::{poison_reports, registry::Key, target::Target},
    upstream::{
        attempt::{self, Attempt, Failure, InFlight, Options},
        event_stream::Splitter,
        prefill::Prefilled,
        target_response::Read,
    },
};

/// Retry delay sent to callers of a host that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay sent to callers whose body had no room; another host is likely to have some.
const OUT_OF_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay sent to callers whose key this host cannot check while it knows of no other host;
/// another one is likely to be able to.
const ALONE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay sent to such callers while the other hosts cannot check keys either. By then each of
/// them has called the store again.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Retry delay sent to callers of a host that is leaving; they go to other hosts, which may serve them
/// at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum number of attempts whose request could not be sent, after which no further target is
/// tried.
const MAX_FAILED_CONNECTS: u32 = 4;

/// Handles a caller's request and returns the response. With a ticket, another host sends the request
/// through this one.
pub async fn handle(
    context: Rc<Context>,
    request: Request<Incoming>,
    ticket: Option<Ticket>,
) -> Response<Body> {
    let arrived = clock::now();
    let id = job::request_id(request.headers(), &context.header_names);
    let read = tokio::select! {
        biased;
        read = Job::read(&context, request, ticket.as_ref()) => read,
        () = shutdown::reading_ended(&context) => Err(Reason::Leaving),
    };
    let mut job = match read {
        Ok(job) => job,
        Err(reason) => {
            let reason = unless_stale(&context, reason);
            return finish_response(&context, refuse_unrouted(&context, &id, reason, arrived));
        }
    };
    let mut disconnect_guard = DisconnectGuard::new(&context, &id);
    let found = tokio::select! {
        biased;
        reason = shutdown::interrupted(&context, &job) => Err(reason),
        found = job.find_origin(&context) => found,
    };
    let found = found.map(|origin| {
        if let Some(origin) = origin {
            job.set_origin(&context, origin);
        }
    });
    let job = Rc::new(job);
    job.register();
    let mut forwarder = Forwarder::new(&context, &job);
    if !forwarder.uses_proxy() {
        job.count(&context);
    }
    let is_poison = !forwarder.is_admitted();
    let response = match found {
        _ if is_poison => forwarder.give_up(Reason::CrashesTargets),
        Err(reason) => forwarder.give_up(reason),
        Ok(()) => forwarder.run_until_shutdown().await,
    };
    disconnect_guard.answered = true;
    finish_response(&context, response)
}

/// Counts a response, and closes its connection when the host is shutting down.
fn finish_response(context: &Context, mut response: Response<Body>) -> Response<Body> {
    context.metrics.answered.with_label_values(&[response.status().as_str()]).inc();
    if context.is_shutting_down() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the reason for refusing a request: [`Reason::Stale`] instead of one for good that follows
/// from the configuration, if a newer one may allow the request.
fn unless_stale(context: &Context, reason: Reason) -> Reason {
    let is_final =
        matches!(reason, Reason::NotFound | Reason::HeaderTooLarge | Reason::BodyTooLarge);
    match is_final && !context.configuration_knowledge().is_recent {
        true => Reason::Stale,
        false => reason,
    }
}

/// Refuses a request that could not be read or matches no route.
fn refuse_unrouted(
    context: &Context,
    id: &SmolStr,
    reason: Reason,
    arrived: Moment,
) -> Response<Body> {
    context.metrics.refused.with_label_values(&[reason.code()]).inc();
    let version = context.state().configuration.as_ref().map(|it| it.version);
    let waited = clock::now().saturating_sub(arrived);
    tracing::info!(
        code = 8011,
        %id,
        reason = reason.code(),
        version,
        proven_age_ms = context.proven_age_ms(),
        waited_ms = waited.as_millis() as u64,
        "request refused before it had a route"
    );
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry_after = match reason {
        Reason::NotReady => Some(NOT_READY_RETRY_AFTER),
        Reason::OutOfMemory => Some(OUT_OF_MEMORY_RETRY_AFTER),
        Reason::Stale => Some(stale_retry_after(context)),
        Reason::Leaving => Some(LEAVING_RETRY_AFTER),
        _ => None,
    };
    response::local(status, reason.code(), retry_after)
}

/// Returns the delay after which a caller's key can probably be checked.
fn stale_retry_after(context: &Context) -> Duration {
    match context.state().membership.live_count() {
        0 | 1 => ALONE_RETRY_AFTER,
        _ => STALE_RETRY_AFTER.mul_f64(1.0 + 0.5 * rand::random::<f64>()),
    }
}

/// Counts and logs a caller's disconnect when dropped before the response has begun.
struct DisconnectGuard<'a> {
    context: &'a Context,
    id: SmolStr,
    answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    fn new(context: &'a Context, id: &SmolStr) -> DisconnectGuard<'a> {
        DisconnectGuard { context, id: id.clone(), answered: false }
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.context.metrics.callers_gone.inc();
            tracing::info!(code = 8012, id = %self.id, "caller disconnected before the response");
        }
    }
}

/// Why a job has no response yet.
enum SendError {
    /// The attempt at a target failed.
    Failed(Key, Failure),
    /// The job is given up.
    GivenUp(Reason),
}

impl From<(Key, Failure)> for SendError {
    fn from((key, failure): (Key, Failure)) -> SendError {
        SendError::Failed(key, failure)
    }
}

/// Forwards one job and keeps the state of its attempts.
pub(crate) struct Forwarder {
    pub(crate) context: Rc<Context>,
    pub(crate) job: Rc<Job>,
    /// Targets that were tried.
    pub(crate) tried: Vec<Key>,
    /// Prompt prefilled for an engine that then could not be reached.
    pub(crate) prefilled: Option<Prefilled>,
    /// Number of attempts whose request could not be sent.
    failed_connects: u32,
    /// Whether a target may have started the job.
    pub(crate) may_have_run: bool,
    /// Estimated queueing time for which the job was refused; zero unless it was.
    pub(crate) queue_time: Duration,
    /// Time of the first event of the current run.
    pub(crate) first_event_at: Option<Moment>,
    /// Whether a run has shown that the job crashes no target.
    pub(crate) is_sound: bool,
    /// Whether the job is a trial of a recognised request.
    pub(crate) is_trial: bool,
}

impl Forwarder {
    fn new(context: &Rc<Context>, job: &Rc<Job>) -> Forwarder {
        Forwarder {
            context: Rc::clone(context),
            job: Rc::clone(job),
            tried: Vec::new(),
            prefilled: None,
            failed_connects: 0,
            may_have_run: false,
            queue_time: Duration::ZERO,
            first_event_at: None,
            is_sound: false,
            is_trial: false,
        }
    }

    /// Attempts the job until there is a response for the caller, or the host shuts down.
    async fn run_until_shutdown(self) -> Response<Body> {
        let (context, job) = (Rc::clone(&self.context), Rc::clone(&self.job));
        tokio::select! {
            // A request that comes too late is not sent.
            biased;
            reason = shutdown::interrupted(&context, &job) => {
                Forwarder::new(&context, &job).give_up(reason)
            }
            response = self.run() => response,
        }
    }

    /// Attempts the job until there is a response for the caller.
    async fn run(mut self) -> Response<Body> {
        // Response with a server error, which is forwarded if no other attempt gets a response.
        let mut error_response = None;
        loop {
            let attempt = match (self.send_until_answered(None).await, error_response.take()) {
                (Ok(attempt), _) => attempt,
                (Err(_), None) if self.uses_proxy() => return self.forward_through_peer().await,
                (Err(_), Some(response)) => return response,
                (Err(reason), None) => return self.give_up(reason),
            };
            let key = attempt.response.key;
            let is_server_error = attempt.response.head.status.is_server_error();
            let outcome = match attempt.response.is_successful_stream() {
                true => self.begin_stream(attempt).await,
                false => self.forward_whole(attempt).await,
            };
            match outcome {
                Ok(response) if is_server_error && self.retry_after_error() => {
                    self.context.state_mut().health.record_error(key);
                    error_response = Some(response);
                }
                Ok(response) => return response,
                Err(failure) => {
                    if let Err(reason) = self.record_failure(key, failure) {
                        return self.give_up(reason);
                    }
                }
            }
        }
    }

    /// Returns whether the job is to be sent through another host: this one reaches no target, another
    /// does, and the job is not running.
    fn uses_proxy(&self) -> bool {
        let is_running = self.job.time_to_first_event.get().is_some();
        let may_run = !self.may_have_run || self.job.route.kind.allows_rerun();
        self.context.should_use_proxies()
            && may_run
            && !is_running
            && !self.job.is_from_peer
            && !self.job.attempts_exhausted()
    }

    /// Sends the job through another host.
    async fn forward_through_peer(self) -> Response<Body> {
        match peer_proxy::forward(&self.context, &self.job, self.may_have_run).await {
            Ok(response) => response,
            Err(reason) => self.give_up(reason),
        }
    }

    /// Counts a retry after a response with a server error, if the request may be retried and the
    /// retry budget is not spent.
    ///
    /// Returns whether the request is to be retried.
    fn retry_after_error(&self) -> bool {
        let retry = RetryReason::TargetFailed.code();
        let retries = self.job.route.kind == RequestKind::Idempotent
            && !self.job.attempts_exhausted()
            && self.can_pay_next();
        if retries {
            self.context.metrics.retried.with_label_values(&[retry]).inc();
        }
        retries
    }

    /// Sends the job to one target after another until one sends a response head that can be
    /// forwarded.
    ///
    /// # Errors
    /// Returns the reason for giving the job up.
    pub(crate) async fn send_until_answered(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, Reason> {
        loop {
            if self.job.time_left().is_zero() {
                return Err(self.expired_reason());
            }
            if let Some(reason) = self.poison_reason() {
                return Err(reason);
            }
            self.job.check_account(&self.context).map_err(|it| self.account_reason(it))?;
            if !self.may_have_run && shutdown::is_too_late(&self.context, &self.job) {
                return Err(Reason::Leaving);
            }
            if self.context.should_use_proxies() {
                return Err(self.no_target_reason());
            }
            self.job.count(&self.context);
            let sent = if self.job.on_engines {
                self.send_to_engines(last_event_id).await?.map_err(SendError::from)
            } else {
                let key = selection::service_target(&self.context, &self.job, &self.tried);
                let key = key.ok_or_else(|| self.no_target_reason())?;
                self.pay_for_attempt(false)?;
                let in_flight = InFlight::new(&self.context, &self.job, key, 0);
                let options = Options { last_event_id, ..Options::default() };
                match self.job.head_timeout() {
                    Some(timeout) => self.send_hedged(in_flight, options, timeout).await,
                    None => self.send(in_flight, options).await.map_err(SendError::from),
                }
            };
            match sent {
                Ok(attempt) => {
                    self.context.metrics.attempts.with_label_values(&["answered"]).inc();
                    return Ok(attempt);
                }
                Err(SendError::Failed(key, failure)) => self.record_failure(key, failure)?,
                Err(SendError::GivenUp(reason)) => return Err(reason),
            }
        }
    }

    /// Sends the job to a target.
    pub(crate) async fn send(
        &mut self,
        in_flight: InFlight,
        options: Options<'_>,
    ) -> Result<Attempt, (Key, Failure)> {
        let key = in_flight.key;
        self.tried.push(key);
        attempt::send(&self.context, &self.job, in_flight, options).await.map_err(|it| (key, it))
    }

    /// Sends the job to a target and, when it does not answer within `head_timeout`, also to another
    /// one; the first response is used.
    ///
    /// The first attempt goes on meanwhile: its target may answer after all, and there may be no
    /// other target, or no retry left in the budget.
    async fn send_hedged(
        &mut self,
        in_flight: InFlight,
        options: Options<'_>,
        head_timeout: Duration,
    ) -> Result<Attempt, SendError> {
        let key = in_flight.key;
        let (context, job) = (Rc::clone(&self.context), Rc::clone(&self.job));
        self.tried.push(key);
        let mut first = pin!(attempt::send(&context, &job, in_flight, options));
        if let Ok(sent) = timeout(head_timeout, first.as_mut()).await {
            return sent.map_err(|failure| SendError::Failed(key, failure));
        }
        let mut second = pin!(self.send_to_another(key, options.last_event_id));
        tokio::select! {
            sent = first.as_mut() => match sent {
                Ok(attempt) => Ok(attempt),
                Err(failure) => {
                    attempt::record_health(&context, key, &failure);
                    if matches!(failure, Failure::Broken(_)) {
                        poison_reports::announce_break(&context, &job, key);
                    }
                    second.await.map_err(SendError::GivenUp)
                }
            },
            sent = second.as_mut() => match sent {
                Ok(attempt) if attempt.response.head.status.is_server_error() => {
                    // The first target may still have a better response.
                    match timeout(MAX_SILENCE_TIMEOUT, first).await {
                        Ok(Ok(attempt)) => Ok(attempt),
                        Ok(Err(_)) | Err(_) => Ok(attempt),
                    }
                }
                Ok(attempt) => Ok(attempt),
                Err(_) => first.await.map_err(|failure| SendError::Failed(key, failure)),
            },
        }
    }

    /// Sends the job to another target because `silent` has not answered yet.
    ///
    /// # Errors
    /// Returns the reason why no other target answers.
    async fn send_to_another(
        &mut self,
        silent: Key,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, Reason> {
        self.record_failure(silent, Failure::Silent)?;
        // Boxed because it may hedge again.
        Box::pin(self.send_until_answered(last_event_id)).await
    }

    /// Returns whether the retry budget permits the cheapest further attempt.
    fn can_pay_next(&self) -> bool {
        let price = self.job.calls.get().price(false);
        self.context.permits_calls(&self.job.service, price)
    }

    /// Takes the calls of the next attempt beyond the request's first from the retry budget.
    ///
    /// # Errors
    /// Returns the reason for giving the job up when the budget cannot pay for all of them.
    pub(crate) fn pay_for_attempt(&self, prefills: bool) -> Result<(), Reason> {
        let price = self.job.calls.get().price(prefills);
        if !self.context.take_calls(&self.job.service, price) {
            self.log_spent_budget(price);
            return Err(self.spent_reason());
        }
        self.job.update_calls(|it| it.record_payment(price));
        Ok(())
    }

    /// Logs that the retry budget does not permit a number of calls, and what decided it.
    fn log_spent_budget(&self, price: u32) {
        let (usage, hosts) = self.context.budget_usage(&self.job.service);
        tracing::info!(code = 8041,
            id = %self.job.id,
            service = %self.job.service,
            calls = price,
            sent = self.job.attempts_sent.get(),
            requests = usage.requests,
            taken = usage.retries,
            allowed = usage.allowed,
            hosts,
            "retry budget does not permit the next attempt"
        );
    }

    /// Returns the reason for giving up when the retry budget is spent.
    fn spent_reason(&self) -> Reason {
        if self.may_have_run { Reason::TargetFailed } else { Reason::RetryBudget }
    }

    /// Records a failed attempt, and whether the retry budget permits another one.
    ///
    /// # Errors
    /// Returns the reason for making no further attempt.
    pub(crate) fn record_failure(&mut self, key: Key, failure: Failure) -> Result<(), Reason> {
        let context = Rc::clone(&self.context);
        self.record_target_failure(key, &failure);
        let retry_reason = failure.retry_reason();
        context.metrics.attempts.with_label_values(&[retry_reason.code()]).inc();
        self.may_have_run |= failure.may_have_run();
        let stop = self.stop_reason(&failure);
        let over_budget = stop.is_none() && !self.can_pay_next();
        let logged_stop = if over_budget { Some(Reason::RetryBudget) } else { stop };
        tracing::info!(code = 8013,
            id = %self.job.id,
            service = %self.job.service,
            target = context.state().registry.get(key).map(|it| it.id.as_str()),
            targets_age_ms = context.state().targets_age_ms(),
            sent = self.job.attempts_sent.get(),
            failure = ?failure,
            left_ms = self.job.time_left().as_millis() as u64,
            first_ms = self.job.time_to_first_event.get().map(|it| it.as_millis() as u64),
            shared_parts = ?self.job.prompt.shared_part_ids(),
            stop = logged_stop.map(Reason::code),
            "attempt failed"
        );
        if let Some(reason) = stop {
            return Err(reason);
        }
        if over_budget {
            self.log_spent_budget(self.job.calls.get().price(false));
            return Err(self.spent_reason());
        }
        context.metrics.retried.with_label_values(&[retry_reason.code()]).inc();
        Ok(())
    }

    /// Records a failed attempt in the health of its target. If it broke off, informs all hosts, since
    /// the request may have crashed the target.
    pub(crate) fn record_target_failure(&mut self, key: Key, failure: &Failure) {
        attempt::record_health(&self.context, key, failure);
        if matches!(failure, Failure::Broken(_)) {
            self.job.count_run(&self.context);
            self.announce_broken(key);
        }
    }

    /// Returns the reason for making no further attempt, if any.
    fn stop_reason(&mut self, failure: &Failure) -> Option<Reason> {
        match failure {
            Failure::Unauthorised(reason) => return Some(self.account_reason(*reason)),
            Failure::Expired => return Some(Reason::DeadlineExceeded),
            Failure::Broken(_) | Failure::Silent if !self.job.route.kind.allows_rerun() => {
                return Some(Reason::TargetFailed);
            }
            Failure::NotSent(_) => {
                self.failed_connects += 1;
                if MAX_FAILED_CONNECTS <= self.failed_connects {
                    return Some(self.no_target_reason());
                }
            }
            _ => {}
        }
        self.job.attempts_exhausted().then(|| self.no_target_reason())
    }

    /// Returns the reason for giving up when no target is left.
    pub(crate) fn no_target_reason(&self) -> Reason {
        if self.may_have_run { Reason::TargetFailed } else { Reason::NoTarget }
    }

    /// Returns the reason for giving up when the caller's key cannot be relied on any more.
    fn account_reason(&self, reason: Reason) -> Reason {
        if self.may_have_run { Reason::TargetFailed } else { reason }
    }

    /// Returns the reason for giving up at the deadline.
    fn expired_reason(&self) -> Reason {
        if self.may_have_run { Reason::DeadlineExceeded } else { Reason::Expired }
    }

    /// Reads and forwards a response that is not a stream.
    async fn forward_whole(&mut self, attempt: Attempt) -> Result<Response<Body>, Failure> {
        let (key, target) = (attempt.response.key, attempt.response.target.clone());
        self.job.count_run(&self.context);
        let read = attempt.response.read_whole(&self.context, &self.job).await?;
        let (status, headers, body) = match read {
            Read::Whole { status, headers, body } => (status, headers, body),
            Read::Partial { response, body, next } => {
                let attempt = Attempt { response: *response, in_flight: attempt.in_flight };
                return Ok(self.relay_rest(attempt, body, next));
            }
        };
        self.context.state_mut().health.record_success(key);
        if status.is_success() {
            self.record_answer();
        }
        let mut response = Response::new(Body::Chunks(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        log_response(&self.context, &self.job, &target, status, "whole");
        Ok(response)
    }

    /// Forwards a response that cannot be held whole as it arrives, from what has been read on.
    fn relay_rest(&self, attempt: Attempt, body: Chunks, next: Bytes) -> Response<Body> {
        let (sender, receiver) = response::stream_from(body);
        let mut response = Response::new(Body::Stream(receiver));
        *response.status_mut() = attempt.response.head.status;
        *response.headers_mut() = attempt.response.headers();
        let (context, job) = (Rc::clone(&self.context), Rc::clone(&self.job));
        tokio::task::spawn_local(stream_relay::relay_rest(context, job, attempt, sender, next));
        response
    }

    /// Waits for the first event of a stream and spawns a task that relays the events.
    async fn begin_stream(&mut self, mut attempt: Attempt) -> Result<Response<Body>, Failure> {
        let mut splitter = Splitter::default();
        let first = next_event(&mut attempt, &mut splitter, &self.job, None).await?;
        attempt.in_flight.finish_prefill();
        self.job.count_run(&self.context);
        self.job.record_origin(&self.context, &attempt.response.target);
        let time_to_first_event = clock::now().saturating_sub(self.job.arrived);
        self.job.time_to_first_event.set(Some(time_to_first_event));
        self.record_first_event(attempt.in_flight.queued_tokens());
        self.context
            .metrics
            .latency
            .with_label_values(&["first"])
            .observe(time_to_first_event.as_secs_f64());
        let (sender, receiver) = response::stream(self.context.body_memory.share());
        let mut response = Response::new(Body::Stream(receiver));
        *response.status_mut() = attempt.response.head.status;
        *response.headers_mut() = attempt.response.headers();
        let forwarder = Forwarder {
            context: Rc::clone(&self.context),
            job: Rc::clone(&self.job),
            tried: std::mem::take(&mut self.tried),
            prefilled: None,
            failed_connects: self.failed_connects,
            may_have_run: true,
            queue_time: Duration::ZERO,
            first_event_at: None,
            is_sound: false,
            is_trial: false,
        };
        let relay = Relay::new(forwarder, sender);
        tokio::task::spawn_local(relay.run(attempt, splitter, first));
        Ok(response)
    }

    /// Records the latency of the first event.
    ///
    /// `queued_tokens` prompt tokens were queued at the engine, including the job's own.
    fn record_first_event(&self, queued_tokens: u64) {
        let now = clock::now();
        let mut state = self.context.state_mut();
        let latency_model = state.latency_models.entry(self.job.service.clone()).or_default();
        match (self.job.prefilled_at.get(), self.job.sent_at.get()) {
            (Some(prefilled_at), _) => {
                latency_model.record_handover(now.saturating_sub(prefilled_at));
            }
            (None, Some(sent_at)) => {
                latency_model.record_direct_first_event(queued_tokens, now.saturating_sub(sent_at))
            }
            (None, None) => {}
        }
    }

    /// Logs a job that is given up and returns its response.
    fn give_up(&self, reason: Reason) -> Response<Body> {
        let context = &self.context;
        context.metrics.refused.with_label_values(&[reason.code()]).inc();
        let waited = clock::now().saturating_sub(self.job.arrived);
        tracing::info!(code = 8014,
            id = %self.job.id,
            route = %self.job.route.name,
            service = %self.job.service,
            account = self.job.account.as_ref().map(|it| it.name.as_str()),
            version = self.job.configuration_version,
            proven_age_ms = context.proven_age_ms(),
            version_age_ms = context.state().configuration_age_ms(),
            targets_age_ms = context.state().targets_age_ms(),
            reason = reason.code(),
            verdict = reason.verdict().as_str(),
            sent = self.job.attempts_sent.get(),
            resumes = self.job.resumed_stream.is_some(),
            prompt = self.job.prompt.tokens,
            elapsed_ms = self.job.elapsed().as_millis() as u64,
            ahead_ms = self.queue_time.as_millis() as u64,
            waited_ms = waited.as_millis() as u64,
            shutdown_ms = context.shutdown_age_ms(),
            "request given up"
        );
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let not_run = reason.verdict() == Verdict::NotRun && !self.may_have_run;
        let (status, retry_after) = if reason == Reason::Unauthorised {
            (status, None)
        } else if reason == Reason::Leaving {
            (status, Some(LEAVING_RETRY_AFTER))
        } else if not_run {
            let wait = match reason {
                Reason::Stale => stale_retry_after(context),
                _ => selection::time_until_available(&context.state(), &self.job.service),
            };
            let wait = wait.max(self.queue_time);
            (
                StatusCode::SERVICE_UNAVAILABLE,
                Some(retry_after::delay(wait, self.job.caller_timeout, rand::random())),
            )
        } else if status == StatusCode::SERVICE_UNAVAILABLE {
            (StatusCode::BAD_GATEWAY, None)
        } else {
            (status, None)
        };
        response::local(status, reason.code(), retry_after)
    }
}

/// Logs a response that was forwarded to its end and records its latency.
pub(crate) fn log_response(
    context: &Context,
    job: &Job,
    target: &Target,
    status: StatusCode,
    kind: &'static str,
) {
    let took = clock::now().saturating_sub(job.arrived);
    context.state_mut().durations.record(&job.route.name, took);
    context.metrics.latency.with_label_values(&["whole"]).observe(took.as_secs_f64());
    tracing::info!(code = 8015,
        id = %job.id,
        route = %job.route.name,
        service = %job.service,
        account = job.account.as_ref().map(|it| it.name.as_str()),
        version = job.configuration_version,
        proven_age_ms = context.proven_age_ms(),
        version_age_ms = context.state().configuration_age_ms(),
        targets_age_ms = context.state().targets_age_ms(),
        target = %target.id,
        software = target.software_version.as_deref(),
        status = status.as_u16(),
        sent = job.attempts_sent.get(),
        resumes = job.resumed_stream.is_some(),
        took_ms = took.as_millis() as u64,
        first_ms = job.time_to_first_event.get().map(|it| it.as_millis() as u64),
        reader = job.prefill_choice.get().map(|it| it.stage.as_str()),
        estimate_ms = job.prefill_choice.get().map(|it| it.estimate.first_event.as_millis() as u64),
        prompt = job.prompt.tokens,
        shutdown_ms = context.shutdown_age_ms(),
        kind,
        "request answered"
    );
}
