//! One request sent to one target.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, StatusCode, body::Incoming, header, http::response};
use tokio::time::timeout;

use crate::{
    context::Context,
    headers::end_to_end,
    job::Job,
    registry::Key,
    target::Target,
    upstream::{Connection, Fault},
};
use fuchsiaknot_core::{clock, verdict::Retry};

/// Bytes of an answer that is held until it is whole.
const MAX_WHOLE: usize = 8 * 1024 * 1024;

/// Time to read the rest of an answer that is of no use.
const DISCARD_TIME: Duration = Duration::from_millis(50);

/// Why an attempt gave nothing that can be passed on.
#[derive(Debug)]
pub enum Failure {
    /// The target never got the request.
    NotSent(String),
    /// The target says that it did not run the request.
    NotRun(StatusCode),
    /// The target may have run the request, or ran a part of it.
    Broken(String),
    /// The time ran out while the target may have been at work.
    Expired,
}

impl Failure {
    /// Returns whether the target may have begun the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Failure::Broken(_) | Failure::Expired)
    }

    /// Returns the reason under which a further attempt is counted.
    pub fn retry(&self) -> Retry {
        match self {
            Failure::NotSent(_) => Retry::ConnectRefused,
            Failure::NotRun(_) => Retry::TargetRefused,
            Failure::Broken(_) => Retry::TargetFailed,
            Failure::Expired => Retry::Silent,
        }
    }
}

/// Counts a request at its target while it lasts.
#[derive(Debug)]
pub struct Ticket {
    context: Rc<Context>,
    key: Key,
    unread: u64,
}

impl Ticket {
    fn new(context: &Rc<Context>, key: Key, prompt_tokens: u64) -> Ticket {
        context.state_mut().board.begin(key, prompt_tokens);
        Ticket { context: Rc::clone(context), key, unread: prompt_tokens }
    }

    /// Notes that the prompt was read.
    pub fn prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.context.state_mut().board.prompt_read(self.key, unread);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.prompt_read();
        self.context.state_mut().board.end(self.key);
    }
}

/// An answer whose head arrived; dropping it closes the connection, which frees the target.
#[derive(Debug)]
pub struct Run {
    /// Target that answers.
    pub target: Target,
    /// Key of the target.
    pub key: Key,
    /// Status and headers as the target sent them.
    pub head: response::Parts,
    body: Incoming,
    connection: Connection,
    ticket: Ticket,
}

/// Sends a job to a target and waits for the head of the answer.
///
/// # Errors
/// Returns what is known of the run when there is no answer to pass on.
pub async fn send(
    context: &Rc<Context>,
    job: &Job,
    key: Key,
    last_event: Option<u64>,
) -> Result<Run, Failure> {
    let (target, unread) = {
        let state = context.state();
        let Some(target) = state.registry.get(key).cloned() else {
            return Err(Failure::NotSent("the target is gone".to_owned()));
        };
        let cached = state.cache.held(key, job.prompt.shared());
        (target, job.prompt.tokens.saturating_sub(cached))
    };
    let ticket = Ticket::new(context, key, unread);
    let connected = context.pool.connect(key, target.address).await;
    let mut connection = connected.map_err(|err| Failure::NotSent(err.to_string()))?;
    job.sent.set(job.sent.get() + 1);
    note_prompt(context, job, key);
    let request = job.request(&context.headers, &target, last_event);
    let response = match timeout(job.time_left(), connection.send(request)).await {
        Err(_) => return Err(Failure::Expired),
        Ok(Err(Fault::NotSent)) => {
            job.sent.set(job.sent.get() - 1);
            return Err(Failure::NotSent(Fault::NotSent.to_string()));
        }
        Ok(Err(err)) => return Err(Failure::Broken(err.to_string())),
        Ok(Ok(response)) => response,
    };
    let (head, body) = response.into_parts();
    let run = Run { target, key, head, body, connection, ticket };
    if let Err(failure) = run.check(context, job) {
        if matches!(failure, Failure::NotRun(_)) {
            run.discard(context, job).await;
        }
        return Err(failure);
    }
    Ok(run)
}

/// Notes that the target's cache will hold the job's prompt.
fn note_prompt(context: &Context, job: &Job, key: Key) {
    let mut state = context.state_mut();
    let configuration = state.configuration.as_ref();
    let engine = configuration.and_then(|it| it.services.get(&job.service)?.engine);
    if let Some(engine) = engine {
        state.cache.read(key, &job.prompt.parts, engine.memory_tokens);
    }
}

impl Run {
    /// Checks that the answer belongs to the request and that the target ran it.
    fn check(&self, context: &Context, job: &Job) -> Result<(), Failure> {
        let names = &context.headers;
        let echoed = self.head.headers.get(&names.request);
        if echoed.is_some_and(|it| it.as_bytes() != job.id.as_bytes()) {
            return Err(Failure::Broken("the answer belongs to another request".to_owned()));
        }
        let status = self.head.status;
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if self.head.headers.contains_key(&names.not_run) || misdirected {
            return Err(Failure::NotRun(status));
        }
        Ok(())
    }

    /// Reads an answer that is of no use, so that its connection can be used again.
    async fn discard(mut self, context: &Context, job: &Job) {
        while let Ok(Some(_)) = self.piece(job.time_left().min(DISCARD_TIME)).await {}
        self.finish(context);
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(&self) -> bool {
        let kind = self.head.headers.get(header::CONTENT_TYPE);
        kind.is_some_and(|it| it.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the headers that are passed on.
    pub fn headers(&self) -> HeaderMap {
        end_to_end(&self.head.headers)
    }

    /// Notes that the prompt was read.
    pub fn prompt_read(&mut self) {
        self.ticket.prompt_read();
    }

    /// Reads the next piece; `None` at the end of a complete answer.
    ///
    /// # Errors
    /// Fails when the answer breaks off or the job expires.
    pub async fn piece(&mut self, time: Duration) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = timeout(time, self.body.frame()).await.map_err(|_| Failure::Expired)?;
            match frame {
                None => return Ok(None),
                Some(Err(err)) => return Err(Failure::Broken(err.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the whole answer and returns the connection to the pool.
    ///
    /// # Errors
    /// Fails when the answer breaks off, is too large, or the job expires.
    pub async fn whole(
        mut self,
        context: &Context,
        job: &Job,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.piece(job.time_left()).await? {
            if MAX_WHOLE < bytes.len() + piece.len() {
                return Err(Failure::Broken("the answer is too large".to_owned()));
            }
            bytes.extend_from_slice(&piece);
        }
        let (status, headers) = (self.head.status, self.headers());
        self.finish(context);
        Ok((status, headers, Bytes::from(bytes)))
    }

    /// Ends a run whose answer is complete and keeps its connection if the target does.
    pub fn finish(self, context: &Context) {
        let Run { key, head, connection, ticket, .. } = self;
        drop(ticket);
        let is_framed = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let closes = head.headers.get(header::CONNECTION);
        let closes = closes.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"));
        if !is_framed || closes {
            return;
        }
        context.pool.put_back(key, connection, keep_alive(&head.headers));
    }
}

/// Returns how long the target keeps the connection, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Notes in the target's health how an attempt ended.
pub fn note_health(context: &Context, key: Key, failure: &Failure) {
    let mut state = context.state_mut();
    match failure {
        Failure::NotSent(_) | Failure::Broken(_) => {
            state.health.failed(key, clock::now());
        }
        Failure::NotRun(_) | Failure::Expired => state.health.erred(key),
    }
}
