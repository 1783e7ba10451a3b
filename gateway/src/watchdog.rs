//! Timeouts of a caller's connection.
//!
//! A connection may wait for the first byte of a request for the idle timeout. Once that byte has
//! arrived, the rest of the request header must arrive within the header timeout. Answers the load of
//! callers that read slowly: one that reads is not cut however long its response takes, one that
//! takes a byte now and then is.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
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
/// Time in which a caller for which bytes of its response wait must read [`MIN_PROGRESS`].
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that show that a caller reads its response; fewer than any link of a caller carries in
/// [`READ_TIMEOUT`].
const MIN_PROGRESS: usize = 4 * 1024;

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

/// A response that waits for its caller.
#[derive(Debug, Clone, Copy)]
struct Stall {
    /// Time since which the caller has read less than [`MIN_PROGRESS`].
    since: Instant,
    /// Bytes that were written since then.
    written: usize,
}

/// What decides when a connection is closed.
#[derive(Debug)]
struct State {
    phase: Phase,
    /// Set while the caller reads more slowly than it is written to.
    stall: Option<Stall>,
    /// Whether the memory that the connection holds is needed for others.
    is_evicted: bool,
}

impl State {
    /// Returns when the connection is closed because its caller reads too slowly.
    fn reading_due(&self) -> Option<(Instant, Reason)> {
        let stall = self.stall?;
        let due = if self.is_evicted { stall.since } else { stall.since + READ_TIMEOUT };
        Some((due, Reason::SlowReader))
    }

    /// Returns when the connection is closed, and why; `None` while no timeout applies.
    fn due(&self, limits: Limits) -> Option<(Instant, Reason)> {
        if let Some(due) = self.reading_due() {
            return Some(due);
        }
        match self.phase {
            Phase::New(since) | Phase::Idle(since) => {
                Some((since + limits.idle_timeout, Reason::IdleTimeout))
            }
            Phase::Header(since) => Some((since + limits.header_timeout, Reason::HeaderTimeout)),
            Phase::Busy => None,
        }
    }
}

/// Phase of one connection.
#[derive(Debug)]
pub struct Watchdog {
    state: Mutex<State>,
    changed: Notify,
}

impl Watchdog {
    /// Creates the watchdog of a connection that starts in `phase`.
    pub fn new(phase: Phase) -> Watchdog {
        let state = State { phase, stall: None, is_evicted: false };
        Watchdog { state: Mutex::new(state), changed: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("watchdog lock poisoned")
    }

    /// Changes the phase and restarts its timeout.
    pub fn enter(&self, phase: Phase) {
        self.state().phase = phase;
        self.changed.notify_one();
    }

    /// Returns the time for which the caller has read less than [`MIN_PROGRESS`] of what waits for
    /// it; zero if nothing waits.
    pub fn stalled_for(&self, now: Instant) -> Duration {
        self.state().stall.map_or(Duration::ZERO, |it| now.saturating_duration_since(it.since))
    }

    /// Returns whether the memory that the connection holds is needed for others.
    pub fn is_evicted(&self) -> bool {
        self.state().is_evicted
    }

    /// Closes the connection unless its caller has read everything meanwhile.
    pub fn evict(&self) {
        self.state().is_evicted = true;
        self.changed.notify_one();
    }

    /// Returns whether a request is being read or answered on the connection.
    pub fn has_open_request(&self) -> bool {
        matches!(self.state().phase, Phase::Busy)
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
        matches!(self.state().phase, Phase::New(_) | Phase::Header(_))
    }

    /// Waits until a timeout has passed and returns the reason for closing the connection.
    ///
    /// `limits` returns the timeouts in force, which may change while the connection is open.
    pub async fn expired(&self, limits: impl Fn() -> Limits) -> Reason {
        self.wait_until_due(|state| state.due(limits())).await
    }

    /// Waits until the caller has read its response too slowly for too long.
    pub async fn reader_stalled(&self) -> Reason {
        self.wait_until_due(State::reading_due).await
    }

    async fn wait_until_due(&self, due: impl Fn(&State) -> Option<(Instant, Reason)>) -> Reason {
        loop {
            let next = due(&self.state());
            let Some((due, reason)) = next else {
                self.changed.notified().await;
                continue;
            };
            if due <= Instant::now() {
                return reason;
            }
            // State and limits may have changed by the time the timeout passes: checked again.
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn record_received_bytes(&self) {
        let mut state = self.state();
        if let Phase::New(_) | Phase::Idle(_) = state.phase {
            state.phase = Phase::Header(Instant::now());
            self.changed.notify_one();
        }
    }

    fn record_written_bytes(&self, bytes: Option<usize>) {
        let mut state = self.state();
        match (&mut state.stall, bytes) {
            (None, Some(_)) => {}
            (None, None) => {
                state.stall = Some(Stall { since: Instant::now(), written: 0 });
                self.changed.notify_one();
            }
            (Some(stall), bytes) => {
                stall.written += bytes.unwrap_or_default();
                if MIN_PROGRESS <= stall.written {
                    *stall = Stall { since: Instant::now(), written: 0 };
                }
            }
        }
    }

    /// Ends a stall. An idle connection is idle only from then on.
    fn record_flushed(&self) {
        let mut state = self.state();
        if state.stall.take().is_none() {
            return;
        }
        state.is_evicted = false;
        if let Phase::Idle(since) = &mut state.phase {
            *since = Instant::now();
        }
        self.changed.notify_one();
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

    fn record_write(&self, bytes: Option<usize>) {
        self.record_written_bytes(bytes);
    }

    fn record_flush(&self) {
        self.record_flushed();
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
