//! Passes a stream on, event by event, and resumes it at another target when it breaks off.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::clock::{self, Moment};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    attempt::{Failure, Run},
    event_stream::{Event, Splitter},
    forward::{Forward, log_answer},
    job::Job,
    registry::Key,
    reply::Broken,
};

/// Reads until the next whole event; `None` at the end of a complete stream.
///
/// Once a stream has begun, a silence that is too long counts as a failure if it may go on elsewhere.
pub(crate) async fn next_event(
    run: &mut Run,
    splitter: &mut Splitter,
    job: &Job,
    is_begun: bool,
) -> Result<Option<Event>, Failure> {
    loop {
        if let Some(event) = splitter.next_event() {
            return Ok(Some(event));
        }
        let silence = job.silence_limit().filter(|_| is_begun).unwrap_or(Duration::MAX);
        let piece = match run.answer.piece(silence.min(job.time_left())).await {
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
pub(crate) struct Stream {
    forward: Forward,
    sender: mpsc::Sender<Result<bytes::Bytes, Broken>>,
    /// Last event that the caller was sent.
    last: Option<u64>,
    /// When the last event arrived, unless a target failed since.
    arrived: Option<Moment>,
}

impl Stream {
    /// Creates a stream of which nothing was passed on yet.
    pub(crate) fn new(
        forward: Forward,
        sender: mpsc::Sender<Result<bytes::Bytes, Broken>>,
    ) -> Stream {
        Stream { forward, sender, last: None, arrived: None }
    }

    /// Passes on a run's events from the first on.
    pub(crate) async fn pump(mut self, mut run: Run, mut splitter: Splitter, first: Option<Event>) {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Some(event)) => {
                    self.measure(run.answer.key);
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
                    self.arrived = None;
                    let resumed = self.resume(run, failure).await;
                    let Some(other) = resumed else { return };
                    run = other;
                    splitter = Splitter::default();
                }
            }
            let job = Rc::clone(&self.forward.job);
            next = tokio::select! {
                next = next_event(&mut run, &mut splitter, &job, self.last.is_some()) => next,
                () = self.sender.closed() => {
                    self.caller_gone();
                    return;
                }
            };
        }
    }

    /// Notes the pause before an event.
    fn measure(&mut self, key: Key) {
        let now = clock::now();
        if let Some(before) = self.arrived.replace(now) {
            let (context, job) = (&self.forward.context, &self.forward.job);
            let mut state = context.state_mut();
            let pause = now.saturating_sub(before);
            let between = context.metrics.latency.with_label_values(&["between"]);
            between.observe(pause.as_secs_f64());
            let times = state.times.entry(job.service.clone()).or_default();
            times.record_pause(pause, job.route.max_event_gap);
            state.paces.record(key, pause.as_secs_f64() * 1e3, now);
        }
    }

    /// Goes on at another target after the last event, or ends the answer visibly incomplete.
    async fn resume(&mut self, run: Run, failure: Failure) -> Option<Run> {
        let key = run.answer.key;
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
            Ok(run) if run.answer.is_stream() && run.answer.head.status.is_success() => {
                tracing::info!(code = 8031,
                    id = %self.forward.job.id,
                    target = %run.answer.target.id,
                    after = self.last,
                    "stream resumed at another target"
                );
                Some(run)
            }
            Ok(run) => {
                self.cut(run.answer.head.status.as_str()).await;
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
        tracing::warn!(code = 8032,
            id = %job.id,
            reason,
            last = self.last,
            sent = job.sent.get(),
            "stream broke off and cannot be resumed"
        );
        // An error discards what was not written yet, so the events before it have to be out first.
        let written = self.sender.reserve_many(self.sender.max_capacity());
        if timeout(job.time_left(), written).await.is_err() {
            tracing::debug!(id = %job.id, "the caller of a broken stream does not read");
        }
        if self.sender.send(Err(Broken)).await.is_err() {
            tracing::debug!(id = %job.id, "the caller of a broken stream was gone");
        }
    }

    fn caller_gone(&self) {
        self.forward.context.metrics.callers_gone.inc();
        tracing::info!(code = 8033, id = %self.forward.job.id, last = self.last, "caller left its stream");
    }

    fn complete(&self, run: Run) {
        let context = &self.forward.context;
        let Run { answer, ticket } = run;
        drop(ticket);
        context.state_mut().health.record_success(answer.key);
        log_answer(context, &self.forward.job, &answer.target.id, answer.head.status, "stream");
        answer.finish(context);
    }
}
