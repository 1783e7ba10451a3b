//! HTTP port that streams its answers and bounds what a slow or greedy caller can hold.
//!
//! Each request is read whole, then handled on a blocking thread of its own.

mod reply;

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
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

pub use self::reply::{Answer, Gone, Head, Presence, Reply, Stream};
use crate::{
    gateway::{
        headers,
        watchdog::{Phase, Watchdog, WatchedBody, WatchedStream},
    },
    link::runtime,
    metric::Metrics,
    settings,
    verdict::{Reason, Verdict},
};

/// Name of the header that carries the verdict of an error.
pub const VERDICT_HEADER: &str = "x-verdict";
/// Time between keepalive probes on a caller's connection.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time to write the refusal of a connection.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Bounds of a port.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Connections open at once.
    pub connections: usize,
    /// Time for a request's header to arrive.
    pub header_time: Duration,
    /// Size of a request's header, in bytes.
    pub header_bytes: usize,
    /// Time for a request's body to arrive.
    pub body_time: Duration,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time that a connection may stay open without a request, or a reader may stall an answer.
    pub idle_time: Duration,
}

impl From<&settings::Callers> for Bounds {
    fn from(it: &settings::Callers) -> Bounds {
        Bounds {
            connections: it.connections,
            header_time: it.header_time,
            header_bytes: it.header_bytes,
            body_time: it.body_time,
            body_bytes: it.body_bytes,
            idle_time: it.idle_time,
        }
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds::from(&settings::Callers::default())
    }
}

/// A request whose body has arrived whole.
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
    pub peer: SocketAddr,
}

/// Handles the requests of a port.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request; called on a blocking thread of its own.
    fn handle(&self, request: Request, reply: Reply);
}

/// A listening port.
#[derive(Debug)]
pub struct Front {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
}

impl Front {
    /// Starts to serve a listener.
    ///
    /// # Errors
    /// Fails when the listener cannot be made asynchronous.
    pub fn start<H: Handler>(
        listener: TcpListener,
        bounds: Bounds,
        handler: Arc<H>,
        metrics: Metrics,
    ) -> io::Result<Front> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let runtime = runtime::handle();
        let listener = {
            let _entered = runtime.enter();
            AsyncListener::from_std(listener)?
        };
        let (stop, stopped) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let port = Port { bounds, handler, metrics, open: Arc::clone(&open), stopped };
        runtime.spawn(Arc::new(port).accept_all(listener));
        Ok(Front { address, open, stop })
    }

    /// Returns the address that the port listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the counter of open connections.
    pub fn counter(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Soon accepts no more connections, and closes each open one after its present request.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Port<H> {
    bounds: Bounds,
    handler: Arc<H>,
    metrics: Metrics,
    open: Arc<AtomicUsize>,
    stopped: watch::Receiver<bool>,
}

/// Counts a connection as open for as long as it lives.
struct Opened(Arc<AtomicUsize>);

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<H: Handler> Port<H> {
    async fn accept_all(self: Arc<Self>, listener: AsyncListener) {
        let mut stopped = self.stopped.clone();
        loop {
            let accepted = tokio::select! {
                it = listener.accept() => it,
                _ = stopped.wait_for(|it| *it) => return,
            };
            match accepted {
                Ok((stream, peer)) => self.accept(stream, peer),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let open = self.open.fetch_add(1, Ordering::AcqRel);
        let opened = Opened(Arc::clone(&self.open));
        if 2 * self.bounds.connections <= open {
            self.metrics.refused(Reason::TooManyConnections);
            return;
        }
        prepare(&stream);
        let port = Arc::clone(self);
        if self.bounds.connections <= open {
            self.metrics.refused(Reason::TooManyConnections);
            tokio::spawn(async move {
                refuse(stream, Reason::TooManyConnections).await;
                drop(opened);
            });
            return;
        }
        tokio::spawn(async move {
            port.serve(stream, peer).await;
            drop(opened);
        });
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let first = Phase::Header(Instant::now());
        let guard = Arc::new(Watchdog::new(first, self.bounds.header_time, self.bounds.idle_time));
        let io = TokioIo::new(WatchedStream::new(stream, Arc::clone(&guard)));
        let service = {
            let port = Arc::clone(&self);
            let guard = Arc::clone(&guard);
            service_fn(move |it| {
                let port = Arc::clone(&port);
                let guard = Arc::clone(&guard);
                async move {
                    guard.enter(Phase::Busy);
                    let answer = port.answer(it, peer, &guard).await;
                    Ok::<_, Infallible>(answer.map(|it| WatchedBody::new(it, guard)))
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
                reason = guard.expired() => break reason,
                _ = stopped.wait_for(|it| *it), if !stopping => {
                    stopping = true;
                    Pin::new(&mut conn).graceful_shutdown();
                }
            }
        };
        self.metrics.refused(reason);
        if reason == Reason::HeaderTimeout {
            refuse(conn.into_parts().io.into_inner().into_stream(), reason).await;
        }
    }

    async fn answer(
        &self,
        request: hyper::Request<Incoming>,
        peer: SocketAddr,
        guard: &Arc<Watchdog>,
    ) -> hyper::Response<reply::Body> {
        let (head, body) = request.into_parts();
        let body = match self.read_body(&head, body).await {
            Ok(it) => it,
            Err(reason) => {
                self.metrics.refused(reason);
                return reply::whole(refusal(reason));
            }
        };
        let request = Request {
            method: head.method,
            path: SmolStr::new(head.uri.path()),
            query: head.uri.query().map(SmolStr::new),
            headers: head.headers,
            body,
            peer,
        };
        let (reply, answer) = Reply::new(guard, self.bounds.idle_time);
        let handler = Arc::clone(&self.handler);
        tokio::task::spawn_blocking(move || handler.handle(request, reply));
        match answer.await {
            Ok(it) => it.into_response(),
            Err(_) => {
                self.metrics.refused(Reason::Internal);
                reply::whole(refusal(Reason::Internal))
            }
        }
    }

    async fn read_body(&self, head: &request::Parts, body: Incoming) -> Result<Bytes, Reason> {
        if self.bounds.header_bytes < headers::head_bytes(head) {
            return Err(Reason::HeaderTooLarge);
        }
        if (self.bounds.body_bytes as u64) < body.size_hint().lower() {
            return Err(Reason::BodyTooLarge);
        }
        let limited = Limited::new(body, self.bounds.body_bytes);
        match timeout(self.bounds.body_time, limited.collect()).await {
            Err(_) => Err(Reason::BodyTimeout),
            Ok(Ok(it)) => Ok(it.to_bytes()),
            Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
                Err(Reason::BodyTooLarge)
            }
            Ok(Err(_)) => Err(Reason::BadRequest),
        }
    }
}

/// Sets the options of a caller's connection; one without them still works.
fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

/// Returns the answer for a request that never reached the handler.
fn refusal(reason: Reason) -> Answer {
    let body = refusal_body(reason);
    let verdict = reason.verdict();
    Answer::new(reason.status(), body)
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

/// Writes a refusal to a connection from which no request was read.
async fn refuse(mut stream: TcpStream, reason: Reason) {
    let body = refusal_body(reason);
    let verdict: Verdict = reason.verdict();
    let text = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         {VERDICT_HEADER}: {verdict}\r\nconnection: close\r\n\r\n{body}",
        reason.status(),
        body.len(),
    );
    let _ = timeout(REFUSAL_TIME, async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    })
    .await;
}
