//! Takeover from holders that are killed, paused or cut off from the platform, with real
//! processes.

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
const HOST_COUNT: usize = 3;
const DECODE: Action = Action::Role(Role::Decode);
const PREFILL: Action = Action::Role(Role::Prefill);

/// An entry host that reaches the platform through a proxy.
struct Host {
    process: Process,
    platform: Proxy,
}

/// Processes of a deployment.
struct Site {
    /// Address of the platform.
    address: SocketAddr,
    _platform: Process,
    engines: Vec<(Process, SocketAddr)>,
    hosts: Vec<Host>,
}

impl Site {
    /// Starts the platform, an engine that checks fencing tokens, another that does not, and the
    /// entry hosts.
    fn start() -> Site {
        let mut platform = Process::standin(&["platform", "--lag-ms", "0"]);
        let address = platform.address(STANDIN_ADDRESS);
        let engine = |name: &str, more: &[&str]| {
            let platform_address = address.to_string();
            let args =
                ["engine", "--name", name, "--platform", &platform_address, "--change-ms", "200"];
            let mut process = Process::standin(&[&args, more].concat());
            let address = process.address(STANDIN_ADDRESS);
            (process, address)
        };
        let engines = vec![engine("e0", &[]), engine("e1", &["--ignores-fence"])];
        let hosts = (0..HOST_COUNT).map(|it| start_host(it, address)).collect();
        Site { address, _platform: platform, engines, hosts }
    }

    fn client(&self) -> store::Client {
        let address = self.address;
        store::Client::new(&settings::Platform { address, ..settings::Platform::default() })
    }

    fn set_platform_faults(&self, faults: &Faults) {
        assert_eq!(http::post(self.address, "/faults", faults).status, 200);
    }

    /// Waits until a host holds the lease in an epoch after `epoch`; returns its index and epoch.
    fn holder_after(&self, epoch: u64) -> (usize, u64) {
        wait_for("a host holds the group", || {
            let rows = self.client().read(&[lease::row_key(GROUP)]).ok()?;
            let record = lease::wire::Record::parse(&rows[0].value).ok()?;
            let host = record.holder?.host;
            let index = (0..HOST_COUNT).find(|it| host == host_name(*it))?;
            (epoch < record.epoch).then_some((index, record.epoch))
        })
    }

    /// Records a change of both engines in the group's row, once its epoch is after `epoch`.
    fn request_change(&self, epoch: u64, action: &Action) {
        wait_until("the change is recorded", || self.try_record_change(epoch, action).is_some());
    }

    /// Tries once to record a change of both engines; returns `None` unless it is stored.
    fn try_record_change(&self, epoch: u64, action: &Action) -> Option<()> {
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

    /// Returns the orders for changes that an engine received, in order of arrival.
    fn changes(&self, engine: usize) -> Vec<(Fence, Action)> {
        let record: engine::Record = http::get(self.engines[engine].1, "/record").json();
        let orders = record.orders.into_iter().filter(|it| it.action != Action::Nothing);
        orders.map(|it| (it.fence, it.action)).collect()
    }

    /// Waits until each engine has received exactly the `expected` orders, and checks that their
    /// fencing tokens rise.
    fn wait_changes(&self, expected: &[Action]) {
        for engine in 0..self.engines.len() {
            wait_until("the engines receive the expected orders", || {
                let actions: Vec<Action> =
                    self.changes(engine).into_iter().map(|it| it.1).collect();
                actions == expected
            });
            let fences: Vec<Fence> = self.changes(engine).into_iter().map(|it| it.0).collect();
            assert!(fences.is_sorted(), "{fences:?}");
        }
    }

    /// Waits until both engines have received a first order; returns the holder's index and epoch.
    fn order_first_change(&self) -> (usize, u64) {
        self.holder_after(0);
        self.request_change(0, &DECODE);
        self.wait_changes(&[DECODE]);
        self.holder_after(0)
    }

    /// Checks that another host takes over and sends orders, and that the first holder sends none.
    fn check_takeover(&self, old: usize, epoch: u64) {
        let (new, new_epoch) = self.holder_after(epoch);
        assert_ne!(new, old);
        self.request_change(epoch, &PREFILL);
        self.wait_changes(&[DECODE, PREFILL]);
        for engine in 0..self.engines.len() {
            assert!(new_epoch <= self.changes(engine)[1].0.epoch);
        }
    }
}

fn host_name(number: usize) -> String {
    format!("host-{number}")
}

fn start_host(number: usize, platform: SocketAddr) -> Host {
    let proxy = Proxy::start(platform);
    let settings = format!(
        "[host]\nname = {}\ndata_centre = local\ncallers_address = 127.0.0.1:0\n\
         operators_address = 127.0.0.1:0\npeers_address = 127.0.0.1:0\n\
         [platform]\naddress = {}\n[peers]\nkey = takeover-test-key\n",
        host_name(number),
        proxy.address()
    );
    let mut process = Process::daemon(&settings);
    process.address(CALLERS_ADDRESS);
    Host { process, platform: proxy }
}

#[test]
fn killed_holder_replaced() {
    let mut site = Site::start();
    let (old, epoch) = site.order_first_change();
    site.hosts[old].process.kill();
    site.check_takeover(old, epoch);
}

#[test]
fn resumed_holder_sends_nothing() {
    let site = Site::start();
    let (old, epoch) = site.order_first_change();
    site.hosts[old].process.pause();
    site.check_takeover(old, epoch);
    site.hosts[old].process.resume();
    site.request_change(epoch, &DECODE);
    site.wait_changes(&[DECODE, PREFILL, DECODE]);
}

#[rstest]
#[case::both_ways(Mode::Silent)]
#[case::requests_lost(Mode::SilentToServer)]
#[case::answers_lost(Mode::SilentToClient)]
#[case::refused(Mode::Refuse)]
fn cut_off_holder_replaced(#[case] mode: Mode) {
    let site = Site::start();
    let (old, epoch) = site.order_first_change();
    site.hosts[old].platform.set(mode);
    if mode == Mode::Refuse {
        site.hosts[old].platform.cut_open();
    }
    site.check_takeover(old, epoch);
    site.hosts[old].platform.set(Mode::Pass);
    site.request_change(epoch, &DECODE);
    site.wait_changes(&[DECODE, PREFILL, DECODE]);
}

#[test]
fn killed_while_table_down() {
    let mut site = Site::start();
    let (old, epoch) = site.order_first_change();
    site.set_platform_faults(&Faults { table_down: true, ..Faults::default() });
    site.hosts[old].process.kill();
    site.set_platform_faults(&Faults::default());
    site.check_takeover(old, epoch);
}

#[test]
fn paused_while_table_down() {
    let site = Site::start();
    let (old, epoch) = site.order_first_change();
    site.set_platform_faults(&Faults { table_down: true, ..Faults::default() });
    site.hosts[old].process.pause();
    // Longer than a lease, so that the holder's lease has expired when it resumes.
    std::thread::sleep(lease::Config::default().duration * 2);
    site.hosts[old].process.resume();
    site.set_platform_faults(&Faults::default());
    let (_, new_epoch) = site.holder_after(epoch);
    site.request_change(epoch, &PREFILL);
    site.wait_changes(&[DECODE, PREFILL]);
    assert!((0..2).all(|it| new_epoch <= site.changes(it)[1].0.epoch));
}
