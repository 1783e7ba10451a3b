//! An entry host's process: the runner round the library's state machines.

use std::{sync::Arc, time::Duration};

use fuchsiaknot::{
    id,
    lease::{self, Intent, Owner},
    order::{self, Delivery, Step},
    target::{Action, Order, Receipt, Role},
};

use super::{Authority, Body, HOSTS, Message, Mutation, World};

/// A process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Process {
    index: usize,
    incarnation: u64,
    pub(super) alive: bool,
    paused: bool,
    pub(super) listed: bool,
    lease: lease::Controller,
    tenure: Option<order::Controller>,
    call: Option<Call>,
    read_at: Option<(u64, u64)>,
    sends: Vec<Send>,
    asks: Vec<Step>,
    pub(super) request: Request,
    view: Option<View>,
}

/// A write that was sent to the table and has not taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    Lease(lease::Attempt),
    Group(order::Write),
}

/// An order on a connection that is open to one run of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Send {
    target: usize,
    incarnation: u64,
    order: Order,
    stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Connected,
    Confirmed(Authority),
    Written,
    Answered(Delivery),
}

/// A request that drains cover, sent to the first target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Request {
    None,
    Checked,
    Flying,
    Running,
}

/// The group's row as the routing of requests knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct View {
    revision: u64,
    drained: bool,
    refreshed: u64,
}

impl Process {
    pub(super) fn new(index: usize, incarnation: u64) -> Process {
        let owner = Owner { host: HOSTS[index].into(), incarnation };
        Process {
            index,
            incarnation,
            alive: true,
            paused: false,
            listed: true,
            lease: lease::Controller::new(owner, World::lease_config()),
            tenure: None,
            call: None,
            read_at: None,
            sends: Vec::new(),
            asks: Vec::new(),
            request: Request::None,
            view: None,
        }
    }

    pub(super) fn owner(&self) -> Owner {
        Owner { host: HOSTS[self.index].into(), incarnation: self.incarnation }
    }

    pub(super) fn holds(&self, now: Duration) -> bool {
        self.alive && self.lease.held_epoch(now).is_some()
    }

    pub(super) fn is_open(&self) -> bool {
        self.tenure.as_ref().is_some_and(order::Controller::has_claimed_row)
    }

    pub(super) fn request_done(&mut self) {
        self.request = Request::None;
    }

    pub(super) fn receipt(&mut self, target: usize, order: &Order, receipt: Receipt) {
        let send = self.sends.iter_mut().find(|it| {
            it.target == target && it.order.fence == order.fence && it.stage == Stage::Written
        });
        if let Some(send) = send {
            send.stage = Stage::Answered(Delivery::from(&Ok(receipt)));
        }
    }

    /// Returns whether the host may send a covered request to the first target now.
    fn may_request(&self, world: &World) -> bool {
        let age = |view: &View| world.seconds - view.refreshed;
        self.view.as_ref().is_some_and(|it| !it.drained && age(it) < world.bounds.freshness)
    }

    /// Role that this host would give every target.
    fn role(&self) -> Role {
        [Role::Prefill, Role::Decode][self.index]
    }

    fn token(&self, world: &World) -> id::Token {
        if world.mutated(Mutation::TokenNotCompared) {
            return 1;
        }
        (self.incarnation * 2 + self.index as u64) * 100 + world.seconds
    }
}

/// Returns every state that a step of one running process leads to.
pub(super) fn steps(world: &World, index: usize) -> Vec<World> {
    let mut next = Vec::new();
    let process = &world.processes[index];
    if !process.alive || process.paused {
        return next;
    }
    call_successors(world, index, &mut next);
    send_successors(world, index, &mut next);
    ask_successors(world, index, &mut next);
    if process.request == Request::Checked {
        let mut world = world.clone();
        if world.processes[index].may_request(&world) {
            world.process(index).request = Request::Flying;
            world.write(0, Body::Request(index));
        } else {
            world.process(index).request_done();
        }
        next.push(world);
    }
    next
}

/// Adds every state that follows from what may happen to a process at any time.
pub(super) fn events(world: &World, index: usize, next: &mut Vec<World>) {
    let process = &world.processes[index];
    if !process.alive {
        return dead_events(world, index, next);
    }
    if process.paused {
        let mut world = world.clone();
        world.process(index).paused = false;
        next.push(world);
        return;
    }
    request_events(world, index, next);
    if world.bounds.pauses > 0 {
        let mut world = world.clone();
        world.bounds().pauses -= 1;
        world.process(index).paused = true;
        next.push(world);
    }
    if world.bounds.kills > 0 {
        let mut world = world.clone();
        world.bounds().kills -= 1;
        let dead = world.process(index);
        *dead = Process { alive: false, ..Process::new(index, dead.incarnation) };
        next.push(world);
    }
}

fn dead_events(world: &World, index: usize, next: &mut Vec<World>) {
    if world.processes[index].listed {
        let mut world = world.clone();
        world.process(index).listed = false;
        next.push(world);
    } else if world.bounds.starts > 0 {
        let mut world = world.clone();
        world.bounds().starts -= 1;
        let process = world.process(index);
        *process = Process::new(index, process.incarnation + 1);
        next.push(world);
    }
}

fn call_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let Some(call) = world.processes[index].call.clone() else {
        let mut decided = world.clone();
        decide(&mut decided, index);
        if decided == *world {
            report_successors(world, index, next);
        } else {
            next.push(decided);
        }
        return;
    };
    if world.bounds.losses > 0 {
        let mut lost = world.clone();
        lost.bounds().losses -= 1;
        lost.perform(index, call.clone(), Reply::Lost);
        next.push(lost);
    }
    let mut world = world.clone();
    world.perform(index, call, Reply::Received);
    next.push(world);
}

/// Whether the table's answer reaches the caller.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reply {
    Received,
    Lost,
}

impl World {
    fn perform(&mut self, index: usize, call: Call, reply: Reply) {
        let now = self.now();
        let versions_checked = !self.mutated(Mutation::VersionCheckDropped);
        let expected = |asked, present| if versions_checked { asked } else { present };
        self.process(index).call = None;
        match call {
            Call::Lease(attempt) => {
                let expected = expected(attempt.expected, self.lease.version);
                let done = self.lease.write(expected, attempt.record.clone());
                let version = self.lease.version;
                match reply {
                    Reply::Lost => {}
                    Reply::Received if done => {
                        self.process(index).lease.write_committed(&attempt, version, now);
                    }
                    Reply::Received => self.read_lease(index),
                }
            }
            Call::Group(write) => {
                let expected = expected(write.expected, self.group.version);
                let done = self.group.write(expected, write.group.clone());
                let version = self.group.version;
                match reply {
                    Reply::Lost => {}
                    Reply::Received if done => {
                        if let Some(tenure) = &mut self.process(index).tenure {
                            tenure.write_committed(&write, version, now);
                        }
                    }
                    Reply::Received => self.read_group(index),
                }
            }
        }
    }

    fn read_lease(&mut self, index: usize) {
        let immediate = self.mutated(Mutation::NoLeaseWait);
        let received = if immediate { Duration::ZERO } else { self.now() };
        let (version, record) = (self.lease.version, self.lease.contents.clone());
        self.process(index).lease.observe_row(version, record.map(Arc::unwrap_or_clone), received);
    }

    fn read_group(&mut self, index: usize) {
        let now = self.now();
        let old = self.mutated(Mutation::OldRowTaken).then(|| self.group.previous.clone());
        let (version, group) = (self.group.version, self.group.contents.clone());
        let Some(tenure) = &mut self.process(index).tenure else { return };
        let before = tenure.group().map(|it| it.revision);
        tenure.observe_row(version, group.map(Arc::unwrap_or_clone).unwrap_or_default(), now);
        let known = tenure.group().map(|it| it.revision);
        if let Some(Some(old)) = old {
            tenure.observe_row(version + 1, Arc::unwrap_or_clone(old), now);
        }
        let after = tenure.group().map(|it| it.revision);
        if after < known.max(before) {
            self.breaks("versions never fall");
        }
    }
}

fn decide(world: &mut World, index: usize) {
    let now = world.now();
    let hosts = world.listed();
    let process = &world.processes[index];
    let token = process.token(world);
    let versions = (world.seconds, world.lease.version);
    let process = world.process(index);
    if let Some(attempt) = process.lease.next_attempt(now, Intent::Acquire { rank: 0 }, token) {
        process.call = Some(Call::Lease(attempt));
        return;
    }
    let Some(epoch) = process.lease.held_epoch(now) else {
        process.tenure = None;
        process.asks.clear();
        if process.read_at != Some(versions) {
            process.read_at = Some(versions);
            world.read_lease(index);
        }
        return;
    };
    let config = world.order_config();
    let targets = world.targets.len();
    let process = world.process(index);
    if process.tenure.as_ref().is_none_or(|it| it.epoch() != epoch) {
        let tenure = order::Tenure { owner: process.owner(), epoch };
        let mut machine = order::Controller::new(tenure, config);
        for target in 0..targets {
            machine.request_change(&target_name(target), Action::Role(process.role()));
        }
        process.tenure = Some(machine);
    }
    let Some(machine) = &mut process.tenure else { return };
    let steps = machine.next_steps(now, &hosts, token);
    machine.take_settled();
    process.asks.clear();
    for step in steps {
        match step {
            Step::Read => world.read_group(index),
            Step::Write(write) => world.process(index).call = Some(Call::Group(write)),
            Step::Send(target, order) => {
                let target = target_index(&target);
                let incarnation = world.targets[target].incarnation;
                let stage = Stage::Connected;
                world.process(index).sends.push(Send { target, incarnation, order, stage });
            }
            Step::AskStopped(_) | Step::AskDrained(..) => world.process(index).asks.push(step),
            Step::Resign => {}
        }
    }
}

fn send_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let now = world.now();
    let process = &world.processes[index];
    for place in 0..process.sends.len() {
        let send = &process.sends[place];
        let open = world.targets[send.target].incarnation == send.incarnation;
        match &send.stage {
            Stage::Connected => {
                let holds = process.lease.held_epoch(now) == Some(send.order.fence.epoch);
                let mut world = world.clone();
                if holds || world.mutated(Mutation::NoRecheck) {
                    let newest = world.lease.contents.as_ref().map(|it| it.epoch);
                    let held = newest == Some(send.order.fence.epoch);
                    let authority = if held { Authority::Held } else { Authority::Lost };
                    world.process(index).sends[place].stage = Stage::Confirmed(authority);
                } else {
                    end_send(&mut world, index, place, Delivery::WithoutEffect);
                }
                next.push(world);
            }
            Stage::Confirmed(authority) if open => {
                let mut world = world.clone();
                world.process(index).sends[place].stage = Stage::Written;
                let body = Body::Order(index, send.order.clone(), *authority);
                world.write(send.target, body);
                next.push(world);
            }
            Stage::Confirmed(_) => {
                let mut world = world.clone();
                end_send(&mut world, index, place, Delivery::Unknown);
                next.push(world);
            }
            Stage::Written if open && world.bounds.losses == 0 => {}
            Stage::Written => {
                let mut world = world.clone();
                if open {
                    world.bounds().losses -= 1;
                }
                end_send(&mut world, index, place, Delivery::Unknown);
                next.push(world);
            }
            Stage::Answered(delivery) => {
                let delivery = *delivery;
                let mut world = world.clone();
                end_send(&mut world, index, place, delivery);
                next.push(world);
            }
        }
    }
}

impl World {
    fn write(&mut self, target: usize, body: Body) {
        let incarnation = self.targets[target].incarnation;
        self.flying.push(Message { target, incarnation, written: self.seconds, body });
    }
}

fn end_send(world: &mut World, index: usize, place: usize, delivery: Delivery) {
    let now = world.now();
    let process = world.process(index);
    let send = process.sends.remove(place);
    let epoch = send.order.fence.epoch;
    if let Some(tenure) = process.tenure.as_mut().filter(|it| it.epoch() == epoch) {
        tenure.send_ended(&target_name(send.target), send.order.fence, delivery, now);
    }
}

fn ask_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let now = world.now();
    let mut answered = Vec::new();
    for ask in &world.processes[index].asks {
        match ask {
            Step::AskStopped(earlier) if world.has_stopped(earlier) => {
                answered.push(with_tenure(world, index, |it| it.holder_stopped(earlier, now)));
            }
            Step::AskDrained(host, target, revision) if world.has_drained(host, *revision) => {
                let note =
                    |it: &mut order::Controller| it.host_drained(host, target, *revision, now);
                answered.push(with_tenure(world, index, note));
            }
            _ => {}
        }
    }
    next.extend(answered.into_iter().flatten().filter(|it| it != world));
}

/// Adds the arrival of each target's report, which a holder with nothing else to do asks for.
fn report_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let now = world.now();
    for target in 0..world.targets.len() {
        let facts = if world.mutated(Mutation::BarrierWithoutReport) {
            world.targets[target].facts_without_load(now)
        } else {
            world.targets[target].facts(now)
        };
        let reported =
            with_tenure(world, index, |it| it.target_reported(&target_name(target), facts));
        next.extend(reported.filter(|it| it != world));
    }
}

fn with_tenure(
    world: &World,
    index: usize,
    note: impl FnOnce(&mut order::Controller),
) -> Option<World> {
    world.processes[index].tenure.as_ref()?;
    let mut world = world.clone();
    note(world.process(index).tenure.as_mut()?);
    Some(world)
}

impl World {
    fn has_stopped(&self, earlier: &order::Tenure) -> bool {
        let process = &self.processes[host_index(&earlier.owner.host)];
        if self.mutated(Mutation::NoWaitAfterTakeover) {
            return true;
        }
        if process.incarnation != earlier.owner.incarnation {
            return true;
        }
        if !process.alive {
            // The run has left the host list, which drops a run only after its end.
            return !process.listed;
        }
        let unsent = |it: &Send| it.stage != Stage::Written;
        let sends = process.sends.iter().filter(|it| it.order.fence.epoch == earlier.epoch);
        let holds = process.lease.held_epoch(self.now()) == Some(earlier.epoch);
        !process.paused && !holds && !sends.into_iter().any(unsent)
    }

    fn has_drained(&self, host: &str, revision: u64) -> bool {
        if self.mutated(Mutation::BarrierWithoutHosts) {
            return true;
        }
        let process = &self.processes[host_index(host)];
        let seen = process.view.as_ref().is_some_and(|it| revision <= it.revision);
        process.alive
            && !process.paused
            && (!self.with_requests || seen && process.request == Request::None)
    }
}

fn request_events(world: &World, index: usize, next: &mut Vec<World>) {
    let process = &world.processes[index];
    let group = world.group.contents.as_ref();
    let refreshed = View {
        revision: group.map_or(0, |it| it.revision),
        drained: group.is_some_and(|it| it.drain(&target_name(0)).is_some()),
        refreshed: world.seconds,
    };
    if world.with_requests && process.view.as_ref() != Some(&refreshed) {
        let mut world = world.clone();
        world.process(index).view = Some(refreshed);
        next.push(world);
    }
    if process.request == Request::None && world.bounds.requests > 0 && process.may_request(world) {
        let mut world = world.clone();
        world.bounds().requests -= 1;
        world.process(index).request = Request::Checked;
        next.push(world);
    }
}

fn target_name(index: usize) -> id::Target {
    ["t0", "t1"][index].into()
}

fn target_index(name: &str) -> usize {
    usize::from(name == "t1")
}

fn host_index(name: &str) -> usize {
    usize::from(name == HOSTS[1])
}
