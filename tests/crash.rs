//! Recording, sharing and refusal of requests that crash the targets that run them.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    crash::{Config, Crash, Liveness, Registry, Status, Suspects, probe},
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

/// Limit of every wait, after which a test fails rather than hangs.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

const RETENTION: Duration = Duration::from_secs(600);
/// Fingerprint of a request that crashes targets.
const CRASHING: u64 = 1;
/// Fingerprint of a harmless request that ran on a target when it crashed.
const HARMLESS: u64 = 2;

fn crash(target: &str) -> Crash {
    Crash { target: target.into(), incarnation: 7 }
}

fn store_client(platform: &Platform) -> Client {
    let address = platform.address();
    Client::new(&settings::Platform { address, ..settings::Platform::default() })
}

fn registry(platform: &Platform) -> Registry<Client> {
    let scan_every = Duration::from_millis(20);
    let config = Config { scan_every, write_timeout: WAIT_LIMIT, ..Config::default() };
    Registry::start(config, store_client(platform)).expect("a registry")
}

fn set_faults(platform: &Platform, faults: &Faults) {
    let url = format!("http://{}/faults", platform.address());
    ureq::post(url).send_json(faults).expect("faults set");
}

fn row_count(platform: &Platform) -> usize {
    store_client(platform).scan("crash/").expect("rows").len()
}

fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn is_refused(suspects: &Suspects, fingerprint: u64, now: Duration) -> bool {
    matches!(suspects.status(fingerprint, now), Status::Refused { .. })
}

#[test]
fn second_crash_refused() {
    let mut suspects = Suspects::new(RETENTION);
    let now = Duration::from_secs(1);
    assert!(suspects.record_crash(CRASHING, crash("engine-1"), now));
    assert!(!suspects.record_crash(CRASHING, crash("engine-1"), now), "the same death counts once");
    assert_eq!(suspects.status(CRASHING, now), Status::Suspect);
    suspects.record_crash(CRASHING, crash("engine-2"), now);
    assert!(is_refused(&suspects, CRASHING, now + RETENTION - Duration::from_secs(1)));
    assert_eq!(suspects.status(CRASHING, now + RETENTION), Status::Clear);
}

#[test]
fn expired_crash_uncounted() {
    let mut suspects = Suspects::new(RETENTION);
    suspects.record_crash(CRASHING, crash("engine-1"), Duration::ZERO);
    suspects.record_crash(CRASHING, crash("engine-2"), RETENTION);
    assert_eq!(suspects.status(CRASHING, RETENTION), Status::Suspect);
}

#[test]
fn trials_exclusive() {
    let mut suspects = Suspects::new(RETENTION);
    let now = Duration::ZERO;
    for fingerprint in [CRASHING, HARMLESS] {
        suspects.record_crash(fingerprint, crash("engine-1"), now);
    }
    let target = "engine-2".into();
    assert!(suspects.begin_trial(CRASHING, &target));
    assert!(!suspects.begin_trial(HARMLESS, &target));
    assert!(suspects.targets_on_trial(HARMLESS, now).contains(&target));
    assert!(suspects.begin_trial(HARMLESS, &"engine-3".into()));
    suspects.record_crash(CRASHING, crash("engine-2"), now);
    suspects.end_trial(CRASHING, &target);
    assert!(suspects.record_completion(HARMLESS, now).is_some());
    assert_eq!(suspects.status(HARMLESS, now), Status::Clear);
    assert!(is_refused(&suspects, CRASHING, now));
    assert!(
        suspects.record_completion(CRASHING, now).is_none(),
        "a late completion must not clear a refusal"
    );
}

#[test]
fn refused_on_all_hosts() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let hosts = [registry(&platform), registry(&platform), registry(&platform)];
    assert_eq!(hosts[0].record_crash(CRASHING, crash("engine-1")), Status::Suspect);
    // Writing its own crash makes the second host read the first one from the same row.
    let second = hosts[1].record_crash(CRASHING, crash("engine-2"));
    assert!(matches!(second, Status::Refused { .. }), "{second:?}");
    for host in &hosts {
        eventually("a refusal", || matches!(host.status(CRASHING), Status::Refused { .. }));
        assert_eq!(host.status(HARMLESS), Status::Clear);
    }
}

#[test]
fn completed_suspect_cleared() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let hosts = [registry(&platform), registry(&platform)];
    hosts[0].record_crash(HARMLESS, crash("engine-1"));
    eventually("a suspect", || hosts[1].status(HARMLESS) == Status::Suspect);
    hosts[0].record_completion(HARMLESS);
    eventually("no row", || row_count(&platform) == 0);
    for host in &hosts {
        eventually("a clear request", || host.status(HARMLESS) == Status::Clear);
    }
    assert_eq!(hosts[1].record_crash(HARMLESS, crash("engine-2")), Status::Suspect);
}

#[test]
fn recorded_without_store() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let (first, second) = (registry(&platform), registry(&platform));
    set_faults(&platform, &Faults { table_down: true, ..Faults::default() });
    thread::scope(|scope| {
        let crashes = [crash("engine-1"), crash("engine-2")];
        let recorders = crashes.map(|it| scope.spawn(|| first.record_crash(CRASHING, it)));
        eventually("a refusal", || matches!(first.status(CRASHING), Status::Refused { .. }));
        assert_eq!(second.status(CRASHING), Status::Clear);
        set_faults(&platform, &Faults::default());
        for recorder in recorders {
            recorder.join().expect("a recorded crash");
        }
    });
    eventually("a refusal", || matches!(second.status(CRASHING), Status::Refused { .. }));
}

#[test]
fn trials_exclusive_across_hosts() {
    let platform = Platform::start(PlatformConfig::default()).expect("a platform");
    let (first, second) = (registry(&platform), registry(&platform));
    let target = "engine-1".into();
    let trial = first.begin_trial(CRASHING, &target).expect("a trial");
    assert!(first.begin_trial(HARMLESS, &target).is_none());
    assert!(second.begin_trial(HARMLESS, &target).is_none());
    assert!(second.targets_on_trial(HARMLESS).contains(&target));
    drop(trial);
    eventually("a free target", || second.begin_trial(HARMLESS, &target).is_some());
    set_faults(&platform, &Faults { table_down: true, ..Faults::default() });
    let _unshared = first.begin_trial(CRASHING, &target).expect("a trial without the store");
    assert!(
        first.begin_trial(HARMLESS, &target).is_none(),
        "one host must keep its own suspects on different targets"
    );
}

fn target_client(address: SocketAddr) -> target::Client {
    let timeout = Duration::from_millis(200);
    let settings = settings::Targets {
        connect_time: timeout,
        silence: timeout,
        ..settings::Targets::default()
    };
    target::Client::new(address, &settings)
}

#[test]
fn dead_target_detected() {
    let service = Service::start(service::Config::default()).expect("a service");
    let client = target_client(service.address());
    let incarnation = client.report().expect("a report").incarnation;
    assert_eq!(probe(&client, incarnation), Liveness::Alive);
    assert_eq!(probe(&client, incarnation + 1), Liveness::Dead, "another run answers");
    drop(service);
    assert_eq!(probe(&client, incarnation), Liveness::Dead);
}

#[test]
fn silent_target_unknown() {
    let (listener, address) = utils::bind_loopback().expect("a listener");
    // The kernel accepts connections into the backlog, but no process answers on them.
    assert_eq!(probe(&target_client(address), 1), Liveness::Unknown);
    // With a full accept queue the kernel drops further connection requests.
    let listener = socket2::Socket::from(listener);
    listener.listen(0).expect("a listener with an empty backlog");
    let timeout = Duration::from_millis(50);
    let connect = |_| TcpStream::connect_timeout(&address, timeout).ok();
    let _queued: Vec<_> = (0..8).map_while(connect).collect();
    assert_eq!(probe(&target_client(address), 1), Liveness::Unknown);
}
