//! Idle timeout of a caller's connection: it closes idle connections only.

use std::{
    future::{Future, poll_fn},
    pin::pin,
    sync::Arc,
    task::Poll,
    time::Duration,
};

use fuchsiaknot_gateway::{
    entry::http_server::Limits,
    upstream::tapped_stream::Tap,
    watchdog::{Phase, Watchdog},
};
use tokio::time::{Instant, sleep};

const IDLE_TIMEOUT: Duration = Duration::from_millis(5);
/// The order in which two ready events are handled is random, so one round may miss the fault.
const ROUNDS: usize = 30;

fn limits() -> Limits {
    Limits {
        max_header_bytes: 8192,
        header_timeout: Duration::from_secs(1),
        idle_timeout: IDLE_TIMEOUT,
    }
}

/// A request that arrived at the moment of the idle timeout was dropped with its connection.
#[test]
fn request_at_timeout() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(async {
        for round in 0..ROUNDS {
            let idle = Phase::Idle(Instant::now());
            let watchdog = Watchdog::new(idle);
            let mut expired = pin!(watchdog.expired(limits));
            let first = poll_fn(|cx| Poll::Ready(expired.as_mut().poll(cx))).await;
            assert!(first.is_pending());
            sleep(IDLE_TIMEOUT * 2).await;
            watchdog.enter(Phase::Busy);
            let second = poll_fn(|cx| Poll::Ready(expired.as_mut().poll(cx))).await;
            assert!(second.is_pending(), "round {round}");
        }
    });
}

#[test]
fn idle_connection() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let idle = Phase::Idle(Instant::now());
    let watchdog = Watchdog::new(idle);
    assert_eq!(runtime.block_on(watchdog.expired(limits)).code(), "idle-timeout");
}

/// Polls once whether the connection is closed, after `elapsed` of paused time.
async fn is_closed(watchdog: &Watchdog, elapsed: Duration) -> bool {
    tokio::time::advance(elapsed).await;
    let mut expired = pin!(watchdog.expired(limits));
    poll_fn(|cx| Poll::Ready(expired.as_mut().poll(cx).is_ready())).await
}

fn paused_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap()
}

/// A caller that takes a byte now and then never ended.
#[test]
fn trickling_reader() {
    paused_runtime().block_on(async {
        let watchdog = Arc::new(Watchdog::new(Phase::Busy));
        watchdog.record_write(None);
        let mut seconds = 0;
        while !is_closed(&watchdog, Duration::from_secs(1)).await {
            watchdog.record_write(Some(1));
            watchdog.record_write(None);
            seconds += 1;
            assert!(seconds < 60, "the connection stays open");
        }
        assert!(8 <= seconds, "closed after {seconds} s");
    });
}

/// A slow caller that reads on, however long its response takes, is not cut, nor is one for which
/// nothing waits.
#[test]
fn slow_reader() {
    paused_runtime().block_on(async {
        let watchdog = Arc::new(Watchdog::new(Phase::Busy));
        for second in 0..600 {
            watchdog.record_write(None);
            watchdog.record_write(Some(1024));
            assert!(!is_closed(&watchdog, Duration::from_secs(1)).await, "after {second} s");
        }
        watchdog.record_flush();
        assert!(!is_closed(&watchdog, Duration::from_secs(60)).await);
        assert_eq!(watchdog.stalled_for(Instant::now()), Duration::ZERO);
    });
}

/// A caller that is to be cut for its memory, and has read all meanwhile, goes on.
#[test]
fn evicted_reader() {
    paused_runtime().block_on(async {
        let watchdog = Arc::new(Watchdog::new(Phase::Busy));
        watchdog.record_write(None);
        assert!(!is_closed(&watchdog, Duration::from_secs(3)).await);
        watchdog.evict();
        assert!(is_closed(&watchdog, Duration::ZERO).await);
        watchdog.record_flush();
        watchdog.record_write(None);
        assert!(!is_closed(&watchdog, Duration::from_secs(3)).await);
    });
}
