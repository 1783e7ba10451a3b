//! Takes a caller's request to a target and the answer back.

use std::rc::Rc;

use hyper::{Request, Response, StatusCode, body::Incoming, header};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::{
    attempt::{self, Failure, Run},
    choice::{self, Candidate},
    context::Context,
    event_stream::{Event, Splitter},
    job::Job,
    registry::Key,
    reply::{self, Body, Broken},
    target::Stage,
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    verdict::{Reason, Verdict},
};

/// Pieces of a stream that wait for a slow caller; a full channel stops reading from the target.
const STREAM_PIECES: usize = 16;
/// Targets that may fail to take the request's connection before it is refused.
const MAX_CONNECTS: u32 = 4;

/// Handles one request of a caller.
pub async fn handle(context: Rc<Context>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    let job = match Job::read(&context, request).await {
        Ok(job) => job,
        Err(reason) => {
            return finish(&context, refuse_early(&context, reason, arrived));
        }
    };
    count_request(&context, &job);
    let mut gone = CallerGone::new(&context, &job.id);
    let job = Rc::new(job);
    let answer = Forward::new(&context, &job).run().await;
    gone.answered = true;
    finish(&context, answer)
}

fn count_request(context: &Context, job: &Job) {
    let mut state = context.state_mut();
    let config = context.settings.retries;
    let budget = state.budgets.entry(job.service.clone());
    budget.or_insert_with(|| crate::budget::Budget::new(config)).request(clock::now());
}

fn finish(context: &Context, mut response: Response<Body>) -> Response<Body> {
    context.metrics.answered.with_label_values(&[response.status().as_str()]).inc();
    if context.is_leaving() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Refuses a request that was not read or has no route.
fn refuse_early(context: &Context, reason: Reason, arrived: Moment) -> Response<Body> {
    context.metrics.refused.with_label_values(&[reason.code()]).inc();
    let version = context.state().configuration.as_ref().map(|it| it.version);
    let waited = clock::now().saturating_sub(arrived);
    tracing::info!(
        reason = reason.code(),
        version,
        waited_ms = waited.as_millis() as u64,
        "request refused before it had a route"
    );
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry_after = (reason == Reason::NotReady).then_some(std::time::Duration::from_millis(300));
    reply::own(status, reason.code(), retry_after)
}

/// Logs a request whose caller went away before its answer began.
struct CallerGone<'a> {
    context: &'a Context,
    id: SmolStr,
    answered: bool,
}

impl<'a> CallerGone<'a> {
    fn new(context: &'a Context, id: &SmolStr) -> CallerGone<'a> {
        CallerGone { context, id: id.clone(), answered: false }
    }
}

impl Drop for CallerGone<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.context.metrics.callers_gone.inc();
            tracing::info!(id = %self.id, "caller went away before its answer");
        }
    }
}

/// A job with the targets that were tried.
struct Forward {
    context: Rc<Context>,
    job: Rc<Job>,
    tried: Vec<Key>,
    connects: u32,
    /// Whether some target may have begun the job.
    may_have_run: bool,
    last_failure: Option<Failure>,
}

impl Forward {
    fn new(context: &Rc<Context>, job: &Rc<Job>) -> Forward {
        Forward {
            context: Rc::clone(context),
            job: Rc::clone(job),
            tried: Vec::new(),
            connects: 0,
            may_have_run: false,
            last_failure: None,
        }
    }

    async fn run(mut self) -> Response<Body> {
        loop {
            let run = match self.attempt(None).await {
                Ok(run) => run,
                Err(reason) => return self.give_up(reason),
            };
            let key = run.key;
            let outcome = if run.is_stream() && run.head.status.is_success() {
                self.begin_stream(run).await
            } else {
                self.whole(run).await
            };
            match outcome {
                Ok(response) => return response,
                Err(failure) => {
                    if let Err(reason) = self.note_failure(key, failure) {
                        return self.give_up(reason);
                    }
                }
            }
        }
    }

    /// Sends the job to targets until one answers with a head that may be passed on.
    async fn attempt(&mut self, last_event: Option<u64>) -> Result<Run, Reason> {
        loop {
            if self.job.time_left().is_zero() {
                return Err(self.expired());
            }
            let Some(key) = self.choose() else { return Err(self.no_target()) };
            self.tried.push(key);
            match attempt::send(&self.context, &self.job, key, last_event).await {
                Ok(run) => {
                    self.context.metrics.attempts.with_label_values(&["answered"]).inc();
                    return Ok(run);
                }
                Err(failure) => self.note_failure(key, failure)?,
            }
        }
    }

    /// Notes a failed attempt.
    ///
    /// # Errors
    /// Returns why there is to be no further attempt.
    fn note_failure(&mut self, key: Key, failure: Failure) -> Result<(), Reason> {
        let context = Rc::clone(&self.context);
        attempt::note_health(&context, key, &failure);
        let retry = failure.retry();
        context.metrics.attempts.with_label_values(&[retry.code()]).inc();
        self.may_have_run |= failure.may_have_run();
        let stop = self.stop_reason(&failure);
        tracing::info!(
            id = %self.job.id,
            service = %self.job.service,
            target = context.state().registry.get(key).map(|it| it.id.as_str()),
            sent = self.job.sent.get(),
            failure = ?failure,
            left_ms = self.job.time_left().as_millis() as u64,
            stop = stop.map(Reason::code),
            "attempt failed"
        );
        let was_sent = !matches!(failure, Failure::NotSent(_));
        self.last_failure = Some(failure);
        if let Some(reason) = stop {
            return Err(reason);
        }
        if was_sent && !context.take_retry(&self.job.service) {
            return Err(if self.may_have_run { Reason::TargetFailed } else { Reason::RetryBudget });
        }
        context.metrics.retried.with_label_values(&[retry.code()]).inc();
        Ok(())
    }

    fn stop_reason(&mut self, failure: &Failure) -> Option<Reason> {
        match failure {
            Failure::Expired => return Some(Reason::DeadlineExceeded),
            Failure::Broken(_) if !self.job.route.repeat.allowed() => {
                return Some(Reason::TargetFailed);
            }
            Failure::NotSent(_) => {
                self.connects += 1;
                if MAX_CONNECTS <= self.connects {
                    return Some(self.no_target());
                }
            }
            _ => {}
        }
        self.job.attempts_used().then(|| self.no_target())
    }

    fn no_target(&self) -> Reason {
        if self.may_have_run { Reason::TargetFailed } else { Reason::NoTarget }
    }

    fn expired(&self) -> Reason {
        if self.may_have_run { Reason::DeadlineExceeded } else { Reason::Expired }
    }

    /// Chooses a target that was not tried yet.
    fn choose(&self) -> Option<Key> {
        let now = clock::now();
        let state = self.context.state();
        let prompt = &self.job.prompt;
        let shared = prompt.shared();
        let own = &self.context.settings.host.data_centre;
        let usable = state.registry.usable(&self.job.service);
        let usable = usable.filter(|(_, it)| it.stage != Some(Stage::Prefill));
        let fresh = usable.filter(|(key, _)| !self.tried.contains(key));
        let candidates: Vec<(bool, Candidate)> = fresh
            .map(|(key, target)| {
                let candidate = Candidate {
                    key,
                    hash: choice::rendezvous(&target.id, shared.last().map_or("", |it| &it.id)),
                    work: state.board.total(key, &target.id, now),
                    slots: target.slots,
                    is_near: target.data_centre == *own,
                    failures: state.health.failures(key),
                    cached: state.cache.held(key, shared),
                };
                (state.health.is_paused(key, now), candidate)
            })
            .collect();
        let sound: Vec<Candidate> =
            candidates.iter().filter(|(paused, _)| !paused).map(|(_, it)| *it).collect();
        let all: Vec<Candidate>;
        let eligible = if sound.is_empty() {
            all = candidates.iter().map(|(_, it)| *it).collect();
            &all
        } else {
            &sound
        };
        choice::choose(prompt, eligible, rand::random())
    }

    /// Passes on an answer that is not a stream.
    async fn whole(&self, run: Run) -> Result<Response<Body>, Failure> {
        let (key, target) = (run.key, run.target.id.clone());
        let (status, headers, bytes) = run.whole(&self.context, &self.job).await?;
        self.context.state_mut().health.succeeded(key);
        let mut response = Response::new(Body::whole(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        log_answer(&self.context, &self.job, &target, status, "whole");
        Ok(response)
    }

    /// Waits for the first event of a stream and passes on what follows.
    async fn begin_stream(&mut self, mut run: Run) -> Result<Response<Body>, Failure> {
        let mut splitter = Splitter::default();
        let first = next_event(&mut run, &mut splitter, &self.job).await?;
        run.prompt_read();
        let first_ms = clock::now().saturating_sub(self.job.arrived);
        self.context.metrics.latency.with_label_values(&["first"]).observe(first_ms.as_secs_f64());
        let (sender, receiver) = mpsc::channel(STREAM_PIECES);
        let mut response = Response::new(Body::Stream(receiver));
        *response.status_mut() = run.head.status;
        *response.headers_mut() = run.headers();
        let rest = Forward {
            context: Rc::clone(&self.context),
            job: Rc::clone(&self.job),
            tried: std::mem::take(&mut self.tried),
            connects: self.connects,
            may_have_run: true,
            last_failure: None,
        };
        let stream = Stream { forward: rest, sender, last: None };
        tokio::task::spawn_local(stream.pump(run, splitter, first));
        Ok(response)
    }

    /// Returns the answer of a job that no target answered.
    fn give_up(&self, reason: Reason) -> Response<Body> {
        let context = &self.context;
        context.metrics.refused.with_label_values(&[reason.code()]).inc();
        let waited = clock::now().saturating_sub(self.job.arrived);
        tracing::info!(
            id = %self.job.id,
            route = %self.job.route.name,
            service = %self.job.service,
            version = self.job.version,
            reason = reason.code(),
            verdict = reason.verdict().as_str(),
            sent = self.job.sent.get(),
            waited_ms = waited.as_millis() as u64,
            "request given up"
        );
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let not_run = reason.verdict() == Verdict::NotRun && !self.may_have_run;
        let (status, retry_after) = if not_run {
            (StatusCode::SERVICE_UNAVAILABLE, Some(std::time::Duration::from_millis(250)))
        } else if status == StatusCode::SERVICE_UNAVAILABLE {
            (StatusCode::BAD_GATEWAY, None)
        } else {
            (status, None)
        };
        reply::own(status, reason.code(), retry_after)
    }
}

/// Reads until the next whole event; `None` at the end of a complete stream.
async fn next_event(
    run: &mut Run,
    splitter: &mut Splitter,
    job: &Job,
) -> Result<Option<Event>, Failure> {
    loop {
        if let Some(event) = splitter.next_event() {
            return Ok(Some(event));
        }
        match run.piece(job.time_left()).await? {
            Some(bytes) => splitter.push(&bytes),
            None if splitter.rest().is_empty() => return Ok(None),
            None => return Err(Failure::Broken("the stream ended within an event".to_owned())),
        }
    }
}

/// A stream that is being passed on.
struct Stream {
    forward: Forward,
    sender: mpsc::Sender<Result<bytes::Bytes, Broken>>,
    /// Last event that the caller was sent.
    last: Option<u64>,
}

impl Stream {
    async fn pump(mut self, mut run: Run, mut splitter: Splitter, first: Option<Event>) {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Some(event)) => {
                    self.last = event.id.or(self.last);
                    if self.sender.send(Ok(event.bytes)).await.is_err() {
                        self.caller_gone();
                        return;
                    }
                }
                Ok(None) => {
                    self.complete(run);
                    return;
                }
                Err(failure) => {
                    let resumed = self.resume(run, failure).await;
                    let Some(other) = resumed else { return };
                    run = other;
                    splitter = Splitter::default();
                }
            }
            let job = Rc::clone(&self.forward.job);
            next = tokio::select! {
                next = next_event(&mut run, &mut splitter, &job) => next,
                () = self.sender.closed() => {
                    self.caller_gone();
                    return;
                }
            };
        }
    }

    /// Goes on at another target after the last event, or ends the answer visibly incomplete.
    async fn resume(&mut self, run: Run, failure: Failure) -> Option<Run> {
        let key = run.key;
        drop(run);
        let sender = self.sender.clone();
        let resumed = match self.forward.note_failure(key, failure) {
            Err(reason) => Err(reason),
            Ok(()) => {
                tokio::select! {
                    resumed = self.forward.attempt(self.last) => resumed,
                    () = sender.closed() => {
                        self.caller_gone();
                        return None;
                    }
                }
            }
        };
        match resumed {
            Ok(run) if run.is_stream() && run.head.status.is_success() => {
                tracing::info!(
                    id = %self.forward.job.id,
                    target = %run.target.id,
                    after = self.last,
                    "stream resumed at another target"
                );
                Some(run)
            }
            Ok(run) => {
                self.cut(run.head.status.as_str()).await;
                None
            }
            Err(reason) => {
                self.cut(reason.code()).await;
                None
            }
        }
    }

    async fn cut(&self, reason: &str) {
        let job = &self.forward.job;
        self.forward.context.metrics.refused.with_label_values(&["stream-cut"]).inc();
        tracing::warn!(
            id = %job.id,
            reason,
            last = self.last,
            sent = job.sent.get(),
            "stream broke off and cannot be resumed"
        );
        if self.sender.send(Err(Broken)).await.is_err() {
            tracing::debug!(id = %job.id, "the caller of a broken stream was gone");
        }
    }

    fn caller_gone(&self) {
        self.forward.context.metrics.callers_gone.inc();
        tracing::info!(id = %self.forward.job.id, last = self.last, "caller left its stream");
    }

    fn complete(&self, run: Run) {
        let context = &self.forward.context;
        context.state_mut().health.succeeded(run.key);
        log_answer(context, &self.forward.job, &run.target.id, run.head.status, "stream");
        run.finish(context);
    }
}

fn log_answer(context: &Context, job: &Job, target: &str, status: StatusCode, kind: &'static str) {
    let took = clock::now().saturating_sub(job.arrived);
    context.metrics.latency.with_label_values(&["whole"]).observe(took.as_secs_f64());
    tracing::info!(
        id = %job.id,
        route = %job.route.name,
        service = %job.service,
        version = job.version,
        target,
        status = status.as_u16(),
        sent = job.sent.get(),
        took_ms = took.as_millis() as u64,
        kind,
        "request answered"
    );
}
