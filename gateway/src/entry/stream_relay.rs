//! Relays a stream of events to a caller, and resumes it at another target when it breaks off.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use fuchsiaknot_core::clock::{self, Moment};

use crate::{
    context::Context,
    entry::{
        forward::{Forwarder, log_response},
        job::Job,
        response::Sender,
    },
    targets::registry::Key,
    upstream::{
        attempt::{self, Attempt, Failure},
        event_stream::{Event, Splitter},
    },
};

/// Time after a silence in which what has arrived is read. A process that was suspended finds its
/// timers expired before it has read what arrived meanwhile.
const SUSPENSION_GRACE: Duration = Duration::from_millis(5);

/// Reads the next whole event; `None` at the end of a complete stream.
///
/// Fails with [`Failure::Silent`] when the target completes no event within `max_silence`, whatever
/// bytes arrive; without one, waits until the job's deadline.
pub(crate) async fn next_event(
    attempt: &mut Attempt,
    splitter: &mut Splitter,
    job: &Job,
    max_silence: Option<Duration>,
) -> Result<Option<Event>, Failure> {
    let started = clock::now();
    let mut is_overdue = false;
    loop {
        let event = splitter.next_event().map_err(|err| Failure::Broken(err.to_string()))?;
        if event.is_some() {
            return Ok(event);
        }
        let silence = max_silence.unwrap_or(Duration::MAX);
        let silence = silence.saturating_sub(clock::now().saturating_sub(started));
        let time_left = job.time_left();
        let mut chunk = attempt.response.chunk(silence.min(time_left)).await;
        let is_silent =
            |it: &Result<_, Failure>| matches!(it, Err(Failure::Expired)) && silence < time_left;
        if is_silent(&chunk) && !is_overdue {
            is_overdue = true;
            chunk = attempt.response.chunk(SUSPENSION_GRACE).await;
        }
        if is_silent(&chunk) {
            return Err(Failure::Silent);
        }
        let chunk = chunk?;
        match chunk {
            Some(bytes) => splitter.push(&bytes),
            None if !splitter.is_within_event() && splitter.take_partial().is_empty() => {
                return Ok(None);
            }
            None => return Err(Failure::Broken("the stream ended within an event".to_owned())),
        }
    }
}

/// A stream that goes on at another target.
struct Replacement {
    attempt: Attempt,
    splitter: Splitter,
    /// First event from there; `None` if the stream had ended.
    first: Option<Event>,
    /// How the silent target broke off meanwhile, if it did.
    broken: Option<Failure>,
}

/// How a stream goes on after its target was silent.
enum Continuation {
    /// At the same target, with what it sent next.
    Same(Result<Option<Event>, Failure>),
    /// At another target.
    Other(Box<Replacement>),
    /// Not at all, since the caller disconnected.
    CallerGone,
}

/// Relay of one stream to its caller.
pub(crate) struct Relay {
    forwarder: Forwarder,
    sender: Sender,
    /// Identifier of the last event sent to the caller.
    last_event_id: Option<u64>,
    /// Arrival time of the last event; `None` after a failure, so that no pause spans two targets.
    last_event_at: Option<Moment>,
    /// Whether the caller has a part of an event that has not ended. No other target can go on from
    /// there.
    is_within_event: bool,
}

impl Relay {
    /// Creates a relay that has sent no event yet.
    pub(crate) fn new(forwarder: Forwarder, sender: Sender) -> Relay {
        Relay {
            forwarder,
            sender,
            last_event_id: None,
            last_event_at: None,
            is_within_event: false,
        }
    }

    /// Relays the events of an attempt, from `first` on, until the stream ends or the caller
    /// disconnects.
    pub(crate) async fn run(
        mut self,
        mut attempt: Attempt,
        mut splitter: Splitter,
        first: Option<Event>,
    ) {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Some(event)) => {
                    self.record_pause(attempt.response.key);
                    self.forwarder.record_event();
                    self.is_within_event = !event.is_complete;
                    if event.is_complete {
                        self.last_event_id = event.id.or(self.last_event_id);
                    }
                    if self.sender.send(event.bytes).await.is_err() {
                        self.record_disconnect();
                        return;
                    }
                }
                Ok(None) => {
                    self.finish(attempt);
                    return;
                }
                Err(failure) if self.is_within_event => {
                    self.forwarder.record_target_failure(attempt.response.key, &failure);
                    drop(attempt);
                    return self.abort("within-event").await;
                }
                Err(failure) => {
                    self.last_event_at = None;
                    if matches!(failure, Failure::Silent) {
                        match self.hedge(&mut attempt, &mut splitter).await {
                            Continuation::Same(same) => {
                                if let Ok(Some(_)) = same {
                                    self.record_recovery(attempt.response.key);
                                }
                                next = same;
                            }
                            Continuation::Other(other) => {
                                if let Some(failure) = other.broken {
                                    let key = attempt.response.key;
                                    self.forwarder.record_target_failure(key, &failure);
                                }
                                self.forwarder.first_event_at = None;
                                self.log_resumed(&other.attempt);
                                (attempt, splitter) = (other.attempt, other.splitter);
                                next = Ok(other.first);
                            }
                            Continuation::CallerGone => return self.record_disconnect(),
                        }
                        continue;
                    }
                    let Some(resumed) = self.resume(attempt, failure).await else { return };
                    self.log_resumed(&resumed);
                    attempt = resumed;
                    splitter = Splitter::default();
                }
            }
            let job = Rc::clone(&self.forwarder.job);
            // Before its first event a stream may be queued at its target.
            let may_resume = self.last_event_id.is_some() && !self.is_within_event;
            let max_silence = job.silence_timeout().filter(|_| may_resume);
            next = tokio::select! {
                next = next_event(&mut attempt, &mut splitter, &job, max_silence) => next,
                () = self.sender.closed() => {
                    self.record_disconnect();
                    return;
                }
            };
        }
    }

    /// Records the pause between the last event and this one.
    fn record_pause(&mut self, key: Key) {
        let now = clock::now();
        if let Some(last_event_at) = self.last_event_at.replace(now) {
            let (context, job) = (&self.forwarder.context, &self.forwarder.job);
            let mut state = context.state_mut();
            let pause = now.saturating_sub(last_event_at);
            let between = context.metrics.latency.with_label_values(&["between"]);
            between.observe(pause.as_secs_f64());
            let latency_model = state.latency_models.entry(job.service.clone()).or_default();
            latency_model.record_pause(pause, job.route.max_event_gap);
            state.slowness.record(key, pause.as_secs_f64() * 1e3, now);
        }
    }

    /// Waits for a silent target while the job is sent to another one. The stream goes on where the
    /// next event comes from.
    ///
    /// The attempt at the silent target is kept until then: the target may go on, and there may be no
    /// other one, or no retry left in the budget.
    async fn hedge(&mut self, attempt: &mut Attempt, splitter: &mut Splitter) -> Continuation {
        let Relay { forwarder, sender, last_event_id, .. } = self;
        let (job, key) = (Rc::clone(&forwarder.job), attempt.response.key);
        let mut replacement = pin!(replace_silent(forwarder, key, *last_event_id));
        let failure = tokio::select! {
            next = next_event(attempt, splitter, &job, None) => match next {
                Err(failure @ Failure::Broken(_)) => Some(failure),
                next => return Continuation::Same(next),
            },
            other = replacement.as_mut() => match other {
                Some(other) => return Continuation::Other(Box::new(other)),
                None => None,
            },
            () = sender.closed() => return Continuation::CallerGone,
        };
        let Some(failure) = failure else {
            return tokio::select! {
                next = next_event(attempt, splitter, &job, job.silence_timeout()) => {
                    Continuation::Same(next)
                }
                () = sender.closed() => Continuation::CallerGone,
            };
        };
        tokio::select! {
            other = replacement => match other {
                Some(other) => {
                    Continuation::Other(Box::new(Replacement { broken: Some(failure), ..other }))
                }
                None => Continuation::Same(Err(failure)),
            },
            () = sender.closed() => Continuation::CallerGone,
        }
    }

    /// Resumes the stream at another target after the last event, or ends it with an error; the
    /// caller then sees an incomplete response.
    async fn resume(&mut self, attempt: Attempt, failure: Failure) -> Option<Attempt> {
        let key = attempt.response.key;
        drop(attempt);
        let resumed = match self.forwarder.record_failure(key, failure) {
            Err(reason) => Err(reason),
            Ok(()) => {
                tokio::select! {
                    resumed = self.forwarder.send_until_answered(self.last_event_id) => resumed,
                    () = self.sender.closed() => {
                        self.record_disconnect();
                        return None;
                    }
                }
            }
        };
        match resumed {
            Ok(attempt) if attempt.response.is_successful_stream() => return Some(attempt),
            Ok(attempt) => self.abort(attempt.response.head.status.as_str()).await,
            Err(reason) => self.abort(reason.code()).await,
        }
        None
    }

    /// Ends the pause of a target that was silent and goes on.
    fn record_recovery(&self, key: Key) {
        self.forwarder.context.state_mut().health.record_success(key);
    }

    fn log_resumed(&self, attempt: &Attempt) {
        tracing::info!(code = 8031,
            id = %self.forwarder.job.id,
            target = %attempt.response.target.id,
            software = attempt.response.target.software_version.as_deref(),
            after = self.last_event_id,
            "stream resumed at another target"
        );
    }

    /// Ends the stream with an error, once the caller has read all events or the deadline has
    /// passed.
    async fn abort(&self, reason: &str) {
        let (context, job) = (&self.forwarder.context, &self.forwarder.job);
        log_cut(context, job, reason, self.last_event_id, None);
        self.sender.cut(job.time_left()).await;
    }

    fn record_disconnect(&self) {
        record_disconnect(&self.forwarder.context, &self.forwarder.job, self.last_event_id);
    }

    /// Records and logs a complete stream.
    fn finish(&mut self, attempt: Attempt) {
        self.forwarder.record_answer();
        let context = &self.forwarder.context;
        let Attempt { response, in_flight } = attempt;
        drop(in_flight);
        context.state_mut().health.record_success(response.key);
        log_response(
            context,
            &self.forwarder.job,
            &response.target,
            response.head.status,
            "stream",
        );
        response.finish(context);
    }
}

/// Sends a job to another target than the silent one, and waits for the first event after
/// `last_event_id`; `None` if no target takes it.
async fn replace_silent(
    forwarder: &mut Forwarder,
    silent: Key,
    last_event_id: Option<u64>,
) -> Option<Replacement> {
    let job = Rc::clone(&forwarder.job);
    let mut failed = (silent, Failure::Silent);
    loop {
        let (key, failure) = failed;
        forwarder.record_failure(key, failure).ok()?;
        let mut attempt = forwarder.send_until_answered(last_event_id).await.ok()?;
        if !attempt.response.is_successful_stream() {
            return None;
        }
        let mut splitter = Splitter::default();
        match next_event(&mut attempt, &mut splitter, &job, None).await {
            Ok(first) => return Some(Replacement { attempt, splitter, first, broken: None }),
            Err(failure) => failed = (attempt.response.key, failure),
        }
    }
}

/// Relays the rest of a response that is not a stream, from the chunk `next` on.
pub(crate) async fn relay_rest(
    context: Rc<Context>,
    job: Rc<Job>,
    mut attempt: Attempt,
    sender: Sender,
    mut next: Bytes,
) {
    loop {
        if sender.send(next).await.is_err() {
            return record_disconnect(&context, &job, None);
        }
        let chunk = tokio::select! {
            chunk = attempt.response.chunk(job.time_left()) => chunk,
            () = sender.closed() => return record_disconnect(&context, &job, None),
        };
        next = match chunk {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(failure) => {
                attempt::record_health(&context, attempt.response.key, &failure);
                drop(attempt);
                log_cut(&context, &job, "not-whole", None, Some(&failure));
                return sender.cut(job.time_left()).await;
            }
        };
    }
    let Attempt { response, in_flight } = attempt;
    drop(in_flight);
    context.state_mut().health.record_success(response.key);
    log_response(&context, &job, &response.target, response.head.status, "relayed");
    response.finish(&context);
}

fn record_disconnect(context: &Context, job: &Job, last_event_id: Option<u64>) {
    context.metrics.callers_gone.inc();
    tracing::info!(code = 8033, id = %job.id, last = last_event_id, "caller disconnected during the stream");
}

/// Logs that a response is cut; `failure` is what ended one that is not a stream.
fn log_cut(
    context: &Context,
    job: &Job,
    reason: &str,
    last_event_id: Option<u64>,
    failure: Option<&Failure>,
) {
    context.metrics.refused.with_label_values(&["stream-cut"]).inc();
    tracing::warn!(code = 8032,
        id = %job.id,
        reason,
        failure = failure.map(|it| format!("{it:?}")),
        last = last_event_id,
        sent = job.attempts_sent.get(),
        shutdown_ms = context.shutdown_age_ms(),
        "stream broke off and cannot be resumed"
    );
}
