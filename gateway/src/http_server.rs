//! HTTP ports: accepts connections and serves each on the same thread.

use std::{
    convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    response::Body,
    upstream,
    watchdog::{self, Watchdog, WatchedBody, WatchedStream},
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, such as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a caller that acknowledges nothing is given up; it bears lost packets.
const CALLER_SILENCE: Duration = Duration::from_secs(5);
/// Bytes that hyper's buffer holds at least.
const MIN_BUFFER: usize = 8 * 1024;

/// Limits on the connections of a port.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Time that a connection may be without a whole head.
    pub idle_timeout: Duration,
}

/// How far a port is on its way to being closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes connections and requests.
    Open,
    /// Takes no connections; open ones end with their request.
    Closing,
}

/// Binds a port.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves a port until `phase` turns to closing.
pub async fn serve<H, F>(
    listener: TcpListener,
    bounds: impl Fn() -> Limits,
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
            _ = phase.wait_for(|it| *it == Phase::Closing) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!(code = 8028, %err, "cannot accept a connection; check the limit on descriptors");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let handle = Rc::clone(&handle);
        tokio::task::spawn_local(connection(stream, bounds(), phase.clone(), handle));
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    bounds: Limits,
    mut phase: watch::Receiver<Phase>,
    handle: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    if let Err(err) = upstream::set_silence_timeout(&stream, CALLER_SILENCE) {
        tracing::debug!(%err, "a caller's connection ended at once");
        return;
    }
    let idle = watchdog::Phase::Idle(Instant::now());
    let watchdog = Arc::new(Watchdog::new(idle, bounds.header_timeout, bounds.idle_timeout));
    let stream = WatchedStream::new(stream, Arc::clone(&watchdog));
    let of_requests = Arc::clone(&watchdog);
    let service = service_fn(move |request| {
        of_requests.enter(watchdog::Phase::Busy);
        let (answer, watchdog) = (handle(request), Arc::clone(&of_requests));
        async move { Ok::<_, Infallible>(answer.await.map(|it| WatchedBody::new(it, watchdog))) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(bounds.max_header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        reason = watchdog.expired() => {
            tracing::debug!(reason = reason.code(), "a caller's connection is closed");
            return;
        }
        _ = phase.wait_for(|it| *it == Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        tracing::debug!(%err, "a caller's connection broke off");
    }
}
