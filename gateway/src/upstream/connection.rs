//! HTTP/1 connections to targets, each with one request at a time.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    hash::{Hash, Hasher},
    io,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    ext::on_informational,
};
use hyper_util::rt::TokioIo;
use prometheus::IntCounter;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::upstream::tapped_stream::{Tap, TappedStream};
use fuchsiaknot_core::clock::{self, Moment};

/// Time for establishing a connection; a round trip within a region takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection fails whose data or keep-alive probes are not acknowledged.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first keep-alive probe and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which an idle connection is kept, also when the target states no time or a
/// longer one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Size of the buffer from which responses are parsed; a longer head fails.
const BUFFER_BYTES: usize = 64 * 1024;
/// Most header lines of a message; the library's own limit of 100 is below what the size permits.
pub const MAX_HEADERS: usize = 512;
/// Most bytes that are read until a response head is complete: the head, interim heads before it and
/// the part of the body that is read with it.
const MAX_BYTES_TO_HEAD: usize = 4 * BUFFER_BYTES;
/// Most interim heads before a response head. Each is parsed, so that bytes alone do not bound what
/// they cost.
const MAX_INTERIM_HEADS: usize = 16;
/// Most requests on one connection, which bounds the identifiers that it keeps.
const MAX_REQUESTS: usize = 256;
/// Maximum number of idle connections kept for each target.
const MAX_IDLE_PER_TARGET: usize = 8;

/// Why a request got no response head.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No connection could be established, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection closed before any part of the request was written.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The target sent too much before a response head was complete.
    #[error("the response head is too long")]
    HeadTooLong,
    /// The connection broke after the request was sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
}

impl RequestError {
    /// Returns whether nothing listens at the target's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, RequestError::Connect(err) if err.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Bytes that may still be read from a connection, and when any were last read; clones share them.
///
/// The client library skips any number of interim heads, so the size of its buffer alone does not
/// bound what a target may send before its response.
#[derive(Debug, Clone)]
pub struct Allowance {
    bytes: Arc<AtomicUsize>,
    last_received: Rc<Cell<Moment>>,
}

impl Default for Allowance {
    /// Returns an allowance without a bound.
    fn default() -> Allowance {
        Allowance::unlimited(Rc::default())
    }
}

impl Allowance {
    fn unlimited(last_received: Rc<Cell<Moment>>) -> Allowance {
        Allowance { bytes: Arc::new(AtomicUsize::new(usize::MAX)), last_received }
    }

    /// Bounds what may be read until the head of the response to a request, which is about to be
    /// sent, is complete.
    pub fn begin(&self, request: &mut Request<Full<Bytes>>) {
        self.set(MAX_BYTES_TO_HEAD);
        let (bytes, count) = (Arc::clone(&self.bytes), AtomicUsize::new(0));
        on_informational(request, move |_| {
            if MAX_INTERIM_HEADS <= count.fetch_add(1, Ordering::Relaxed) {
                bytes.store(0, Ordering::Relaxed);
            }
        });
    }

    /// Ends the bound once the head of the response is complete.
    pub fn lift(&self) {
        self.set(usize::MAX);
    }

    fn set(&self, bytes: usize) {
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) == 0
    }
}

impl Tap for Allowance {
    fn check_read(&self) -> io::Result<()> {
        if self.is_used_up() { Err(io::ErrorKind::InvalidData.into()) } else { Ok(()) }
    }

    fn record_read(&self, bytes: usize) {
        self.set(self.bytes.load(Ordering::Relaxed).saturating_sub(bytes));
        self.last_received.set(clock::now());
    }
}

/// A connection to a target, closed on drop.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Task that reads from and writes to the socket.
    driver: JoinHandle<()>,
    /// Bytes that may be read from the socket.
    allowance: Allowance,
    idle_until: Moment,
    /// Hashes of the identifiers of the requests that were sent on it.
    request_ids: Vec<u64>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Pool of idle connections by the peer's key.
#[derive(Debug)]
pub struct Pool<K> {
    idle: RefCell<HashMap<K, Vec<Connection>>>,
    opened: IntCounter,
    last_received: Rc<Cell<Moment>>,
}

impl<K: Eq + Hash> Pool<K> {
    /// Creates an empty pool that counts opened connections in `opened`.
    pub fn new(opened: IntCounter) -> Pool<K> {
        Pool { idle: RefCell::default(), opened, last_received: Rc::default() }
    }

    /// Returns the time at which a connection was last established or received anything.
    pub fn last_received(&self) -> Moment {
        self.last_received.get()
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// Fails when the peer refuses the connection or does not accept it in time.
    pub async fn open(&self, address: std::net::SocketAddr) -> Result<Connection, RequestError> {
        self.opened.inc();
        let opened = open_tapped(address, Rc::clone(&self.last_received)).await;
        let connection = opened.map_err(RequestError::Connect)?;
        self.last_received.set(clock::now());
        Ok(connection)
    }

    /// Returns an idle connection for a request with this identifier, if there is one.
    ///
    /// A peer may send an earlier response once more. It is recognised by its identifier, so a
    /// connection that has carried a request with the same one is not used.
    pub fn take_idle(&self, key: &K, request_id: &str) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        connections.retain(|it| now < it.idle_until && it.sender.is_ready());
        let last = connections.iter().rposition(|it| !it.has_carried(request_id))?;
        Some(connections.remove(last))
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// `keep_alive` is the time for which the target keeps the idle connection, if it sent one. The
    /// pool drops the connection earlier, so that no request meets the target's close.
    pub fn put_back(&self, key: K, mut connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() || MAX_REQUESTS <= connection.request_ids.len() {
            return;
        }
        let keep_alive =
            keep_alive.map_or(MAX_IDLE_TIME, |it| it.saturating_sub(Duration::from_millis(500)));
        connection.idle_until = clock::now() + keep_alive.min(MAX_IDLE_TIME);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(connection);
        }
    }

    /// Closes the idle connections of a target.
    pub fn close_idle(&self, key: &K) {
        self.idle.borrow_mut().remove(key);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections whose idle time is over.
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
    /// Returns whether the connection has carried an earlier request, of which a late copy of the
    /// response may still arrive.
    pub fn is_reused(&self) -> bool {
        1 < self.request_ids.len()
    }

    /// Returns whether a request with this identifier was sent on the connection.
    fn has_carried(&self, request_id: &str) -> bool {
        !request_id.is_empty() && self.request_ids.contains(&hash(request_id))
    }

    /// Returns whether another request can be sent.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request with an identifier, empty without one, and waits for the response head.
    ///
    /// # Errors
    /// Fails when the connection closes or breaks before the response head.
    pub async fn send(
        &mut self,
        request_id: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, RequestError> {
        if !request_id.is_empty() {
            self.request_ids.push(hash(request_id));
        }
        self.allowance.begin(&mut request);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.lift();
                Ok(response)
            }
            Err(mut err) => match err.take_message() {
                Some(_) => Err(RequestError::NotSent),
                None if self.allowance.is_used_up() => Err(RequestError::HeadTooLong),
                None => Err(RequestError::Broken(err.into_error())),
            },
        }
    }
}

/// Returns the hash of a request's identifier.
fn hash(request_id: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}

/// Opens a connection outside any pool.
///
/// # Errors
/// Fails when the peer refuses the connection or does not accept it in time.
pub async fn open(address: std::net::SocketAddr) -> io::Result<Connection> {
    open_tapped(address, Rc::default()).await
}

/// Opens a connection that records when it last received anything.
async fn open_tapped(
    address: std::net::SocketAddr,
    last_received: Rc<Cell<Moment>>,
) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_silence_timeout(&stream, SILENCE_TIMEOUT)?;
    let allowance = Allowance::unlimited(last_received);
    let stream = TappedStream::new(stream, allowance.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let (sender, connection) = handshake;
    let driver = tokio::task::spawn_local(async move {
        if let Err(err) = connection.await {
            tracing::debug!(%err, "connection to a target failed");
        }
    });
    Ok(Connection { sender, driver, allowance, idle_until: Moment::ZERO, request_ids: Vec::new() })
}

/// Makes a connection fail when the peer acknowledges no data for `timeout` or no keep-alive
/// probes.
///
/// # Errors
/// Fails when the socket rejects the options.
pub fn set_silence_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}
