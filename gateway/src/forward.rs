//! Takes a caller's request to a target and the answer back.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::{
    clock::{self, Moment},
    verdict::{Reason, RetryReason, Verdict},
};
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::{
    attempt::{self, Attempt, Failure, InFlight, Options},
    configuration::RequestKind,
    context::Context,
    event_stream::Splitter,
    job::{self, Job},
    peers::{self, Packet},
    registry::Key,
    response::{self, Body},
    retry_after, selection,
    stream_relay::{Relay, next_event},
};

/// Pieces of a stream that wait for a slow caller; a full channel stops reading from the target.
const STREAM_CHANNEL_CAPACITY: usize = 16;
/// Time after which a caller may come back to a host that knows no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Targets that may fail to take the request's connection before it is refused.
const MAX_FAILED_CONNECTS: u32 = 4;

/// Handles one request of a caller.
pub async fn handle(context: Rc<Context>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    let id = job::request_id(request.headers(), &context.header_names);
    let job = match Job::read(&context, request).await {
        Ok(job) => job,
        Err(reason) => {
            return finish(&context, refuse_unrouted(&context, &id, reason, arrived));
        }
    };
    context.count_request(&job.service);
    let mut gone = DisconnectGuard::new(&context, &id);
    let job = Rc::new(job);
    let forward = Forwarder::new(&context, &job);
    let answer = if context.state().poison.is_refused(job.fingerprint(), clock::now()) {
        forward.give_up(Reason::CrashesTargets)
    } else {
        forward.run().await
    };
    gone.answered = true;
    finish(&context, answer)
}

fn finish(context: &Context, mut response: Response<Body>) -> Response<Body> {
    context.metrics.answered.with_label_values(&[response.status().as_str()]).inc();
    if context.is_shutting_down() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Refuses a request that was not read or has no route.
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
        waited_ms = waited.as_millis() as u64,
        "request refused before it had a route"
    );
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry_after = (reason == Reason::NotReady).then_some(NOT_READY_RETRY_AFTER);
    response::local(status, reason.code(), retry_after)
}

/// Logs a request whose caller went away before its answer began.
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
            tracing::info!(code = 8012, id = %self.id, "caller went away before its answer");
        }
    }
}

/// A job with the targets that were tried.
pub(crate) struct Forwarder {
    pub(crate) context: Rc<Context>,
    pub(crate) job: Rc<Job>,
    pub(crate) tried: Vec<Key>,
    failed_connects: u32,
    /// Whether some target may have begun the job.
    pub(crate) may_have_run: bool,
    /// Time that the work before it takes, when it was refused.
    pub(crate) estimated_wait: Duration,
}

impl Forwarder {
    fn new(context: &Rc<Context>, job: &Rc<Job>) -> Forwarder {
        Forwarder {
            context: Rc::clone(context),
            job: Rc::clone(job),
            tried: Vec::new(),
            failed_connects: 0,
            may_have_run: false,
            estimated_wait: Duration::ZERO,
        }
    }

    async fn run(mut self) -> Response<Body> {
        // Answer of a target that failed the request, to be passed on if no other does better.
        let mut failed = None;
        loop {
            let run = match (self.send_until_answered(None).await, failed.take()) {
                (Ok(run), _) => run,
                (Err(_), Some(answer)) => return answer,
                (Err(reason), None) => return self.give_up(reason),
            };
            let key = run.response.key;
            let erred = run.response.head.status.is_server_error();
            let outcome = if run.response.is_stream() && run.response.head.status.is_success() {
                self.begin_stream(run).await
            } else {
                self.forward_whole(run).await
            };
            match outcome {
                Ok(response) if erred && self.take_retry_after_error() => {
                    self.context.state_mut().health.record_error(key);
                    failed = Some(response);
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

    /// Takes a retry for a request that a target ran and failed, if it may run again.
    fn take_retry_after_error(&self) -> bool {
        let retry = RetryReason::TargetFailed.code();
        let again = self.job.route.kind == RequestKind::Idempotent
            && !self.job.attempts_exhausted()
            && self.context.take_retry(&self.job.service);
        if again {
            self.context.metrics.retried.with_label_values(&[retry]).inc();
        }
        again
    }

    /// Sends the job to targets until one answers with a head that may be passed on.
    pub(crate) async fn send_until_answered(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, Reason> {
        loop {
            if self.job.time_left().is_zero() {
                return Err(self.expired_reason());
            }
            let sent = if self.is_engine_service() {
                let seats = self.reserve_engines(last_event_id.is_some()).await?;
                self.run_on_engines(seats, last_event_id).await
            } else {
                let key = selection::service_target(&self.context, &self.job, &self.tried);
                let key = key.ok_or_else(|| self.no_target_reason())?;
                let in_flight = InFlight::new(&self.context, &self.job, key, 0);
                let options = Options {
                    last_event_id,
                    head_timeout: self.job.head_timeout(),
                    prefilled: None,
                };
                self.send(in_flight, options).await
            };
            match sent {
                Ok(run) => {
                    self.context.metrics.attempts.with_label_values(&["answered"]).inc();
                    return Ok(run);
                }
                Err((key, failure)) => self.record_failure(key, failure)?,
            }
        }
    }

    fn is_engine_service(&self) -> bool {
        let state = self.context.state();
        let configuration = state.configuration.as_ref();
        let service = configuration.and_then(|it| it.services.get(&self.job.service));
        service.is_some_and(|it| it.engine.is_some())
    }

    /// Sends the job to a target.
    pub(crate) async fn send(
        &mut self,
        in_flight: InFlight,
        options: Options<'_>,
    ) -> Result<Attempt, (Key, Failure)> {
        let key = in_flight.key;
        self.tried.push(key);
        let sent = attempt::send(&self.context, &self.job, in_flight, options).await;
        if !matches!(sent, Err(Failure::NotSent(_))) {
            self.job.attempts_sent.set(self.job.attempts_sent.get() + 1);
        }
        sent.map_err(|failure| (key, failure))
    }

    /// Notes a failed attempt.
    ///
    /// # Errors
    /// Returns why there is to be no further attempt.
    pub(crate) fn record_failure(&mut self, key: Key, failure: Failure) -> Result<(), Reason> {
        let context = Rc::clone(&self.context);
        attempt::record_health(&context, key, &failure);
        let retry = failure.retry_reason();
        context.metrics.attempts.with_label_values(&[retry.code()]).inc();
        self.may_have_run |= failure.may_have_run();
        if matches!(failure, Failure::Broken(_)) {
            self.announce_broken(key);
        }
        let stop = self.stop_reason(&failure);
        tracing::info!(code = 8013,
            id = %self.job.id,
            service = %self.job.service,
            target = context.state().registry.get(key).map(|it| it.id.as_str()),
            targets_age_ms = context.state().targets_age_ms(),
            sent = self.job.attempts_sent.get(),
            failure = ?failure,
            left_ms = self.job.time_left().as_millis() as u64,
            stop = stop.map(Reason::code),
            "attempt failed"
        );
        let was_sent = !matches!(failure, Failure::NotSent(_));
        if let Some(reason) = stop {
            return Err(reason);
        }
        if was_sent && !context.take_retry(&self.job.service) {
            return Err(if self.may_have_run { Reason::TargetFailed } else { Reason::RetryBudget });
        }
        context.metrics.retried.with_label_values(&[retry.code()]).inc();
        Ok(())
    }

    /// Tells all hosts that the request broke off at a target.
    fn announce_broken(&self, key: Key) {
        let target = self.context.state().registry.get(key).map(|it| it.id.clone());
        let Some(target) = target else { return };
        let request = self.job.fingerprint();
        self.context.state_mut().poison.record_interrupted_run(
            request,
            target.clone(),
            clock::now(),
        );
        peers::send_to_all(&self.context, &Packet::AttemptBroken(request, target));
    }

    fn stop_reason(&mut self, failure: &Failure) -> Option<Reason> {
        match failure {
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

    pub(crate) fn no_target_reason(&self) -> Reason {
        if self.may_have_run { Reason::TargetFailed } else { Reason::NoTarget }
    }

    fn expired_reason(&self) -> Reason {
        if self.may_have_run { Reason::DeadlineExceeded } else { Reason::Expired }
    }

    /// Passes on an answer that is not a stream.
    async fn forward_whole(&self, run: Attempt) -> Result<Response<Body>, Failure> {
        let (key, target) = (run.response.key, run.response.target.id.clone());
        let (status, headers, bytes) = run.response.read_whole(&self.context, &self.job).await?;
        self.context.state_mut().health.record_success(key);
        let mut response = Response::new(Body::whole(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        log_response(&self.context, &self.job, &target, status, "whole");
        Ok(response)
    }

    /// Waits for the first event of a stream and passes on what follows.
    async fn begin_stream(&mut self, mut run: Attempt) -> Result<Response<Body>, Failure> {
        let mut splitter = Splitter::default();
        let first = next_event(&mut run, &mut splitter, &self.job, false).await?;
        run.in_flight.finish_prefill();
        let waited = clock::now().saturating_sub(self.job.arrived);
        self.job.time_to_first_event.set(Some(waited));
        self.record_first_event(run.in_flight.queued_tokens());
        self.context.metrics.latency.with_label_values(&["first"]).observe(waited.as_secs_f64());
        let (sender, receiver) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
        let mut response = Response::new(Body::Stream(receiver));
        *response.status_mut() = run.response.head.status;
        *response.headers_mut() = run.response.headers();
        let rest = Forwarder {
            context: Rc::clone(&self.context),
            job: Rc::clone(&self.job),
            tried: std::mem::take(&mut self.tried),
            failed_connects: self.failed_connects,
            may_have_run: true,
            estimated_wait: Duration::ZERO,
        };
        let relay = Relay::new(rest, sender);
        tokio::task::spawn_local(relay.run(run, splitter, first));
        Ok(response)
    }

    /// Notes how long the engines took to the first event, of which `unread` tokens waited.
    fn record_first_event(&self, unread: u64) {
        let now = clock::now();
        let mut state = self.context.state_mut();
        let times = state.latency_models.entry(self.job.service.clone()).or_default();
        match (self.job.prefilled_at.get(), self.job.sent_at.get()) {
            (Some(read), _) => {
                times.record_handover(now.saturating_sub(read));
            }
            (None, Some(sent)) => times.record_direct_first_event(unread, now.saturating_sub(sent)),
            (None, None) => {}
        }
    }

    /// Returns the answer of a job that no target answered.
    fn give_up(&self, reason: Reason) -> Response<Body> {
        let context = &self.context;
        context.metrics.refused.with_label_values(&[reason.code()]).inc();
        let waited = clock::now().saturating_sub(self.job.arrived);
        tracing::info!(code = 8014,
            id = %self.job.id,
            route = %self.job.route.name,
            service = %self.job.service,
            version = self.job.configuration_version,
            version_age_ms = context.state().configuration_age_ms(),
            targets_age_ms = context.state().targets_age_ms(),
            reason = reason.code(),
            verdict = reason.verdict().as_str(),
            sent = self.job.attempts_sent.get(),
            prompt = self.job.prompt.tokens,
            elapsed_ms = self.job.elapsed().as_millis() as u64,
            ahead_ms = self.estimated_wait.as_millis() as u64,
            waited_ms = waited.as_millis() as u64,
            "request given up"
        );
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let not_run = reason.verdict() == Verdict::NotRun && !self.may_have_run;
        let (status, retry_after) = if not_run {
            (
                StatusCode::SERVICE_UNAVAILABLE,
                Some(retry_after::delay(
                    self.estimated_wait,
                    self.job.caller_timeout,
                    rand::random(),
                )),
            )
        } else if status == StatusCode::SERVICE_UNAVAILABLE {
            (StatusCode::BAD_GATEWAY, None)
        } else {
            (status, None)
        };
        response::local(status, reason.code(), retry_after)
    }
}

pub(crate) fn log_response(
    context: &Context,
    job: &Job,
    target: &str,
    status: StatusCode,
    kind: &'static str,
) {
    let took = clock::now().saturating_sub(job.arrived);
    context.metrics.latency.with_label_values(&["whole"]).observe(took.as_secs_f64());
    tracing::info!(code = 8015,
        id = %job.id,
        route = %job.route.name,
        service = %job.service,
        version = job.configuration_version,
        version_age_ms = context.state().configuration_age_ms(),
        targets_age_ms = context.state().targets_age_ms(),
        target,
        status = status.as_u16(),
        sent = job.attempts_sent.get(),
        took_ms = took.as_millis() as u64,
        first_ms = job.time_to_first_event.get().map(|it| it.as_millis() as u64),
        reader = job.prefill_choice.get().map(|it| it.stage.as_str()),
        estimate_ms = job.prefill_choice.get().map(|it| it.estimate.first_event.as_millis() as u64),
        prompt = job.prompt.tokens,
        kind,
        "request answered"
    );
}
