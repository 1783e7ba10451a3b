//! Outgoing HTTP connections with bounds on silence, and a pool of idle ones.
//!
//! Each pooled connection belongs to an agent of its own, so that one exchange can be cancelled from
//! another thread. When a connection was silent for longer than its bound, every idle connection of the
//! pool is closed too, since whatever lost track of one may have lost track of the others.

mod socket;

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

use self::socket::{Connector, Opening};
pub use self::socket::{Traffic, traffic};

/// Age after which an idle connection is not used again.
const IDLE_AGE: Duration = Duration::from_secs(10);
/// Buffer of a connection in each direction, in bytes; the head of an answer must fit.
const BUFFER_BYTES: usize = 16 << 10;
/// Idle connections kept for one address.
const IDLE_CONNECTIONS: usize = 64;

/// Bounds of one exchange.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Silence after which the connection is dropped.
    pub silence: Option<Duration>,
    /// Time for the whole exchange, the body included.
    pub total: Option<Duration>,
}

/// An exchange that gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection ended or the answer was malformed; the request may have arrived.
    #[error("connection broken: {0}")]
    Broken(String),
    /// Nothing arrived within the bound; the request may have arrived.
    #[error("silent for longer than the bound")]
    Silent,
    /// The exchange was cancelled; the request may have arrived.
    #[error("cancelled")]
    Cancelled,
}

/// Connections to one address; clones share them.
#[derive(Debug, Clone)]
pub struct Pool {
    address: SocketAddr,
    idle: Arc<Mutex<Idle>>,
}

#[derive(Debug, Default)]
struct Idle {
    /// Raised when all connections of the pool are given up.
    generation: u64,
    lines: Vec<(Line, Instant)>,
}

/// One connection at most, opened when it is first needed.
#[derive(Debug, Clone)]
struct Line {
    agent: Agent,
    opening: Arc<Opening>,
    cancelled: Arc<AtomicBool>,
    generation: u64,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, idle: Arc::default() }
    }

    /// Returns the address that the connections lead to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request on an idle connection or a new one.
    ///
    /// # Errors
    /// Fails when no head of an answer arrives within the bounds.
    pub fn send(
        &self,
        request: http::Request<Vec<u8>>,
        bounds: &Bounds,
    ) -> Result<Incoming, Error> {
        let line = self.take();
        self.run(line, request, bounds)
    }

    /// Sends a request on a new connection, so that no stale one can make its outcome unknown.
    ///
    /// # Errors
    /// Fails when no head of an answer arrives within the bounds.
    pub fn send_fresh(
        &self,
        request: http::Request<Vec<u8>>,
        bounds: &Bounds,
    ) -> Result<Incoming, Error> {
        let line = Line::new(self.generation());
        self.run(line, request, bounds)
    }

    /// Sends a request on a new connection that is closed afterwards, with a body that is read piece
    /// by piece.
    ///
    /// Bytes that the address has not acknowledged within `window` are given up by the system.
    ///
    /// # Errors
    /// Fails when no head of an answer arrives within the bounds.
    pub fn send_once(
        &self,
        request: http::Request<()>,
        mut body: impl Read,
        window: Duration,
        bounds: &Bounds,
    ) -> Result<Incoming, Error> {
        let line = Line::new(self.generation());
        line.opening.set_window(window);
        let (parts, ()) = request.into_parts();
        let request = http::Request::from_parts(parts, SendBody::from_reader(&mut body));
        let result = line.exchange(request, bounds);
        self.incoming(line, result, Reuse::Never)
    }

    /// Closes all idle connections; those in use are not used again.
    pub fn forget(&self) {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        idle.generation += 1;
        let lines = std::mem::take(&mut idle.lines);
        drop(idle);
        drop(lines);
    }

    fn run(
        &self,
        line: Line,
        request: http::Request<Vec<u8>>,
        bounds: &Bounds,
    ) -> Result<Incoming, Error> {
        let result = line.exchange(request, bounds);
        self.incoming(line, result, Reuse::WhenWhole)
    }

    fn incoming(
        &self,
        line: Line,
        result: Result<http::Response<Body>, Error>,
        reuse: Reuse,
    ) -> Result<Incoming, Error> {
        match result {
            Ok(it) => Ok(Incoming::new(self.clone(), line, it, reuse)),
            Err(err) => {
                self.note(&err);
                Err(err)
            }
        }
    }

    fn note(&self, err: &Error) {
        if *err == Error::Silent {
            self.forget();
        }
    }

    fn generation(&self) -> u64 {
        self.idle.lock().expect("pool lock poisoned").generation
    }

    fn take(&self) -> Line {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let generation = idle.generation;
        idle.lines.retain(|(_, since)| since.elapsed() < IDLE_AGE);
        let line = idle.lines.pop();
        drop(idle);
        line.map_or_else(|| Line::new(generation), |(it, _)| it)
    }

    fn give_back(&self, line: Line) {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        if line.generation == idle.generation && idle.lines.len() < IDLE_CONNECTIONS {
            idle.lines.push((line, Instant::now()));
        }
    }
}

impl Line {
    fn new(generation: u64) -> Line {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .proxy(None)
            .build();
        let opening = Arc::new(Opening::default());
        let connector = Connector::new(Arc::clone(&opening));
        let resolver = ureq::unversioned::resolver::DefaultResolver::default();
        Line {
            agent: Agent::with_parts(config, connector, resolver),
            opening,
            cancelled: Arc::default(),
            generation,
        }
    }

    fn exchange(
        &self,
        request: http::Request<impl ureq::AsSendBody>,
        bounds: &Bounds,
    ) -> Result<http::Response<Body>, Error> {
        self.opening.begin();
        let request = self
            .agent
            .configure_request(request)
            .timeout_connect(Some(bounds.connect_time))
            .timeout_per_read(bounds.silence)
            .timeout_per_write(bounds.silence)
            .timeout_global(bounds.total)
            .build();
        self.agent.run(request).map_err(|it| self.error(it))
    }

    fn error(&self, err: ureq::Error) -> Error {
        if self.cancelled.load(Ordering::Acquire) {
            return Error::Cancelled;
        }
        if self.opening.has_failed() {
            return Error::Connect(err.to_string());
        }
        match err {
            ureq::Error::Timeout(_) => Error::Silent,
            it => Error::Broken(it.to_string()),
        }
    }

    fn read_error(&self, err: &io::Error) -> Error {
        if self.cancelled.load(Ordering::Acquire) {
            return Error::Cancelled;
        }
        let cause = err.get_ref().and_then(|it| it.downcast_ref::<ureq::Error>());
        match cause {
            Some(ureq::Error::Timeout(_)) => Error::Silent,
            _ => Error::Broken(err.to_string()),
        }
    }
}

/// Cancels an exchange from another thread.
#[derive(Debug, Clone)]
pub struct Canceller(Line);

impl Canceller {
    /// Closes the connection; a read in progress ends with [`Error::Cancelled`].
    pub fn cancel(&self) {
        self.0.cancelled.store(true, Ordering::Release);
        self.0.agent.clone().shutdown();
    }
}

/// Whether a connection may serve another exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reuse {
    Never,
    WhenWhole,
}

/// An answer whose head has arrived.
pub struct Incoming {
    /// Status and header fields.
    pub head: http::response::Parts,
    body: BodyReader<'static>,
    pool: Pool,
    line: Line,
    reuse: Reuse,
    ended: bool,
}

impl Incoming {
    fn new(pool: Pool, line: Line, response: http::Response<Body>, reuse: Reuse) -> Incoming {
        let (head, body) = response.into_parts();
        let body = body.into_with_config().limit(u64::MAX).reader();
        Incoming { head, body, pool, line, reuse, ended: false }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// Returns what cancels this exchange.
    pub fn canceller(&self) -> Canceller {
        Canceller(self.line.clone())
    }

    /// Closes the connection; the other end sees that the rest of the answer is not wanted.
    pub fn close(&self) {
        self.line.agent.clone().shutdown();
    }

    /// Reads some bytes of the body; 0 means that it is whole.
    ///
    /// # Errors
    /// Fails when the connection ends early or is silent for too long.
    pub fn read(&mut self, buf: &mut [u8]) -> Result<usize, Error> {
        match self.body.read(buf) {
            Ok(n) => {
                self.ended = self.ended || n == 0;
                Ok(n)
            }
            Err(err) => {
                let err = self.line.read_error(&err);
                self.pool.note(&err);
                Err(err)
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// Fails when the connection ends early or is silent for too long.
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

impl std::fmt::Debug for Incoming {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Incoming").field("head", &self.head).finish_non_exhaustive()
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        if !self.ended {
            self.close();
            return;
        }
        if self.reuse == Reuse::WhenWhole && !self.line.cancelled.load(Ordering::Acquire) {
            self.pool.give_back(self.line.clone());
        }
    }
}
