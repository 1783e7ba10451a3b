//! An engine's streamed answer.

use super::{Failure, Piece};
use crate::link::outgoing::{Canceller, Incoming};

/// Start of a line that carries an event.
const DATA: &str = "data:";
/// Event after the last piece.
const DONE: &str = "[DONE]";
/// Longest line of a stream, in bytes.
const LINE_BYTES: usize = 64 << 10;
/// Bytes read from the connection at once.
const READ_BYTES: usize = 4 << 10;

/// Pieces of an answer, checked to be in order and without gaps.
///
/// The end is given out only when the engine has also closed the answer. A failure, and dropping the
/// stream earlier, close the connection, which cancels the generation.
#[derive(Debug)]
pub struct Stream {
    incoming: Incoming,
    buffer: Vec<u8>,
    expected: u32,
    end: Option<Piece>,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

/// What a line of the stream carries.
enum Event {
    Piece(Piece),
    Done,
    Comment,
}

impl Stream {
    pub(super) fn new(incoming: Incoming, resume_at: u32) -> Stream {
        Stream { incoming, buffer: Vec::new(), expected: resume_at, end: None, state: State::Open }
    }

    /// Returns what cancels the stream from another thread.
    pub fn canceller(&self) -> Canceller {
        self.incoming.canceller()
    }

    fn advance(&mut self) -> Result<Piece, Failure> {
        loop {
            let line = self.line()?;
            match event(&line)? {
                Event::Comment => {}
                Event::Piece(it @ Piece::Token { index, .. }) => {
                    self.check(index)?;
                    self.expected += 1;
                    return Ok(it);
                }
                Event::Piece(it @ Piece::End { tokens, .. }) => {
                    self.check(tokens)?;
                    self.end = Some(it);
                }
                Event::Done => return self.close(),
            }
        }
    }

    fn check(&self, index: u32) -> Result<(), Failure> {
        if index == self.expected && self.end.is_none() {
            return Ok(());
        }
        Err(Failure::Broken(format!("piece {index} in place of {}", self.expected)))
    }

    /// Reads to the end of the body, so that the connection can serve another exchange.
    fn close(&mut self) -> Result<Piece, Failure> {
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
    type Item = Result<Piece, Failure>;

    fn next(&mut self) -> Option<Result<Piece, Failure>> {
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
        it => serde_json::from_str(it).map(Event::Piece).map_err(malformed),
    }
}

fn malformed(err: impl std::fmt::Display) -> Failure {
    Failure::Broken(format!("malformed piece: {err}"))
}
