//! Clients that send one request after another on a connection.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// A connection of a client.
pub struct Connection {
    writer: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection within a second.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Connection { writer, reader })
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.writer.write_all(&bytes)
    }

    /// Waits for the next bytes for this time at most.
    pub fn set_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        self.writer.set_read_timeout(Some(timeout.max(Duration::from_millis(1))))
    }

    /// Reads a whole response within a time.
    pub fn receive(&mut self, within: Duration) -> io::Result<Message> {
        let started = Instant::now();
        self.set_timeout(within)?;
        let mut message = http::read_head(&mut self.reader)?;
        self.set_timeout(within.saturating_sub(started.elapsed()))?;
        http::read_body(&mut self.reader, &mut message)?;
        Ok(message)
    }
}

/// Makes a call on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut connection = Connection::open(address)?;
    connection.send("GET", &address.to_string(), path, &[], &[])?;
    connection.receive(Duration::from_secs(2))
}
