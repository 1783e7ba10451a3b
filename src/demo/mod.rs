//! End-to-end demonstration in one process: runs the stand-in platform, the targets and the entry
//! hosts on loopback, then streams a completion and places an order that must run only once.

mod caller;
mod fleet;

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
    time::Duration,
};

use self::{caller::Caller, fleet::Fleet};

/// Timeout for all hosts to load their configuration and discover their targets.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// API key that the demo's caller sends.
const API_KEY: &str = "demo-key";
/// Model that the demo's engines serve.
const MODEL: &str = "draft";
/// Name of the demo's plain service.
const SERVICE: &str = "dispatch";
/// Prompt of the streamed completion.
const PROMPT: &str = "Draft delivery terms for two tonnes of flake ice to the fish stall";
/// JSON body of the order that must not run twice.
const ORDER_BODY: &str = "{\"item\":\"flake ice\",\"tonnes\":2}";

/// What the demo does when every step has succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnSuccess {
    /// Return from [`run`].
    Exit,
    /// Keep serving until the process is interrupted.
    KeepServing,
}

/// Why the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stand-in platform, a stand-in target or another I/O operation failed.
    #[error("a component cannot start: {0}")]
    Start(#[from] io::Error),
    /// An entry host could not start.
    #[error("an entry host cannot start: {0}")]
    Daemon(#[from] crate::daemon::Error),
    /// The configuration could not be stored.
    #[error("the configuration cannot be stored: {0}")]
    Configuration(#[from] crate::configuration::store::Error),
    /// An HTTP call to an entry host failed.
    #[error("a call to an entry host failed: {0}")]
    Call(#[from] ureq::Error),
    /// A step gave an unexpected result or timed out.
    #[error("{0}")]
    Step(String),
}

/// Runs the demo; the exit code is 0 only if every step succeeded.
pub fn run(on_success: OnSuccess) -> ExitCode {
    match run_steps(on_success) {
        Ok(()) => {
            println!("every step succeeded");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("FAILED: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run_steps(on_success: OnSuccess) -> Result<(), Error> {
    let fleet = Fleet::start()?;
    println!("1. platform on {}, three engines, one service", fleet.platform_address());
    println!("2. entry hosts on {}", fleet.callers_addresses_text());
    fleet.wait_ready(READY_TIMEOUT)?;
    println!("3. configuration is in force on every host");
    let hosts = Caller::new(fleet.callers_address(0)?).ranked_hosts()?;
    let (first, second) = match hosts[..] {
        [first, second, ..] => (Caller::new(first), Caller::new(second)),
        _ => {
            return Err(Error::Step(format!(
                "expected at least two entry hosts, got {}",
                hosts.len()
            )));
        }
    };
    println!("4. first host listed by /v1/hosts: {}", first.address());
    print!("5. streamed completion:");
    let tokens = first.stream(PROMPT, print_token)?;
    println!("\n   {tokens} tokens, stream complete");
    place_order_twice(&fleet, &first, &second)?;
    if on_success == OnSuccess::KeepServing {
        serve_until_interrupted(first.address(), fleet.operators_address()?);
    }
    Ok(())
}

fn print_token(text: &str) {
    print!("{text}");
    let _ = io::stdout().flush();
}

/// Places the same order through two hosts, with one idempotency key, and checks that the service
/// ran it once and that both answers are equal.
fn place_order_twice(fleet: &Fleet, first: &Caller, second: &Caller) -> Result<(), Error> {
    let answer = first.place_order("order-1")?;
    println!("6. order placed through {}: {answer}", first.address());
    let repeated = second.place_order("order-1")?;
    println!("7. same order through {}: {repeated}", second.address());
    if answer != repeated {
        return Err(Error::Step("the repeated order got a different answer".to_owned()));
    }
    let runs = fleet.service_run_count();
    println!("8. times that the service ran the order: {runs}");
    if runs != 1 {
        return Err(Error::Step(format!("the order ran {runs} times")));
    }
    Ok(())
}

/// Prints example commands and blocks until the process is interrupted.
fn serve_until_interrupted(address: SocketAddr, operators: SocketAddr) {
    println!("serving until interrupted; try:");
    println!("fuchsiaknot --host {operators} fleet show");
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer {API_KEY}' \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"hello\"}}]}}'"
    );
    loop {
        std::thread::park();
    }
}
