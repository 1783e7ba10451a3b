//! State that all parts of the request path share on one host.

use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};

use crate::{
    account::{self, recognition::Knowledge},
    checkpoint::driver::Checkpoint,
    cluster::{
        membership::{Host, Membership},
        messages, origin_lookup,
        origin_proof::Prover,
        route_history::RouteHistory,
        stream_origin,
    },
    configuration::Configuration,
    duty,
    entry::{
        body_memory,
        deadline::Deadlines,
        duration,
        headers::{HeaderNames, PrefillApi},
        open_request,
        shutdown::Schedule,
    },
    logging::Log,
    metrics::Metrics,
    placement::{
        dispatcher::Dispatcher,
        engine::LatencyModel,
        load::{self, Work},
        prefix_cache, slowness,
    },
    scaling,
    store::{
        sync::{ConfigurationTable, Table as _, TargetTable},
        watch::Watch,
    },
    stream_archive::driver::Archive,
    targets::{
        availability,
        health::Health,
        notice, poison, poison_inquiry, poison_part, rate_limit, reachability, refusal,
        registry::{Event, Key, Registry},
    },
    upstream::{
        connection::Pool,
        retry_budget::{self, Budget, Usage},
    },
    usage,
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};

/// Settings of the request path on one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host as it announces itself to the store and to its peers.
    pub host: Host,
    /// Address of the readiness endpoint.
    pub ready_address: SocketAddr,
    /// Address of the directory of hosts; `None` when this host does not serve it.
    pub directory_address: Option<SocketAddr>,
    /// Address of the metrics endpoint; `None` when metrics are not served.
    pub metrics_address: Option<SocketAddr>,
    /// Bounds as read at startup.
    pub bounds: Bounds,
    /// Time after an outage of the store within which targets whose entries expired may announce
    /// themselves again.
    pub reannounce_grace: Duration,
    /// Interval at which targets announce themselves.
    pub announcement_interval: Duration,
    /// Number of data centres whose loss at the same time callers must not notice.
    pub lost_data_centres: usize,
    /// Time that the store may hold one call while there is no change.
    pub long_poll_timeout: Duration,
    /// Memory of this process in bytes; `None` when it is not stated.
    pub memory_bytes: Option<usize>,
    /// Duties of the deployment; `None` if it has none.
    pub duties: Option<duty::Settings>,
}

/// Bounds that can be reloaded while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Budget for retries to one service, over all hosts.
    pub retries: retry_budget::Config,
    /// Longest duration of a shutdown.
    pub grace: Duration,
    /// Longest time for which callers may cache a directory response.
    pub directory_time: Duration,
    /// Time after which no request with a revoked key may run, whatever this host is cut off from;
    /// `None` if a revocation takes effect like any other change of the configuration.
    pub revocation: Option<Duration>,
}

/// Shared state of the request path, used from a single thread.
#[derive(Debug)]
pub struct Context {
    /// Settings as read at startup.
    pub settings: Settings,
    /// Names of the request and response headers.
    pub header_names: HeaderNames,
    /// Prefill protocol of the engines.
    pub prefill_api: PrefillApi,
    /// Metrics of this host.
    pub metrics: Metrics,
    /// Pool of connections to targets.
    pub pool: Pool<Key>,
    /// Pool of connections to other hosts, for requests that are sent through them.
    pub peer_pool: Pool<id::Host>,
    /// Memory for the bodies of responses.
    pub body_memory: body_memory::Memory,
    /// Memory for the bodies of callers' requests, apart from that of the responses, so that neither
    /// takes all of it.
    pub request_memory: body_memory::Memory,
    /// Log writer, for its count of dropped lines.
    pub log: Option<Log>,
    /// Open requests of callers, and those that this host sends on for other hosts.
    pub open_requests: open_request::Registry,
    /// Notified when the shutdown starts.
    pub shutdown_started: Notify,
    /// This host's pending placement requests, and the queue for when it is the dispatcher.
    pub dispatcher: Dispatcher,
    /// This host's queries for the origins of streams.
    pub origin_queries: origin_lookup::Pending,
    /// Calls by which the store shows that this host is current.
    pub origin_prover: Prover,
    /// Records in the store of where streams began.
    pub stream_archive: Archive,
    /// Whether this host has read the checkpoint.
    pub checkpoint: Checkpoint,
    /// Handlers of the messages from other hosts.
    pub handlers: messages::Handlers,
    /// Notified when a connection to a target failed.
    pub connect_failed: Notify,
    /// Notified when this host's own work at targets changed.
    pub work_changed: Notify,
    /// Notified when this host learns that it has missed a change in the store.
    pub update_missed: Notify,
    /// Notified when this host learns that the store came back from an earlier copy.
    pub store_era_changed: Notify,
    /// Notified when this host may have become a watcher of the store.
    pub watch_role_changed: Notify,
    bounds: Cell<Bounds>,
    /// Number of the last grant of each dispatcher that this host's own work includes.
    last_grants: RefCell<HashMap<id::Host, u64>>,
    peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Schedule of the shutdown; `None` before it.
    shutdown: watch::Sender<Option<Schedule>>,
    /// Start of this process.
    started_at: Moment,
    /// Requests of other hosts that this one sends on.
    open_peer_requests: Rc<Cell<usize>>,
    state: RefCell<State>,
}

/// Guard that counts a request of another host as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest(Rc<Cell<usize>>);

impl OpenRequest {
    fn new(count: &Rc<Cell<usize>>) -> OpenRequest {
        count.set(count.get() + 1);
        OpenRequest(Rc::clone(count))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What this host knows of the cluster: configuration, targets, other hosts and their load.
#[derive(Debug)]
pub struct State {
    /// Configuration in force; `None` before the first.
    pub configuration: Option<Rc<Configuration>>,
    /// Version of the newest configuration by which another host handled a request of this one; 0
    /// before the first.
    pub handled_version: id::Version,
    /// Synchronisation state of the configuration table.
    pub configuration_watch: Watch,
    /// Known targets.
    pub registry: Registry,
    /// Synchronisation state of the target table.
    pub targets_watch: Watch,
    /// Work in progress at targets.
    pub load: load::Tracker,
    /// Whether this host reaches the targets.
    pub reachability: reachability::Tracker,
    /// Failure rates of targets.
    pub health: Health,
    /// Targets that are leaving or asked this host to back off.
    pub availability: availability::Tracker,
    /// Rate limits that targets have named.
    pub rate_limits: rate_limit::Tracker,
    /// Reports of connections that targets refused, while this host is the dispatcher.
    pub refusals: refusal::Tracker,
    /// Prompt prefixes in the engines' caches.
    pub prefix_cache: prefix_cache::Index,
    /// The other hosts.
    pub membership: Membership,
    /// Retry budgets by service.
    pub retry_budgets: HashMap<id::Service, Budget>,
    /// Slowness of each engine compared with the others of its service.
    pub slowness: slowness::Tracker,
    /// Latency models of the engines, by service.
    pub latency_models: HashMap<id::Service, LatencyModel>,
    /// Detector of requests that crash targets.
    pub poison: poison::Detector,
    /// Inquiry after the requests that the other hosts have recognised.
    pub poison_inquiry: poison_inquiry::Inquiry,
    /// Detector of prompt parts that crash targets.
    pub poison_parts: poison_part::Detector,
    /// Initial deadlines of callers, by route.
    pub deadlines: Deadlines,
    /// Time that the requests of each route take.
    pub durations: duration::Tracker,
    /// Software versions at which streams began.
    pub stream_origins: stream_origin::Tracker,
    /// Former configurations, by which streams may have begun.
    pub route_history: RouteHistory,
    /// Client accounts.
    pub accounts: account::State,
    /// Duties that one host performs for all.
    pub duties: duty::State,
    /// Number of targets that each service needs.
    pub scaling: scaling::State,
    /// Requests that began to run, by account.
    pub usage: usage::State,
}

impl State {
    /// Returns the KV cache capacity of a service's engines, in tokens; `u64::MAX` when unknown.
    pub fn kv_capacity_tokens(&self, service: &id::Service) -> u64 {
        let configuration = self.configuration.as_ref();
        let engine = configuration.and_then(|it| it.services.get(service)?.engine);
        engine.map_or(u64::MAX, |it| it.kv_capacity_tokens)
    }

    /// Returns the tokens whose KV cache an engine of a service fetches from another one in a
    /// millisecond; 0 when unknown.
    pub fn fetch_rate(&self, service: &id::Service) -> f64 {
        let configuration = self.configuration.as_ref();
        let engine = configuration.and_then(|it| it.services.get(service)?.engine);
        let bytes_per_ms = |mbps: f64| mbps * 1e6 / 8.0 / 1e3;
        engine.map_or(0.0, |it| bytes_per_ms(it.link_mbps) / it.kv_bytes_per_token.max(1) as f64)
    }

    /// Returns the time since the store last confirmed the targets, in milliseconds.
    pub fn targets_age_ms(&self) -> u64 {
        self.targets_watch.age(clock::now()).as_millis() as u64
    }

    /// Returns the time since the store last confirmed the configuration, in milliseconds.
    pub fn configuration_age_ms(&self) -> u64 {
        self.configuration_watch.age(clock::now()).as_millis() as u64
    }

    /// Returns the highest known era of the store.
    pub fn store_era(&self) -> id::Era {
        self.targets_watch.era()
    }

    /// Returns whether the last call for either table failed.
    pub fn is_store_unreachable(&self) -> bool {
        self.configuration_watch.has_failed() || self.targets_watch.has_failed()
    }

    /// Returns whether the number of a service's targets is this deployment's to choose.
    pub fn is_scaled(&self, service: &id::Service) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.and_then(|it| it.services.get(service)).is_some_and(|it| it.scaling.is_some())
    }

    /// Returns whether another host has handled a request of this one by a newer configuration than the
    /// one in force here.
    pub fn is_superseded(&self) -> bool {
        self.configuration.as_ref().is_some_and(|it| it.version < self.handled_version)
    }

    /// Returns whether this host watches the store for the other hosts.
    pub fn is_watcher(&self) -> bool {
        self.membership.is_watcher(self.is_store_unreachable())
    }

    /// Returns the hosts that watch the store for this one; `None` if it does so itself.
    pub fn other_watchers(&self) -> Option<Vec<id::Host>> {
        let watchers = self.membership.watchers(self.is_store_unreachable());
        (!watchers.contains(self.membership.own_name())).then_some(watchers)
    }

    /// Returns the host that archives the origins of streams, if one reaches the store.
    pub fn archivist(&self) -> Option<id::Host> {
        self.membership.archivist(self.is_store_unreachable()).cloned()
    }

    /// Returns whether a target takes another request of this host now.
    pub fn is_available(&self, key: Key, now: Moment) -> bool {
        self.availability.is_available(key, now) && self.rate_limits.is_available(key, now)
    }

    /// Returns the time until a target takes another request; `None` if it is leaving.
    pub fn time_until_available(&self, key: Key, now: Moment) -> Option<Duration> {
        let until_available = self.availability.time_until_available(key, now)?;
        Some(until_available.max(self.rate_limits.time_until_available(key, now)))
    }

    /// Records the software versions of the known targets, and that the configuration is followed.
    pub fn observe_versions(&mut self, now: Moment) {
        self.route_history.observe(self.configuration_watch.age(now), now);
        let list_age = self.targets_watch.age(now);
        self.stream_origins.observe(self.registry.all(), list_age, now);
    }

    /// Divides the targets' rate limits among the hosts.
    pub fn divide_rate_limits(&mut self, now: Moment) {
        let own = self.membership.own_name();
        self.rate_limits.divide(own, self.membership.limit_sharers(now), now);
    }

    /// Returns the work of all hosts at a target; none for an unknown target.
    pub fn total_work(&self, key: Key) -> Work {
        let target = self.registry.get(key);
        target.map_or(Work::default(), |it| self.load.total(key, &it.id))
    }
}

/// Age of the configuration up to which a key or route that it lacks is refused for good. It is below
/// the time within which a new one must be accepted.
const RECENT_AGE: Duration = Duration::from_millis(1500);
/// Time for which a peer's report of its own work is used; a few heartbeat intervals.
const PEER_WORK_TTL: Duration = Duration::from_secs(1);

impl Context {
    /// Creates the state of a host that knows no configuration, targets or peers yet.
    pub fn new(
        settings: Settings,
        header_names: HeaderNames,
        prefill_api: PrefillApi,
        metrics: Metrics,
        log: Option<Log>,
    ) -> Context {
        let state = State {
            configuration: None,
            handled_version: 0,
            configuration_watch: Watch::new(ConfigurationTable::MAX_POLL_AGE),
            registry: Registry::with_announcement_interval(settings.announcement_interval),
            targets_watch: Watch::new(TargetTable::MAX_POLL_AGE),
            load: load::Tracker::new(PEER_WORK_TTL),
            reachability: reachability::Tracker::default(),
            health: Health::default(),
            availability: availability::Tracker::default(),
            rate_limits: rate_limit::Tracker::default(),
            refusals: refusal::Tracker::default(),
            prefix_cache: prefix_cache::Index::default(),
            membership: Membership::new(settings.host.clone()),
            retry_budgets: HashMap::new(),
            slowness: slowness::Tracker::default(),
            latency_models: HashMap::new(),
            poison: poison::Detector::default(),
            poison_inquiry: poison_inquiry::Inquiry::new(clock::now()),
            poison_parts: poison_part::Detector::new(rand::random()),
            deadlines: Deadlines::default(),
            durations: duration::Tracker::default(),
            stream_origins: stream_origin::Tracker::default(),
            route_history: RouteHistory::default(),
            accounts: account::State::default(),
            duties: duty::State::default(),
            scaling: scaling::State::default(),
            usage: usage::State::default(),
        };
        let body_memory =
            settings.memory_bytes.map(body_memory::Config::for_host).unwrap_or_default();
        let pool = Pool::new(metrics.connections_opened.clone());
        let peer_pool = Pool::new(metrics.peer_connections.clone());
        Context {
            bounds: Cell::new(settings.bounds),
            settings,
            header_names,
            prefill_api,
            metrics,
            pool,
            peer_pool,
            body_memory: body_memory::Memory::new(body_memory),
            request_memory: body_memory::Memory::new(body_memory),
            log,
            dispatcher: Dispatcher::default(),
            origin_queries: origin_lookup::Pending::default(),
            origin_prover: Prover::default(),
            stream_archive: Archive::default(),
            checkpoint: Checkpoint::default(),
            handlers: messages::Handlers::default(),
            connect_failed: Notify::new(),
            work_changed: Notify::new(),
            update_missed: Notify::new(),
            store_era_changed: Notify::new(),
            watch_role_changed: Notify::new(),
            last_grants: RefCell::default(),
            peer_socket: RefCell::default(),
            open_requests: open_request::Registry::default(),
            shutdown_started: Notify::new(),
            shutdown: watch::Sender::default(),
            started_at: clock::now(),
            open_peer_requests: Rc::default(),
            state: RefCell::new(state),
        }
    }

    /// Borrows the state for reading. The borrow must not be held across an `.await`.
    pub fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Borrows the state for writing. The borrow must not be held across an `.await`.
    pub fn state_mut(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Replaces the bounds; returns whether they changed.
    pub fn set_bounds(&self, bounds: Bounds) -> bool {
        self.bounds.replace(bounds) != bounds
    }

    /// Returns the time since the start of this process.
    pub fn uptime(&self) -> Duration {
        clock::now().saturating_sub(self.started_at)
    }

    /// Returns whether the host is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// Returns the time since the start of the shutdown, in milliseconds; `None` before it.
    pub fn shutdown_age_ms(&self) -> Option<u64> {
        let start = (*self.shutdown.borrow())?.start;
        Some(clock::now().saturating_sub(start).as_millis() as u64)
    }

    /// Returns the socket for datagrams between hosts.
    pub fn peer_socket(&self) -> Option<Rc<UdpSocket>> {
        self.peer_socket.borrow().clone()
    }

    /// Sets the socket for datagrams between hosts.
    pub fn set_peer_socket(&self, socket: Option<Rc<UdpSocket>>) {
        *self.peer_socket.borrow_mut() = socket;
    }

    /// Records that this host's own work includes a grant of a dispatcher.
    pub fn record_grant(&self, dispatcher: &id::Host, number: u64) {
        let mut last_grants = self.last_grants.borrow_mut();
        let last = last_grants.entry(dispatcher.clone()).or_default();
        *last = number.max(*last);
        drop(last_grants);
        if *dispatcher == self.settings.host.name {
            self.state_mut().load.acknowledge_grants(dispatcher, number);
        }
        self.work_changed.notify_one();
    }

    /// Returns the number of a dispatcher's last grant that this host's own work includes.
    pub fn last_grant(&self, dispatcher: &id::Host) -> u64 {
        self.last_grants.borrow().get(dispatcher).copied().unwrap_or_default()
    }

    /// Counts another host's request as open until the returned guard is dropped; `None` if `most`
    /// are open.
    pub fn open_peer_request(&self, most: usize) -> Option<OpenRequest> {
        (self.open_peer_requests.get() < most).then(|| OpenRequest::new(&self.open_peer_requests))
    }

    /// Returns whether this host reaches no target, and other hosts do.
    pub fn should_use_proxies(&self) -> bool {
        let state = self.state();
        state.reachability.is_cut_off() && state.membership.has_proxy()
    }

    /// Returns whether this host reaches no target.
    pub fn is_cut_off(&self) -> bool {
        self.state().reachability.is_cut_off()
    }

    /// Starts the shutdown and returns its schedule.
    pub fn start_shutdown(&self) -> Schedule {
        let schedule = Schedule::new(clock::now(), self.bounds().grace);
        self.shutdown.send_replace(Some(schedule));
        self.shutdown_started.notify_waiters();
        schedule
    }

    /// Returns the schedule of the shutdown; `None` before it.
    pub fn shutdown_schedule(&self) -> Option<Schedule> {
        *self.shutdown.borrow()
    }

    /// Waits until the shutdown has started, and returns its schedule.
    pub async fn shutdown_scheduled(&self) -> Schedule {
        let mut shutdown = self.shutdown.subscribe();
        loop {
            if let Some(schedule) = *shutdown.borrow_and_update() {
                return schedule;
            }
            if shutdown.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns whether the host can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.state().configuration.is_some()
    }

    /// Returns whether this host knows configuration and targets, reaches targets, and is not
    /// shutting down, so that it can be the dispatcher of other hosts.
    pub fn can_dispatch(&self) -> bool {
        self.is_ready() && self.state().targets_watch.is_known() && !self.is_cut_off()
    }

    /// Elects the dispatcher from what this host knows now; returns whether it changed.
    pub fn elect_dispatcher(&self) -> bool {
        let can_dispatch = self.can_dispatch();
        let (mut state, now) = (self.state_mut(), clock::now());
        let targets_age = can_dispatch.then(|| state.targets_watch.age(now));
        state.membership.elect_dispatcher(targets_age, now)
    }

    /// Takes calls beyond the first of their request from the budget of a service; returns whether
    /// there were enough left.
    pub fn take_calls(&self, service: &id::Service, count: u32) -> bool {
        self.with_budget(service, |budget, hosts, now| budget.try_take(count, hosts, now))
    }

    /// Returns whether the budget of a service has this many calls left.
    pub fn permits_calls(&self, service: &id::Service, count: u32) -> bool {
        self.with_budget(service, |budget, hosts, now| budget.permits(count, hosts, now))
    }

    /// Returns what this host has taken of the budget of a service, and the number of hosts that
    /// share it.
    pub fn budget_usage(&self, service: &id::Service) -> (Usage, usize) {
        self.with_budget(service, |budget, hosts, now| (budget.usage(hosts, now), hosts))
    }

    /// Counts a caller's request in the retry budget of its service.
    pub fn count_request(&self, service: &id::Service) {
        self.with_budget(service, |budget, _, now| budget.count_request(now));
    }

    /// Returns how far this host may rely on the configuration in force.
    pub fn configuration_knowledge(&self) -> Knowledge {
        let (state, now) = (self.state(), clock::now());
        let watch = &state.configuration_watch;
        let freshness = &state.accounts.freshness;
        let revocation = self.bounds().revocation;
        let age = match revocation {
            Some(_) => freshness.age(now).unwrap_or(Duration::MAX),
            None => watch.age(now),
        };
        Knowledge {
            is_proven: revocation.is_none_or(|bound| freshness.is_within(bound, now)),
            is_recent: age < RECENT_AGE && !watch.is_behind() && freshness.is_readable(),
        }
    }

    /// Records the version by which another host handled a request of this one. If it is newer than the
    /// one in force, this host reads it.
    pub fn record_handled_version(&self, version: id::Version) {
        let is_superseded = {
            let state = &mut *self.state_mut();
            state.handled_version = state.handled_version.max(version);
            if state.is_superseded() {
                state.configuration_watch.mark_behind(clock::now());
            }
            state.is_superseded()
        };
        if is_superseded {
            self.update_missed.notify_waiters();
        }
    }

    /// Returns the age of the proof that the configuration in force is the newest, in milliseconds;
    /// `None` without one.
    pub fn proven_age_ms(&self) -> Option<u64> {
        self.bounds().revocation?;
        let age = self.state().accounts.freshness.age(clock::now())?;
        Some(age.as_millis() as u64)
    }

    /// Applies an operation to the retry budget of a service, with the bounds in force, given the
    /// number of hosts that share the budget and the time.
    fn with_budget<T>(
        &self,
        service: &id::Service,
        operation: impl FnOnce(&mut Budget, usize, Moment) -> T,
    ) -> T {
        let (config, now) = (self.bounds().retries, clock::now());
        let mut state = self.state_mut();
        let hosts = state.membership.budget_sharers(now);
        let budget = state
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(config, self.started_at));
        budget.set_config(config);
        operation(budget, hosts, now)
    }

    /// Returns the software version of a target, if it announces one.
    pub fn software_version(&self, key: Key) -> Option<id::SoftwareVersion> {
        self.state().registry.get(key)?.software_version.clone()
    }

    /// Logs changes of targets, closes idle connections to draining and removed targets, and drops
    /// the state of removed ones.
    pub fn record_target_events(&self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Added(key, id) => {
                    let version = self.software_version(key);
                    tracing::info!(code = 8001, target = %id, software = version.as_deref(), "target added");
                    notice::restore(self, key);
                }
                Event::Draining(key, id) => {
                    self.pool.close_idle(&key);
                    notice::restore(self, key);
                    tracing::info!(code = 8002, target = %id, "target draining; nothing new is sent to it");
                }
                Event::Withheld(key, id) => {
                    self.pool.close_idle(&key);
                    tracing::info!(code = 8048, target = %id, "target that left is listed again; not used until it proves to be back");
                }
                Event::Removed(key, id) => {
                    self.pool.close_idle(&key);
                    let mut state = self.state_mut();
                    state.load.forget_target(key);
                    state.prefix_cache.forget(key);
                    state.slowness.forget(key);
                    state.availability.forget(key, &id, clock::now());
                    state.rate_limits.forget(key);
                    state.refusals.forget(key);
                    state.reachability.forget(key);
                    tracing::info!(code = 8003, target = %id, "target gone");
                }
            }
        }
        self.state_mut().observe_versions(clock::now());
        self.metrics.target_count.set(self.state().registry.len() as i64);
    }
}
