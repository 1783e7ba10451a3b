//! A request that crashes each replica that runs it comes again: after all hosts were killed, or after
//! its route was moved to another service.

use std::{
    path::Path,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    common::{
        Message,
        caller::Caller,
        host::{Host, free_network},
        record::Record,
        store::Store,
        target::{Step, Target, response},
    },
};
use serde_json::{Value, json};

const HOSTS: u8 = 3;
/// Services; the first one runs the requests until their route is moved.
const SERVICES: [&str; 3] = ["index-app", "index-app-b", "index-app-c"];
/// Replicas of each service.
const REPLICAS: usize = 4;
const POISON: &str = "poison";
/// Time until a crashed replica is back.
const DOWN_TIME: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(1200);
const CONTACT: Duration = Duration::from_secs(3);
/// Pause between two arrivals of the request.
const PAUSE: Duration = Duration::from_secs(1);
/// Times at which the request comes in each part of the day.
const ARRIVALS: usize = 9;
/// Number of times that all hosts are killed, or that the route is moved.
const REPEATS: usize = 2;
/// Most retries that may reach replicas later than [`CONTACT`] after the third crash.
const MAX_RETRIES: usize = 3;

fn manifest(version: u64, service: &str) -> Value {
    let services = SERVICES.map(|name| {
        json!({
            "Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1",
            "Tls": false
        })
    });
    json!({
        "Version": version,
        "Routes": [{
            "Name": "r-publish", "Host": "site.example", "Prefix": "/publish/",
            "Kind": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 100, "Priority": 2,
            "Service": service, "MaxAttempts": 1
        }],
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000
        }
    })
}

/// Times at which the request crashed a replica.
type Crashes = Arc<Mutex<Vec<Duration>>>;

fn start_replica(
    name: &str,
    service: &'static str,
    store: &Store,
    crashes: &Crashes,
    record: &Record,
) {
    let (crashes, record, replica) = (Arc::clone(crashes), record.clone(), name.to_owned());
    let (beats, lifetimes) = mpsc::channel();
    let beat_at_start = beats.clone();
    let target = Target::start(name, move |request: &Message, _| {
        if request.body != POISON.as_bytes() {
            return vec![Step::Pause(Duration::from_millis(15)), response(request, 200, "x")];
        }
        let id = request.header("x-request-id").unwrap_or_default();
        record.line(format!("{replica} begins to run {id} and crashes"));
        crashes.lock().unwrap().push(record.now());
        let (start, record, replica) = (beat_at_start.clone(), record.clone(), replica.clone());
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            record.line(format!("{replica} is back"));
            let _ = start.send(Beat::Start);
        });
        vec![Step::Crash(DOWN_TIME)]
    });
    let store = store.clone();
    let announce = move |lifetime: u64, sequence: u64| {
        // A replica that starts again keeps its Id, and has another `born`.
        let entry = json!({
            "Service": service, "Address": target.address, "Zone": "bud-a", "Version": "v1",
            "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": sequence,
            "born": 1_764_000_000_000 + 1000 * lifetime
        });
        store.put_json("servers", &target.id, &entry);
    };
    announce(1, 1);
    thread::spawn(move || {
        let (mut lifetime, mut sequence) = (1, 1);
        // A crashed replica is back before three beats are missed.
        loop {
            match lifetimes.recv_timeout(HEARTBEAT) {
                Ok(Beat::Start) => (lifetime, sequence) = (lifetime + 1, 1),
                Err(_) => sequence += 1,
            }
            announce(lifetime, sequence);
        }
    });
    drop(beats);
}

/// What makes a replica write its entry beside its heartbeat.
enum Beat {
    Start,
}

/// Has the request come a few times, at one host after the other.
fn send_poison(hosts: &[Host], record: &Record, count: &mut usize) {
    for _ in 0..ARRIVALS {
        let host = &hosts[*count % hosts.len()];
        let id = format!("poison-{count}");
        *count += 1;
        record.line(format!(
            "a client sends POST /publish/a with the crashing body as {id} to {}",
            host.name
        ));
        let headers = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
        let mut caller = Caller::connect(host.front);
        caller.send("POST", "/publish/a", &headers, POISON);
        let status = caller.read_response().map_or(0, |it| it.status());
        record.line(format!("{id} is answered {status} (0: closed)"));
        thread::sleep(PAUSE);
    }
}

/// What happens before the request comes again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// All hosts are killed and start again.
    Killed,
    /// A manifest moves the route to another service.
    Moved,
}

pub(crate) fn run_killed(temp: &Path, record: &Record, has_trouble: bool) -> Outcome {
    run(temp, record, if has_trouble { Trouble::Killed } else { Trouble::None })
}

pub(crate) fn run_moved(temp: &Path, record: &Record, has_trouble: bool) -> Outcome {
    run(temp, record, if has_trouble { Trouble::Moved } else { Trouble::None })
}

fn run(temp: &Path, record: &Record, trouble: Trouble) -> Outcome {
    let store = Store::start();
    store.put_json("op", "config", &manifest(7, SERVICES[0]));
    let crashes: Crashes = Arc::default();
    for (number, service) in SERVICES.into_iter().enumerate() {
        for replica in 0..REPLICAS {
            start_replica(&format!("i-{number}{replica}"), service, &store, &crashes, record);
        }
    }
    let network = free_network();
    let mut hosts: Vec<Host> =
        (1..=HOSTS).map(|it| Host::new(temp, network, it, store.address)).collect();
    let start = |hosts: &mut [Host]| {
        hosts.iter_mut().for_each(Host::start);
        let is_ready = hosts.iter().all(Host::wait_until_ready);
        record.line("all hosts are ready");
        is_ready
    };
    if !start(&mut hosts) {
        return Outcome::NotRun;
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let mut count = 0;
    send_poison(&hosts, record, &mut count);
    let Some(third) = crashes.lock().unwrap().get(2).copied() else {
        record.line("the request has not crashed three replicas");
        return Outcome::NotRun;
    };
    thread::sleep(CONTACT);
    for repeat in 1..=REPEATS {
        match trouble {
            Trouble::None => {}
            Trouble::Killed => {
                record.line("all hosts are killed");
                hosts.iter_mut().for_each(Host::kill);
                thread::sleep(Duration::from_secs(1));
                if !start(&mut hosts) {
                    return Outcome::NotRun;
                }
            }
            Trouble::Moved => {
                let service = SERVICES[repeat];
                record.line(format!("the manifest {} moves the route to {service}", 7 + repeat));
                store.put_json("op", "config", &manifest(7 + repeat as u64, service));
            }
        }
        // From then on, the hosts are in touch, and the manifest is in force.
        thread::sleep(CONTACT + Duration::from_secs(1));
        send_poison(&hosts, record, &mut count);
    }
    let crashes = crashes.lock().unwrap();
    let late = crashes.iter().filter(|it| third + CONTACT < **it).count();
    record.line(format!(
        "{} runs crashed replicas, {late} of them later than ContactMs after the third; {MAX_RETRIES} are allowed",
        crashes.len()
    ));
    if MAX_RETRIES < late { Outcome::Broken } else { Outcome::Held }
}
