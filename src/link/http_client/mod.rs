//! HTTP client with timeouts and a pool of idle connections.
//!
//! Each pooled connection has its own `ureq` agent, so that one exchange can be cancelled from
//! another thread. When an exchange times out, all idle connections of the pool are closed too,
//! since whatever lost the state of one connection may have lost that of the others.

mod transport;

use std::{
    io::{self, Read},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use ureq::{Agent, Body, BodyReader, SendBody, http};

use self::transport::{ConnectState, Connector};
pub use self::transport::{Traffic, traffic};

/// Idle time after which a connection is not used again.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);
/// Size of the input and the output buffer of a connection, in bytes; a response head must fit.
const BUFFER_BYTES: usize = 16 << 10;
/// Idle connections kept for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Timeouts of one exchange.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Longest time that a single read or write may take.
    pub inactivity: Option<Duration>,
    /// Time for the whole exchange, including the response body.
    pub total: Option<Duration>,
}

/// Why an exchange returned no complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection ended or the response was malformed; the request may have arrived.
    #[error("connection broken: {0}")]
    Broken(String),
    /// The inactivity timeout or the total timeout passed; the request may have arrived.
    #[error("silent for longer than the bound")]
    Timeout,
    /// The exchange was cancelled; the request may have arrived.
    #[error("cancelled")]
    Cancelled,
}

/// Connections to one address; clones share the connections.
#[derive(Debug, Clone)]
pub struct Pool {
    address: SocketAddr,
    idle: Arc<Mutex<Idle>>,
}

/// Idle connections of a pool.
#[derive(Debug, Default)]
struct Idle {
    /// Incremented when all connections of the pool are discarded.
    generation: u64,
    /// Connections with the time at which each became idle.
    connections: Vec<(Connection, Instant)>,
}

/// At most one connection, opened when it is first needed.
#[derive(Debug, Clone)]
struct Connection {
    agent: Agent,
    connect_state: Arc<ConnectState>,
    cancelled: Arc<AtomicBool>,
    /// Generation of the pool in which the connection was created.
    generation: u64,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, idle: Arc::default() }
    }

    /// Returns the address to which the pool connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request on an idle connection or a new one.
    ///
    /// # Errors
    /// Fails when no response head arrives within the timeouts.
    pub fn send(
        &self,
        request: http::Request<Vec<u8>>,
        timeouts: &Timeouts,
    ) -> Result<Response, Error> {
        let connection = self.checkout();
        self.run(connection, request, timeouts)
    }

    /// Sends a request on a new connection.
    ///
    /// On a stale pooled connection, the request could fail without a sign of whether it arrived.
    ///
    /// # Errors
    /// Fails when no response head arrives within the timeouts.
    pub fn send_on_new_connection(
        &self,
        request: http::Request<Vec<u8>>,
        timeouts: &Timeouts,
    ) -> Result<Response, Error> {
        let connection = Connection::new(self.generation());
        self.run(connection, request, timeouts)
    }

    /// Sends a request with a streamed body on a new connection that is not reused.
    ///
    /// The operating system closes the connection when sent bytes stay unacknowledged for longer
    /// than `unacked_timeout`.
    ///
    /// # Errors
    /// Fails when no response head arrives within the timeouts.
    pub fn send_streaming(
        &self,
        request: http::Request<()>,
        mut body: impl Read,
        unacked_timeout: Duration,
        timeouts: &Timeouts,
    ) -> Result<Response, Error> {
        let connection = Connection::new(self.generation());
        connection.connect_state.set_unacked_timeout(unacked_timeout);
        let (parts, ()) = request.into_parts();
        let request = http::Request::from_parts(parts, SendBody::from_reader(&mut body));
        let result = connection.exchange(request, timeouts);
        self.response(connection, result, Reuse::Never)
    }

    /// Closes all idle connections, and keeps those in use from being reused.
    pub fn discard_connections(&self) {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        idle.generation += 1;
        let connections = std::mem::take(&mut idle.connections);
        drop(idle);
        drop(connections);
    }

    fn run(
        &self,
        connection: Connection,
        request: http::Request<Vec<u8>>,
        timeouts: &Timeouts,
    ) -> Result<Response, Error> {
        let result = connection.exchange(request, timeouts);
        self.response(connection, result, Reuse::AfterWholeBody)
    }

    /// Returns the response of an exchange; a timeout also discards the connections of the pool.
    fn response(
        &self,
        connection: Connection,
        result: Result<http::Response<Body>, Error>,
        reuse: Reuse,
    ) -> Result<Response, Error> {
        match result {
            Ok(it) => Ok(Response::new(self.clone(), connection, it, reuse)),
            Err(err) => {
                self.handle_error(&err);
                Err(err)
            }
        }
    }

    /// Discards the connections of the pool if the error is a timeout.
    fn handle_error(&self, err: &Error) {
        if *err == Error::Timeout {
            self.discard_connections();
        }
    }

    fn generation(&self) -> u64 {
        self.idle.lock().expect("pool lock poisoned").generation
    }

    /// Takes an idle connection out of the pool, or creates one.
    fn checkout(&self) -> Connection {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let generation = idle.generation;
        idle.connections.retain(|(_, since)| since.elapsed() < MAX_IDLE_AGE);
        let connection = idle.connections.pop();
        drop(idle);
        connection.map_or_else(|| Connection::new(generation), |(it, _)| it)
    }

    /// Returns a connection to the pool, unless it was discarded or the pool is full.
    fn check_in(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        if connection.generation == idle.generation && idle.connections.len() < MAX_IDLE_CONNECTIONS
        {
            idle.connections.push((connection, Instant::now()));
        }
    }
}

impl Connection {
    fn new(generation: u64) -> Connection {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .proxy(None)
            .build();
        let connect_state = Arc::new(ConnectState::default());
        let connector = Connector::new(Arc::clone(&connect_state));
        let resolver = ureq::unversioned::resolver::DefaultResolver::default();
        Connection {
            agent: Agent::with_parts(config, connector, resolver),
            connect_state,
            cancelled: Arc::default(),
            generation,
        }
    }

    fn exchange(
        &self,
        request: http::Request<impl ureq::AsSendBody>,
        timeouts: &Timeouts,
    ) -> Result<http::Response<Body>, Error> {
        self.connect_state.begin();
        let request = self
            .agent
            .configure_request(request)
            .timeout_connect(Some(timeouts.connect))
            .timeout_per_read(timeouts.inactivity)
            .timeout_per_write(timeouts.inactivity)
            .timeout_global(timeouts.total)
            .build();
        self.agent.run(request).map_err(|it| self.send_error(it))
    }

    /// Converts an error that occurred before the response head arrived.
    fn send_error(&self, err: ureq::Error) -> Error {
        if self.cancelled.load(Ordering::Acquire) {
            return Error::Cancelled;
        }
        if self.connect_state.has_failed() {
            return Error::Connect(err.to_string());
        }
        match err {
            ureq::Error::Timeout(_) => Error::Timeout,
            it => Error::Broken(it.to_string()),
        }
    }

    /// Converts an error that occurred while the body was read.
    fn read_error(&self, err: &io::Error) -> Error {
        if self.cancelled.load(Ordering::Acquire) {
            return Error::Cancelled;
        }
        let cause = err.get_ref().and_then(|it| it.downcast_ref::<ureq::Error>());
        match cause {
            Some(ureq::Error::Timeout(_)) => Error::Timeout,
            _ => Error::Broken(err.to_string()),
        }
    }
}

/// Cancels an exchange from another thread.
#[derive(Debug, Clone)]
pub struct Canceller(Connection);

impl Canceller {
    /// Closes the connection; a read in progress fails with [`Error::Cancelled`].
    pub fn cancel(&self) {
        self.0.cancelled.store(true, Ordering::Release);
        self.0.agent.clone().shutdown();
    }
}

/// Whether a connection may serve another exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reuse {
    Never,
    AfterWholeBody,
}

/// A response whose head has arrived; if dropped before the body was read whole, it closes the
/// connection.
pub struct Response {
    /// Status and header fields.
    pub head: http::response::Parts,
    body: BodyReader<'static>,
    pool: Pool,
    connection: Connection,
    reuse: Reuse,
    is_complete: bool,
}

impl Response {
    fn new(
        pool: Pool,
        connection: Connection,
        response: http::Response<Body>,
        reuse: Reuse,
    ) -> Response {
        let (head, body) = response.into_parts();
        let body = body.into_with_config().limit(u64::MAX).reader();
        Response { head, body, pool, connection, reuse, is_complete: false }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// Returns a handle that cancels this exchange.
    pub fn canceller(&self) -> Canceller {
        Canceller(self.connection.clone())
    }

    /// Closes the connection, so that the server stops sending the rest of the response.
    pub fn close(&self) {
        self.connection.agent.clone().shutdown();
    }

    /// Reads some bytes of the body; returns 0 at the end of the body.
    ///
    /// # Errors
    /// Fails when the connection ends early or a timeout passes.
    pub fn read(&mut self, buf: &mut [u8]) -> Result<usize, Error> {
        match self.body.read(buf) {
            Ok(n) => {
                self.is_complete = self.is_complete || n == 0;
                Ok(n)
            }
            Err(err) => {
                let err = self.connection.read_error(&err);
                self.pool.handle_error(&err);
                Err(err)
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// Fails when the connection ends early or a timeout passes.
    pub fn read_whole(&mut self) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        let mut buf = [0; 8 << 10];
        loop {
            let n = self.read(&mut buf)?;
            if n == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&buf[..n]);
        }
    }
}

impl std::fmt::Debug for Response {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Response").field("head", &self.head).finish_non_exhaustive()
    }
}

impl Drop for Response {
    fn drop(&mut self) {
        if !self.is_complete {
            self.close();
            return;
        }
        if self.reuse == Reuse::AfterWholeBody && !self.connection.cancelled.load(Ordering::Acquire)
        {
            self.pool.check_in(self.connection.clone());
        }
    }
}
