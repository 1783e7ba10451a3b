//! One entry host: builds its parts, starts them and ends them in order.

pub mod process;

use std::{
    collections::HashSet,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    admit::{self, Admission},
    claim::{self, Claimant},
    clock,
    contract::store::Store,
    cost::{self, Lengths},
    crash, event,
    event::Event,
    id,
    link::{front::Front, runtime},
    metric::Metrics,
    platform::{self, HostList, Kind, Machine, State},
    refresh::{NoPeers, Refresh},
    route::{self, Router},
    serve::{self, Callers, Context, Departure, Fleet, Gate, Hosts, Peers, Retries, Watch},
    settings::Settings,
    timer::Timer,
};

/// Time between two readings of the host list, and between two reports to it.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Time between two looks at what waits for admission.
const ADMIT_EVERY: Duration = Duration::from_millis(20);
/// Time between two looks at what a leaving host still runs.
const LEAVE_CHECK: Duration = Duration::from_millis(20);
/// Time that the last claims may take to be stored at the end.
const FLUSH_TIME: Duration = Duration::from_secs(10);

/// A daemon that could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; free the address or change the settings")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A part could not start.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The receiver of metrics is not usable.
    #[error("cannot send metrics: {0}; check host.metrics_address")]
    Metrics(#[from] cadence::MetricError),
}

/// A running entry host.
#[derive(Debug)]
pub struct Daemon {
    ctx: Arc<Context>,
    front: Front,
    timer: Timer,
    machine: Arc<Mutex<Machine>>,
    platform: platform::Client,
}

impl Daemon {
    /// Starts an entry host.
    ///
    /// # Errors
    /// Fails when an address cannot be listened on or the system refuses a thread.
    pub fn start(settings: Settings) -> Result<Daemon, Error> {
        let listener = listen(settings.host.callers_address)?;
        let incarnation = rand::random();
        let machine = Machine {
            name: settings.host.name.clone(),
            kind: Kind::Entry,
            data_centre: settings.host.data_centre.clone(),
            address: listener.local_addr()?,
            peer_address: None,
            incarnation,
            state: State::Live,
        };
        let platform = platform::Client::new(&settings.platform);
        let ctx = Arc::new(context(settings, &platform, incarnation)?);
        let timer = Timer::new();
        let machine = Arc::new(Mutex::new(machine));
        subscribe(&ctx);
        schedule(&ctx, &timer, &platform, &machine);
        let bounds = (&ctx.settings.callers).into();
        let callers = Arc::new(Callers::new(Arc::clone(&ctx)));
        let front = Front::start(listener, bounds, callers, ctx.metrics.clone())?;
        let name = &ctx.settings.host.name;
        event!(Event::Started, "host {name} serves callers on {}", front.address());
        Ok(Daemon { ctx, front, timer, machine, platform })
    }

    /// Returns the callers' address.
    pub fn callers_address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns what the requests of this host share.
    pub fn context(&self) -> &Arc<Context> {
        &self.ctx
    }

    /// Leaves: tells the platform at once, refuses new requests soon, and returns when the last
    /// request has ended.
    pub fn leave(&self) {
        let host = &self.ctx.settings.host;
        event!(Event::ShutdownBegun, "host {} leaves", host.name);
        self.ctx.departure.begin(clock::now() + host.leave_after);
        self.report(State::Leaving);
        while !self.ctx.departure.refuses(clock::now()) || 0 < self.ctx.departure.open() {
            std::thread::sleep(LEAVE_CHECK);
        }
        self.front.stop();
        while 0 < self.front.open() {
            std::thread::sleep(LEAVE_CHECK);
        }
        if !self.ctx.claims.flush(FLUSH_TIME) {
            log::warn!(
                "the last answers are not stored; their callers hear that they may have run"
            );
        }
        self.timer.stop();
        event!(Event::ShutdownDone, "host {} has left", host.name);
    }

    fn report(&self, state: State) {
        let machine = {
            let mut machine = self.machine.lock().expect("machine lock poisoned");
            machine.state = state;
            machine.clone()
        };
        if let Err(fault) = self.platform.report(&machine) {
            log::warn!("the platform does not know that this host leaves: {fault}");
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })
}

fn context(
    settings: Settings,
    platform: &platform::Client,
    incarnation: id::Incarnation,
) -> Result<Context, Error> {
    let metrics = match settings.host.metrics_address {
        Some(address) => Metrics::statsd(address)?,
        None => Metrics::local(),
    };
    let store = Store::new(platform.clone(), platform.clone());
    let refresh = Refresh::new(store, NoPeers, settings.host.configuration_bound);
    let router = Router::new(route::Config::default(), rand::random());
    let claimant = Claimant { host: settings.host.name.clone(), incarnation };
    let config = claim::Config { claimant };
    let claims = serve::Claims::start(config, platform.clone(), platform.clone(), Peers)?;
    let crashes = crash::Watch::start(crash::Config::default(), platform.clone())?;
    Ok(Context {
        fleet: Fleet::new(router, settings.targets.clone()),
        hosts: Hosts::new(settings.host.name.clone()),
        gate: Gate::new(Admission::new(admit::Config::default())),
        watch: Watch::default(),
        lengths: Mutex::new(Lengths::new(cost::Config::default())),
        retries: Retries::default(),
        departure: Departure::default(),
        settings,
        metrics,
        refresh,
        claims,
        crashes,
    })
}

/// Passes each new configuration on to admission.
fn subscribe(ctx: &Arc<Context>) {
    let weak = Arc::downgrade(ctx);
    ctx.refresh.subscribe(move |contract| {
        if let Some(ctx) = weak.upgrade() {
            ctx.gate.with(|admission, now| admission.contract(&contract.limits, now));
        }
    });
}

/// Subscribes the parts that run at intervals.
fn schedule(
    ctx: &Arc<Context>,
    timer: &Timer,
    platform: &platform::Client,
    machine: &Arc<Mutex<Machine>>,
) {
    ctx.refresh.start(timer, ctx.settings.platform.refresh);
    let (it, client, own) = (Arc::clone(ctx), platform.clone(), Arc::clone(machine));
    timer.every("hosts", LIST_EVERY, move |_| list(&it, &client, &own));
    let it = Arc::clone(ctx);
    timer.every("admission", ADMIT_EVERY, move |_| it.gate.advance(it.fleet.router()));
    let it = Arc::clone(ctx);
    timer.every("streams", serve::CHECK_EVERY, move |now| it.watch.check(now));
    let it = Arc::clone(ctx);
    let busy = Arc::new(Mutex::new(HashSet::new()));
    timer.every("reports", ctx.settings.targets.report_every, move |_| observe(&it, &busy));
}

/// Reports this host to the platform and takes over its list.
fn list(ctx: &Context, platform: &platform::Client, machine: &Mutex<Machine>) {
    let machine = machine.lock().expect("machine lock poisoned").clone();
    if let Err(fault) = platform.report(&machine) {
        log::debug!("the platform did not take this host's report: {fault}");
    }
    let Ok(machines) = platform.machines() else { return };
    ctx.fleet.list(&machines);
    ctx.hosts.list(&machines);
    let hosts = machines.iter().filter(|it| it.kind == Kind::Entry).count();
    ctx.gate.with(|admission, now| admission.hosts(hosts, now));
}

/// Asks each target for its report, unless the last question to it is still open.
fn observe(ctx: &Arc<Context>, busy: &Arc<Mutex<HashSet<id::Target>>>) {
    for (machine, _) in ctx.fleet.targets() {
        if !busy.lock().expect("report lock poisoned").insert(machine.name.clone()) {
            continue;
        }
        let (ctx, busy) = (Arc::clone(ctx), Arc::clone(busy));
        runtime::handle().spawn_blocking(move || {
            ctx.fleet.observe(&machine.name);
            busy.lock().expect("report lock poisoned").remove(&machine.name);
        });
    }
}
