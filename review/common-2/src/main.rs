//! Runs one case: `review-cases-2 CASE FOLDER TEMP`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod common;
mod late_beat;
mod poison;
mod stray_refusal;

use std::{path::Path, process::ExitCode};

use common::record::Record;

/// How a case ended.
pub(crate) enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temp] = arguments.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(folder));
    let run = match case.as_str() {
        "stray-refusal" => stray_refusal::run,
        "late-beat" => late_beat::run,
        "poison" => poison::run_killed,
        "poison-moved" => poison::run_moved,
        _ => return ExitCode::from(2),
    };
    // A stand-in that fails must not count as a broken rule.
    let run = || run(Path::new(temp), &record, has_trouble);
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    match outcome.unwrap_or(Outcome::NotRun) {
        Outcome::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::NotRun => {
            record.line("the case could not run");
            ExitCode::from(2)
        }
    }
}
