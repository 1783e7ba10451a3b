//! Tests the target client against the stand-in engine: streams, failures, cache, orders and load.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener},
    sync::{Arc, Barrier, mpsc},
    thread,
    time::{Duration, Instant},
};

use fuchsiaknot::{
    retry::{Accepted, Assembly},
    settings,
    standin::{
        self,
        engine::{Config, Faults},
        heartbeat::Listing,
    },
    store::{self, HostList, Kind},
    target::{
        Action, Chunk, Client, Control, Engine, Failure, Fence, Generation, Order, PIECE_TOKENS,
        Progress, Receipt, Report, Role,
    },
    verdict::Verdict,
};
use rstest::rstest;
use smol_str::SmolStr;

/// Time after which a wait for a condition fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    engine: standin::Engine,
    client: Client,
}

impl Fixture {
    fn start() -> Fixture {
        Fixture::with(Config::default())
    }

    fn with(config: Config) -> Fixture {
        let engine = standin::Engine::start(Config {
            report_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            change_time: Duration::from_millis(10),
            ..config
        })
        .unwrap();
        let client = Client::new(engine.address(), &settings());
        Fixture { engine, client }
    }

    fn wait_for_report(&self, what: &str, condition: impl Fn(&Report) -> bool) -> Report {
        let mut found = None;
        wait_until(what, || {
            found = self.client.report().ok().filter(&condition);
            found.is_some()
        });
        found.unwrap()
    }
}

fn settings() -> settings::Targets {
    settings::Targets {
        connect_time: Duration::from_secs(10),
        silence: Duration::from_secs(20),
        ..Default::default()
    }
}

fn generation(prompt: &str, max_tokens: u32) -> Generation {
    Generation {
        request_id: SmolStr::new_static("r-1"),
        model: SmolStr::new_static("small"),
        adapter: None,
        prompt: prompt.to_owned(),
        max_tokens,
        resume_at: 0,
        priority: 0,
        kv: None,
    }
}

fn order(epoch: u64, sequence: u64, action: Action) -> Order {
    Order { fence: Fence { epoch, sequence }, holder: SmolStr::new_static("host-1"), action }
}

fn words(count: u32) -> String {
    (0..count).map(|it| format!("w{it} ")).collect()
}

fn token_texts(chunks: &[Chunk]) -> Vec<String> {
    let text = |it: &Chunk| match it {
        Chunk::Token { text, .. } => Some(text.to_string()),
        Chunk::End { .. } => None,
    };
    chunks.iter().filter_map(text).collect()
}

fn generate_all(client: &Client, generation: &Generation) -> Vec<Chunk> {
    client.generate(generation).unwrap().map(Result::unwrap).collect()
}

fn cached_tokens(chunks: &[Chunk]) -> u32 {
    match chunks.last() {
        Some(Chunk::End { cached, .. }) => *cached,
        it => panic!("the stream has no end: {it:?}"),
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn complete_answer() {
    let it = Fixture::start();
    let chunks = generate_all(&it.client, &generation("how much ice", 5));
    assert_eq!(token_texts(&chunks).len(), 5);
    let finish = SmolStr::new_static("length");
    assert_eq!(chunks.last(), Some(&Chunk::End { tokens: 5, cached: 0, finish }));
    let short = generate_all(&it.client, &generation("how much ice stop-after=2", 5));
    let finish = SmolStr::new_static("stop");
    assert_eq!(short.last(), Some(&Chunk::End { tokens: 2, cached: 0, finish }));
    assert_eq!(it.engine.record().started.len(), 2);
}

#[test]
fn resumed_answer_identical() {
    let first = Fixture::start();
    let second = Fixture::start();
    let complete = token_texts(&generate_all(&first.client, &generation("draft terms", 12)));
    let resumed = Generation { resume_at: 5, ..generation("draft terms", 12) };
    assert_eq!(token_texts(&generate_all(&second.client, &resumed)), complete[5..]);
}

#[test]
fn first_token_flushed() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { hold_after_tokens: Some(1), ..Faults::default() });
    let mut stream = it.client.generate(&generation("hold", 3)).unwrap();
    assert!(matches!(stream.next(), Some(Ok(Chunk::Token { index: 0, .. }))));
    wait_until("the token is recorded", || it.engine.record().tokens == 1);
    it.engine.set_faults(Faults::default());
    assert_eq!(stream.map(Result::unwrap).count(), 3);
}

#[test]
fn crash_breaks_stream() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { crash_after_tokens: Some(3), ..Faults::default() });
    let results: Vec<_> = it.client.generate(&generation("long", 1_000)).unwrap().collect();
    let last = results.last().unwrap().as_ref().unwrap_err();
    assert!(matches!(last, Failure::Broken(_)), "{last}");
    assert_eq!(last.verdict(), Verdict::MayHaveRun);
    assert_eq!(results.len(), 4);
    wait_until("the server is down", || {
        matches!(it.client.generate(&generation("again", 1)), Err(Failure::Connect(_)))
    });
    assert!(it.engine.has_crashed());
}

#[test]
fn crash_word() {
    let it = Fixture::with(Config {
        restart_after: Some(Duration::from_millis(1)),
        ..Config::default()
    });
    it.engine.set_faults(Faults {
        crash_word: Some(SmolStr::new_static("poison")),
        crash_word_after: 2,
        ..Faults::default()
    });
    let before = it.wait_for_report("a report", |_| true).incarnation;
    let results: Vec<_> = it.client.generate(&generation("a poison b", 9)).unwrap().collect();
    assert_eq!(results.len(), 3);
    it.wait_for_report("the engine has restarted", |it| it.incarnation != before);
    assert_eq!(generate_all(&it.client, &generation("innocent", 4)).len(), 5);
    assert_eq!(it.engine.record().cut, 1);
}

#[test]
fn cut_stream() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { cut_after_tokens: Some(2), ..Faults::default() });
    let results: Vec<_> = it.client.generate(&generation("cut", 2)).unwrap().collect();
    assert_eq!(results.len(), 3);
    assert!(matches!(results[2], Err(Failure::Broken(_))));
}

#[test]
fn repeated_token_dropped() {
    let it = Fixture::start();
    let without_fault: Vec<_> = it.client.generate(&generation("twice", 4)).unwrap().collect();
    it.engine.set_faults(Faults { repeat_tokens: true, ..Faults::default() });
    let chunks: Vec<_> = it.client.generate(&generation("twice", 4)).unwrap().collect();
    assert_eq!(chunks.len(), 9, "each token is sent twice, followed by the end");
    let mut assembly = Assembly::new();
    let accepted = chunks.into_iter().map(|it| assembly.accept(1, it.unwrap()).unwrap());
    let accepted: Vec<_> = accepted.filter(|it| *it != Accepted::Nothing).collect();
    let mut assembly = Assembly::new();
    let expected = without_fault.into_iter().map(|it| assembly.accept(1, it.unwrap()).unwrap());
    assert_eq!(accepted, expected.collect::<Vec<_>>());
}

#[test]
fn refusal_not_run() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { refuse: true, ..Faults::default() });
    let failure = it.client.generate(&generation("no", 1)).unwrap_err();
    assert!(matches!(failure, Failure::Refused(_)), "{failure}");
    assert_eq!(failure.verdict(), Verdict::NotRun);
    let other = Generation { model: SmolStr::new_static("large"), ..generation("no", 1) };
    it.engine.set_faults(Faults::default());
    assert!(matches!(it.client.generate(&other), Err(Failure::Refused(_))));
    assert!(it.engine.record().started.is_empty());
}

#[test]
fn frozen_engine_silent() {
    let it = Fixture::start();
    let settings = settings::Targets { silence: Duration::from_millis(100), ..settings() };
    let client = Client::new(it.engine.address(), &settings);
    it.engine.set_faults(Faults { freeze: true, ..Faults::default() });
    assert_eq!(client.generate(&generation("ice", 1)).unwrap_err(), Failure::Silent);
}

#[test]
fn silent_pool_discarded() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let settings = settings::Targets { silence: Duration::from_millis(500), ..settings() };
    let client = Client::new(listener.local_addr().unwrap(), &settings);
    thread::spawn(move || {
        let both_open = Arc::new(Barrier::new(2));
        for (i, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            let both_open = Arc::clone(&both_open);
            thread::spawn(move || {
                let mut buf = [0; 4_096];
                // Each connection gets a response to its first request only. The first two wait
                // for each other, so that the pool holds two connections.
                let _ = stream.read(&mut buf);
                if i < 2 {
                    both_open.wait();
                }
                let body = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                let _ = stream.write_all(body.as_bytes());
                while stream.read(&mut buf).is_ok_and(|it| 0 < it) {}
            });
        }
    });
    let cancellations =
        [client.clone(), client.clone()].map(|it| thread::spawn(move || it.cancel("r-1")));
    cancellations.into_iter().for_each(|it| it.join().unwrap().unwrap());
    assert_eq!(client.cancel("r-2"), Err(Failure::Silent));
    client.cancel("r-3").unwrap();
}

#[test]
fn dropped_stream_cancels() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { hold_after_tokens: Some(1), ..Faults::default() });
    let mut stream = it.client.generate(&generation("gone", 1_000)).unwrap();
    stream.next().unwrap().unwrap();
    drop(stream);
    wait_until("the request is cancelled", || it.engine.record().cancelled == 1);
}

#[test]
fn cancelled_by_other_thread() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { hold_after_tokens: Some(0), ..Faults::default() });
    let mut stream = it.client.generate(&generation("wait", 9)).unwrap();
    let canceller = stream.canceller();
    let reader = thread::spawn(move || stream.next());
    canceller.cancel();
    assert_eq!(reader.join().unwrap(), Some(Err(Failure::Cancelled)));
    wait_until("the request is cancelled", || it.engine.record().cancelled == 1);
}

#[test]
fn cancelled_by_id() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { hold_after_tokens: Some(0), ..Faults::default() });
    let mut stream = it.client.generate(&generation("wait", 9)).unwrap();
    it.client.cancel("r-1").unwrap();
    assert!(matches!(stream.next(), Some(Err(Failure::Broken(_)))));
    assert_eq!(it.engine.record().cancelled, 1);
}

#[test]
fn prefix_cached() {
    let it = Fixture::start();
    let long = words(2 * PIECE_TOKENS + 10);
    assert_eq!(cached_tokens(&generate_all(&it.client, &generation(&long, 1))), 0);
    assert_eq!(cached_tokens(&generate_all(&it.client, &generation(&long, 1))), 2 * PIECE_TOKENS);
    let other = words(PIECE_TOKENS) + "something else";
    assert_eq!(cached_tokens(&generate_all(&it.client, &generation(&other, 1))), PIECE_TOKENS);
    let events = it.client.cache_events(0).unwrap();
    assert_eq!((events.last, events.events.len()), (2, 2));
    assert!(it.client.cache_events(2).unwrap().events.is_empty());
}

#[test]
fn blocks_evicted() {
    let it =
        Fixture::with(Config { kv_capacity: 3 * u64::from(PIECE_TOKENS), ..Config::default() });
    for i in 0..4 {
        generate_all(&it.client, &generation(&format!("p{i} {}", words(PIECE_TOKENS)), 1));
    }
    let report = it.wait_for_report("the engine is idle", |it| it.running == 0 && 0 < it.kv_tokens);
    assert!(report.kv_tokens <= report.kv_capacity);
    let first = format!("p0 {}", words(PIECE_TOKENS));
    assert_eq!(cached_tokens(&generate_all(&it.client, &generation(&first, 1))), 0);
}

#[test]
fn event_gap() {
    let it = Fixture::with(Config { event_gap: Some(2), ..Config::default() });
    generate_all(&it.client, &generation(&words(4 * PIECE_TOKENS), 1));
    let events = it.client.cache_events(0).unwrap();
    assert_eq!(events.last, 4);
    assert_eq!(events.events.keys().copied().collect::<Vec<_>>(), [1, 3]);
}

#[test]
fn report_lag() {
    let engine = standin::Engine::start(Config {
        report_lag: Duration::from_secs(3_600),
        ..Config::default()
    })
    .unwrap();
    let client = Client::new(engine.address(), &settings());
    let mut first = None;
    wait_until("there is a report", || {
        first = client.report().ok();
        first.is_some()
    });
    engine.set_faults(Faults { hold_after_tokens: Some(1), ..Faults::default() });
    let mut stream = client.generate(&generation("unseen", 2)).unwrap();
    stream.next().unwrap().unwrap();
    let report = client.report().unwrap();
    assert_eq!((report.number, report.running), (first.unwrap().number, 0));
}

#[test]
fn event_lag() {
    let engine = standin::Engine::start(Config {
        event_lag: Duration::from_secs(3_600),
        ..Config::default()
    })
    .unwrap();
    let client = Client::new(engine.address(), &settings());
    generate_all(&client, &generation(&words(PIECE_TOKENS), 1));
    assert_eq!(client.cache_events(0).unwrap().last, 0);
}

#[test]
fn step_duration() {
    let step = Duration::from_millis(20);
    let it = Fixture::with(Config {
        step_base: step,
        step_per_request: step,
        prefill_rate: 1_000.0,
        ..Config::default()
    });
    let begun = Instant::now();
    generate_all(&it.client, &generation(&words(100), 2));
    // Prefills 100 tokens at 1,000 per second, then decodes two tokens in `2 * step` each.
    assert!(Duration::from_millis(100) + 4 * step <= begun.elapsed());
}

#[test]
fn batch_slows_step() {
    let step = Duration::from_millis(10);
    let it = Fixture::with(Config {
        step_base: Duration::ZERO,
        step_per_request: step,
        ..Config::default()
    });
    it.engine.set_faults(Faults { hold_after_tokens: Some(0), ..Faults::default() });
    let streams: Vec<_> =
        (0..8).map(|_| it.client.generate(&generation("batch", 2)).unwrap()).collect();
    it.wait_for_report("all requests run", |it| it.running == 8 && it.queued_tokens == 0);
    let begun = Instant::now();
    it.engine.set_faults(Faults::default());
    for stream in streams {
        assert_eq!(stream.map(Result::unwrap).count(), 3);
    }
    assert!(16 * step <= begun.elapsed());
}

#[test]
fn priority_first() {
    let it = Fixture::with(Config { slots: 1, ..Config::default() });
    it.engine.set_faults(Faults { hold_after_tokens: Some(0), ..Faults::default() });
    let running = it.client.generate(&generation("first", 1)).unwrap();
    it.wait_for_report("the first request runs", |it| it.running == 1);
    let low = it.client.generate(&generation("low", 1)).unwrap();
    it.wait_for_report("the low-priority request waits", |it| it.queued == 1);
    let high = Generation { priority: 1, ..generation("high", 1_000) };
    let mut high = it.client.generate(&high).unwrap();
    it.wait_for_report("both requests wait", |it| it.queued == 2);
    it.engine.set_faults(Faults::default());
    assert_eq!(running.map(Result::unwrap).count(), 2);
    assert!(high.next().unwrap().is_ok());
    drop(high);
    assert_eq!(low.map(Result::unwrap).count(), 2);
    assert_eq!(it.engine.record().cancelled, 1);
}

#[test]
fn kv_transferred() {
    let prefill = Fixture::with(Config { role: Role::Prefill, ..Config::default() });
    let decode = Fixture::with(Config { role: Role::Decode, ..Config::default() });
    let prompt = words(500);
    let refused = prefill.client.generate(&generation(&prompt, 3));
    assert!(matches!(refused, Err(Failure::Refused(_))));
    let export = prefill.client.prefill(&generation(&prompt, 3)).unwrap();
    assert_eq!(export.tokens, 500);
    let with_kv = Generation { kv: Some(export.clone()), ..generation(&prompt, 3) };
    assert_eq!(cached_tokens(&generate_all(&decode.client, &with_kv)), 500);
    assert_eq!(prefill.engine.record().prefilled, 500);
    assert_eq!(decode.engine.record().prefilled, 1);
    assert!(matches!(decode.client.generate(&with_kv), Err(Failure::Refused(_))));
}

#[test]
fn older_fence_refused() {
    let it = Fixture::start();
    let newest = order(2, 1, Action::Nothing);
    assert_eq!(it.client.send_order(&newest, || true).unwrap(), Receipt::Accepted);
    assert_eq!(it.client.send_order(&newest, || true).unwrap(), Receipt::Accepted);
    let old = it.client.send_order(&order(1, 9, Action::Role(Role::Decode)), || true).unwrap();
    assert_eq!(old, Receipt::Fenced(Fence { epoch: 2, sequence: 1 }));
    assert_eq!(it.engine.record().orders.len(), 3);
}

#[test]
fn older_fence_accepted() {
    let it = Fixture::with(Config { checks_fence: false, ..Config::default() });
    it.client.send_order(&order(2, 1, Action::Nothing), || true).unwrap();
    let old = it.client.send_order(&order(1, 9, Action::Role(Role::Decode)), || true).unwrap();
    assert_eq!(old, Receipt::Accepted);
    it.wait_for_report("the role has changed", |it| it.role == Some(Role::Decode) && it.serving);
}

#[test]
fn change_cuts_requests() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { hold_after_tokens: Some(1), ..Faults::default() });
    let stream = it.client.generate(&generation("cut by the change", 9)).unwrap();
    it.client.send_order(&order(1, 1, Action::Role(Role::Prefill)), || true).unwrap();
    assert!(stream.last().unwrap().is_err());
    let report = it.wait_for_report("the change is done", |it| {
        it.order.as_ref().is_some_and(|it| it.progress == Progress::Done)
    });
    assert_eq!(report.role, Some(Role::Prefill));
    assert_eq!(it.engine.record().orders[0].running, 1);
}

#[test]
fn unconfirmed_order_unsent() {
    let it = Fixture::start();
    let failure = it.client.send_order(&order(1, 1, Action::Nothing), || false).unwrap_err();
    assert_eq!(failure.verdict(), Verdict::NotRun);
    it.client.send_order(&order(1, 2, Action::Nothing), || true).unwrap();
    assert_eq!(it.engine.record().orders.len(), 1);
}

#[test]
fn confirmed_before_last_byte() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let client = Client::new(listener.local_addr().unwrap(), &settings());
    let sent = order(1, 1, Action::Nothing);
    let body = serde_json::to_vec(&sent).unwrap();
    let (received, confirmed) = mpsc::channel();
    let expected = body.len();
    let target = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = Vec::new();
        let mut buf = [0; 4_096];
        loop {
            let n = stream.read(&mut buf).unwrap();
            bytes.extend_from_slice(&buf[..n]);
            let head = bytes.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
            match head.map(|it| bytes.len() - it) {
                Some(it) if it + 1 == expected => received.send(()).unwrap(),
                Some(it) if it == expected => break,
                _ => {}
            }
        }
        let body = "\"accepted\"";
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
    });
    let receipt = client.send_order(&sent, || confirmed.recv_timeout(WAIT_TIMEOUT).is_ok());
    assert_eq!(receipt, Ok(Receipt::Accepted));
    target.join().unwrap();
}

#[test]
fn lost_receipt_unknown() {
    let it = Fixture::start();
    it.engine.set_faults(Faults { lose_order_answers: 1, ..Faults::default() });
    let failure = it.client.send_order(&order(1, 1, Action::Nothing), || true).unwrap_err();
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
    it.wait_for_report("the order is accepted", |it| it.order.is_some());
}

#[rstest]
#[case::model(Action::Model(SmolStr::new_static("large")))]
#[case::adapter(Action::Adapter(SmolStr::new_static("stock")))]
#[case::version(Action::Version(SmolStr::new_static("2")))]
fn weights_loaded(#[case] action: Action) {
    let config = standin::platform::Config { weights_bytes: 1, ..Default::default() };
    let platform = standin::Platform::start(config).unwrap();
    let listing = Listing { platform: Some(platform.address()), ..Listing::default() };
    let it = Fixture::with(Config { listing, ..Config::default() });
    it.client.send_order(&order(1, 1, action.clone()), || true).unwrap();
    let report = it.wait_for_report("the change is done", |it| {
        it.order.as_ref().is_some_and(|it| it.progress == Progress::Done)
    });
    match action {
        Action::Model(it) => assert_eq!(report.serves, it),
        Action::Adapter(it) => assert_eq!(report.adapters, [it]),
        Action::Version(it) => assert_eq!(report.version, it),
        Action::Nothing | Action::Role(_) => unreachable!(),
    }
}

#[test]
fn listed_by_platform() {
    let config =
        standin::platform::Config { lag: Duration::ZERO, ..standin::platform::Config::default() };
    let platform = standin::Platform::start(config).unwrap();
    let listing = Listing { platform: Some(platform.address()), ..Listing::default() };
    let it = Fixture::with(Config { listing, ..Config::default() });
    let settings = settings::Platform { address: platform.address(), ..Default::default() };
    let client = store::Client::new(&settings);
    let mut machines = Vec::new();
    wait_until("the engine is listed", || {
        machines = client.machines().unwrap_or_default();
        !machines.is_empty()
    });
    assert_eq!(machines[0].address, it.engine.address());
    assert_eq!(machines[0].kind, Kind::Engine(SmolStr::new_static("small")));
}
