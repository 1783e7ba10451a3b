//! An engine's streamed answer.

use super::{Chunk, Failure};
use crate::link::http_client::{Canceller, Response};

/// Start of a line that carries an event.
const DATA: &str = "data:";
/// Event after the last piece.
const DONE: &str = "[DONE]";
/// Longest line of a stream, in bytes.
const LINE_BYTES: usize = 64 << 10;
/// Bytes read from the connection at once.
const READ_BYTES: usize = 4 << 10;

/// Pieces of an answer as they arrive; [`crate::retry::Assembly`] puts them in order.
///
/// The end is given out only when the engine has also closed the answer. A failure, and dropping the
/// stream earlier, close the connection, which cancels the generation.
#[derive(Debug)]
pub struct Stream {
    incoming: Response,
    buffer: Vec<u8>,
    end: Option<Chunk>,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

/// What a line of the stream carries.
enum Event {
    Chunk(Chunk),
    Done,
    Comment,
}

impl Stream {
    pub(super) fn new(incoming: Response) -> Stream {
        Stream { incoming, buffer: Vec::new(), end: None, state: State::Open }
    }

    /// Returns what cancels the stream from another thread.
    pub fn canceller(&self) -> Canceller {
        self.incoming.canceller()
    }

    fn advance(&mut self) -> Result<Chunk, Failure> {
        loop {
            let line = self.line()?;
            match event(&line)? {
                Event::Comment => {}
                Event::Chunk(it @ Chunk::Token { .. }) if self.end.is_none() => return Ok(it),
                Event::Chunk(it @ Chunk::End { .. }) if self.end.is_none() => self.end = Some(it),
                Event::Chunk(it) => {
                    return Err(Failure::Broken(format!("{it:?} after the end of the answer")));
                }
                Event::Done => return self.close(),
            }
        }
    }

    /// Reads to the end of the body, so that the connection can serve another exchange.
    fn close(&mut self) -> Result<Chunk, Failure> {
        let Some(end) = self.end.take() else {
            return Err(Failure::Broken("the answer has no end".to_owned()));
        };
        self.incoming.read_whole()?;
        self.state = State::Ended;
        Ok(end)
    }

    fn line(&mut self) -> Result<Vec<u8>, Failure> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buffer[searched..].iter().position(|it| *it == b'\n') {
                let line = self.buffer.drain(..=searched + at).collect();
                return Ok(line);
            }
            searched = self.buffer.len();
            if LINE_BYTES < searched {
                return Err(Failure::Broken("a line is too long".to_owned()));
            }
            let mut buf = [0; READ_BYTES];
            let n = self.incoming.read(&mut buf)?;
            if n == 0 {
                return Err(Failure::Broken("the answer ended early".to_owned()));
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
        let result = self.advance();
        if result.is_err() {
            self.state = State::Ended;
            self.incoming.close();
        }
        Some(result)
    }
}

fn event(line: &[u8]) -> Result<Event, Failure> {
    let text = std::str::from_utf8(line).map_err(malformed)?.trim();
    let Some(data) = text.strip_prefix(DATA) else {
        return Ok(Event::Comment);
    };
    match data.trim_start() {
        DONE => Ok(Event::Done),
        it => serde_json::from_str(it).map(Event::Chunk).map_err(malformed),
    }
}

fn malformed(err: impl std::fmt::Display) -> Failure {
    Failure::Broken(format!("malformed piece: {err}"))
}
