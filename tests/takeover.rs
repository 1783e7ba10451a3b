//! Holders that are killed, paused or cut off from the platform, as real processes.

mod common;

use std::net::SocketAddr;

use fuchsiaknot::{
    lease,
    order::{self, wire},
    settings,
    standin::{engine, platform::Faults},
    store::{self, Commit, Table, Write},
    target::{Action, Fence, Role},
};
use rstest::rstest;

use common::{
    http,
    process::{CALLERS_ADDRESS, Process, STANDIN_ADDRESS},
    proxy::{Mode, Proxy},
    wait_for, wait_until,
};

const GROUP: &str = "local/engines";
const HOSTS: usize = 3;
const DECODE: Action = Action::Role(Role::Decode);
const PREFILL: Action = Action::Role(Role::Prefill);

/// A host behind a proxy to the platform.
struct Host {
    process: Process,
    platform: Proxy,
}

/// Processes of one deployment.
struct Site {
    address: SocketAddr,
    _platform: Process,
    engines: Vec<(Process, SocketAddr)>,
    hosts: Vec<Host>,
}

impl Site {
    /// Starts the platform, an engine that checks fencing numbers, one that does not, and hosts.
    fn start() -> Site {
        let mut platform = Process::standin(&["platform", "--lag-ms", "0"]);
        let address = platform.address(STANDIN_ADDRESS);
        let engine = |name: &str, more: &[&str]| {
            let listed = address.to_string();
            let args = ["engine", "--name", name, "--platform", &listed, "--change-ms", "200"];
            let mut process = Process::standin(&[&args, more].concat());
            let address = process.address(STANDIN_ADDRESS);
            (process, address)
        };
        let engines = vec![engine("e0", &[]), engine("e1", &["--ignores-fence"])];
        let hosts = (0..HOSTS).map(|it| host(it, address)).collect();
        Site { address, _platform: platform, engines, hosts }
    }

    fn client(&self) -> store::Client {
        let address = self.address;
        store::Client::new(&settings::Platform { address, ..settings::Platform::default() })
    }

    fn faults(&self, faults: &Faults) {
        assert_eq!(http::post(self.address, "/faults", faults).status, 200);
    }

    /// Waits for a holder in an epoch after `epoch`; returns its place and epoch.
    fn holder_after(&self, epoch: u64) -> (usize, u64) {
        wait_for("a host holds the group", || {
            let rows = self.client().read(&[lease::row(GROUP)]).ok()?;
            let record = lease::wire::Record::parse(&rows[0].value).ok()?;
            let host = record.holder?.host;
            let place = (0..HOSTS).find(|it| host == name(*it))?;
            (epoch < record.epoch).then_some((place, record.epoch))
        })
    }

    /// Records a wanted change of both engines in the group's row, as of an epoch after `epoch`.
    fn want(&self, epoch: u64, action: &Action) {
        wait_until("the change is recorded", || self.record_wanted(epoch, action).is_some());
    }

    fn record_wanted(&self, epoch: u64, action: &Action) -> Option<()> {
        let key = order::row_key(GROUP);
        let rows = self.client().read(std::slice::from_ref(&key)).ok()?;
        let mut group = wire::Group::parse(&rows[0].value).ok()?;
        if group.epoch <= epoch {
            return None;
        }
        for target in ["e0", "e1"] {
            let entry = wire::Entry { wanted: None, drain: None, pending: None };
            group.targets.entry(target.into()).or_insert(entry).wanted = Some(action.clone());
        }
        group.revision += 1;
        group.token = rand::random();
        let write = Write { key, expected: rows[0].version, value: Some(group.text()) };
        matches!(self.client().commit(&[write]), Ok(Commit::Done(_))).then_some(())
    }

    /// Returns the changes that an engine received, in order of arrival.
    fn changes(&self, engine: usize) -> Vec<(Fence, Action)> {
        let record: engine::Record = http::get(self.engines[engine].1, "/record").json();
        let orders = record.orders.into_iter().filter(|it| it.action != Action::Nothing);
        orders.map(|it| (it.fence, it.action)).collect()
    }

    /// Waits until each engine has received just these changes, each once and in rising epochs.
    fn wait_changes(&self, expected: &[Action]) {
        for engine in 0..self.engines.len() {
            wait_until("the engines have their orders", || {
                let actions: Vec<Action> =
                    self.changes(engine).into_iter().map(|it| it.1).collect();
                actions == expected
            });
            let fences: Vec<Fence> = self.changes(engine).into_iter().map(|it| it.0).collect();
            assert!(fences.is_sorted(), "{fences:?}");
        }
    }

    /// Gives both engines a first order and returns the holder and its epoch.
    fn settle(&self) -> (usize, u64) {
        self.holder_after(0);
        self.want(0, &DECODE);
        self.wait_changes(&[DECODE]);
        self.holder_after(0)
    }

    /// Checks that another holder takes over and orders, and that the first one orders no more.
    fn check_takeover(&self, old: usize, epoch: u64) {
        let (new, later) = self.holder_after(epoch);
        assert_ne!(new, old);
        self.want(epoch, &PREFILL);
        self.wait_changes(&[DECODE, PREFILL]);
        for engine in 0..self.engines.len() {
            assert!(later <= self.changes(engine)[1].0.epoch);
        }
    }
}

fn name(number: usize) -> String {
    format!("host-{number}")
}

fn host(number: usize, platform: SocketAddr) -> Host {
    let proxy = Proxy::start(platform);
    let settings = format!(
        "[host]\nname = {}\ndata_centre = local\ncallers_address = 127.0.0.1:0\n\
         operators_address = 127.0.0.1:0\npeers_address = 127.0.0.1:0\n\
         [platform]\naddress = {}\n[peers]\nkey = takeover-test-key\n",
        name(number),
        proxy.address()
    );
    let mut process = Process::daemon(&settings);
    process.address(CALLERS_ADDRESS);
    Host { process, platform: proxy }
}

#[test]
fn killed_holder_replaced() {
    let mut site = Site::start();
    let (old, epoch) = site.settle();
    site.hosts[old].process.kill();
    site.check_takeover(old, epoch);
}

#[test]
fn woken_holder_orders_nothing() {
    let site = Site::start();
    let (old, epoch) = site.settle();
    site.hosts[old].process.pause();
    site.check_takeover(old, epoch);
    site.hosts[old].process.resume();
    site.want(epoch, &DECODE);
    site.wait_changes(&[DECODE, PREFILL, DECODE]);
}

#[rstest]
#[case::both_ways(Mode::Silent)]
#[case::requests_lost(Mode::SilentToServer)]
#[case::answers_lost(Mode::SilentToClient)]
#[case::refused(Mode::Refuse)]
fn cut_off_holder_replaced(#[case] mode: Mode) {
    let site = Site::start();
    let (old, epoch) = site.settle();
    site.hosts[old].platform.set(mode);
    if mode == Mode::Refuse {
        site.hosts[old].platform.cut_open();
    }
    site.check_takeover(old, epoch);
    site.hosts[old].platform.set(Mode::Pass);
    site.want(epoch, &DECODE);
    site.wait_changes(&[DECODE, PREFILL, DECODE]);
}

#[test]
fn killed_while_table_down() {
    let mut site = Site::start();
    let (old, epoch) = site.settle();
    site.faults(&Faults { table_down: true, ..Faults::default() });
    site.hosts[old].process.kill();
    site.faults(&Faults::default());
    site.check_takeover(old, epoch);
}

#[test]
fn paused_while_table_down() {
    let site = Site::start();
    let (old, epoch) = site.settle();
    site.faults(&Faults { table_down: true, ..Faults::default() });
    site.hosts[old].process.pause();
    // Longer than a lease, so that the holder wakes with one that has lapsed.
    std::thread::sleep(lease::Config::default().length * 2);
    site.hosts[old].process.resume();
    site.faults(&Faults::default());
    let (_, later) = site.holder_after(epoch);
    site.want(epoch, &PREFILL);
    site.wait_changes(&[DECODE, PREFILL]);
    assert!((0..2).all(|it| later <= site.changes(it)[1].0.epoch));
}
