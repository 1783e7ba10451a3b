//! Stand-in for the platform: table, object store, host list and weight store in memory.

mod faults;
mod hosts;
mod table;

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Method;

pub use self::faults::{Faults, Stats};
use self::{faults::Rate, hosts::Hosts, table::Table};
use super::{Refusal, body, bounds, done, split};
use crate::{
    link::http_server::{Handler, Head, Request, Responder, Response, Server},
    metric::Metrics,
    store::{Commit, Machine, wire},
};

/// Configuration of the stand-in.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Age of a report after which a machine is dropped from the host list.
    pub dropped_after: Duration,
    /// Age of the host list that is read.
    pub lag: Duration,
    /// Size of the weights of each model, adapter and version, in bytes.
    pub weights_bytes: u64,
    /// Bytes a second that the weight store gives to all readers together.
    pub weights_rate: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            dropped_after: Duration::from_secs(3),
            lag: Duration::from_millis(500),
            weights_bytes: 2 << 30,
            weights_rate: 1 << 30,
        }
    }
}

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    front: Server,
}

impl Platform {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub fn start(config: Config) -> io::Result<Platform> {
        let listener = TcpListener::bind(config.address)?;
        let handler = Arc::new(Services::new(config));
        let front = Server::start(listener, bounds(), handler, Metrics::local())?;
        Ok(Platform { front })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Stops the stand-in.
    pub fn stop(&self) {
        self.front.stop();
    }
}

struct Services {
    weights_bytes: u64,
    weights_rate: u64,
    state: Mutex<State>,
}

struct State {
    faults: Faults,
    stats: Stats,
    reads: Rate,
    writes: Rate,
    table: Table,
    objects: HashMap<String, Bytes>,
    hosts: Hosts,
    /// When the weight store has served all transfers begun so far.
    weights_free: Instant,
}

/// What becomes of a call.
enum Outcome {
    Answer(Response),
    /// The call took effect, and its connection is closed without an answer.
    Lost,
}

impl From<Response> for Outcome {
    fn from(answer: Response) -> Outcome {
        Outcome::Answer(answer)
    }
}

impl Handler for Services {
    fn handle(&self, request: Request, reply: Responder) {
        let outcome = self.dispatch(&request).unwrap_or_else(|it| Response::from(it).into());
        match outcome {
            Outcome::Answer(it) => {
                self.state().stats.bytes_out += it.body.len() as u64;
                reply.send(it);
            }
            Outcome::Lost => drop(reply.start_stream(Head::new(200))),
        }
    }
}

impl Services {
    fn new(config: Config) -> Services {
        let state = State {
            faults: Faults::default(),
            stats: Stats::default(),
            reads: Rate::default(),
            writes: Rate::default(),
            table: Table::default(),
            objects: HashMap::new(),
            hosts: Hosts::new(config.dropped_after, config.lag),
            weights_free: Instant::now(),
        };
        Services {
            weights_bytes: config.weights_bytes,
            weights_rate: config.weights_rate.max(1),
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("platform lock poisoned")
    }

    fn dispatch(&self, request: &Request) -> Result<Outcome, Refusal> {
        let (service, rest) = split(&request.path);
        let is_post = request.method == Method::POST;
        match service {
            "faults" if is_post => self.set_faults(body(request)?),
            "stats" => Ok(Response::json(200, &self.state().stats).into()),
            _ => {
                self.delay(request);
                match service {
                    "table" if is_post => self.table(rest, request),
                    "objects" => self.objects(rest, request),
                    "hosts" => self.hosts(rest, request),
                    "weights" => self.weights(),
                    _ => Err(Refusal::new(404, "no such service")),
                }
            }
        }
    }

    fn set_faults(&self, faults: Faults) -> Result<Outcome, Refusal> {
        self.state().faults = faults;
        Ok(done().into())
    }

    fn delay(&self, request: &Request) {
        let mut state = self.state();
        state.stats.bytes_in += request.body.len() as u64;
        let slow = Duration::from_millis(state.faults.slow_ms);
        drop(state);
        thread::sleep(slow);
    }

    fn table(&self, call: &str, request: &Request) -> Result<Outcome, Refusal> {
        let mut state = self.state();
        let is_down = state.faults.table_down;
        state.refuse(is_down)?;
        match call {
            "read" => {
                let read: wire::Read = body(request)?;
                state.count_read()?;
                let rows = state.table.read(&read.keys);
                Ok(Response::json(200, &wire::Rows { rows }).into())
            }
            "scan" => {
                let scan: wire::Scan = body(request)?;
                state.count_read()?;
                let rows = state.table.scan(&scan.prefix);
                Ok(Response::json(200, &wire::Rows { rows }).into())
            }
            "commit" => state.commit(&body(request)?),
            _ => Err(Refusal::new(404, "no such call")),
        }
    }

    fn objects(&self, name: &str, request: &Request) -> Result<Outcome, Refusal> {
        let mut state = self.state();
        let is_down = state.faults.objects_down;
        state.refuse(is_down)?;
        state.stats.objects += 1;
        match request.method {
            Method::PUT => {
                state.objects.insert(name.to_owned(), request.body.clone());
                Ok(done().into())
            }
            Method::GET => match state.objects.get(name) {
                Some(it) => Ok(Response::new(200, it.clone()).into()),
                None => Err(Refusal::new(404, "no such object")),
            },
            _ => Err(Refusal::new(405, "method not allowed")),
        }
    }

    fn hosts(&self, call: &str, request: &Request) -> Result<Outcome, Refusal> {
        let mut state = self.state();
        let is_down = state.faults.hosts_down;
        state.refuse(is_down)?;
        state.stats.hosts += 1;
        let now = Instant::now();
        match (&request.method, call.split_once('/')) {
            (&Method::GET, _) => {
                let machines = state.hosts.machines(now);
                Ok(Response::json(200, &wire::Machines { machines }).into())
            }
            (_, None) if call == "report" => {
                let machine: Machine = body(request)?;
                match state.hosts.report(machine, now) {
                    true => Ok(done().into()),
                    false => Err(Refusal::new(409, "this run was dropped from the list")),
                }
            }
            (_, Some((name, "leaving"))) => match state.hosts.leave(name, now) {
                true => Ok(done().into()),
                false => Err(Refusal::new(404, "no such machine")),
            },
            _ => Err(Refusal::new(404, "no such call")),
        }
    }

    /// Answers once the transfer would be complete at the store's rate.
    fn weights(&self) -> Result<Outcome, Refusal> {
        let transfer =
            Duration::from_secs_f64(self.weights_bytes as f64 / self.weights_rate as f64);
        let now = Instant::now();
        let mut state = self.state();
        state.weights_free = state.weights_free.max(now) + transfer;
        let done = state.weights_free;
        drop(state);
        thread::sleep(done - now);
        Ok(Response::json(200, &wire::Weights { bytes: self.weights_bytes }).into())
    }
}

impl State {
    fn refuse(&mut self, is_down: bool) -> Result<(), Refusal> {
        if is_down {
            self.stats.refused += 1;
            return Err(Refusal::new(503, "the service is down"));
        }
        Ok(())
    }

    fn count_read(&mut self) -> Result<(), Refusal> {
        if !self.reads.take(self.faults.reads_per_second, Instant::now()) {
            return Err(self.too_many());
        }
        self.stats.reads += 1;
        Ok(())
    }

    fn too_many(&mut self) -> Refusal {
        self.stats.refused += 1;
        Refusal::new(429, "too many calls")
    }

    fn commit(&mut self, commit: &wire::Commit) -> Result<Outcome, Refusal> {
        if !self.writes.take(self.faults.writes_per_second, Instant::now()) {
            return Err(self.too_many());
        }
        let result = self.table.commit(&commit.writes);
        self.stats.writes += 1;
        if matches!(result, Commit::Done(_)) {
            self.stats.rows_written += commit.writes.len() as u64;
        }
        if self.loses(commit) {
            self.faults.lose_answers -= 1;
            self.stats.lost += 1;
            return Ok(Outcome::Lost);
        }
        Ok(Response::json(200, &result).into())
    }

    fn loses(&self, commit: &wire::Commit) -> bool {
        let prefix = self.faults.lose_prefix.as_str();
        let matches = commit.writes.iter().any(|it| it.key.starts_with(prefix));
        matches && 0 < self.faults.lose_answers
    }
}
