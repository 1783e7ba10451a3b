//! HTTP client of the platform's services.

use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use ureq::http;

use super::{Commit, Fault, HostList, Machine, Objects, Row, Table, Weights, Write, wire};
use crate::{
    link::outgoing::{Bounds, Error, Incoming, Pool},
    settings,
};

/// Statuses with which the platform refuses a call before it has any effect.
const REFUSED: [u16; 3] = [409, 429, 503];
/// Time allowed for a transfer of weights.
const TRANSFER_TIME: Duration = Duration::from_secs(3_600);

/// Client of the platform; clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
    bounds: Bounds,
}

impl Client {
    /// Creates a client; connections are opened when they are needed.
    pub fn new(settings: &settings::Platform) -> Client {
        let bounds = Bounds {
            connect_time: settings.timeout,
            silence: Some(settings.timeout),
            total: Some(settings.timeout),
        };
        Client { pool: Pool::new(settings.address), bounds }
    }

    fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, Fault> {
        let body = serde_json::to_vec(body).map_err(|it| Fault::Refused(it.to_string()))?;
        parse(&self.call(http::Method::POST, path, body)?)
    }

    fn call(&self, method: http::Method, path: &str, body: Vec<u8>) -> Result<Vec<u8>, Fault> {
        let (status, body) = self.exchange(method, path, body, &self.bounds)?;
        accept(status, body)
    }

    fn exchange(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        bounds: &Bounds,
    ) -> Result<(u16, Vec<u8>), Fault> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.pool.address()))
            .header("content-type", "application/json")
            .body(body)
            .map_err(|it| Fault::Refused(it.to_string()))?;
        let mut incoming: Incoming = self.pool.send(request, bounds)?;
        let body = incoming.read_whole()?;
        Ok((incoming.status(), body))
    }
}

impl From<Error> for Fault {
    fn from(err: Error) -> Fault {
        match err {
            Error::Connect(it) => Fault::Refused(it),
            it @ (Error::Broken(_) | Error::Silent | Error::Cancelled) => {
                Fault::Lost(it.to_string())
            }
        }
    }
}

fn accept(status: u16, body: Vec<u8>) -> Result<Vec<u8>, Fault> {
    if (200..300).contains(&status) {
        return Ok(body);
    }
    let text = String::from_utf8_lossy(&body);
    if REFUSED.contains(&status) {
        return Err(Fault::Refused(format!("status {status}: {text}")));
    }
    Err(Fault::Lost(format!("status {status}: {text}")))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|it| Fault::Lost(format!("malformed answer: {it}")))
}

impl Table for Client {
    fn read(&self, keys: &[SmolStr]) -> Result<Vec<Row>, Fault> {
        let rows: wire::Rows = self.post("/table/read", &wire::Read { keys: keys.to_vec() })?;
        if rows.rows.len() != keys.len() {
            return Err(Fault::Lost("malformed answer: rows are missing".to_owned()));
        }
        Ok(rows.rows)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        let rows: wire::Rows =
            self.post("/table/scan", &wire::Scan { prefix: SmolStr::new(prefix) })?;
        Ok(rows.rows)
    }

    fn commit(&self, writes: &[Write]) -> Result<Commit, Fault> {
        self.post("/table/commit", &wire::Commit { writes: writes.to_vec() })
    }
}

impl Objects for Client {
    fn put(&self, name: &str, contents: &[u8]) -> Result<(), Fault> {
        self.call(http::Method::PUT, &format!("/objects/{name}"), contents.to_vec())?;
        Ok(())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        let path = format!("/objects/{name}");
        let (status, body) = self.exchange(http::Method::GET, &path, Vec::new(), &self.bounds)?;
        if status == 404 {
            return Ok(None);
        }
        accept(status, body).map(Some)
    }
}

impl HostList for Client {
    fn machines(&self) -> Result<Vec<Machine>, Fault> {
        let body = self.call(http::Method::GET, "/hosts", Vec::new())?;
        let machines: wire::Machines = parse(&body)?;
        Ok(machines.machines)
    }

    fn report(&self, machine: &Machine) -> Result<(), Fault> {
        let body = serde_json::to_vec(machine).map_err(|it| Fault::Refused(it.to_string()))?;
        self.call(http::Method::POST, "/hosts/report", body)?;
        Ok(())
    }
}

impl Weights for Client {
    fn load(&self, name: &str) -> Result<u64, Fault> {
        let bounds = Bounds { silence: None, total: Some(TRANSFER_TIME), ..self.bounds.clone() };
        let path = format!("/weights/{name}");
        let (status, body) = self.exchange(http::Method::GET, &path, Vec::new(), &bounds)?;
        let weights: wire::Weights = parse(&accept(status, body)?)?;
        Ok(weights.bytes)
    }
}
