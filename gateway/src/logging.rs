//! Structured log lines on standard output, written by a separate thread.
//!
//! Lines wait in a bounded queue. When standard output is read too slowly, new lines are dropped
//! and counted.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{filter::LevelFilter, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// Most log lines in the queue; at 300 bytes a line this is about 1 MB.
const MAX_QUEUED_LINES: usize = 4096;

/// Handle that keeps the writer thread running; dropping it flushes the queue.
#[derive(Debug)]
pub struct Log {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Log {
    /// Starts the writer thread and installs it as the global subscriber of the process.
    pub fn start() -> Log {
        let builder =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = builder.finish(std::io::stdout());
        let dropped = writer.error_counter();
        let lines = fmt::layer()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(writer);
        tracing_subscriber::registry().with(LevelFilter::INFO).with(lines).init();
        std::panic::set_hook(Box::new(|panic| {
            tracing::error!(code = 8054, %panic, "a task panicked; a request it served has no answer");
        }));
        Log { _guard: guard, dropped }
    }

    /// Returns the number of log lines dropped since the start.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}
