//! Orders run at most once while hosts, services and the platform fail; all run as real processes.

mod common;
mod deployment;

use std::{
    collections::BTreeMap,
    sync::{Arc, Barrier, Mutex},
    thread,
};

use common::{http::Answer, wait_until};
use deployment::{Caller, Fleet, SERVICE, Shape};
use fuchsiaknot::standin::{platform, service};

/// Number of keys that are sent to both hosts at the same time.
const KEY_COUNT: usize = 100;

fn start(hosts: usize) -> Fleet {
    Fleet::start(&Shape { services: 1, hosts, ..Shape::default() })
}

/// Returns the status, error code and verdict of an answer.
fn refusal_fields(answer: &Answer) -> (u16, String, String) {
    let body: serde_json::Value = answer.json();
    let code = body["error"]["code"].as_str().unwrap_or_default().to_owned();
    (answer.status, code, answer.header("x-verdict").to_owned())
}

/// Expected fields of a refusal, as [`refusal_fields`] returns them.
fn refused(status: u16, code: &str, verdict: &str) -> (u16, String, String) {
    (status, code.to_owned(), verdict.to_owned())
}

/// Sends an order in the background; returns `None` if the host is killed before it answers.
fn order_in_background(caller: Caller) -> thread::JoinHandle<Option<Answer>> {
    thread::spawn(move || caller.order("order-1", "40 kg").ok())
}

#[test]
fn copy_replayed() {
    let fleet = start(2);
    let first = fleet.hosts[0].caller.order("order-1", "40 kg").unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    for host in &fleet.hosts {
        wait_until("the answer is stored", || {
            let copy = host.caller.order("order-1", "40 kg").unwrap();
            copy.status == 200 && copy.body == first.body
        });
    }
    let other = fleet.hosts[1].caller.order("order-1", "80 kg").unwrap();
    assert_eq!(refusal_fields(&other), refused(422, "key-reused", "not-run"));
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn killed_before_send() {
    let mut fleet = start(2);
    // The claim is committed, but its response is lost and the host cannot read the row.
    fleet.platform_faults(&platform::Faults {
        lose_answers: 1,
        lose_prefix: "claim/".into(),
        reads_per_second: Some(0),
        ..platform::Faults::default()
    });
    let caller = order_in_background(fleet.hosts[0].caller);
    wait_until("the claim is written", || fleet.platform_stats().lost == 1);
    fleet.hosts[0].process.kill();
    fleet.platform_faults(&platform::Faults::default());
    // On a busy machine the host may have abandoned its claim before it was killed.
    let abandoned = refused(503, "claim-unavailable", "not-run");
    assert!(caller.join().unwrap().is_none_or(|it| refusal_fields(&it) == abandoned));
    for _ in 0..2 {
        let copy = fleet.hosts[1].caller.order("order-1", "40 kg").unwrap();
        assert_eq!(refusal_fields(&copy), refused(409, "claim-held", "may-have-run"));
    }
    assert_eq!(fleet.runs(), []);
}

#[test]
fn killed_after_send() {
    let mut fleet = start(2);
    fleet.services[0]
        .service_faults(&service::Faults { hold_after_run: true, ..service::Faults::default() });
    let caller = order_in_background(fleet.hosts[0].caller);
    wait_until("the order runs", || fleet.runs().len() == 1);
    let during = fleet.hosts[1].caller.order("order-1", "40 kg").unwrap();
    assert_eq!(refusal_fields(&during), refused(409, "claim-held", "may-have-run"));
    fleet.hosts[0].process.kill();
    assert!(caller.join().unwrap().is_none(), "the killed host answered");
    fleet.services[0].service_faults(&service::Faults::default());
    let after = fleet.hosts[1].caller.order("order-1", "40 kg").unwrap();
    assert_eq!(refusal_fields(&after), refused(409, "claim-held", "may-have-run"));
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn claim_answer_lost() {
    let fleet = start(2);
    fleet.platform_faults(&platform::Faults {
        lose_answers: 1,
        lose_prefix: "claim/".into(),
        ..platform::Faults::default()
    });
    let first = fleet.hosts[0].caller.order("order-1", "40 kg").unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(fleet.platform_stats().lost, 1);
    wait_until("the answer is stored", || {
        let copy = fleet.hosts[1].caller.order("order-1", "40 kg").unwrap();
        copy.status == 200 && copy.body == first.body
    });
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn target_answer_lost() {
    let fleet = start(2);
    fleet.services[0]
        .service_faults(&service::Faults { lose_answers: 1, ..service::Faults::default() });
    let first = fleet.hosts[0].caller.order("order-1", "40 kg").unwrap();
    assert_eq!(refusal_fields(&first), refused(502, "target-failed", "may-have-run"));
    for host in &fleet.hosts {
        let copy = host.caller.order("order-1", "40 kg").unwrap();
        assert_eq!(refusal_fields(&copy), refused(409, "claim-held", "may-have-run"));
    }
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn refused_then_run() {
    let fleet = start(2);
    fleet.services[0]
        .service_faults(&service::Faults { refuse: true, ..service::Faults::default() });
    let first = fleet.hosts[0].caller.order("order-1", "40 kg").unwrap();
    assert_eq!(first.header("x-verdict"), "not-run", "{first:?}");
    assert_eq!(fleet.runs(), []);
    fleet.services[0].service_faults(&service::Faults::default());
    wait_until("the key is free again", || {
        fleet.hosts[1].caller.order("order-1", "40 kg").unwrap().status == 200
    });
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn sent_to_two_hosts() {
    let fleet = start(2);
    let start = Arc::new(Barrier::new(fleet.hosts.len()));
    let unexpected = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for host in &fleet.hosts {
            let (start, caller, unexpected) = (&start, host.caller, &unexpected);
            scope.spawn(move || {
                for number in 0..KEY_COUNT {
                    start.wait();
                    let answer = caller.order(&format!("order-{number}"), "40 kg");
                    let held = refused(409, "claim-held", "may-have-run");
                    let is_expected = answer
                        .as_ref()
                        .is_ok_and(|it| it.status == 200 || refusal_fields(it) == held);
                    if !is_expected {
                        unexpected.lock().unwrap().push(answer);
                    }
                }
            });
        }
    });
    let unexpected = unexpected.into_inner().unwrap();
    assert!(unexpected.is_empty(), "{unexpected:?}");
    let mut runs = BTreeMap::new();
    for run in fleet.runs() {
        *runs.entry(run.key).or_insert(0) += 1;
    }
    assert_eq!(runs.len(), KEY_COUNT);
    assert!(runs.values().all(|it| *it == 1), "{runs:?}");
}

#[test]
fn store_down() {
    let host = "configuration_bound = 600s\n";
    let fleet =
        Fleet::start(&Shape { engines: 1, services: 1, hosts: 2, host, ..Shape::default() });
    fleet.platform_faults(&platform::Faults { table_down: true, ..platform::Faults::default() });
    for round in 0..3 {
        for host in &fleet.hosts {
            let order = host.caller.order(&format!("order-{round}"), "40 kg").unwrap();
            assert_eq!(refusal_fields(&order), refused(503, "claim-unavailable", "not-run"));
            assert_ne!(order.header("retry-after"), "");
            assert_eq!(host.caller.get(&format!("/v1/services/{SERVICE}/stock")).status, 200);
            assert!(host.caller.stream("a quick stock question", 4).rest().is_whole);
        }
    }
    let runs = fleet.runs();
    assert!(runs.iter().all(|it| it.path == "/stock"), "{runs:?}");
    assert_eq!(runs.len(), 6);
    fleet.platform_faults(&platform::Faults::default());
    wait_until("orders are accepted again", || {
        fleet.hosts[0].caller.order("order-0", "40 kg").unwrap().status == 200
    });
    assert_eq!(fleet.runs().iter().filter(|it| it.path == "/orders").count(), 1);
}

#[test]
fn silent_store_connections() {
    let settings = "timeout = 1s\n";
    let fleet = Fleet::start(&Shape {
        services: 1,
        hosts: 2,
        proxied: true,
        platform: settings,
        ..Shape::default()
    });
    for round in 0..3 {
        // Connections that are open now never answer again; new ones work.
        fleet.platform_proxy.silence_open();
        let order = fleet.hosts[0].caller.order(&format!("order-{round}"), "40 kg").unwrap();
        assert_eq!(order.status, 200, "{order:?}");
    }
    assert_eq!(fleet.runs().len(), 3);
}
