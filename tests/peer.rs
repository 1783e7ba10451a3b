//! RPC between entry hosts: handshake, calls, and connections that stop responding.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use fuchsiaknot::{
    configuration::store::VersionedLists,
    link::peer::{
        self, Config, Error, Handler, Links, Listener, handshake,
        wire::{
            ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
            DrainStatus, Heartbeat, Hint, Load, Member, Shares, StopQuestion, StopStatus,
        },
    },
    refresh::Freshness,
    store::State,
    utils,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Timeout that no call reaches unless the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of calls that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers with fixed data about this host; `drain_status` panics.
struct TestHandler(Member);

impl Handler for TestHandler {
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        Heartbeat { from: self.0.clone(), heard: Some(heartbeat.from.incarnation), ..heartbeat }
    }
    fn members(&self) -> Vec<Member> {
        vec![self.0.clone()]
    }
    fn hint(&self, _: Hint) {}
    fn configuration(&self, min_version: u64) -> Option<Configuration> {
        let lists_in_force = VersionedLists { version: 5, lists: Default::default() };
        (min_version <= 5).then(|| Configuration::from(&lists_in_force))
    }
    fn claim_status(&self, _: ClaimQuestion) -> ClaimStatus {
        ClaimStatus::NeverSent
    }
    fn drain_status(&self, _: DrainQuestion) -> DrainStatus {
        panic!("drain_status always panics in this test");
    }
    fn stop_status(&self, _: StopQuestion) -> StopStatus {
        StopStatus::Stopped
    }
    fn shares(&self, _: Demands) -> Option<Shares> {
        None
    }
    fn crash(&self, _: CrashNotice) {}
}

fn member(address: SocketAddr) -> Member {
    Member {
        host: "a".into(),
        incarnation: 9,
        data_centre: "brno-a".into(),
        callers_address: address,
        peers_address: address,
        state: State::Live,
    }
}

fn heartbeat(address: SocketAddr) -> Heartbeat {
    Heartbeat {
        from: member(address),
        heard: None,
        version: Some(3),
        freshness: Freshness::Fresh,
        load: Load::default(),
    }
}

fn listen(secret: &str) -> Listener {
    let (listener, address) = utils::bind_loopback().unwrap();
    listen_on(listener, address, secret)
}

fn listen_on(listener: TcpListener, address: SocketAddr, secret: &str) -> Listener {
    let config = Config {
        key: handshake::Key::from(secret),
        handshake_timeout: HANG_TIMEOUT,
        idle_timeout: HANG_TIMEOUT,
    };
    peer::listen(listener, config, Arc::new(TestHandler(member(address)))).unwrap()
}

fn links(secret: &str, timeout: Duration) -> Links {
    Links::new(handshake::Key::from(secret), timeout)
}

#[test]
fn calls_answered() {
    let listener = listen("shared");
    let address = listener.address();
    let links = links("shared", HANG_TIMEOUT);
    let answers = links.send_heartbeats(vec![(address, heartbeat(address))]);
    assert_eq!(answers[0].heard, Some(9));
    assert_eq!(links.members(address).unwrap(), [member(address)]);
    let configuration = links.configuration(address, 4).unwrap().unwrap();
    assert_eq!(VersionedLists::try_from(configuration).unwrap().version, 5);
    assert_eq!(links.configuration(address, 6).unwrap(), None);
}

#[test]
fn other_key_refused() {
    let listener = listen("shared");
    let err = links("another", HANG_TIMEOUT).members(listener.address()).unwrap_err();
    assert!(matches!(err, Error::Unreachable { .. }), "{err}");
}

#[test]
fn keyless_server_refused() {
    let (server, address) = utils::bind_loopback().unwrap();
    thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = server.accept().unwrap();
        let mut hello = [0; 40];
        stream.read_exact(&mut hello).unwrap();
        stream.write_all(&[7; 64]).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty(), "the client sent its proof to a server without the key");
    });
    let err = links("shared", HANG_TIMEOUT).members(address).unwrap_err();
    assert!(err.to_string().contains("peers.key"), "{err}");
}

#[test]
fn handler_panic_isolated() {
    let listener = listen("shared");
    let links = links("shared", SHORT_TIMEOUT);
    let question = DrainQuestion { group: "g".into(), target: "t".into(), revision: 1 };
    assert!(links.drain_status(listener.address(), question).is_err());
    let patient_links = self::links("shared", HANG_TIMEOUT);
    assert!(patient_links.members(listener.address()).is_ok());
}

#[test]
fn restarted_peer_reached() {
    let first = listen("shared");
    let address = first.address();
    let links = links("shared", HANG_TIMEOUT);
    links.members(address).unwrap();
    drop(first);
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    };
    let _second = listen_on(listener, address, "shared");
    assert!(links.members(address).is_ok());
}

/// Starts a proxy to `to` whose first connection stays open, but forwards only the first `bytes`
/// bytes from the client.
///
/// Returns the proxy's address and the number of connections that it has accepted.
fn silent_proxy(to: SocketAddr, bytes: u64) -> (SocketAddr, Arc<AtomicUsize>) {
    use std::io::{Read, copy};
    let (listener, address) = utils::bind_loopback().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let connections = Arc::clone(&count);
    thread::spawn(move || {
        for (index, client) in listener.incoming().enumerate() {
            let client = client.unwrap();
            let server = TcpStream::connect(to).unwrap();
            connections.fetch_add(1, Ordering::SeqCst);
            let (mut from_server, mut to_client) =
                (server.try_clone().unwrap(), client.try_clone().unwrap());
            thread::spawn(move || copy(&mut from_server, &mut to_client));
            thread::spawn(move || {
                let (mut client, mut server) = (client, server);
                let limit = if index == 0 { bytes } else { u64::MAX };
                let _ = copy(&mut (&mut client).take(limit), &mut server);
                loop {
                    thread::park();
                }
            });
        }
    });
    (address, count)
}

#[test]
fn silent_connection_replaced() {
    const HANDSHAKE_BYTES: u64 = 8 + 32 + 32;
    let listener = listen("shared");
    let (address, connections) = silent_proxy(listener.address(), HANDSHAKE_BYTES);
    let links = links("shared", SHORT_TIMEOUT);
    let silent = links.members(address).unwrap_err();
    assert!(matches!(silent, Error::NoAnswer { .. }), "{silent}");
    let mut answered = false;
    for _ in 0..50 {
        answered |= links.members(address).is_ok();
        if answered {
            break;
        }
    }
    assert!(answered);
    assert!(2 <= connections.load(Ordering::SeqCst));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn lists_round_trip(plans in any::<String>(), version in any::<u64>()) {
        let lists = fuchsiaknot::configuration::Lists { plans, ..Default::default() };
        let sent = VersionedLists { version, lists };
        prop_assert_eq!(VersionedLists::try_from(Configuration::from(&sent)).unwrap(), sent);
    }

    #[test]
    fn decoding_never_panics(lists in any::<String>()) {
        let _ = VersionedLists::try_from(Configuration { version: 1, lists });
    }
}
