//! Model check of claims: copies of one request that must run at most once are sent to two hosts.

use std::time::{Duration, Instant};

use fuchsiaknot::{
    claim::{
        Action, Attempt, Claimant, Input, Record, Registry, Request, RowContents, Status, row_key,
    },
    id::Token,
    verdict::{Reason, Verdict},
};
use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

const HOSTS: [&str; 2] = ["a", "b"];
const FINGERPRINT: u64 = 7;
const DEADLINE: Duration = Duration::from_secs(1);

/// Bounds of the explored state space.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    /// Copies of the request that the caller sends.
    copies: u8,
    /// Responses of the table or of other hosts that may be lost.
    losses: u8,
    /// Hosts that may be killed.
    kills: u8,
}

/// A deliberate fault in the protocol, injected between the state machines and their environment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutation {
    /// A host reports a claim as abandoned but still uses it.
    AbandonNotKept,
    /// All attempts have the same token.
    TokenNotCompared,
    /// The table ignores the version that a write expects.
    VersionCheckDropped,
    /// After a lost response, the read of the row counts as a commit of the claim.
    LostTakenForCommitted,
}

/// State of the model: the claim's row, the writes in flight and the hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    bounds: Bounds,
    mutation: Option<Mutation>,
    version: u64,
    record: Option<Record>,
    /// Writes whose sender has stopped waiting; they may still take effect.
    delayed: Vec<(u64, Record)>,
    hosts: [Host; 2],
    runs: u8,
    /// The invariant that was violated.
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    alive: bool,
    registry: Registry,
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
        let host = |_| Host { alive: true, registry: Registry::default(), copies: Vec::new() };
        World {
            bounds,
            mutation,
            version: 0,
            record: None,
            delayed: Vec::new(),
            hosts: HOSTS.map(host),
            runs: 0,
            violation: None,
        }
    }

    fn successors(&self) -> Vec<World> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for index in 0..self.delayed.len() {
            let mut world = self.clone();
            let (expected, record) = world.delayed.remove(index);
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
        let is_shared = self.mutation == Some(Mutation::TokenNotCompared);
        let token = if is_shared { 1 } else { u64::from(self.bounds.copies) };
        let claimant = Claimant { host: HOSTS[host].into(), incarnation: host as u64 };
        let (attempt, action) = Attempt::new(request(), claimant, token, DEADLINE);
        world.hosts[host].registry.begin_claim(token, row_key("clinic", "order-1"), FINGERPRINT);
        world.hosts[host].copies.push(Copy { token, attempt, stage: Stage::Next(action) });
        next.push(world);
    }

    fn kill(&self, host: usize, next: &mut Vec<World>) {
        if self.bounds.kills == 0 {
            return;
        }
        let mut world = self.clone();
        world.bounds.kills -= 1;
        world.hosts[host] =
            Host { alive: false, registry: Registry::default(), copies: Vec::new() };
        next.push(world);
    }

    fn advance(&self, host: usize, copy: usize, next: &mut Vec<World>) {
        match self.hosts[host].copies[copy].stage.clone() {
            Stage::Next(action) => {
                self.act(host, copy, action, next);
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

    /// Adds the states that may follow from a copy's action.
    fn act(&self, host: usize, copy: usize, action: Action, next: &mut Vec<World>) {
        let may_lose = self.bounds.losses > 0;
        match action {
            Action::Commit { expected, record, .. } => {
                let mut world = self.clone();
                let is_written = world.write(expected, record.clone());
                let input = match is_written {
                    true => Input::Committed(world.version),
                    false => Input::Conflict(world.row_contents()),
                };
                let mut lost = world.clone();
                next.push(world.step(host, copy, input));
                if may_lose {
                    lost.bounds.losses -= 1;
                    next.push(lost.step(host, copy, Input::ResponseLost));
                    let mut delayed = self.clone();
                    delayed.bounds.losses -= 1;
                    delayed.delayed.push((expected, record));
                    next.push(delayed.step(host, copy, Input::ResponseLost));
                }
            }
            Action::ReadRow { .. } => {
                let mut input = Input::Read(self.row_contents());
                if self.mutation == Some(Mutation::LostTakenForCommitted) {
                    input = Input::Committed(self.version);
                }
                next.push(self.clone().step(host, copy, input));
            }
            Action::QueryStatus { claimant, token } => {
                let mut world = self.clone();
                let status = world.ask(claimant.incarnation as usize, token);
                let mut lost = world.clone();
                next.push(world.step(host, copy, Input::StatusReceived(status)));
                if may_lose {
                    lost.bounds.losses -= 1;
                    next.push(lost.step(host, copy, Input::StatusReceived(None)));
                }
            }
            Action::FetchBody(_) | Action::Grant { .. } | Action::Replay(_) | Action::Refuse(_) => {
            }
        }
    }

    fn step(mut self, host: usize, copy: usize, input: Input) -> World {
        let entry = &mut self.hosts[host].copies[copy];
        let token = entry.token;
        let action = entry.attempt.step(Duration::ZERO, input);
        match action {
            Action::Grant { .. } if self.hosts[host].registry.mark_committed(token) => {
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

    fn row_contents(&self) -> RowContents {
        match &self.record {
            Some(record) => RowContents::Claim { version: self.version, record: record.clone() },
            None => RowContents::Absent,
        }
    }

    fn ask(&mut self, host: usize, token: Token) -> Option<Status> {
        if !self.hosts[host].alive {
            return None;
        }
        if self.mutation == Some(Mutation::AbandonNotKept) {
            return Some(self.hosts[host].registry.clone().status_for_peer(token));
        }
        Some(self.hosts[host].registry.status_for_peer(token))
    }

    fn send(&mut self, host: usize, copy: usize) {
        let token = self.hosts[host].copies[copy].token;
        if !self.hosts[host].registry.begin_send(token) {
            self.refuse(host, copy, Reason::ClaimUnavailable);
            return;
        }
        self.hosts[host].copies[copy].stage = Stage::Sent;
        self.runs += 1;
        if self.runs > 1 {
            self.violation = Some("the request runs at most once");
        }
    }

    fn refuse(&mut self, host: usize, copy: usize, reason: Reason) {
        let host = &mut self.hosts[host];
        let entry = &mut host.copies[copy];
        if entry.stage == Stage::Sent && reason.verdict() == Verdict::NotRun {
            self.violation = Some("a request refused as not run never runs");
        }
        host.registry.abandon(entry.token);
        entry.stage = Stage::Refused(reason.verdict());
        if host.registry.clone().begin_send(entry.token) {
            self.violation = Some("a request refused as not run never runs");
        }
    }
}

fn explore(bounds: Bounds) {
    let started = Instant::now();
    let first = World::new(bounds, None);
    let (mut states, mut has_run) = (0_u64, false);
    for world in bfs_reach(first.clone(), World::successors) {
        states += 1;
        has_run |= world.runs > 0;
        if world.violation.is_some() {
            let path = bfs(&first, World::successors, |it| it.violation.is_some());
            panic!("{bounds:?}: {:#?}", path.expect("the violation was reached"));
        }
    }
    assert!(has_run);
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
#[ignore = "takes minutes and gigabytes of memory; see docs/protocol.md"]
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
    let path = bfs(&first, World::successors, |it| it.violation.is_some());
    let path = path.expect("the mutation violates an invariant");
    let violation = path.last().and_then(|it| it.violation);
    println!("{mutation:?}: {} after {} steps", violation.unwrap_or_default(), path.len() - 1);
}
