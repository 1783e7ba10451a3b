//! Idle and header timeouts of a caller's connection.
//!
//! A connection may wait for the first byte of a request for the idle timeout. Once that byte has
//! arrived, the rest of the request header must arrive within the header timeout.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use fuchsiaknot_core::verdict::Reason;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout},
};

use crate::{
    entry::http_server::Limits,
    upstream::tapped_stream::{Tap, TappedStream},
};

/// Time after the port has closed within which a connection that is new, or has sent a part of a
/// request head, must send the rest.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a connection that decides which timeout applies.
#[derive(Debug, Clone, Copy)]
pub enum Phase {
    /// Waiting for the first byte of the connection's first request, since the given time.
    New(Instant),
    /// Waiting for the first byte of the next request, since the given time.
    Idle(Instant),
    /// Waiting for the rest of a request header, since the given time.
    Header(Instant),
    /// Reading a request body or sending a response; neither timeout applies.
    Busy,
}

/// Phase of one connection.
#[derive(Debug)]
pub struct Watchdog {
    phase: Mutex<Phase>,
    changed: Notify,
}

impl Watchdog {
    /// Creates the watchdog of a connection that starts in `phase`.
    pub fn new(phase: Phase) -> Watchdog {
        Watchdog { phase: Mutex::new(phase), changed: Notify::new() }
    }

    /// Changes the phase and restarts its timeout.
    pub fn enter(&self, phase: Phase) {
        *self.phase.lock().expect("watchdog lock poisoned") = phase;
        self.changed.notify_one();
    }

    /// Returns whether a request is being read or answered on the connection.
    pub fn has_open_request(&self) -> bool {
        matches!(*self.phase.lock().expect("watchdog lock poisoned"), Phase::Busy)
    }

    /// Waits for the last request of a connection whose port has closed: until its head has been read
    /// if the connection is new or has sent a part of a head, but at most for
    /// [`LAST_REQUEST_TIMEOUT`]; returns at once otherwise.
    ///
    /// The graceful shutdown of a connection from which no request was read closes it.
    pub async fn last_request_begun(&self) {
        let begun = async {
            while self.expects_request() {
                self.changed.notified().await;
            }
        };
        // After the timeout, the connection is shut down whatever it has sent.
        let _ = timeout(LAST_REQUEST_TIMEOUT, begun).await;
    }

    fn expects_request(&self) -> bool {
        let phase = *self.phase.lock().expect("watchdog lock poisoned");
        matches!(phase, Phase::New(_) | Phase::Header(_))
    }

    /// Waits until a timeout has passed and returns the reason for closing the connection.
    ///
    /// `limits` returns the timeouts in force, which may change while the connection is open.
    pub async fn expired(&self, limits: impl Fn() -> Limits) -> Reason {
        loop {
            let phase = *self.phase.lock().expect("watchdog lock poisoned");
            let (due, reason) = match phase {
                Phase::New(since) | Phase::Idle(since) => {
                    (since + limits().idle_timeout, Reason::IdleTimeout)
                }
                Phase::Header(since) => (since + limits().header_timeout, Reason::HeaderTimeout),
                Phase::Busy => {
                    self.changed.notified().await;
                    continue;
                }
            };
            if due <= Instant::now() {
                return reason;
            }
            // Phase and limits may have changed by the time the timeout passes: checked again.
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn record_received_bytes(&self) {
        let mut phase = self.phase.lock().expect("watchdog lock poisoned");
        if let Phase::New(_) | Phase::Idle(_) = *phase {
            *phase = Phase::Header(Instant::now());
            self.changed.notify_one();
        }
    }
}

/// Stream of a caller's connection that reports received bytes to its watchdog.
pub type WatchedStream<S> = TappedStream<S, Arc<Watchdog>>;

impl Tap for Arc<Watchdog> {
    fn record_read(&self, bytes: usize) {
        if 0 < bytes {
            self.record_received_bytes();
        }
    }
}

/// Body of a response that makes the connection idle when dropped.
#[derive(Debug)]
pub struct WatchedBody<B> {
    body: B,
    watchdog: Arc<Watchdog>,
}

impl<B> WatchedBody<B> {
    /// Wraps the body of a response on the watchdog's connection.
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
