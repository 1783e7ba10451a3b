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

/// HTTP status codes with which a target refuses a request before running it.
const REFUSAL_STATUSES: [u16; 3] = [409, 429, 503];

/// Header fields that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 7] =
    ["connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade"];

/// HTTP client of one target; clones share the connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
    connect_timeout: Duration,
    inactivity_timeout: Duration,
    send_window: Duration,
}

impl Client {
    /// Creates a client; connections are opened on first use.
    pub fn new(address: SocketAddr, settings: &settings::Targets) -> Client {
        Client {
            pool: Pool::new(address),
            connect_timeout: settings.connect_time,
            inactivity_timeout: settings.silence,
            send_window: settings.send_window,
        }
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Returns whether the target's machine refuses connections, which shows that no process
    /// listens on the port.
    ///
    /// Returns false for a machine that doesn't answer at all, since it may be partitioned and
    /// still run the target.
    pub fn refuses_connections(&self) -> bool {
        let connected = TcpStream::connect_timeout(&self.address(), self.connect_timeout);
        connected.is_err_and(|it| it.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns the timeouts of calls that may last as long as the target keeps sending data.
    fn inactivity_timeouts(&self) -> Timeouts {
        Timeouts {
            connect: self.connect_timeout,
            inactivity: Some(self.inactivity_timeout),
            total: None,
        }
    }

    fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        http::Request::builder().method(method).uri(format!("http://{}{path}", self.pool.address()))
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Result<Response, Failure> {
        let body = serde_json::to_vec(body).map_err(invalid_request)?;
        let request = self
            .request(http::Method::POST, path)
            .header("content-type", "application/json")
            .body(body)
            .map_err(invalid_request)?;
        check_status(self.pool.send(request, &self.inactivity_timeouts())?)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let request =
            self.request(http::Method::GET, path).body(Vec::new()).map_err(invalid_request)?;
        parse(check_status(self.pool.send(request, &self.inactivity_timeouts())?)?)
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

/// Returns the failure of a request that could not be built, so that nothing was sent.
fn invalid_request(err: impl std::fmt::Display) -> Failure {
    Failure::Refused(err.to_string())
}

/// Returns the response if its status is 200, or the failure that its status stands for.
fn check_status(mut response: Response) -> Result<Response, Failure> {
    let status = response.status();
    if status == 200 {
        return Ok(response);
    }
    let body = response.read_whole()?;
    let text = format!("status {status}: {}", String::from_utf8_lossy(&body));
    if REFUSAL_STATUSES.contains(&status) {
        return Err(Failure::Refused(text));
    }
    Err(Failure::Broken(text))
}

fn parse<T: DeserializeOwned>(mut response: Response) -> Result<T, Failure> {
    let body = response.read_whole()?;
    serde_json::from_slice(&body).map_err(|it| Failure::Broken(format!("malformed answer: {it}")))
}

impl Engine for Client {
    type Stream = Stream;

    fn generate(&self, generation: &Generation) -> Result<Stream, Failure> {
        let response = self.post("/v1/completions", generation)?;
        Ok(Stream::new(response))
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
        let body = serde_json::to_vec(order).map_err(invalid_request)?;
        let request = self
            .request(http::Method::POST, "/order")
            .header("content-type", "application/json")
            .header("content-length", body.len())
            .header("connection", "close")
            .body(())
            .map_err(invalid_request)?;
        let confirmed = Cell::new(false);
        let confirmed_body =
            ConfirmedBody { rest: &body, confirm: Some(confirm), confirmed: &confirmed };
        let timeouts = self.inactivity_timeouts();
        match self.pool.send_streaming(request, confirmed_body, self.send_window, &timeouts) {
            Ok(it) => parse(check_status(it)?),
            Err(err) if confirmed.get() => Err(err.into()),
            Err(err) => Err(Failure::Connect(format!("the order was not sent completely: {err}"))),
        }
    }
}

/// Request body whose last byte is withheld until `confirm` returns true.
struct ConfirmedBody<'a, F> {
    rest: &'a [u8],
    confirm: Option<F>,
    confirmed: &'a Cell<bool>,
}

impl<F: FnOnce() -> bool> Read for ConfirmedBody<'_, F> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.rest.len() == 1
            && let Some(confirm) = self.confirm.take()
        {
            if !confirm() {
                return Err(io::Error::other("the order was withdrawn before its last byte"));
            }
            self.confirmed.set(true);
        }
        let withheld = usize::from(self.confirm.is_some());
        let n = buf.len().min(self.rest.len() - withheld.min(self.rest.len()));
        buf[..n].copy_from_slice(&self.rest[..n]);
        self.rest = &self.rest[n..];
        Ok(n)
    }
}

impl Service for Client {
    fn call(&self, call: &Call) -> Result<Answer, Failure> {
        let method: http::Method = call.method.parse().map_err(invalid_request)?;
        let is_safe = method.is_safe();
        let mut builder = self.request(method, &call.path);
        for (name, value) in call.headers.iter().filter(|(name, _)| is_end_to_end(name)) {
            builder = builder.header(name.as_str(), value.as_str());
        }
        let request = builder.body(call.body.clone()).map_err(invalid_request)?;
        let timeouts =
            Timeouts { connect: self.connect_timeout, inactivity: None, total: Some(call.timeout) };
        let response = if is_safe {
            self.pool.send(request, &timeouts)
        } else {
            self.pool.send_on_new_connection(request, &timeouts)
        };
        read_answer(response?)
    }
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.iter().any(|it| it.eq_ignore_ascii_case(name))
}

fn read_answer(mut response: Response) -> Result<Answer, Failure> {
    let body = response.read_whole()?;
    let status = response.status();
    let not_run = response
        .head
        .headers
        .get(VERDICT_HEADER)
        .is_some_and(|it| it.as_bytes() == Verdict::NotRun.as_str().as_bytes());
    if not_run && REFUSAL_STATUSES.contains(&status) {
        return Err(Failure::Refused(format!("status {status}")));
    }
    let headers = response
        .head
        .headers
        .iter()
        .filter_map(|(name, value)| {
            Some((SmolStr::new(name.as_str()), SmolStr::new(value.to_str().ok()?)))
        })
        .collect();
    Ok(Answer { status, headers, body })
}
