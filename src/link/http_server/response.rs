//! Responses: complete ones, and streams whose chunks are flushed one by one.

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

/// Chunks of a stream that are queued for a caller that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Status and header fields of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
}

impl Head {
    /// Creates a head without header fields.
    pub fn new(status: u16) -> Head {
        Head { status, headers: HeaderMap::new() }
    }

    /// Adds a header field, unless its name or value is invalid.
    pub fn with_header(mut self, name: &str, value: &str) -> Head {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.headers.append(name, value);
        }
        self
    }
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status and header fields.
    pub head: Head,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without header fields.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Response {
        Response { head: Head::new(status), body: body.into() }
    }

    /// Creates a response with a JSON body; the body is empty if `value` cannot be encoded.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response::new(status, body).with_header("content-type", "application/json")
    }

    /// Adds a header field, unless its name or value is invalid.
    pub fn with_header(mut self, name: &str, value: &str) -> Response {
        self.head = self.head.with_header(name, value);
        self
    }
}

/// The caller closed its connection, or did not read for longer than the stall timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller closed the connection or stopped reading")]
pub struct Disconnected;

/// Tells whether the caller of a request is still connected.
#[derive(Debug, Clone)]
pub struct CallerPresence(Weak<Watchdog>);

impl CallerPresence {
    /// Returns whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.0.strong_count() == 0
    }
}

/// Sends the response to one request; if dropped unused, the caller receives an internal error.
#[derive(Debug)]
pub struct Responder {
    sender: oneshot::Sender<Outcome>,
    presence: CallerPresence,
    stall_timeout: Duration,
}

impl Responder {
    pub(super) fn new(
        watchdog: &Arc<Watchdog>,
        stall_timeout: Duration,
    ) -> (Responder, oneshot::Receiver<Outcome>) {
        let (sender, receiver) = oneshot::channel();
        let presence = CallerPresence(Arc::downgrade(watchdog));
        (Responder { sender, presence, stall_timeout }, receiver)
    }

    /// Returns a handle that tells whether the caller is still connected.
    pub fn presence(&self) -> CallerPresence {
        self.presence.clone()
    }

    /// Sends a complete response.
    pub fn send(self, response: Response) {
        let _ = self.sender.send(Outcome::Whole(response));
    }

    /// Sends the head of a streamed response and returns the sender of its body.
    pub fn start_stream(self, head: Head) -> BodySender {
        let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let _ = self.sender.send(Outcome::Stream(head, receiver));
        BodySender { chunks, stall_timeout: self.stall_timeout }
    }

    /// Returns whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Sends the body of a streamed response; if dropped before [`BodySender::finish`], it cuts the
/// caller's connection.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Chunk>,
    stall_timeout: Duration,
}

impl BodySender {
    /// Sends a chunk, which is flushed to the caller at once.
    ///
    /// # Errors
    /// Fails when the caller has disconnected or stopped reading.
    pub fn send(&mut self, chunk: impl Into<Bytes>) -> Result<(), Disconnected> {
        self.push(Chunk::Data(chunk.into()))
    }

    /// Returns whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Ends the response as complete.
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

/// What a handler sent through its [`Responder`].
#[derive(Debug)]
pub(super) enum Outcome {
    Whole(Response),
    Stream(Head, mpsc::Receiver<Chunk>),
}

impl Outcome {
    pub(super) fn into_response(self) -> hyper::Response<Body> {
        match self {
            Outcome::Whole(it) => whole(it),
            Outcome::Stream(head, chunks) => to_hyper(head, Body::Stream(chunks)),
        }
    }
}

/// Converts a complete response.
pub(super) fn whole(response: Response) -> hyper::Response<Body> {
    to_hyper(response.head, Body::Whole(Some(response.body)))
}

fn to_hyper(head: Head, body: Body) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(head.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = head.headers;
    response
}

/// An element of a streamed body.
#[derive(Debug)]
pub(super) enum Chunk {
    Data(Bytes),
    End,
}

/// Body of a response as hyper sends it.
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
                // Returns pending once, so that hyper flushes the earlier chunks before the
                // connection is cut.
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
