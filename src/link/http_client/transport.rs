//! TCP transport for `ureq` that records whether a connection could be opened.

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

/// Bytes sent on all connections of this process.
static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
/// Bytes received on all connections of this process.
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Bytes transferred by the HTTP client of this process since its start, without packet headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes written to sockets.
    pub sent: u64,
    /// Bytes read from sockets.
    pub received: u64,
}

/// Returns the traffic so far.
pub fn traffic() -> Traffic {
    Traffic {
        sent: SENT_BYTES.load(Ordering::Relaxed),
        received: RECEIVED_BYTES.load(Ordering::Relaxed),
    }
}

/// Time between keepalive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Whether the current exchange has opened its connection.
#[derive(Debug, Default)]
pub(super) struct ConnectState {
    state: AtomicU8,
    /// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    unacked_timeout: Mutex<Option<Duration>>,
}

/// No connection had to be opened, or the connection was opened.
const NOT_CONNECTING: u8 = 0;
/// A connection is being opened, or opening it has failed.
const CONNECTING: u8 = 1;

impl ConnectState {
    /// Starts a new exchange.
    pub(super) fn begin(&self) {
        self.state.store(NOT_CONNECTING, Ordering::Release);
    }

    /// Returns whether opening the connection failed; valid only once the exchange has ended.
    pub(super) fn has_failed(&self) -> bool {
        self.state.load(Ordering::Acquire) == CONNECTING
    }

    pub(super) fn set_unacked_timeout(&self, unacked_timeout: Duration) {
        *self.unacked_timeout.lock().expect("timeout lock poisoned") = Some(unacked_timeout);
    }

    fn unacked_timeout(&self) -> Option<Duration> {
        *self.unacked_timeout.lock().expect("timeout lock poisoned")
    }
}

/// Opens connections and records the result in [`ConnectState`].
#[derive(Debug)]
pub(super) struct Connector {
    connect_state: Arc<ConnectState>,
}

impl Connector {
    pub(super) fn new(connect_state: Arc<ConnectState>) -> Connector {
        Connector { connect_state }
    }

    fn open(&self, details: &ConnectionDetails) -> io::Result<TcpStream> {
        let addr = details.addrs.first().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let stream = match details.timeout.not_zero() {
            Some(it) => TcpStream::connect_timeout(addr, *it)?,
            None => TcpStream::connect(addr)?,
        };
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive)?;
        if let Some(unacked_timeout) = self.connect_state.unacked_timeout() {
            socket.set_tcp_user_timeout(Some(unacked_timeout))?;
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
        self.connect_state.state.store(CONNECTING, Ordering::Release);
        let stream = Arc::new(Stream(self.open(details)?));
        let handle: Weak<dyn ShutdownHandle> = Arc::downgrade(&stream) as _;
        (details.register_shutdown)(handle)?;
        self.connect_state.state.store(NOT_CONNECTING, Ordering::Release);
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

/// A TCP connection as a `ureq` transport.
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
        let duration = timeout.not_zero().map(|it| *it);
        if duration != self.write_timeout {
            self.stream.0.set_write_timeout(duration)?;
            self.write_timeout = duration;
        }
        let output = &self.buffers.output()[..amount];
        (&self.stream.0).write_all(output).map_err(|it| to_ureq_error(it, timeout))?;
        SENT_BYTES.fetch_add(amount as u64, Ordering::Relaxed);
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = timeout.for_read();
        let duration = timeout.not_zero().map(|it| *it);
        if duration != self.read_timeout {
            self.stream.0.set_read_timeout(duration)?;
            self.read_timeout = duration;
        }
        let input = self.buffers.input_append_buf();
        let amount = read(&self.stream.0, input).map_err(|it| to_ureq_error(it, timeout))?;
        RECEIVED_BYTES.fetch_add(amount as u64, Ordering::Relaxed);
        self.buffers.input_appended(amount);
        Ok(0 < amount)
    }

    fn is_open(&mut self) -> bool {
        is_open_and_empty(&self.stream.0).unwrap_or(false)
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

fn to_ureq_error(err: io::Error, timeout: NextTimeout) -> Error {
    match err.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        _ => err.into(),
    }
}

/// Returns whether the connection is open and has no unread bytes, which would be unexpected while
/// it is idle.
fn is_open_and_empty(mut stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let result = stream.read(&mut [0]);
    stream.set_nonblocking(false)?;
    match result {
        Err(err) => Ok(err.kind() == io::ErrorKind::WouldBlock),
        Ok(_) => Ok(false),
    }
}
