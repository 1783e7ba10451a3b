//! Stand-in for the platform: an in-memory table, object store, host list and weight store.

mod faults;
mod host_list;
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
use self::{faults::RateLimit, host_list::HostList, table::Table};
use super::{Refusal, empty_response, parse_body, server_limits, split_path};
use crate::{
    link::http_server::{Handler, Head, Request, Responder, Response, Server},
    metric::Metrics,
    store::{Commit, Machine, wire},
};

/// Configuration of the stand-in platform.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub address: SocketAddr,
    /// Time without a report after which a machine is removed from the host list.
    pub dropped_after: Duration,
    /// Age of the host list that readers get.
    pub lag: Duration,
    /// Size of the weights of each model, adapter or version, in bytes.
    pub weights_bytes: u64,
    /// Bandwidth of the weight store, shared by all readers, in bytes per second; 0 counts as 1.
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

/// A running stand-in platform; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    server: Server,
}

impl Platform {
    /// Starts the stand-in platform.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or the server cannot start.
    pub fn start(config: Config) -> io::Result<Platform> {
        let listener = TcpListener::bind(config.address)?;
        let handler = Arc::new(Api::new(config));
        let server = Server::start(listener, server_limits(), handler, Metrics::local())?;
        Ok(Platform { server })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the platform.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// HTTP API of the stand-in platform.
struct Api {
    weights_bytes: u64,
    weights_rate: u64,
    state: Mutex<State>,
}

struct State {
    faults: Faults,
    stats: Stats,
    read_limit: RateLimit,
    write_limit: RateLimit,
    table: Table,
    objects: HashMap<String, Bytes>,
    host_list: HostList,
    /// Time at which the weight store completes the transfers that it has accepted, one by one.
    weights_free_at: Instant,
}

/// How a call ends.
enum Outcome {
    Respond(Response),
    /// The call took effect, but its connection is closed without a response.
    Lost,
}

impl From<Response> for Outcome {
    fn from(response: Response) -> Outcome {
        Outcome::Respond(response)
    }
}

impl Handler for Api {
    fn handle(&self, request: Request, reply: Responder) {
        let outcome = self.dispatch(&request).unwrap_or_else(|it| Response::from(it).into());
        match outcome {
            Outcome::Respond(it) => {
                self.state().stats.bytes_out += it.body.len() as u64;
                reply.send(it);
            }
            Outcome::Lost => drop(reply.start_stream(Head::new(200))),
        }
    }
}

impl Api {
    fn new(config: Config) -> Api {
        let state = State {
            faults: Faults::default(),
            stats: Stats::default(),
            read_limit: RateLimit::default(),
            write_limit: RateLimit::default(),
            table: Table::default(),
            objects: HashMap::new(),
            host_list: HostList::new(config.dropped_after, config.lag),
            weights_free_at: Instant::now(),
        };
        Api {
            weights_bytes: config.weights_bytes,
            weights_rate: config.weights_rate.max(1),
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("platform lock poisoned")
    }

    fn dispatch(&self, request: &Request) -> Result<Outcome, Refusal> {
        let (service, rest) = split_path(&request.path);
        let is_post = request.method == Method::POST;
        match service {
            "faults" if is_post => self.set_faults(parse_body(request)?),
            "stats" => Ok(Response::json(200, &self.state().stats).into()),
            _ => {
                self.count_and_delay(request);
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
        Ok(empty_response().into())
    }

    /// Counts the bytes of a request and applies the configured delay.
    fn count_and_delay(&self, request: &Request) {
        let mut state = self.state();
        state.stats.bytes_in += request.body.len() as u64;
        let delay = Duration::from_millis(state.faults.slow_ms);
        drop(state);
        thread::sleep(delay);
    }

    fn table(&self, call: &str, request: &Request) -> Result<Outcome, Refusal> {
        let mut state = self.state();
        let is_down = state.faults.table_down;
        state.check_available(is_down)?;
        match call {
            "read" => {
                let read: wire::Read = parse_body(request)?;
                state.count_read()?;
                let rows = state.table.read(&read.keys);
                Ok(Response::json(200, &wire::Rows { rows }).into())
            }
            "scan" => {
                let scan: wire::Scan = parse_body(request)?;
                state.count_read()?;
                let rows = state.table.scan(&scan.prefix);
                Ok(Response::json(200, &wire::Rows { rows }).into())
            }
            "commit" => state.commit(&parse_body(request)?),
            _ => Err(Refusal::new(404, "no such call")),
        }
    }

    fn objects(&self, name: &str, request: &Request) -> Result<Outcome, Refusal> {
        let mut state = self.state();
        let is_down = state.faults.objects_down;
        state.check_available(is_down)?;
        state.stats.objects += 1;
        match request.method {
            Method::PUT => {
                state.objects.insert(name.to_owned(), request.body.clone());
                Ok(empty_response().into())
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
        state.check_available(is_down)?;
        state.stats.hosts += 1;
        let now = Instant::now();
        match (&request.method, call.split_once('/')) {
            (&Method::GET, _) => {
                let machines = state.host_list.machines(now);
                Ok(Response::json(200, &wire::Machines { machines }).into())
            }
            (_, None) if call == "report" => {
                let machine: Machine = parse_body(request)?;
                match state.host_list.report(machine, now) {
                    true => Ok(empty_response().into()),
                    false => Err(Refusal::new(409, "this run was dropped from the list")),
                }
            }
            (_, Some((name, "leaving"))) => match state.host_list.mark_leaving(name, now) {
                true => Ok(empty_response().into()),
                false => Err(Refusal::new(404, "no such machine")),
            },
            _ => Err(Refusal::new(404, "no such call")),
        }
    }

    /// Responds once the transfer would be complete at the bandwidth of the weight store.
    fn weights(&self) -> Result<Outcome, Refusal> {
        let transfer =
            Duration::from_secs_f64(self.weights_bytes as f64 / self.weights_rate as f64);
        let now = Instant::now();
        let mut state = self.state();
        state.weights_free_at = state.weights_free_at.max(now) + transfer;
        let finished_at = state.weights_free_at;
        drop(state);
        thread::sleep(finished_at - now);
        Ok(Response::json(200, &wire::Weights { bytes: self.weights_bytes }).into())
    }
}

impl State {
    /// Refuses a call to a service that a fault has taken down.
    fn check_available(&mut self, is_down: bool) -> Result<(), Refusal> {
        if is_down {
            self.stats.refused += 1;
            return Err(Refusal::new(503, "the service is down"));
        }
        Ok(())
    }

    /// Counts a read or scan of the table, or refuses it over the rate limit.
    fn count_read(&mut self) -> Result<(), Refusal> {
        if !self.read_limit.try_acquire(self.faults.reads_per_second, Instant::now()) {
            return Err(self.refuse_over_limit());
        }
        self.stats.reads += 1;
        Ok(())
    }

    /// Counts and returns the refusal of a call over the rate limit.
    fn refuse_over_limit(&mut self) -> Refusal {
        self.stats.refused += 1;
        Refusal::new(429, "too many calls")
    }

    fn commit(&mut self, commit: &wire::Commit) -> Result<Outcome, Refusal> {
        if !self.write_limit.try_acquire(self.faults.writes_per_second, Instant::now()) {
            return Err(self.refuse_over_limit());
        }
        let result = self.table.commit(&commit.writes);
        self.stats.writes += 1;
        if matches!(result, Commit::Done(_)) {
            self.stats.rows_written += commit.writes.len() as u64;
        }
        if self.loses_response(commit) {
            self.faults.lose_answers -= 1;
            self.stats.lost += 1;
            return Ok(Outcome::Lost);
        }
        Ok(Response::json(200, &result).into())
    }

    /// Returns whether the response to a commit is dropped by the fault `lose_answers`.
    fn loses_response(&self, commit: &wire::Commit) -> bool {
        let prefix = self.faults.lose_prefix.as_str();
        let matches = commit.writes.iter().any(|it| it.key.starts_with(prefix));
        matches && 0 < self.faults.lose_answers
    }
}
