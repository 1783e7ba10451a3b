//! Model of an entry host's process, which runs the library's state machines.

use std::{sync::Arc, time::Duration};

use fuchsiaknot::{
    id,
    lease::{self, Intent, Owner},
    order::{self, Delivery, Step},
    target::{Action, Order, Receipt, Role},
};

use super::{Authority, Body, HOSTS, Message, Mutation, World};

/// An entry host's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Process {
    index: usize,
    incarnation: u64,
    pub(super) alive: bool,
    paused: bool,
    /// Whether the host list contains this run.
    pub(super) listed: bool,
    lease: lease::Controller,
    controller: Option<order::Controller>,
    pending_write: Option<PendingWrite>,
    /// Time in seconds and version of the lease's row at the last read of it.
    last_lease_read: Option<(u64, u64)>,
    sends: Vec<Send>,
    /// Queries to peers that the order controller requested in its last step.
    queries: Vec<Step>,
    pub(super) request: Request,
    /// The group's row as last refreshed for the routing of requests.
    view: Option<View>,
}

/// A write that was sent to the table and has not taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum PendingWrite {
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

/// Progress of sending an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Connected,
    /// The lease was checked just before the last byte.
    Confirmed(Authority),
    Written,
    Answered(Delivery),
}

/// Progress of a request that drains cover, sent to the first target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Request {
    None,
    /// The host's view allowed the request.
    Checked,
    InFlight,
    Running,
}

/// The group's row as last refreshed for the routing of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct View {
    revision: u64,
    drained: bool,
    /// Time of the last refresh, in seconds.
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
            controller: None,
            pending_write: None,
            last_lease_read: None,
            sends: Vec::new(),
            queries: Vec::new(),
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

    pub(super) fn has_claimed_row(&self) -> bool {
        self.controller.as_ref().is_some_and(order::Controller::has_claimed_row)
    }

    pub(super) fn end_request(&mut self) {
        self.request = Request::None;
    }

    pub(super) fn handle_receipt(&mut self, target: usize, order: &Order, receipt: Receipt) {
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
        self.view.as_ref().is_some_and(|it| !it.drained && age(it) < world.bounds.max_view_age)
    }

    /// Returns the role that this host wants for every target.
    fn wanted_role(&self) -> Role {
        [Role::Prefill, Role::Decode][self.index]
    }

    fn token(&self, world: &World) -> id::Token {
        if world.has_mutation(Mutation::TokenNotCompared) {
            return 1;
        }
        (self.incarnation * 2 + self.index as u64) * 100 + world.seconds
    }
}

/// Returns every state that a step of one running process can lead to.
pub(super) fn steps(world: &World, index: usize) -> Vec<World> {
    let mut next = Vec::new();
    let process = &world.processes[index];
    if !process.alive || process.paused {
        return next;
    }
    write_successors(world, index, &mut next);
    send_successors(world, index, &mut next);
    query_successors(world, index, &mut next);
    if process.request == Request::Checked {
        let mut world = world.clone();
        if world.processes[index].may_request(&world) {
            world.process_mut(index).request = Request::InFlight;
            world.send_message(0, Body::Request(index));
        } else {
            world.process_mut(index).end_request();
        }
        next.push(world);
    }
    next
}

/// Adds every state that an external event at a process can lead to: a refresh, a new request, a
/// pause or its end, a kill or a restart.
pub(super) fn events(world: &World, index: usize, next: &mut Vec<World>) {
    let process = &world.processes[index];
    if !process.alive {
        return dead_process_events(world, index, next);
    }
    if process.paused {
        let mut world = world.clone();
        world.process_mut(index).paused = false;
        next.push(world);
        return;
    }
    request_events(world, index, next);
    if world.bounds.pauses > 0 {
        let mut world = world.clone();
        world.bounds_mut().pauses -= 1;
        world.process_mut(index).paused = true;
        next.push(world);
    }
    if world.bounds.kills > 0 {
        let mut world = world.clone();
        world.bounds_mut().kills -= 1;
        let dead = world.process_mut(index);
        *dead = Process { alive: false, ..Process::new(index, dead.incarnation) };
        next.push(world);
    }
}

fn dead_process_events(world: &World, index: usize, next: &mut Vec<World>) {
    if world.processes[index].listed {
        let mut world = world.clone();
        world.process_mut(index).listed = false;
        next.push(world);
    } else if world.bounds.starts > 0 {
        let mut world = world.clone();
        world.bounds_mut().starts -= 1;
        let process = world.process_mut(index);
        *process = Process::new(index, process.incarnation + 1);
        next.push(world);
    }
}

fn write_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let Some(write) = world.processes[index].pending_write.clone() else {
        let mut decided = world.clone();
        run_controllers(&mut decided, index);
        if decided == *world {
            report_successors(world, index, next);
        } else {
            next.push(decided);
        }
        return;
    };
    if world.bounds.losses > 0 {
        let mut lost = world.clone();
        lost.bounds_mut().losses -= 1;
        lost.apply_write(index, write.clone(), Reply::Lost);
        next.push(lost);
    }
    let mut world = world.clone();
    world.apply_write(index, write, Reply::Received);
    next.push(world);
}

/// Whether the table's answer reaches the caller.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reply {
    Received,
    Lost,
}

impl World {
    fn apply_write(&mut self, index: usize, write: PendingWrite, reply: Reply) {
        let now = self.now();
        let versions_checked = !self.has_mutation(Mutation::VersionCheckDropped);
        let expected = |requested, current| if versions_checked { requested } else { current };
        self.process_mut(index).pending_write = None;
        match write {
            PendingWrite::Lease(attempt) => {
                let expected = expected(attempt.expected, self.lease.version);
                let done = self.lease.write(expected, attempt.record.clone());
                let version = self.lease.version;
                match reply {
                    Reply::Lost => {}
                    Reply::Received if done => {
                        self.process_mut(index).lease.write_committed(&attempt, version, now);
                    }
                    Reply::Received => self.read_lease(index),
                }
            }
            PendingWrite::Group(write) => {
                let expected = expected(write.expected, self.group.version);
                let done = self.group.write(expected, write.group.clone());
                let version = self.group.version;
                match reply {
                    Reply::Lost => {}
                    Reply::Received if done => {
                        if let Some(controller) = &mut self.process_mut(index).controller {
                            controller.write_committed(&write, version, now);
                        }
                    }
                    Reply::Received => self.read_group(index),
                }
            }
        }
    }

    fn read_lease(&mut self, index: usize) {
        let immediate = self.has_mutation(Mutation::NoLeaseWait);
        let received = if immediate { Duration::ZERO } else { self.now() };
        let (version, record) = (self.lease.version, self.lease.contents.clone());
        self.process_mut(index).lease.observe_row(
            version,
            record.map(Arc::unwrap_or_clone),
            received,
        );
    }

    fn read_group(&mut self, index: usize) {
        let now = self.now();
        let old = self.has_mutation(Mutation::OldRowTaken).then(|| self.group.previous.clone());
        let (version, group) = (self.group.version, self.group.contents.clone());
        let Some(controller) = &mut self.process_mut(index).controller else { return };
        let before = controller.group().map(|it| it.revision);
        controller.observe_row(version, group.map(Arc::unwrap_or_clone).unwrap_or_default(), now);
        let known = controller.group().map(|it| it.revision);
        if let Some(Some(old)) = old {
            controller.observe_row(version + 1, Arc::unwrap_or_clone(old), now);
        }
        let after = controller.group().map(|it| it.revision);
        if after < known.max(before) {
            self.record_violation("versions never fall");
        }
    }
}

/// Runs the lease and order controllers of one process once, and starts the reads, writes, sends
/// and queries that they request.
fn run_controllers(world: &mut World, index: usize) {
    let now = world.now();
    let hosts = world.listed_hosts();
    let process = &world.processes[index];
    let token = process.token(world);
    let lease_read = (world.seconds, world.lease.version);
    let process = world.process_mut(index);
    if let Some(attempt) = process.lease.next_attempt(now, Intent::Acquire { rank: 0 }, token) {
        process.pending_write = Some(PendingWrite::Lease(attempt));
        return;
    }
    let Some(epoch) = process.lease.held_epoch(now) else {
        process.controller = None;
        process.queries.clear();
        if process.last_lease_read != Some(lease_read) {
            process.last_lease_read = Some(lease_read);
            world.read_lease(index);
        }
        return;
    };
    let config = world.order_config();
    let targets = world.targets.len();
    let process = world.process_mut(index);
    if process.controller.as_ref().is_none_or(|it| it.epoch() != epoch) {
        let tenure = order::Tenure { owner: process.owner(), epoch };
        let mut controller = order::Controller::new(tenure, config);
        for target in 0..targets {
            controller.request_change(&target_name(target), Action::Role(process.wanted_role()));
        }
        process.controller = Some(controller);
    }
    let Some(controller) = &mut process.controller else { return };
    let steps = controller.next_steps(now, &hosts, token);
    controller.take_settled();
    process.queries.clear();
    for step in steps {
        match step {
            Step::Read => world.read_group(index),
            Step::Write(write) => {
                world.process_mut(index).pending_write = Some(PendingWrite::Group(write))
            }
            Step::Send(target, order) => {
                let target = target_index(&target);
                let incarnation = world.targets[target].incarnation;
                let stage = Stage::Connected;
                world.process_mut(index).sends.push(Send { target, incarnation, order, stage });
            }
            Step::AskStopped(_) | Step::AskDrained(..) => {
                world.process_mut(index).queries.push(step)
            }
            Step::Resign => {}
        }
    }
}

fn send_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let now = world.now();
    let process = &world.processes[index];
    for send_index in 0..process.sends.len() {
        let send = &process.sends[send_index];
        let same_run = world.targets[send.target].incarnation == send.incarnation;
        match &send.stage {
            Stage::Connected => {
                let holds = process.lease.held_epoch(now) == Some(send.order.fence.epoch);
                let mut world = world.clone();
                if holds || world.has_mutation(Mutation::NoRecheck) {
                    let newest_epoch = world.lease.contents.as_ref().map(|it| it.epoch);
                    let held = newest_epoch == Some(send.order.fence.epoch);
                    let authority = if held { Authority::Held } else { Authority::Lost };
                    world.process_mut(index).sends[send_index].stage = Stage::Confirmed(authority);
                } else {
                    end_send(&mut world, index, send_index, Delivery::WithoutEffect);
                }
                next.push(world);
            }
            Stage::Confirmed(authority) if same_run => {
                let mut world = world.clone();
                world.process_mut(index).sends[send_index].stage = Stage::Written;
                let body = Body::Order(index, send.order.clone(), *authority);
                world.send_message(send.target, body);
                next.push(world);
            }
            Stage::Confirmed(_) => {
                let mut world = world.clone();
                end_send(&mut world, index, send_index, Delivery::Unknown);
                next.push(world);
            }
            Stage::Written if same_run && world.bounds.losses == 0 => {}
            Stage::Written => {
                let mut world = world.clone();
                if same_run {
                    world.bounds_mut().losses -= 1;
                }
                end_send(&mut world, index, send_index, Delivery::Unknown);
                next.push(world);
            }
            Stage::Answered(delivery) => {
                let delivery = *delivery;
                let mut world = world.clone();
                end_send(&mut world, index, send_index, delivery);
                next.push(world);
            }
        }
    }
}

impl World {
    fn send_message(&mut self, target: usize, body: Body) {
        let incarnation = self.targets[target].incarnation;
        self.in_flight.push(Message { target, incarnation, written: self.seconds, body });
    }
}

fn end_send(world: &mut World, index: usize, send_index: usize, delivery: Delivery) {
    let now = world.now();
    let process = world.process_mut(index);
    let send = process.sends.remove(send_index);
    let epoch = send.order.fence.epoch;
    if let Some(controller) = process.controller.as_mut().filter(|it| it.epoch() == epoch) {
        controller.send_ended(&target_name(send.target), send.order.fence, delivery, now);
    }
}

fn query_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let now = world.now();
    let mut answered = Vec::new();
    for query in &world.processes[index].queries {
        match query {
            Step::AskStopped(earlier) if world.has_stopped(earlier) => {
                answered.push(with_controller(world, index, |it| it.holder_stopped(earlier, now)));
            }
            Step::AskDrained(host, target, revision) if world.has_drained(host, *revision) => {
                let confirm =
                    |it: &mut order::Controller| it.host_drained(host, target, *revision, now);
                answered.push(with_controller(world, index, confirm));
            }
            _ => {}
        }
    }
    next.extend(answered.into_iter().flatten().filter(|it| it != world));
}

/// Adds the arrival of each target's report, which a holder requests when it has no other step.
fn report_successors(world: &World, index: usize, next: &mut Vec<World>) {
    let now = world.now();
    for target in 0..world.targets.len() {
        let state = if world.has_mutation(Mutation::BarrierWithoutReport) {
            world.targets[target].state_without_load(now)
        } else {
            world.targets[target].state(now)
        };
        let reported =
            with_controller(world, index, |it| it.target_reported(&target_name(target), state));
        next.extend(reported.filter(|it| it != world));
    }
}

fn with_controller(
    world: &World,
    index: usize,
    update: impl FnOnce(&mut order::Controller),
) -> Option<World> {
    world.processes[index].controller.as_ref()?;
    let mut world = world.clone();
    update(world.process_mut(index).controller.as_mut()?);
    Some(world)
}

impl World {
    fn has_stopped(&self, earlier: &order::Tenure) -> bool {
        let process = &self.processes[host_index(&earlier.owner.host)];
        if self.has_mutation(Mutation::NoWaitAfterTakeover) {
            return true;
        }
        if process.incarnation != earlier.owner.incarnation {
            return true;
        }
        if !process.alive {
            // The host list drops a run only after the run has ended.
            return !process.listed;
        }
        let unfinished = |it: &Send| it.stage != Stage::Written;
        let sends = process.sends.iter().filter(|it| it.order.fence.epoch == earlier.epoch);
        let holds = process.lease.held_epoch(self.now()) == Some(earlier.epoch);
        !process.paused && !holds && !sends.into_iter().any(unfinished)
    }

    fn has_drained(&self, host: &str, revision: u64) -> bool {
        if self.has_mutation(Mutation::BarrierWithoutHosts) {
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
        world.process_mut(index).view = Some(refreshed);
        next.push(world);
    }
    if process.request == Request::None && world.bounds.requests > 0 && process.may_request(world) {
        let mut world = world.clone();
        world.bounds_mut().requests -= 1;
        world.process_mut(index).request = Request::Checked;
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
