//! Answers: whole ones and streams whose pieces are flushed one by one.

use std::{
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
    header::{HeaderName, HeaderValue},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{gateway::watchdog::Watchdog, link::runtime};

/// Pieces that wait for a caller who reads slowly.
const PIECES: usize = 64;

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
pub struct Answer {
    /// Status and header fields.
    pub head: Head,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Creates an answer without header fields.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Answer {
        Answer { head: Head::new(status), body: body.into() }
    }

    /// Creates a JSON answer.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Answer {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Answer::new(status, body).with_header("content-type", "application/json")
    }

    /// Adds a header field; one with an invalid name or value is left out.
    pub fn with_header(mut self, name: &str, value: &str) -> Answer {
        self.head = self.head.with_header(name, value);
        self
    }
}

/// The caller went away, or has not read for longer than the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller went away")]
pub struct Gone;

/// Tells whether a caller is still connected.
#[derive(Debug, Clone)]
pub struct Presence(Weak<Watchdog>);

impl Presence {
    /// Returns whether the caller has closed its connection.
    pub fn is_gone(&self) -> bool {
        self.0.strong_count() == 0
    }
}

/// The right to answer one request.
#[derive(Debug)]
pub struct Reply {
    answer: oneshot::Sender<Outcome>,
    presence: Presence,
    stall_time: Duration,
}

impl Reply {
    pub(super) fn new(
        guard: &Arc<Watchdog>,
        stall_time: Duration,
    ) -> (Reply, oneshot::Receiver<Outcome>) {
        let (answer, received) = oneshot::channel();
        let presence = Presence(Arc::downgrade(guard));
        (Reply { answer, presence, stall_time }, received)
    }

    /// Returns a handle that tells whether the caller is still connected.
    pub fn presence(&self) -> Presence {
        self.presence.clone()
    }

    /// Gives a whole answer.
    pub fn whole(self, answer: Answer) {
        let _ = self.answer.send(Outcome::Whole(answer));
    }

    /// Starts a streamed answer.
    pub fn stream(self, head: Head) -> Stream {
        let (pieces, received) = mpsc::channel(PIECES);
        let _ = self.answer.send(Outcome::Stream(head, received));
        Stream { pieces, stall_time: self.stall_time }
    }

    /// Returns whether the caller has closed its connection.
    pub fn is_gone(&self) -> bool {
        self.answer.is_closed()
    }
}

/// A streamed answer; dropped unfinished, it cuts the caller's connection.
#[derive(Debug)]
pub struct Stream {
    pieces: mpsc::Sender<Part>,
    stall_time: Duration,
}

impl Stream {
    /// Sends a piece and flushes it.
    ///
    /// # Errors
    /// Fails when the caller has gone or does not read.
    pub fn send(&mut self, piece: impl Into<Bytes>) -> Result<(), Gone> {
        self.push(Part::Piece(piece.into()))
    }

    /// Returns whether the caller has closed its connection.
    pub fn is_gone(&self) -> bool {
        self.pieces.is_closed()
    }

    /// Marks the answer as complete.
    pub fn finish(mut self) {
        let _ = self.push(Part::End);
    }

    fn push(&mut self, part: Part) -> Result<(), Gone> {
        let part = match self.pieces.try_send(part) {
            Ok(()) => return Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(Gone),
            Err(mpsc::error::TrySendError::Full(it)) => it,
        };
        let sending = async { timeout(self.stall_time, self.pieces.send(part)).await };
        match runtime::handle().block_on(sending) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Gone),
        }
    }
}

/// What a handler made of its reply.
#[derive(Debug)]
pub(super) enum Outcome {
    Whole(Answer),
    Stream(Head, mpsc::Receiver<Part>),
}

impl Outcome {
    pub(super) fn into_response(self) -> Response<Body> {
        match self {
            Outcome::Whole(it) => whole(it),
            Outcome::Stream(head, pieces) => response(head, Body::Stream(pieces)),
        }
    }
}

/// Returns the response for a whole answer.
pub(super) fn whole(answer: Answer) -> Response<Body> {
    response(answer.head, Body::Whole(Some(answer.body)))
}

fn response(head: Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(head.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = head.headers;
    response
}

/// A part of a streamed answer.
#[derive(Debug)]
pub(super) enum Part {
    Piece(Bytes),
    End,
}

/// Body of a response.
#[derive(Debug)]
pub(super) enum Body {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Part>),
    Ended,
    Cut,
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Gone;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Gone>>> {
        let pieces = match &mut *self {
            Body::Whole(body) => return Poll::Ready(body.take().map(|it| Ok(Frame::data(it)))),
            Body::Ended => return Poll::Ready(None),
            Body::Cut => return Poll::Ready(Some(Err(Gone))),
            Body::Stream(it) => it,
        };
        match pieces.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Part::Piece(it))) => Poll::Ready(Some(Ok(Frame::data(it)))),
            Poll::Ready(Some(Part::End)) => {
                *self = Body::Ended;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                // Pending once, so that the pieces before the cut are flushed.
                *self = Body::Cut;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(body) => body.is_none(),
            Body::Stream(_) | Body::Cut => false,
            Body::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(Some(body)) => SizeHint::with_exact(body.len() as u64),
            Body::Whole(None) | Body::Ended => SizeHint::with_exact(0),
            Body::Stream(_) | Body::Cut => SizeHint::default(),
        }
    }
}
