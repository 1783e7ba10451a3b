//! Idle timeout of a caller's connection: it closes idle connections only.

use std::{
    future::{Future, poll_fn},
    pin::pin,
    task::Poll,
    time::Duration,
};

use fuchsiaknot_gateway::{
    entry::http_server::Limits,
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
