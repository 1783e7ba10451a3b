//! Streamed answer of an engine, as server-sent events.

use super::{Chunk, Failure};
use crate::link::http_client::{Canceller, Response};

/// Prefix of a line that carries an event.
const DATA_PREFIX: &str = "data:";
/// Data of the event after the last chunk.
const DONE_MARKER: &str = "[DONE]";
/// Maximum length of a line of the stream; a longer line fails the call.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Size of the buffer for one read from the connection.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Iterator over the chunks of an answer as they arrive; [`crate::retry::Assembly`] checks their
/// order.
///
/// [`Chunk::End`] is returned only after the whole response body has been read. A failure closes
/// the connection, and so does dropping the stream before the end; a closed connection cancels the
/// generation.
#[derive(Debug)]
pub struct Stream {
    response: Response,
    buffer: Vec<u8>,
    end: Option<Chunk>,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

/// Content of a line of the stream.
enum Event {
    Chunk(Chunk),
    Done,
    /// A line without data, which is ignored.
    Comment,
}

impl Stream {
    pub(super) fn new(response: Response) -> Stream {
        Stream { response, buffer: Vec::new(), end: None, state: State::Open }
    }

    /// Returns a handle that cancels the stream from another thread.
    pub fn canceller(&self) -> Canceller {
        self.response.canceller()
    }

    fn next_chunk(&mut self) -> Result<Chunk, Failure> {
        loop {
            let line = self.read_line()?;
            match parse_event(&line)? {
                Event::Comment => {}
                Event::Chunk(it @ Chunk::Token { .. }) if self.end.is_none() => return Ok(it),
                Event::Chunk(it @ Chunk::End { .. }) if self.end.is_none() => self.end = Some(it),
                Event::Chunk(it) => {
                    return Err(Failure::Broken(format!("{it:?} after the end of the answer")));
                }
                Event::Done => return self.finish(),
            }
        }
    }

    /// Reads to the end of the body, so that the connection can be reused, and returns the end.
    fn finish(&mut self) -> Result<Chunk, Failure> {
        let Some(end) = self.end.take() else {
            return Err(Failure::Broken(
                "the [DONE] event arrived before the end of the answer".to_owned(),
            ));
        };
        self.response.read_whole()?;
        self.state = State::Ended;
        Ok(end)
    }

    fn read_line(&mut self) -> Result<Vec<u8>, Failure> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buffer[searched..].iter().position(|it| *it == b'\n') {
                let line = self.buffer.drain(..=searched + at).collect();
                return Ok(line);
            }
            searched = self.buffer.len();
            if MAX_LINE_BYTES < searched {
                return Err(Failure::Broken("a line of the stream is too long".to_owned()));
            }
            let mut buf = [0; READ_BUFFER_BYTES];
            let n = self.response.read(&mut buf)?;
            if n == 0 {
                return Err(Failure::Broken(
                    "the stream ended before the end of the answer".to_owned(),
                ));
            }
            self.buffer.extend_from_slice(&buf[..n]);
        }
    }
}

impl Iterator for Stream {
    type Item = Result<Chunk, Failure>;

    fn next(&mut self) -> Option<Result<Chunk, Failure>> {
        if self.state == State::Ended {
            return None;
        }
        let result = self.next_chunk();
        if result.is_err() {
            self.state = State::Ended;
            self.response.close();
        }
        Some(result)
    }
}

fn parse_event(line: &[u8]) -> Result<Event, Failure> {
    let text = std::str::from_utf8(line).map_err(malformed)?.trim();
    let Some(data) = text.strip_prefix(DATA_PREFIX) else {
        return Ok(Event::Comment);
    };
    match data.trim_start() {
        DONE_MARKER => Ok(Event::Done),
        it => serde_json::from_str(it).map(Event::Chunk).map_err(malformed),
    }
}

fn malformed(err: impl std::fmt::Display) -> Failure {
    Failure::Broken(format!("malformed event: {err}"))
}
