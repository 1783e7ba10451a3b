//! Stand-in engine: batches continuously, caches prompt prefixes, takes orders and fails on request.

mod answer;
mod batch;
mod cache;
mod job;
mod orders;
mod port;
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
use self::{cache::Events, job::Job, orders::Orders, wire::Export};
use super::{
    bounds,
    presence::{self, Listing},
};
use crate::{
    id,
    link::http_server::Server,
    metric::Metrics,
    store::Kind,
    target::{Report, Role},
    timer::Timer,
};

/// Configuration of the stand-in.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// How it is listed.
    pub listing: Listing,
    /// Model that it serves at the start.
    pub model: id::Model,
    /// Version of the weights at the start.
    pub version: SmolStr,
    /// Role at the start.
    pub role: Role,
    /// Whether it refuses orders with an older fencing number.
    pub checks_fence: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that may wait in it.
    pub queue: usize,
    /// Prompt tokens read a second.
    pub prefill_rate: f64,
    /// Time of a step that generates at all.
    pub step_base: Duration,
    /// Time that each generating request adds to a step.
    pub step_per_request: Duration,
    /// Tokens of KV cache that fit, the prefix cache included.
    pub kv_capacity: u64,
    /// Tokens of KV cache a second that it sends to another engine.
    pub kv_rate: f64,
    /// Age of the load report that it gives.
    pub report_lag: Duration,
    /// Age of the newest cache event that it gives.
    pub event_lag: Duration,
    /// Each cache event whose number is a multiple of this is left out.
    pub event_gap: Option<u64>,
    /// Time that a change of role takes, and of a model without a weight store.
    pub change_time: Duration,
    /// Time after which it is up again when it has crashed; without it, it stays down.
    pub restart_after: Option<Duration>,
    /// Seconds of the engine's life in one second.
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
            queue: 1_000,
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
    /// Returns how long a stretch of the engine's life takes.
    fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.time_scale)
    }
}

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    core: Arc<Core>,
    presence: Timer,
    scheduler: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub fn start(mut config: Config) -> io::Result<Engine> {
        let listener = TcpListener::bind(config.address)?;
        config.address = listener.local_addr()?;
        let address = config.address;
        let core = Arc::new(Core::new(config));
        core.open(listener)?;
        let presence = {
            let core = Arc::clone(&core);
            presence::report(&core.config.listing.clone(), move || core.listed())
        };
        let scheduler = {
            let core = Arc::clone(&core);
            thread::Builder::new().name("engine".to_owned()).spawn(move || scheduler::run(&core))?
        };
        Ok(Engine { address, core, presence, scheduler: Some(scheduler) })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches its faults; see [`Faults`].
    pub fn fault(&self, faults: Faults) {
        self.core.set_faults(faults);
    }

    /// Returns what it did since it was started.
    pub fn record(&self) -> Record {
        self.core.state().record.clone()
    }

    /// Returns whether it has crashed and is not up again.
    pub fn has_crashed(&self) -> bool {
        self.core.state().crashed
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.presence.stop();
        self.core.stopped.store(true, Ordering::Release);
        self.core.wake.notify_all();
        if let Some(it) = self.scheduler.take() {
            let _ = it.join();
        }
        self.core.close();
    }
}

/// What the port, the scheduler and the presence share.
struct Core {
    config: Config,
    state: Mutex<State>,
    wake: Condvar,
    stopped: AtomicBool,
    front: Mutex<Option<Server>>,
}

struct State {
    incarnation: id::Incarnation,
    crashed: bool,
    faults: Faults,
    record: Record,
    orders: Orders,
    /// Requests that the scheduler has not yet taken over.
    submitted: Vec<Job>,
    cancelled: Vec<SmolStr>,
    /// Requests inside the engine, submitted ones included.
    open: usize,
    /// Whether all requests are to be cut, for an order that takes the engine away.
    reset: bool,
    events: Events,
    exports: HashMap<SmolStr, Export>,
    /// Load reports with the time of each, oldest first.
    reports: VecDeque<(Instant, Report)>,
}

impl std::fmt::Debug for Core {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Core").field("config", &self.config).finish_non_exhaustive()
    }
}

impl Core {
    fn new(config: Config) -> Core {
        let state = State {
            incarnation: config.listing.incarnation,
            crashed: false,
            faults: Faults::default(),
            record: Record::default(),
            orders: Orders::new(&config),
            submitted: Vec::new(),
            cancelled: Vec::new(),
            open: 0,
            reset: false,
            events: Events::default(),
            exports: HashMap::new(),
            reports: VecDeque::new(),
        };
        Core {
            config,
            state: Mutex::new(state),
            wake: Condvar::new(),
            stopped: AtomicBool::new(false),
            front: Mutex::new(None),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("engine lock poisoned")
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn open(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let front =
            Server::start(listener, bounds(), Arc::new(Arc::clone(self)), Metrics::local())?;
        *self.front.lock().expect("front lock poisoned") = Some(front);
        Ok(())
    }

    fn close(&self) {
        drop(self.front.lock().expect("front lock poisoned").take());
    }

    fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.wake.notify_all();
    }

    /// Returns what the host list shows; nothing while it is down.
    fn listed(&self) -> Option<presence::Listed> {
        let state = self.state();
        if state.crashed || state.faults.freeze {
            return None;
        }
        Some(presence::Listed {
            kind: Kind::Engine(state.orders.model.clone()),
            address: self.config.address,
            incarnation: state.incarnation,
        })
    }
}
