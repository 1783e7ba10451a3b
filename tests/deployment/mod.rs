//! A small deployment of real processes: platform, targets and entry hosts.

// Each test file compiles this module for itself and uses a part of it.
#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::Duration,
};

use fuchsiaknot::{
    configuration::{
        Lists,
        store::{Edit, Store},
    },
    settings,
    standin::{engine, platform as platform_standin, service},
    store::{self, HostList, Kind, Machine, State},
    target::Report,
    timer::Timer,
    utils,
};
use serde_json::json;

use crate::common::{
    http::{self, Answer},
    process::{CALLERS_ADDRESS, Process, STANDIN_ADDRESS},
    proxy::Proxy,
    wait_until,
};

/// Key of the only customer.
pub(crate) const KEY: &str = "fleet-test-key";
/// Model that all engines serve.
pub(crate) const MODEL: &str = "small";
/// The only service.
pub(crate) const SERVICE: &str = "orders";
/// Call that makes sure that a host knows the service.
const WARM_UP: &str = "/warm-up";

/// What a deployment consists of.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shape {
    /// Engines of [`MODEL`].
    pub(crate) engines: usize,
    /// Replicas of [`SERVICE`].
    pub(crate) services: usize,
    /// Entry hosts.
    pub(crate) hosts: usize,
    /// More settings of the hosts' section `host`.
    pub(crate) host: &'static str,
    /// More settings of the hosts' section `platform`.
    pub(crate) platform: &'static str,
    /// Settings of the hosts beside the required ones; they begin with a section.
    pub(crate) settings: &'static str,
    /// Puts a proxy before each target, and one between the hosts and the platform.
    pub(crate) proxied: bool,
}

/// A running deployment.
pub(crate) struct Fleet {
    pub(crate) platform: SocketAddr,
    pub(crate) engines: Vec<Target>,
    pub(crate) services: Vec<Target>,
    pub(crate) hosts: Vec<Host>,
    /// Between the hosts and the platform.
    pub(crate) platform_proxy: Proxy,
    _platform: Process,
    _reports: Timer,
}

/// A target's process.
pub(crate) struct Target {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
    pub(crate) proxy: Option<Proxy>,
}

/// An entry host's process.
pub(crate) struct Host {
    pub(crate) process: Process,
    pub(crate) caller: Caller,
}

/// A caller of one entry host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caller {
    pub(crate) address: SocketAddr,
}

impl Fleet {
    /// Starts a deployment and waits until every host serves every target.
    pub(crate) fn start(shape: &Shape) -> Fleet {
        let mut process = Process::standin(&["platform", "--lag-ms", "0"]);
        let platform = process.address(STANDIN_ADDRESS);
        configure(platform);
        let mut fleet = Fleet {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            platform_proxy: Proxy::start(platform),
            _platform: process,
            _reports: Timer::new(),
        };
        for number in 0..shape.engines {
            let target = fleet.target("engine", number, shape);
            fleet.engines.push(target);
        }
        for number in 0..shape.services {
            let target = fleet.target("service", number, shape);
            fleet.services.push(target);
        }
        let targets = shape.engines + shape.services;
        wait_until("the targets are listed", || {
            fleet.client().machines().is_ok_and(|it| it.len() == targets)
        });
        let seen = if shape.proxied { fleet.platform_proxy.address() } else { platform };
        fleet.hosts = (0..shape.hosts).map(|it| Host::start(seen, it, shape)).collect();
        for host in &fleet.hosts {
            host.caller.wait_ready(shape);
            let addresses = fleet.hosts.iter().map(|it| it.caller.address.to_string());
            let addresses: Vec<_> = addresses.collect();
            wait_until("the host knows all hosts", || {
                let known = host.caller.get("/v1/hosts").body;
                addresses.iter().all(|it| known.contains(it))
            });
        }
        fleet
    }

    fn target(&self, kind: &str, number: usize, shape: &Shape) -> Target {
        let name = format!("{kind}-{number}");
        let platform = self.platform.to_string();
        let listed = ["--platform", &platform];
        let args = [kind, "--name", &name];
        let args = if shape.proxied { args.to_vec() } else { [&args[..], &listed].concat() };
        let mut process = Process::standin(&args);
        let address = process.address(STANDIN_ADDRESS);
        let proxy = shape.proxied.then(|| Proxy::start(address));
        if let Some(proxy) = &proxy {
            self.report(kind, &name, address, proxy.address());
        }
        Target { process, address, proxy }
    }

    /// Lists a target under its proxy's address.
    fn report(&self, kind: &str, name: &str, target: SocketAddr, address: SocketAddr) {
        let mut report: Option<Report> = None;
        wait_until("the target reports its load", || {
            let answer = http::get(target, "/report");
            report = (answer.status == 200).then(|| answer.json());
            report.is_some()
        });
        let kind = match kind {
            "engine" => Kind::Engine(MODEL.into()),
            _ => Kind::Service(SERVICE.into()),
        };
        let machine = Machine {
            name: name.into(),
            kind,
            data_centre: "local".into(),
            address,
            peer_address: None,
            incarnation: report.expect("a report").incarnation,
            state: State::Live,
        };
        let client = self.client();
        self._reports.every(name, Duration::from_secs(1), move |_| {
            let _ = client.report(&machine);
        });
    }

    /// Returns a client of the platform.
    pub(crate) fn client(&self) -> store::Client {
        client(self.platform)
    }

    /// Sets the platform's faults.
    pub(crate) fn platform_faults(&self, faults: &platform_standin::Faults) {
        assert_eq!(http::post(self.platform, "/faults", faults).status, 200);
    }

    /// Returns the platform's counts.
    pub(crate) fn platform_stats(&self) -> platform_standin::Stats {
        http::get(self.platform, "/stats").json()
    }

    /// Returns the runs of the services that are not warm-ups.
    pub(crate) fn runs(&self) -> Vec<service::Run> {
        let records = self.services.iter().map(Target::service_record);
        records.flat_map(|it| it.runs).filter(|it| it.path != WARM_UP).collect()
    }
}

impl Target {
    /// Sets a service's faults.
    pub(crate) fn service_faults(&self, faults: &service::Faults) {
        assert_eq!(http::post(self.address, "/faults", faults).status, 200);
    }

    /// Sets an engine's faults.
    pub(crate) fn engine_faults(&self, faults: &engine::Faults) {
        assert_eq!(http::post(self.address, "/faults", faults).status, 200);
    }

    /// Returns what a service ran.
    pub(crate) fn service_record(&self) -> service::Record {
        http::get(self.address, "/record").json()
    }

    /// Returns what an engine did.
    pub(crate) fn engine_record(&self) -> engine::Record {
        http::get(self.address, "/record").json()
    }
}

impl Host {
    fn start(platform: SocketAddr, number: usize, shape: &Shape) -> Host {
        let settings = format!(
            "[host]\nname = host-{number}\ndata_centre = local\ncallers_address = 127.0.0.1:0\n\
             operators_address = 127.0.0.1:0\npeers_address = 127.0.0.1:0\n{}\
             [platform]\naddress = {platform}\n{}[peers]\nkey = fleet-test-peers-key\n{}",
            shape.host, shape.platform, shape.settings
        );
        let mut process = Process::daemon(&settings);
        let caller = Caller { address: process.address(CALLERS_ADDRESS) };
        Host { process, caller }
    }
}

impl Caller {
    fn wait_ready(&self, shape: &Shape) {
        wait_until("the host is ready", || http::get(self.address, "/health/ready").status == 200);
        if 0 < shape.engines {
            wait_until("the host knows the model", || self.get("/v1/models").body.contains(MODEL));
        }
        if 0 < shape.services {
            let path = format!("/v1/services/{SERVICE}{WARM_UP}");
            wait_until("the host knows the service", || self.get(&path).status == 200);
        }
    }

    /// Sends an authorised `GET`.
    pub(crate) fn get(&self, path: &str) -> Answer {
        let request = http::agent().get(self.url(path)).header("authorization", bearer());
        request.call().expect("an answer").into()
    }

    /// Places an order that must not run twice; fails when the connection breaks.
    pub(crate) fn order(&self, key: &str, body: &str) -> Result<Answer, ureq::Error> {
        let url = self.url(&format!("/v1/services/{SERVICE}/orders"));
        let request = http::agent().post(url).header("authorization", bearer());
        let request = request.header("idempotency-key", key).header("x-not-repeatable", "true");
        Ok(request.send(body)?.into())
    }

    /// Starts a streamed completion.
    pub(crate) fn stream(&self, prompt: &str, max_tokens: u32) -> Stream {
        self.stream_of(&json!({
            "model": MODEL, "stream": true, "max_tokens": max_tokens, "prompt": prompt,
        }))
    }

    /// Starts the completion that a body asks for.
    pub(crate) fn stream_of(&self, body: &serde_json::Value) -> Stream {
        let request = http::agent().post(self.url("/v1/completions"));
        let response =
            request.header("authorization", bearer()).send_json(body).expect("an answer");
        let status = response.status().as_u16();
        Stream { status, lines: BufReader::new(Box::new(response.into_body().into_reader())) }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// A streamed answer.
pub(crate) struct Stream {
    pub(crate) status: u16,
    lines: BufReader<Box<dyn std::io::Read + Send>>,
}

/// The rest of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Rest {
    /// Text of the pieces.
    pub(crate) text: String,
    /// Whether the end mark came.
    pub(crate) is_whole: bool,
    /// Last event before the end of the connection that was not a piece.
    pub(crate) last: String,
}

impl Stream {
    /// Reads pieces until `count` have come.
    pub(crate) fn pieces(&mut self, count: usize) -> String {
        (0..count).map(|_| self.event().and_then(|it| text(&it)).expect("a piece")).collect()
    }

    /// Reads the answer to its end.
    pub(crate) fn rest(mut self) -> Rest {
        let mut rest = Rest { text: String::new(), is_whole: false, last: String::new() };
        while let Some(event) = self.event() {
            match text(&event) {
                Some(it) => rest.text.push_str(&it),
                None if event == "[DONE]" => rest.is_whole = true,
                None => rest.last = event,
            }
        }
        rest
    }

    fn event(&mut self) -> Option<String> {
        loop {
            let mut line = String::new();
            if self.lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if let Some(data) = line.strip_prefix("data: ") {
                return Some(data.to_owned());
            }
            if line.starts_with('{') {
                return Some(line.to_owned());
            }
        }
    }
}

/// Returns the text of a piece.
fn text(event: &str) -> Option<String> {
    let event: serde_json::Value = serde_json::from_str(event).ok()?;
    let text = event["choices"][0]["text"].as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}

fn bearer() -> String {
    format!("Bearer {KEY}")
}

fn client(address: SocketAddr) -> store::Client {
    store::Client::new(&settings::Platform { address, ..settings::Platform::default() })
}

fn configure(platform: SocketAddr) {
    let lists = Lists {
        plans: format!("[customer clinic]\nplan = order-desk\nkey = {}\n", utils::key_hash(KEY)),
        limits: "[plan order-desk]\nweight = 1\nfirst_token = 60s\n".to_owned(),
        announcements: Vec::new(),
    };
    let edit = Edit { from: 0, lists, author: "tests".into(), edited_ms: 0, token: 1 };
    Store::new(client(platform), client(platform)).edit(&edit).expect("a configuration");
}
