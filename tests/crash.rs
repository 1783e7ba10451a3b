//! Requests that crash the targets that run them.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    crash::{Config, Crash, Finding, Suspects, Suspicion, Watch, confirm},
    settings,
    standin::{
        Service,
        platform::{Config as PlatformConfig, Faults, Platform},
        service,
    },
    store::{Client, Table},
    target::{self, Control},
    utils,
};

/// Ends a test that hangs.
const HANG: Duration = Duration::from_secs(30);

const MEMORY: Duration = Duration::from_secs(600);
const POISON: u64 = 1;
const INNOCENT: u64 = 2;

fn crash(target: &str) -> Crash {
    Crash { target: target.into(), incarnation: 7 }
}

fn client(platform: &Platform) -> Client {
    let address = platform.address();
    Client::new(&settings::Platform { address, ..settings::Platform::default() })
}

fn watch(platform: &Platform) -> Watch<Client> {
    let refresh = Duration::from_millis(20);
    let config = Config { refresh, write_time: HANG, ..Config::default() };
    Watch::start(config, client(platform)).expect("a watch")
}

fn fail(platform: &Platform, faults: &Faults) {
    let url = format!("http://{}/faults", platform.address());
    ureq::post(url).send_json(faults).expect("faults set");
}

fn rows(platform: &Platform) -> usize {
    client(platform).scan("crash/").expect("rows").len()
}

fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < HANG, "never came: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn is_refused(suspects: &Suspects, fingerprint: u64, now: Duration) -> bool {
    matches!(suspects.check(fingerprint, now), Suspicion::Refused { .. })
}

#[test]
fn second_crash_refused() {
    let mut suspects = Suspects::new(MEMORY);
    let now = Duration::from_secs(1);
    assert!(suspects.crashed(POISON, crash("engine-1"), now));
    assert!(!suspects.crashed(POISON, crash("engine-1"), now), "the same death counts once");
    assert_eq!(suspects.check(POISON, now), Suspicion::Suspect);
    suspects.crashed(POISON, crash("engine-2"), now);
    assert!(is_refused(&suspects, POISON, now + MEMORY - Duration::from_secs(1)));
    assert_eq!(suspects.check(POISON, now + MEMORY), Suspicion::Clear);
}

#[test]
fn forgotten_crash_uncounted() {
    let mut suspects = Suspects::new(MEMORY);
    suspects.crashed(POISON, crash("engine-1"), Duration::ZERO);
    suspects.crashed(POISON, crash("engine-2"), MEMORY);
    assert_eq!(suspects.check(POISON, MEMORY), Suspicion::Suspect);
}

#[test]
fn trials_apart() {
    let mut suspects = Suspects::new(MEMORY);
    let now = Duration::ZERO;
    for fingerprint in [POISON, INNOCENT] {
        suspects.crashed(fingerprint, crash("engine-1"), now);
    }
    let target = "engine-2".into();
    assert!(suspects.begin_trial(POISON, &target));
    assert!(!suspects.begin_trial(INNOCENT, &target));
    assert!(suspects.taken(INNOCENT, now).contains(&target));
    assert!(suspects.begin_trial(INNOCENT, &"engine-3".into()));
    suspects.crashed(POISON, crash("engine-2"), now);
    suspects.end_trial(POISON, &target);
    assert!(suspects.completed(INNOCENT, now).is_some());
    assert_eq!(suspects.check(INNOCENT, now), Suspicion::Clear);
    assert!(is_refused(&suspects, POISON, now));
    assert!(suspects.completed(POISON, now).is_none(), "a refusal is not cleared by a late answer");
}

#[test]
fn refused_on_all_hosts() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let hosts = [watch(&platform), watch(&platform), watch(&platform)];
    assert_eq!(hosts[0].crashed(POISON, crash("engine-1")), Suspicion::Suspect);
    // The second host knows of the first crash as soon as it has noted its own.
    let second = hosts[1].crashed(POISON, crash("engine-2"));
    assert!(matches!(second, Suspicion::Refused { .. }), "{second:?}");
    for host in &hosts {
        eventually("a refusal", || matches!(host.check(POISON), Suspicion::Refused { .. }));
        assert_eq!(host.check(INNOCENT), Suspicion::Clear);
    }
}

#[test]
fn completed_suspect_cleared() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let hosts = [watch(&platform), watch(&platform)];
    hosts[0].crashed(INNOCENT, crash("engine-1"));
    eventually("a suspect", || hosts[1].check(INNOCENT) == Suspicion::Suspect);
    hosts[0].completed(INNOCENT);
    eventually("no row", || rows(&platform) == 0);
    for host in &hosts {
        eventually("a clear request", || host.check(INNOCENT) == Suspicion::Clear);
    }
    assert_eq!(hosts[1].crashed(INNOCENT, crash("engine-2")), Suspicion::Suspect);
}

#[test]
fn noted_without_store() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let (first, second) = (watch(&platform), watch(&platform));
    fail(&platform, &Faults { table_down: true, ..Faults::default() });
    thread::scope(|scope| {
        let crashes = [crash("engine-1"), crash("engine-2")];
        let notes = crashes.map(|it| scope.spawn(|| first.crashed(POISON, it)));
        eventually("a refusal", || matches!(first.check(POISON), Suspicion::Refused { .. }));
        assert_eq!(second.check(POISON), Suspicion::Clear);
        fail(&platform, &Faults::default());
        for note in notes {
            note.join().expect("a note");
        }
    });
    eventually("a refusal", || matches!(second.check(POISON), Suspicion::Refused { .. }));
}

#[test]
fn trials_apart_on_hosts() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let (first, second) = (watch(&platform), watch(&platform));
    let target = "engine-1".into();
    let trial = first.trial(POISON, &target).expect("a trial");
    assert!(first.trial(INNOCENT, &target).is_none());
    assert!(second.trial(INNOCENT, &target).is_none());
    assert!(second.taken(INNOCENT).contains(&target));
    drop(trial);
    eventually("a free target", || second.trial(INNOCENT, &target).is_some());
    fail(&platform, &Faults { table_down: true, ..Faults::default() });
    let _alone = first.trial(POISON, &target).expect("a trial without the store");
    assert!(first.trial(INNOCENT, &target).is_none(), "one host keeps its suspects apart");
}

fn target(address: SocketAddr) -> target::Client {
    let bound = Duration::from_millis(200);
    let settings =
        settings::Targets { connect_time: bound, silence: bound, ..settings::Targets::default() };
    target::Client::new(address, &settings)
}

#[test]
fn death_confirmed() {
    let service = Service::start(service::Config::default()).expect("a service");
    let client = target(service.address());
    let incarnation = client.report().expect("a report").incarnation;
    assert_eq!(confirm(&client, incarnation), Finding::Alive);
    assert_eq!(confirm(&client, incarnation + 1), Finding::Died, "another run answers");
    drop(service);
    assert_eq!(confirm(&client, incarnation), Finding::Died);
}

#[test]
fn silence_unclear() {
    let (listener, address) = utils::free_listener().expect("a listener");
    // The system accepts connections, but nobody answers on them.
    assert_eq!(confirm(&target(address), 1), Finding::Unclear);
    // With a full queue the system drops what asks for a connection.
    let listener = socket2::Socket::from(listener);
    listener.listen(0).expect("a short queue");
    let bound = Duration::from_millis(50);
    let connect = |_| TcpStream::connect_timeout(&address, bound).ok();
    let _queued: Vec<_> = (0..8).map_while(connect).collect();
    assert_eq!(confirm(&target(address), 1), Finding::Unclear);
}
