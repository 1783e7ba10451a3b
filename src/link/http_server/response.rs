//! Answers: whole ones and streams whose chunks are flushed one by one.

use std::{
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
    header::{HeaderName, HeaderValue},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{gateway::watchdog::Watchdog, link::runtime};

/// Pieces that wait for a caller who reads slowly.
const BUFFERED_CHUNKS: usize = 64;

/// Status and header fields of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
}

impl Head {
    /// Creates a head without header fields.
    pub fn new(status: u16) -> Head {
        Head { status, headers: HeaderMap::new() }
    }

    /// Adds a header field; one with an invalid name or value is left out.
    pub fn with_header(mut self, name: &str, value: &str) -> Head {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.headers.append(name, value);
        }
        self
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status and header fields.
    pub head: Head,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Creates an answer without header fields.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Response {
        Response { head: Head::new(status), body: body.into() }
    }

    /// Creates a JSON answer.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response::new(status, body).with_header("content-type", "application/json")
    }

    /// Adds a header field; one with an invalid name or value is left out.
    pub fn with_header(mut self, name: &str, value: &str) -> Response {
        self.head = self.head.with_header(name, value);
        self
    }
}

/// The caller went away, or has not read for longer than the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller went away")]
pub struct Disconnected;

/// Tells whether a caller is still connected.
#[derive(Debug, Clone)]
pub struct CallerPresence(Weak<Watchdog>);

impl CallerPresence {
    /// Returns whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.0.strong_count() == 0
    }
}

/// The right to answer one request.
#[derive(Debug)]
pub struct Responder {
    answer: oneshot::Sender<Outcome>,
    presence: CallerPresence,
    stall_timeout: Duration,
}

impl Responder {
    pub(super) fn new(
        watchdog: &Arc<Watchdog>,
        stall_timeout: Duration,
    ) -> (Responder, oneshot::Receiver<Outcome>) {
        let (answer, received) = oneshot::channel();
        let presence = CallerPresence(Arc::downgrade(watchdog));
        (Responder { answer, presence, stall_timeout }, received)
    }

    /// Returns a handle that tells whether the caller is still connected.
    pub fn presence(&self) -> CallerPresence {
        self.presence.clone()
    }

    /// Gives a whole answer.
    pub fn send(self, answer: Response) {
        let _ = self.answer.send(Outcome::Whole(answer));
    }

    /// Starts a streamed answer.
    pub fn start_stream(self, head: Head) -> BodySender {
        let (chunks, received) = mpsc::channel(BUFFERED_CHUNKS);
        let _ = self.answer.send(Outcome::Stream(head, received));
        BodySender { chunks, stall_timeout: self.stall_timeout }
    }

    /// Returns whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.answer.is_closed()
    }
}

/// A streamed answer; dropped unfinished, it cuts the caller's connection.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Chunk>,
    stall_timeout: Duration,
}

impl BodySender {
    /// Sends a chunk and flushes it.
    ///
    /// # Errors
    /// Fails when the caller has gone or does not read.
    pub fn send(&mut self, chunk: impl Into<Bytes>) -> Result<(), Disconnected> {
        self.push(Chunk::Data(chunk.into()))
    }

    /// Returns whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Marks the answer as complete.
    pub fn finish(mut self) {
        let _ = self.push(Chunk::End);
    }

    fn push(&mut self, chunk: Chunk) -> Result<(), Disconnected> {
        let chunk = match self.chunks.try_send(chunk) {
            Ok(()) => return Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(Disconnected),
            Err(mpsc::error::TrySendError::Full(it)) => it,
        };
        let sending = async { timeout(self.stall_timeout, self.chunks.send(chunk)).await };
        match runtime::handle().block_on(sending) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Disconnected),
        }
    }
}

/// What a handler made of its reply.
#[derive(Debug)]
pub(super) enum Outcome {
    Whole(Response),
    Stream(Head, mpsc::Receiver<Chunk>),
}

impl Outcome {
    pub(super) fn into_response(self) -> hyper::Response<Body> {
        match self {
            Outcome::Whole(it) => whole(it),
            Outcome::Stream(head, chunks) => response(head, Body::Stream(chunks)),
        }
    }
}

/// Returns the response for a whole answer.
pub(super) fn whole(answer: Response) -> hyper::Response<Body> {
    response(answer.head, Body::Whole(Some(answer.body)))
}

fn response(head: Head, body: Body) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(head.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = head.headers;
    response
}

/// A chunk of a streamed answer.
#[derive(Debug)]
pub(super) enum Chunk {
    Data(Bytes),
    End,
}

/// Body of a response.
#[derive(Debug)]
pub(super) enum Body {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Chunk>),
    Ended,
    Aborted,
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Disconnected;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Disconnected>>> {
        let chunks = match &mut *self {
            Body::Whole(body) => return Poll::Ready(body.take().map(|it| Ok(Frame::data(it)))),
            Body::Ended => return Poll::Ready(None),
            Body::Aborted => return Poll::Ready(Some(Err(Disconnected))),
            Body::Stream(it) => it,
        };
        match chunks.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Chunk::Data(it))) => Poll::Ready(Some(Ok(Frame::data(it)))),
            Poll::Ready(Some(Chunk::End)) => {
                *self = Body::Ended;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                // Pending once, so that the chunks before the cut are flushed.
                *self = Body::Aborted;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(body) => body.is_none(),
            Body::Stream(_) | Body::Aborted => false,
            Body::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(Some(body)) => SizeHint::with_exact(body.len() as u64),
            Body::Whole(None) | Body::Ended => SizeHint::with_exact(0),
            Body::Stream(_) | Body::Aborted => SizeHint::default(),
        }
    }
}
