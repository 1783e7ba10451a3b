//! Response of a target, from the arrival of its head on.

use std::{ops::RangeInclusive, time::Duration};

use bytes::Bytes;
use fuchsiaknot_core::clock::{self, Moment};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body, Incoming},
    header,
    http::response,
};
use tokio::time::timeout;

use crate::{
    context::Context,
    entry::{
        body_memory::{Exceeded, MAX_BODY_BYTES},
        headers::{closes_connection, end_to_end, is_event_stream},
        job::Job,
        response::Chunks,
    },
    targets::{registry::Key, target::Target},
    upstream::{attempt::Failure, connection::Connection},
};

/// Time within which the rest of a discarded response must end.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);
/// Most bytes of a discarded response that are read.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Largest response to a call of this host itself.
const MAX_SHORT_BYTES: usize = 64 * 1024;

/// Statuses with which a response can end a request that asked for no change of protocol.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// What was read of a response.
#[derive(Debug)]
pub enum Read {
    /// All of it.
    Whole {
        /// Status as the target sent it.
        status: StatusCode,
        /// Headers to forward.
        headers: HeaderMap,
        /// Complete body.
        body: Chunks,
    },
    /// A part: the rest is too large to be held, or there is no memory for it.
    Partial {
        /// The response, with the rest of its body.
        response: Box<TargetResponse>,
        /// Body so far.
        body: Chunks,
        /// Next chunk.
        next: Bytes,
    },
}

/// A response in progress.
///
/// Dropping it closes the connection, which frees the target.
#[derive(Debug)]
pub struct TargetResponse {
    /// Target that sends the response.
    pub target: Target,
    /// Key of the target.
    pub key: Key,
    /// Status and headers as the target sent them.
    pub head: response::Parts,
    body: Incoming,
    connection: Connection,
}

impl TargetResponse {
    /// Creates the response to a job from its head and checks it.
    ///
    /// # Errors
    /// Fails when the response belongs to another request or the target did not run the job.
    pub async fn receive(
        context: &Context,
        job: &Job,
        (key, target): (Key, Target),
        connection: Connection,
        response: Response<Incoming>,
    ) -> Result<TargetResponse, Failure> {
        let (head, body) = response.into_parts();
        let response = TargetResponse { target, key, head, body, connection };
        let checked = response.check(context, job);
        match checked {
            Ok(()) => Ok(response),
            Err(failure) => {
                if matches!(failure, Failure::NotRun(_)) {
                    response.discard(context, job).await;
                }
                Err(failure)
            }
        }
    }

    fn check(&self, context: &Context, job: &Job) -> Result<(), Failure> {
        let names = &context.header_names;
        let echoed_id = self.head.headers.get(&names.request_id);
        if echoed_id.is_some_and(|it| it.as_bytes() != job.id.as_bytes()) {
            return Err(Failure::Broken("the response belongs to another request".to_owned()));
        }
        let status = self.head.status;
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(Failure::Broken(format!("{} is no final status", status.as_u16())));
        }
        // The earlier responses on the connection named their requests. This one may be left over from
        // one of them, and say nothing of this request.
        if echoed_id.is_none() && self.connection.is_reused() && !job.id.is_empty() {
            return Err(Failure::Broken("the response does not name its request".to_owned()));
        }
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if self.head.headers.contains_key(&names.not_run) || is_misdirected {
            return Err(Failure::NotRun(status));
        }
        Ok(())
    }

    /// Reads and drops the rest of the response, so that its connection can be reused; closes the
    /// connection if the rest is long.
    async fn discard(mut self, context: &Context, job: &Job) {
        let end = clock::now() + job.time_left().min(DISCARD_TIMEOUT);
        let mut discarded = 0;
        while discarded <= MAX_DISCARDED_BYTES {
            match self.chunk(end.saturating_sub(clock::now())).await {
                Ok(Some(chunk)) => discarded += chunk.len(),
                Ok(None) => return self.finish(context),
                Err(_) => return,
            }
        }
    }

    /// Returns whether the response is a stream of server-sent events.
    pub fn is_stream(&self) -> bool {
        is_event_stream(&self.head.headers)
    }

    /// Returns whether the response is a stream with a success status.
    pub fn is_successful_stream(&self) -> bool {
        self.is_stream() && self.head.status.is_success()
    }

    /// Returns the headers to forward.
    pub fn headers(&self) -> HeaderMap {
        end_to_end(&self.head.headers)
    }

    /// Reads the next chunk of the body; `None` at the end of a complete response.
    ///
    /// # Errors
    /// Fails when the response breaks off or no chunk arrives within `max_wait`.
    pub async fn chunk(&mut self, max_wait: Duration) -> Result<Option<Bytes>, Failure> {
        loop {
            // A timeout lets a chunk pass that has arrived.
            if max_wait.is_zero() {
                return Err(Failure::Expired);
            }
            let frame = timeout(max_wait, self.body.frame()).await.map_err(|_| Failure::Expired)?;
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

    /// Reads the rest of the response and returns the connection to the pool.
    ///
    /// # Errors
    /// Fails when the response breaks off or does not end, or the job expires.
    pub async fn read_whole(mut self, context: &Context, job: &Job) -> Result<Read, Failure> {
        let mut body = Chunks::new(context.body_memory.share());
        while let Some(chunk) = self.chunk(job.time_left()).await? {
            match body.push(chunk) {
                Ok(()) => {}
                Err((exceeded, next)) if self.may_be_relayed(context, exceeded) => {
                    return Ok(Read::Partial { response: Box::new(self), body, next });
                }
                Err((exceeded, _)) => return Err(Failure::Broken(exceeded.to_string())),
            }
        }
        let (status, headers) = (self.head.status, self.headers());
        self.finish(context);
        Ok(Read::Whole { status, headers, body })
    }

    /// Reads the rest of a response to a call of this host itself, and returns the connection to the
    /// pool.
    ///
    /// # Errors
    /// Fails when the response breaks off, is too large, has not ended at `end`, or the job expires.
    pub async fn read_short(
        mut self,
        context: &Context,
        job: &Job,
        end: Moment,
    ) -> Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        loop {
            let (left, time_left) = (end.saturating_sub(clock::now()), job.time_left());
            let chunk = match self.chunk(left.min(time_left)).await {
                Err(Failure::Expired) if left < time_left => return Err(Failure::Silent),
                chunk => chunk?,
            };
            let Some(chunk) = chunk else { break };
            if MAX_SHORT_BYTES < body.len() + chunk.len() {
                return Err(Failure::Broken("the response is too large".to_owned()));
            }
            body.extend_from_slice(&chunk);
        }
        self.finish(context);
        Ok(body)
    }

    /// Returns whether the response may go to the caller before its end has arrived.
    ///
    /// One that names its request is an answer to it, however large. Any other one may be bytes
    /// without end, unless its length is known.
    fn may_be_relayed(&self, context: &Context, exceeded: Exceeded) -> bool {
        let length = self.body.size_hint().exact();
        let is_bounded = length.is_some_and(|it| it <= MAX_BODY_BYTES as u64);
        self.names_request(context) || exceeded == Exceeded::Shared && is_bounded
    }

    /// Returns whether the response names its request, which was checked on arrival.
    fn names_request(&self, context: &Context) -> bool {
        self.head.headers.contains_key(&context.header_names.request_id)
    }

    /// Ends a complete response and returns its connection to the pool if the target keeps it open.
    pub fn finish(self, context: &Context) {
        // A late copy of a response that doesn't name its request could not be recognised.
        let names_request = self.names_request(context);
        let TargetResponse { key, head, connection, .. } = self;
        let is_framed = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let closes = closes_connection(&head.headers);
        let is_leaving = context.state().availability.is_leaving(key);
        if is_framed && names_request && !closes && !is_leaving {
            context.pool.put_back(key, connection, keep_alive(&head.headers));
        }
    }
}

/// Returns the time for which the target keeps the idle connection, if the response states one.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
