//! Stand-in engine with continuous batching, a prefix cache, orders and injected faults.

mod answer;
mod batch;
mod cache;
mod handler;
mod job;
mod order_state;
mod scheduler;
pub mod wire;

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use smol_str::SmolStr;

pub use self::wire::{Faults, Record};
use self::{cache::EventLog, job::Job, order_state::OrderState, wire::Export};
use super::{
    heartbeat::{self, Listing},
    server_limits,
};
use crate::{
    id,
    link::http_server::Server,
    metric::Metrics,
    store::Kind,
    target::{Report, Role},
    timer::Timer,
};

/// Configuration of the stand-in engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub address: SocketAddr,
    /// Entry in the host list.
    pub listing: Listing,
    /// Initial model.
    pub model: id::Model,
    /// Initial version of the weights.
    pub version: SmolStr,
    /// Initial role.
    pub role: Role,
    /// Whether the engine rejects orders whose fencing token is not above all accepted ones.
    pub checks_fence: bool,
    /// Largest number of requests that run at once.
    pub slots: u32,
    /// Largest number of requests that wait for a slot.
    pub queue_capacity: usize,
    /// Tokens prefilled per second.
    pub prefill_rate: f64,
    /// Base duration of a step that generates tokens.
    pub step_base: Duration,
    /// Duration that each request that gets a token adds to a step.
    pub step_per_request: Duration,
    /// Capacity of KV memory including the prefix cache, in tokens.
    pub kv_capacity: u64,
    /// Tokens of KV cache sent to another engine per second.
    pub kv_rate: f64,
    /// Smallest age of a load report that readers get, unless there is only a newer one.
    pub report_lag: Duration,
    /// Smallest age of a cache event that readers get.
    pub event_lag: Duration,
    /// Cache events whose number is a multiple of this are hidden from readers; 0 hides none.
    pub event_gap: Option<u64>,
    /// Duration of a change; with a platform, only of a change of role.
    pub change_time: Duration,
    /// Delay of the restart after a crash; `None` leaves the engine down.
    pub restart_after: Option<Duration>,
    /// Simulated seconds per second of real time, in steps, KV transfers, changes and restarts.
    pub time_scale: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            listing: Listing::default(),
            model: SmolStr::new_static("small"),
            version: SmolStr::new_static("1"),
            role: Role::Mixed,
            checks_fence: true,
            slots: 64,
            queue_capacity: 1_000,
            prefill_rate: 50_000.0,
            step_base: Duration::from_millis(2),
            step_per_request: Duration::from_micros(50),
            kv_capacity: 400_000,
            kv_rate: 1_000_000.0,
            report_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(200),
            event_gap: None,
            change_time: Duration::from_secs(2),
            restart_after: None,
            time_scale: 1.0,
        }
    }
}

impl Config {
    /// Converts a simulated duration to real time.
    fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.time_scale)
    }
}

/// A running stand-in engine; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
    heartbeat: Timer,
    scheduler: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts the stand-in engine.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound, or if the server or a thread cannot start.
    pub fn start(mut config: Config) -> io::Result<Engine> {
        let listener = TcpListener::bind(config.address)?;
        config.address = listener.local_addr()?;
        let address = config.address;
        let shared = Arc::new(Shared::new(config));
        shared.start_server(listener)?;
        let heartbeat = {
            let shared = Arc::clone(&shared);
            heartbeat::start(&shared.config.listing.clone(), move || shared.instance())
        };
        let scheduler = {
            let shared = Arc::clone(&shared);
            thread::Builder::new()
                .name("engine".to_owned())
                .spawn(move || scheduler::run(&shared))?
        };
        Ok(Engine { address, shared, heartbeat, scheduler: Some(scheduler) })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the requests, orders and counts since the start of the engine.
    pub fn record(&self) -> Record {
        self.shared.state().record.clone()
    }

    /// Returns whether the engine has crashed and not yet restarted.
    pub fn has_crashed(&self) -> bool {
        self.shared.state().crashed
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.heartbeat.stop();
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.wake.notify_all();
        if let Some(it) = self.scheduler.take() {
            let _ = it.join();
        }
        self.shared.stop_server();
    }
}

/// State shared by the HTTP handler, the scheduler and the heartbeat.
struct Shared {
    config: Config,
    state: Mutex<State>,
    wake: Condvar,
    stopped: AtomicBool,
    server: Mutex<Option<Server>>,
}

struct State {
    /// Incarnation of the running engine, new after each restart.
    incarnation: id::Incarnation,
    crashed: bool,
    faults: Faults,
    record: Record,
    order_state: OrderState,
    /// Requests that the scheduler has not yet added to the batch.
    submitted: Vec<Job>,
    /// Ids of the requests to cancel in the next iteration of the scheduler.
    cancelled_ids: Vec<SmolStr>,
    /// Requests admitted and not yet ended.
    open_requests: usize,
    /// Whether the scheduler is to end all requests because of a disruptive change.
    reset_requested: bool,
    event_log: EventLog,
    /// KV caches that other engines can fetch, by handle.
    exports: HashMap<SmolStr, Export>,
    /// Load reports and the times at which they were made, oldest first.
    reports: VecDeque<(Instant, Report)>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("config", &self.config).finish_non_exhaustive()
    }
}

impl Shared {
    fn new(config: Config) -> Shared {
        let state = State {
            incarnation: config.listing.incarnation,
            crashed: false,
            faults: Faults::default(),
            record: Record::default(),
            order_state: OrderState::new(&config),
            submitted: Vec::new(),
            cancelled_ids: Vec::new(),
            open_requests: 0,
            reset_requested: false,
            event_log: EventLog::default(),
            exports: HashMap::new(),
            reports: VecDeque::new(),
        };
        Shared {
            config,
            state: Mutex::new(state),
            wake: Condvar::new(),
            stopped: AtomicBool::new(false),
            server: Mutex::new(None),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("engine lock poisoned")
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn start_server(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let server =
            Server::start(listener, server_limits(), Arc::new(Arc::clone(self)), Metrics::local())?;
        *self.server.lock().expect("server lock poisoned") = Some(server);
        Ok(())
    }

    fn stop_server(&self) {
        drop(self.server.lock().expect("server lock poisoned").take());
    }

    fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.wake.notify_all();
    }

    /// Returns what the next heartbeat reports, or `None` while the engine is crashed or frozen.
    fn instance(&self) -> Option<heartbeat::Instance> {
        let state = self.state();
        if state.crashed || state.faults.freeze {
            return None;
        }
        Some(heartbeat::Instance {
            kind: Kind::Engine(state.order_state.model.clone()),
            address: self.config.address,
            incarnation: state.incarnation,
        })
    }
}
