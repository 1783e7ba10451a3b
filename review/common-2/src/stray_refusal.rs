//! A replica sends a second answer on a kept channel, late: bytes that belong to no request.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
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

/// Share of the answers of the faulty replica that are followed by bytes of no request.
const STRAY_INTERVAL: usize = 50;
const REPLICAS: usize = 3;
/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(15);
const CLIENTS: usize = 4;
const REQUESTS: usize = 450;
/// Budget window, after which a process may spend its share of the slack.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Bytes after a complete response, in the form in which a replica sheds a request.
const STRAY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

fn manifest() -> Value {
    json!({
        "Version": 7,
        "Routes": [{
            "Name": "r-publish", "Host": "site.example", "Prefix": "/publish/",
            "Kind": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 100, "Priority": 2,
            "Service": "index-app", "MaxAttempts": 2
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

/// Runs of each request: the replicas that began to work on it.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn start_replica(name: &str, is_faulty: bool, runs: &Runs, record: &Record) -> Target {
    let (runs, record, replica) = (Arc::clone(runs), record.clone(), name.to_owned());
    Target::start(name, move |request: &Message, earlier| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        runs.lock().unwrap().entry(id.clone()).or_default().push(replica.clone());
        record.line(format!("{replica} runs {id}"));
        let mut steps = Vec::new();
        // What was left over from an earlier answer comes where the next one is expected.
        if is_faulty && 0 < earlier && earlier.is_multiple_of(STRAY_INTERVAL) {
            record.line(format!("{replica} sends, before its answer to {id}, bytes of no request"));
            steps.push(Step::Send(STRAY.to_vec()));
        }
        steps.extend([Step::Pause(WORK), response(request, 200, &id)]);
        steps
    })
}

pub(crate) fn run(temp: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put_json("op", "config", &manifest());
    let runs: Runs = Arc::default();
    let replicas: Vec<Target> = (0..REPLICAS)
        .map(|it| start_replica(&format!("i-{it}"), has_trouble && it == 0, &runs, record))
        .collect();
    for replica in &replicas {
        replica.announce(&store, "index-app", "ready", 1);
    }
    beat(&store, &replicas);
    let mut host = Host::new(temp, free_network(), 1, store.address);
    host.start();
    if !host.wait_until_ready() {
        return Outcome::NotRun;
    }
    thread::sleep(BUDGET_WINDOW + Duration::from_secs(1));
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record, answers) = (host.front, record.clone(), Arc::clone(&answers));
            thread::spawn(move || call(client, front, &record, &answers))
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            return Outcome::NotRun;
        }
    }
    judge(record, &runs.lock().unwrap(), &answers.lock().unwrap())
}

/// Announces the replicas again at the heartbeat interval.
fn beat(store: &Store, replicas: &[Target]) {
    let (store, replicas) = (store.clone(), replicas.to_vec());
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1200));
            for replica in &replicas {
                replica.announce(&store, "index-app", "ready", sequence);
            }
        }
    });
}

/// Sends requests one after the other on a kept channel.
fn call(
    client: usize,
    front: std::net::SocketAddr,
    record: &Record,
    answers: &Mutex<BTreeMap<String, u16>>,
) {
    let mut caller = None;
    for number in 0..REQUESTS / CLIENTS {
        let id = format!("c{client}-{number}");
        let headers = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
        record.line(format!("client {client} sends POST /publish/{client} as {id}"));
        let mut channel = caller.take().unwrap_or_else(|| Caller::connect(front));
        let sent = channel.try_send("POST", &format!("/publish/{client}"), &headers, &id);
        let answer = sent.ok().and_then(|()| channel.read_response());
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(format!("client {client} gets {status} for {id} (0: closed)"));
        answers.lock().unwrap().insert(id, status);
        let closes = answer.as_ref().is_none_or(|it| it.header("connection") == Some("close"));
        caller = (!closes).then_some(channel);
        thread::sleep(Duration::from_millis(20));
    }
}

fn judge(
    record: &Record,
    runs: &BTreeMap<String, Vec<String>>,
    answers: &BTreeMap<String, u16>,
) -> Outcome {
    let twice: Vec<_> = runs.iter().filter(|(_, it)| 1 < it.len()).collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| [408, 421, 429, 503].contains(*status) && runs.contains_key(*id))
        .collect();
    record.line(format!(
        "{} requests, {} answered 200",
        answers.len(),
        answers.values().filter(|it| **it == 200).count()
    ));
    for (id, replicas) in &twice {
        record.line(format!("TWICE: {id} was run by {}", replicas.join(" and ")));
    }
    for (id, status) in &refused {
        record.line(format!("REFUSED: {id} was answered {status} and has run"));
    }
    if twice.is_empty() && refused.is_empty() { Outcome::Held } else { Outcome::Broken }
}
