//! HTTP client of the platform's services.

use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use ureq::http;

use super::{
    CallError, Commit, HostList, Machine, ObjectStore, Row, Table, WeightStore, Write, wire,
};
use crate::{
    link::http_client::{Error, Pool, Response, Timeouts},
    settings,
};

/// Statuses with which the platform refuses a call without any effect.
const REFUSED_STATUSES: [u16; 3] = [409, 429, 503];
/// Timeout of a download of weights.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Client of the platform's services; clones share one connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
    timeouts: Timeouts,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub fn new(settings: &settings::Platform) -> Client {
        let timeouts = Timeouts {
            connect: settings.timeout,
            inactivity: Some(settings.timeout),
            total: Some(settings.timeout),
        };
        Client { pool: Pool::new(settings.address), timeouts }
    }

    fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, CallError> {
        let body = serde_json::to_vec(body).map_err(|it| CallError::Refused(it.to_string()))?;
        parse(&self.call(http::Method::POST, path, body)?)
    }

    fn call(&self, method: http::Method, path: &str, body: Vec<u8>) -> Result<Vec<u8>, CallError> {
        let (status, body) = self.exchange(method, path, body, &self.timeouts)?;
        check_status(status, body)
    }

    fn exchange(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        timeouts: &Timeouts,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.pool.address()))
            .header("content-type", "application/json")
            .body(body)
            .map_err(|it| CallError::Refused(it.to_string()))?;
        let mut response: Response = self.pool.send(request, timeouts)?;
        let body = response.read_whole()?;
        Ok((response.status(), body))
    }
}

impl From<Error> for CallError {
    fn from(err: Error) -> CallError {
        match err {
            Error::Connect(it) => CallError::Refused(it),
            it @ (Error::Broken(_) | Error::Timeout | Error::Cancelled) => {
                CallError::Lost(it.to_string())
            }
        }
    }
}

/// Returns the body of a successful response, or the error that a failure status means.
fn check_status(status: u16, body: Vec<u8>) -> Result<Vec<u8>, CallError> {
    if (200..300).contains(&status) {
        return Ok(body);
    }
    let text = String::from_utf8_lossy(&body);
    if REFUSED_STATUSES.contains(&status) {
        return Err(CallError::Refused(format!("status {status}: {text}")));
    }
    Err(CallError::Lost(format!("status {status}: {text}")))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|it| CallError::Lost(format!("malformed answer: {it}")))
}

impl Table for Client {
    fn read(&self, keys: &[SmolStr]) -> Result<Vec<Row>, CallError> {
        let rows: wire::Rows = self.post("/table/read", &wire::Read { keys: keys.to_vec() })?;
        if rows.rows.len() != keys.len() {
            return Err(CallError::Lost("malformed answer: rows are missing".to_owned()));
        }
        Ok(rows.rows)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, CallError> {
        let rows: wire::Rows =
            self.post("/table/scan", &wire::Scan { prefix: SmolStr::new(prefix) })?;
        Ok(rows.rows)
    }

    fn commit(&self, writes: &[Write]) -> Result<Commit, CallError> {
        self.post("/table/commit", &wire::Commit { writes: writes.to_vec() })
    }
}

impl ObjectStore for Client {
    fn put(&self, name: &str, contents: &[u8]) -> Result<(), CallError> {
        self.call(http::Method::PUT, &format!("/objects/{name}"), contents.to_vec())?;
        Ok(())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, CallError> {
        let path = format!("/objects/{name}");
        let (status, body) = self.exchange(http::Method::GET, &path, Vec::new(), &self.timeouts)?;
        if status == 404 {
            return Ok(None);
        }
        check_status(status, body).map(Some)
    }
}

impl HostList for Client {
    fn machines(&self) -> Result<Vec<Machine>, CallError> {
        let body = self.call(http::Method::GET, "/hosts", Vec::new())?;
        let machines: wire::Machines = parse(&body)?;
        Ok(machines.machines)
    }

    fn report(&self, machine: &Machine) -> Result<(), CallError> {
        let body = serde_json::to_vec(machine).map_err(|it| CallError::Refused(it.to_string()))?;
        self.call(http::Method::POST, "/hosts/report", body)?;
        Ok(())
    }
}

impl WeightStore for Client {
    fn load(&self, name: &str) -> Result<u64, CallError> {
        let timeouts =
            Timeouts { inactivity: None, total: Some(WEIGHTS_TIMEOUT), ..self.timeouts.clone() };
        let path = format!("/weights/{name}");
        let (status, body) = self.exchange(http::Method::GET, &path, Vec::new(), &timeouts)?;
        let weights: wire::Weights = parse(&check_status(status, body)?)?;
        Ok(weights.bytes)
    }
}
