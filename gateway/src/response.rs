//! Answers to callers, whole or as a stream.

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
use tokio::sync::mpsc;

/// A stream broke off; the caller's connection is closed so that the answer does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct Truncated;

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Full<Bytes>),
    /// Pieces as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl Body {
    /// Creates a body from its bytes.
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
            Body::Stream(pieces) => {
                let piece = std::task::ready!(pieces.poll_recv(cx));
                Poll::Ready(piece.map(|it| it.map(Frame::data)))
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

/// Returns an answer of this host's own, with a time to come back if one helps.
pub fn local(
    status: StatusCode,
    text: &'static str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
    if let Some(after) = retry_after {
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
