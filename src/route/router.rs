//! The router: chooses targets for requests and tracks the requests in flight.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    clock::Moment,
    route::{
        Capacity, Config, Demand, Estimate, OfferedLoad, Outcome, Path, Policy, Ticket,
        choice::{Candidates, PathKeys, Prediction, Predictor},
        fleet::Fleet,
        in_flight::InFlight,
        replica::ReplicaKey,
    },
    store,
    target::{CacheEvents, Report, Role},
    verdict::Reason,
};

/// Chooses the targets of requests, from load reports, cache events and the requests in flight.
#[derive(Debug)]
pub struct Router {
    config: Config,
    rng: SmallRng,
    fleet: Fleet,
    in_flight: SlotMap<Ticket, InFlight>,
    /// Reused between choices to avoid allocations.
    candidates: Candidates,
}

impl Router {
    /// Creates a router without targets; `seed` initialises its random number generator.
    pub fn new(config: Config, seed: u64) -> Router {
        Router {
            config,
            rng: SmallRng::seed_from_u64(seed),
            fleet: Fleet::new(),
            in_flight: SlotMap::with_key(),
            candidates: Candidates::default(),
        }
    }

    /// Adds or updates a target from the platform's list of machines; entry hosts are ignored.
    pub fn upsert(&mut self, machine: &store::Machine, _now: Moment) {
        self.fleet.upsert(machine, &self.config);
    }

    /// Removes a target.
    pub fn remove(&mut self, name: &str) {
        self.fleet.remove(name);
    }

    /// Sets whether a target is leaving; a leaving target gets no new requests.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(replica) = self.fleet.replica_mut(name) {
            replica.leaving = leaving;
        }
    }

    /// Sets whether a target is being drained; a drained target gets no new requests.
    pub fn set_drained(&mut self, name: &str, drained: bool) {
        if let Some(replica) = self.fleet.replica_mut(name) {
            replica.drained = drained;
        }
    }

    /// Records a load report; one that isn't newer than the last is ignored.
    pub fn record_report(&mut self, name: &str, report: &Report, now: Moment) {
        self.fleet.record_report(name, report, &self.config, now);
    }

    /// Records an engine's cache events.
    pub fn record_cache_events(&mut self, name: &str, events: &CacheEvents, now: Moment) {
        if let Some(replica) = self.fleet.replica_mut(name) {
            replica.cache.record_events(events, now);
        }
    }

    /// Chooses the targets of a request.
    ///
    /// # Errors
    /// [`Reason::UnknownModel`] when no target has served a model or service of that name,
    /// [`Reason::NoTarget`] when no target may be sent the request now.
    pub fn choose(&mut self, demand: &Demand, now: Moment) -> Result<Path, Reason> {
        let Some(pool) = self.fleet.pool(&demand.model_or_service) else {
            return Err(Reason::UnknownModel);
        };
        let predictor = Predictor::new(&self.config, &self.fleet, pool, demand, now);
        self.candidates.collect(&predictor);
        let path = match self.config.policy {
            Policy::Expected => {
                self.candidates.choose(&predictor, &mut self.rng).map(|(path, _)| path)
            }
            Policy::TwoRandom => self.candidates.two_random(&predictor, &mut self.rng),
            Policy::RoundRobin => self.candidates.round_robin(pool.next_turn),
            Policy::LeastOutstanding => self.candidates.least_outstanding(&predictor),
        };
        if let Some(pool) = self.fleet.pool_mut(&demand.model_or_service) {
            pool.next_turn = pool.next_turn.wrapping_add(1);
        }
        path.map(|it| self.path(it)).ok_or(Reason::NoTarget)
    }

    /// Replaces the keys of a path by the targets' names.
    fn path(&self, path: PathKeys) -> Path {
        let name = |it: ReplicaKey| self.fleet.replicas[it].name.clone();
        Path { prefill: path.prefill.map(name), target: name(path.target) }
    }

    /// Returns the expected latency and cost of a request that is sent now; `None` when no target
    /// can take it.
    pub fn estimate(&self, demand: &Demand, now: Moment) -> Option<Estimate> {
        let pool = self.fleet.pool(&demand.model_or_service)?;
        let predictor = Predictor::new(&self.config, &self.fleet, pool, demand, now);
        let mut candidates = Candidates::default();
        candidates.collect(&predictor);
        let mut rng = self.rng.clone();
        let (_, prediction) = candidates.choose(&predictor, &mut rng)?;
        Some(Estimate {
            first_token: seconds(prediction.first_token),
            finish: seconds(prediction.finish),
            engine_time: seconds(prediction.engine_time),
        })
    }

    /// Adds a request to the offered load, whether it is admitted or not.
    pub fn record_offered(&mut self, demand: &Demand, now: Moment) {
        let Some(pool) = self.fleet.pool(&demand.model_or_service) else { return };
        let predictor = Predictor::new(&self.config, &self.fleet, pool, demand, now);
        let prefill_tokens = predictor.min_prefill_tokens();
        self.fleet.record_offered(demand, prefill_tokens, &self.config, now);
    }

    /// Returns the load offered to this host, by model or service.
    pub fn offered_load(&self, now: Moment) -> Vec<OfferedLoad> {
        let pools = self.fleet.pools();
        let loads = pools.map(|(name, pool)| OfferedLoad {
            name: name.clone(),
            prefill: pool.offered.prefill.value(now),
            decode: pool.offered.decode.value(now),
        });
        loads.collect()
    }

    /// Returns the capacity of the targets of a model or service.
    pub fn capacity(&self, name: &str, now: Moment) -> Capacity {
        self.fleet.capacity(name, &self.config, now)
    }

    /// Chooses the targets of a request and records it as sent in the same step, so that a drain
    /// that begins afterwards waits for it.
    ///
    /// # Errors
    /// The same as [`Router::choose`].
    pub fn assign(&mut self, demand: &Demand, now: Moment) -> Result<(Path, Ticket), Reason> {
        let path = self.choose(demand, now)?;
        let ticket = self.record_sent(&path, demand, now);
        Ok((path, ticket))
    }

    /// Returns whether a request in flight has a target on its path.
    pub fn has_in_flight(&self, name: &str) -> bool {
        let Some(key) = self.fleet.key(name) else { return false };
        self.in_flight.values().any(|it| it.target == key || it.prefill == Some(key))
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, path: &Path, demand: &Demand, now: Moment) -> Ticket {
        let target = self.fleet.key(&path.target).unwrap_or_default();
        let prefill = path.prefill.as_ref().map(|it| self.fleet.key(it).unwrap_or_default());
        let prediction = self.predict(PathKeys { prefill, target }, demand, now);
        let request = InFlight {
            model_or_service: demand.model_or_service.clone(),
            prefill,
            target,
            sent_at: now,
            first_token_at: None,
            prefill_tokens: prediction.map_or(0.0, |it| it.prefill_tokens),
            unqueued: prediction.is_some_and(|it| it.wait <= 0.0),
            batch: prediction.map_or(1.0, |it| it.batch),
            prefilled_at: None,
            pieces: demand.pieces.clone(),
        };
        self.fleet.record_sent(&request, now);
        self.in_flight.insert(request)
    }

    /// Predicts a request on a path; `None` when one of its targets is no longer known.
    fn predict(&self, path: PathKeys, demand: &Demand, now: Moment) -> Option<Prediction> {
        let pool = self.fleet.pool(&demand.model_or_service)?;
        let known = |it: ReplicaKey| self.fleet.replicas.contains_key(it);
        if !known(path.target) || !path.prefill.is_none_or(known) {
            return None;
        }
        let predictor = Predictor::new(&self.config, &self.fleet, pool, demand, now);
        Some(predictor.predict(path))
    }

    /// Records that the prefill engine of a path with two engines has exported the KV cache.
    ///
    /// A failure before this is counted against the prefill engine, one after it against the
    /// target.
    pub fn record_kv_export(&mut self, ticket: Ticket, now: Moment) {
        let Some(request) = self.in_flight.get_mut(ticket) else { return };
        if request.prefill.is_none() || request.prefilled_at.is_some() {
            return;
        }
        request.prefilled_at = Some(now);
        let request = request.clone();
        self.fleet.record_kv_export(&request, now);
    }

    /// Records that the first token of an answer arrived.
    pub fn record_first_token(&mut self, ticket: Ticket, now: Moment) {
        let Some(request) = self.in_flight.get_mut(ticket) else { return };
        if request.first_token_at.is_some() {
            return;
        }
        request.first_token_at = Some(now);
        let request = request.clone();
        self.fleet.record_first_token(&request, now);
    }

    /// Records the end of a request; an unknown ticket is ignored.
    pub fn record_finished(&mut self, ticket: Ticket, outcome: Outcome, now: Moment) {
        if let Some(request) = self.in_flight.remove(ticket) {
            self.fleet.record_finished(&request, outcome, &self.config, now);
        }
    }

    /// Returns a target's last reported role, and whether it may be sent new requests.
    pub fn role(&self, name: &str, now: Moment) -> Option<(Role, bool)> {
        let replica = self.fleet.replicas.get(self.fleet.key(name)?)?;
        Some((replica.role, replica.usable(now)))
    }

    /// Returns the number of prefix-cache pieces that are known for a target.
    pub fn cached_pieces(&self, name: &str) -> usize {
        let key = self.fleet.key(name);
        key.and_then(|it| self.fleet.replicas.get(it)).map_or(0, |it| it.cache.len())
    }

    /// Returns the age of the figures in a target's last load report; `None` before the first.
    pub fn report_age(&self, name: &str, now: Moment) -> Option<Duration> {
        self.fleet.replicas.get(self.fleet.key(name)?)?.load.age(now)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }
}

/// Converts seconds to a duration; negative values become zero.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
