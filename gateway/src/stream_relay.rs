//! Passes a stream on, event by event, and resumes it at another target when it breaks off.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::clock::{self, Moment};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    attempt::{Attempt, Failure},
    event_stream::{Event, Splitter},
    forward::{Forwarder, log_response},
    job::Job,
    registry::Key,
    response::Truncated,
};

/// Reads until the next whole event; `None` at the end of a complete stream.
///
/// Once a stream has begun, a silence that is too long counts as a failure if it may go on elsewhere.
pub(crate) async fn next_event(
    run: &mut Attempt,
    splitter: &mut Splitter,
    job: &Job,
    is_begun: bool,
) -> Result<Option<Event>, Failure> {
    loop {
        if let Some(event) = splitter.next_event() {
            return Ok(Some(event));
        }
        let silence = job.silence_timeout().filter(|_| is_begun).unwrap_or(Duration::MAX);
        let piece = match run.response.chunk(silence.min(job.time_left())).await {
            Err(Failure::Expired) if silence < job.time_left() => return Err(Failure::Silent),
            other => other?,
        };
        match piece {
            Some(bytes) => splitter.push(&bytes),
            None if splitter.rest().is_empty() => return Ok(None),
            None => return Err(Failure::Broken("the stream ended within an event".to_owned())),
        }
    }
}

/// A stream that is being passed on.
pub(crate) struct Relay {
    forwarder: Forwarder,
    sender: mpsc::Sender<Result<bytes::Bytes, Truncated>>,
    /// Last event that the caller was sent.
    last_event_id: Option<u64>,
    /// When the last event arrived, unless a target failed since.
    last_event_at: Option<Moment>,
}

impl Relay {
    /// Creates a stream of which nothing was passed on yet.
    pub(crate) fn new(
        forwarder: Forwarder,
        sender: mpsc::Sender<Result<bytes::Bytes, Truncated>>,
    ) -> Relay {
        Relay { forwarder, sender, last_event_id: None, last_event_at: None }
    }

    /// Passes on a run's events from the first on.
    pub(crate) async fn run(
        mut self,
        mut run: Attempt,
        mut splitter: Splitter,
        first: Option<Event>,
    ) {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Some(event)) => {
                    self.record_pause(run.response.key);
                    self.last_event_id = event.id.or(self.last_event_id);
                    if self.sender.send(Ok(event.bytes)).await.is_err() {
                        self.record_disconnect();
                        return;
                    }
                }
                Ok(None) => {
                    self.complete(run);
                    return;
                }
                Err(failure) => {
                    self.last_event_at = None;
                    let resumed = self.resume(run, failure).await;
                    let Some(other) = resumed else { return };
                    run = other;
                    splitter = Splitter::default();
                }
            }
            let job = Rc::clone(&self.forwarder.job);
            next = tokio::select! {
                next = next_event(&mut run, &mut splitter, &job, self.last_event_id.is_some()) => next,
                () = self.sender.closed() => {
                    self.record_disconnect();
                    return;
                }
            };
        }
    }

    /// Notes the pause before an event.
    fn record_pause(&mut self, key: Key) {
        let now = clock::now();
        if let Some(before) = self.last_event_at.replace(now) {
            let (context, job) = (&self.forwarder.context, &self.forwarder.job);
            let mut state = context.state_mut();
            let pause = now.saturating_sub(before);
            let between = context.metrics.latency.with_label_values(&["between"]);
            between.observe(pause.as_secs_f64());
            let times = state.latency_models.entry(job.service.clone()).or_default();
            times.record_pause(pause, job.route.max_event_gap);
            state.slowness.record(key, pause.as_secs_f64() * 1e3, now);
        }
    }

    /// Goes on at another target after the last event, or ends the answer visibly incomplete.
    async fn resume(&mut self, run: Attempt, failure: Failure) -> Option<Attempt> {
        let key = run.response.key;
        drop(run);
        let sender = self.sender.clone();
        let resumed = match self.forwarder.record_failure(key, failure) {
            Err(reason) => Err(reason),
            Ok(()) => {
                tokio::select! {
                    resumed = self.forwarder.send_until_answered(self.last_event_id) => resumed,
                    () = sender.closed() => {
                        self.record_disconnect();
                        return None;
                    }
                }
            }
        };
        match resumed {
            Ok(run) if run.response.is_stream() && run.response.head.status.is_success() => {
                tracing::info!(code = 8031,
                    id = %self.forwarder.job.id,
                    target = %run.response.target.id,
                    after = self.last_event_id,
                    "stream resumed at another target"
                );
                Some(run)
            }
            Ok(run) => {
                self.abort(run.response.head.status.as_str()).await;
                None
            }
            Err(reason) => {
                self.abort(reason.code()).await;
                None
            }
        }
    }

    async fn abort(&self, reason: &str) {
        let job = &self.forwarder.job;
        self.forwarder.context.metrics.refused.with_label_values(&["stream-cut"]).inc();
        tracing::warn!(code = 8032,
            id = %job.id,
            reason,
            last = self.last_event_id,
            sent = job.attempts_sent.get(),
            "stream broke off and cannot be resumed"
        );
        // An error discards what was not written yet, so the events before it have to be out first.
        let written = self.sender.reserve_many(self.sender.max_capacity());
        if timeout(job.time_left(), written).await.is_err() {
            tracing::debug!(id = %job.id, "the caller of a broken stream does not read");
        }
        if self.sender.send(Err(Truncated)).await.is_err() {
            tracing::debug!(id = %job.id, "the caller of a broken stream was gone");
        }
    }

    fn record_disconnect(&self) {
        self.forwarder.context.metrics.callers_gone.inc();
        tracing::info!(code = 8033, id = %self.forwarder.job.id, last = self.last_event_id, "caller left its stream");
    }

    fn complete(&self, run: Attempt) {
        let context = &self.forwarder.context;
        let Attempt { response, in_flight } = run;
        drop(in_flight);
        context.state_mut().health.record_success(response.key);
        log_response(
            context,
            &self.forwarder.job,
            &response.target.id,
            response.head.status,
            "stream",
        );
        response.finish(context);
    }
}
