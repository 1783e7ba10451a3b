//! Clients of the engines and of the platform when the stand-in process or the network fails.

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

/// Exit code of a stand-in after an injected crash.
const CRASH_EXIT_CODE: i32 = 70;

/// An engine process, and a client that reaches it through a proxy.
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

    fn set_faults(&self, faults: &Faults) {
        assert_eq!(http::post(self.address, "/faults", faults).status, 200);
    }

    /// Makes the engine pause each stream after the first token.
    fn hold_streams(&self) {
        self.set_faults(&Faults { hold_after_tokens: Some(1), ..Faults::default() });
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
fn killed_engine_breaks_stream() {
    let mut fixture = Fixture::start();
    fixture.hold_streams();
    let mut stream = fixture.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    fixture.engine.kill();
    assert!(matches!(stream.next(), Some(Err(Failure::Broken(_)))));
}

#[test]
fn crash_ends_process() {
    let mut fixture = Fixture::start();
    fixture.set_faults(&Faults { crash_after_tokens: Some(2), ..Faults::default() });
    let last = fixture.client.generate(&generation(1_000)).unwrap().last().unwrap();
    assert!(matches!(last, Err(Failure::Broken(_))));
    assert_eq!(fixture.engine.exit_code(), Some(CRASH_EXIT_CODE));
}

#[test]
fn terminated_exits_cleanly() {
    let mut fixture = Fixture::start();
    fixture.engine.terminate();
    assert_eq!(fixture.engine.exit_code(), Some(0));
}

#[test]
fn paused_engine_silent() {
    let fixture = Fixture::start();
    fixture.hold_streams();
    let mut stream = fixture.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    fixture.engine.pause();
    assert_eq!(stream.next(), Some(Err(Failure::Silent)));
    fixture.engine.resume();
    wait_until("the engine has cancelled the request", || fixture.record().cancelled == 1);
}

#[test]
fn cut_connection_breaks_stream() {
    let fixture = Fixture::start();
    fixture.hold_streams();
    let mut stream = fixture.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    fixture.proxy.cut_open();
    assert!(matches!(stream.next(), Some(Err(Failure::Broken(_)))));
    wait_until("the engine has cancelled the request", || fixture.record().cancelled == 1);
}

#[test]
fn silent_stream_replaced() {
    let fixture = Fixture::start();
    fixture.hold_streams();
    let mut stream = fixture.client.generate(&generation(5)).unwrap();
    stream.next().unwrap().unwrap();
    fixture.proxy.silence_open();
    assert_eq!(stream.next(), Some(Err(Failure::Silent)));
    fixture.set_faults(&Faults::default());
    assert_eq!(fixture.client.generate(&generation(5)).unwrap().map(Result::unwrap).count(), 6);
}

#[test]
fn refused_request_not_run() {
    let fixture = Fixture::start();
    fixture.proxy.set(Mode::Refuse);
    let failure = fixture.client.generate(&generation(1)).unwrap_err();
    assert!(matches!(failure, Failure::Connect(_)), "{failure}");
    fixture.proxy.set(Mode::Pass);
    assert_eq!(fixture.client.generate(&generation(1)).unwrap().map(Result::unwrap).count(), 2);
    assert_eq!(fixture.record().started.len(), 1);
}

#[test]
fn lost_commit_answer() {
    let mut process = Process::standin(&["platform"]);
    let address = process.address(STANDIN_ADDRESS);
    let proxy = Proxy::start(address);
    let client = |address| {
        let timeout = Duration::from_secs(2);
        store::Client::new(&settings::Platform { address, timeout, ..Default::default() })
    };
    let (proxied, direct) = (client(proxy.address()), client(address));
    assert_eq!(proxied.commit(&[write("a")]), Ok(Commit::Done(vec![1])));
    proxy.set(Mode::SilentToClient);
    let err = proxied.commit(&[write("b")]).unwrap_err();
    assert!(matches!(err, CallError::Lost(_)), "{err}");
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
    let rows = wait_for("the row is written", || direct.scan("b").ok().filter(|it| !it.is_empty()));
    assert_eq!(rows[0].version, 1);
    proxy.set(Mode::Pass);
    assert_eq!(proxied.commit(&[write("c")]), Ok(Commit::Done(vec![1])));
    assert_eq!(proxy.accepted(), 2);
}
