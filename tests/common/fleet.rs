//! A whole deployment of real processes: platform, engines, and daemons with one operator.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Command, Output, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use fuchsiaknot::{
    host::Ranking,
    operate::{Client, wire::Configuration},
    standin::platform::Faults,
    utils,
};
use serde_json::json;

use super::{
    http,
    process::{CALLERS_ADDRESS, Process, STANDIN_ADDRESS},
    wait_until,
};

/// Key of the only customer.
pub(crate) const KEY: &str = "key of the test's customer";
/// Model that the engines serve.
pub(crate) const MODEL: &str = "small";
/// Line with which a daemon tells the operators' address.
const OPERATORS_ADDRESS: &str = "operators";
/// Age at which the platform drops a machine; no test lasts as long.
const DROPPED_AFTER_MS: &str = "3600000";

/// A daemon and its addresses.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

/// The deployment.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    pub(crate) platform: SocketAddr,
    _platform: Process,
    _engines: Vec<Process>,
}

impl Fleet {
    /// Starts everything, stores the two lists, and waits until every host serves the engines'
    /// model.
    pub(crate) fn start(hosts: usize, engines: usize) -> Fleet {
        let mut platform = Process::standin(&["platform", "--dropped-after-ms", DROPPED_AFTER_MS]);
        let address = platform.address(STANDIN_ADDRESS);
        let engines: Vec<_> = (0..engines).map(|it| engine(address, it)).collect();
        let serves = !engines.is_empty();
        let hosts = (0..hosts).map(|it| host(address, &format!("host-{it}"))).collect();
        let fleet = Fleet { hosts, platform: address, _platform: platform, _engines: engines };
        fleet.wait_known();
        fleet.configure();
        if serves {
            fleet.wait_serving();
        }
        fleet
    }

    /// Starts another run of a host.
    pub(crate) fn start_host(&self, name: &str) -> Host {
        host(self.platform, name)
    }

    /// Starts a host that reaches the platform through another address, and waits until it serves.
    pub(crate) fn add_host_through(&mut self, name: &str, platform: SocketAddr) {
        self.hosts.push(host(platform, name));
        self.wait_known();
        self.wait_serving();
    }

    /// Switches faults of the platform.
    pub(crate) fn fault(&self, faults: &Faults) {
        assert_eq!(http::post(self.platform, "/faults", faults).status, 200);
    }

    /// Returns the operators' client of a host.
    pub(crate) fn client(&self, host: usize) -> Client {
        Client::new(self.hosts[host].operators, None)
    }

    /// Runs the operators' command line against a host.
    pub(crate) fn operate(&self, host: usize, args: &[&str], input: &str) -> Output {
        operate(self.hosts[host].operators, args, input)
    }

    /// Returns the version in force on a host.
    pub(crate) fn in_force(&self, host: usize) -> u64 {
        let configuration: Configuration = self.client(host).configuration().unwrap();
        configuration.in_force_here
    }

    /// Waits until every host knows all others.
    pub(crate) fn wait_known(&self) {
        wait_until("every host knows all others", || {
            let known =
                |it: &Host| http::get(it.callers, "/v1/hosts").json::<Ranking>().hosts.len();
            self.hosts.iter().all(|it| known(it) == self.hosts.len())
        });
    }

    /// Waits until every host serves the model.
    pub(crate) fn wait_serving(&self) {
        wait_until("every host serves", || self.hosts.iter().all(|it| it.serves()));
    }

    fn configure(&self) {
        let limits = "[plan gold]\nweight = 1\nfirst_token = 1 min\n";
        let output = self.operate(0, &["limits", "apply", "-", "--from", "0"], limits);
        assert!(output.status.success(), "{output:?}");
        let hash = utils::key_hash(KEY);
        let plans = format!("[customer tester]\nplan = gold\nkey = {hash}\n");
        let output = self.operate(0, &["plans", "apply", "-", "--from", "1"], &plans);
        assert!(output.status.success(), "{output:?}");
    }
}

impl Host {
    /// Returns whether the host takes requests for the model.
    pub(crate) fn serves(&self) -> bool {
        http::get(self.callers, "/health/ready").status == 200 && {
            let url = format!("http://{}/v1/models", self.callers);
            let request = http::agent().get(url).header("authorization", format!("Bearer {KEY}"));
            request.call().unwrap().into_body().read_to_string().unwrap().contains(MODEL)
        }
    }
}

fn engine(platform: SocketAddr, number: usize) -> Process {
    let (platform, name) = (platform.to_string(), format!("engine-{number}"));
    let mut engine = Process::standin(&["engine", "--platform", &platform, "--name", &name]);
    engine.address(STANDIN_ADDRESS);
    engine
}

fn host(platform: SocketAddr, name: &str) -> Host {
    let settings = format!(
        "[host]\nname = {name}\ndata_centre = local\nleave_after = 500 ms\n\
         callers_address = 127.0.0.1:0\noperators_address = 127.0.0.1:0\n\
         peers_address = 127.0.0.1:0\n[platform]\naddress = {platform}\n\
         [peers]\nkey = the shared key of the tests\n"
    );
    let mut process = Process::daemon(&settings);
    let callers = process.address(CALLERS_ADDRESS);
    let operators = process.address(OPERATORS_ADDRESS);
    Host { name: name.to_owned(), process, callers, operators }
}

/// Runs the operators' command line.
pub(crate) fn operate(host: SocketAddr, args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fuchsiaknot"))
        .args(args)
        .env("FUCHSIAKNOT_HOST", host.to_string())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that does not read its input may have ended already.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// How one request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Ended {
    /// The whole stream with its end mark.
    Whole,
    /// No connection was opened.
    Unconnected,
    /// A refusal that says that the request did not run.
    NotRun(String),
    /// Anything else.
    Cut(String),
}

/// Streams one completion from a host.
pub(crate) fn stream(host: SocketAddr, max_tokens: u32) -> Ended {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": max_tokens, "prompt": "flake ice",
    });
    let request = http::agent().post(format!("http://{host}/v1/completions"));
    let answer = match request.header("authorization", format!("Bearer {KEY}")).send_json(body) {
        Ok(answer) => answer,
        Err(ureq::Error::Io(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Ended::Unconnected;
        }
        Err(err) => return Ended::Cut(err.to_string()),
    };
    if answer.status() != 200 {
        let text = answer.into_body().read_to_string().unwrap_or_default();
        let not_run = text.contains("\"not-run\"");
        return if not_run { Ended::NotRun(text) } else { Ended::Cut(text) };
    }
    let mut last = String::new();
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        match line {
            Ok(line) if line == "data: [DONE]" => return Ended::Whole,
            Ok(line) if line.is_empty() => {}
            Ok(line) => last = line,
            Err(err) => return Ended::Cut(format!("{err} after {last}")),
        }
    }
    if last.contains("\"not-run\"") { Ended::NotRun(last) } else { Ended::Cut(last) }
}

/// Callers that keep the answer to "which host" for a while and stream without a pause.
pub(crate) struct Callers {
    stop: Arc<AtomicBool>,
    ended: Arc<Mutex<Vec<Ended>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Requests that a caller sends before it asks again which host to use.
const REQUESTS_PER_ANSWER: usize = 4;

impl Callers {
    /// Starts callers that first ask one of the given hosts.
    pub(crate) fn start(count: usize, hosts: &[SocketAddr], max_tokens: u32) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let ended = Arc::new(Mutex::new(Vec::new()));
        let call = |index: usize| {
            let (stop, ended, mut known) = (Arc::clone(&stop), Arc::clone(&ended), hosts.to_vec());
            known.rotate_left(index % hosts.len());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    ask_again(&mut known);
                    for _ in 0..REQUESTS_PER_ANSWER {
                        let end = stream(known[0], max_tokens);
                        let moved = !matches!(end, Ended::Whole);
                        ended.lock().unwrap().push(end);
                        if moved {
                            break;
                        }
                    }
                }
            })
        };
        let threads = (0..count).map(call).collect();
        Callers { stop, ended, threads }
    }

    /// Returns how many whole answers came so far.
    pub(crate) fn whole(&self) -> usize {
        self.ended.lock().unwrap().iter().filter(|it| **it == Ended::Whole).count()
    }

    /// Stops the callers after their present request and returns how all requests ended.
    pub(crate) fn stop(self) -> Vec<Ended> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|it| it.join().unwrap());
        std::mem::take(&mut self.ended.lock().unwrap())
    }
}

/// Asks the known hosts in turn which hosts to use.
fn ask_again(known: &mut Vec<SocketAddr>) {
    for host in known.clone() {
        let Ok(answer) = http::agent().get(format!("http://{host}/v1/hosts")).call() else {
            continue;
        };
        let Ok(choice) = answer.into_body().read_json::<Ranking>() else { continue };
        if !choice.hosts.is_empty() {
            *known = choice.hosts.into_iter().map(|it| it.address).collect();
            return;
        }
    }
    thread::sleep(Duration::from_millis(20));
}
