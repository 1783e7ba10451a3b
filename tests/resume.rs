//! Resumption of streams after the loss of an engine or a connection, and their completion while
//! the host shuts down.

mod common;
mod deployment;

use common::{wait_for, wait_until};
use deployment::{Fleet, SERVICE, Shape, Target};
use fuchsiaknot::standin::engine::Faults;

const PROMPT: &str = "draft the delivery terms for the fish market";
/// Length of each answer, in tokens.
const TOKENS: u32 = 40;
/// Number of tokens sent before the fault.
const TOKENS_BEFORE_FAULT: u32 = 5;
/// Settings with a short timeout, after which a stream without data counts as failed.
const SHORT_SILENCE: &str = "[targets]\nsilence = 500ms\n";

/// Returns faults that hold a stream after [`TOKENS_BEFORE_FAULT`] tokens.
fn hold_faults() -> Faults {
    Faults { hold_after_tokens: Some(TOKENS_BEFORE_FAULT), ..Faults::default() }
}

/// Returns the index of the first requested token of each generation that an engine started.
fn resume_points(engine: &Target) -> Vec<u32> {
    engine.engine_record().started.iter().map(|it| it.resume_at).collect()
}

/// Returns the index of the engine that ran the only stream.
fn used_engine(fleet: &Fleet) -> usize {
    fleet.engines.iter().position(|it| !resume_points(it).is_empty()).expect("an engine")
}

#[test]
fn engine_killed() {
    let mut fleet = Fleet::start(&Shape { engines: 3, hosts: 2, ..Shape::default() });
    let expected = fleet.hosts[1].caller.stream(PROMPT, TOKENS).rest();
    assert!(expected.is_whole, "{expected:?}");
    let first = used_engine(&fleet);
    fleet.engines.iter().for_each(|it| it.engine_faults(&hold_faults()));
    let mut stream = fleet.hosts[0].caller.stream(PROMPT, TOKENS);
    let mut text = stream.pieces(TOKENS_BEFORE_FAULT as usize);
    let killed = fleet
        .engines
        .iter()
        .enumerate()
        .position(|(it, engine)| resume_points(engine).len() == if it == first { 2 } else { 1 })
        .expect("an engine with the stream");
    fleet.engines[killed].process.kill();
    let others = || fleet.engines.iter().enumerate().filter(|(it, _)| *it != killed);
    others().for_each(|(_, it)| it.engine_faults(&Faults::default()));
    let rest = stream.rest();
    text.push_str(&rest.text);
    assert_eq!(text, expected.text);
    assert!(rest.is_whole, "{rest:?}");
    let resumed: Vec<_> =
        others().flat_map(|(_, it)| resume_points(it)).filter(|it| 0 < *it).collect();
    assert_eq!(resumed, [TOKENS_BEFORE_FAULT]);
}

#[test]
fn tokens_repeated() {
    let fleet = Fleet::start(&Shape { engines: 1, hosts: 1, ..Shape::default() });
    let expected = fleet.hosts[0].caller.stream(PROMPT, TOKENS).rest();
    fleet.engines[0].engine_faults(&Faults { repeat_tokens: true, ..Faults::default() });
    let repeated = fleet.hosts[0].caller.stream(PROMPT, TOKENS).rest();
    assert_eq!(repeated.text, expected.text);
    assert!(repeated.is_whole && expected.is_whole, "{repeated:?}");
}

#[test]
fn silent_stream() {
    let shape =
        Shape { engines: 1, hosts: 1, proxied: true, settings: SHORT_SILENCE, ..Shape::default() };
    let fleet = Fleet::start(&shape);
    let (engine, caller) = (&fleet.engines[0], fleet.hosts[0].caller);
    let expected = caller.stream(PROMPT, TOKENS).rest();
    engine.engine_faults(&hold_faults());
    let mut stream = caller.stream(PROMPT, TOKENS);
    let mut text = stream.pieces(TOKENS_BEFORE_FAULT as usize);
    engine.proxy.as_ref().expect("a proxy").silence_open();
    engine.engine_faults(&Faults::default());
    let rest = stream.rest();
    text.push_str(&rest.text);
    assert_eq!(text, expected.text);
    assert!(rest.is_whole, "{rest:?}");
    assert_eq!(resume_points(engine), [0, 0, TOKENS_BEFORE_FAULT]);
}

#[test]
fn silent_pooled_connections() {
    let shape = Shape {
        engines: 1,
        services: 1,
        hosts: 1,
        proxied: true,
        settings: SHORT_SILENCE,
        ..Shape::default()
    };
    let fleet = Fleet::start(&shape);
    let caller = fleet.hosts[0].caller;
    assert!(caller.stream(PROMPT, TOKENS).rest().is_whole);
    for target in fleet.engines.iter().chain(&fleet.services) {
        target.proxy.as_ref().expect("a proxy").silence_open();
    }
    let answer = caller.stream(PROMPT, TOKENS).rest();
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(caller.get(&format!("/v1/services/{SERVICE}/stock")).status, 200);
    assert_eq!(caller.order("order-1", "40 kg").unwrap().status, 200);
    let orders = fleet.runs().into_iter().filter(|it| it.path == "/orders").count();
    assert_eq!(orders, 1);
}

#[test]
fn host_shutdown() {
    let mut fleet = Fleet::start(&Shape { engines: 1, services: 1, hosts: 2, ..Shape::default() });
    let expected = fleet.hosts[1].caller.stream(PROMPT, TOKENS).rest();
    fleet.engines[0].engine_faults(&hold_faults());
    let leaving = fleet.hosts[0].caller;
    let mut streams: Vec<_> = (0..4).map(|_| leaving.stream(PROMPT, TOKENS)).collect();
    let first_parts: Vec<_> =
        streams.iter_mut().map(|it| it.pieces(TOKENS_BEFORE_FAULT as usize)).collect();
    fleet.hosts[0].process.terminate();
    let staying = fleet.hosts[1].caller;
    wait_until("the leaving host is no longer offered", || {
        let hosts = staying.get("/v1/hosts").body;
        !hosts.contains(&leaving.address.to_string())
    });
    let refusal = wait_for("the leaving host refuses requests", || {
        let answer = leaving.order("order-1", "40 kg").ok()?;
        (answer.status != 200).then_some(answer)
    });
    assert_eq!((refusal.status, refusal.header("x-verdict")), (503, "not-run"));
    assert!(refusal.body.contains(&staying.address.to_string()), "{refusal:?}");
    let runs = fleet.runs().len();
    leaving.order("order-2", "40 kg").unwrap();
    assert_eq!(fleet.runs().len(), runs);
    assert!(fleet.hosts[0].process.is_running(), "the host exited before its streams ended");
    fleet.engines[0].engine_faults(&Faults::default());
    for (first_part, stream) in first_parts.into_iter().zip(streams) {
        let rest = stream.rest();
        assert_eq!(first_part + &rest.text, expected.text);
        assert!(rest.is_whole, "{rest:?}");
    }
    assert_eq!(fleet.hosts[0].process.exit_code(), Some(0));
}
