//! Stream that fails once too many bytes were read before a response head was complete.
//!
//! An HTTP client skips any number of interim heads, so the size of its buffer alone does not bound
//! what a target may send before the response.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may still be read; shared with the stream.
#[derive(Debug, Clone)]
pub(crate) struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    /// Allows this many further bytes.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Returns whether no byte may be read any more.
    pub(crate) fn is_used_up(&self) -> bool {
        self.0.get() == 0
    }
}

/// Stream that reads only what its allowance permits.
#[derive(Debug)]
pub(crate) struct BoundedStream<S> {
    stream: S,
    allowance: Allowance,
}

impl<S> BoundedStream<S> {
    /// Wraps a stream whose allowance is unlimited at first; returns the allowance too.
    pub(crate) fn new(stream: S) -> (BoundedStream<S>, Allowance) {
        let allowance = Allowance(Rc::new(Cell::new(usize::MAX)));
        (BoundedStream { stream, allowance: allowance.clone() }, allowance)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed = self.allowance.0.get();
        if allowed == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.0.set(allowed.saturating_sub(buf.filled().len() - before));
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
