//! Connections to targets, one request at a time on each.

use std::{cell::RefCell, collections::HashMap, io, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use prometheus::IntCounter;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::registry::Key;
use fuchsiaknot_core::clock::{self, Moment};

/// Time for a connection to be established; within a region a round trip takes a few milliseconds.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time after which a connection whose bytes are not acknowledged, or that is silent, is given up.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time between keep-alive probes on a silent connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a connection is kept idle when the target does not say how long it keeps it.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Idle connections kept for each target.
const MAX_IDLE: usize = 8;

/// Why a request did not get an answer's head.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No connection could be established; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection closed before anything was written.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The connection broke after the request was sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
}

/// A connection to a target; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_until: Moment,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by target.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<Key, Vec<Connection>>>,
    opened: IntCounter,
}

impl Pool {
    /// Creates an empty pool that counts the connections it opens.
    pub fn new(opened: IntCounter) -> Pool {
        Pool { idle: RefCell::default(), opened }
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    /// Fails when the target refuses the connection or does not answer in time.
    pub async fn connect(
        &self,
        key: Key,
        address: std::net::SocketAddr,
    ) -> Result<Connection, RequestError> {
        if let Some(connection) = self.take_idle(key) {
            return Ok(connection);
        }
        self.opened.inc();
        open(address).await.map_err(RequestError::Connect)
    }

    fn take_idle(&self, key: Key) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        while let Some(connection) = connections.pop() {
            if now < connection.idle_until && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer ended cleanly; `keep` is how long the target keeps it.
    pub fn put_back(&self, key: Key, mut connection: Connection, keep: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let keep = keep.map_or(IDLE_TIME, |it| it.saturating_sub(Duration::from_millis(500)));
        connection.idle_until = clock::now() + keep.min(IDLE_TIME);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes the idle connections of a target.
    pub fn close_idle(&self, key: Key) {
        self.idle.borrow_mut().remove(&key);
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|it| now < it.idle_until && !it.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl Connection {
    /// Returns whether another request may be sent on it.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Fails when the connection closes or breaks first.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, RequestError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(RequestError::NotSent),
                None => Err(RequestError::Broken(err.into_error())),
            },
        }
    }
}

/// Opens a connection.
///
/// # Errors
/// Fails when the other end refuses it or does not answer in time.
pub async fn open(address: std::net::SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await??;
    set_silence_timeout(&stream, SILENCE)?;
    let handshake = http1::Builder::new()
        .max_buf_size(64 * 1024)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let (sender, connection) = handshake;
    let driver = tokio::task::spawn_local(async move {
        if let Err(err) = connection.await {
            tracing::debug!(%err, "a connection to a target ended");
        }
    });
    Ok(Connection { sender, driver, idle_until: Moment::ZERO })
}

/// Makes a connection fail once it was silent for `bound` and probes are not answered.
///
/// # Errors
/// Fails when the socket does not take the options.
pub fn set_silence_timeout(stream: &TcpStream, bound: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(bound))?;
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}
