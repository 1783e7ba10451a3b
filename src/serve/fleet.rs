//! The targets known to this host: the router, and a client and the last load report of each
//! target.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{Mutex, MutexGuard, RwLock},
};

use smol_str::SmolStr;

use crate::{
    clock,
    clock::Moment,
    id,
    route::{self, Outcome, Path, Router, Ticket},
    settings,
    store::{Kind, Machine, State},
    target,
    target::{Control, Engine, Report},
};

/// Targets, their clients and the router that chooses among them.
#[derive(Debug)]
pub struct Fleet {
    router: Mutex<Router>,
    targets: RwLock<HashMap<id::Target, Target>>,
    settings: settings::Targets,
    /// By target, the time until which a request whose attempt broke off may still arrive.
    in_transit: Mutex<HashMap<id::Target, Moment>>,
}

/// A listed target.
#[derive(Debug, Clone)]
struct Target {
    machine: Machine,
    client: target::Client,
    report: Option<Report>,
    /// Number of the latest prefix cache event received; 0 before the first.
    last_cache_event: u64,
}

impl Fleet {
    /// Creates a fleet without targets.
    pub fn new(router: Router, settings: settings::Targets) -> Fleet {
        Fleet {
            router: Mutex::new(router),
            targets: RwLock::default(),
            settings,
            in_transit: Mutex::default(),
        }
    }

    /// Returns the router.
    pub fn router(&self) -> &Mutex<Router> {
        &self.router
    }

    /// Locks the router.
    pub fn lock_router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().expect("router lock poisoned")
    }

    /// Applies the platform's host list: adds, updates and removes targets, and marks leaving ones.
    pub fn update_targets(&self, machines: &[Machine]) {
        let listed: Vec<&Machine> = machines.iter().filter(|it| it.kind != Kind::Entry).collect();
        let names: HashSet<&str> = listed.iter().map(|it| it.name.as_str()).collect();
        let mut gone = Vec::new();
        {
            let mut targets = self.targets.write().expect("fleet lock poisoned");
            targets.retain(|name, _| {
                let stays = names.contains(name.as_str());
                if !stays {
                    gone.push(name.clone());
                }
                stays
            });
            for machine in &listed {
                self.upsert(&mut targets, machine);
            }
        }
        let now = clock::now();
        let mut router = self.lock_router();
        for name in gone {
            router.remove(&name);
        }
        for machine in listed {
            router.upsert(machine, now);
            router.set_leaving(&machine.name, machine.state == State::Leaving);
        }
    }

    /// Adds or updates a target. A new address gets a new client; a new incarnation discards the
    /// last report and the position in the cache events.
    fn upsert(&self, targets: &mut HashMap<id::Target, Target>, machine: &Machine) {
        match targets.get_mut(&machine.name) {
            Some(target) if target.machine.address == machine.address => {
                if target.machine.incarnation != machine.incarnation {
                    target.last_cache_event = 0;
                    target.report = None;
                }
                target.machine = machine.clone();
            }
            _ => {
                let client = target::Client::new(machine.address, &self.settings);
                let target =
                    Target { machine: machine.clone(), client, report: None, last_cache_event: 0 };
                targets.insert(machine.name.clone(), target);
            }
        }
    }

    /// Records the end of an attempt.
    ///
    /// After an attempt that broke off, its request may still arrive at the targets within the send
    /// window.
    pub fn record_finished(&self, path: &Path, ticket: Ticket, outcome: Outcome) {
        let now = clock::now();
        match outcome {
            Outcome::Done { .. } | Outcome::Refused => {}
            Outcome::Failed | Outcome::Silent | Outcome::Cancelled => {
                let until = now + self.settings.send_window;
                let mut in_transit = self.in_transit.lock().expect("in-transit lock poisoned");
                in_transit.retain(|_, until| now < *until);
                for target in path.prefill.iter().chain([&path.target]) {
                    in_transit.insert(target.clone(), until);
                }
            }
        }
        self.lock_router().record_finished(ticket, outcome, now);
    }

    /// Records that an attempt ended before any byte was sent.
    pub fn record_unsent(&self, ticket: Ticket) {
        self.lock_router().record_finished(ticket, Outcome::Cancelled, clock::now());
    }

    /// Returns whether a request of this host is in flight at a target, or may still arrive there.
    pub fn has_requests(&self, target: &str) -> bool {
        let in_transit = self.in_transit.lock().expect("in-transit lock poisoned");
        let may_arrive = in_transit.get(target).is_some_and(|until| clock::now() < *until);
        may_arrive || self.lock_router().has_in_flight(target)
    }

    /// Returns the client of a target.
    pub fn client(&self, name: &str) -> Option<target::Client> {
        self.read_target(name, |it| it.client.clone())
    }

    /// Returns the incarnation of a target in the latest host list.
    pub fn incarnation(&self, name: &str) -> Option<id::Incarnation> {
        self.read_target(name, |it| it.machine.incarnation)
    }

    /// Returns a target's last load report.
    pub fn report(&self, name: &str) -> Option<Report> {
        self.read_target(name, |it| it.report.clone()).flatten()
    }

    /// Returns all targets with their last reports.
    pub fn targets(&self) -> Vec<(Machine, Option<Report>)> {
        let targets = self.targets.read().expect("fleet lock poisoned");
        targets.values().map(|it| (it.machine.clone(), it.report.clone())).collect()
    }

    /// Returns the models that the listed engines serve, sorted by name.
    pub fn models(&self) -> Vec<SmolStr> {
        let targets = self.targets.read().expect("fleet lock poisoned");
        let models = targets.values().filter_map(|it| match &it.machine.kind {
            Kind::Engine(model) => Some(model.clone()),
            Kind::Service(_) | Kind::Entry => None,
        });
        models.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Returns whether any listed target serves a model or service.
    pub fn serves(&self, name: &str, kind: route::TargetKind) -> bool {
        let targets = self.targets.read().expect("fleet lock poisoned");
        targets.values().any(|it| match (&it.machine.kind, kind) {
            (Kind::Engine(it), route::TargetKind::Engine) => it == name,
            (Kind::Service(it), route::TargetKind::Service) => it == name,
            _ => false,
        })
    }

    /// Requests a target's load report and, from an engine, its prefix cache events, and passes
    /// them to the router. Failed requests are ignored until the next poll.
    pub fn poll_target(&self, name: &str) {
        let Some((client, since, kind)) = self.read_target(name, |it| {
            (it.client.clone(), it.last_cache_event, it.machine.kind.clone())
        }) else {
            return;
        };
        let Ok(report) = client.report() else { return };
        self.lock_router().record_report(name, &report, clock::now());
        self.update_target(name, |it| it.report = Some(report.clone()));
        if !matches!(kind, Kind::Engine(_)) {
            return;
        }
        let Ok(events) = client.cache_events(since) else { return };
        self.update_target(name, |it| it.last_cache_event = events.last);
        self.lock_router().record_cache_events(name, &events, clock::now());
    }

    fn read_target<T>(&self, name: &str, read: impl FnOnce(&Target) -> T) -> Option<T> {
        self.targets.read().expect("fleet lock poisoned").get(name).map(read)
    }

    fn update_target(&self, name: &str, change: impl FnOnce(&mut Target)) {
        let mut targets = self.targets.write().expect("fleet lock poisoned");
        if let Some(target) = targets.get_mut(name) {
            change(target);
        }
    }
}
