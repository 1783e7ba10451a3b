//! Harness of the tests with real processes: spawning, waiting, HTTP and a fault-injecting proxy.

// Each test file compiles this module for itself and uses a part of it.
#![allow(dead_code)]

pub(crate) mod fleet;
pub(crate) mod http;
pub(crate) mod process;
pub(crate) mod proxy;

use std::{
    thread,
    time::{Duration, Instant},
};

/// Longest wait for something that is bound to come.
pub(crate) const HANG_GUARD: Duration = Duration::from_secs(60);
/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(5);

/// Waits until a condition holds; `what` completes "timed out waiting until …".
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}

/// Waits until there is a value; `what` completes "timed out waiting until …".
pub(crate) fn wait_for<T>(what: &str, mut value: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(it) = value() {
            return it;
        }
        assert!(begun.elapsed() < HANG_GUARD, "timed out waiting until {what}");
        thread::sleep(POLL);
    }
}
