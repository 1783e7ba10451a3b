//! HTTP server that can stream responses and limits the resources that a caller can hold.
//!
//! Each request is read whole, and then handled on a blocking thread.

mod response;

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method,
    body::{Body, Incoming},
    http::request,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use smol_str::SmolStr;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener as AsyncListener, TcpStream},
    sync::watch,
    time::{Instant, timeout},
};

pub use self::response::{BodySender, CallerPresence, Disconnected, Head, Responder, Response};
use crate::{
    gateway::{
        entry::{headers, http_server},
        watchdog::{Phase, Watchdog, WatchedBody, WatchedStream},
    },
    link::runtime,
    metric::Metrics,
    settings,
    verdict::{Reason, Verdict},
};

/// Response header with the verdict of an error.
pub const VERDICT_HEADER: &str = "x-verdict";
/// Time between keepalive probes on a caller's connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Delay before accepting again after an accept has failed, as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to write the response to a connection that is refused.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on the connections and requests of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections open at once. As many again are answered with a refusal; further ones are
    /// closed.
    pub max_connections: usize,
    /// Time for the request head to arrive.
    pub header_timeout: Duration,
    /// Maximum size of the request's URI and header fields together, in bytes.
    pub max_header_bytes: usize,
    /// Time for the request body to arrive.
    pub body_timeout: Duration,
    /// Maximum size of the request body, in bytes.
    pub max_body_bytes: usize,
    /// Time that a connection may stay open without a request, or that a caller may stop reading a
    /// response.
    pub idle_timeout: Duration,
}

impl From<&settings::Callers> for Limits {
    fn from(it: &settings::Callers) -> Limits {
        Limits {
            max_connections: it.connections,
            header_timeout: it.header_time,
            max_header_bytes: it.header_bytes,
            body_timeout: it.body_time,
            max_body_bytes: it.body_bytes,
            idle_timeout: it.idle_time,
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::from(&settings::Callers::default())
    }
}

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: SmolStr,
    /// Query without the question mark.
    pub query: Option<SmolStr>,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Address of the caller.
    pub caller_address: SocketAddr,
}

/// Handles the requests to a server.
pub trait Handler: Send + Sync + 'static {
    /// Responds to a request; called on a blocking thread.
    fn handle(&self, request: Request, responder: Responder);
}

/// An HTTP server that accepts connections until it is stopped or dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Starts to serve a listener.
    ///
    /// # Errors
    /// Fails when the listener cannot be registered with the runtime.
    pub fn start<H: Handler>(
        listener: TcpListener,
        limits: Limits,
        handler: Arc<H>,
        metrics: Metrics,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let runtime = runtime::handle();
        let listener = {
            let _entered = runtime.enter();
            AsyncListener::from_std(listener)?
        };
        let (stop, stopped) = watch::channel(false);
        let open_connections = Arc::new(AtomicUsize::new(0));
        let shared = Shared {
            limits,
            handler,
            metrics,
            open_connections: Arc::clone(&open_connections),
            stopped,
        };
        runtime.spawn(Arc::new(shared).accept_all(listener));
        Ok(Server { address, open_connections, stop })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }

    /// Returns the counter of open connections.
    pub fn connection_counter(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open_connections)
    }

    /// Stops accepting connections and closes each open connection after its current request.
    ///
    /// Returns at once; a connection may still be accepted shortly afterwards.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// State that the tasks of a server share.
struct Shared<H> {
    limits: Limits,
    handler: Arc<H>,
    metrics: Metrics,
    open_connections: Arc<AtomicUsize>,
    stopped: watch::Receiver<bool>,
}

/// Guard that counts a connection as open until it is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<H: Handler> Shared<H> {
    async fn accept_all(self: Arc<Self>, listener: AsyncListener) {
        let mut stopped = self.stopped.clone();
        loop {
            let accepted = tokio::select! {
                it = listener.accept() => it,
                _ = stopped.wait_for(|it| *it) => break,
            };
            match accepted {
                Ok((stream, caller_address)) => self.accept(stream, caller_address),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        // Closing the listener resets the connections in its queue.
        for (stream, caller_address) in http_server::accept_queued(listener) {
            self.accept(stream, caller_address);
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, caller_address: SocketAddr) {
        let open = self.open_connections.fetch_add(1, Ordering::AcqRel);
        let connection_guard = ConnectionGuard(Arc::clone(&self.open_connections));
        if 2 * self.limits.max_connections <= open {
            self.metrics.count_refusal(Reason::TooManyConnections);
            return;
        }
        set_socket_options(&stream);
        let shared = Arc::clone(self);
        if self.limits.max_connections <= open {
            self.metrics.count_refusal(Reason::TooManyConnections);
            tokio::spawn(async move {
                write_refusal(stream, Reason::TooManyConnections).await;
                drop(connection_guard);
            });
            return;
        }
        tokio::spawn(async move {
            shared.serve(stream, caller_address).await;
            drop(connection_guard);
        });
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, caller_address: SocketAddr) {
        let phase = Phase::Header(Instant::now());
        let watchdog = Arc::new(Watchdog::new(phase));
        let limits = || http_server::Limits {
            max_header_bytes: self.limits.max_header_bytes,
            header_timeout: self.limits.header_timeout,
            idle_timeout: self.limits.idle_timeout,
        };
        let io = TokioIo::new(WatchedStream::new(stream, Arc::clone(&watchdog)));
        let service = {
            let shared = Arc::clone(&self);
            let watchdog = Arc::clone(&watchdog);
            service_fn(move |it| {
                let shared = Arc::clone(&shared);
                let watchdog = Arc::clone(&watchdog);
                async move {
                    watchdog.enter(Phase::Busy);
                    let response = shared.respond(it, caller_address, &watchdog).await;
                    Ok::<_, Infallible>(response.map(|it| WatchedBody::new(it, watchdog)))
                }
            })
        };
        let mut conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .serve_connection(io, service);
        let mut stopped = self.stopped.clone();
        let mut stopping = false;
        let reason = loop {
            tokio::select! {
                _ = &mut conn => return,
                reason = watchdog.expired(limits) => break reason,
                _ = stopped.wait_for(|it| *it), if !stopping => stopping = true,
            }
            if stopping {
                tokio::select! {
                    biased;
                    _ = &mut conn => return,
                    () = watchdog.last_request_begun() => {}
                }
                Pin::new(&mut conn).graceful_shutdown();
            }
        };
        self.metrics.count_refusal(reason);
        if reason == Reason::HeaderTimeout {
            write_refusal(conn.into_parts().io.into_inner().into_stream(), reason).await;
        }
    }

    async fn respond(
        &self,
        request: hyper::Request<Incoming>,
        caller_address: SocketAddr,
        watchdog: &Arc<Watchdog>,
    ) -> hyper::Response<response::Body> {
        let (head, body) = request.into_parts();
        let body = match self.read_body(&head, body).await {
            Ok(it) => it,
            Err(reason) => {
                self.metrics.count_refusal(reason);
                return response::whole(refusal(reason));
            }
        };
        let request = Request {
            method: head.method,
            path: SmolStr::new(head.uri.path()),
            query: head.uri.query().map(SmolStr::new),
            headers: head.headers,
            body,
            caller_address,
        };
        let (responder, response) = Responder::new(watchdog, self.limits.idle_timeout);
        let handler = Arc::clone(&self.handler);
        tokio::task::spawn_blocking(move || handler.handle(request, responder));
        match response.await {
            Ok(it) => it.into_response(),
            Err(_) => {
                self.metrics.count_refusal(Reason::Internal);
                response::whole(refusal(Reason::Internal))
            }
        }
    }

    async fn read_body(&self, head: &request::Parts, body: Incoming) -> Result<Bytes, Reason> {
        if self.limits.max_header_bytes < headers::head_bytes(head) {
            return Err(Reason::HeaderTooLarge);
        }
        if (self.limits.max_body_bytes as u64) < body.size_hint().lower() {
            return Err(Reason::BodyTooLarge);
        }
        let limited = Limited::new(body, self.limits.max_body_bytes);
        match timeout(self.limits.body_timeout, limited.collect()).await {
            Err(_) => Err(Reason::BodyTimeout),
            Ok(Ok(it)) => Ok(it.to_bytes()),
            Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
                Err(Reason::BodyTooLarge)
            }
            Ok(Err(_)) => Err(Reason::BadRequest),
        }
    }
}

/// Sets the socket options of a connection; failures are ignored, since the connection
/// also works without them.
fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

/// Returns the response to a request that never reached the handler, or whose handler sent none.
fn refusal(reason: Reason) -> Response {
    let body = refusal_body(reason);
    let verdict = reason.verdict();
    Response::new(reason.status(), body)
        .with_header("content-type", "application/json")
        .with_header(VERDICT_HEADER, verdict.as_str())
        .with_header("connection", "close")
}

fn refusal_body(reason: Reason) -> String {
    let error = serde_json::json!({
        "error": { "code": reason.code(), "message": reason.code(), "verdict": reason.verdict() }
    });
    error.to_string()
}

/// Writes an error response to a connection from which no request was read.
async fn write_refusal(mut stream: TcpStream, reason: Reason) {
    let body = refusal_body(reason);
    let verdict: Verdict = reason.verdict();
    let text = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         {VERDICT_HEADER}: {verdict}\r\nconnection: close\r\n\r\n{body}",
        reason.status(),
        body.len(),
    );
    let _ = timeout(REFUSAL_WRITE_TIMEOUT, async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    })
    .await;
}
