//! The daemon of one entry host: creates its components, starts them, and stops them in order.

mod adapters;
mod operate;
mod peer;
mod planner;
pub mod process;
mod shares;

use std::{
    collections::HashSet,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use self::{
    adapters::{Authority, FleetAdapter},
    peer::PeerHandler,
    planner::FleetPlanner,
    shares::ShareExchange,
};
use crate::{
    admit::Admission,
    authority,
    claim::{self, Claimant},
    clock,
    configuration::store::Store,
    cost::OutputLengths,
    crash, event,
    event::Event,
    host::OwnState,
    id, lease, link,
    link::{
        http_server::Server,
        peer::{
            Links, Listener,
            handshake::Key,
            wire::{Load, Member},
        },
        runtime,
    },
    metric::Metrics,
    operate::{ListenError, Port},
    refresh::{Freshness, Refresher},
    route::Router,
    serve::{
        self, AdmissionQueue, CallerApi, Context, Fleet, Members, Peers, Registry, RetryBudgets,
        Shutdown, StreamMonitor,
    },
    settings::Settings,
    store,
    store::{Kind, State},
    timer::Timer,
};

/// Time without a call after which a connection from a peer is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which queued requests are considered for admission.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the share exchange and of planning.
const PLANNING_INTERVAL: Duration = Duration::from_millis(500);
/// Lower bound of the planning interval in experiments that run faster than real time.
const MIN_PLANNING_INTERVAL: Duration = Duration::from_millis(100);
/// Polling interval while a leaving host waits for its requests and connections to end.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for storing the last answers, and for giving up the leases, during the shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {source}; free the address or change the settings")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A component could not start.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The operators' port could not be opened.
    #[error(transparent)]
    Operators(#[from] ListenError),
    /// The metrics address is not usable.
    #[error("cannot send metrics: {0}; check host.metrics_address")]
    Metrics(#[from] cadence::MetricError),
}

/// A running entry host.
#[derive(Debug)]
pub struct Daemon {
    ctx: Arc<Context>,
    authority: Authority,
    caller_server: Server,
    peers: Listener,
    operators: Port,
    timer: Timer,
}

impl Daemon {
    /// Starts an entry host.
    ///
    /// # Errors
    /// Fails if an address or the metrics receiver is not usable, or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Daemon, Error> {
        let callers = listen(settings.host.callers_address)?;
        let peers = listen(settings.host.peers_address)?;
        let own = Member {
            host: settings.host.name.clone(),
            incarnation: rand::random(),
            data_centre: settings.host.data_centre.clone(),
            callers_address: callers.local_addr()?,
            peers_address: peers.local_addr()?,
            state: State::Live,
        };
        let ctx = Arc::new(context(settings, own)?);
        let authority = authority(&ctx);
        let exchange = Arc::new(ShareExchange::new(Arc::clone(&ctx), authority.clone()));
        let handler = PeerHandler {
            ctx: Arc::clone(&ctx),
            authority: authority.clone(),
            exchange: Arc::clone(&exchange),
        };
        let peers = link::peer::listen(peers, peer_config(&ctx), Arc::new(handler))?;
        let bounds = (&ctx.settings.callers).into();
        let handler = Arc::new(CallerApi::new(Arc::clone(&ctx)));
        let caller_server = Server::start(callers, bounds, handler, ctx.metrics.clone())?;
        let address = ctx.settings.host.operators_address;
        let operators = operate::open_port(&ctx, &authority, address)?;
        let timer = Timer::new();
        subscribe(&ctx, &caller_server, &authority);
        schedule(&ctx, &timer);
        schedule_authority(&ctx, &timer, &authority, &exchange);
        let name = &ctx.settings.host.name;
        event!(Event::Started, "host {name} serves callers on {}", caller_server.address());
        Ok(Daemon { ctx, authority, caller_server, peers, operators, timer })
    }

    /// Returns the address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Returns the address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address for other entry hosts.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the state that the requests of this host share.
    pub fn context(&self) -> &Arc<Context> {
        &self.ctx
    }

    /// Shuts down gracefully. Reports to the platform and the peers at once that the host is
    /// leaving, refuses new requests after `host.leave_after`, and waits for the last request to
    /// end. Then it waits, up to a timeout each, until the last answers are stored and the leases
    /// are given up.
    pub fn leave(&self) {
        let host = &self.ctx.settings.host;
        event!(Event::ShutdownBegun, "host {} is shutting down", host.name);
        self.ctx.shutdown.begin(clock::now() + host.leave_after);
        self.ctx.members.leave();
        self.authority.leave();
        while !self.ctx.shutdown.refuses(clock::now()) || 0 < self.ctx.shutdown.open_requests() {
            std::thread::sleep(LEAVE_POLL_INTERVAL);
        }
        self.caller_server.stop();
        while 0 < self.caller_server.open_connections() {
            std::thread::sleep(LEAVE_POLL_INTERVAL);
        }
        if !self.ctx.claims.flush(FLUSH_TIMEOUT) {
            log::warn!(
                "cannot store the last answers in time; repeated requests get the verdict may-have-run"
            );
        }
        let deadline = clock::now() + FLUSH_TIMEOUT;
        while !self.authority.has_left() && clock::now() < deadline {
            std::thread::sleep(LEAVE_POLL_INTERVAL);
        }
        self.timer.stop();
        event!(Event::ShutdownDone, "host {} has shut down", host.name);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.timer.stop();
        self.ctx.refresher.unsubscribe_all();
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })
}

fn context(settings: Settings, own: Member) -> Result<Context, Error> {
    let platform = store::Client::new(&settings.platform);
    let metrics = match settings.host.metrics_address {
        Some(address) => Metrics::statsd(address)?,
        None => Metrics::local(),
    };
    let key = Key::from(settings.peers.key.as_str());
    let links = Links::new(key, settings.peers.timeout);
    let incarnation = own.incarnation;
    let members = Members::new(
        own,
        platform.clone(),
        links,
        &settings.peers,
        settings.host.configuration_bound,
    );
    let store = Store::new(platform.clone(), platform.clone());
    let refresher = Refresher::new(store, members.clone(), settings.host.configuration_bound);
    let router = Router::new(settings.decisions.route_config(), rand::random());
    let claimant = Claimant { host: settings.host.name.clone(), incarnation };
    let config = claim::Config { claimant };
    let peers = Peers(members.clone());
    let claims = serve::Claims::start(config, platform.clone(), platform.clone(), peers)?;
    let crashes = crash::Registry::start(crash::Config::default(), platform)?;
    Ok(Context {
        fleet: Fleet::new(router, settings.targets.clone()),
        admission: AdmissionQueue::new(Admission::new(settings.decisions.admission_config())),
        streams: StreamMonitor::default(),
        requests: Registry::default(),
        output_lengths: Mutex::new(OutputLengths::new(settings.decisions.cost_config())),
        retry_budgets: RetryBudgets::default(),
        shutdown: Shutdown::default(),
        settings,
        metrics,
        refresher,
        claims,
        crashes,
        members,
    })
}

fn peer_config(ctx: &Context) -> link::peer::Config {
    let peers = &ctx.settings.peers;
    link::peer::Config {
        key: Key::from(peers.key.as_str()),
        handshake_timeout: peers.timeout,
        idle_timeout: PEER_IDLE_TIMEOUT,
    }
}

/// Creates this host's authority over the groups of targets.
fn authority(ctx: &Arc<Context>) -> Authority {
    let settings = &ctx.settings;
    let own = ctx.members.own();
    let owner = lease::Owner { host: own.host, incarnation: own.incarnation };
    let mut config = authority::Config::default();
    config.order.drain.max_view_age = settings.host.configuration_bound;
    config.order.drain.send_window = settings.targets.send_window;
    let platform = store::Client::new(&settings.platform);
    let fleet = FleetAdapter::new(Arc::clone(ctx));
    let peers = adapters::PeerAdapter(ctx.members.clone());
    Authority::new(owner, config, platform, fleet, peers, ctx.metrics.clone())
}

/// Subscribes the components to changes of the configuration, the host list and the groups' rows,
/// and provides this host's state for heartbeats.
fn subscribe(ctx: &Arc<Context>, caller_server: &Server, authority: &Authority) {
    let it = authority.clone();
    ctx.refresher.watch_rows(move || it.row_keys());
    let it = authority.clone();
    ctx.refresher.subscribe_rows(move |snapshot| it.apply_rows(snapshot));
    let weak = Arc::downgrade(ctx);
    ctx.refresher.subscribe(move |configuration| {
        if let Some(ctx) = weak.upgrade() {
            ctx.admission.with(|admission, now| admission.set_limits(&configuration.limits, now));
        }
    });
    let weak = Arc::downgrade(ctx);
    ctx.members.subscribe(move |machines| {
        if let Some(ctx) = weak.upgrade() {
            ctx.fleet.update_targets(machines);
            let hosts = machines.iter().filter(|it| it.kind == Kind::Entry).count();
            ctx.admission.with(|admission, now| admission.set_host_count(hosts, now));
        }
    });
    let (weak, open) = (Arc::downgrade(ctx), caller_server.connection_counter());
    ctx.members.set_state_provider(move || match weak.upgrade() {
        Some(ctx) => own_state(&ctx, open.load(Ordering::Relaxed)),
        None => OwnState { version: None, freshness: Freshness::Starting, load: Load::default() },
    });
}

fn own_state(ctx: &Context, connections: usize) -> OwnState {
    let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
    let load =
        Load { connections: count(connections), capacity: count(ctx.settings.callers.connections) };
    let freshness = ctx.refresher.freshness();
    let version = match freshness {
        Freshness::Starting => None,
        _ => Some(ctx.configuration().version),
    };
    OwnState { version, freshness, load }
}

/// Schedules the periodic work of serving requests.
fn schedule(ctx: &Arc<Context>, timer: &Timer) {
    ctx.refresher.start(timer, ctx.settings.platform.refresh);
    ctx.members.start(timer, &ctx.settings.peers);
    let it = Arc::clone(ctx);
    timer.every("admission", ADMISSION_INTERVAL, move |_| it.admission.schedule(it.fleet.router()));
    let it = Arc::clone(ctx);
    timer
        .every("streams", serve::STREAM_CHECK_INTERVAL, move |now| it.streams.cancel_unneeded(now));
    let it = Arc::clone(ctx);
    let in_progress = Arc::new(Mutex::new(HashSet::new()));
    timer.every("reports", ctx.settings.targets.report_every, move |_| {
        poll_reports(&it, &in_progress)
    });
}

/// Schedules the periodic work of leases and orders, the share exchange and planning.
fn schedule_authority(
    ctx: &Arc<Context>,
    timer: &Timer,
    authority: &Authority,
    exchange: &Arc<ShareExchange>,
) {
    authority.start(timer);
    let period = PLANNING_INTERVAL.div_f64(ctx.settings.decisions.time_scale.max(1.0));
    let period = period.max(MIN_PLANNING_INTERVAL);
    let it = Arc::clone(exchange);
    timer.every("shares", period, move |_| it.run());
    let planner = FleetPlanner::new(Arc::clone(ctx), authority.clone(), Arc::clone(exchange));
    timer.every("planner", period, move |now| planner.run(now));
}

/// Requests the load report of each target, unless the previous request to it is still in progress.
fn poll_reports(ctx: &Arc<Context>, in_progress: &Arc<Mutex<HashSet<id::Target>>>) {
    for (machine, _) in ctx.fleet.targets() {
        if !in_progress.lock().expect("report lock poisoned").insert(machine.name.clone()) {
            continue;
        }
        let (ctx, in_progress) = (Arc::clone(ctx), Arc::clone(in_progress));
        runtime::handle().spawn_blocking(move || {
            ctx.fleet.poll_target(&machine.name);
            in_progress.lock().expect("report lock poisoned").remove(&machine.name);
        });
    }
}
