//! Stream whose reads are checked, and whose reads and writes are counted.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

/// Most bytes that are read at once; larger reads let the buffers of all connections grow.
const MAX_READ_BYTES: u64 = 16 * 1024;

/// Checks and counts what is read from a stream, and counts what is written.
pub trait Tap {
    /// Returns whether anything may be read now.
    ///
    /// # Errors
    /// Fails when the stream is to fail instead.
    fn check_read(&self) -> io::Result<()> {
        Ok(())
    }

    /// Records that this many bytes were read; zero at the end of the stream.
    fn record_read(&self, bytes: usize);

    /// Records that this many bytes were written; `None` if the peer takes none now.
    fn record_write(&self, _bytes: Option<usize>) {}

    /// Records that everything was written.
    fn record_flush(&self) {}
}

/// Stream that reports each read to its tap.
#[derive(Debug)]
pub struct TappedStream<S, T> {
    stream: Take<S>,
    tap: T,
}

impl<S: AsyncRead, T> TappedStream<S, T> {
    /// Wraps a stream.
    pub fn new(stream: S, tap: T) -> TappedStream<S, T> {
        TappedStream { stream: stream.take(MAX_READ_BYTES), tap }
    }

    /// Returns the wrapped stream.
    pub fn into_stream(self) -> S {
        self.stream.into_inner()
    }
}

impl<S: AsyncRead + Unpin, T: Tap + Unpin> AsyncRead for TappedStream<S, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.tap.check_read()?;
        let before = buf.filled().len();
        self.stream.set_limit(MAX_READ_BYTES);
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() {
            self.tap.record_read(buf.filled().len() - before);
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin, T: Tap + Unpin> AsyncWrite for TappedStream<S, T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(self.stream.get_mut()).poll_write(cx, buf);
        self.tap.record_write(written(&polled));
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(self.stream.get_mut()).poll_flush(cx);
        if polled.is_ready() {
            self.tap.record_flush();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bufs);
        self.tap.record_write(written(&polled));
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}

fn written(polled: &Poll<io::Result<usize>>) -> Option<usize> {
    match polled {
        Poll::Ready(Ok(bytes)) => Some(*bytes),
        Poll::Ready(Err(_)) => Some(0),
        Poll::Pending => None,
    }
}
