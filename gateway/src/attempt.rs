//! One request sent to one target.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::{clock, verdict::Retry};
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

use crate::{
    answer::Answer, context::Context, dispatcher, job::Job, load::Work, prefill::Prefilled,
    registry::Key, upstream::Fault,
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
    pub fn before_run(self) -> Failure {
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
    pub fn retry(&self) -> Retry {
        match self {
            Failure::NotSent(_) => Retry::ConnectRefused,
            Failure::NotRun(_) => Retry::TargetRefused,
            Failure::Broken(_) => Retry::TargetFailed,
            Failure::Silent | Failure::Expired => Retry::Silent,
        }
    }
}

/// Counts a request at its target while it lasts.
#[derive(Debug)]
pub struct Ticket {
    context: Rc<Context>,
    /// The target.
    pub key: Key,
    work: Work,
    unread: u64,
}

impl Ticket {
    /// Counts a job that is being sent to a target, of whose prompt `unread` tokens are to be read.
    pub fn new(context: &Rc<Context>, job: &Job, key: Key, unread: u64) -> Ticket {
        let memory_tokens = job.prompt.tokens + job.prompt.output;
        let work = Work { requests: 1, prompt_tokens: unread, memory_tokens };
        let before = context.state().total_work(key).prompt_tokens;
        context.state_mut().board.add(key, work);
        context.work_changed.notify_one();
        Ticket { context: Rc::clone(context), key, work, unread: before + unread }
    }

    /// Takes over the dispatcher's count of the tokens that are read before the job's.
    pub fn behind(mut self, waiting: Option<u64>) -> Ticket {
        self.unread = waiting.map_or(self.unread, |it| it + self.work.prompt_tokens);
        self
    }

    /// Returns the tokens that waited at the target when the job was sent, its own among them.
    pub fn unread(&self) -> u64 {
        self.unread
    }

    /// Returns whether nothing else waited at the target when the job was sent.
    pub fn is_alone(&self) -> bool {
        self.unread == self.work.prompt_tokens
    }

    /// Notes that the prompt was read.
    pub fn prompt_read(&mut self) {
        let prompt_tokens = std::mem::take(&mut self.work.prompt_tokens);
        let read = Work { prompt_tokens, ..Work::default() };
        self.context.state_mut().board.remove(self.key, read);
        self.changed();
    }

    fn changed(&self) {
        self.context.work_changed.notify_one();
        dispatcher::wake(&self.context);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.context.state_mut().board.remove(self.key, self.work);
        self.changed();
    }
}

/// How a job is sent to a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options<'a> {
    /// Last event that the caller has; the stream goes on behind it.
    pub last_event: Option<u64>,
    /// Prompt that another engine has read.
    pub prefilled: Option<&'a Prefilled>,
    /// Time for the head of the answer, if another target may then be tried.
    pub limit: Option<Duration>,
}

/// A job that a target answers; dropping it closes the connection, which frees the target.
#[derive(Debug)]
pub struct Run {
    /// The answer.
    pub answer: Answer,
    /// Counts the job at its target.
    pub ticket: Ticket,
}

/// Sends a job to a target and waits for the head of the answer.
///
/// # Errors
/// Returns what is known of the run when there is no answer to pass on.
pub async fn send(
    context: &Context,
    job: &Job,
    ticket: Ticket,
    options: Options<'_>,
) -> Result<Run, Failure> {
    job.sent_at.set(Some(clock::now()));
    let headers = HeaderMap::new();
    let answer = exchange(context, job, ticket.key, options, headers).await?;
    Ok(Run { answer, ticket })
}

/// Sends a job, with more headers, to a target and waits for the head of the answer.
///
/// # Errors
/// Returns what is known of the run when there is no answer to pass on.
pub async fn exchange(
    context: &Context,
    job: &Job,
    key: Key,
    options: Options<'_>,
    headers: HeaderMap,
) -> Result<Answer, Failure> {
    let target = context.state().registry.get(key).cloned();
    let target = target.filter(|it| !it.draining);
    let target =
        target.ok_or_else(|| Failure::NotSent("the target takes nothing new".to_owned()))?;
    let connected = context.pool.connect(key, target.address).await;
    let mut connection = connected.map_err(|err| Failure::NotSent(err.to_string()))?;
    let mut request = job.request(&context.headers, &target, options);
    request.headers_mut().extend(headers);
    let time = options.limit.unwrap_or(Duration::MAX).min(job.time_left());
    match timeout(time, connection.send(request)).await {
        Err(_) if time < job.time_left() => Err(Failure::Silent),
        Err(_) => Err(Failure::Expired),
        Ok(Err(Fault::NotSent)) => Err(Failure::NotSent(Fault::NotSent.to_string())),
        Ok(Err(err)) => Err(Failure::Broken(err.to_string())),
        Ok(Ok(response)) => {
            Answer::receive(context, job, (key, target), connection, response).await
        }
    }
}

/// Notes in the target's health how an attempt ended.
pub fn note_health(context: &Context, key: Key, failure: &Failure) {
    let mut state = context.state_mut();
    match failure {
        Failure::NotSent(_) | Failure::Broken(_) | Failure::Silent => {
            state.health.record_failure(key, clock::now());
        }
        Failure::NotRun(_) | Failure::Expired => state.health.record_error(key),
    }
}
