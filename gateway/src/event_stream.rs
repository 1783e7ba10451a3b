//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered whole; a longer event is returned in parts.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of a stream and returns whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    scanned: usize,
}

/// One event as received, and its identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id:` field; `None` when absent or not a number.
    pub id: Option<u64>,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event; `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = match self.find_end() {
            Some(end) => end,
            None if MAX_EVENT_BYTES < self.buffer.len() => self.buffer.len(),
            None => return None,
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Takes the buffered bytes of an event that has not ended.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Returns the position after the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        for index in self.scanned..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            if bytes[..index].ends_with(b"\n") || bytes[..index].ends_with(b"\n\r") {
                return Some(index + 1);
            }
        }
        self.scanned = bytes.len();
        None
    }
}

/// Returns the number in the last `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
