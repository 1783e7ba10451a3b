//! TCP transport under `ureq`, which knows whether a connection was opened at all.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};
use ureq::{
    Error,
    unversioned::transport::{
        Buffers, ConnectionDetails, Connector as UreqConnector, LazyBuffers, NextTimeout,
        ShutdownHandle, Transport,
    },
};

/// Bytes that all connections of this process have sent.
static SENT: AtomicU64 = AtomicU64::new(0);
/// Bytes that all connections of this process have received.
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes of all outgoing HTTP connections of this process since its start, without packet headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes written to sockets.
    pub sent: u64,
    /// Bytes read from sockets.
    pub received: u64,
}

/// Returns the traffic so far.
pub fn traffic() -> Traffic {
    Traffic { sent: SENT.load(Ordering::Relaxed), received: RECEIVED.load(Ordering::Relaxed) }
}

/// Time between keepalive probes on an idle connection.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// How far the present exchange has come in opening its connection.
#[derive(Debug, Default)]
pub(super) struct Opening {
    state: AtomicU8,
    window: Mutex<Option<Duration>>,
}

/// No connection was needed, or it is open.
const IDLE_OR_OPEN: u8 = 0;
/// A connection is being opened, or could not be.
const OPENING: u8 = 1;

impl Opening {
    pub(super) fn begin(&self) {
        self.state.store(IDLE_OR_OPEN, Ordering::Release);
    }

    pub(super) fn has_failed(&self) -> bool {
        self.state.load(Ordering::Acquire) == OPENING
    }

    pub(super) fn set_window(&self, window: Duration) {
        *self.window.lock().expect("window lock poisoned") = Some(window);
    }

    fn window(&self) -> Option<Duration> {
        *self.window.lock().expect("window lock poisoned")
    }
}

/// Opens connections and notes in [`Opening`] whether that worked.
#[derive(Debug)]
pub(super) struct Connector {
    opening: Arc<Opening>,
}

impl Connector {
    pub(super) fn new(opening: Arc<Opening>) -> Connector {
        Connector { opening }
    }

    fn open(&self, details: &ConnectionDetails) -> io::Result<TcpStream> {
        let addr = details.addrs.first().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let stream = match details.timeout.not_zero() {
            Some(it) => TcpStream::connect_timeout(addr, *it)?,
            None => TcpStream::connect(addr)?,
        };
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
        socket.set_tcp_keepalive(&keepalive)?;
        if let Some(window) = self.opening.window() {
            socket.set_tcp_user_timeout(Some(window))?;
        }
        Ok(stream)
    }
}

impl UreqConnector for Connector {
    type Out = Socket;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<Socket>, Error> {
        self.opening.state.store(OPENING, Ordering::Release);
        let stream = Arc::new(Stream(self.open(details)?));
        let handle: Weak<dyn ShutdownHandle> = Arc::downgrade(&stream) as _;
        (details.register_shutdown)(handle)?;
        self.opening.state.store(IDLE_OR_OPEN, Ordering::Release);
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(Socket { stream, buffers, read_timeout: None, write_timeout: None }))
    }
}

#[derive(Debug)]
struct Stream(TcpStream);

impl ShutdownHandle for Stream {
    fn shutdown(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// A connection under `ureq`.
pub(super) struct Socket {
    stream: Arc<Stream>,
    buffers: LazyBuffers,
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

impl std::fmt::Debug for Socket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Socket").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl Transport for Socket {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let timeout = timeout.for_write();
        let bound = timeout.not_zero().map(|it| *it);
        if bound != self.write_timeout {
            self.stream.0.set_write_timeout(bound)?;
            self.write_timeout = bound;
        }
        let output = &self.buffers.output()[..amount];
        (&self.stream.0).write_all(output).map_err(|it| error(it, timeout))?;
        SENT.fetch_add(amount as u64, Ordering::Relaxed);
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = timeout.for_read();
        let bound = timeout.not_zero().map(|it| *it);
        if bound != self.read_timeout {
            self.stream.0.set_read_timeout(bound)?;
            self.read_timeout = bound;
        }
        let input = self.buffers.input_append_buf();
        let amount = read(&self.stream.0, input).map_err(|it| error(it, timeout))?;
        RECEIVED.fetch_add(amount as u64, Ordering::Relaxed);
        self.buffers.input_appended(amount);
        Ok(0 < amount)
    }

    fn is_open(&mut self) -> bool {
        is_quiet(&self.stream.0).unwrap_or(false)
    }
}

fn read(mut stream: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buf) {
            Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

fn error(err: io::Error, timeout: NextTimeout) -> Error {
    match err.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        _ => err.into(),
    }
}

/// Returns whether the connection is open and no unexpected bytes have arrived.
fn is_quiet(mut stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let result = stream.read(&mut [0]);
    stream.set_nonblocking(false)?;
    match result {
        Err(err) => Ok(err.kind() == io::ErrorKind::WouldBlock),
        Ok(_) => Ok(false),
    }
}
