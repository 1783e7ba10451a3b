//! Model check of claims: one request that may not repeat, sent again and again to two hosts.

use std::time::{Duration, Instant};

use fuchsiaknot::{
    claim::{Action, Attempt, Claimant, Found, Input, Ledger, Record, Request, Status, row},
    id::Token,
    verdict::{Reason, Verdict},
};
use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

const HOSTS: [&str; 2] = ["a", "b"];
const FINGERPRINT: u64 = 7;
const UNTIL: Duration = Duration::from_secs(1);

/// What the checker explores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    /// Copies of the request that the caller sends.
    copies: u8,
    /// Answers of the table or of peers that may be lost.
    losses: u8,
    /// Hosts that may be killed.
    kills: u8,
}

/// One weakening of the rules, applied to what goes into or comes out of the state machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutation {
    /// A host says that it gave a claim up and uses it all the same.
    AbandonNotKept,
    /// Every attempt carries the same token.
    TokenNotCompared,
    /// The table ignores the version that a write expects.
    VersionCheckDropped,
    /// A claim whose answer was lost counts as committed.
    LostTakenForCommitted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    bounds: Bounds,
    mutation: Option<Mutation>,
    version: u64,
    record: Option<Record>,
    /// Writes whose sender has stopped waiting; they may still arrive.
    late: Vec<(u64, Record)>,
    hosts: [Host; 2],
    runs: u8,
    broken: Option<&'static str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    alive: bool,
    ledger: Ledger,
    copies: Vec<Copy>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Copy {
    token: Token,
    attempt: Attempt,
    stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Next(Action),
    Granted,
    Sent,
    Refused(Verdict),
}

fn request() -> Request {
    Request { customer: "clinic".into(), key: "order-1".into(), fingerprint: FINGERPRINT }
}

impl World {
    fn new(bounds: Bounds, mutation: Option<Mutation>) -> World {
        let host = |_| Host { alive: true, ledger: Ledger::default(), copies: Vec::new() };
        World {
            bounds,
            mutation,
            version: 0,
            record: None,
            late: Vec::new(),
            hosts: HOSTS.map(host),
            runs: 0,
            broken: None,
        }
    }

    fn successors(&self) -> Vec<World> {
        if self.broken.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for index in 0..self.late.len() {
            let mut world = self.clone();
            let (expected, record) = world.late.remove(index);
            world.write(expected, record);
            next.push(world);
        }
        for host in 0..HOSTS.len() {
            if !self.hosts[host].alive {
                continue;
            }
            self.arrive(host, &mut next);
            self.kill(host, &mut next);
            for copy in 0..self.hosts[host].copies.len() {
                self.advance(host, copy, &mut next);
            }
        }
        next
    }

    fn arrive(&self, host: usize, next: &mut Vec<World>) {
        if self.bounds.copies == 0 {
            return;
        }
        let mut world = self.clone();
        world.bounds.copies -= 1;
        let same = self.mutation == Some(Mutation::TokenNotCompared);
        let token = if same { 1 } else { u64::from(self.bounds.copies) };
        let claimant = Claimant { host: HOSTS[host].into(), incarnation: host as u64 };
        let (attempt, action) = Attempt::new(request(), claimant, token, UNTIL);
        world.hosts[host].ledger.begin(token, row("clinic", "order-1"), FINGERPRINT);
        world.hosts[host].copies.push(Copy { token, attempt, stage: Stage::Next(action) });
        next.push(world);
    }

    fn kill(&self, host: usize, next: &mut Vec<World>) {
        if self.bounds.kills == 0 {
            return;
        }
        let mut world = self.clone();
        world.bounds.kills -= 1;
        world.hosts[host] = Host { alive: false, ledger: Ledger::default(), copies: Vec::new() };
        next.push(world);
    }

    fn advance(&self, host: usize, copy: usize, next: &mut Vec<World>) {
        match self.hosts[host].copies[copy].stage.clone() {
            Stage::Next(action) => {
                self.learn(host, copy, action, next);
                let mut world = self.clone();
                world.refuse(host, copy, Reason::ClaimUnavailable);
                next.push(world);
            }
            Stage::Granted => {
                let mut world = self.clone();
                world.send(host, copy);
                next.push(world);
            }
            Stage::Sent | Stage::Refused(_) => {}
        }
    }

    /// Adds what the action of a copy may lead to.
    fn learn(&self, host: usize, copy: usize, action: Action, next: &mut Vec<World>) {
        let lossy = self.bounds.losses > 0;
        match action {
            Action::Commit { expected, record, .. } => {
                let mut world = self.clone();
                let done = world.write(expected, record.clone());
                let input = match done {
                    true => Input::Committed(world.version),
                    false => Input::Conflict(world.found()),
                };
                let mut lost = world.clone();
                next.push(world.step(host, copy, input));
                if lossy {
                    lost.bounds.losses -= 1;
                    next.push(lost.step(host, copy, Input::Lost));
                    let mut late = self.clone();
                    late.bounds.losses -= 1;
                    late.late.push((expected, record));
                    next.push(late.step(host, copy, Input::Lost));
                }
            }
            Action::ReadBack { .. } => {
                let mut input = Input::Read(self.found());
                if self.mutation == Some(Mutation::LostTakenForCommitted) {
                    input = Input::Committed(self.version);
                }
                next.push(self.clone().step(host, copy, input));
            }
            Action::Ask { claimant, token } => {
                let mut world = self.clone();
                let status = world.ask(claimant.incarnation as usize, token);
                let mut lost = world.clone();
                next.push(world.step(host, copy, Input::Told(status)));
                if lossy {
                    lost.bounds.losses -= 1;
                    next.push(lost.step(host, copy, Input::Told(None)));
                }
            }
            Action::Fetch(_) | Action::Grant { .. } | Action::Replay(_) | Action::Refuse(_) => {}
        }
    }

    fn step(mut self, host: usize, copy: usize, input: Input) -> World {
        let found = &mut self.hosts[host].copies[copy];
        let token = found.token;
        let action = found.attempt.step(Duration::ZERO, input);
        match action {
            Action::Grant { .. } if self.hosts[host].ledger.hold(token) => {
                self.hosts[host].copies[copy].stage = Stage::Granted;
            }
            Action::Grant { .. } => self.refuse(host, copy, Reason::ClaimUnavailable),
            Action::Refuse(reason) => self.refuse(host, copy, reason),
            action => self.hosts[host].copies[copy].stage = Stage::Next(action),
        }
        self
    }

    fn write(&mut self, expected: u64, record: Record) -> bool {
        let checked = self.mutation != Some(Mutation::VersionCheckDropped);
        if checked && expected != self.version {
            return false;
        }
        self.version += 1;
        self.record = Some(record);
        true
    }

    fn found(&self) -> Found {
        match &self.record {
            Some(record) => Found::Claim { version: self.version, record: record.clone() },
            None => Found::Absent,
        }
    }

    fn ask(&mut self, host: usize, token: Token) -> Option<Status> {
        if !self.hosts[host].alive {
            return None;
        }
        if self.mutation == Some(Mutation::AbandonNotKept) {
            return Some(self.hosts[host].ledger.clone().question(token));
        }
        Some(self.hosts[host].ledger.question(token))
    }

    fn send(&mut self, host: usize, copy: usize) {
        let token = self.hosts[host].copies[copy].token;
        if !self.hosts[host].ledger.send(token) {
            self.refuse(host, copy, Reason::ClaimUnavailable);
            return;
        }
        self.hosts[host].copies[copy].stage = Stage::Sent;
        self.runs += 1;
        if self.runs > 1 {
            self.broken = Some("at most one run");
        }
    }

    fn refuse(&mut self, host: usize, copy: usize, reason: Reason) {
        let host = &mut self.hosts[host];
        let found = &mut host.copies[copy];
        if found.stage == Stage::Sent && reason.verdict() == Verdict::NotRun {
            self.broken = Some("not run is true");
        }
        host.ledger.abandon(found.token);
        found.stage = Stage::Refused(reason.verdict());
        if host.ledger.clone().send(found.token) {
            self.broken = Some("not run is true");
        }
    }
}

fn explore(bounds: Bounds) {
    let started = Instant::now();
    let first = World::new(bounds, None);
    let (mut states, mut ran) = (0_u64, false);
    for world in bfs_reach(first.clone(), World::successors) {
        states += 1;
        ran |= world.runs > 0;
        if world.broken.is_some() {
            let path = bfs(&first, World::successors, |it| it.broken.is_some());
            panic!("{bounds:?}: {:#?}", path.expect("the state was reached"));
        }
    }
    assert!(ran);
    println!("{bounds:?}: {states} states in {:.1} s", started.elapsed().as_secs_f64());
}

#[rstest]
#[case::lost(Bounds { copies: 2, losses: 2, kills: 0 })]
#[case::killed(Bounds { copies: 2, losses: 1, kills: 1 })]
#[case::repeated(Bounds { copies: 3, losses: 1, kills: 0 })]
fn runs_once(#[case] bounds: Bounds) {
    explore(bounds);
}

#[rstest]
#[case::lost(Bounds { copies: 3, losses: 2, kills: 0 })]
#[case::killed(Bounds { copies: 3, losses: 1, kills: 1 })]
#[ignore = "minutes and gigabytes; see docs/protocol.md"]
fn runs_once_far(#[case] bounds: Bounds) {
    explore(bounds);
}

#[rstest]
#[case::abandon(Mutation::AbandonNotKept)]
#[case::token(Mutation::TokenNotCompared)]
#[case::version(Mutation::VersionCheckDropped)]
#[case::lost(Mutation::LostTakenForCommitted)]
fn mutation_caught(#[case] mutation: Mutation) {
    let first = World::new(Bounds { copies: 2, losses: 2, kills: 0 }, Some(mutation));
    let path = bfs(&first, World::successors, |it| it.broken.is_some());
    let path = path.expect("the weakened rule breaks an invariant");
    let broken = path.last().and_then(|it| it.broken);
    println!("{mutation:?}: {} after {} steps", broken.unwrap_or_default(), path.len() - 1);
}
