//! Stand-ins as real processes behind the fault-injecting proxy, seen through the clients.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    http,
    process::{Process, STANDIN_ADDRESS},
    proxy::{Mode, Proxy},
    wait_for, wait_until,
};
use fuchsiaknot::{
    settings,
    standin::engine::{Faults, Record},
    store::{self, CallError, Commit, Table, Write},
    target::{Client, Engine, Failure, Generation},
    verdict::Verdict,
};
use smol_str::SmolStr;

/// Exit code of a stand-in that crashed on command.
const CRASHED: i32 = 70;

struct Fixture {
    engine: Process,
    address: SocketAddr,
    proxy: Proxy,
    client: Client,
}

impl Fixture {
    fn start() -> Fixture {
        let mut engine = Process::standin(&["engine"]);
        let address = engine.address(STANDIN_ADDRESS);
        let proxy = Proxy::start(address);
        let settings = settings::Targets {
            connect_time: Duration::from_secs(10),
            silence: Duration::from_secs(2),
            ..Default::default()
        };
        let client = Client::new(proxy.address(), &settings);
        Fixture { engine, address, proxy, client }
    }

    fn fault(&self, faults: &Faults) {
        assert_eq!(http::post(self.address, "/faults", faults).status, 200);
    }

    fn hold(&self) {
        self.fault(&Faults { hold_after_tokens: Some(1), ..Faults::default() });
    }

    fn record(&self) -> Record {
        http::get(self.address, "/record").json()
    }
}

fn generation(max_tokens: u32) -> Generation {
    Generation {
        request_id: SmolStr::new_static("r-1"),
        model: SmolStr::new_static("small"),
        adapter: None,
        prompt: "flake ice for the clinic".to_owned(),
        max_tokens,
        resume_at: 0,
        priority: 0,
        kv: None,
    }
}

fn write(key: &str) -> Write {
    Write { key: SmolStr::new(key), expected: 0, value: Some("1".to_owned()) }
}

#[test]
fn killed_in_stream() {
    let mut it = Fixture::start();
    it.hold();
    let mut stream = it.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    it.engine.kill();
    assert!(matches!(stream.next(), Some(Err(Failure::Broken(_)))));
}

#[test]
fn crash_ends_process() {
    let mut it = Fixture::start();
    it.fault(&Faults { crash_after_tokens: Some(2), ..Faults::default() });
    let last = it.client.generate(&generation(1_000)).unwrap().last().unwrap();
    assert!(matches!(last, Err(Failure::Broken(_))));
    assert_eq!(it.engine.exit_code(), Some(CRASHED));
}

#[test]
fn terminated_ends_well() {
    let mut it = Fixture::start();
    it.engine.terminate();
    assert_eq!(it.engine.exit_code(), Some(0));
}

#[test]
fn paused_is_silent() {
    let it = Fixture::start();
    it.hold();
    let mut stream = it.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    it.engine.pause();
    assert_eq!(stream.next(), Some(Err(Failure::Silent)));
    it.engine.resume();
    wait_until("the engine has noticed", || it.record().cancelled == 1);
}

#[test]
fn cut_in_stream() {
    let it = Fixture::start();
    it.hold();
    let mut stream = it.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    it.proxy.cut_open();
    assert!(matches!(stream.next(), Some(Err(Failure::Broken(_)))));
    wait_until("the engine has noticed", || it.record().cancelled == 1);
}

#[test]
fn silent_stream_replaced() {
    let it = Fixture::start();
    it.hold();
    let mut stream = it.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    it.proxy.silence_open();
    assert_eq!(stream.next(), Some(Err(Failure::Silent)));
    it.fault(&Faults::default());
    assert_eq!(it.client.generate(&generation(5)).unwrap().map(Result::unwrap).count(), 6);
}

#[test]
fn refused_not_run() {
    let it = Fixture::start();
    it.proxy.set(Mode::Refuse);
    let failure = it.client.generate(&generation(1)).unwrap_err();
    assert!(matches!(failure, Failure::Connect(_)), "{failure}");
    it.proxy.set(Mode::Pass);
    assert_eq!(it.client.generate(&generation(1)).unwrap().map(Result::unwrap).count(), 2);
    assert_eq!(it.record().started.len(), 1);
}

#[test]
fn commit_answer_swallowed() {
    let mut process = Process::standin(&["platform"]);
    let address = process.address(STANDIN_ADDRESS);
    let proxy = Proxy::start(address);
    let client = |address| {
        let timeout = Duration::from_secs(2);
        store::Client::new(&settings::Platform { address, timeout, ..Default::default() })
    };
    let (through, direct) = (client(proxy.address()), client(address));
    assert_eq!(through.commit(&[write("a")]), Ok(Commit::Done(vec![1])));
    proxy.set(Mode::SilentToClient);
    let fault = through.commit(&[write("b")]).unwrap_err();
    assert!(matches!(fault, CallError::Lost(_)), "{fault}");
    assert_eq!(fault.verdict(), Verdict::MayHaveRun);
    let rows = wait_for("the row is written", || direct.scan("b").ok().filter(|it| !it.is_empty()));
    assert_eq!(rows[0].version, 1);
    proxy.set(Mode::Pass);
    assert_eq!(through.commit(&[write("c")]), Ok(Commit::Done(vec![1])));
    assert_eq!(proxy.accepted(), 2);
}
