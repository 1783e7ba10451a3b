//! Stream whose reads are checked and counted.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Checks and counts what is read from a stream.
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
}

/// Stream that reports each read to its tap.
#[derive(Debug)]
pub struct TappedStream<S, T> {
    stream: S,
    tap: T,
}

impl<S, T> TappedStream<S, T> {
    /// Wraps a stream.
    pub fn new(stream: S, tap: T) -> TappedStream<S, T> {
        TappedStream { stream, tap }
    }

    /// Returns the wrapped stream.
    pub fn into_stream(self) -> S {
        self.stream
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
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() {
            self.tap.record_read(buf.filled().len() - before);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin, T: Unpin> AsyncWrite for TappedStream<S, T> {
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
