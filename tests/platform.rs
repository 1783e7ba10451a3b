//! The platform client against the stand-in: transactions, lost answers and the host list.

use std::{
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    settings,
    standin::{
        self,
        platform::{Config, Faults, Stats},
    },
    store::{
        CallError, Client, Commit, HostList, Kind, Machine, ObjectStore, Row, State, Table,
        WeightStore, Write,
    },
    utils,
    verdict::Verdict,
};
use smol_str::SmolStr;

/// Timeout of [`wait_until`]; it only ends a test that hangs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    platform: standin::Platform,
    client: Client,
}

impl Fixture {
    fn start() -> Fixture {
        Fixture::with_config(Config {
            lag: Duration::ZERO,
            dropped_after: Duration::from_secs(3_600),
            ..Config::default()
        })
    }

    fn with_config(config: Config) -> Fixture {
        let platform = standin::Platform::start(config).unwrap();
        let client = client(platform.address(), Duration::from_secs(20));
        Fixture { platform, client }
    }

    fn inject(&self, faults: &Faults) {
        let url = format!("http://{}/faults", self.platform.address());
        ureq::post(url).send_json(faults).unwrap();
    }

    fn stats(&self) -> Stats {
        let url = format!("http://{}/stats", self.platform.address());
        ureq::get(url).call().unwrap().body_mut().read_json().unwrap()
    }
}

fn client(address: SocketAddr, timeout: Duration) -> Client {
    Client::new(&settings::Platform { address, timeout, ..Default::default() })
}

fn write(key: &str, expected: u64, value: &str) -> Write {
    Write { key: SmolStr::new(key), expected, value: Some(value.to_owned()) }
}

fn machine(incarnation: u64) -> Machine {
    Machine {
        name: SmolStr::new_static("engine-1"),
        kind: Kind::Engine(SmolStr::new_static("small")),
        data_centre: SmolStr::new_static("brno-a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer_address: None,
        incarnation,
        state: State::Live,
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn commit_atomic() {
    let it = Fixture::start();
    let done = it.client.commit(&[write("a", 0, "1"), write("b", 0, "2")]).unwrap();
    assert_eq!(done, Commit::Done(vec![1, 1]));
    let conflict = it.client.commit(&[write("c", 0, "3"), write("b", 0, "4")]).unwrap();
    let row = Row { key: SmolStr::new_static("b"), version: 1, value: "2".to_owned() };
    assert_eq!(conflict, Commit::Conflict(vec![row]));
    assert_eq!(it.client.read(&[SmolStr::new_static("c")]).unwrap()[0].version, 0);
    assert_eq!(it.client.scan("").unwrap().len(), 2);
}

#[test]
fn versions_never_repeat() {
    let it = Fixture::start();
    it.client.commit(&[write("a", 0, "1")]).unwrap();
    let delete = Write { key: SmolStr::new_static("a"), expected: 1, value: None };
    assert_eq!(it.client.commit(&[delete]).unwrap(), Commit::Done(vec![2]));
    assert!(it.client.scan("a").unwrap().is_empty());
    assert_eq!(it.client.commit(&[write("a", 0, "2")]).unwrap(), Commit::Done(vec![3]));
}

#[test]
fn lost_answer_takes_effect() {
    let it = Fixture::start();
    it.inject(&Faults {
        lose_answers: 1,
        lose_prefix: SmolStr::new_static("claim/"),
        ..Faults::default()
    });
    it.client.commit(&[write("lease/x", 0, "1")]).unwrap();
    let err = it.client.commit(&[write("claim/x", 0, "1")]).unwrap_err();
    assert!(matches!(err, CallError::Lost(_)), "{err}");
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
    assert_eq!(it.client.read(&[SmolStr::new_static("claim/x")]).unwrap()[0].value, "1");
    it.client.commit(&[write("claim/x", 1, "2")]).unwrap();
    assert_eq!(it.stats().lost, 1);
}

#[test]
fn outage_refuses() {
    let it = Fixture::start();
    it.inject(&Faults { table_down: true, ..Faults::default() });
    let err = it.client.commit(&[write("a", 0, "1")]).unwrap_err();
    assert!(matches!(err, CallError::Refused(_)), "{err}");
    it.client.put("a", b"1").unwrap();
    it.inject(&Faults { objects_down: true, hosts_down: true, ..Faults::default() });
    assert!(matches!(it.client.get("a"), Err(CallError::Refused(_))));
    assert!(matches!(it.client.machines(), Err(CallError::Refused(_))));
    assert_eq!(it.client.read(&[SmolStr::new_static("a")]).unwrap()[0].version, 0);
}

#[test]
fn rate_limit_refuses() {
    let it = Fixture::start();
    it.inject(&Faults { writes_per_second: Some(0), ..Faults::default() });
    let err = it.client.commit(&[write("a", 0, "1")]).unwrap_err();
    assert!(matches!(err, CallError::Refused(_)), "{err}");
    assert_eq!(it.stats().refused, 1);
    assert_eq!(it.stats().writes, 0);
}

#[test]
fn closed_port_refuses() {
    let (listener, address) = utils::bind_loopback().unwrap();
    drop(listener);
    let err = client(address, Duration::from_secs(20)).commit(&[]).unwrap_err();
    assert!(matches!(err, CallError::Refused(_)), "{err}");
}

#[test]
fn timeout_is_lost() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let client = client(listener.local_addr().unwrap(), Duration::from_millis(500));
    let err = client.commit(&[write("a", 0, "1")]).unwrap_err();
    assert!(matches!(err, CallError::Lost(_)), "{err}");
}

#[test]
fn objects_round_trip() {
    let it = Fixture::start();
    assert_eq!(it.client.get("answer/1").unwrap(), None);
    it.client.put("answer/1", &[0, 255, 10]).unwrap();
    assert_eq!(it.client.get("answer/1").unwrap(), Some(vec![0, 255, 10]));
}

#[test]
fn dropped_run_refused() {
    let it = Fixture::with_config(Config {
        lag: Duration::ZERO,
        dropped_after: Duration::from_millis(200),
        ..Config::default()
    });
    it.client.report(&machine(1)).unwrap();
    wait_until("the silent run is dropped", || it.client.machines().unwrap().is_empty());
    assert!(matches!(it.client.report(&machine(1)), Err(CallError::Refused(_))));
    it.client.report(&machine(2)).unwrap();
}

#[test]
fn restarted_run_replaces() {
    let it = Fixture::start();
    it.client.report(&machine(1)).unwrap();
    it.client.report(&machine(2)).unwrap();
    assert!(matches!(it.client.report(&machine(1)), Err(CallError::Refused(_))));
    assert_eq!(it.client.machines().unwrap(), vec![machine(2)]);
}

#[test]
fn leaving_state_persists() {
    let it = Fixture::start();
    it.client.report(&machine(1)).unwrap();
    let url = format!("http://{}/hosts/engine-1/leaving", it.platform.address());
    ureq::post(url).send_empty().unwrap();
    it.client.report(&machine(1)).unwrap();
    assert_eq!(it.client.machines().unwrap()[0].state, State::Leaving);
}

#[test]
fn host_list_lags() {
    let it = Fixture::with_config(Config {
        lag: Duration::from_secs(3_600),
        dropped_after: Duration::from_secs(3_600),
        ..Config::default()
    });
    it.client.report(&machine(1)).unwrap();
    assert!(it.client.machines().unwrap().is_empty());
}

#[test]
fn weights_rate_limited() {
    let it = Fixture::with_config(Config {
        weights_bytes: 1_000,
        weights_rate: 10_000,
        ..Config::default()
    });
    let start = Instant::now();
    assert_eq!(it.client.load("small").unwrap(), 1_000);
    assert!(Duration::from_millis(100) <= start.elapsed());
}
