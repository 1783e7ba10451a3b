//! Claims against a platform that refuses calls and loses responses.

use std::{
    sync::{Arc, Barrier, Mutex, Weak},
    thread,
    time::Duration,
};

use fuchsiaknot::{
    claim::{
        Action, Answer, Attempt, Claimant, Committer, Config, Input, Outcome, Peers, Question,
        Record, Request, RowContents, State, Status, StoredAnswer, row_key,
    },
    clock, settings,
    standin::platform::{Config as PlatformConfig, Faults, Platform, Stats},
    store::{Client, Row, Table, Write},
    verdict::{Reason, Refusal},
};

/// Bound on each wait, so that a test fails instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

type Host = Arc<Committer<Client, LocalPeers>>;
type Entry = (Claimant, Weak<Committer<Client, LocalPeers>>);

/// Hosts of a test, called directly instead of over the network.
#[derive(Debug, Clone, Default)]
struct LocalPeers(Arc<Mutex<Vec<Entry>>>);

impl Peers for LocalPeers {
    fn claim_status(&self, claimant: &Claimant, question: &Question) -> Option<Status> {
        let hosts = self.0.lock().expect("peers lock poisoned").clone();
        let host = hosts.iter().find(|(it, _)| it == claimant)?.1.upgrade()?;
        Some(host.status(question))
    }
}

/// A platform and the hosts that use it.
struct Fixture {
    platform: Platform,
    peers: LocalPeers,
}

impl Fixture {
    fn new() -> Fixture {
        let platform = Platform::start(PlatformConfig::default()).expect("platform starts");
        Fixture { platform, peers: LocalPeers::default() }
    }

    fn client(&self) -> Client {
        let address = self.platform.address();
        Client::new(&settings::Platform { address, ..settings::Platform::default() })
    }

    fn host(&self, name: &str, incarnation: u64) -> Host {
        let claimant = Claimant { host: name.into(), incarnation };
        let config = Config { claimant: claimant.clone() };
        let client = self.client();
        let host = Committer::start(config, client.clone(), client, self.peers.clone())
            .map(Arc::new)
            .expect("host starts");
        self.peers.0.lock().expect("peers lock poisoned").push((claimant, Arc::downgrade(&host)));
        host
    }

    fn set_faults(&self, faults: &Faults) {
        let url = format!("http://{}/faults", self.platform.address());
        ureq::post(url).send_json(faults).expect("faults are set");
    }

    fn stats(&self) -> Stats {
        let url = format!("http://{}/stats", self.platform.address());
        ureq::get(url).call().expect("stats").body_mut().read_json().expect("stats")
    }

    fn row(&self, key: &str) -> Row {
        self.client().read(&[row_key("clinic", key)]).expect("row is read").remove(0)
    }
}

fn request(key: &str) -> Request {
    Request { customer: "clinic".into(), key: key.into(), fingerprint: 7 }
}

fn answer(body: &str) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: body.into() }
}

fn claim(host: &Host, key: &str) -> Result<Outcome, Refusal> {
    host.claim(&request(key), clock::now() + TEST_TIMEOUT)
}

fn claim_granted(host: &Host, key: &str) -> fuchsiaknot::claim::Grant {
    match claim(host, key) {
        Ok(Outcome::Granted(grant)) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

fn refusal_reason(outcome: Result<Outcome, Refusal>) -> Reason {
    outcome.expect_err("claim is refused").reason
}

fn replayed_answer(outcome: Result<Outcome, Refusal>) -> Answer {
    match outcome {
        Ok(Outcome::Replay(answer)) => answer,
        other => panic!("not replayed: {other:?}"),
    }
}

/// Claims a request, sends it and waits until its answer is stored.
fn run_request(host: &Host, key: &str, body: &str) {
    let mut grant = claim_granted(host, key);
    grant.begin_send().expect("send is allowed");
    grant.finish(answer(body));
    assert!(host.flush(TEST_TIMEOUT), "the answer was not stored");
}

#[test]
fn answer_replayed() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let large = "å".repeat(40_000);
    for (key, body) in [("small", "shipped"), ("large/with space", large.as_str())] {
        run_request(&first, key, body);
        assert_eq!(replayed_answer(claim(&first, key)), answer(body));
        assert_eq!(replayed_answer(claim(&second, key)), answer(body));
    }
}

#[test]
fn unstored_answer_replayed() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut grant = claim_granted(&first, "order");
    grant.begin_send().expect("send is allowed");
    fixture.set_faults(&Faults { writes_per_second: Some(0), ..Faults::default() });
    grant.finish(answer("shipped"));
    assert_eq!(replayed_answer(claim(&first, "order")), answer("shipped"));
    assert_eq!(refusal_reason(claim(&second, "other")), Reason::ClaimUnavailable);
    fixture.set_faults(&Faults::default());
    assert_eq!(replayed_answer(claim(&second, "order")), answer("shipped"));
    assert!(first.flush(TEST_TIMEOUT));
    drop(first);
    assert_eq!(replayed_answer(claim(&second, "order")), answer("shipped"));
}

#[test]
fn customers_isolated() {
    let fixture = Fixture::new();
    let host = fixture.host("host-1", 1);
    run_request(&host, "order", "for the clinic");
    let other = Request { customer: "bakery".into(), ..request("order") };
    let outcome = host.claim(&other, clock::now() + TEST_TIMEOUT);
    assert!(matches!(outcome, Ok(Outcome::Granted(_))), "{outcome:?}");
    assert_ne!(row_key("a/b", "c"), row_key("a", "b/c"));
}

#[test]
fn key_reused() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    run_request(&first, "order", "shipped");
    let other = Request { fingerprint: 8, ..request("order") };
    for host in [&first, &second] {
        let outcome = host.claim(&other, clock::now() + TEST_TIMEOUT);
        assert_eq!(refusal_reason(outcome), Reason::KeyReused);
    }
}

#[test]
fn lost_response_recognised() {
    let fixture = Fixture::new();
    let host = fixture.host("host-1", 1);
    fixture.set_faults(&Faults {
        lose_answers: 1,
        lose_prefix: "claim/".into(),
        ..Faults::default()
    });
    let mut grant = claim_granted(&host, "order");
    assert_eq!(fixture.stats().lost, 1, "no response was lost");
    assert_eq!(fixture.stats().rows_written, 1, "the claim was written twice");
    grant.begin_send().expect("send is allowed");
    fixture.set_faults(&Faults { lose_answers: 1, ..Faults::default() });
    grant.finish(answer("shipped"));
    assert!(host.flush(TEST_TIMEOUT));
    let other = fixture.host("host-2", 2);
    assert_eq!(replayed_answer(claim(&other, "order")), answer("shipped"));
}

#[test]
fn refused_claim_abandoned() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    // The write takes effect, but its response is lost and the row cannot be read.
    fixture.set_faults(&Faults { lose_answers: 1, reads_per_second: Some(0), ..Faults::default() });
    assert_eq!(refusal_reason(claim(&first, "order")), Reason::ClaimUnavailable);
    fixture.set_faults(&Faults::default());
    let mut grant = claim_granted(&second, "order");
    grant.begin_send().expect("send is allowed");
    assert_eq!(refusal_reason(claim(&first, "order")), Reason::ClaimHeld);
}

#[test]
fn abandoned_row_marked() {
    let fixture = Fixture::new();
    let first = fixture.host("host-1", 1);
    fixture.set_faults(&Faults { lose_answers: 1, reads_per_second: Some(0), ..Faults::default() });
    assert_eq!(refusal_reason(claim(&first, "order")), Reason::ClaimUnavailable);
    fixture.set_faults(&Faults::default());
    assert!(first.flush(TEST_TIMEOUT));
    let row = fixture.row("order");
    let record = Record::try_from(row.value.as_str()).expect("row holds a claim");
    assert_eq!(record.state, State::Abandoned);
    drop(first);
    claim_granted(&fixture.host("host-2", 2), "order");
}

#[test]
fn store_down_refused() {
    let fixture = Fixture::new();
    let host = fixture.host("host-1", 1);
    fixture.set_faults(&Faults { table_down: true, ..Faults::default() });
    for _ in 0..2 {
        let refusal = claim(&host, "order").expect_err("claim is refused");
        assert_eq!(refusal.reason, Reason::ClaimUnavailable);
        assert!(refusal.retry_after.is_some());
    }
    assert_eq!(fixture.stats().rows_written, 0);
    fixture.set_faults(&Faults::default());
    run_request(&host, "order", "shipped");
}

#[test]
fn unused_claim_taken_over() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut unused = claim_granted(&first, "order");
    let mut grant = claim_granted(&second, "order");
    let refusal = unused.begin_send().expect_err("the claim was taken over");
    assert_eq!(refusal.reason, Reason::ClaimHeld);
    grant.begin_send().expect("send is allowed");
}

#[test]
fn sent_claim_kept() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut grant = claim_granted(&first, "order");
    grant.begin_send().expect("send is allowed");
    assert_eq!(refusal_reason(claim(&second, "order")), Reason::ClaimHeld);
    drop(grant);
    for host in [&first, &second] {
        assert_eq!(
            refusal_reason(claim(host, "order")),
            Reason::ClaimHeld,
            "the outcome is unknown"
        );
    }
}

#[test]
fn released_claim_free() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    let mut grant = claim_granted(&first, "order");
    grant.begin_send().expect("send is allowed");
    grant.release();
    claim_granted(&second, "order").begin_send().expect("send is allowed");
    drop(claim_granted(&first, "other"));
    claim_granted(&first, "other").begin_send().expect("send is allowed");
}

#[test]
fn dead_claimant_held() {
    let fixture = Fixture::new();
    let first = fixture.host("host-1", 1);
    let mut grant = claim_granted(&first, "order");
    grant.begin_send().expect("send is allowed");
    // The row as a host leaves it when it crashes after sending, before storing the answer.
    let row = fixture.row("order");
    drop(first);
    std::mem::forget(grant);
    let restarted = fixture.host("host-1", 2);
    for host in [&restarted, &fixture.host("host-2", 3)] {
        assert_eq!(refusal_reason(claim(host, "order")), Reason::ClaimHeld);
    }
    assert_eq!(fixture.row("order"), row);
}

#[test]
fn invalid_row_held() {
    let fixture = Fixture::new();
    let write =
        Write { key: row_key("clinic", "order"), expected: 0, value: Some("{}".to_owned()) };
    fixture.client().commit(&[write]).expect("row is written");
    assert_eq!(refusal_reason(claim(&fixture.host("host-1", 1), "order")), Reason::ClaimHeld);
}

#[test]
fn conflict_isolated() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.host("host-1", 1), fixture.host("host-2", 2));
    run_request(&second, "taken", "shipped");
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
        let (key, outcome) = thread.join().expect("claim thread finishes");
        match key.as_str() {
            "taken" => assert_eq!(replayed_answer(outcome), answer("shipped")),
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
                    Ok(Outcome::Granted(mut grant)) => grant.begin_send().is_ok(),
                    _ => false,
                }
            })
        });
        let runs = threads
            .map(|it| it.join().expect("claim thread finishes"))
            .into_iter()
            .filter(|it| *it);
        assert_eq!(runs.count(), 1, "round {round}");
    }
}

/// Runs an attempt that finds another host's claim, gets the status `Unknown` and reads the row
/// again with the given state, or fails to read it. Returns the action that follows.
fn action_after_reread(state: Option<State>) -> Action {
    let other = Claimant { host: "host-2".into(), incarnation: 2 };
    let record = Record { token: 8, claimant: other, fingerprint: 7, state: State::Claimed };
    let contents = |record| RowContents::Claim { version: 1, record };
    let claimant = Claimant { host: "host-1".into(), incarnation: 1 };
    let (mut attempt, _) = Attempt::new(request("order"), claimant, 9, TEST_TIMEOUT);
    let query = attempt.step(clock::Moment::ZERO, Input::Conflict(contents(record.clone())));
    assert!(matches!(query, Action::QueryStatus { token: 8, .. }), "{query:?}");
    assert_eq!(attempt.unavailable_reason(), Reason::ClaimUnavailable);
    let read = attempt.step(clock::Moment::ZERO, Input::StatusReceived(Some(Status::Unknown)));
    assert_eq!(attempt.unavailable_reason(), Reason::ClaimHeld);
    assert!(matches!(read, Action::ReadRow { .. }), "{read:?}");
    let input = match state {
        Some(state) => Input::Read(contents(Record { state, ..record })),
        None => Input::ReadFailed,
    };
    attempt.step(clock::Moment::ZERO, input)
}

#[test]
fn forgotten_answer_reread() {
    let stored = StoredAnswer::new(&answer("shipped"), || "unused".into());
    assert_eq!(
        action_after_reread(Some(State::Done(Some(stored)))),
        Action::Replay(answer("shipped"))
    );
    assert_eq!(action_after_reread(Some(State::Claimed)), Action::Refuse(Reason::ClaimHeld));
    assert_eq!(action_after_reread(None), Action::Refuse(Reason::ClaimHeld));
}
