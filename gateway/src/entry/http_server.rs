//! HTTP/1 servers that accept connections and serve them on the same thread.

use std::{
    convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use fuchsiaknot_core::verdict::Reason;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::yield_now,
    time::{Instant, sleep},
};

use crate::{
    entry::response::Body,
    upstream::connection,
    watchdog::{self, Watchdog, WatchedBody, WatchedStream},
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time without acknowledgements after which a caller's connection fails. The kernel also counts the
/// time for which the caller's window is closed, so that the caller's time to read must end first.
const CALLER_SILENCE_TIMEOUT: Duration =
    watchdog::READ_TIMEOUT.saturating_add(Duration::from_secs(1));
/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Limits on each connection of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub header_timeout: Duration,
    /// Maximum time for which a connection waits for the first byte of a request.
    pub idle_timeout: Duration,
}

/// Whether a server accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts connections and requests.
    Open,
    /// Accepts no connections; each open one closes after its current request.
    Closing,
}

/// Binds a listener.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves the connections of a listener until `phase` is [`Phase::Closing`], those that wait to be
/// accepted then included.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits + Clone + 'static,
    mut phase: watch::Receiver<Phase>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|it| *it == Phase::Closing) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!(code = 8028, %err, "cannot accept a connection; check the limit on open file descriptors");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handle = Rc::clone(&handle);
        tokio::task::spawn_local(serve_connection(stream, limits.clone(), phase.clone(), handle));
    }
    // Closing the listener resets the connections in its queue.
    for (stream, _) in accept_queued(listener) {
        let handle = Rc::clone(&handle);
        tokio::task::spawn_local(serve_connection(stream, limits.clone(), phase.clone(), handle));
    }
}

/// Closes a listener and returns the connections that waited to be accepted, with the addresses of
/// their peers.
pub fn accept_queued(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut streams = Vec::new();
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(err) => {
            tracing::warn!(code = 8057, %err, "cannot accept the connections that wait while the port closes; their callers have to retry");
            return streams;
        }
    };
    loop {
        let accepted = listener.accept().and_then(|(stream, peer)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, peer))
        });
        match accepted {
            Ok(accepted) => streams.push(accepted),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return streams,
            Err(err) if err.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(err) => {
                tracing::warn!(code = 8057, %err, "cannot accept the connections that wait while the port closes; their callers have to retry");
                return streams;
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: impl Fn() -> Limits,
    mut phase: watch::Receiver<Phase>,
    handle: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    if let Err(err) = connection::set_silence_timeout(&stream, CALLER_SILENCE_TIMEOUT) {
        tracing::debug!(%err, "cannot configure a caller's connection");
        return;
    }
    let watchdog = Arc::new(Watchdog::new(watchdog::Phase::New(Instant::now())));
    let stream = WatchedStream::new(stream, Arc::clone(&watchdog));
    let request_watchdog = Arc::clone(&watchdog);
    let service = service_fn(move |request| {
        request_watchdog.enter(watchdog::Phase::Busy);
        let (response, watchdog) = (handle(request), Arc::clone(&request_watchdog));
        async move {
            let response = response.await;
            response.body().attach(&watchdog);
            Ok::<_, Infallible>(response.map(|it| WatchedBody::new(it, watchdog)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits().max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(connection::MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        // Polled first, so that a request that has arrived is read before a timeout is considered.
        biased;
        result = connection.as_mut() => result,
        reason = watchdog.expired(&limits) => return log_closed(&watchdog, reason),
        _ = phase.wait_for(|it| *it == Phase::Closing) => {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = watchdog.last_request_begun() => {}
            }
            // Bytes that have arrived count as begun only once the runtime has seen them.
            yield_now().await;
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = watchdog.last_request_begun() => {}
            }
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                result = connection => result,
                reason = watchdog.reader_stalled() => return log_closed(&watchdog, reason),
            }
        }
    };
    if let Err(err) = result {
        tracing::debug!(%err, "caller's connection failed");
    }
}

fn log_closed(watchdog: &Watchdog, reason: Reason) {
    if reason == Reason::SlowReader {
        tracing::info!(
            code = 8180,
            evicted = watchdog.is_evicted(),
            "caller's connection closed, since the caller does not read its response"
        );
        return;
    }
    tracing::info!(
        code = 8053,
        reason = reason.code(),
        open_request = watchdog.has_open_request(),
        "caller's connection closed after a timeout"
    );
}
