//! Model of the core protocol: the states that the model checker explores.
//!
//! Every decision is made by the library's own state machines. The model adds their environment: a
//! table that may lose answers, connections, targets, a host list and the passing of time.

mod process;
mod target;

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use fuchsiaknot::{clock::Moment, drain, lease, order, target::Order};

pub(crate) use self::{process::Process, target::Target};

/// Names of the two entry hosts.
pub(crate) const HOSTS: [&str; 2] = ["a", "b"];

/// Limits of the states that the model checker explores.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Bounds {
    /// Time at which exploration ends, in seconds; it starts at 1.
    pub(crate) seconds: u64,
    /// Number of answers of the table and of targets that may be lost.
    pub(crate) losses: u8,
    /// Number of times that a process may be paused, each for any time.
    pub(crate) pauses: u8,
    /// Number of times that a process may be killed.
    pub(crate) kills: u8,
    /// Number of times that a killed process may start again as a new run.
    pub(crate) starts: u8,
    /// Number of times that a target may restart.
    pub(crate) restarts: u8,
    /// For each target, whether it checks fencing tokens.
    pub(crate) targets: Vec<bool>,
    /// Number of requests covered by drains that the hosts may send to the first target.
    pub(crate) requests: u8,
    /// Age of a host's view from which it sends no covered request, in seconds.
    pub(crate) max_view_age: u64,
    /// Longest time between the writing and the arrival of a message, in seconds.
    pub(crate) send_window: u64,
}

/// A deliberate fault of the protocol, applied to the inputs or outputs of the state machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Mutation {
    /// A candidate acquires a lease without waiting for the earlier one to expire.
    NoLeaseWait,
    /// A new holder sends orders without waiting for the earlier holder to stop.
    NoWaitAfterTakeover,
    /// The holder does not check its lease again before it sends an order's last byte.
    NoRecheck,
    /// Every write carries the same token.
    TokenNotCompared,
    /// The table ignores the version that a write expects, and always applies it.
    VersionCheckDropped,
    /// A host receives a row that is older than the one it last read.
    OldRowTaken,
    /// A drain does not wait for the target's report.
    BarrierWithoutReport,
    /// A drain does not wait for the hosts' confirmations.
    BarrierWithoutHosts,
    /// A target that claims to check fencing tokens does not check them.
    FenceNotChecked,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    bounds: Arc<Bounds>,
    mutation: Option<Mutation>,
    /// Current time, in seconds.
    seconds: u64,
    lease: Row<lease::Record>,
    group: Row<order::Group>,
    with_requests: bool,
    processes: [Arc<Process>; 2],
    targets: Vec<Target>,
    /// Messages to targets that were written and have not arrived.
    in_flight: Vec<Message>,
    /// The first violated invariant.
    violation: Option<&'static str>,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Row<T> {
    version: u64,
    contents: Option<Arc<T>>,
    /// Contents in the previous version.
    previous: Option<Arc<T>>,
}

/// A message that was written to one run of a target and has not arrived.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Message {
    target: usize,
    incarnation: u64,
    /// Time at which the message was written, in seconds.
    written: u64,
    body: Body,
}

/// Whether an order's sender held the newest epoch when it checked its lease before the last byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Authority {
    Held,
    Lost,
}

/// Content of a message, with the index of the host that sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Body {
    Order(usize, Order, Authority),
    Request(usize),
}

thread_local! {
    /// Every process state that was reached; equal ones are shared between worlds to save memory.
    static INTERNED: RefCell<HashSet<Arc<Process>>> = RefCell::default();
}

fn intern(process: &mut Arc<Process>) {
    INTERNED.with_borrow_mut(|interned| match interned.get(process) {
        Some(known) => *process = Arc::clone(known),
        None => {
            interned.insert(Arc::clone(process));
        }
    });
}

impl<T> Row<T> {
    fn write(&mut self, expected: u64, contents: T) -> bool {
        if expected != self.version {
            return false;
        }
        self.previous = self.contents.replace(Arc::new(contents));
        self.version += 1;
        true
    }
}

impl World {
    /// Creates the state in which no host has taken a step.
    pub(crate) fn new(bounds: Bounds, mutation: Option<Mutation>) -> World {
        let targets = bounds.targets.iter().map(|it| Target::new(*it)).collect();
        World {
            mutation,
            seconds: 1,
            lease: Row { version: 0, contents: None, previous: None },
            group: Row { version: 0, contents: None, previous: None },
            with_requests: bounds.requests > 0,
            bounds: Arc::new(bounds),
            processes: [0, 1].map(|it| Arc::new(Process::new(it, 1))),
            targets,
            in_flight: Vec::new(),
            violation: None,
        }
    }

    /// Creates the state in which the first host has acquired the lease and claimed the group's
    /// row.
    pub(crate) fn with_holder(bounds: Bounds, mutation: Option<Mutation>) -> World {
        let mut world = World::new(bounds, mutation);
        while !world.processes[0].has_claimed_row() {
            world =
                process::steps(&world, 0).pop().expect("a process without a lease has a next step");
        }
        world
    }

    /// Returns the first violated invariant, if any.
    pub(crate) fn violation(&self) -> Option<&'static str> {
        self.violation
    }

    /// Returns whether a target is executing a change ordered by a holder after the first one.
    pub(crate) fn has_later_change(&self) -> bool {
        self.targets.iter().any(|it| 1 < it.change_epoch())
    }

    /// Returns every state that can directly follow; time passes only when no process has a step.
    pub(crate) fn successors(&self) -> Vec<World> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for index in 0..self.processes.len() {
            next.extend(process::steps(self, index));
        }
        if next.is_empty() {
            self.advance_time(&mut next);
        }
        self.deliver(&mut next);
        self.target_events(&mut next);
        for index in 0..self.processes.len() {
            process::events(self, index, &mut next);
        }
        for world in &mut next {
            world.check_single_holder();
            world.processes.iter_mut().for_each(intern);
        }
        next
    }

    fn now(&self) -> Moment {
        Duration::from_secs(self.seconds)
    }

    fn bounds_mut(&mut self) -> &mut Bounds {
        Arc::make_mut(&mut self.bounds)
    }

    fn process_mut(&mut self, index: usize) -> &mut Process {
        Arc::make_mut(&mut self.processes[index])
    }

    fn end_requests(&mut self) {
        self.processes.iter_mut().for_each(|it| Arc::make_mut(it).end_request());
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn lease_config() -> lease::Config {
        lease::Config {
            duration: Duration::from_secs(2),
            clock_drift: Duration::ZERO,
            renew_every: Duration::from_secs(1),
            stagger: Duration::ZERO,
        }
    }

    fn order_config(&self) -> order::Config {
        order::Config {
            drain: drain::Config {
                max_view_age: Duration::from_secs(self.bounds.max_view_age),
                clock_drift: Duration::ZERO,
                send_window: Duration::from_secs(self.bounds.send_window),
            },
            retry_every: Duration::from_secs(1),
        }
    }

    fn listed_hosts(&self) -> BTreeSet<fuchsiaknot::id::Host> {
        let listed = self.processes.iter().filter(|it| it.listed);
        listed.map(|it| it.owner().host).collect()
    }

    fn record_violation(&mut self, invariant: &'static str) {
        self.violation.get_or_insert(invariant);
    }

    fn advance_time(&self, next: &mut Vec<World>) {
        let must_arrive =
            self.in_flight.iter().any(|it| it.written + self.bounds.send_window <= self.seconds);
        if must_arrive || self.bounds.seconds <= self.seconds {
            return;
        }
        let mut world = self.clone();
        world.seconds += 1;
        next.push(world);
    }

    fn deliver(&self, next: &mut Vec<World>) {
        for index in 0..self.in_flight.len() {
            let mut world = self.clone();
            let message = world.in_flight.remove(index);
            world.receive(message);
            next.push(world);
        }
    }

    fn receive(&mut self, message: Message) {
        let fence_checked = !self.has_mutation(Mutation::FenceNotChecked);
        let target = &mut self.targets[message.target];
        if target.incarnation != message.incarnation {
            return;
        }
        match message.body {
            Body::Request(host) => {
                target.running = true;
                self.process_mut(host).request = process::Request::Running;
            }
            Body::Order(host, order, authority) => {
                let request_in_flight = self
                    .in_flight
                    .iter()
                    .any(|it| it.target == message.target && matches!(it.body, Body::Request(_)));
                let effect = target.receive_order(&order, fence_checked);
                if let Some(invariant) = effect.violation {
                    self.record_violation(invariant);
                }
                if effect.starts_change && authority == Authority::Lost {
                    self.record_violation("an order without authority has no effect");
                }
                if effect.starts_change
                    && (request_in_flight || self.targets[message.target].running)
                {
                    self.record_violation(
                        "no order to a target while a covered request runs there",
                    );
                }
                self.process_mut(host).handle_receipt(message.target, &order, effect.receipt);
            }
        }
    }

    fn target_events(&self, next: &mut Vec<World>) {
        for index in 0..self.targets.len() {
            if self.targets[index].is_changing() {
                let mut world = self.clone();
                world.targets[index].finish_change();
                next.push(world);
            }
            if self.targets[index].running {
                let mut world = self.clone();
                world.targets[index].running = false;
                world.end_requests();
                next.push(world);
            }
            if self.bounds.restarts > 0 {
                let mut world = self.clone();
                world.bounds_mut().restarts -= 1;
                world.targets[index].restart();
                world.in_flight.retain(|it| it.target != index);
                world.end_requests();
                next.push(world);
            }
        }
    }

    fn check_single_holder(&mut self) {
        let now = self.now();
        let holders = self.processes.iter().filter(|it| it.holds(now)).count();
        if holders > 1 {
            self.record_violation("one holder at a time");
        }
    }
}
