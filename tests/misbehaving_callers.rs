//! Misbehaving callers: malformed, oversized and slow requests, half-closed and dropped
//! connections.

mod common;
mod deployment;

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    thread,
};

use common::{HANG_GUARD, wait_until};
use deployment::{Caller, Fleet, KEY, MODEL, SERVICE, Shape};
use fuchsiaknot::standin::{engine, service};
use rstest::rstest;

/// Settings with short timeouts and a small maximum body size.
const SETTINGS: &str = "[callers]\nheader_time = 300ms\nbody_time = 300ms\nidle_time = 300ms\n\
                        body_bytes = 1KiB\n";

fn start() -> Fleet {
    Fleet::start(&Shape {
        engines: 1,
        services: 1,
        hosts: 1,
        settings: SETTINGS,
        ..Shape::default()
    })
}

/// Returns an order request with `body_bytes` of body, whose `content-length` is `length`.
fn order(key: &str, length: usize, body_bytes: usize) -> String {
    format!(
        "POST /v1/services/{SERVICE}/orders HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: {key}\r\nx-not-repeatable: true\r\ncontent-length: {length}\r\n\r\n{}",
        "x".repeat(body_bytes)
    )
}

fn connect(caller: Caller) -> TcpStream {
    let stream = TcpStream::connect(caller.address).unwrap();
    stream.set_read_timeout(Some(HANG_GUARD)).unwrap();
    stream
}

/// Reads until the host closes the connection.
fn read_all(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

#[rstest]
#[case::garbage("\u{1}\u{2}\u{3} no request\r\n\r\n".to_owned(), "400")]
#[case::unterminated("POST /v1/services/orders".to_owned(), "408")]
#[case::oversized(order("order-1", 2_000, 2_000), "413")]
#[case::oversized_unsent(order("order-1", 2_000, 0), "413")]
#[case::slow_body(order("order-1", 100, 10), "408")]
#[case::no_key("POST /v1/services/orders/a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n".to_owned(), "401")]
fn refused_not_run(#[case] request: String, #[case] status: &str) {
    let fleet = start();
    let caller = fleet.hosts[0].caller;
    let mut stream = connect(caller);
    stream.write_all(request.as_bytes()).unwrap();
    let answer = read_all(&stream);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    // The HTTP library itself answers input that isn't HTTP, without a body.
    assert!(answer.contains("not-run") || status == "400", "{answer}");
    assert_eq!(fleet.runs(), []);
    assert_eq!(caller.order("order-1", "40 kg").unwrap().status, 200);
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn half_closed_answered() {
    let fleet = start();
    let mut stream = connect(fleet.hosts[0].caller);
    stream.write_all(order("order-1", 5, 5).as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let answer = read_all(&stream);
    // The host may answer, or treat the half-closed connection as gone. The order runs once either
    // way.
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 200"), "{answer}");
    wait_until("the answer is stored", || {
        fleet.hosts[0].caller.order("order-1", "xxxxx").unwrap().status == 200
    });
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn order_outlives_caller() {
    let fleet = start();
    let faults = service::Faults { hold_after_run: true, ..service::Faults::default() };
    fleet.services[0].service_faults(&faults);
    let mut stream = connect(fleet.hosts[0].caller);
    stream.write_all(order("order-1", 5, 5).as_bytes()).unwrap();
    wait_until("the order runs", || fleet.runs().len() == 1);
    drop(stream);
    fleet.services[0].service_faults(&service::Faults::default());
    wait_until("the answer is stored", || {
        fleet.hosts[0].caller.order("order-1", "xxxxx").unwrap().status == 200
    });
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn stream_cancelled() {
    let fleet = start();
    let faults = engine::Faults { hold_after_tokens: Some(2), ..engine::Faults::default() };
    fleet.engines[0].engine_faults(&faults);
    let body = format!(r#"{{"model":"{MODEL}","prompt":"a b","max_tokens":9,"stream":true}}"#);
    let mut stream = connect(fleet.hosts[0].caller);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    wait_until("two tokens are generated", || fleet.engines[0].engine_record().tokens == 2);
    drop(stream);
    wait_until("the engine's stream is cancelled", || {
        fleet.engines[0].engine_record().cancelled == 1
    });
    assert_eq!(fleet.engines[0].engine_record().started.len(), 1);
}

#[test]
fn slow_callers() {
    let fleet = start();
    let caller = fleet.hosts[0].caller;
    let threads: Vec<_> = (0..50)
        .map(|number| {
            thread::spawn(move || {
                let mut stream = connect(caller);
                let text = order(&format!("slow-{number}"), 100, 10);
                stream.write_all(&text.as_bytes()[..text.len() / 2]).unwrap();
                read_all(&stream)
            })
        })
        .collect();
    assert_eq!(caller.order("order-1", "40 kg").unwrap().status, 200);
    for thread in threads {
        assert!(thread.join().unwrap().starts_with("HTTP/1.1 408"));
    }
    assert_eq!(fleet.runs().len(), 1);
}
