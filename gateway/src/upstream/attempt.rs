//! One attempt: a request sent to one target.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fuchsiaknot_core::{
    clock,
    verdict::{Reason, RetryReason},
};
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

use crate::{
    context::Context,
    entry::job::Job,
    placement::{dispatcher, load::Work},
    targets::{notice, registry::Key},
    upstream::{
        calls::Call, connection::RequestError, prefill::Prefilled, probe,
        target_response::TargetResponse,
    },
};

/// Why an attempt yielded no response to forward.
#[derive(Debug)]
pub enum Failure {
    /// The request never reached the target.
    NotSent(String),
    /// Nothing was sent: the target is leaving, asked this host to back off, or has another software
    /// version than the stream, or this host is cut off from the targets.
    Unavailable,
    /// Nothing was sent: the caller's key was revoked, or this host cannot tell.
    Unauthorised(Reason),
    /// The target answered that it did not run the request.
    NotRun(StatusCode),
    /// The connection broke or the response is unusable; the target may have run part of the
    /// request.
    Broken(String),
    /// The target sent nothing within the timeout; it may have run the request.
    Silent,
    /// The request's deadline passed while the target may have been running it.
    Expired,
}

impl Failure {
    /// Converts the failure of a prefill call, which cannot have run the request.
    pub fn into_prefill_failure(self) -> Failure {
        match self {
            Failure::Broken(_) | Failure::Silent => Failure::NotRun(StatusCode::BAD_GATEWAY),
            other => other,
        }
    }

    /// Returns whether the target may have started the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Failure::Broken(_) | Failure::Silent | Failure::Expired)
    }

    /// Returns the reason under which the retry after this failure is counted.
    pub fn retry_reason(&self) -> RetryReason {
        match self {
            Failure::NotSent(_) => RetryReason::ConnectRefused,
            Failure::NotRun(_) | Failure::Unavailable | Failure::Unauthorised(_) => {
                RetryReason::TargetRefused
            }
            Failure::Broken(_) => RetryReason::TargetFailed,
            Failure::Silent | Failure::Expired => RetryReason::Silent,
        }
    }
}

/// Counts a job in its target's load until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    context: Rc<Context>,
    /// Key of the target.
    pub key: Key,
    work: Work,
    queued_tokens: u64,
}

impl InFlight {
    /// Adds a job to the load of its target, where `prefill_tokens` of its prompt need a prefill.
    pub fn new(context: &Rc<Context>, job: &Job, key: Key, prefill_tokens: u64) -> InFlight {
        let kv_tokens = job.prompt.tokens + job.prompt.max_output_tokens;
        let work = Work { requests: 1, prompt_tokens: prefill_tokens, kv_tokens };
        let tokens_ahead = context.state().total_work(key).prompt_tokens;
        notice::record_request(context, key);
        context.state_mut().load.add(key, work);
        context.work_changed.notify_one();
        InFlight {
            context: Rc::clone(context),
            key,
            work,
            queued_tokens: tokens_ahead + prefill_tokens,
        }
    }

    /// Replaces this host's count of the prompt tokens queued before the job by the dispatcher's,
    /// if any.
    pub fn with_tokens_ahead(mut self, tokens_ahead: Option<u64>) -> InFlight {
        self.queued_tokens =
            tokens_ahead.map_or(self.queued_tokens, |it| it + self.work.prompt_tokens);
        self
    }

    /// Returns the prompt tokens queued at the target when the job was sent, including the job's
    /// own.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Returns whether no other prompt was queued at the target when the job was sent.
    pub fn queue_was_empty(&self) -> bool {
        self.queued_tokens == self.work.prompt_tokens
    }

    /// Removes the prompt's tokens from the target's load once its prefill has ended.
    pub fn finish_prefill(&mut self) {
        let prompt_tokens = std::mem::take(&mut self.work.prompt_tokens);
        let prefilled = Work { prompt_tokens, ..Work::default() };
        self.context.state_mut().load.remove(self.key, prefilled);
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
    /// What the target is asked for.
    pub call: Call,
    /// Identifier of the last event sent to the caller; the stream resumes after it.
    pub last_event_id: Option<u64>,
    /// Prompt that another engine has prefilled.
    pub prefilled: Option<&'a Prefilled>,
    /// Engine from which the target first fetches what it lacks of the prompt.
    pub part_source: Option<SocketAddr>,
    /// Time to wait for the response head before the attempt is given up; `None` to wait until the
    /// job's deadline.
    pub head_timeout: Option<Duration>,
}

/// An attempt whose target has sent a response head.
///
/// Dropping it closes the connection, which frees the target.
#[derive(Debug)]
pub struct Attempt {
    /// The response so far.
    pub response: TargetResponse,
    /// The job's share of the target's load.
    pub in_flight: InFlight,
}

/// Sends a job to a target and waits for the response head.
///
/// # Errors
/// Fails when there is no response to forward; [`Failure::may_have_run`] tells whether the job may
/// have run.
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

/// Sends a job with additional headers to a target and waits for the response head.
///
/// # Errors
/// Fails when there is no response to forward; [`Failure::may_have_run`] tells whether the job may
/// have run.
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
        target.ok_or_else(|| Failure::NotSent("the target is draining or gone".to_owned()))?;
    let may_send = || {
        job.allows(&target)
            && !context.should_use_proxies()
            && context.state().availability.may_send(key, clock::now())
    };
    if !may_send() {
        return Err(Failure::Unavailable);
    }
    let connected = probe::connect(context, key, target.address, &job.id).await;
    let mut connection = connected.map_err(|err| Failure::NotSent(err.to_string()))?;
    if !may_send() {
        return Err(Failure::Unavailable);
    }
    job.check_account(context).map_err(Failure::Unauthorised)?;
    let mut request = job.target_request(&context.header_names, &target, options);
    request.headers_mut().extend(headers);
    if job.record_call(options.call) {
        let further_calls = &context.metrics.further_calls;
        further_calls.with_label_values(&[options.call.as_str()]).inc();
    }
    let time_left = job.time_left();
    let head_timeout = options.head_timeout.unwrap_or(Duration::MAX).min(time_left);
    match timeout(head_timeout, connection.send(&job.id, request)).await {
        Err(_) if head_timeout < time_left => Err(Failure::Silent),
        Err(_) => Err(Failure::Expired),
        Ok(Err(RequestError::NotSent)) => {
            job.withdraw_call(options.call);
            Err(Failure::NotSent(RequestError::NotSent.to_string()))
        }
        Ok(Err(err)) => Err(Failure::Broken(err.to_string())),
        Ok(Ok(response)) => {
            notice::record(context, key, response.status(), response.headers());
            TargetResponse::receive(context, job, (key, target), connection, response).await
        }
    }
}

/// Records a failed attempt in the health of its target.
pub fn record_health(context: &Context, key: Key, failure: &Failure) {
    let mut state = context.state_mut();
    match failure {
        Failure::NotSent(_) | Failure::Broken(_) | Failure::Silent => {
            state.health.record_failure(key, clock::now());
        }
        Failure::NotRun(_) | Failure::Expired => state.health.record_error(key),
        Failure::Unavailable | Failure::Unauthorised(_) => {}
    }
}
