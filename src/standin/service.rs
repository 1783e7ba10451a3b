//! Stand-in plain service: records each execution with its idempotency key and injects faults.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    Refusal, empty_response,
    heartbeat::{self, Listing},
    parse_body, server_limits,
};
use crate::{
    id,
    link::http_server::{Handler, Head, Request, Responder, Response, Server, VERDICT_HEADER},
    metric::Metrics,
    store::Kind,
    target::{Order, Receipt, Report},
    timer::Timer,
    verdict::Verdict,
};

/// Header with the key of a call that must not be executed twice.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Number of concurrent calls that the service reports as its capacity; it enforces no limit.
const REPORTED_SLOTS: u32 = 256;
/// Interval of checks whether a call is still held by a fault.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of the stand-in service.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub address: SocketAddr,
    /// Entry in the host list.
    pub listing: Listing,
    /// Service that this replica belongs to.
    pub service: id::Service,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            listing: Listing::default(),
            service: SmolStr::new_static("orders"),
        }
    }
}

/// Body of `POST /faults`; omitted fields switch their faults off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each call before its execution, in milliseconds.
    pub delay_ms: u64,
    /// Whether calls block before their execution, until the fault is switched off.
    pub hold_before_run: bool,
    /// Whether calls block after their execution, until the fault is switched off.
    pub hold_after_run: bool,
    /// Whether the next call crashes the service before its execution.
    pub crash_before_run: bool,
    /// Whether the next call crashes the service after its execution.
    pub crash_after_run: bool,
    /// Number of upcoming calls that are executed without a response; their connections are closed.
    pub lose_answers: u32,
    /// Whether calls are refused before their execution.
    pub refuse: bool,
}

/// Response to `GET /record`: calls and orders since the start of the service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Executed calls, oldest first.
    pub runs: Vec<Run>,
    /// Received orders, oldest first.
    pub orders: Vec<Order>,
}

/// Execution of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Sequence number of the execution, from 1.
    pub number: u64,
    /// Value of the idempotency key header.
    pub key: Option<SmolStr>,
    /// HTTP method.
    pub method: SmolStr,
    /// Path without the query.
    pub path: SmolStr,
    /// Request body, with invalid UTF-8 replaced.
    pub body: String,
}

/// A running stand-in service; dropping it stops it.
#[derive(Debug)]
pub struct Service {
    address: SocketAddr,
    shared: Arc<Shared>,
    _heartbeat: Timer,
}

impl Service {
    /// Starts the stand-in service.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or the server cannot start.
    pub fn start(config: Config) -> io::Result<Service> {
        let listener = TcpListener::bind(config.address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(config));
        let server = Server::start(
            listener,
            server_limits(),
            Arc::new(Arc::clone(&shared)),
            Metrics::local(),
        )?;
        *shared.server.lock().expect("server lock poisoned") = Some(server);
        let heartbeat = {
            let shared = Arc::clone(&shared);
            heartbeat::start(&shared.config.listing.clone(), move || shared.instance(address))
        };
        Ok(Service { address, shared, _heartbeat: heartbeat })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.state().faults = faults;
    }

    /// Returns the calls and orders since the start of the service.
    pub fn record(&self) -> Record {
        self.shared.state().record.clone()
    }

    /// Returns whether the service has crashed.
    pub fn has_crashed(&self) -> bool {
        self.shared.is_down()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.shared.close();
    }
}

/// State shared by the HTTP handler and the heartbeat.
#[derive(Debug)]
struct Shared {
    config: Config,
    state: Mutex<State>,
    down: AtomicBool,
    server: Mutex<Option<Server>>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    record: Record,
    /// Calls in progress.
    open_calls: u32,
    /// Reports sent so far.
    report_count: u64,
}

/// How a call ends.
enum Outcome {
    Respond(Response),
    /// The connection is closed without a response.
    Cut,
    /// The service crashes.
    Crash,
}

impl Handler for Arc<Shared> {
    fn handle(&self, request: Request, reply: Responder) {
        if self.is_down() {
            return;
        }
        match self.dispatch(&request) {
            Ok(Outcome::Respond(it)) => reply.send(it),
            Ok(Outcome::Cut) => drop(reply.start_stream(Head::new(200))),
            Ok(Outcome::Crash) => {
                self.close();
                drop(reply.start_stream(Head::new(200)));
            }
            Err(it) => reply.send(it.into()),
        }
    }
}

impl Shared {
    fn new(config: Config) -> Shared {
        Shared {
            config,
            state: Mutex::default(),
            down: AtomicBool::new(false),
            server: Mutex::new(None),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("service lock poisoned")
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    fn close(&self) {
        self.down.store(true, Ordering::Release);
        drop(self.server.lock().expect("server lock poisoned").take());
    }

    /// Returns what the next heartbeat reports, or `None` once the service has crashed.
    fn instance(&self, address: SocketAddr) -> Option<heartbeat::Instance> {
        if self.is_down() {
            return None;
        }
        Some(heartbeat::Instance {
            kind: Kind::Service(self.config.service.clone()),
            address,
            incarnation: self.config.listing.incarnation,
        })
    }

    fn dispatch(&self, request: &Request) -> Result<Outcome, Refusal> {
        let response = match request.path.as_str() {
            "/report" => Response::json(200, &self.report()),
            "/record" => Response::json(200, &self.state().record),
            "/faults" => {
                self.state().faults = parse_body(request)?;
                empty_response()
            }
            "/order" => {
                self.state().record.orders.push(parse_body(request)?);
                Response::json(200, &Receipt::Accepted)
            }
            _ => {
                self.state().open_calls += 1;
                let outcome = self.handle_call(request);
                self.state().open_calls -= 1;
                return Ok(outcome);
            }
        };
        Ok(Outcome::Respond(response))
    }

    fn handle_call(&self, request: &Request) -> Outcome {
        let faults = self.state().faults.clone();
        if faults.refuse {
            let response = Response::new(503, "not serving")
                .with_header(VERDICT_HEADER, Verdict::NotRun.as_str());
            return Outcome::Respond(response);
        }
        thread::sleep(Duration::from_millis(faults.delay_ms));
        self.wait_while(|it| it.hold_before_run);
        if faults.crash_before_run || self.is_down() {
            return Outcome::Crash;
        }
        let run = self.record_run(request);
        self.wait_while(|it| it.hold_after_run);
        if faults.crash_after_run || self.is_down() {
            return Outcome::Crash;
        }
        let mut state = self.state();
        if 0 < state.faults.lose_answers {
            state.faults.lose_answers -= 1;
            return Outcome::Cut;
        }
        Outcome::Respond(Response::json(200, &run))
    }

    /// Executes a call, that is, adds it to the record.
    fn record_run(&self, request: &Request) -> Run {
        let key = request.headers.get(IDEMPOTENCY_KEY_HEADER).and_then(|it| it.to_str().ok());
        let mut state = self.state();
        let run = Run {
            number: state.record.runs.len() as u64 + 1,
            key: key.map(SmolStr::new),
            method: SmolStr::new(request.method.as_str()),
            path: request.path.clone(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        state.record.runs.push(run.clone());
        run
    }

    /// Blocks while the condition holds, at most until the service has crashed.
    fn wait_while(&self, is_held: impl Fn(&Faults) -> bool) {
        while is_held(&self.state().faults) && !self.is_down() {
            thread::sleep(HOLD_POLL_INTERVAL);
        }
    }

    fn report(&self) -> Report {
        let mut state = self.state();
        state.report_count += 1;
        Report {
            incarnation: self.config.listing.incarnation,
            number: state.report_count,
            age: Duration::ZERO,
            role: None,
            serves: self.config.service.clone(),
            adapters: Vec::new(),
            version: SmolStr::default(),
            serving: true,
            checks_fence: false,
            order: None,
            running: state.open_calls,
            queued: 0,
            queued_tokens: 0,
            kv_tokens: 0,
            kv_capacity: 0,
            slots: REPORTED_SLOTS,
        }
    }
}
