//! The demo's stand-in platform, targets and entry hosts.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use smol_str::{SmolStr, format_smolstr};

use super::{API_KEY, Caller, Error, MODEL, SERVICE};
use crate::{
    configuration::{
        Lists,
        store::{Edit, Store},
    },
    daemon::Daemon,
    settings::{self, Settings},
    standin::{self, engine, heartbeat::Listing, service},
    store, utils,
};

/// Data centres of the demo, each with one entry host and one engine.
const DATA_CENTRES: [&str; 3] = ["brno-a", "olomouc-b", "zlin-c"];
/// Interval between two checks whether a host is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Running components of the demo; dropping the fleet stops them all.
pub(super) struct Fleet {
    daemons: Vec<Daemon>,
    service: standin::Service,
    _engines: Vec<standin::Engine>,
    platform: standin::Platform,
}

impl Fleet {
    /// Starts the platform, stores the plans and limits, then starts the targets and the hosts.
    pub(super) fn start() -> Result<Fleet, Error> {
        let platform = standin::Platform::start(standin::platform::Config::default())?;
        let address = platform.address();
        store_lists(address)?;
        let engines = DATA_CENTRES.iter().map(|it| start_engine(address, it));
        let engines = engines.collect::<Result<Vec<_>, Error>>()?;
        let service = standin::Service::start(service::Config {
            listing: listing(address, "dispatch-1", DATA_CENTRES[0]),
            service: SmolStr::new_static(SERVICE),
            ..service::Config::default()
        })?;
        let daemons = DATA_CENTRES.iter().map(|it| start_host(address, it));
        let daemons = daemons.collect::<Result<Vec<_>, Error>>()?;
        Ok(Fleet { daemons, service, _engines: engines, platform })
    }

    pub(super) fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the address on which one host serves callers.
    pub(super) fn callers_address(&self, host_index: usize) -> Result<SocketAddr, Error> {
        let daemon = self.daemons.get(host_index);
        daemon
            .map(Daemon::callers_address)
            .ok_or_else(|| Error::Step("no entry host is running".to_owned()))
    }

    /// Returns the address on which the first host serves operators.
    pub(super) fn operators_address(&self) -> Result<SocketAddr, Error> {
        let daemon = self.daemons.first();
        daemon
            .map(Daemon::operators_address)
            .ok_or_else(|| Error::Step("no entry host is running".to_owned()))
    }

    pub(super) fn callers_addresses_text(&self) -> String {
        let addresses = self.daemons.iter().map(|it| it.callers_address().to_string());
        addresses.collect::<Vec<_>>().join(", ")
    }

    /// Waits until every host is ready and knows the whole fleet.
    ///
    /// # Errors
    /// Fails when a host is not ready after `timeout`, which all hosts share.
    pub(super) fn wait_ready(&self, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        for daemon in &self.daemons {
            let caller = Caller::new(daemon.callers_address());
            while !self.has_full_view(daemon) || !caller.is_ready() {
                if deadline <= Instant::now() {
                    return Err(Error::Step(format!(
                        "entry host {} is not ready",
                        caller.address()
                    )));
                }
                thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Returns whether a host has received a report from every target and lists every host.
    fn has_full_view(&self, daemon: &Daemon) -> bool {
        let ctx = daemon.context();
        let reported = ctx.fleet.targets().iter().filter(|(_, it)| it.is_some()).count();
        let hosts = ctx.members.rank_hosts(None, 0).hosts.len();
        reported == DATA_CENTRES.len() + 1 && hosts == self.daemons.len()
    }

    /// Returns the number of times that the service ran an order.
    pub(super) fn service_run_count(&self) -> usize {
        self.service.record().runs.len()
    }
}

fn store_lists(address: SocketAddr) -> Result<(), Error> {
    let settings = settings::Platform { address, ..settings::Platform::default() };
    let client = store::Client::new(&settings);
    let lists = Lists {
        plans: format!("[customer demo]\nplan = order-desk\nkey = {}\n", utils::key_hash(API_KEY)),
        limits: "[plan order-desk]\nweight = 1\n".to_owned(),
        announcements: Vec::new(),
    };
    let edit = Edit {
        from: 0,
        lists,
        author: SmolStr::new_static("demo"),
        edited_ms: 0,
        token: rand::random(),
    };
    Store::new(client.clone(), client).edit(&edit)?;
    Ok(())
}

fn listing(platform: SocketAddr, name: &str, data_centre: &str) -> Listing {
    Listing {
        platform: Some(platform),
        name: SmolStr::new(name),
        data_centre: SmolStr::new(data_centre),
        ..Listing::default()
    }
}

fn start_engine(platform: SocketAddr, data_centre: &str) -> Result<standin::Engine, Error> {
    let name = format!("engine-{data_centre}");
    Ok(standin::Engine::start(engine::Config {
        listing: listing(platform, &name, data_centre),
        model: SmolStr::new_static(MODEL),
        ..engine::Config::default()
    })?)
}

fn start_host(platform: SocketAddr, data_centre: &str) -> Result<Daemon, Error> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::default();
    settings.host.name = format_smolstr!("host-{data_centre}");
    settings.host.data_centre = SmolStr::new(data_centre);
    settings.host.callers_address = any_port;
    settings.host.operators_address = any_port;
    settings.host.peers_address = any_port;
    settings.peers.key = "demo-peers".to_owned();
    settings.platform.address = platform;
    Ok(Daemon::start(settings)?)
}
