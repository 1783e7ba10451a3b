//! Claims against a platform that refuses calls and loses answers.

use std::{
    sync::{Arc, Barrier, Mutex, Weak},
    thread,
    time::Duration,
};

use fuchsiaknot::{
    claim::{
        Action, Answer, Attempt, Claimant, Committer, Config, Found, Input, Outcome, Peers,
        Question, Record, Request, State, Status, Stored, row,
    },
    clock, settings,
    standin::platform::{Config as PlatformConfig, Faults, Platform, Stats},
    store::{Client, Row, Table, Write},
    verdict::{Reason, Refusal},
};

/// Ends a test that hangs.
const HANG: Duration = Duration::from_secs(30);

type Host = Arc<Committer<Client, Directory>>;
type Entry = (Claimant, Weak<Committer<Client, Directory>>);

/// The hosts of a test, which reach each other directly.
#[derive(Debug, Clone, Default)]
struct Directory(Arc<Mutex<Vec<Entry>>>);

impl Peers for Directory {
    fn claim_status(&self, claimant: &Claimant, question: &Question) -> Option<Status> {
        let hosts = self.0.lock().expect("directory").clone();
        let host = hosts.iter().find(|(it, _)| it == claimant)?.1.upgrade()?;
        Some(host.status(question))
    }
}

/// A platform and hosts that share it.
struct Fixture {
    platform: Platform,
    directory: Directory,
}

impl Fixture {
    fn new() -> Fixture {
        let platform = Platform::start(PlatformConfig::default()).expect("a platform");
        Fixture { platform, directory: Directory::default() }
    }

    fn client(&self) -> Client {
        let address = self.platform.address();
        Client::new(&settings::Platform { address, ..settings::Platform::default() })
    }

    fn host(&self, name: &str, incarnation: u64) -> Host {
        let claimant = Claimant { host: name.into(), incarnation };
        let config = Config { claimant: claimant.clone() };
        let client = self.client();
        let host = Committer::start(config, client.clone(), client, self.directory.clone())
            .map(Arc::new)
            .expect("a host");
        self.directory.0.lock().expect("directory").push((claimant, Arc::downgrade(&host)));
        host
    }

    fn fail(&self, faults: &Faults) {
        let url = format!("http://{}/faults", self.platform.address());
        ureq::post(url).send_json(faults).expect("faults set");
    }

    fn stats(&self) -> Stats {
        let url = format!("http://{}/stats", self.platform.address());
        ureq::get(url).call().expect("stats").body_mut().read_json().expect("stats")
    }

    fn row(&self, key: &str) -> Row {
        self.client().read(&[row("clinic", key)]).expect("a row").remove(0)
    }
}

fn request(key: &str) -> Request {
    Request { customer: "clinic".into(), key: key.into(), fingerprint: 7 }
}

fn answer(body: &str) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: body.into() }
}

fn claim(host: &Host, key: &str) -> Result<Outcome, Refusal> {
    host.claim(&request(key), clock::now() + HANG)
}

fn granted(host: &Host, key: &str) -> fuchsiaknot::claim::Grant {
    match claim(host, key) {
        Ok(Outcome::Granted(grant)) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

fn reason(outcome: Result<Outcome, Refusal>) -> Reason {
    outcome.expect_err("a refusal").reason
}

fn replayed(outcome: Result<Outcome, Refusal>) -> Answer {
    match outcome {
        Ok(Outcome::Replay(answer)) => answer,
        other => panic!("not replayed: {other:?}"),
    }
}

/// Runs a request to its end.
fn run(host: &Host, key: &str, body: &str) {
    let mut grant = granted(host, key);
    grant.send().expect("allowed");
    grant.finish(answer(body));
    assert!(host.flush(HANG), "the answer was not stored");
}

#[test]
fn answer_replayed() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let large = "å".repeat(40_000);
    for (key, body) in [("small", "shipped"), ("large/with space", large.as_str())] {
        run(&first, key, body);
        assert_eq!(replayed(claim(&first, key)), answer(body));
        assert_eq!(replayed(claim(&second, key)), answer(body));
    }
}

#[test]
fn unstored_answer_replayed() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut grant = granted(&first, "order");
    grant.send().expect("allowed");
    fixture.fail(&Faults { writes_per_second: Some(0), ..Faults::default() });
    grant.finish(answer("shipped"));
    assert_eq!(replayed(claim(&first, "order")), answer("shipped"));
    assert_eq!(reason(claim(&second, "other")), Reason::ClaimUnavailable);
    fixture.fail(&Faults::default());
    assert_eq!(replayed(claim(&second, "order")), answer("shipped"));
    assert!(first.flush(HANG));
    drop(first);
    assert_eq!(replayed(claim(&second, "order")), answer("shipped"));
}

#[test]
fn customers_apart() {
    let fixture = Fixture::new();
    let host = fixture.host("host-1", 1);
    run(&host, "order", "for the clinic");
    let other = Request { customer: "bakery".into(), ..request("order") };
    let outcome = host.claim(&other, clock::now() + HANG);
    assert!(matches!(outcome, Ok(Outcome::Granted(_))), "{outcome:?}");
    assert_ne!(row("a/b", "c"), row("a", "b/c"));
}

#[test]
fn key_reused() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    run(&first, "order", "shipped");
    let other = Request { fingerprint: 8, ..request("order") };
    for host in [&first, &second] {
        let outcome = host.claim(&other, clock::now() + HANG);
        assert_eq!(reason(outcome), Reason::KeyReused);
    }
}

#[test]
fn lost_answer_recognised() {
    let fixture = Fixture::new();
    let host = fixture.host("host-1", 1);
    fixture.fail(&Faults { lose_answers: 1, lose_prefix: "claim/".into(), ..Faults::default() });
    let mut grant = granted(&host, "order");
    assert_eq!(fixture.stats().lost, 1, "no answer was lost");
    assert_eq!(fixture.stats().rows_written, 1, "the claim was written twice");
    grant.send().expect("allowed");
    fixture.fail(&Faults { lose_answers: 1, ..Faults::default() });
    grant.finish(answer("shipped"));
    assert!(host.flush(HANG));
    let other = fixture.host("host-2", 2);
    assert_eq!(replayed(claim(&other, "order")), answer("shipped"));
}

#[test]
fn refused_claim_abandoned() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    // The write takes effect, but neither its answer nor the row can be read.
    fixture.fail(&Faults { lose_answers: 1, reads_per_second: Some(0), ..Faults::default() });
    assert_eq!(reason(claim(&first, "order")), Reason::ClaimUnavailable);
    fixture.fail(&Faults::default());
    let mut grant = granted(&second, "order");
    grant.send().expect("allowed");
    assert_eq!(reason(claim(&first, "order")), Reason::ClaimHeld);
}

#[test]
fn abandoned_row_marked() {
    let fixture = Fixture::new();
    let first = fixture.host("host-1", 1);
    fixture.fail(&Faults { lose_answers: 1, reads_per_second: Some(0), ..Faults::default() });
    assert_eq!(reason(claim(&first, "order")), Reason::ClaimUnavailable);
    fixture.fail(&Faults::default());
    assert!(first.flush(HANG));
    let row = fixture.row("order");
    let record = Record::try_from(row.value.as_str()).expect("a claim");
    assert_eq!(record.state, State::Abandoned);
    drop(first);
    granted(&fixture.host("host-2", 2), "order");
}

#[test]
fn store_down_refused() {
    let fixture = Fixture::new();
    let host = fixture.host("host-1", 1);
    fixture.fail(&Faults { table_down: true, ..Faults::default() });
    for _ in 0..2 {
        let refusal = claim(&host, "order").expect_err("a refusal");
        assert_eq!(refusal.reason, Reason::ClaimUnavailable);
        assert!(refusal.retry_after.is_some());
    }
    assert_eq!(fixture.stats().rows_written, 0);
    fixture.fail(&Faults::default());
    run(&host, "order", "shipped");
}

#[test]
fn unused_claim_taken_over() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut unused = granted(&first, "order");
    let mut grant = granted(&second, "order");
    let refusal = unused.send().expect_err("the claim was taken over");
    assert_eq!(refusal.reason, Reason::ClaimHeld);
    grant.send().expect("allowed");
}

#[test]
fn sent_claim_kept() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut grant = granted(&first, "order");
    grant.send().expect("allowed");
    assert_eq!(reason(claim(&second, "order")), Reason::ClaimHeld);
    drop(grant);
    for host in [&first, &second] {
        assert_eq!(reason(claim(host, "order")), Reason::ClaimHeld, "the outcome is unknown");
    }
}

#[test]
fn released_claim_free() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut grant = granted(&first, "order");
    grant.send().expect("allowed");
    grant.release();
    granted(&second, "order").send().expect("allowed");
    drop(granted(&first, "other"));
    granted(&first, "other").send().expect("allowed");
}

#[test]
fn lost_claimant_unknown() {
    let fixture = Fixture::new();
    let first = fixture.host("host-1", 1);
    let mut grant = granted(&first, "order");
    grant.send().expect("allowed");
    // The row as a host leaves it that dies between sending and storing the answer.
    let row = fixture.row("order");
    drop(first);
    std::mem::forget(grant);
    let reborn = fixture.host("host-1", 2);
    for host in [&reborn, &fixture.host("host-2", 3)] {
        assert_eq!(reason(claim(host, "order")), Reason::ClaimHeld);
    }
    assert_eq!(fixture.row("order"), row);
}

#[test]
fn garbled_row_held() {
    let fixture = Fixture::new();
    let write = Write { key: row("clinic", "order"), expected: 0, value: Some("{}".to_owned()) };
    fixture.client().commit(&[write]).expect("written");
    assert_eq!(reason(claim(&fixture.host("host-1", 1), "order")), Reason::ClaimHeld);
}

#[test]
fn conflict_spares_others() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    run(&second, "taken", "shipped");
    let keys: Vec<_> = (0..20).map(|it| format!("order-{it}")).chain(["taken".into()]).collect();
    let start = Arc::new(Barrier::new(keys.len()));
    let threads: Vec<_> = keys
        .into_iter()
        .map(|key| {
            let (host, start) = (Arc::clone(&first), Arc::clone(&start));
            thread::spawn(move || {
                start.wait();
                (key.clone(), claim(&host, &key))
            })
        })
        .collect();
    for thread in threads {
        let (key, outcome) = thread.join().expect("a claim");
        match key.as_str() {
            "taken" => assert_eq!(replayed(outcome), answer("shipped")),
            _ => assert!(matches!(outcome, Ok(Outcome::Granted(_))), "{key}: {outcome:?}"),
        }
    }
}

#[test]
fn one_of_two_runs() {
    let fixture = Fixture::new();
    let hosts = [fixture.host("host-1", 1), fixture.host("host-2", 2)];
    for round in 0..100 {
        let key = format!("order-{round}");
        let start = Arc::new(Barrier::new(hosts.len()));
        let threads = hosts.clone().map(|host| {
            let (start, key) = (Arc::clone(&start), key.clone());
            thread::spawn(move || {
                start.wait();
                match claim(&host, &key) {
                    Ok(Outcome::Granted(mut grant)) => grant.send().is_ok(),
                    _ => false,
                }
            })
        });
        let runs = threads.map(|it| it.join().expect("a claim")).into_iter().filter(|it| *it);
        assert_eq!(runs.count(), 1, "round {round}");
    }
}

/// Claims against a row of another host whose claimant knows nothing of it, and reads it again.
fn reread(state: Option<State>) -> Action {
    let other = Claimant { host: "host-2".into(), incarnation: 2 };
    let record = Record { token: 8, claimant: other, fingerprint: 7, state: State::Claimed };
    let found = |record| Found::Claim { version: 1, record };
    let me = Claimant { host: "host-1".into(), incarnation: 1 };
    let (mut attempt, _) = Attempt::new(request("order"), me, 9, HANG);
    let asked = attempt.step(clock::Moment::ZERO, Input::Conflict(found(record.clone())));
    assert!(matches!(asked, Action::Ask { token: 8, .. }), "{asked:?}");
    assert_eq!(attempt.unanswered(), Reason::ClaimUnavailable);
    let read = attempt.step(clock::Moment::ZERO, Input::Told(Some(Status::Unknown)));
    assert_eq!(attempt.unanswered(), Reason::ClaimHeld);
    assert!(matches!(read, Action::ReadBack { .. }), "{read:?}");
    let input = match state {
        Some(state) => Input::Read(found(Record { state, ..record })),
        None => Input::Unreadable,
    };
    attempt.step(clock::Moment::ZERO, input)
}

#[test]
fn forgotten_answer_reread() {
    let stored = Stored::new(&answer("shipped"), || "unused".into());
    assert_eq!(reread(Some(State::Done(Some(stored)))), Action::Replay(answer("shipped")));
    assert_eq!(reread(Some(State::Claimed)), Action::Refuse(Reason::ClaimHeld));
    assert_eq!(reread(None), Action::Refuse(Reason::ClaimHeld));
}
