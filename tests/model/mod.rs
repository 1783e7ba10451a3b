//! Specification of the core protocol: the world that the checker explores.
//!
//! Every decision in it is made by the library's own state machines. The world adds what lies
//! between them: a table that may lose answers, connections, targets, a host list and the time.

mod process;
mod target;

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use fuchsiaknot::{clock::Moment, drain, lease, order, target::Order};

pub(crate) use self::{process::Process, target::Machine as Target};

/// Names of the two entry hosts.
pub(crate) const HOSTS: [&str; 2] = ["a", "b"];

/// What the checker explores.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Bounds {
    /// Time at which exploration ends, in seconds.
    pub(crate) seconds: u64,
    /// Answers of the table and of targets that may be lost.
    pub(crate) losses: u8,
    /// Pauses of a process, each of any length.
    pub(crate) pauses: u8,
    /// Processes that may be killed.
    pub(crate) kills: u8,
    /// Killed processes that may start again as a new run.
    pub(crate) starts: u8,
    /// Targets that may restart.
    pub(crate) restarts: u8,
    /// For each target, whether it checks fencing numbers.
    pub(crate) targets: Vec<bool>,
    /// Covered requests that the hosts may send to the first target.
    pub(crate) requests: u8,
    /// Age of a host's view after which it sends no covered request, in seconds.
    pub(crate) freshness: u64,
    /// Time that a written message may be on its way, in seconds.
    pub(crate) window: u64,
}

/// One weakening of the rules, applied to what goes into or comes out of the state machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Mutation {
    /// A candidate takes a lease without waiting.
    NoLeaseWait,
    /// A new holder orders without waiting for the earlier one's end.
    NoWaitAfterTakeover,
    /// The lease is not checked again before an order's last byte.
    NoRecheck,
    /// Every write carries the same token.
    TokenNotCompared,
    /// The table ignores the version that a write expects.
    VersionCheckDropped,
    /// A host takes a row that is older than the one it has.
    OldRowTaken,
    /// A drain does not wait for the target's report.
    BarrierWithoutReport,
    /// A drain does not wait for the hosts.
    BarrierWithoutHosts,
    /// A target that claims to check fencing numbers does not.
    FenceNotChecked,
}

/// A state of the world.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    bounds: Arc<Bounds>,
    mutation: Option<Mutation>,
    seconds: u64,
    lease: Row<lease::Record>,
    group: Row<order::Group>,
    with_requests: bool,
    processes: [Arc<Process>; 2],
    targets: Vec<Target>,
    flying: Vec<Message>,
    broken: Option<&'static str>,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Row<T> {
    version: u64,
    contents: Option<Arc<T>>,
    /// Contents of the version before.
    previous: Option<Arc<T>>,
}

/// What was written to a target and has not arrived.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Message {
    target: usize,
    incarnation: u64,
    written: u64,
    body: Body,
}

/// Whether an order was confirmed under the newest epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Authority {
    Held,
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Body {
    Order(usize, Order, Authority),
    Request(usize),
}

thread_local! {
    /// Every state of a process that was met, so that worlds with equal ones share them.
    static SHARED: RefCell<HashSet<Arc<Process>>> = RefCell::default();
}

fn share(process: &mut Arc<Process>) {
    SHARED.with_borrow_mut(|shared| match shared.get(process) {
        Some(known) => *process = Arc::clone(known),
        None => {
            shared.insert(Arc::clone(process));
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
    /// Creates the first state.
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
            flying: Vec::new(),
            broken: None,
        }
    }

    /// Creates the state in which the first host has taken the lease and opened the group.
    pub(crate) fn held(bounds: Bounds, mutation: Option<Mutation>) -> World {
        let mut world = World::new(bounds, mutation);
        while !world.processes[0].is_open() {
            world =
                process::steps(&world, 0).pop().expect("a process that holds nothing has a step");
        }
        world
    }

    /// Returns the invariant that does not hold, if any.
    pub(crate) fn broken(&self) -> Option<&'static str> {
        self.broken
    }

    /// Returns whether a later holder than the first has changed a target.
    pub(crate) fn has_later_change(&self) -> bool {
        self.targets.iter().any(|it| 1 < it.changed_in())
    }

    /// Returns every state that can come next.
    pub(crate) fn successors(&self) -> Vec<World> {
        if self.broken.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for index in 0..self.processes.len() {
            next.extend(process::steps(self, index));
        }
        if next.is_empty() {
            self.pass_time(&mut next);
        }
        self.deliver(&mut next);
        self.change_targets(&mut next);
        for index in 0..self.processes.len() {
            process::events(self, index, &mut next);
        }
        for world in &mut next {
            world.check_holders();
            world.processes.iter_mut().for_each(share);
        }
        next
    }

    /// Returns the time.
    fn now(&self) -> Moment {
        Duration::from_secs(self.seconds)
    }

    fn bounds(&mut self) -> &mut Bounds {
        Arc::make_mut(&mut self.bounds)
    }

    fn process(&mut self, index: usize) -> &mut Process {
        Arc::make_mut(&mut self.processes[index])
    }

    fn end_requests(&mut self) {
        self.processes.iter_mut().for_each(|it| Arc::make_mut(it).request_done());
    }

    fn mutated(&self, mutation: Mutation) -> bool {
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
                max_view_age: Duration::from_secs(self.bounds.freshness),
                clock_drift: Duration::ZERO,
                send_window: Duration::from_secs(self.bounds.window),
            },
            retry_every: Duration::from_secs(1),
        }
    }

    fn listed(&self) -> BTreeSet<fuchsiaknot::id::Host> {
        let listed = self.processes.iter().filter(|it| it.listed);
        listed.map(|it| it.owner().host).collect()
    }

    fn breaks(&mut self, invariant: &'static str) {
        self.broken.get_or_insert(invariant);
    }

    fn pass_time(&self, next: &mut Vec<World>) {
        let overdue = self.flying.iter().any(|it| it.written + self.bounds.window <= self.seconds);
        if overdue || self.bounds.seconds <= self.seconds {
            return;
        }
        let mut world = self.clone();
        world.seconds += 1;
        next.push(world);
    }

    fn deliver(&self, next: &mut Vec<World>) {
        for index in 0..self.flying.len() {
            let mut world = self.clone();
            let message = world.flying.remove(index);
            world.arrive(message);
            next.push(world);
        }
    }

    fn arrive(&mut self, message: Message) {
        let fence_checked = !self.mutated(Mutation::FenceNotChecked);
        let target = &mut self.targets[message.target];
        if target.incarnation != message.incarnation {
            return;
        }
        match message.body {
            Body::Request(host) => {
                target.running = true;
                self.process(host).request = process::Request::Running;
            }
            Body::Order(host, order, authority) => {
                let requested = self
                    .flying
                    .iter()
                    .any(|it| it.target == message.target && matches!(it.body, Body::Request(_)));
                let effect = target.take(&order, fence_checked);
                if let Some(broken) = effect.broken {
                    self.breaks(broken);
                }
                if effect.changes && authority == Authority::Lost {
                    self.breaks("an order without authority has no effect");
                }
                if effect.changes && (requested || self.targets[message.target].running) {
                    self.breaks("no order to a target while a covered request runs there");
                }
                self.process(host).receipt(message.target, &order, effect.receipt);
            }
        }
    }

    fn change_targets(&self, next: &mut Vec<World>) {
        for index in 0..self.targets.len() {
            if self.targets[index].is_changing() {
                let mut world = self.clone();
                world.targets[index].finish();
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
                world.bounds().restarts -= 1;
                world.targets[index].restart();
                world.flying.retain(|it| it.target != index);
                world.end_requests();
                next.push(world);
            }
        }
    }

    fn check_holders(&mut self) {
        let now = self.now();
        let holders = self.processes.iter().filter(|it| it.holds(now)).count();
        if holders > 1 {
            self.breaks("one holder at a time");
        }
    }
}
