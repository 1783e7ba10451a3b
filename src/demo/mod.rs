//! The main job end to end in one process: platform, targets and entry hosts on loopback.

mod caller;
mod fleet;

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
    time::Duration,
};

use self::{caller::Caller, fleet::Fleet};

/// Time for the hosts to see their configuration and targets.
const READY_TIME: Duration = Duration::from_secs(20);
/// Key that the demo's caller sends.
const KEY: &str = "demo-key";
/// Model that the demo's engines serve.
const MODEL: &str = "draft";
/// Plain service of the demo.
const SERVICE: &str = "dispatch";
/// Prompt of the streamed completion.
const PROMPT: &str = "Draft delivery terms for two tonnes of flake ice to the fish stall";
/// Body of the order that must not be placed twice.
const ORDER: &str = "{\"item\":\"flake ice\",\"tonnes\":2}";

/// What the demo does after its steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Afterwards {
    /// It ends.
    Stop,
    /// It goes on serving until it is interrupted.
    Keep,
}

/// A step that did not hold.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A part could not start.
    #[error("a part cannot start: {0}")]
    Start(#[from] io::Error),
    /// An entry host could not start.
    #[error("an entry host cannot start: {0}")]
    Daemon(#[from] crate::daemon::Error),
    /// The configuration could not be stored.
    #[error("the configuration cannot be stored: {0}")]
    Configuration(#[from] crate::configuration::store::Error),
    /// A call failed.
    #[error("a call failed: {0}")]
    Call(#[from] ureq::Error),
    /// An answer is not what it should be.
    #[error("{0}")]
    Step(String),
}

/// Runs the demo; the exit code is 0 only if every step held.
pub fn run(afterwards: Afterwards) -> ExitCode {
    match steps(afterwards) {
        Ok(()) => {
            println!("every step held");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("FAILED: {err}");
            ExitCode::FAILURE
        }
    }
}

fn steps(afterwards: Afterwards) -> Result<(), Error> {
    let fleet = Fleet::start()?;
    println!("1. platform on {}, three engines, one service", fleet.platform());
    println!("2. entry hosts on {}", fleet.addresses_text());
    fleet.wait_ready(READY_TIME)?;
    println!("3. configuration is in force on every host");
    let hosts = Caller::new(fleet.address(0)?).hosts()?;
    let (first, second) = match hosts[..] {
        [first, second, ..] => (Caller::new(first), Caller::new(second)),
        _ => return Err(Error::Step(format!("{} hosts named instead of three", hosts.len()))),
    };
    println!("4. host to use, by the system's own answer: {}", first.address());
    print!("5. streamed completion:");
    let tokens = first.stream(PROMPT, print_token)?;
    println!("\n   {tokens} tokens, end mark seen");
    place_twice(&fleet, &first, &second)?;
    if afterwards == Afterwards::Keep {
        keep(first.address(), fleet.operators()?);
    }
    Ok(())
}

fn print_token(text: &str) {
    print!("{text}");
    let _ = io::stdout().flush();
}

/// Sends one order through two hosts and checks that it ran once.
fn place_twice(fleet: &Fleet, first: &Caller, second: &Caller) -> Result<(), Error> {
    let answer = first.place("order-1")?;
    println!("6. order placed through {}: {answer}", first.address());
    let again = second.place("order-1")?;
    println!("7. same order through {}: {again}", second.address());
    if answer != again {
        return Err(Error::Step("the second copy got another answer".to_owned()));
    }
    let runs = fleet.service_runs();
    println!("8. runs recorded by the service: {runs}");
    if runs != 1 {
        return Err(Error::Step(format!("the order ran {runs} times")));
    }
    Ok(())
}

/// Goes on serving; an interrupt ends the process.
fn keep(address: SocketAddr, operators: SocketAddr) {
    println!("serving until interrupted; try:");
    println!("fuchsiaknot --host {operators} fleet show");
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer {KEY}' \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"hello\"}}]}}'"
    );
    loop {
        std::thread::park();
    }
}
