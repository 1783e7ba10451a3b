//! The choice of a path by its expected course.

use rand::rngs::SmallRng;

use crate::{
    clock::Moment,
    route::{
        Config, Demand, Kind,
        fleet::{Fleet, Pool},
        replica::{Replica, ReplicaKey},
    },
    target::{PIECE_TOKENS, Role},
};

/// Factor on each step time beyond the bound between tokens.
const LATE_FACTOR: f64 = 10.0;

/// Weight of the time after the first token, which may vary up to the bound between tokens.
const FINISH_WEIGHT: f64 = 0.25;

/// A path by keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Route {
    pub(super) prefill: Option<ReplicaKey>,
    pub(super) target: ReplicaKey,
}

/// What a path is expected to cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Course {
    /// Time until the prompt begins to be read.
    pub(super) wait: f64,
    /// Prompt tokens to read.
    pub(super) tokens: f64,
    /// Seconds to the first token.
    pub(super) first_token: f64,
    /// Seconds to the end of the answer.
    pub(super) finish: f64,
    /// Seconds of engine time.
    pub(super) engine_time: f64,
    /// Requests in the target's batch with this one.
    pub(super) batch: f64,
    /// Seconds by which paths are compared; the lowest wins.
    pub(super) score: f64,
}

/// Targets of a pool that may be chosen now, by what they can do.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    pub(super) prefill: Vec<ReplicaKey>,
    pub(super) decode: Vec<ReplicaKey>,
    pub(super) mixed: Vec<ReplicaKey>,
    best_prefill: Option<ReplicaKey>,
    best_mixed: Option<ReplicaKey>,
}

/// Everything that the course of a request depends on.
pub(super) struct Scene<'a> {
    pub(super) config: &'a Config,
    pub(super) fleet: &'a Fleet,
    pub(super) pool: &'a Pool,
    pub(super) demand: &'a Demand,
    pub(super) now: Moment,
    /// Part of each queue that goes before the request.
    ahead: f64,
}

impl Candidates {
    /// Collects the usable targets of a pool.
    pub(super) fn collect(&mut self, scene: &Scene<'_>) {
        self.prefill.clear();
        self.decode.clear();
        self.mixed.clear();
        let (mut best_prefill, mut best_mixed) = ((0.0, None), (0.0, None));
        for key in &scene.pool.members {
            let replica = &scene.fleet.replicas[*key];
            if !scene.eligible(replica) {
                continue;
            }
            let best = match replica.role {
                Role::Prefill => {
                    self.prefill.push(*key);
                    &mut best_prefill
                }
                Role::Mixed => {
                    self.mixed.push(*key);
                    &mut best_mixed
                }
                Role::Decode => {
                    self.decode.push(*key);
                    continue;
                }
            };
            let cached = replica.cache.expected(&scene.demand.pieces, scene.now);
            if best.0 < cached {
                *best = (cached, Some(*key));
            }
        }
        self.best_prefill = best_prefill.1;
        self.best_mixed = best_mixed.1;
    }

    /// Returns the target with the best expected course among a few.
    pub(super) fn choose(&self, scene: &Scene<'_>, rng: &mut SmallRng) -> Option<(Route, Course)> {
        let mut best = None;
        for target in
            sample(&self.mixed, scene.config.sampled_candidates, rng).chain(self.best_mixed)
        {
            scene.consider(&mut best, Route { prefill: None, target });
        }
        let readers =
            sample(&self.prefill, scene.config.sampled_candidates, rng).chain(self.best_prefill);
        let readers: Vec<ReplicaKey> = readers.collect();
        for target in sample(&self.decode, scene.config.sampled_candidates, rng) {
            for prefill in &readers {
                scene.consider(&mut best, Route { prefill: Some(*prefill), target });
            }
        }
        best.or_else(|| self.last_resort(scene))
    }

    /// Lets an engine for decode read the prompt when no engine is there for prefill.
    fn last_resort(&self, scene: &Scene<'_>) -> Option<(Route, Course)> {
        let mut best = None;
        for target in &self.decode {
            scene.consider(&mut best, Route { prefill: None, target: *target });
        }
        best
    }
}

/// Draws up to `count` different keys at random.
fn sample(
    keys: &[ReplicaKey],
    count: usize,
    rng: &mut SmallRng,
) -> impl Iterator<Item = ReplicaKey> {
    let drawn = rand::seq::index::sample(rng, keys.len(), count.min(keys.len()));
    drawn.into_iter().map(|it| keys[it])
}

impl<'a> Scene<'a> {
    pub(super) fn new(
        config: &'a Config,
        fleet: &'a Fleet,
        pool: &'a Pool,
        demand: &'a Demand,
        now: Moment,
    ) -> Scene<'a> {
        let ahead = pool.classes.ahead(demand.priority, now);
        Scene { config, fleet, pool, demand, now, ahead }
    }

    /// Returns whether a target may take the request.
    pub(super) fn eligible(&self, replica: &Replica) -> bool {
        replica.usable(self.now)
            && replica.engine == (self.demand.kind == Kind::Engine)
            && !self.demand.exclude.contains(&replica.name)
    }

    fn consider(&self, best: &mut Option<(Route, Course)>, route: Route) {
        let course = self.course(route);
        if best.as_ref().is_none_or(|(_, it)| course.score < it.score) {
            *best = Some((route, course));
        }
    }

    /// Returns the expected course on a path.
    pub(super) fn course(&self, route: Route) -> Course {
        match (self.demand.kind, route.prefill) {
            (Kind::Service, _) => self.service(route.target),
            (Kind::Engine, None) => self.alone(route.target),
            (Kind::Engine, Some(prefill)) => self.handed_over(prefill, route.target),
        }
    }

    fn distance(&self, replica: &Replica) -> f64 {
        if replica.data_centre == self.demand.data_centre {
            return 0.0;
        }
        2.0 * self.config.data_centre_latency.as_secs_f64()
    }

    /// Returns the wait before the prompt is read, the tokens to read and the time to read them.
    fn reading(&self, replica: &Replica) -> (f64, f64, f64) {
        let rate = self.pool.rates(replica.role).prefill_rate();
        let cached = replica.cache.expected(&self.demand.pieces, self.now);
        let prompt = f64::from(self.demand.prompt_tokens);
        let tokens = (prompt - cached * f64::from(PIECE_TOKENS)).max(1.0);
        let net = self.pool.net_rate(replica.role, self.now);
        let wait = replica.load.backlog(net, self.now) / rate * self.ahead;
        (wait, tokens, tokens / rate)
    }

    /// Returns the prompt tokens to read where most of the prompt is cached.
    pub(super) fn least_tokens(&self) -> f64 {
        let members = self.pool.members.iter().map(|it| &self.fleet.replicas[*it]);
        let cached = members.map(|it| it.cache.expected(&self.demand.pieces, self.now));
        let most = if self.demand.pieces.is_empty() { 0.0 } else { cached.fold(0.0, f64::max) };
        (f64::from(self.demand.prompt_tokens) - most * f64::from(PIECE_TOKENS)).max(1.0)
    }

    /// Returns the wait for a slot, the time to generate, and what is to be avoided beside them.
    fn generating(&self, replica: &Replica) -> (f64, f64, f64) {
        let rates = self.pool.rates(replica.role);
        let output = f64::from(self.demand.output_tokens);
        let running = replica.load.running();
        let slots = f64::from(replica.load.slots);
        let step = rates.step((running + 1.0).min(slots)).as_secs_f64();
        let over = (running + 1.0 - slots).max(0.0);
        let wait = over / slots * self.pool.mean.output * step;
        let slope = step - rates.step(running.min(slots)).as_secs_f64();
        let late = (step - self.config.between_tokens.as_secs_f64()).max(0.0);
        let full = replica.load.kv_free < f64::from(self.demand.prompt_tokens) + output;
        let crowding = output * (slope * running + LATE_FACTOR * late);
        (wait, output * step, crowding + if full { 1.0 } else { 0.0 })
    }

    /// Returns the course on one engine that reads and generates.
    fn alone(&self, target: ReplicaKey) -> Course {
        let replica = &self.fleet.replicas[target];
        let (wait, tokens, reading) = self.reading(replica);
        let (slot, generating, crowding) = self.generating(replica);
        let first_token = wait + slot + reading + self.distance(replica);
        let crowding = crowding + replica.load.running() * self.pool.reading(tokens);
        self.sum(replica, Sum { wait: wait + slot, tokens, first_token, generating, crowding })
    }

    /// Returns the course on an engine that reads and another that generates.
    fn handed_over(&self, prefill: ReplicaKey, target: ReplicaKey) -> Course {
        let reader = &self.fleet.replicas[prefill];
        let replica = &self.fleet.replicas[target];
        let (wait, tokens, reading) = self.reading(reader);
        let (slot, generating, crowding) = self.generating(replica);
        let first_token = wait
            + reading
            + self.transfer(reader, replica)
            + slot
            + self.distance(reader)
            + self.distance(replica);
        self.sum(replica, Sum { wait, tokens, first_token, generating, crowding })
    }

    /// Returns the time to move the prompt's KV cache between two engines.
    fn transfer(&self, from: &Replica, to: &Replica) -> f64 {
        let rate = match from.data_centre == to.data_centre {
            true => self.config.transfer_rate_near,
            false => self.config.transfer_rate_far,
        };
        let moved = f64::from(self.demand.prompt_tokens) / rate;
        self.config.transfer_setup.as_secs_f64() + moved
    }

    fn sum(&self, replica: &Replica, sum: Sum) -> Course {
        let batch = (replica.load.running() + 1.0).min(f64::from(replica.load.slots));
        let finish = sum.first_token + sum.generating;
        let output = f64::from(self.demand.output_tokens);
        let work = self.pool.reading(sum.tokens) + self.pool.decoding(output, self.config);
        Course {
            wait: sum.wait,
            tokens: sum.tokens,
            first_token: sum.first_token,
            finish,
            engine_time: work,
            batch,
            score: sum.first_token + FINISH_WEIGHT * (sum.generating + sum.crowding),
        }
    }

    /// Returns the course on a replica of a service.
    fn service(&self, target: ReplicaKey) -> Course {
        let replica = &self.fleet.replicas[target];
        let time = replica.health.time().unwrap_or(self.config.service_time.as_secs_f64());
        let slots = f64::from(replica.load.slots);
        let running = replica.load.running();
        let wait = (running + 1.0 - slots).max(0.0) / slots * time;
        let finish = wait + time + self.distance(replica);
        Course {
            wait,
            tokens: 0.0,
            first_token: finish,
            finish,
            engine_time: time / slots,
            batch: running + 1.0,
            score: finish + time * running / slots,
        }
    }
}

/// Parts of a course on engines, in seconds and tokens.
struct Sum {
    wait: f64,
    tokens: f64,
    first_token: f64,
    generating: f64,
    crowding: f64,
}
