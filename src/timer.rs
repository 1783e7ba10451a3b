//! Periodic background tasks, each on its own thread.

use std::{
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{clock, clock::Moment, event, event::Event};

/// Runs periodic tasks until it is stopped or dropped.
#[derive(Debug, Default)]
pub struct Timer {
    stop: Arc<StopSignal>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// Interrupts the waits between the calls of the tasks.
#[derive(Debug, Default)]
struct StopSignal {
    stopped: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl Timer {
    /// Creates a timer without tasks.
    pub fn new() -> Timer {
        Timer::default()
    }

    /// Calls `task` at once and then every `period`, until the timer stops.
    ///
    /// A call that takes longer than `period` delays the next call; calls never overlap.
    pub fn every(
        &self,
        name: &str,
        period: Duration,
        mut task: impl FnMut(Moment) + Send + 'static,
    ) {
        self.schedule(name, move |now| {
            task(now);
            period
        });
    }

    /// Calls `task` at once and then again each time the delay that the last call returned has
    /// passed, counted from the start of that call.
    pub fn schedule(&self, name: &str, mut task: impl FnMut(Moment) -> Duration + Send + 'static) {
        let stop = Arc::clone(&self.stop);
        let spawned = thread::Builder::new().name(name.to_owned()).spawn(move || {
            while !stop.is_stopped() {
                let started = Instant::now();
                let delay = task(clock::now());
                stop.wait(delay.saturating_sub(started.elapsed()));
            }
        });
        match spawned {
            Ok(handle) => self.threads.lock().expect("timer lock poisoned").push(handle),
            Err(err) => {
                event!(Event::TaskFailed, "cannot start a thread for the task `{name}`: {err}")
            }
        }
    }

    /// Stops all tasks and waits for the calls in progress, except for the task that calls this.
    pub fn stop(&self) {
        self.stop.stop();
        let threads = std::mem::take(&mut *self.threads.lock().expect("timer lock poisoned"));
        for handle in threads {
            if handle.thread().id() != thread::current().id() {
                let _ = handle.join();
            }
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl StopSignal {
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
