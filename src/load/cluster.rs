//! The daemons and stand-ins of one run.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use smol_str::{SmolStr, format_smolstr};

use crate::{
    configuration::{
        Change, Configuration, Customer, Limits, Lists, RawAnnouncement, RawSubject,
        store::{Edit, Outcome, Store},
    },
    daemon::Daemon,
    id,
    load::{Error, Scenario},
    settings,
    settings::{Decisions, Policy, Settings},
    standin::{Engine, Platform, Service, engine, heartbeat::Listing, platform, service},
    store as services,
    target::Role,
    utils,
};

/// Model that the engines serve.
pub(super) const MODEL: &str = "draft";
/// Plain service.
pub(super) const SERVICE: &str = "orders";
/// Key that the hosts share.
const PEERS_KEY: &str = "load-run-peers-key";
/// Time for all hosts to know the fleet and the lists.
const READY_TIME: Duration = Duration::from_secs(20);

/// A running fleet with its entry hosts.
pub(super) struct Cluster {
    pub(super) daemons: Vec<Mutex<Option<Daemon>>>,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) engines: Vec<(id::Target, id::DataCentre, Engine)>,
    pub(super) services: Vec<Service>,
    pub(super) platform: Platform,
}

impl Cluster {
    /// Starts everything and waits until each host knows the whole fleet.
    pub(super) fn start(scenario: &Scenario, policy: Policy) -> Result<Cluster, Error> {
        let platform = Platform::start(platform::Config::default())?;
        let address = platform.address();
        store_lists(scenario, address)?;
        let engines = engines(scenario, policy, address)?;
        let services = replicas(scenario, address)?;
        let mut daemons = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..scenario.fleet.hosts {
            let daemon = Daemon::start(host(scenario, policy, number, address))?;
            addresses.push(daemon.callers_address());
            daemons.push(Mutex::new(Some(daemon)));
        }
        let cluster = Cluster { daemons, addresses, engines, services, platform };
        cluster.wait_ready()?;
        Ok(cluster)
    }

    fn wait_ready(&self) -> Result<(), Error> {
        let begun = Instant::now();
        let all = self.engines.len() + self.services.len();
        loop {
            let ready = self.with_daemons(|_, it| {
                let known = it.context().fleet.targets();
                let reported = known.iter().filter(|(_, report)| report.is_some()).count();
                reported == all && !it.context().configuration().limits.is_empty()
            });
            if ready.into_iter().all(|it| it) {
                return Ok(());
            }
            if READY_TIME < begun.elapsed() {
                return Err(Error::Lists("the hosts did not learn of the fleet in time".into()));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Switches an outage of the whole store on or off.
    pub(super) fn store_down(&self, down: bool) {
        let faults = platform::Faults {
            table_down: down,
            objects_down: down,
            hosts_down: down,
            ..platform::Faults::default()
        };
        let url = format!("http://{}/faults", self.platform.address());
        if let Err(err) = ureq::post(url).send_json(&faults) {
            log::warn!("the platform did not take its faults: {err}; the run is not disturbed");
        }
    }

    /// Calls a function for each host that runs.
    pub(super) fn with_daemons<T>(&self, mut call: impl FnMut(usize, &Daemon) -> T) -> Vec<T> {
        let mut results = Vec::new();
        for (number, daemon) in self.daemons.iter().enumerate() {
            if let Some(daemon) = &*daemon.lock().expect("daemon lock poisoned") {
                results.push(call(number, daemon));
            }
        }
        results
    }
}

fn store_lists(scenario: &Scenario, address: SocketAddr) -> Result<(), Error> {
    let settings = settings::Platform { address, ..settings::Platform::default() };
    let client = services::Client::new(&settings);
    let edit = Edit {
        from: 0,
        lists: Lists::from(&contract(scenario)),
        author: SmolStr::new_static("load"),
        edited_ms: 0,
        token: 1,
    };
    match Store::new(client.clone(), client).edit(&edit) {
        Ok(Outcome::Stored(_)) => Ok(()),
        Ok(Outcome::Conflict { .. }) => Err(Error::Lists("another edit came first".into())),
        Err(err) => Err(Error::Lists(err.to_string())),
    }
}

/// Announces that an engine leaves after a time.
pub(super) fn announce(platform: SocketAddr, target: &str, after: Duration) -> Result<(), Error> {
    let settings = settings::Platform { address: platform, ..settings::Platform::default() };
    let client = services::Client::new(&settings);
    let store = Store::new(client.clone(), client);
    let edition = store.current().map_err(|it| Error::Lists(it.to_string()))?;
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let edited_ms = wall.as_millis() as u64;
    let mut lists = edition.lists;
    lists.announcements.push(RawAnnouncement {
        id: SmolStr::new_static("leaves"),
        change: Change::Withdraw,
        subject: RawSubject::Target(target.into()),
        added_in: edition.version + 1,
        after_ms: after.as_millis() as u64,
        announced_ms: edited_ms,
    });
    let author = SmolStr::new_static("load");
    let edit = Edit { from: edition.version, lists, author, edited_ms, token: 2 };
    store.edit(&edit).map(drop).map_err(|it| Error::Lists(it.to_string()))
}

/// Returns the key of a plan's customer.
pub(super) fn key(plan: &str) -> String {
    format!("load-{plan}")
}

fn contract(scenario: &Scenario) -> Configuration {
    let (mut customers, mut limits) = (HashMap::new(), HashMap::new());
    for (name, plan) in &scenario.plans {
        let customer = Customer { name: name.clone(), plan: name.clone() };
        customers.insert(utils::key_hash(&key(name)).into(), customer);
        let limit = Limits {
            weight: plan.weight,
            first_token: scenario.scaled(plan.first_token),
            between_tokens: scenario.scaled(plan.between_tokens),
            requests_per_second: 100_000.0,
            tokens_per_second: 1e9,
            concurrent: 100_000,
            ..Limits::default()
        };
        limits.insert(name.clone(), limit);
    }
    Configuration { customers, limits, ..Configuration::default() }
}

fn engines(
    scenario: &Scenario,
    policy: Policy,
    platform: SocketAddr,
) -> Result<Vec<(id::Target, id::DataCentre, Engine)>, Error> {
    let mut engines = Vec::new();
    for number in 0..scenario.fleet.engines {
        let (name, data_centre) = place(scenario, "engine", number);
        let config = engine::Config {
            listing: listing(&name, &data_centre, platform),
            role: role(scenario, policy, number),
            model: MODEL.into(),
            slots: scenario.fleet.slots,
            prefill_rate: scenario.fleet.prefill_rate,
            step_base: scenario.fleet.step_base,
            step_per_request: scenario.fleet.step_per_request,
            kv_capacity: scenario.fleet.kv_capacity as u64,
            change_time: scenario.fleet.change_time,
            report_lag: scenario.scaled(scenario.fleet.report_lag),
            event_lag: scenario.scaled(scenario.fleet.report_lag),
            event_gap: Some(11),
            time_scale: scenario.run.time_scale,
            ..engine::Config::default()
        };
        engines.push((name, data_centre, Engine::start(config)?));
    }
    Ok(engines)
}

/// Returns the role in which an engine begins.
///
/// The mixed policy begins all mixed and the static one with halves; the others as the scenario
/// says.
fn role(scenario: &Scenario, policy: Policy, number: u32) -> Role {
    let fleet = &scenario.fleet;
    match policy {
        Policy::Mixed => Role::Mixed,
        Policy::Static if number.is_multiple_of(2) => Role::Prefill,
        Policy::Static => Role::Decode,
        _ if number < fleet.prefill => Role::Prefill,
        _ if number < fleet.prefill + fleet.decode => Role::Decode,
        _ => Role::Mixed,
    }
}

fn replicas(scenario: &Scenario, platform: SocketAddr) -> Result<Vec<Service>, Error> {
    let mut replicas = Vec::new();
    for number in 0..scenario.fleet.services {
        let (name, data_centre) = place(scenario, "service", number);
        let config = service::Config {
            listing: listing(&name, &data_centre, platform),
            service: SERVICE.into(),
            ..service::Config::default()
        };
        replicas.push(Service::start(config)?);
    }
    Ok(replicas)
}

fn place(scenario: &Scenario, kind: &str, number: u32) -> (SmolStr, id::DataCentre) {
    let centres = &scenario.fleet.data_centres;
    let centre = centres[number as usize % centres.len()].clone();
    (format_smolstr!("{kind}-{number}"), centre)
}

fn listing(name: &SmolStr, data_centre: &id::DataCentre, platform: SocketAddr) -> Listing {
    Listing {
        platform: Some(platform),
        name: name.clone(),
        data_centre: data_centre.clone(),
        ..Listing::default()
    }
}

fn host(scenario: &Scenario, policy: Policy, number: u32, platform: SocketAddr) -> Settings {
    let (name, data_centre) = place(scenario, "host", number);
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let decisions = Decisions { policy: policy.name().into(), time_scale: scenario.run.time_scale };
    Settings {
        host: settings::Host {
            name,
            data_centre,
            callers_address: free,
            operators_address: free,
            peers_address: free,
            ..settings::Host::default()
        },
        platform: settings::Platform { address: platform, ..settings::Platform::default() },
        peers: settings::Peers { key: PEERS_KEY.into(), ..settings::Peers::default() },
        targets: settings::Targets {
            report_every: scenario.scaled(Duration::from_millis(400)),
            ..settings::Targets::default()
        },
        decisions,
        ..Settings::default()
    }
}
