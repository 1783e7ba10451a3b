//! Entry hosts that run authority alone, in one process, against the stand-in platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    authority::{Authority, Config, Fleet, Listing, Peers},
    clock, drain, id, lease,
    lease::Owner,
    link::peer::wire::{DrainQuestion, DrainStatus, StopQuestion, StopStatus},
    metric::Metrics,
    order, settings,
    standin::platform::{Config as PlatformConfig, Platform},
    store::{self, HostList, Kind, Machine, State},
    target::{self, Action, Control, Failure, Fence, Order, Receipt, Report},
};

/// Longest wait for anything; only a hang takes so long.
const HANG: Duration = Duration::from_secs(90);
const LOOK_EVERY: Duration = Duration::from_millis(50);
pub(crate) const GROUP: &str = "local/engines";

pub(crate) type Runner = Authority<store::Client, View, Network>;

/// Timing that keeps the tests short.
pub(crate) fn quick() -> Config {
    let send_window = Duration::from_millis(300);
    let clock_drift = Duration::from_millis(200);
    Config {
        lease: lease::Config {
            duration: Duration::from_millis(1_500),
            clock_drift,
            renew_every: Duration::from_millis(500),
            stagger: Duration::from_millis(100),
        },
        order: order::Config {
            drain: drain::Config {
                max_view_age: Duration::from_millis(1_500),
                clock_drift,
                send_window,
            },
            retry_every: Duration::from_millis(300),
        },
        read_every: Duration::from_millis(200),
        report_every: Duration::from_millis(200),
        gone_after: Duration::from_secs(1),
        ..Config::default()
    }
}

/// Waits until `condition` gives a value.
pub(crate) fn wait<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(started.elapsed() < HANG, "hangs: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Holds an order back right before its last byte.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    closed: Mutex<bool>,
    changed: Condvar,
    reached: AtomicBool,
}

impl Gate {
    pub(crate) fn close(&self) {
        *self.closed.lock().unwrap() = true;
    }

    pub(crate) fn open(&self) {
        *self.closed.lock().unwrap() = false;
        self.changed.notify_all();
    }

    pub(crate) fn is_reached(&self) -> bool {
        self.reached.load(Ordering::SeqCst)
    }

    fn pass(&self) {
        let closed = self.closed.lock().unwrap();
        if *closed {
            self.reached.store(true, Ordering::SeqCst);
        }
        drop(self.changed.wait_while(closed, |it| *it).unwrap());
    }
}

/// A target whose orders pass a gate.
#[derive(Debug, Clone)]
pub(crate) struct Gated {
    client: target::Client,
    gate: Arc<Gate>,
}

impl Control for Gated {
    fn report(&self) -> Result<Report, Failure> {
        self.client.report()
    }

    fn send_order(
        &self,
        order: &Order,
        confirm: impl FnOnce() -> bool,
    ) -> Result<Receipt, Failure> {
        let is_change = order.action != Action::Nothing;
        self.client.send_order(order, || {
            if is_change {
                self.gate.pass();
            }
            confirm()
        })
    }
}

/// The fleet as one host sees it.
#[derive(Debug, Clone)]
pub(crate) struct View {
    listing: Arc<Mutex<Listing>>,
    gate: Arc<Gate>,
    pub(crate) drained: Arc<Mutex<BTreeSet<id::Target>>>,
    pub(crate) busy: Arc<Mutex<BTreeSet<id::Target>>>,
}

impl Fleet for View {
    type Control = Gated;

    fn listing(&self) -> Listing {
        self.listing.lock().unwrap().clone()
    }

    fn control(&self, target: &str) -> Option<Gated> {
        let listing = self.listing();
        let machine = listing.machines.iter().find(|it| it.name == target)?;
        let client = target::Client::new(machine.address, &settings::Targets::default());
        Some(Gated { client, gate: Arc::clone(&self.gate) })
    }

    fn set_drained(&self, targets: &BTreeSet<id::Target>) {
        *self.drained.lock().unwrap() = targets.clone();
    }

    fn has_requests(&self, target: &str) -> bool {
        self.busy.lock().unwrap().contains(target)
    }
}

/// Questions between the hosts of one test; paused hosts do not answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Network {
    nodes: Arc<Mutex<BTreeMap<id::Host, Node>>>,
    is_cut: Arc<AtomicBool>,
}

/// One host as the others reach it.
#[derive(Debug)]
struct Node {
    runner: Runner,
    paused: Arc<AtomicBool>,
}

impl Network {
    fn runner(&self, host: &str) -> Option<Runner> {
        if self.is_cut.load(Ordering::SeqCst) {
            return None;
        }
        let nodes = self.nodes.lock().unwrap();
        let node = nodes.get(host)?;
        (!node.paused.load(Ordering::SeqCst)).then(|| node.runner.clone())
    }
}

impl Peers for Network {
    fn has_stopped(&self, group: &id::Group, earlier: &order::Tenure) -> Option<bool> {
        let (group, incarnation) = (group.clone(), earlier.owner.incarnation);
        let question = StopQuestion { group, incarnation, epoch: earlier.epoch };
        Some(self.runner(&earlier.owner.host)?.stop_status(&question) == StopStatus::Stopped)
    }

    fn has_drained(
        &self,
        host: &id::Host,
        group: &id::Group,
        target: &id::Target,
        revision: id::Version,
    ) -> Option<bool> {
        let question = DrainQuestion { group: group.clone(), target: target.clone(), revision };
        Some(self.runner(host)?.drain_status(&question) == DrainStatus::Drained)
    }
}

/// One host.
pub(crate) struct Host {
    pub(crate) runner: Runner,
    pub(crate) view: View,
    pub(crate) gate: Arc<Gate>,
    pub(crate) metrics: Metrics,
    paused: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Host {
    pub(crate) fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
    }

    pub(crate) fn wake(&self) {
        self.paused.store(false, Ordering::SeqCst);
    }

    pub(crate) fn holds(&self) -> bool {
        self.runner.view().groups.iter().any(|it| it.group == GROUP && it.held_here)
    }

    pub(crate) fn epoch(&self) -> id::Epoch {
        let view = self.runner.view();
        view.groups.iter().find(|it| it.group == GROUP).map_or(0, |it| it.epoch)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.gate.open();
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A platform with hosts.
pub(crate) struct Site {
    pub(crate) platform: Platform,
    pub(crate) hosts: Vec<Host>,
    network: Network,
}

impl Site {
    /// Starts a platform and `count` hosts; the platform lists runs for `dropped_after`.
    pub(crate) fn start(count: u64, config: &Config, dropped_after: Duration) -> Site {
        let platform =
            Platform::start(PlatformConfig { dropped_after, ..PlatformConfig::default() }).unwrap();
        let network = Network::default();
        let address = platform.address();
        let hosts = (1..=count).map(|it| start_host(it, config, address, &network)).collect();
        Site { platform, hosts, network }
    }

    /// Cuts every host off from every other.
    pub(crate) fn cut_peers(&self) {
        self.network.is_cut.store(true, Ordering::SeqCst);
    }

    pub(crate) fn client(&self) -> store::Client {
        client(self.platform.address())
    }

    /// Waits until one of the hosts named holds the group; returns its place.
    pub(crate) fn holder(&self, among: impl Fn(usize) -> bool) -> usize {
        let holding = |it: &usize| among(*it) && self.hosts[*it].holds();
        wait("a host holds the group", || (0..self.hosts.len()).find(holding))
    }

    /// Asks for a change until the holder takes it.
    pub(crate) fn request(&self, target: &str, action: &Action, among: impl Fn(usize) -> bool) {
        let target = id::Target::new(target);
        wait("a holder takes the request", || {
            let holder = self.holder(&among);
            let runner = &self.hosts[holder].runner;
            runner.request_change(GROUP, &target, action.clone()).ok()
        });
    }
}

fn client(address: SocketAddr) -> store::Client {
    store::Client::new(&settings::Platform { address, ..settings::Platform::default() })
}

fn start_host(number: u64, config: &Config, platform: SocketAddr, network: &Network) -> Host {
    let owner = Owner { host: format!("host-{number}").into(), incarnation: number };
    let client = client(platform);
    let gate = Arc::new(Gate::default());
    let view = View {
        listing: Arc::default(),
        gate: Arc::clone(&gate),
        drained: Arc::default(),
        busy: Arc::default(),
    };
    let metrics = Metrics::local();
    let runner = Authority::new(
        owner.clone(),
        config.clone(),
        client.clone(),
        view.clone(),
        network.clone(),
        metrics.clone(),
    );
    let paused = Arc::new(AtomicBool::new(false));
    let stopped = Arc::new(AtomicBool::new(false));
    let node = Node { runner: runner.clone(), paused: Arc::clone(&paused) };
    network.nodes.lock().unwrap().insert(owner.host.clone(), node);
    let machine = Machine {
        name: owner.host,
        kind: Kind::Entry,
        data_centre: "local".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer_address: None,
        incarnation: owner.incarnation,
        state: State::Live,
    };
    let thread = {
        let (runner, view) = (runner.clone(), view.clone());
        let (paused, stopped) = (Arc::clone(&paused), Arc::clone(&stopped));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                if !paused.load(Ordering::SeqCst) {
                    look(&runner, &view, &client, &machine);
                }
                thread::sleep(LOOK_EVERY);
            }
        })
    };
    Host { runner, view, gate, metrics, paused, stopped, thread: Some(thread) }
}

fn look(runner: &Runner, view: &View, client: &store::Client, machine: &Machine) {
    let _ = client.report(machine);
    let read_at = clock::now();
    if let Ok(machines) = client.machines() {
        *view.listing.lock().unwrap() = Listing { machines: Arc::new(machines), read_at };
    }
    runner.tick();
}

/// Returns the changes that a target received, in order of arrival.
pub(crate) fn changes(engine: &fuchsiaknot::standin::engine::Engine) -> Vec<(Fence, Action)> {
    let record = engine.record();
    let orders = record.orders.iter().filter(|it| it.action != Action::Nothing);
    orders.map(|it| (it.fence, it.action.clone())).collect()
}
