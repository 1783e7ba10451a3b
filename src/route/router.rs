//! The router: what a host knows of the targets, and which it sends a request to.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    clock::Moment,
    route::{
        Capacity, Config, Demand, Estimate, OfferedLoad, Outcome, Path, Policy, Ticket,
        choice::{Candidates, Course, Route, Scene},
        fleet::Fleet,
        flight::Flight,
        replica::ReplicaKey,
    },
    store,
    target::{CacheEvents, Report, Role},
    verdict::Reason,
};

/// Chooses targets and follows the requests that were sent to them.
#[derive(Debug)]
pub struct Router {
    config: Config,
    rng: SmallRng,
    fleet: Fleet,
    flights: SlotMap<Ticket, Flight>,
    candidates: Candidates,
}

impl Router {
    /// Creates a router without targets; `seed` decides its random draws.
    pub fn new(config: Config, seed: u64) -> Router {
        Router {
            config,
            rng: SmallRng::seed_from_u64(seed),
            fleet: Fleet::new(),
            flights: SlotMap::with_key(),
            candidates: Candidates::default(),
        }
    }

    /// Takes in a machine of the host list; entry hosts are ignored.
    pub fn upsert(&mut self, machine: &store::Machine, _now: Moment) {
        self.fleet.upsert(machine, &self.config);
    }

    /// Forgets a target.
    pub fn remove(&mut self, name: &str) {
        self.fleet.remove(name);
    }

    /// Notes whether a target is leaving; it gets no new work then.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(replica) = self.fleet.named(name) {
            replica.leaving = leaving;
        }
    }

    /// Notes whether a target is being drained; it gets no new work then.
    pub fn set_drained(&mut self, name: &str, drained: bool) {
        if let Some(replica) = self.fleet.named(name) {
            replica.drained = drained;
        }
    }

    /// Takes in a load report; one older than the last is ignored.
    pub fn record_report(&mut self, name: &str, report: &Report, now: Moment) {
        self.fleet.report(name, report, &self.config, now);
    }

    /// Takes in an engine's cache events.
    pub fn record_cache_events(&mut self, name: &str, events: &CacheEvents, now: Moment) {
        if let Some(replica) = self.fleet.named(name) {
            replica.cache.events(events, now);
        }
    }

    /// Chooses where a request is sent.
    ///
    /// # Errors
    /// [`Reason::UnknownModel`] when nothing of that name is known, [`Reason::NoTarget`] when no
    /// target may be sent new work now.
    pub fn choose(&mut self, demand: &Demand, now: Moment) -> Result<Path, Reason> {
        let Some(pool) = self.fleet.pool(&demand.model_or_service) else {
            return Err(Reason::UnknownModel);
        };
        let scene = Scene::new(&self.config, &self.fleet, pool, demand, now);
        self.candidates.collect(&scene);
        let route = match self.config.policy {
            Policy::Expected => {
                self.candidates.choose(&scene, &mut self.rng).map(|(route, _)| route)
            }
            Policy::TwoRandom => self.candidates.two_random(&scene, &mut self.rng),
            Policy::RoundRobin => self.candidates.in_turn(pool.next),
            Policy::LeastOutstanding => self.candidates.least_outstanding(&scene),
        };
        if let Some(pool) = self.fleet.pool_mut(&demand.model_or_service) {
            pool.next = pool.next.wrapping_add(1);
        }
        route.map(|it| self.path(it)).ok_or(Reason::NoTarget)
    }

    fn path(&self, route: Route) -> Path {
        let name = |it: ReplicaKey| self.fleet.replicas[it].name.clone();
        Path { prefill: route.prefill.map(name), target: name(route.target) }
    }

    /// Returns the expected course of a request that is sent now; `None` when no target can take it.
    pub fn estimate(&self, demand: &Demand, now: Moment) -> Option<Estimate> {
        let pool = self.fleet.pool(&demand.model_or_service)?;
        let scene = Scene::new(&self.config, &self.fleet, pool, demand, now);
        let mut candidates = Candidates::default();
        candidates.collect(&scene);
        let mut rng = self.rng.clone();
        let (_, course) = candidates.choose(&scene, &mut rng)?;
        Some(Estimate {
            first_token: seconds(course.first_token),
            finish: seconds(course.finish),
            engine_time: seconds(course.engine_time),
        })
    }

    /// Counts the work of a request that was offered, whether it is admitted or not.
    pub fn record_offered(&mut self, demand: &Demand, now: Moment) {
        let Some(pool) = self.fleet.pool(&demand.model_or_service) else { return };
        let scene = Scene::new(&self.config, &self.fleet, pool, demand, now);
        let tokens = scene.least_tokens();
        self.fleet.offered(demand, tokens, &self.config, now);
    }

    /// Returns the work that was offered to this host, by model or service.
    pub fn offered_load(&self, now: Moment) -> Vec<OfferedLoad> {
        let pools = self.fleet.pools();
        let work = pools.map(|(name, pool)| OfferedLoad {
            name: name.clone(),
            prefill: pool.asked.prefill.value(now),
            decode: pool.asked.decode.value(now),
        });
        work.collect()
    }

    /// Returns the engine time that may be in flight on the targets of a model or service.
    pub fn capacity(&self, name: &str, now: Moment) -> Capacity {
        self.fleet.capacity(name, &self.config, now)
    }

    /// Chooses where a request is sent and counts it there at once, so that a drain which begins
    /// later finds it.
    ///
    /// # Errors
    /// As [`Router::choose`].
    pub fn assign(&mut self, demand: &Demand, now: Moment) -> Result<(Path, Ticket), Reason> {
        let path = self.choose(demand, now)?;
        let ticket = self.record_sent(&path, demand, now);
        Ok((path, ticket))
    }

    /// Returns whether a request in flight uses a target.
    pub fn has_in_flight(&self, name: &str) -> bool {
        let Some(key) = self.fleet.key(name) else { return false };
        self.flights.values().any(|it| it.target == key || it.prefill == Some(key))
    }

    /// Notes that a request was sent.
    pub fn record_sent(&mut self, path: &Path, demand: &Demand, now: Moment) -> Ticket {
        let target = self.fleet.key(&path.target).unwrap_or_default();
        let prefill = path.prefill.as_ref().map(|it| self.fleet.key(it).unwrap_or_default());
        let course = self.course(Route { prefill, target }, demand, now);
        let flight = Flight {
            name: demand.model_or_service.clone(),
            prefill,
            target,
            sent: now,
            first: None,
            tokens: course.map_or(0.0, |it| it.tokens),
            alone: course.is_some_and(|it| it.wait <= 0.0),
            batch: course.map_or(1.0, |it| it.batch),
            read: None,
            pieces: demand.pieces.clone(),
        };
        self.fleet.sent(&flight, now);
        self.flights.insert(flight)
    }

    /// Returns the expected course on a path whose targets are still known.
    fn course(&self, route: Route, demand: &Demand, now: Moment) -> Option<Course> {
        let pool = self.fleet.pool(&demand.model_or_service)?;
        let known = |it: ReplicaKey| self.fleet.replicas.contains_key(it);
        if !known(route.target) || !route.prefill.is_none_or(known) {
            return None;
        }
        let scene = Scene::new(&self.config, &self.fleet, pool, demand, now);
        Some(scene.course(route))
    }

    /// Notes that the reading engine of a path with two engines has exported the KV cache.
    ///
    /// A failure before this is the reading engine's, one after it the generating engine's.
    pub fn record_prefilled(&mut self, ticket: Ticket, now: Moment) {
        let Some(flight) = self.flights.get_mut(ticket) else { return };
        if flight.prefill.is_none() || flight.read.is_some() {
            return;
        }
        flight.read = Some(now);
        let flight = flight.clone();
        self.fleet.prefilled(&flight, now);
    }

    /// Notes the first token of an answer.
    pub fn record_first_token(&mut self, ticket: Ticket, now: Moment) {
        let Some(flight) = self.flights.get_mut(ticket) else { return };
        if flight.first.is_some() {
            return;
        }
        flight.first = Some(now);
        let flight = flight.clone();
        self.fleet.first_token(&flight, now);
    }

    /// Notes the end of a request; unknown tickets are ignored.
    pub fn record_finished(&mut self, ticket: Ticket, outcome: Outcome, now: Moment) {
        if let Some(flight) = self.flights.remove(ticket) {
            self.fleet.finished(&flight, outcome, &self.config, now);
        }
    }

    /// Returns the role in which a target was last reported, with whether it may be sent new work.
    pub fn role(&self, name: &str, now: Moment) -> Option<(Role, bool)> {
        let replica = self.fleet.replicas.get(self.fleet.key(name)?)?;
        Some((replica.role, replica.usable(now)))
    }

    /// Returns how many cached pieces are remembered for a target.
    pub fn cached_pieces(&self, name: &str) -> usize {
        let key = self.fleet.key(name);
        key.and_then(|it| self.fleet.replicas.get(it)).map_or(0, |it| it.cache.len())
    }

    /// Returns the age of a target's newest load report; `None` before the first.
    pub fn report_age(&self, name: &str, now: Moment) -> Option<Duration> {
        self.fleet.replicas.get(self.fleet.key(name)?)?.load.age(now)
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
