//! HTTP client of one target.

use std::{
    cell::Cell,
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use ureq::http;

use super::{
    Answer, CacheEvents, Call, Control, Engine, Failure, Generation, KvExport, Order, Receipt,
    Report, Service, stream::Stream, wire,
};
use crate::{
    link::{
        http_client::{Error, Pool, Response, Timeouts},
        http_server::VERDICT_HEADER,
    },
    settings,
    verdict::Verdict,
};

/// Statuses with which an engine refuses a request before it starts.
const REFUSED: [u16; 3] = [409, 429, 503];

/// Header fields that belong to one connection and are not passed on.
const HOP_BY_HOP: [&str; 7] =
    ["connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade"];

/// Client of one target; clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
    connect_time: Duration,
    silence: Duration,
    send_window: Duration,
}

impl Client {
    /// Creates a client; connections are opened when they are needed.
    pub fn new(address: SocketAddr, settings: &settings::Targets) -> Client {
        Client {
            pool: Pool::new(address),
            connect_time: settings.connect_time,
            silence: settings.silence,
            send_window: settings.send_window,
        }
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Returns whether the target's machine refuses connections, so that no process listens there.
    ///
    /// A machine that does not answer at all may only be cut off, and refuses nothing.
    pub fn refuses_connections(&self) -> bool {
        let connected = TcpStream::connect_timeout(&self.address(), self.connect_time);
        connected.is_err_and(|it| it.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns the bounds of a call in which the target shows progress.
    fn progress_bounds(&self) -> Timeouts {
        Timeouts { connect: self.connect_time, inactivity: Some(self.silence), total: None }
    }

    fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        http::Request::builder().method(method).uri(format!("http://{}{path}", self.pool.address()))
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Result<Response, Failure> {
        let body = serde_json::to_vec(body).map_err(unsendable)?;
        let request = self
            .request(http::Method::POST, path)
            .header("content-type", "application/json")
            .body(body)
            .map_err(unsendable)?;
        accept(self.pool.send(request, &self.progress_bounds())?)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let request = self.request(http::Method::GET, path).body(Vec::new()).map_err(unsendable)?;
        parse(accept(self.pool.send(request, &self.progress_bounds())?)?)
    }
}

impl From<Error> for Failure {
    fn from(err: Error) -> Failure {
        match err {
            Error::Connect(it) => Failure::Connect(it),
            Error::Broken(it) => Failure::Broken(it),
            Error::Timeout => Failure::Silent,
            Error::Cancelled => Failure::Cancelled,
        }
    }
}

/// Returns the failure of a request that could not be put into words, so nothing was sent.
fn unsendable(err: impl std::fmt::Display) -> Failure {
    Failure::Refused(err.to_string())
}

fn accept(mut incoming: Response) -> Result<Response, Failure> {
    let status = incoming.status();
    if status == 200 {
        return Ok(incoming);
    }
    let body = incoming.read_whole()?;
    let text = format!("status {status}: {}", String::from_utf8_lossy(&body));
    if REFUSED.contains(&status) {
        return Err(Failure::Refused(text));
    }
    Err(Failure::Broken(text))
}

fn parse<T: DeserializeOwned>(mut incoming: Response) -> Result<T, Failure> {
    let body = incoming.read_whole()?;
    serde_json::from_slice(&body).map_err(|it| Failure::Broken(format!("malformed answer: {it}")))
}

impl Engine for Client {
    type Stream = Stream;

    fn generate(&self, generation: &Generation) -> Result<Stream, Failure> {
        let incoming = self.post("/v1/completions", generation)?;
        Ok(Stream::new(incoming))
    }

    fn prefill(&self, generation: &Generation) -> Result<KvExport, Failure> {
        parse(self.post("/prefill", generation)?)
    }

    fn cancel(&self, request_id: &str) -> Result<(), Failure> {
        self.post("/cancel", &wire::Cancel { request_id: SmolStr::new(request_id) })?
            .read_whole()?;
        Ok(())
    }

    fn cache_events(&self, since: u64) -> Result<CacheEvents, Failure> {
        self.get(&format!("/cache-events?since={since}"))
    }
}

impl Control for Client {
    fn report(&self) -> Result<Report, Failure> {
        self.get("/report")
    }

    fn send_order(
        &self,
        order: &Order,
        confirm: impl FnOnce() -> bool,
    ) -> Result<Receipt, Failure> {
        let body = serde_json::to_vec(order).map_err(unsendable)?;
        let request = self
            .request(http::Method::POST, "/order")
            .header("content-type", "application/json")
            .header("content-length", body.len())
            .header("connection", "close")
            .body(())
            .map_err(unsendable)?;
        let released = Cell::new(false);
        let confirmed = Confirmed { rest: &body, confirm: Some(confirm), released: &released };
        let bounds = self.progress_bounds();
        match self.pool.send_streaming(request, confirmed, self.send_window, &bounds) {
            Ok(it) => parse(accept(it)?),
            Err(err) if released.get() => Err(err.into()),
            Err(err) => Err(Failure::Connect(format!("the order was not sent whole: {err}"))),
        }
    }
}

/// Body of an order that gives out its last byte only once `confirm` has agreed.
struct Confirmed<'a, F> {
    rest: &'a [u8],
    confirm: Option<F>,
    released: &'a Cell<bool>,
}

impl<F: FnOnce() -> bool> Read for Confirmed<'_, F> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.rest.len() == 1
            && let Some(confirm) = self.confirm.take()
        {
            if !confirm() {
                return Err(io::Error::other("the order was withdrawn"));
            }
            self.released.set(true);
        }
        let held_back = usize::from(self.confirm.is_some());
        let n = buf.len().min(self.rest.len() - held_back.min(self.rest.len()));
        buf[..n].copy_from_slice(&self.rest[..n]);
        self.rest = &self.rest[n..];
        Ok(n)
    }
}

impl Service for Client {
    fn call(&self, call: &Call) -> Result<Answer, Failure> {
        let method: http::Method = call.method.parse().map_err(unsendable)?;
        let is_safe = method.is_safe();
        let mut builder = self.request(method, &call.path);
        for (name, value) in call.headers.iter().filter(|(name, _)| is_end_to_end(name)) {
            builder = builder.header(name.as_str(), value.as_str());
        }
        let request = builder.body(call.body.clone()).map_err(unsendable)?;
        let bounds =
            Timeouts { connect: self.connect_time, inactivity: None, total: Some(call.timeout) };
        let incoming = if is_safe {
            self.pool.send(request, &bounds)
        } else {
            self.pool.send_on_new_connection(request, &bounds)
        };
        answer(incoming?)
    }
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.iter().any(|it| it.eq_ignore_ascii_case(name))
}

fn answer(mut incoming: Response) -> Result<Answer, Failure> {
    let body = incoming.read_whole()?;
    let status = incoming.status();
    let not_run = incoming
        .head
        .headers
        .get(VERDICT_HEADER)
        .is_some_and(|it| it.as_bytes() == Verdict::NotRun.as_str().as_bytes());
    if not_run && REFUSED.contains(&status) {
        return Err(Failure::Refused(format!("status {status}")));
    }
    let headers = incoming
        .head
        .headers
        .iter()
        .filter_map(|(name, value)| {
            Some((SmolStr::new(name.as_str()), SmolStr::new(value.to_str().ok()?)))
        })
        .collect();
    Ok(Answer { status, headers, body })
}
