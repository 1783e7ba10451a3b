//! Structured log lines to standard output, written by a thread of their own.
//!
//! Lines wait in a bounded queue; when the reader is too slow, new lines are dropped and counted.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{filter::LevelFilter, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// Lines that wait for the writer at most; at 300 bytes a line about 1 MB.
const MAX_QUEUED_LINES: usize = 4096;

/// Keeps the writer alive; the lines that wait are written when it is dropped.
#[derive(Debug)]
pub struct Log {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Log {
    /// Starts the writer and makes it the process's log.
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
        Log { _guard: guard, dropped }
    }

    /// Returns how many lines were dropped since the start.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}
