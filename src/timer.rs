//! Timer service: parts subscribe to a period and are called on a thread of their own.

use std::{
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{clock, clock::Moment, event, event::Event};

/// Runs subscribed parts until it is stopped.
#[derive(Debug, Default)]
pub struct Timer {
    stop: Arc<Stop>,
    parts: Mutex<Vec<JoinHandle<()>>>,
}

#[derive(Debug, Default)]
struct Stop {
    stopped: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl Timer {
    /// Creates a timer service without subscribers.
    pub fn new() -> Timer {
        Timer::default()
    }

    /// Calls `part` at once and then every `period`, until the service stops.
    ///
    /// A call that takes longer than `period` delays the next one; calls never overlap.
    pub fn every(
        &self,
        name: &str,
        period: Duration,
        mut part: impl FnMut(Moment) + Send + 'static,
    ) {
        self.schedule(name, move |now| {
            part(now);
            period
        });
    }

    /// Calls `part` at once and then again after the delay that each call returns.
    pub fn schedule(&self, name: &str, mut part: impl FnMut(Moment) -> Duration + Send + 'static) {
        let stop = Arc::clone(&self.stop);
        let spawned = thread::Builder::new().name(name.to_owned()).spawn(move || {
            while !stop.is_stopped() {
                let started = Instant::now();
                let delay = part(clock::now());
                stop.wait(delay.saturating_sub(started.elapsed()));
            }
        });
        match spawned {
            Ok(handle) => self.parts.lock().expect("timer lock poisoned").push(handle),
            Err(err) => event!(Event::PartFailed, "cannot start the part {name}: {err}"),
        }
    }

    /// Stops all parts and waits for the calls in progress.
    pub fn stop(&self) {
        self.stop.stop();
        let parts = std::mem::take(&mut *self.parts.lock().expect("timer lock poisoned"));
        for part in parts {
            if part.thread().id() != thread::current().id() {
                let _ = part.join();
            }
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Stop {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn stop(&self) {
        let _guard = self.lock.lock().expect("timer lock poisoned");
        self.stopped.store(true, Ordering::Release);
        self.changed.notify_all();
    }

    fn wait(&self, delay: Duration) {
        let guard = self.lock.lock().expect("timer lock poisoned");
        let _ = self.changed.wait_timeout_while(guard, delay, |()| !self.is_stopped());
    }
}
