//! One request sent to one target.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::{clock, verdict::RetryReason};
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

use crate::{
    context::Context, dispatcher, job::Job, load::Work, prefill::Prefilled, registry::Key,
    target_response::TargetResponse, upstream::RequestError,
};

/// Why an attempt gave nothing that can be passed on.
#[derive(Debug)]
pub enum Failure {
    /// The target never got the request.
    NotSent(String),
    /// The target says that it did not run the request.
    NotRun(StatusCode),
    /// The target may have run the request, or ran a part of it.
    Broken(String),
    /// The target was silent for longer than the bound; it may have run the request.
    Silent,
    /// The time ran out while the target may have been at work.
    Expired,
}

impl Failure {
    /// Returns the failure of a call that reads a prompt and cannot run the request.
    pub fn into_prefill_failure(self) -> Failure {
        match self {
            Failure::Broken(_) | Failure::Silent => Failure::NotRun(StatusCode::BAD_GATEWAY),
            other => other,
        }
    }

    /// Returns whether the target may have begun the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Failure::Broken(_) | Failure::Silent | Failure::Expired)
    }

    /// Returns the reason under which a further attempt is counted.
    pub fn retry_reason(&self) -> RetryReason {
        match self {
            Failure::NotSent(_) => RetryReason::ConnectRefused,
            Failure::NotRun(_) => RetryReason::TargetRefused,
            Failure::Broken(_) => RetryReason::TargetFailed,
            Failure::Silent | Failure::Expired => RetryReason::Silent,
        }
    }
}

/// Counts a request at its target while it lasts.
#[derive(Debug)]
pub struct InFlight {
    context: Rc<Context>,
    /// The target.
    pub key: Key,
    work: Work,
    queued_tokens: u64,
}

impl InFlight {
    /// Counts a job that is being sent to a target, of whose prompt `unread` tokens are to be read.
    pub fn new(context: &Rc<Context>, job: &Job, key: Key, unread: u64) -> InFlight {
        let kv_tokens = job.prompt.tokens + job.prompt.max_output_tokens;
        let work = Work { requests: 1, prompt_tokens: unread, kv_tokens };
        let before = context.state().total_work(key).prompt_tokens;
        context.state_mut().load.add(key, work);
        context.work_changed.notify_one();
        InFlight { context: Rc::clone(context), key, work, queued_tokens: before + unread }
    }

    /// Takes over the dispatcher's count of the tokens that are read before the job's.
    pub fn with_tokens_ahead(mut self, waiting: Option<u64>) -> InFlight {
        self.queued_tokens = waiting.map_or(self.queued_tokens, |it| it + self.work.prompt_tokens);
        self
    }

    /// Returns the tokens that waited at the target when the job was sent, its own among them.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Returns whether nothing else waited at the target when the job was sent.
    pub fn queue_was_empty(&self) -> bool {
        self.queued_tokens == self.work.prompt_tokens
    }

    /// Notes that the prompt was read.
    pub fn finish_prefill(&mut self) {
        let prompt_tokens = std::mem::take(&mut self.work.prompt_tokens);
        let read = Work { prompt_tokens, ..Work::default() };
        self.context.state_mut().load.remove(self.key, read);
        self.notify_work_changed();
    }

    fn notify_work_changed(&self) {
        self.context.work_changed.notify_one();
        dispatcher::wake(&self.context);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.context.state_mut().load.remove(self.key, self.work);
        self.notify_work_changed();
    }
}

/// How a job is sent to a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options<'a> {
    /// Last event that the caller has; the stream goes on behind it.
    pub last_event_id: Option<u64>,
    /// Prompt that another engine has read.
    pub prefilled: Option<&'a Prefilled>,
    /// Time for the head of the answer, if another target may then be tried.
    pub head_timeout: Option<Duration>,
}

/// A job that a target answers; dropping it closes the connection, which frees the target.
#[derive(Debug)]
pub struct Attempt {
    /// The answer.
    pub response: TargetResponse,
    /// Counts the job at its target.
    pub in_flight: InFlight,
}

/// Sends a job to a target and waits for the head of the answer.
///
/// # Errors
/// Returns what is known of the run when there is no answer to pass on.
pub async fn send(
    context: &Context,
    job: &Job,
    in_flight: InFlight,
    options: Options<'_>,
) -> Result<Attempt, Failure> {
    job.sent_at.set(Some(clock::now()));
    let headers = HeaderMap::new();
    let response = send_request(context, job, in_flight.key, options, headers).await?;
    Ok(Attempt { response, in_flight })
}

/// Sends a job, with more headers, to a target and waits for the head of the answer.
///
/// # Errors
/// Returns what is known of the run when there is no answer to pass on.
pub async fn send_request(
    context: &Context,
    job: &Job,
    key: Key,
    options: Options<'_>,
    headers: HeaderMap,
) -> Result<TargetResponse, Failure> {
    let target = context.state().registry.get(key).cloned();
    let target = target.filter(|it| !it.draining);
    let target =
        target.ok_or_else(|| Failure::NotSent("the target takes nothing new".to_owned()))?;
    let connected = context.pool.connect(key, target.address).await;
    let mut connection = connected.map_err(|err| Failure::NotSent(err.to_string()))?;
    let mut request = job.request(&context.header_names, &target, options);
    request.headers_mut().extend(headers);
    let time = options.head_timeout.unwrap_or(Duration::MAX).min(job.time_left());
    match timeout(time, connection.send(request)).await {
        Err(_) if time < job.time_left() => Err(Failure::Silent),
        Err(_) => Err(Failure::Expired),
        Ok(Err(RequestError::NotSent)) => Err(Failure::NotSent(RequestError::NotSent.to_string())),
        Ok(Err(err)) => Err(Failure::Broken(err.to_string())),
        Ok(Ok(response)) => {
            TargetResponse::receive(context, job, (key, target), connection, response).await
        }
    }
}

/// Notes in the target's health how an attempt ended.
pub fn record_health(context: &Context, key: Key, failure: &Failure) {
    let mut state = context.state_mut();
    match failure {
        Failure::NotSent(_) | Failure::Broken(_) | Failure::Silent => {
            state.health.record_failure(key, clock::now());
        }
        Failure::NotRun(_) | Failure::Expired => state.health.record_error(key),
    }
}
