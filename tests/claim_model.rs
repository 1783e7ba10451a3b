//! Every order of writes, losses, questions and sends leaves a request run at most once.

use std::time::Duration;

use fuchsiaknot::{
    claim::{
        Action, Answer, Attempt, Claimant, Found, Input, Ledger, Record, Request, Status, row,
    },
    id::Token,
};
use proptest::prelude::*;

/// Hosts that the same request reaches.
const HOSTS: usize = 3;
const UNTIL: Duration = Duration::from_secs(1);

/// A write on its way to the table.
#[derive(Debug, Clone)]
struct Flight {
    expected: u64,
    record: Record,
}

#[derive(Debug, Default)]
struct Table {
    version: u64,
    record: Option<Record>,
    /// Writes whose sender has given up waiting; they may still arrive.
    late: Vec<Flight>,
}

impl Table {
    fn found(&self) -> Found {
        match &self.record {
            Some(record) => Found::Claim { version: self.version, record: record.clone() },
            None => Found::Absent,
        }
    }

    fn apply(&mut self, flight: &Flight) -> bool {
        if flight.expected != self.version {
            return false;
        }
        self.version += 1;
        self.record = Some(flight.record.clone());
        true
    }
}

#[derive(Debug)]
struct Host {
    ledger: Ledger,
    /// Copies of the request: the attempt, its token, and what it does next.
    copies: Vec<Copy>,
    is_up: bool,
}

#[derive(Debug)]
struct Copy {
    attempt: Attempt,
    token: Token,
    action: Action,
    granted: bool,
}

#[derive(Debug, Default)]
struct World {
    table: Table,
    hosts: Vec<Host>,
    runs: Vec<Token>,
    tokens: Token,
}

/// How the network treats the next step.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Fine,
    /// The call has no effect.
    Refused,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call may take effect later.
    Delayed,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive(usize),
    Act(usize, usize, Fate),
    Send(usize, usize),
    Release(usize, usize),
    GiveUp(usize, usize),
    Deliver(usize),
    Kill(usize),
}

fn request() -> Request {
    Request { customer: "clinic".into(), key: "order-1".into(), fingerprint: 7 }
}

fn claimant(host: usize) -> Claimant {
    Claimant { host: format!("host-{host}").into(), incarnation: host as u64 }
}

impl World {
    fn new() -> World {
        let host = |_| Host { ledger: Ledger::default(), copies: Vec::new(), is_up: true };
        World { hosts: (0..HOSTS).map(host).collect(), ..World::default() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(host) => self.arrive(host),
            Step::Act(host, copy, fate) => self.act(host, copy, fate),
            Step::Send(host, copy) => self.send(host, copy),
            Step::Release(host, copy) => self.release(host, copy),
            Step::GiveUp(host, copy) => self.give_up(host, copy),
            Step::Deliver(index) => self.deliver(index),
            Step::Kill(host) => self.hosts[host].is_up = false,
        }
    }

    fn copy(&mut self, host: usize, copy: usize) -> Option<&mut Copy> {
        let host = &mut self.hosts[host];
        if !host.is_up || host.copies.is_empty() {
            return None;
        }
        let index = copy % host.copies.len();
        Some(&mut host.copies[index])
    }

    /// A copy arrives; local copies are not kept apart here, which only adds orders.
    fn arrive(&mut self, host: usize) {
        self.tokens += 1;
        let token = self.tokens;
        let (attempt, action) = Attempt::new(request(), claimant(host), token, UNTIL);
        let host = &mut self.hosts[host];
        if !host.is_up {
            return;
        }
        host.ledger.begin(token, row("clinic", "order-1"), 7);
        host.copies.push(Copy { attempt, token, action, granted: false });
    }

    fn act(&mut self, host: usize, copy: usize, fate: Fate) {
        let Some(found) = self.copy(host, copy) else {
            return;
        };
        let (token, action) = (found.token, found.action.clone());
        let Some(input) = self.input(action, fate) else {
            return;
        };
        let found = self.copy(host, copy).expect("a copy");
        let action = found.attempt.step(Duration::ZERO, input);
        found.action = action.clone();
        match action {
            Action::Grant { .. } => {
                let held = self.hosts[host].ledger.hold(token);
                self.copy(host, copy).expect("a copy").granted = held;
            }
            Action::Refuse(_) | Action::Replay(_) => self.hosts[host].ledger.abandon(token),
            _ => {}
        }
    }

    fn input(&mut self, action: Action, fate: Fate) -> Option<Input> {
        match action {
            Action::Commit { expected, record, .. } => {
                Some(self.commit(Flight { expected, record }, fate))
            }
            Action::ReadBack { .. } => Some(match fate {
                Fate::Fine => Input::Read(self.table.found()),
                _ => Input::Unreadable,
            }),
            Action::Ask { claimant, token } => Some(Input::Told(self.ask(&claimant, token, fate))),
            Action::Fetch(_) | Action::Grant { .. } | Action::Replay(_) | Action::Refuse(_) => None,
        }
    }

    fn commit(&mut self, flight: Flight, fate: Fate) -> Input {
        match fate {
            Fate::Refused => Input::Refused,
            Fate::Delayed => {
                self.table.late.push(flight);
                Input::Lost
            }
            Fate::AnswerLost => {
                self.table.apply(&flight);
                Input::Lost
            }
            Fate::Fine if self.table.apply(&flight) => Input::Committed(self.table.version),
            Fate::Fine => Input::Conflict(self.table.found()),
        }
    }

    fn ask(&mut self, claimant: &Claimant, token: Token, fate: Fate) -> Option<Status> {
        let host = &mut self.hosts[claimant.incarnation as usize];
        if !host.is_up || matches!(fate, Fate::Refused) {
            return None;
        }
        let status = host.ledger.question(token);
        matches!(fate, Fate::Fine).then_some(status)
    }

    fn send(&mut self, host: usize, copy: usize) {
        let Some(found) = self.copy(host, copy) else {
            return;
        };
        let (token, granted) = (found.token, found.granted);
        if granted && self.hosts[host].ledger.send(token) && !self.runs.contains(&token) {
            self.runs.push(token);
        }
    }

    /// A granted copy that did not run frees the key.
    fn release(&mut self, host: usize, copy: usize) {
        let Some(found) = self.copy(host, copy) else {
            return;
        };
        let (token, granted) = (found.token, found.granted);
        if granted && !self.runs.contains(&token) {
            self.hosts[host].ledger.abandon(token);
        }
    }

    /// The attempt's time is up, whatever it waits for.
    fn give_up(&mut self, host: usize, copy: usize) {
        let Some(found) = self.copy(host, copy) else {
            return;
        };
        let (token, granted) = (found.token, found.granted);
        if !granted {
            found.action = Action::Refuse(fuchsiaknot::verdict::Reason::ClaimUnavailable);
            self.hosts[host].ledger.abandon(token);
        }
    }

    fn deliver(&mut self, index: usize) {
        if self.table.late.is_empty() {
            return;
        }
        let flight = self.table.late.swap_remove(index % self.table.late.len());
        self.table.apply(&flight);
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Fine),
        1 => Just(Fate::Refused),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Delayed),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let (host, copy) = (0..HOSTS, 0..4usize);
    prop_oneof![
        2 => host.clone().prop_map(Step::Arrive),
        8 => (host.clone(), copy.clone(), fate()).prop_map(|(h, c, f)| Step::Act(h, c, f)),
        3 => (host.clone(), copy.clone()).prop_map(|(h, c)| Step::Send(h, c)),
        1 => (host.clone(), copy.clone()).prop_map(|(h, c)| Step::Release(h, c)),
        1 => (host.clone(), copy.clone()).prop_map(|(h, c)| Step::GiveUp(h, c)),
        2 => copy.prop_map(Step::Deliver),
        1 => host.prop_map(Step::Kill),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        cases: 4_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn runs_once(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            prop_assert!(world.runs.len() <= 1, "ran under the tokens {:?}", world.runs);
        }
    }
}

#[test]
fn model_reaches_runs() {
    let mut world = World::new();
    for step in [Step::Arrive(0), Step::Act(0, 0, Fate::AnswerLost), Step::Arrive(1)] {
        world.step(step);
    }
    world.step(Step::Act(1, 0, Fate::Fine));
    world.step(Step::Act(1, 0, Fate::Fine));
    world.step(Step::Act(1, 0, Fate::Fine));
    world.step(Step::Send(1, 0));
    assert_eq!(world.runs, [2]);
    world.step(Step::Act(0, 0, Fate::Fine));
    world.step(Step::Act(0, 0, Fate::Fine));
    world.step(Step::Send(0, 0));
    assert_eq!(world.runs, [2]);
}

#[test]
fn answer_kept() {
    let mut ledger = Ledger::default();
    let answer = Answer { status: 201, headers: Vec::new(), body: b"ok".to_vec() };
    ledger.begin(1, row("clinic", "order-1"), 7);
    assert!(!ledger.answer(1, answer.clone()), "nothing was sent yet");
    assert!(ledger.hold(1) && ledger.send(1) && ledger.answer(1, answer.clone()));
    assert_eq!(ledger.question(1), Status::Answered(answer));
    ledger.stored(1);
    assert_eq!(ledger.question(1), Status::Unknown);
}
