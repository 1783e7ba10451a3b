//! Responses to callers, whole or streamed.

use std::{
    cell::RefCell,
    collections::VecDeque,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
    header,
};
use tokio::{
    sync::{Notify, mpsc},
    time::timeout,
};

use crate::{
    entry::body_memory::{Exceeded, Share},
    watchdog::Watchdog,
};

/// Size of the parts in which a chunk is written. What the connection buffers is not counted, so a
/// part is a copy that does not keep its chunk.
const PART_BYTES: usize = 8 * 1024;
/// Memory that a chunk in a queue takes beside its bytes.
const CHUNK_OVERHEAD: usize = 128;

/// Error that ends a stream early.
///
/// The caller's connection is closed, so that the response does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the response stream was cut short")]
pub struct Truncated;

/// Chunks of a whole body, with the memory that they take.
#[derive(Debug)]
pub struct Chunks {
    chunks: VecDeque<Bytes>,
    /// Short chunks at the end, joined.
    tail: BytesMut,
    /// Start of the first chunk that is not yet written.
    written: usize,
    /// Bytes that are not yet written.
    left: usize,
    memory: Share,
}

impl Chunks {
    /// Creates an empty body that takes its memory from `memory`.
    pub fn new(memory: Share) -> Chunks {
        Chunks { chunks: VecDeque::new(), tail: BytesMut::new(), written: 0, left: 0, memory }
    }

    /// Adds a chunk.
    ///
    /// # Errors
    /// Fails when the body would become too large, or there is no memory for it.
    pub fn push(&mut self, chunk: Bytes) -> Result<(), (Exceeded, Bytes)> {
        if let Err(exceeded) = self.memory.take(chunk.len()) {
            return Err((exceeded, chunk));
        }
        self.left += chunk.len();
        if PART_BYTES <= chunk.len() {
            self.end_tail();
            self.chunks.push_back(chunk);
            return Ok(());
        }
        self.tail.extend_from_slice(&chunk);
        if PART_BYTES <= self.tail.len() {
            self.end_tail();
        }
        Ok(())
    }

    fn end_tail(&mut self) {
        if !self.tail.is_empty() {
            self.chunks.push_back(self.tail.split().freeze());
        }
    }

    /// Returns the next part to write.
    fn next_part(&mut self) -> Option<Bytes> {
        if self.chunks.is_empty() {
            self.end_tail();
        }
        let first = self.chunks.front()?;
        let length = first.len() - self.written;
        let (part, is_last) = match self.written == 0 && length <= PART_BYTES {
            true => (first.clone(), true),
            false => {
                let end = self.written + length.min(PART_BYTES);
                (Bytes::copy_from_slice(&first[self.written..end]), end == first.len())
            }
        };
        self.written += part.len();
        self.left -= part.len();
        if is_last {
            let chunk = self.chunks.pop_front().unwrap_or_default();
            self.memory.give_back(chunk.len());
            self.written = 0;
        }
        Some(part)
    }
}

/// A chunk in the queue of a stream.
#[derive(Debug)]
struct Queued {
    chunk: Bytes,
    /// Memory that was taken for it.
    taken: usize,
}

/// Sending half of a stream to a caller.
#[derive(Debug)]
pub struct Sender {
    chunks: mpsc::UnboundedSender<Result<Queued, Truncated>>,
    memory: Rc<RefCell<Share>>,
    /// Notified when the caller has taken a chunk.
    taken: Rc<Notify>,
}

/// The caller of a stream has disconnected.
#[derive(Debug, thiserror::Error)]
#[error("the caller has disconnected")]
pub struct Disconnected;

impl Sender {
    /// Queues a chunk for the caller, and waits while there is no memory for it.
    ///
    /// # Errors
    /// Fails when the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        let taken = chunk.len() + CHUNK_OVERHEAD;
        while self.memory.borrow_mut().take_for_stream(taken).is_err() {
            let freed = self.memory.borrow().freed();
            tokio::select! {
                () = freed => {}
                () = self.taken.notified() => {}
                () = self.closed() => return Err(Disconnected),
            }
        }
        self.chunks.send(Ok(Queued { chunk, taken })).map_err(|_| Disconnected)
    }

    /// Completes once the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the stream with an error, once its caller has taken all chunks or `time_left` has passed.
    pub(crate) async fn cut(&self, time_left: Duration) {
        // An error discards chunks that are not written yet.
        let drained = async {
            while 0 < self.memory.borrow().bytes() {
                tokio::select! {
                    () = self.taken.notified() => {}
                    () = self.closed() => return,
                }
            }
        };
        if timeout(time_left, drained).await.is_err() {
            tracing::debug!("caller of a broken stream did not read it to the end");
        }
        if self.chunks.send(Err(Truncated)).is_err() {
            tracing::debug!("caller of a broken stream had disconnected");
        }
    }
}

/// Receiving half of a stream to a caller.
#[derive(Debug)]
pub struct Receiver {
    chunks: mpsc::UnboundedReceiver<Result<Queued, Truncated>>,
    memory: Rc<RefCell<Share>>,
    taken: Rc<Notify>,
}

impl Receiver {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        let queued = std::task::ready!(self.chunks.poll_recv(cx));
        if let Some(Ok(queued)) = &queued {
            self.memory.borrow_mut().give_back(queued.taken);
            self.taken.notify_one();
        }
        Poll::Ready(queued.map(|it| it.map(|it| it.chunk)))
    }
}

/// Returns both halves of a stream to a caller, whose queue takes its memory from `memory`.
///
/// The queue takes what the target sends, so that the target does not cut a response that its caller
/// reads slowly.
pub fn stream(memory: Share) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (memory, taken) = (Rc::new(RefCell::new(memory)), Rc::<Notify>::default());
    let sender = Sender { chunks: sender, memory: Rc::clone(&memory), taken: Rc::clone(&taken) };
    (sender, Receiver { chunks: receiver, memory, taken })
}

/// Returns both halves of a stream that begins with the chunks of a body.
pub fn stream_from(mut body: Chunks) -> (Sender, Receiver) {
    body.end_tail();
    let (sender, receiver) = stream(body.memory);
    for chunk in body.chunks {
        let taken = chunk.len();
        // The receiver is here.
        let _ = sender.chunks.send(Ok(Queued { chunk, taken }));
    }
    (sender, receiver)
}

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// Complete body of this host itself.
    Whole(Full<Bytes>),
    /// Complete body of a target.
    Chunks(Chunks),
    /// Chunks as they arrive.
    Stream(Receiver),
}

impl Body {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        Body::Whole(Full::new(bytes.into()))
    }

    /// Names the connection to whose caller the body is written.
    pub fn attach(&self, connection: &Arc<Watchdog>) {
        match self {
            Body::Whole(_) => {}
            Body::Chunks(it) => it.memory.attach(connection),
            Body::Stream(it) => it.memory.borrow().attach(connection),
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Body::Whole(full) => {
                let frame = std::task::ready!(Pin::new(full).poll_frame(cx));
                Poll::Ready(frame.map(|it| it.map_err(|never| match never {})))
            }
            Body::Chunks(chunks) => Poll::Ready(chunks.next_part().map(|it| Ok(Frame::data(it)))),
            Body::Stream(chunks) => {
                let chunk = std::task::ready!(chunks.poll_chunk(cx));
                Poll::Ready(chunk.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Chunks(chunks) => chunks.left == 0,
            Body::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Chunks(chunks) => SizeHint::with_exact(chunks.left as u64),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}

/// Returns a plain-text response of this host itself, with a `Retry-After` header if given a delay.
pub fn local(
    status: StatusCode,
    text: &'static str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
    if status == StatusCode::UNAUTHORIZED {
        headers.insert(header::WWW_AUTHENTICATE, header::HeaderValue::from_static("Bearer"));
    }
    if let Some(delay) = retry_after {
        let text = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
