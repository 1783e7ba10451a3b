//! What all parts of the request path share on one host.

use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    configuration::Configuration,
    deadline::Deadlines,
    dispatcher::Dispatcher,
    engine::LatencyModel,
    headers::{HeaderNames, PrefillApi},
    health::Health,
    load::{self, Work},
    logging::Log,
    membership::{Host, Membership},
    metrics::Metrics,
    poison, prefix_cache,
    registry::{Event, Key, Registry},
    retry_budget::{self, Budget},
    slowness,
    upstream::Pool,
    watch::Watch,
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};

/// Settings of the request path on one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host as it introduces itself.
    pub host: Host,
    /// Where readiness is asked.
    pub ready_address: SocketAddr,
    /// Where callers ask for addresses; `None` when this host does not answer that.
    pub directory_address: Option<SocketAddr>,
    /// Where metrics are served; `None` for nowhere.
    pub metrics_address: Option<SocketAddr>,
    /// Bounds as they stood at the start.
    pub bounds: Bounds,
    /// Time that targets which lapsed during an outage of the store may take to return.
    pub reannounce_grace: Duration,
    /// Time to wait for a change in one call to the store.
    pub long_poll_timeout: Duration,
}

/// Bounds that may change while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Bound on retries towards one service, over all hosts.
    pub retries: retry_budget::Config,
    /// Time that a shutdown may take.
    pub grace: Duration,
    /// Time that callers may keep an answer of the directory at most.
    pub directory_time: Duration,
}

/// Shared state of the request path; it runs on one thread.
#[derive(Debug)]
pub struct Context {
    /// Settings as they were read at the start.
    pub settings: Settings,
    /// Names of the headers.
    pub headers: HeaderNames,
    /// Calls to engines.
    pub calls: PrefillApi,
    /// Metrics of this host.
    pub metrics: Metrics,
    /// Connections to targets.
    pub pool: Pool,
    /// The log's writer.
    pub log: Option<Log>,
    /// Told when the host begins to shut down.
    pub shutdown_started: Notify,
    /// Requests that wait to be placed.
    pub dispatcher: Dispatcher,
    /// Told when this host's own work at targets changed.
    pub work_changed: Notify,
    /// Told when another host saw something in the store that this one was not told.
    pub update_missed: Notify,
    bounds: Cell<Bounds>,
    last_grants: RefCell<HashMap<id::Host, u64>>,
    peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    shutting_down: Cell<bool>,
    open_requests: Rc<Cell<usize>>,
    state: RefCell<State>,
}

/// Counts a caller's request while it is open.
#[derive(Debug)]
pub struct OpenRequest(Rc<Cell<usize>>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What this host believes of the world.
#[derive(Debug)]
pub struct State {
    /// Configuration in force; `None` before the first.
    pub configuration: Option<Rc<Configuration>>,
    /// What is known of the configuration's table.
    pub configuration_watch: Watch,
    /// Targets.
    pub registry: Registry,
    /// What is known of the targets' table.
    pub targets_watch: Watch,
    /// Work under way at targets.
    pub board: load::Tracker,
    /// How targets answered.
    pub health: Health,
    /// What engines hold in their caches.
    pub cache: prefix_cache::Index,
    /// The other hosts.
    pub membership: Membership,
    /// Retry budgets by service.
    pub budgets: HashMap<id::Service, Budget>,
    /// How slow each engine is.
    pub paces: slowness::Tracker,
    /// Times that engines take, by service.
    pub times: HashMap<id::Service, LatencyModel>,
    /// Requests that may be what crashes targets.
    pub poison: poison::Detector,
    /// Deadlines that callers begin with, by route.
    pub deadlines: Deadlines,
}

impl State {
    /// Returns the tokens that an engine of a service keeps.
    pub fn kv_capacity_tokens(&self, service: &id::Service) -> u64 {
        let configuration = self.configuration.as_ref();
        let engine = configuration.and_then(|it| it.services.get(service)?.engine);
        engine.map_or(u64::MAX, |it| it.kv_capacity_tokens)
    }

    /// Returns how long ago the store last confirmed the targets, in milliseconds.
    pub fn targets_age_ms(&self) -> u64 {
        self.targets_watch.age(clock::now()).as_millis() as u64
    }

    /// Returns how long ago the store last confirmed the configuration, in milliseconds.
    pub fn configuration_age_ms(&self) -> u64 {
        self.configuration_watch.age(clock::now()).as_millis() as u64
    }

    /// Returns whether the picture of the targets is fresh.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.configuration.is_some() && self.targets_watch.age(now) < MAX_FRESH_AGE
    }

    /// Returns whether the store did not answer this host's last calls.
    pub fn is_store_unreachable(&self) -> bool {
        self.configuration_watch.has_failed() || self.targets_watch.has_failed()
    }

    /// Returns whether this host keeps the others up to date.
    pub fn is_watcher(&self) -> bool {
        self.membership.is_watcher(self.is_store_unreachable())
    }

    /// Returns the work of all hosts at a target.
    pub fn total_work(&self, key: Key) -> Work {
        let target = self.registry.get(key);
        target.map_or(Work::default(), |it| self.board.total(key, &it.id, clock::now()))
    }
}

/// Time since the store last confirmed the targets within which the picture of them is fresh.
const MAX_FRESH_AGE: Duration = Duration::from_millis(2200);
/// Time for which a peer's word on its own work counts; a few times the interval of heartbeats.
const PEER_WORK_TTL: Duration = Duration::from_secs(1);

impl Context {
    /// Creates the state of a host that knows nothing yet.
    pub fn new(
        settings: Settings,
        headers: HeaderNames,
        calls: PrefillApi,
        metrics: Metrics,
        log: Option<Log>,
    ) -> Context {
        let state = State {
            configuration: None,
            configuration_watch: Watch::default(),
            registry: Registry::new(),
            targets_watch: Watch::default(),
            board: load::Tracker::new(PEER_WORK_TTL),
            health: Health::default(),
            cache: prefix_cache::Index::default(),
            membership: Membership::new(settings.host.clone()),
            budgets: HashMap::new(),
            paces: slowness::Tracker::default(),
            times: HashMap::new(),
            poison: poison::Detector::default(),
            deadlines: Deadlines::default(),
        };
        let pool = Pool::new(metrics.connections_opened.clone());
        Context {
            bounds: Cell::new(settings.bounds),
            settings,
            headers,
            calls,
            metrics,
            pool,
            log,
            dispatcher: Dispatcher::default(),
            work_changed: Notify::new(),
            update_missed: Notify::new(),
            last_grants: RefCell::default(),
            peer_socket: RefCell::default(),
            shutdown_started: Notify::new(),
            shutting_down: Cell::new(false),
            open_requests: Rc::default(),
            state: RefCell::new(state),
        }
    }

    /// Returns what this host believes, for reading; not to be held over a wait.
    pub fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Returns what this host believes, for changing; not to be held over a wait.
    pub fn state_mut(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Puts other bounds in force; returns whether they differ.
    pub fn set_bounds(&self, bounds: Bounds) -> bool {
        self.bounds.replace(bounds) != bounds
    }

    /// Returns whether the host shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Returns the socket for datagrams between hosts.
    pub fn peer_socket(&self) -> Option<Rc<UdpSocket>> {
        self.peer_socket.borrow().clone()
    }

    /// Sets the socket for datagrams between hosts.
    pub fn set_peer_socket(&self, socket: Option<Rc<UdpSocket>>) {
        *self.peer_socket.borrow_mut() = socket;
    }

    /// Notes a grant of a dispatcher as included in this host's own work.
    pub fn record_grant(&self, dispatcher: &id::Host, number: u64) {
        let mut last_grants = self.last_grants.borrow_mut();
        let last = last_grants.entry(dispatcher.clone()).or_default();
        *last = number.max(*last);
        drop(last_grants);
        if *dispatcher == self.settings.host.name {
            self.state_mut().board.acknowledge_grants(dispatcher, number);
        }
        self.work_changed.notify_one();
    }

    /// Returns the last grant of a dispatcher that this host's own work includes.
    pub fn last_grant(&self, dispatcher: &id::Host) -> u64 {
        self.last_grants.borrow().get(dispatcher).copied().unwrap_or_default()
    }

    /// Counts a request as open until the result is dropped.
    pub fn open_request(&self) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest(Rc::clone(&self.open_requests))
    }

    /// Returns how many requests of callers are open.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.get()
    }

    /// Begins the shutdown.
    pub fn start_shutdown(&self) {
        self.shutting_down.set(true);
        self.shutdown_started.notify_waiters();
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.state().configuration.is_some()
    }

    /// Takes one retry towards a service from the budget.
    pub fn take_retry(&self, service: &id::Service) -> bool {
        let hosts = self.state().membership.live_count();
        self.with_budget(service, |budget| budget.try_take_retry(hosts, clock::now()))
    }

    /// Counts a caller's request for a service in the budget.
    pub fn count_request(&self, service: &id::Service) {
        self.with_budget(service, |budget| budget.count_request(clock::now()));
    }

    /// Uses the retry budget of a service under the bounds in force.
    fn with_budget<T>(&self, service: &id::Service, operation: impl FnOnce(&mut Budget) -> T) -> T {
        let config = self.bounds().retries;
        let mut state = self.state_mut();
        let budget = state.budgets.entry(service.clone()).or_insert_with(|| Budget::new(config));
        budget.set_config(config);
        operation(budget)
    }

    /// Logs changes of what is believed of targets, and forgets what depends on them.
    pub fn record_target_events(&self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Added(_, id) => tracing::info!(code = 8001, target = %id, "target added"),
                Event::Draining(key, id) => {
                    self.pool.close_idle(key);
                    tracing::info!(code = 8002, target = %id, "target draining; nothing new is sent to it");
                }
                Event::Removed(key, id) => {
                    self.pool.close_idle(key);
                    let mut state = self.state_mut();
                    state.board.forget_target(key);
                    state.cache.forget(key);
                    state.paces.forget(key);
                    tracing::info!(code = 8003, target = %id, "target gone");
                }
            }
        }
        self.metrics.target_count.set(self.state().registry.len() as i64);
    }
}
