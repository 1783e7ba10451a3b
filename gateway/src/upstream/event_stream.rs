//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered whole; a longer event is returned in parts.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Largest event.
const MAX_EVENT_BYTES: usize = 8 * 1024 * 1024;
/// Longest name of a field. A line that has no colon up to here is not part of an event.
const MAX_FIELD_NAME_BYTES: usize = 256;

/// Bytes that are not part of an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A line is not a field of an event.
    #[error("the stream has a line that is no field of an event")]
    Line,
    /// An event is larger than any event of a sound target.
    #[error("the stream has an event that is too large")]
    Event,
}

/// Buffers the bytes of a stream and returns whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    scanned: usize,
    /// Start of the last line in the scanned bytes.
    line_start: usize,
    /// Parts of the event at the start of the buffer that were returned before.
    returned: Returned,
}

/// What was returned of an event that has not ended.
#[derive(Debug, Default)]
struct Returned {
    bytes: usize,
    id: Option<u64>,
    /// Whether a line has begun in it whose field name was seen to its end.
    is_within_line: bool,
}

/// One event as received, or a part of a long one, and its identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id:` field; `None` when absent or not a number.
    pub id: Option<u64>,
    /// Whether the event ends here.
    pub is_complete: bool,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event, or a part of a long one; `None` until more bytes arrive.
    ///
    /// # Errors
    /// Fails when the bytes can't be part of an event.
    pub fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        let end = self.find_end()?;
        let event_bytes = self.returned.bytes + end.unwrap_or(self.buffer.len());
        if MAX_EVENT_BYTES < event_bytes {
            return Err(Malformed::Event);
        }
        let length = match end {
            Some(end) => end,
            // Whole lines, so that no field is in two parts unless it is a long one.
            None if MAX_BUFFERED_BYTES < self.buffer.len() => match self.line_start {
                0 => self.buffer.len(),
                start => start,
            },
            None => return Ok(None),
        };
        let bytes = self.buffer.split_to(length).freeze();
        let id = event_id(&bytes).or(self.returned.id);
        self.returned = match end {
            Some(_) => Returned::default(),
            None => {
                let is_within_line = !bytes.ends_with(b"\n");
                Returned { bytes: event_bytes, id, is_within_line }
            }
        };
        self.scanned = 0;
        self.line_start = 0;
        Ok(Some(Event { bytes, id, is_complete: end.is_some() }))
    }

    /// Takes the buffered bytes of an event that has not ended.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.line_start = 0;
        self.buffer.split().freeze()
    }

    /// Returns whether a part of an event was returned that has not ended.
    pub fn is_within_event(&self) -> bool {
        0 < self.returned.bytes
    }

    /// Returns the position after the first blank line.
    fn find_end(&mut self) -> Result<Option<usize>, Malformed> {
        let bytes = &self.buffer[..];
        for index in self.scanned..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            let line = &bytes[self.line_start..index];
            let continues = self.line_start == 0 && self.returned.is_within_line;
            if !continues {
                check_line(line)?;
                let has_begun = 0 < self.line_start || 0 < self.returned.bytes;
                if has_begun && (line.is_empty() || line == b"\r") {
                    return Ok(Some(index + 1));
                }
            }
            self.line_start = index + 1;
        }
        if !(self.line_start == 0 && self.returned.is_within_line) {
            check_line(&bytes[self.line_start..])?;
        }
        self.scanned = bytes.len();
        Ok(None)
    }
}

/// Checks that a line, which may not have ended, can be a field of an event.
fn check_line(line: &[u8]) -> Result<(), Malformed> {
    let name = line.get(..=MAX_FIELD_NAME_BYTES);
    match name.is_some_and(|it| !it.contains(&b':')) {
        true => Err(Malformed::Line),
        false => Ok(()),
    }
}

/// Returns the number in the last `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
