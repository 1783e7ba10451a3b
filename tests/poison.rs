//! A request that crashes engines is refused by every host after two crashes, while the requests
//! that ran beside it complete.

mod common;
mod deployment;

use std::thread;

use common::wait_until;
use deployment::{Fleet, Shape};
use fuchsiaknot::{standin::engine::Faults, store::Table};

/// Prompt of the crashing request, with the word at which engines crash.
const CRASHING_PROMPT: &str = "poison in the contract";
/// Number of harmless requests that run beside the crashing one.
const HARMLESS: usize = 6;
const MAX_TOKENS: u32 = 400;

fn crashed_engines(fleet: &mut Fleet) -> usize {
    fleet.engines.iter_mut().filter_map(|it| (!it.process.is_running()).then_some(())).count()
}

#[test]
fn refused_through_every_host() {
    let mut fleet = Fleet::start(&Shape { engines: 5, hosts: 3, ..Shape::default() });
    let faults =
        Faults { crash_word: Some("poison".into()), crash_word_after: 3, ..Faults::default() };
    fleet.engines.iter().for_each(|it| it.engine_faults(&faults));
    let prompts: Vec<_> = (0..HARMLESS).map(|it| format!("compare district {it}")).collect();
    let callers: Vec<_> = fleet.hosts.iter().map(|it| it.caller).collect();
    let harmless: Vec<_> = prompts
        .iter()
        .enumerate()
        .map(|(it, prompt)| {
            let (caller, prompt) = (callers[it % callers.len()], prompt.clone());
            thread::spawn(move || caller.stream(&prompt, MAX_TOKENS).rest())
        })
        .collect();
    let first = callers[0].stream(CRASHING_PROMPT, MAX_TOKENS).rest();
    assert!(!first.is_whole);
    assert!(first.last.contains("crashes-targets"), "{first:?}");
    let rows = fleet.client().scan("crash/").unwrap();
    assert!(rows.iter().any(|it| it.value.matches("incarnation").count() == 2), "{rows:?}");
    for caller in &callers {
        for _ in 0..3 {
            let repeated = caller.stream(CRASHING_PROMPT, MAX_TOKENS);
            assert_eq!(repeated.status, 422);
            assert!(repeated.rest().last.contains("not-run"));
        }
    }
    wait_until("both engines have ended", || crashed_engines(&mut fleet) == 2);
    for (prompt, request) in prompts.iter().zip(harmless) {
        let answer = request.join().unwrap();
        assert!(answer.is_whole, "{prompt}: {answer:?}");
        assert_eq!(answer.text, callers[0].stream(prompt, MAX_TOKENS).rest().text, "{prompt}");
    }
    assert_eq!(crashed_engines(&mut fleet), 2);
}
