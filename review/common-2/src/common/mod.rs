//! The project's own stand-ins, and entry hosts as separate processes.

#![allow(dead_code)]

#[path = "../../../../platform/tests/common/caller.rs"]
pub(crate) mod caller;
pub(crate) mod host;
pub(crate) mod record;
#[path = "../../../../platform/tests/common/store.rs"]
pub(crate) mod store;
#[path = "../../../../platform/tests/common/target.rs"]
pub(crate) mod target;

use std::{
    io::{BufRead, BufReader, Read},
    net::TcpStream,
    time::Duration,
};

/// Timeout of every wait.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which conditions are polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An HTTP request or response.
#[derive(Debug, Clone, Default)]
pub(crate) struct Message {
    pub(crate) start_line: String,
    /// Values by name in lower case, in the order received.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub(crate) fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status code of a response; 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
    }
}

/// Reads a message; `None` if the connection ends before the message is complete.
pub(crate) fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    read_body(stream, &mut message)?;
    Some(message)
}

/// Reads the head of a message; `None` if the connection ends before it is complete.
pub(crate) fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message { start_line: read_line(stream)?, ..Message::default() };
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Some(message)
}

/// Reads the body of a message as far as it comes; `None` if it is not complete.
pub(crate) fn read_body(stream: &mut BufReader<TcpStream>, message: &mut Message) -> Option<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(stream)?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(());
            }
        }
    }
    let size = message.header("content-length").map_or(0, |it| it.parse().unwrap_or(0));
    message.body = vec![0; size];
    stream.read_exact(&mut message.body).ok()
}

fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match stream.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(line.trim_end().to_owned()),
    }
}
