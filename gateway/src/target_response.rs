//! An answer of a target whose head arrived.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode, body::Incoming, header, http::response};
use tokio::time::timeout;

use crate::{
    attempt::Failure, context::Context, headers::end_to_end, job::Job, registry::Key,
    target::Target, upstream::Connection,
};

/// Bytes of an answer that is held until it is whole.
const MAX_WHOLE: usize = 8 * 1024 * 1024;
/// Time to read the rest of an answer that is of no use.
const DISCARD_TIME: Duration = Duration::from_millis(50);

/// An answer in progress; dropping it closes the connection, which frees the target.
#[derive(Debug)]
pub struct TargetResponse {
    /// Target that answers.
    pub target: Target,
    /// Key of the target.
    pub key: Key,
    /// Status and headers as the target sent them.
    pub head: response::Parts,
    body: Incoming,
    connection: Connection,
}

impl TargetResponse {
    /// Takes over the head of an answer to a job.
    ///
    /// # Errors
    /// Fails when the answer belongs to another request or the target did not run the job.
    pub async fn receive(
        context: &Context,
        job: &Job,
        (key, target): (Key, Target),
        connection: Connection,
        response: Response<Incoming>,
    ) -> Result<TargetResponse, Failure> {
        let (head, body) = response.into_parts();
        let answer = TargetResponse { target, key, head, body, connection };
        let checked = answer.check(context, job);
        match checked {
            Ok(()) => Ok(answer),
            Err(failure) => {
                if matches!(failure, Failure::NotRun(_)) {
                    answer.discard(context, job).await;
                }
                Err(failure)
            }
        }
    }

    fn check(&self, context: &Context, job: &Job) -> Result<(), Failure> {
        let names = &context.header_names;
        let echoed = self.head.headers.get(&names.request_id);
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
        while let Ok(Some(_)) = self.chunk(job.time_left().min(DISCARD_TIME)).await {}
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

    /// Reads the next piece; `None` at the end of a complete answer.
    ///
    /// # Errors
    /// Fails when the answer breaks off or the time is over.
    pub async fn chunk(&mut self, time: Duration) -> Result<Option<Bytes>, Failure> {
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
    pub async fn read_whole(
        mut self,
        context: &Context,
        job: &Job,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.chunk(job.time_left()).await? {
            if MAX_WHOLE < bytes.len() + piece.len() {
                return Err(Failure::Broken("the answer is too large".to_owned()));
            }
            bytes.extend_from_slice(&piece);
        }
        let (status, headers) = (self.head.status, self.headers());
        self.finish(context);
        Ok((status, headers, Bytes::from(bytes)))
    }

    /// Ends an answer that is complete and keeps its connection if the target does.
    pub fn finish(self, context: &Context) {
        let TargetResponse { key, head, connection, .. } = self;
        let is_framed = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let closes = head.headers.get(header::CONNECTION);
        let closes = closes.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"));
        if is_framed && !closes {
            context.pool.put_back(key, connection, keep_alive(&head.headers));
        }
    }
}

/// Returns how long the target keeps the connection, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
