//! Stand-in plain service: records each run by its idempotency key and fails on request.

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
    Refusal, body, bounds, done,
    presence::{self, Listing},
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

/// Header that names a call which must not run twice.
const KEY_HEADER: &str = "idempotency-key";
/// Calls that it may run at once, as it reports them.
const SLOTS: u32 = 256;
/// Time between two looks at whether a fault is over.
const POLL: Duration = Duration::from_millis(5);

/// Configuration of the stand-in.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// How it is listed.
    pub listing: Listing,
    /// Service that it is a replica of.
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

/// Body of `POST /faults`; what it leaves out is switched off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time that each call takes before it runs, in milliseconds.
    pub delay_ms: u64,
    /// Holds each call before it runs, for as long as the fault is on.
    pub hold_before_run: bool,
    /// Holds each answer after the run, for as long as the fault is on.
    pub hold_after_run: bool,
    /// Goes down at the next call, before it runs.
    pub crash_before_run: bool,
    /// Goes down at the next call, after it ran.
    pub crash_after_run: bool,
    /// Runs this many of the next calls, but closes their connections without an answer.
    pub lose_answers: u32,
    /// Refuses calls before they run.
    pub refuse: bool,
}

/// Answer to `GET /record`: what the service ran since it was started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Runs, oldest first.
    pub runs: Vec<Run>,
    /// Orders that arrived.
    pub orders: Vec<Order>,
}

/// One run of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Number of the run, from 1; also in the answer.
    pub number: u64,
    /// Idempotency key, if the call had one.
    pub key: Option<SmolStr>,
    /// HTTP method.
    pub method: SmolStr,
    /// Path without the query.
    pub path: SmolStr,
    /// Body, as text.
    pub body: String,
}

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Service {
    address: SocketAddr,
    core: Arc<Core>,
    _presence: Timer,
}

impl Service {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub fn start(config: Config) -> io::Result<Service> {
        let listener = TcpListener::bind(config.address)?;
        let address = listener.local_addr()?;
        let core = Arc::new(Core::new(config));
        let front =
            Server::start(listener, bounds(), Arc::new(Arc::clone(&core)), Metrics::local())?;
        *core.front.lock().expect("front lock poisoned") = Some(front);
        let presence = {
            let core = Arc::clone(&core);
            presence::report(&core.config.listing.clone(), move || core.listed(address))
        };
        Ok(Service { address, core, _presence: presence })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches its faults; see [`Faults`].
    pub fn fault(&self, faults: Faults) {
        self.core.state().faults = faults;
    }

    /// Returns what it ran since it was started.
    pub fn record(&self) -> Record {
        self.core.state().record.clone()
    }

    /// Returns whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.core.is_down()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.core.close();
    }
}

#[derive(Debug)]
struct Core {
    config: Config,
    state: Mutex<State>,
    down: AtomicBool,
    front: Mutex<Option<Server>>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    record: Record,
    open: u32,
    reports: u64,
}

/// What becomes of a call.
enum Outcome {
    Answer(Response),
    /// The connection is closed without an answer.
    Cut,
    /// The service goes down.
    Crash,
}

impl Handler for Arc<Core> {
    fn handle(&self, request: Request, reply: Responder) {
        if self.is_down() {
            return;
        }
        match self.dispatch(&request) {
            Ok(Outcome::Answer(it)) => reply.send(it),
            Ok(Outcome::Cut) => drop(reply.start_stream(Head::new(200))),
            Ok(Outcome::Crash) => {
                self.close();
                drop(reply.start_stream(Head::new(200)));
            }
            Err(it) => reply.send(it.into()),
        }
    }
}

impl Core {
    fn new(config: Config) -> Core {
        Core {
            config,
            state: Mutex::default(),
            down: AtomicBool::new(false),
            front: Mutex::new(None),
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
        drop(self.front.lock().expect("front lock poisoned").take());
    }

    fn listed(&self, address: SocketAddr) -> Option<presence::Listed> {
        if self.is_down() {
            return None;
        }
        Some(presence::Listed {
            kind: Kind::Service(self.config.service.clone()),
            address,
            incarnation: self.config.listing.incarnation,
        })
    }

    fn dispatch(&self, request: &Request) -> Result<Outcome, Refusal> {
        let answer = match request.path.as_str() {
            "/report" => Response::json(200, &self.report()),
            "/record" => Response::json(200, &self.state().record),
            "/faults" => {
                self.state().faults = body(request)?;
                done()
            }
            "/order" => {
                self.state().record.orders.push(body(request)?);
                Response::json(200, &Receipt::Accepted)
            }
            _ => {
                self.state().open += 1;
                let outcome = self.call(request);
                self.state().open -= 1;
                return Ok(outcome);
            }
        };
        Ok(Outcome::Answer(answer))
    }

    fn call(&self, request: &Request) -> Outcome {
        let faults = self.state().faults.clone();
        if faults.refuse {
            let answer = Response::new(503, "not serving")
                .with_header(VERDICT_HEADER, Verdict::NotRun.as_str());
            return Outcome::Answer(answer);
        }
        thread::sleep(Duration::from_millis(faults.delay_ms));
        self.wait_while(|it| it.hold_before_run);
        if faults.crash_before_run || self.is_down() {
            return Outcome::Crash;
        }
        let run = self.run(request);
        self.wait_while(|it| it.hold_after_run);
        if faults.crash_after_run || self.is_down() {
            return Outcome::Crash;
        }
        let mut state = self.state();
        if 0 < state.faults.lose_answers {
            state.faults.lose_answers -= 1;
            return Outcome::Cut;
        }
        Outcome::Answer(Response::json(200, &run))
    }

    fn run(&self, request: &Request) -> Run {
        let key = request.headers.get(KEY_HEADER).and_then(|it| it.to_str().ok());
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

    fn wait_while(&self, is_held: impl Fn(&Faults) -> bool) {
        while is_held(&self.state().faults) && !self.is_down() {
            thread::sleep(POLL);
        }
    }

    fn report(&self) -> Report {
        let mut state = self.state();
        state.reports += 1;
        Report {
            incarnation: self.config.listing.incarnation,
            number: state.reports,
            age: Duration::ZERO,
            role: None,
            serves: self.config.service.clone(),
            adapters: Vec::new(),
            version: SmolStr::default(),
            serving: true,
            checks_fence: false,
            order: None,
            running: state.open,
            queued: 0,
            queued_tokens: 0,
            kv_tokens: 0,
            kv_capacity: 0,
            slots: SLOTS,
        }
    }
}
