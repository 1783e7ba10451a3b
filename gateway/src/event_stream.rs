//! Splits an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes that one event may have; a longer one is passed on in parts.
const MAX_EVENT: usize = 1024 * 1024;

/// Collects the bytes of a stream and hands out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    scanned: usize,
}

/// One event as it came, with its identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes, with the blank line at its end.
    pub bytes: Bytes,
    /// Its identifier, if it has a numeric one.
    pub id: Option<u64>,
}

impl Splitter {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = match self.find_end() {
            Some(end) => end,
            None if MAX_EVENT < self.pending.len() => self.pending.len(),
            None => return None,
        };
        self.scanned = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = identifier(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the bytes that belong to no whole event.
    pub fn rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.pending.split().freeze()
    }

    /// Returns the position behind the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        for at in self.scanned..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            if bytes[..at].ends_with(b"\n") || bytes[..at].ends_with(b"\n\r") {
                return Some(at + 1);
            }
        }
        self.scanned = bytes.len();
        None
    }
}

/// Returns the number in the event's `id:` line.
fn identifier(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
