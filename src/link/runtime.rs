//! The Tokio runtime that all network connections of a process share.

use std::{sync::OnceLock, time::Duration};

use tokio::runtime::{Builder, Handle, Runtime};

/// Threads that run asynchronous tasks.
const WORKER_THREADS: usize = 4;
/// Threads for blocking work: each request or peer call that is being handled takes one, and
/// further ones wait in a queue.
const MAX_BLOCKING_THREADS: usize = 8_192;
/// Stack size of each thread of the runtime, in bytes.
const THREAD_STACK_BYTES: usize = 512 << 10;
/// Time after which an idle blocking thread ends.
const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(5);

/// Returns a handle to the runtime; the first call starts it.
///
/// # Panics
/// Panics when the operating system cannot start the worker threads.
pub fn handle() -> Handle {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(build).handle().clone()
}

fn build() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .thread_stack_size(THREAD_STACK_BYTES)
        .thread_keep_alive(IDLE_THREAD_LIFETIME)
        .thread_name("link")
        .enable_all()
        .build()
        .expect("cannot start the threads of the network runtime")
}
