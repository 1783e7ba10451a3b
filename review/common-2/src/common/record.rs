//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A record; clones share it.
#[derive(Clone)]
pub(crate) struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub(crate) fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Time since the start of the case.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {}", text.as_ref());
    }
}
