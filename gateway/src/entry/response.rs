//! Responses to callers, whole or streamed.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
    header,
};
use tokio::{sync::mpsc, time::timeout};

/// Number of chunks of a stream buffered for a slow caller; a full channel stops reading from the
/// target.
pub const STREAM_CHANNEL_CAPACITY: usize = 16;

/// Error that ends a stream early.
///
/// The caller's connection is closed, so that the response does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the response stream was cut short")]
pub struct Truncated;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// Complete body.
    Whole(Full<Bytes>),
    /// Chunks as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl Body {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        Body::Whole(Full::new(bytes.into()))
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
            Body::Stream(chunks) => {
                let chunk = std::task::ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}

/// Ends a stream with an error, once its caller has read all chunks or `time_left` has passed.
pub(crate) async fn cut_stream(
    sender: &mpsc::Sender<Result<Bytes, Truncated>>,
    time_left: Duration,
) {
    // An error discards chunks that are not written yet.
    let drained = sender.reserve_many(sender.max_capacity());
    if timeout(time_left, drained).await.is_err() {
        tracing::debug!("caller of a broken stream did not read it to the end");
    }
    if sender.send(Err(Truncated)).await.is_err() {
        tracing::debug!("caller of a broken stream had disconnected");
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
    if let Some(delay) = retry_after {
        let text = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
