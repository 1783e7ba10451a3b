//! Streams that outlive the engine, the connection or the host's stay.

mod common;
mod deployment;

use common::{wait_for, wait_until};
use deployment::{Fleet, SERVICE, Shape, Target};
use fuchsiaknot::standin::engine::Faults;

const PROMPT: &str = "draft the delivery terms for the fish market";
/// Tokens of each answer.
const TOKENS: u32 = 40;
/// Tokens that come before the fault.
const BEFORE: u32 = 5;
/// Bound on silence that is short for tests.
const SHORT_SILENCE: &str = "[targets]\nsilence = 500ms\n";

fn hold() -> Faults {
    Faults { hold_after_tokens: Some(BEFORE), ..Faults::default() }
}

/// Returns the first token wanted by each request that an engine started.
fn started(engine: &Target) -> Vec<u32> {
    engine.engine_record().started.iter().map(|it| it.resume_at).collect()
}

/// Returns the place of the engine that runs the only stream.
fn running(fleet: &Fleet) -> usize {
    fleet.engines.iter().position(|it| !started(it).is_empty()).expect("an engine")
}

#[test]
fn engine_killed() {
    let mut fleet = Fleet::start(&Shape { engines: 3, hosts: 2, ..Shape::default() });
    let undisturbed = fleet.hosts[1].caller.stream(PROMPT, TOKENS).rest();
    assert!(undisturbed.is_whole, "{undisturbed:?}");
    let first = running(&fleet);
    fleet.engines.iter().for_each(|it| it.engine_faults(&hold()));
    let mut stream = fleet.hosts[0].caller.stream(PROMPT, TOKENS);
    let mut text = stream.pieces(BEFORE as usize);
    let killed = fleet
        .engines
        .iter()
        .enumerate()
        .position(|(it, engine)| started(engine).len() == if it == first { 2 } else { 1 })
        .expect("an engine with the stream");
    fleet.engines[killed].process.kill();
    let others = || fleet.engines.iter().enumerate().filter(|(it, _)| *it != killed);
    others().for_each(|(_, it)| it.engine_faults(&Faults::default()));
    let rest = stream.rest();
    text.push_str(&rest.text);
    assert_eq!(text, undisturbed.text);
    assert!(rest.is_whole, "{rest:?}");
    let resumed: Vec<_> = others().flat_map(|(_, it)| started(it)).filter(|it| 0 < *it).collect();
    assert_eq!(resumed, [BEFORE]);
}

#[test]
fn tokens_repeated() {
    let fleet = Fleet::start(&Shape { engines: 1, hosts: 1, ..Shape::default() });
    let undisturbed = fleet.hosts[0].caller.stream(PROMPT, TOKENS).rest();
    fleet.engines[0].engine_faults(&Faults { repeat_tokens: true, ..Faults::default() });
    let repeated = fleet.hosts[0].caller.stream(PROMPT, TOKENS).rest();
    assert_eq!(repeated.text, undisturbed.text);
    assert!(repeated.is_whole && undisturbed.is_whole, "{repeated:?}");
}

#[test]
fn silent_in_stream() {
    let shape =
        Shape { engines: 1, hosts: 1, proxied: true, settings: SHORT_SILENCE, ..Shape::default() };
    let fleet = Fleet::start(&shape);
    let (engine, caller) = (&fleet.engines[0], fleet.hosts[0].caller);
    let undisturbed = caller.stream(PROMPT, TOKENS).rest();
    engine.engine_faults(&hold());
    let mut stream = caller.stream(PROMPT, TOKENS);
    let mut text = stream.pieces(BEFORE as usize);
    engine.proxy.as_ref().expect("a proxy").silence_open();
    engine.engine_faults(&Faults::default());
    let rest = stream.rest();
    text.push_str(&rest.text);
    assert_eq!(text, undisturbed.text);
    assert!(rest.is_whole, "{rest:?}");
    assert_eq!(started(engine), [0, 0, BEFORE]);
}

#[test]
fn silent_in_pool() {
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
fn leaving_host() {
    let mut fleet = Fleet::start(&Shape { engines: 1, services: 1, hosts: 2, ..Shape::default() });
    let undisturbed = fleet.hosts[1].caller.stream(PROMPT, TOKENS).rest();
    fleet.engines[0].engine_faults(&hold());
    let leaving = fleet.hosts[0].caller;
    let mut streams: Vec<_> = (0..4).map(|_| leaving.stream(PROMPT, TOKENS)).collect();
    let begun: Vec<_> = streams.iter_mut().map(|it| it.pieces(BEFORE as usize)).collect();
    fleet.hosts[0].process.terminate();
    let stays = fleet.hosts[1].caller;
    wait_until("the leaving host is not named", || {
        let hosts = stays.get("/v1/hosts").body;
        !hosts.contains(&leaving.address.to_string())
    });
    let refusal = wait_for("the leaving host refuses", || {
        let answer = leaving.order("order-1", "40 kg").ok()?;
        (answer.status != 200).then_some(answer)
    });
    assert_eq!((refusal.status, refusal.header("x-verdict")), (503, "not-run"));
    assert!(refusal.body.contains(&stays.address.to_string()), "{refusal:?}");
    let runs = fleet.runs().len();
    leaving.order("order-2", "40 kg").unwrap();
    assert_eq!(fleet.runs().len(), runs);
    assert!(fleet.hosts[0].process.is_running(), "the host left its streams");
    fleet.engines[0].engine_faults(&Faults::default());
    for (begun, stream) in begun.into_iter().zip(streams) {
        let rest = stream.rest();
        assert_eq!(begun + &rest.text, undisturbed.text);
        assert!(rest.is_whole, "{rest:?}");
    }
    assert_eq!(fleet.hosts[0].process.exit_code(), Some(0));
}
