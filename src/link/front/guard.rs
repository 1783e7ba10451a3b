//! Watches how long a caller's connection stays without a whole request header.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::verdict::Reason;

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
pub(super) enum Phase {
    /// Waiting for the first byte of the next request.
    Idle(Instant),
    /// Waiting for the rest of a request's header.
    Header(Instant),
    /// A request is being read or answered.
    Busy,
}

/// Phase of a connection and the bounds on it.
#[derive(Debug)]
pub(super) struct Guard {
    phase: Mutex<Phase>,
    changed: Notify,
    header_time: Duration,
    idle_time: Duration,
}

impl Guard {
    /// Creates the guard of a new connection, whose first header is due.
    pub(super) fn new(header_time: Duration, idle_time: Duration) -> Guard {
        Guard {
            phase: Mutex::new(Phase::Header(Instant::now())),
            changed: Notify::new(),
            header_time,
            idle_time,
        }
    }

    /// Enters a phase.
    pub(super) fn set(&self, phase: Phase) {
        *self.phase.lock().expect("guard lock poisoned") = phase;
        self.changed.notify_one();
    }

    /// Waits until the connection has exceeded a bound and returns which.
    pub(super) async fn expired(&self) -> Reason {
        loop {
            let phase = *self.phase.lock().expect("guard lock poisoned");
            let (due, reason) = match phase {
                Phase::Idle(since) => (since + self.idle_time, Reason::IdleTimeout),
                Phase::Header(since) => (since + self.header_time, Reason::HeaderTimeout),
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
        let mut phase = self.phase.lock().expect("guard lock poisoned");
        if let Phase::Idle(_) = *phase {
            *phase = Phase::Header(Instant::now());
            self.changed.notify_one();
        }
    }
}

/// A caller's connection that tells its guard when bytes arrive.
pub(super) struct Watched {
    stream: TcpStream,
    guard: Arc<Guard>,
}

impl Watched {
    pub(super) fn new(stream: TcpStream, guard: Arc<Guard>) -> Watched {
        Watched { stream, guard }
    }

    /// Returns the connection itself.
    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if before < buf.filled().len() {
            self.guard.received();
        }
        polled
    }
}

impl AsyncWrite for Watched {
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
