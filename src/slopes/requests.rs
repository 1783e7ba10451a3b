//! Cost of requests: claims, open streams and the tokens that they carry.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use smol_str::{SmolStr, format_smolstr};
use ureq::http;

use super::{
    Sizes, Slope, control,
    fit::Point,
    meter::{self, Scope},
};
use crate::{
    claim::{self, Answer, Claimant, Committer, Outcome, Peers, Question, Request, Status},
    clock,
    configuration::{
        Lists,
        store::{Edit, Store},
    },
    daemon::Daemon,
    link::http_client::{Pool, Response, Timeouts},
    settings::Settings,
    standin::{self, engine::Faults, heartbeat::Listing},
    target::Generation,
    utils,
};

/// Claims by callers at once.
const CLAIMS: [usize; 4] = [640, 1_280, 2_560, 5_120];
/// Callers that claim at once.
const CALLERS: usize = 64;
/// Streams open at once.
const STREAMS: [usize; 4] = [32, 64, 128, 256];
/// Streams that are opened at once.
const WAVE: usize = 16;
/// Tokens of each stream.
const TOKENS: u32 = 32;
/// Time between two tokens of a stream, long enough that none has to wait for the processor.
const STEP: Duration = Duration::from_millis(10);
/// Key of the only account.
const KEY: &str = "slopes";
/// Model that is served.
const MODEL: &str = "small";
/// Longest wait for something that is bound to come.
const PATIENCE: Duration = Duration::from_secs(60);

pub(super) fn measure(sizes: Sizes) -> io::Result<Vec<Slope>> {
    let mut slopes = claims(&sizes.of(&CLAIMS))?;
    slopes.extend(streams(&sizes.of(&STREAMS))?);
    Ok(slopes)
}

/// No other host knows of a claim.
#[derive(Debug, Clone)]
struct Alone;

impl Peers for Alone {
    fn claim_status(&self, _claimant: &Claimant, _question: &Question) -> Option<Status> {
        None
    }
}

/// Measures claims with their stored answers, the stand-in table's own work included.
fn claims(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let platform = standin::Platform::start(standin::platform::Config::default())?;
    let client = control::client(platform.address());
    let claimant = Claimant { host: SmolStr::new_static("host-1"), incarnation: 1 };
    let config = claim::Config { claimant };
    let claims = Arc::new(Committer::start(config, client.clone(), client, Alone)?);
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for size in sizes {
        let ((), cost) = meter::measure(Scope::Process, || {
            let callers: Vec<_> = (0..CALLERS)
                .map(|caller| {
                    let claims = Arc::clone(&claims);
                    let count = size / CALLERS + usize::from(caller < size % CALLERS);
                    thread::spawn(move || (0..count).try_for_each(|_| claim_once(&claims)))
                })
                .collect();
            for caller in callers {
                caller.join().map_err(|_| io::Error::other("a caller failed"))??;
            }
            Ok(())
        })?;
        let size = *size as f64;
        cpu.push(Point { size, value: cost.cpu_us });
        bytes.push(Point { size, value: cost.traffic });
    }
    Ok(vec![
        Slope::new("claim", "CPU with 64 callers, the table's included", "µs", cpu)?,
        Slope::new("claim", "bytes to and from the table", "B", bytes)?,
    ])
}

fn claim_once<T: crate::store::ObjectStore>(claims: &Committer<T, Alone>) -> io::Result<()> {
    let request = Request {
        customer: SmolStr::new_static("account-00001"),
        key: format_smolstr!("{:016x}", rand::random::<u64>()),
        fingerprint: 1,
    };
    let outcome = claims.claim(&request, clock::now() + PATIENCE);
    let Ok(Outcome::Granted(mut grant)) = outcome else {
        return Err(io::Error::other("a claim was not granted"));
    };
    grant.begin_send().map_err(|_| io::Error::other("a claim was lost"))?;
    grant.finish(Answer { status: 200, headers: Vec::new(), body: b"{}".to_vec() });
    Ok(())
}

/// A host, an engine and a platform in this process.
struct Path {
    engine: standin::Engine,
    daemon: Daemon,
    _platform: standin::Platform,
}

impl Path {
    fn start(slots: usize) -> io::Result<Path> {
        let platform = standin::Platform::start(standin::platform::Config {
            lag: Duration::ZERO,
            ..Default::default()
        })?;
        configure(platform.address())?;
        let engine = standin::Engine::start(standin::engine::Config {
            listing: Listing { platform: Some(platform.address()), ..Listing::default() },
            model: SmolStr::new_static(MODEL),
            slots: slots as u32,
            step_base: STEP,
            step_per_request: Duration::ZERO,
            kv_capacity: u64::MAX / 2,
            ..Default::default()
        })?;
        let daemon = Daemon::start(settings(platform.address())).map_err(io::Error::other)?;
        let path = Path { engine, daemon, _platform: platform };
        wait("the host serves the model", || path.is_ready())?;
        Ok(path)
    }

    fn is_ready(&self) -> bool {
        let targets = self.daemon.context().fleet.targets();
        let is_known = targets.iter().any(|(_, report)| report.is_some());
        is_known && open(self.daemon.callers_address(), &chat("ready")).is_ok_and(drain)
    }

    /// Measures streams through the host, or from the engine where there is no host between.
    fn streams(&self, count: usize, address: SocketAddr) -> io::Result<Streams> {
        self.engine.set_faults(Faults { hold_after_tokens: Some(1), ..Faults::default() });
        let before = self.engine.record().started.len();
        let (streams, open) = meter::measure(Scope::Process, || {
            let streams = self.open_all(count, address)?;
            wait("all streams run", || before + count <= self.engine.record().started.len())?;
            Ok(streams)
        })?;
        let ((), flow) = meter::measure(Scope::Process, || {
            self.engine.set_faults(Faults::default());
            let readers: Vec<_> =
                streams.into_iter().map(|it| thread::spawn(move || drain(it))).collect();
            let whole = readers.into_iter().all(|it| it.join().unwrap_or(false));
            if whole { Ok(()) } else { Err(io::Error::other("a stream was cut")) }
        })?;
        Ok(Streams { open, flow })
    }

    /// Opens streams in waves, each stream of a wave from a thread of its own.
    fn open_all(&self, count: usize, address: SocketAddr) -> io::Result<Vec<Response>> {
        let mut streams = Vec::new();
        while streams.len() < count {
            let wave = streams.len()..count.min(streams.len() + WAVE);
            let openers: Vec<_> = wave
                .map(|it| self.body(it, address))
                .map(|body| thread::spawn(move || open(address, &body)))
                .collect();
            for opener in openers {
                let stream = opener.join().map_err(|_| io::Error::other("a caller failed"))?;
                streams.push(stream?);
            }
        }
        Ok(streams)
    }

    fn body(&self, index: usize, address: SocketAddr) -> Body {
        if address == self.daemon.callers_address() {
            return chat(&format!("stream {index}"));
        }
        let generation = Generation {
            request_id: format_smolstr!("direct-{index}"),
            model: SmolStr::new_static(MODEL),
            adapter: None,
            prompt: format!("stream {index}"),
            max_tokens: TOKENS,
            resume_at: 0,
            priority: 0,
            kv: None,
        };
        Body { path: "/v1/completions", json: serde_json::to_vec(&generation).unwrap_or_default() }
    }
}

/// Cost of some streams.
struct Streams {
    open: meter::Cost,
    flow: meter::Cost,
}

/// A request for a stream.
struct Body {
    path: &'static str,
    json: Vec<u8>,
}

fn chat(text: &str) -> Body {
    let json = serde_json::json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": text }],
    });
    Body { path: "/v1/chat/completions", json: json.to_string().into_bytes() }
}

fn open(address: SocketAddr, body: &Body) -> io::Result<Response> {
    let request = http::Request::post(format!("http://{address}{}", body.path))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(body.json.clone())
        .map_err(io::Error::other)?;
    let bounds = Timeouts { connect: PATIENCE, inactivity: Some(PATIENCE), total: None };
    let mut incoming =
        Pool::new(address).send_on_new_connection(request, &bounds).map_err(io::Error::other)?;
    if incoming.status() != 200 {
        let status = incoming.status();
        let body = incoming.read_whole().unwrap_or_default();
        let text = String::from_utf8_lossy(&body);
        return Err(io::Error::other(format!("status {status}: {text}")));
    }
    Ok(incoming)
}

/// Reads a stream to its end mark.
fn drain(mut incoming: Response) -> bool {
    let text = incoming.read_whole().unwrap_or_default();
    text.trim_ascii_end().ends_with(b"data: [DONE]")
}

fn configure(address: SocketAddr) -> io::Result<()> {
    let client = control::client(address);
    let lists = Lists {
        plans: format!("[customer slopes]\nplan = all\nkey = {}\n", utils::key_hash(KEY)),
        limits: "[plan all]\nweight = 1\nrequests_per_second = 100000\nconcurrent = 100000\n\
                 queue = 100000\nfirst_token = 3600s\nbetween_tokens = 60s\n"
            .to_owned(),
        announcements: Vec::new(),
    };
    let edit = Edit {
        from: 0,
        lists,
        author: SmolStr::new_static("slopes"),
        edited_ms: 0,
        token: rand::random(),
    };
    Store::new(client.clone(), client).edit(&edit).map_err(io::Error::other)?;
    Ok(())
}

fn settings(platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::default();
    settings.host.callers_address = any;
    settings.host.operators_address = any;
    settings.host.peers_address = any;
    settings.peers.key = "slopes-peers-key".to_owned();
    settings.platform.address = platform;
    settings.targets.silence = PATIENCE;
    settings
}

fn wait(what: &str, mut condition: impl FnMut() -> bool) -> io::Result<()> {
    let begun = Instant::now();
    while !condition() {
        if PATIENCE <= begun.elapsed() {
            return Err(io::Error::other(format!("timed out waiting until {what}")));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Measures streams through a host, and the same streams straight from the engine.
fn streams(sizes: &[usize]) -> io::Result<Vec<Slope>> {
    let most = sizes.iter().copied().max().unwrap_or(1);
    let path = Path::start(most)?;
    let (mut memory, mut opening) = (Vec::new(), Vec::new());
    let (mut through_host, mut straight) = (Vec::new(), Vec::new());
    let before = meter::resident()?;
    for count in sizes {
        let direct = path.streams(*count, path.engine.address())?;
        let through = path.streams(*count, path.daemon.callers_address())?;
        let size = *count as f64;
        let tokens = size * f64::from(TOKENS);
        memory.push(Point { size, value: through.open.resident - before });
        opening.push(Point { size, value: through.open.cpu_us });
        through_host.push(Point { size: tokens, value: through.flow.cpu_us });
        straight.push(Point { size: tokens, value: direct.flow.cpu_us });
    }
    Ok(vec![
        Slope::new("open stream", "memory, caller and engine included", "B", memory)?,
        Slope::new("open stream", "CPU to open it, caller and engine included", "µs", opening)?,
        Slope::new("token", "CPU through a host, caller and engine included", "µs", through_host)?,
        Slope::new("token", "CPU straight from the engine, caller included", "µs", straight)?,
    ])
}
