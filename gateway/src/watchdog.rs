//! Watches how long a caller's connection stays without a whole request header.
//!
//! A connection may rest between two requests; once a header has begun, the rest of it must follow soon.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use fuchsiaknot_core::verdict::Reason;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time::{Instant, sleep_until},
};

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
pub enum Phase {
    /// Waiting for the first byte of the next request.
    Idle(Instant),
    /// Waiting for the rest of a request's header.
    Header(Instant),
    /// A request is being read or answered.
    Busy,
}

/// Phase of a connection and the bounds on it.
#[derive(Debug)]
pub struct Watchdog {
    phase: Mutex<Phase>,
    changed: Notify,
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl Watchdog {
    /// Creates the watchdog of a connection that begins in a phase.
    pub fn new(phase: Phase, header_timeout: Duration, idle_timeout: Duration) -> Watchdog {
        Watchdog { phase: Mutex::new(phase), changed: Notify::new(), header_timeout, idle_timeout }
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        *self.phase.lock().expect("watchdog lock poisoned") = phase;
        self.changed.notify_one();
    }

    /// Waits until the connection has exceeded a bound and returns which.
    pub async fn expired(&self) -> Reason {
        loop {
            let phase = *self.phase.lock().expect("watchdog lock poisoned");
            let (due, reason) = match phase {
                Phase::Idle(since) => (since + self.idle_timeout, Reason::IdleTimeout),
                Phase::Header(since) => (since + self.header_timeout, Reason::HeaderTimeout),
                Phase::Busy => {
                    self.changed.notified().await;
                    continue;
                }
            };
            tokio::select! {
                () = sleep_until(due) => return reason,
                () = self.changed.notified() => {}
            }
        }
    }

    fn received(&self) {
        let mut phase = self.phase.lock().expect("watchdog lock poisoned");
        if let Phase::Idle(_) = *phase {
            *phase = Phase::Header(Instant::now());
            self.changed.notify_one();
        }
    }
}

/// A caller's connection that tells its watchdog when bytes arrive.
#[derive(Debug)]
pub struct WatchedStream<S> {
    stream: S,
    watchdog: Arc<Watchdog>,
}

impl<S> WatchedStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, watchdog: Arc<Watchdog>) -> WatchedStream<S> {
        WatchedStream { stream, watchdog }
    }

    /// Returns the connection itself.
    pub fn into_stream(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if before < buf.filled().len() {
            self.watchdog.received();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
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

/// Body of an answer; its end makes the connection idle.
#[derive(Debug)]
pub struct WatchedBody<B> {
    body: B,
    watchdog: Arc<Watchdog>,
}

impl<B> WatchedBody<B> {
    /// Wraps the body of an answer on a watchdog's connection.
    pub fn new(body: B, watchdog: Arc<Watchdog>) -> WatchedBody<B> {
        WatchedBody { body, watchdog }
    }
}

impl<B: Body + Unpin> Body for WatchedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for WatchedBody<B> {
    fn drop(&mut self) {
        self.watchdog.enter(Phase::Idle(Instant::now()));
    }
}
