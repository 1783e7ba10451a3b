//! Random interleavings of writes, lost responses, status questions, sends and crashes run a
//! request at most once.

use std::time::Duration;

use fuchsiaknot::{
    claim::{
        Action, Answer, Attempt, Claimant, Input, Record, Registry, Request, RowContents, Status,
        row_key,
    },
    id::Token,
};
use proptest::prelude::*;

/// Number of hosts that receive copies of the request.
const HOSTS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(1);

/// A conditional write to the table.
#[derive(Debug, Clone)]
struct Write {
    expected: u64,
    record: Record,
}

#[derive(Debug, Default)]
struct Table {
    version: u64,
    record: Option<Record>,
    /// Writes whose sender has stopped waiting; they may still take effect.
    delayed: Vec<Write>,
}

impl Table {
    fn row_contents(&self) -> RowContents {
        match &self.record {
            Some(record) => RowContents::Claim { version: self.version, record: record.clone() },
            None => RowContents::Absent,
        }
    }

    fn apply(&mut self, write: &Write) -> bool {
        if write.expected != self.version {
            return false;
        }
        self.version += 1;
        self.record = Some(write.record.clone());
        true
    }
}

#[derive(Debug)]
struct Host {
    registry: Registry,
    /// Copies of the request that this host received.
    copies: Vec<Copy>,
    is_up: bool,
}

#[derive(Debug)]
struct Copy {
    attempt: Attempt,
    token: Token,
    /// Next action of the attempt.
    action: Action,
    granted: bool,
}

#[derive(Debug, Default)]
struct World {
    table: Table,
    hosts: Vec<Host>,
    /// Tokens under which the request was sent.
    runs: Vec<Token>,
    last_token: Token,
}

/// What happens to a call on the network.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    /// The call takes effect and is answered.
    Answered,
    /// The call has no effect.
    Refused,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call's response is lost and the call may take effect later.
    Delayed,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive(usize),
    Act(usize, usize, Delivery),
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
        let host = |_| Host { registry: Registry::default(), copies: Vec::new(), is_up: true };
        World { hosts: (0..HOSTS).map(host).collect(), ..World::default() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(host) => self.arrive(host),
            Step::Act(host, copy, delivery) => self.act(host, copy, delivery),
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

    /// Starts an attempt for a new copy. Unlike a committer, the model lets one host attempt
    /// several copies at once, which only adds interleavings.
    fn arrive(&mut self, host: usize) {
        self.last_token += 1;
        let token = self.last_token;
        let (attempt, action) = Attempt::new(request(), claimant(host), token, DEADLINE);
        let host = &mut self.hosts[host];
        if !host.is_up {
            return;
        }
        host.registry.begin_claim(token, row_key("clinic", "order-1"), 7);
        host.copies.push(Copy { attempt, token, action, granted: false });
    }

    fn act(&mut self, host: usize, copy: usize, delivery: Delivery) {
        let Some(entry) = self.copy(host, copy) else {
            return;
        };
        let (token, action) = (entry.token, entry.action.clone());
        let Some(input) = self.input(action, delivery) else {
            return;
        };
        let entry = self.copy(host, copy).expect("the copy exists");
        let action = entry.attempt.step(Duration::ZERO, input);
        entry.action = action.clone();
        match action {
            Action::Grant { .. } => {
                let is_committed = self.hosts[host].registry.mark_committed(token);
                self.copy(host, copy).expect("the copy exists").granted = is_committed;
            }
            Action::Refuse(_) | Action::Replay(_) => self.hosts[host].registry.abandon(token),
            _ => {}
        }
    }

    fn input(&mut self, action: Action, delivery: Delivery) -> Option<Input> {
        match action {
            Action::Commit { expected, record, .. } => {
                Some(self.commit(Write { expected, record }, delivery))
            }
            Action::ReadRow { .. } => Some(match delivery {
                Delivery::Answered => Input::Read(self.table.row_contents()),
                _ => Input::ReadFailed,
            }),
            Action::QueryStatus { claimant, token } => {
                Some(Input::StatusReceived(self.ask(&claimant, token, delivery)))
            }
            Action::FetchBody(_) | Action::Grant { .. } | Action::Replay(_) | Action::Refuse(_) => {
                None
            }
        }
    }

    fn commit(&mut self, write: Write, delivery: Delivery) -> Input {
        match delivery {
            Delivery::Refused => Input::Refused,
            Delivery::Delayed => {
                self.table.delayed.push(write);
                Input::ResponseLost
            }
            Delivery::ResponseLost => {
                self.table.apply(&write);
                Input::ResponseLost
            }
            Delivery::Answered if self.table.apply(&write) => Input::Committed(self.table.version),
            Delivery::Answered => Input::Conflict(self.table.row_contents()),
        }
    }

    fn ask(&mut self, claimant: &Claimant, token: Token, delivery: Delivery) -> Option<Status> {
        let host = &mut self.hosts[claimant.incarnation as usize];
        if !host.is_up || matches!(delivery, Delivery::Refused) {
            return None;
        }
        let status = host.registry.status_for_peer(token);
        matches!(delivery, Delivery::Answered).then_some(status)
    }

    fn send(&mut self, host: usize, copy: usize) {
        let Some(entry) = self.copy(host, copy) else {
            return;
        };
        let (token, granted) = (entry.token, entry.granted);
        if granted && self.hosts[host].registry.begin_send(token) && !self.runs.contains(&token) {
            self.runs.push(token);
        }
    }

    /// Abandons the claim of a granted copy that did not run.
    fn release(&mut self, host: usize, copy: usize) {
        let Some(entry) = self.copy(host, copy) else {
            return;
        };
        let (token, granted) = (entry.token, entry.granted);
        if granted && !self.runs.contains(&token) {
            self.hosts[host].registry.abandon(token);
        }
    }

    /// Refuses an attempt at its deadline, whatever it waits for.
    fn give_up(&mut self, host: usize, copy: usize) {
        let Some(entry) = self.copy(host, copy) else {
            return;
        };
        let (token, granted) = (entry.token, entry.granted);
        if !granted {
            entry.action = Action::Refuse(fuchsiaknot::verdict::Reason::ClaimUnavailable);
            self.hosts[host].registry.abandon(token);
        }
    }

    fn deliver(&mut self, index: usize) {
        if self.table.delayed.is_empty() {
            return;
        }
        let write = self.table.delayed.swap_remove(index % self.table.delayed.len());
        self.table.apply(&write);
    }
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::Refused),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Delayed),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let (host, copy) = (0..HOSTS, 0..4usize);
    prop_oneof![
        2 => host.clone().prop_map(Step::Arrive),
        8 => (host.clone(), copy.clone(), delivery()).prop_map(|(h, c, f)| Step::Act(h, c, f)),
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
            prop_assert!(world.runs.len() <= 1, "the request ran under the tokens {:?}", world.runs);
        }
    }
}

#[test]
fn taken_over_claim_runs() {
    let mut world = World::new();
    for step in [Step::Arrive(0), Step::Act(0, 0, Delivery::ResponseLost), Step::Arrive(1)] {
        world.step(step);
    }
    world.step(Step::Act(1, 0, Delivery::Answered));
    world.step(Step::Act(1, 0, Delivery::Answered));
    world.step(Step::Act(1, 0, Delivery::Answered));
    world.step(Step::Send(1, 0));
    assert_eq!(world.runs, [2]);
    world.step(Step::Act(0, 0, Delivery::Answered));
    world.step(Step::Act(0, 0, Delivery::Answered));
    world.step(Step::Send(0, 0));
    assert_eq!(world.runs, [2]);
}

#[test]
fn answer_kept() {
    let mut registry = Registry::default();
    let answer = Answer { status: 201, headers: Vec::new(), body: b"ok".to_vec() };
    registry.begin_claim(1, row_key("clinic", "order-1"), 7);
    assert!(!registry.keep_answer(1, answer.clone()), "nothing was sent yet");
    assert!(
        registry.mark_committed(1)
            && registry.begin_send(1)
            && registry.keep_answer(1, answer.clone())
    );
    assert_eq!(registry.status_for_peer(1), Status::Answered(answer));
    registry.mark_stored(1);
    assert_eq!(registry.status_for_peer(1), Status::Unknown);
}
