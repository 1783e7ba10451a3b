//! One run: starts the fleet, sends the arrivals on time and gathers what the callers saw.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

use crate::{
    load::{
        Arrival, Error, Scenario, arrivals,
        arrivals::Ask,
        caller::{Caller, End, Seen, order_key},
        cluster::{Cluster, announce, key},
        fault::{Disturbance, Kind},
        observer::{Observer, PERIOD},
        report::{Checks, Report},
        timeline::{INTERVAL, index},
    },
    settings::Policy,
    standin::engine,
};

/// Stack of a caller's thread, in bytes.
const STACK: usize = 256 << 10;

/// One run of a scenario.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// Scenario.
    pub scenario: &'a Scenario,
    /// Policy of the daemons and the planner.
    pub policy: Policy,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// What the run's own thread notes.
#[derive(Debug, Default, Clone)]
struct Watch {
    roles: Vec<[u32; 3]>,
    changes: u32,
    stop: bool,
}

impl Run<'_> {
    /// Makes the run.
    ///
    /// # Errors
    /// Fails when a part cannot start.
    pub fn run(&self) -> Result<Report, Error> {
        let arrivals = arrivals(self.scenario, self.seed);
        let cluster = Arc::new(Cluster::start(self.scenario, self.policy)?);
        let watch = Arc::new(Mutex::new(Watch::default()));
        let started = Instant::now();
        let conducting = self.conduct(Arc::clone(&cluster), Arc::clone(&watch), started)?;
        let seen = self.send(&cluster, &arrivals, started, &watch)?;
        watch.lock().expect("watch lock poisoned").stop = true;
        let _ = conducting.join();
        let watch = watch.lock().expect("watch lock poisoned").clone();
        let checks = check_orders(&cluster, &arrivals, &seen);
        let mut report = Report::new(self, &arrivals, &seen, &watch.roles, checks);
        report.role_changes = watch.changes;
        Ok(report)
    }

    /// Starts the thread that watches and disturbs.
    fn conduct(
        &self,
        cluster: Arc<Cluster>,
        watch: Arc<Mutex<Watch>>,
        started: Instant,
    ) -> Result<thread::JoinHandle<()>, Error> {
        let scenario = self.scenario.clone();
        let mut observer = Observer::default();
        let conduct = move || {
            let mut disturbances: Vec<Disturbing> =
                scenario.faults.iter().map(|(_, it)| Disturbing::new(it)).collect();
            loop {
                let at = started.elapsed().mul_f64(scenario.run.time_scale);
                for it in &mut disturbances {
                    it.step(&scenario, &cluster, at);
                }
                observer.look(&cluster);
                let mut watch = watch.lock().expect("watch lock poisoned");
                watch.changes = observer.changes;
                watch.roles.resize(index(at) + 1, observer.roles);
                if watch.stop {
                    return;
                }
                drop(watch);
                thread::sleep(PERIOD);
            }
        };
        Ok(thread::Builder::new().name("observer".to_owned()).spawn(conduct)?)
    }

    /// Sends each arrival when it is due, whatever became of the earlier ones.
    fn send(
        &self,
        cluster: &Arc<Cluster>,
        arrivals: &[Arrival],
        started: Instant,
        watch: &Mutex<Watch>,
    ) -> Result<Vec<Option<Seen>>, Error> {
        let caller = Caller::new();
        let (send, receive) = mpsc::channel::<(usize, Seen)>();
        let mut seen: Vec<Option<Seen>> = vec![None; arrivals.len()];
        let mut told = Duration::ZERO;
        for arrival in arrivals {
            let planned = started + self.scenario.scaled(arrival.at);
            thread::sleep(planned.saturating_duration_since(Instant::now()));
            let (caller, send, arrival) = (caller.clone(), send.clone(), arrival.clone());
            let host = cluster.addresses[arrival.host];
            let key = key(&self.scenario.plans[arrival.plan].0);
            let seed = self.seed;
            if told + 5 * INTERVAL <= arrival.at {
                told = arrival.at;
                self.progress(&seen, &arrival, watch);
            }
            let call = move || {
                let result = caller.call(host, &key, &arrival, seed, planned);
                let _ = send.send((arrival.number, result));
            };
            thread::Builder::new().stack_size(STACK).spawn(call)?;
            seen.extend_from(&receive);
        }
        drop(send);
        for (number, it) in receive {
            seen[number] = Some(it);
        }
        eprintln!();
        Ok(seen)
    }

    fn progress(&self, seen: &[Option<Seen>], arrival: &Arrival, watch: &Mutex<Watch>) {
        let watch = watch.lock().expect("watch lock poisoned");
        let ended = seen.iter().flatten().count();
        let whole = seen.iter().flatten().filter(|it| it.end == End::Whole).count();
        eprint!(
            "\r{} {} seed {}: {:.0} s of {:.0} s, {} sent, {ended} ended, {whole} whole, {} role changes ",
            self.scenario.name,
            self.policy.name(),
            self.seed,
            arrival.at.as_secs_f64(),
            self.scenario.run.duration.as_secs_f64(),
            arrival.number,
            watch.changes,
        );
    }
}

/// Takes in what is there without waiting.
trait Extend {
    fn extend_from(&mut self, receive: &mpsc::Receiver<(usize, Seen)>);
}

impl Extend for Vec<Option<Seen>> {
    fn extend_from(&mut self, receive: &mpsc::Receiver<(usize, Seen)>) {
        for (number, it) in receive.try_iter() {
            self[number] = Some(it);
        }
    }
}

/// Compares what the replicas of the service ran with what the callers were told.
fn check_orders(cluster: &Cluster, arrivals: &[Arrival], seen: &[Option<Seen>]) -> Checks {
    let runs = runs(cluster);
    let mut checks = Checks::default();
    for (arrival, seen) in arrivals.iter().zip(seen).filter(|(it, _)| it.ask == Ask::Order) {
        let key = order_key(arrival);
        let runs = runs.get(key.as_str()).copied().unwrap_or(0);
        if 1 < runs {
            checks.ran_twice += 1;
        }
        match seen.as_ref().map(|it| &it.end) {
            Some(End::Whole) if runs == 0 => checks.false_answers += 1,
            Some(End::Refused { verdict, .. }) if verdict == "not-run" && 0 < runs => {
                checks.false_not_run += 1;
            }
            _ => {}
        }
    }
    checks
}

/// Returns how often the replicas of the service ran each order.
fn runs(cluster: &Cluster) -> HashMap<SmolStr, u32> {
    let mut runs = HashMap::new();
    for service in &cluster.services {
        for key in service.record().runs.into_iter().filter_map(|it| it.key) {
            *runs.entry(key).or_default() += 1;
        }
    }
    runs
}

/// A disturbance under way.
struct Disturbing {
    what: Disturbance,
    announced: bool,
    begun: bool,
    ended: bool,
    killed: usize,
}

impl Disturbing {
    fn new(what: &Disturbance) -> Disturbing {
        Disturbing { what: what.clone(), announced: false, begun: false, ended: false, killed: 0 }
    }

    fn step(&mut self, scenario: &Scenario, cluster: &Cluster, at: Duration) {
        let (from, length) = (self.what.at, self.what.length);
        if self.what.kind() == Kind::Withdraw && !self.announced && from <= at + self.what.notice {
            self.announced = true;
            let left = scenario.scaled(from.saturating_sub(at));
            if let Err(err) = announce(cluster.platform.address(), &self.what.on, left) {
                log::warn!("the departure was not announced: {err}; the run is not disturbed");
            }
        }
        if self.what.kind() == Kind::KillHosts && from <= at {
            self.kill(cluster, at - from);
        }
        if !self.begun && from <= at {
            self.begun = true;
            self.switch(cluster, Switch::On);
        }
        if self.begun && !self.ended && from + length <= at {
            self.ended = true;
            self.switch(cluster, Switch::Off);
        }
    }

    /// Ends hosts at even intervals over the length of the disturbance.
    fn kill(&mut self, cluster: &Cluster, since: Duration) {
        let all: usize = self.what.on.parse().unwrap_or(1);
        let part = since.as_secs_f64() / self.what.length.as_secs_f64();
        let due = ((part * all as f64) as usize + 1).min(all);
        while self.killed < due {
            let daemon = cluster.daemons[self.killed].lock().expect("daemon lock poisoned").take();
            drop(daemon);
            self.killed += 1;
        }
    }

    fn switch(&self, cluster: &Cluster, switch: Switch) {
        let on = switch == Switch::On;
        match self.what.kind() {
            Kind::Cut => {
                let cut = cluster.engines.iter().filter(|it| it.1 == self.what.on);
                for (_, _, engine) in cut {
                    engine.set_faults(engine::Faults { freeze: on, ..engine::Faults::default() });
                }
            }
            Kind::StoreDown => cluster.store_down(on),
            Kind::Withdraw | Kind::KillHosts => {}
        }
    }
}

/// Whether a disturbance begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Switch {
    On,
    Off,
}
