//! A request that crashes engines, sent again by its caller through every host.

mod common;
mod deployment;

use std::thread;

use common::wait_until;
use deployment::{Fleet, Shape};
use fuchsiaknot::{standin::engine::Faults, store::Table};

const POISON: &str = "poison in the contract";
/// Innocent requests beside the poisonous one.
const INNOCENTS: usize = 6;
const TOKENS: u32 = 400;

fn crashed(fleet: &mut Fleet) -> usize {
    fleet.engines.iter_mut().filter_map(|it| (!it.process.is_running()).then_some(())).count()
}

#[test]
fn refused_through_every_host() {
    let mut fleet = Fleet::start(&Shape { engines: 5, hosts: 3, ..Shape::default() });
    let faults =
        Faults { crash_word: Some("poison".into()), crash_word_after: 3, ..Faults::default() };
    fleet.engines.iter().for_each(|it| it.engine_faults(&faults));
    let prompts: Vec<_> = (0..INNOCENTS).map(|it| format!("compare district {it}")).collect();
    let callers: Vec<_> = fleet.hosts.iter().map(|it| it.caller).collect();
    let innocents: Vec<_> = prompts
        .iter()
        .enumerate()
        .map(|(it, prompt)| {
            let (caller, prompt) = (callers[it % callers.len()], prompt.clone());
            thread::spawn(move || caller.stream(&prompt, TOKENS).rest())
        })
        .collect();
    let first = callers[0].stream(POISON, TOKENS).rest();
    assert!(!first.is_whole);
    assert!(first.last.contains("crashes-targets"), "{first:?}");
    let rows = fleet.client().scan("crash/").unwrap();
    assert!(rows.iter().any(|it| it.value.matches("incarnation").count() == 2), "{rows:?}");
    for caller in &callers {
        for _ in 0..3 {
            let copy = caller.stream(POISON, TOKENS);
            assert_eq!(copy.status, 422);
            assert!(copy.rest().last.contains("not-run"));
        }
    }
    wait_until("both engines have ended", || crashed(&mut fleet) == 2);
    for (prompt, innocent) in prompts.iter().zip(innocents) {
        let answer = innocent.join().unwrap();
        assert!(answer.is_whole, "{prompt}: {answer:?}");
        assert_eq!(answer.text, callers[0].stream(prompt, TOKENS).rest().text, "{prompt}");
    }
    assert_eq!(crashed(&mut fleet), 2);
}
