//! A heartbeat of a replica that leaves is performed late, after its entry was removed.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
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
const REPLICAS: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(1200);
const DRAIN: Duration = Duration::from_millis(2000);
/// Time from the removal of the entry to the exit of the replica.
const LEAVING: Duration = Duration::from_secs(7);
/// Time from the lost answer to the performance of the call; the pages name 1 to 6 s.
const LATE: Duration = Duration::from_millis(3700);
/// Time from the last heartbeat to the removal of the entry.
const BEFORE_REMOVAL: Duration = Duration::from_secs(1);

fn manifest() -> Value {
    json!({
        "Version": 7,
        "Routes": [{
            "Name": "r-publish", "Host": "site.example", "Prefix": "/publish/",
            "Kind": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 100, "Priority": 2,
            "Service": "index-app", "MaxAttempts": 1
        }],
        "Services": [{
            "Name": "index-app", "HealthPath": "/health", "MaxConnections": 110,
            "Protocol": "h1", "Tls": false
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000
        }
    })
}

/// Times and identifiers of the requests that reached the leaving replica.
type Arrivals = Arc<Mutex<Vec<(Duration, String)>>>;

fn entry(replica: &Target, sequence: u64) -> Value {
    json!({
        "Service": "index-app", "Address": replica.address, "Zone": "bud-a", "Version": "v1",
        "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": sequence,
        "born": 1_764_000_000_000_u64
    })
}

pub(crate) fn run(temp: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put_json("op", "config", &manifest());
    let arrivals: Arrivals = Arc::default();
    let replicas: Vec<Target> = (0..REPLICAS)
        .map(|number| {
            let (arrivals, record) = (Arc::clone(&arrivals), record.clone());
            Target::start(&format!("i-{number}"), move |request: &Message, _| {
                let id = request.header("x-request-id").unwrap_or_default().to_owned();
                record.line(format!("i-{number} runs {id}"));
                if number == 0 {
                    arrivals.lock().unwrap().push((record.now(), id));
                }
                vec![Step::Pause(Duration::from_millis(15)), response(request, 200, "x")]
            })
        })
        .collect();
    for replica in &replicas {
        store.put_json("servers", &replica.id, &entry(replica, 1));
    }
    let others = (store.clone(), replicas[1..].to_vec());
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(HEARTBEAT);
            others
                .1
                .iter()
                .for_each(|it| others.0.put_json("servers", &it.id, &entry(it, sequence)));
        }
    });
    let network = free_network();
    let mut hosts: Vec<Host> =
        (1..=HOSTS).map(|it| Host::new(temp, network, it, store.address)).collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::wait_until_ready) {
        return Outcome::NotRun;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| {
            let (front, record, stopped) = (host.front, record.clone(), Arc::clone(&stopped));
            thread::spawn(move || send(number, front, &record, &stopped))
        })
        .collect();
    let leaving = &replicas[0];
    let beat = |sequence: u64| {
        record.line(format!("the store performs a heartbeat of i-0 (ready, Sequence {sequence})"));
        store.put_json("servers", &leaving.id, &entry(leaving, sequence));
    };
    for sequence in 2..=4 {
        thread::sleep(HEARTBEAT);
        beat(sequence);
    }
    thread::sleep(HEARTBEAT);
    record.line("i-0 sends a heartbeat (ready, Sequence 5)");
    if has_trouble {
        let (store, leaving, record) = (store.clone(), leaving.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(LATE);
            record.line(
                "the store performs late the heartbeat whose answer was lost (ready, Sequence 5)",
            );
            store.put_json("servers", &leaving.id, &entry(&leaving, 5));
            // Three intervals without a heartbeat.
            thread::sleep(3 * HEARTBEAT);
            record.line("the store removes the entry of i-0, which sends no heartbeats");
            store.delete_row("servers", &leaving.id);
        });
    } else {
        beat(5);
    }
    thread::sleep(HEARTBEAT);
    beat(6);
    thread::sleep(BEFORE_REMOVAL);
    record.line("i-0 leaves and sends no more heartbeats: its entry is removed");
    store.delete_row("servers", &leaving.id);
    let removed = record.now();
    thread::sleep(DRAIN);
    for host in &hosts {
        let gone = host.log_lines("target gone").iter().any(|it| it.contains("i-0"));
        record.line(format!("{} has taken in that i-0 is gone: {gone}", host.name));
        if !gone {
            return Outcome::NotRun;
        }
    }
    thread::sleep(LEAVING - DRAIN);
    leaving.crash_now(Duration::from_secs(60));
    record.line("i-0 exits");
    thread::sleep(Duration::from_secs(1));
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        if client.join().is_err() {
            return Outcome::NotRun;
        }
    }
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| removed + DRAIN < *at).collect();
    for (at, id) in &late {
        let after = at.saturating_sub(removed).as_millis();
        record.line(format!("DRAIN: {id} reached i-0 {after} ms after its entry was removed"));
    }
    if late.is_empty() { Outcome::Held } else { Outcome::Broken }
}

/// Sends requests one after the other on a kept channel.
fn send(client: usize, front: std::net::SocketAddr, record: &Record, stopped: &AtomicBool) {
    let mut caller = None;
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("c{client}-{number}");
        let headers = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
        let mut channel = caller.take().unwrap_or_else(|| Caller::connect(front));
        let sent = channel.try_send("POST", "/publish/a", &headers, &id);
        let answer = sent.ok().and_then(|()| channel.read_response());
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(format!("client {client} sent {id} and gets {status} (0: closed)"));
        let closes = answer.as_ref().is_none_or(|it| it.header("connection") == Some("close"));
        caller = (!closes).then_some(channel);
        thread::sleep(Duration::from_millis(50));
    }
}
