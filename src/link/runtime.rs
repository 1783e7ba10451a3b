//! The asynchronous runtime that all links of a process share.

use std::{sync::OnceLock, time::Duration};

use tokio::runtime::{Builder, Handle, Runtime};

/// Threads that drive sockets.
const WORKER_THREADS: usize = 4;
/// Requests that run at once, each on a blocking thread.
const MAX_BLOCKING_THREADS: usize = 8_192;
/// Stack of a runtime thread, in bytes.
const THREAD_STACK_BYTES: usize = 512 << 10;
/// Time after which an unused blocking thread ends.
const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(5);

/// Returns a handle to the runtime, which starts with the first call.
///
/// # Panics
/// Panics when the system refuses the runtime's first threads.
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
        .expect("the system refuses threads for the runtime")
}
