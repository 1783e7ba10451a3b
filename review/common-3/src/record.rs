//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{LineWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// A record file, with the time since its start before each line.
pub struct Record {
    started: Instant,
    file: Mutex<LineWriter<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { started: Instant::now(), file: Mutex::new(LineWriter::new(file)) }
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:9.3} {}", self.started.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Writes a line, and shows it.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
