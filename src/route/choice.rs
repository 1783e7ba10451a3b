//! Chooses a path by its predicted latency and cost.

use rand::rngs::SmallRng;

use crate::{
    clock::Moment,
    route::{
        Config, Demand, TargetKind,
        fleet::{Fleet, Pool},
        replica::{Replica, ReplicaKey},
    },
    target::{PIECE_TOKENS, Role},
};

/// Weight of the part of a decode step's time that exceeds the bound on the time between tokens.
const LATE_STEP_FACTOR: f64 = 10.0;

/// Weight of the decode time and of the penalty in a path's score. It is below 1, because tokens
/// after the first may be as slow as the bound on the time between tokens allows.
const DECODE_WEIGHT: f64 = 0.25;

/// A path whose targets are given by their keys; see [`crate::route::Path`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PathKeys {
    pub(super) prefill: Option<ReplicaKey>,
    pub(super) target: ReplicaKey,
}

/// Predicted latency and cost of a request on a path. Times are in seconds from now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prediction {
    /// Time in queues before the first target starts on the request.
    pub(super) wait: f64,
    /// Prompt tokens to prefill, without those expected in the prefix cache.
    pub(super) prefill_tokens: f64,
    /// Time to the first token.
    pub(super) first_token: f64,
    /// Time to the last token of the answer.
    pub(super) finish: f64,
    /// Engine time that the request uses.
    pub(super) engine_time: f64,
    /// Batch size of the target, including this request.
    pub(super) batch: f64,
    /// Weighted time by which paths are compared; the lowest is chosen.
    pub(super) score: f64,
}

/// Targets of a pool that may be chosen now, by role; replicas of plain services count as mixed.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    pub(super) prefill: Vec<ReplicaKey>,
    pub(super) decode: Vec<ReplicaKey>,
    pub(super) mixed: Vec<ReplicaKey>,
    /// Prefill engine with the longest cached prefix of the prompt.
    best_cached_prefill: Option<ReplicaKey>,
    /// Mixed engine with the longest cached prefix of the prompt.
    best_cached_mixed: Option<ReplicaKey>,
}

/// Predicts the latency and cost of one request on different paths.
pub(super) struct Predictor<'a> {
    pub(super) config: &'a Config,
    pub(super) fleet: &'a Fleet,
    pub(super) pool: &'a Pool,
    pub(super) demand: &'a Demand,
    pub(super) now: Moment,
    /// Share of each prefill queue that is served before the request, from 0 to 1.
    share_ahead: f64,
}

impl Candidates {
    /// Replaces the candidates by the eligible targets of the request's pool.
    pub(super) fn collect(&mut self, predictor: &Predictor<'_>) {
        self.prefill.clear();
        self.decode.clear();
        self.mixed.clear();
        let (mut best_prefill, mut best_mixed) = ((0.0, None), (0.0, None));
        for key in &predictor.pool.members {
            let replica = &predictor.fleet.replicas[*key];
            if !predictor.is_eligible(replica) {
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
            let cached = replica.cache.expected_pieces(&predictor.demand.pieces, predictor.now);
            if best.0 < cached {
                *best = (cached, Some(*key));
            }
        }
        self.best_cached_prefill = best_prefill.1;
        self.best_cached_mixed = best_mixed.1;
    }

    /// Returns the path with the lowest score.
    ///
    /// Compares a random sample of the engines of each role, and those with the longest cached
    /// prefix of the prompt.
    pub(super) fn choose(
        &self,
        predictor: &Predictor<'_>,
        rng: &mut SmallRng,
    ) -> Option<(PathKeys, Prediction)> {
        let mut best = None;
        for target in sample(&self.mixed, predictor.config.sampled_candidates, rng)
            .chain(self.best_cached_mixed)
        {
            predictor.keep_better(&mut best, PathKeys { prefill: None, target });
        }
        let prefill_engines = sample(&self.prefill, predictor.config.sampled_candidates, rng)
            .chain(self.best_cached_prefill);
        let prefill_engines: Vec<ReplicaKey> = prefill_engines.collect();
        for target in sample(&self.decode, predictor.config.sampled_candidates, rng) {
            for prefill in &prefill_engines {
                predictor.keep_better(&mut best, PathKeys { prefill: Some(*prefill), target });
            }
        }
        best.or_else(|| self.choose_decode_only(predictor))
    }

    /// Falls back to a decode engine that also prefills the prompt, when no engine with another
    /// role can do that.
    fn choose_decode_only(&self, predictor: &Predictor<'_>) -> Option<(PathKeys, Prediction)> {
        let mut best = None;
        for target in &self.decode {
            predictor.keep_better(&mut best, PathKeys { prefill: None, target: *target });
        }
        best
    }
}

/// Draws up to `count` distinct keys at random.
fn sample(
    keys: &[ReplicaKey],
    count: usize,
    rng: &mut SmallRng,
) -> impl Iterator<Item = ReplicaKey> {
    let drawn = rand::seq::index::sample(rng, keys.len(), count.min(keys.len()));
    drawn.into_iter().map(|it| keys[it])
}

impl<'a> Predictor<'a> {
    pub(super) fn new(
        config: &'a Config,
        fleet: &'a Fleet,
        pool: &'a Pool,
        demand: &'a Demand,
        now: Moment,
    ) -> Predictor<'a> {
        let share_ahead = pool.prefill_by_priority.share_ahead(demand.priority, now);
        Predictor { config, fleet, pool, demand, now, share_ahead }
    }

    /// Returns whether a target may take the request.
    pub(super) fn is_eligible(&self, replica: &Replica) -> bool {
        replica.usable(self.now)
            && replica.is_engine == (self.demand.kind == TargetKind::Engine)
            && !self.demand.exclude.contains(&replica.name)
    }

    /// Replaces `best` by a path that has a lower score.
    fn keep_better(&self, best: &mut Option<(PathKeys, Prediction)>, path: PathKeys) {
        let prediction = self.predict(path);
        if best.as_ref().is_none_or(|(_, it)| prediction.score < it.score) {
            *best = Some((path, prediction));
        }
    }

    /// Predicts the latency and cost of the request on a path.
    pub(super) fn predict(&self, path: PathKeys) -> Prediction {
        match (self.demand.kind, path.prefill) {
            (TargetKind::Service, _) => self.predict_service(path.target),
            (TargetKind::Engine, None) => self.predict_single(path.target),
            (TargetKind::Engine, Some(prefill)) => self.predict_pair(prefill, path.target),
        }
    }

    /// Returns the network round-trip time between this host and a target, in seconds.
    fn round_trip(&self, replica: &Replica) -> f64 {
        if replica.data_centre == self.demand.data_centre {
            return 0.0;
        }
        2.0 * self.config.data_centre_latency.as_secs_f64()
    }

    /// Returns the time in the prefill queue, the prompt tokens to prefill and the time to prefill
    /// them; times are in seconds.
    fn prefill(&self, replica: &Replica) -> (f64, f64, f64) {
        let rate = self.pool.rates(replica.role).prefill_rate();
        let cached = replica.cache.expected_pieces(&self.demand.pieces, self.now);
        let prompt = f64::from(self.demand.prompt_tokens);
        let prefill_tokens = (prompt - cached * f64::from(PIECE_TOKENS)).max(1.0);
        let net_rate = self.pool.net_prefill_rate(replica.role, self.now);
        let wait = replica.load.backlog_tokens(net_rate, self.now) / rate * self.share_ahead;
        (wait, prefill_tokens, prefill_tokens / rate)
    }

    /// Returns the prompt tokens to prefill on the engine with the longest cached prefix of the
    /// prompt.
    pub(super) fn min_prefill_tokens(&self) -> f64 {
        let members = self.pool.members.iter().map(|it| &self.fleet.replicas[*it]);
        let cached = members.map(|it| it.cache.expected_pieces(&self.demand.pieces, self.now));
        let max_cached =
            if self.demand.pieces.is_empty() { 0.0 } else { cached.fold(0.0, f64::max) };
        (f64::from(self.demand.prompt_tokens) - max_cached * f64::from(PIECE_TOKENS)).max(1.0)
    }

    /// Returns the wait for a slot, the time to decode the answer, and a penalty, all in seconds.
    ///
    /// The penalty is the slowdown of the other requests in the batch, plus the time by which the
    /// decode steps of this request exceed the bound on the time between tokens (weighted with
    /// [`LATE_STEP_FACTOR`]), plus one second when the engine's free KV cache is too small for this
    /// request.
    fn decode(&self, replica: &Replica) -> (f64, f64, f64) {
        let rates = self.pool.rates(replica.role);
        let output_tokens = f64::from(self.demand.output_tokens);
        let running = replica.load.running();
        let slots = f64::from(replica.load.slots);
        let step_time = rates.step_time((running + 1.0).min(slots)).as_secs_f64();
        let waiting = (running + 1.0 - slots).max(0.0);
        let wait = waiting / slots * self.pool.mean_request.output_tokens * step_time;
        let step_increase = step_time - rates.step_time(running.min(slots)).as_secs_f64();
        let step_excess = (step_time - self.config.between_tokens.as_secs_f64()).max(0.0);
        let kv_full =
            replica.load.kv_free_tokens < f64::from(self.demand.prompt_tokens) + output_tokens;
        let penalty = output_tokens * (step_increase * running + LATE_STEP_FACTOR * step_excess);
        (wait, output_tokens * step_time, penalty + if kv_full { 1.0 } else { 0.0 })
    }

    /// Predicts a path with one engine for prefill and decode.
    ///
    /// The penalty includes the prefill time once for each request that runs on the engine, since
    /// the prefill delays them.
    fn predict_single(&self, target: ReplicaKey) -> Prediction {
        let replica = &self.fleet.replicas[target];
        let (wait, prefill_tokens, prefill_time) = self.prefill(replica);
        let (slot_wait, decode, penalty) = self.decode(replica);
        let first_token = wait + slot_wait + prefill_time + self.round_trip(replica);
        let penalty = penalty + replica.load.running() * self.pool.prefill_cost(prefill_tokens);
        self.total(
            replica,
            PathTimes { wait: wait + slot_wait, prefill_tokens, first_token, decode, penalty },
        )
    }

    /// Predicts a path with one engine for prefill and another for decode.
    fn predict_pair(&self, prefill: ReplicaKey, target: ReplicaKey) -> Prediction {
        let prefill_engine = &self.fleet.replicas[prefill];
        let replica = &self.fleet.replicas[target];
        let (wait, prefill_tokens, prefill_time) = self.prefill(prefill_engine);
        let (slot_wait, decode, penalty) = self.decode(replica);
        let first_token = wait
            + prefill_time
            + self.transfer_time(prefill_engine, replica)
            + slot_wait
            + self.round_trip(prefill_engine)
            + self.round_trip(replica);
        self.total(replica, PathTimes { wait, prefill_tokens, first_token, decode, penalty })
    }

    /// Returns the time to transfer the prompt's KV cache between two engines, in seconds.
    fn transfer_time(&self, from: &Replica, to: &Replica) -> f64 {
        let rate = match from.data_centre == to.data_centre {
            true => self.config.transfer_rate_near,
            false => self.config.transfer_rate_far,
        };
        let transfer = f64::from(self.demand.prompt_tokens) / rate;
        self.config.transfer_setup.as_secs_f64() + transfer
    }

    /// Combines the times of a path with engines into a prediction.
    fn total(&self, replica: &Replica, times: PathTimes) -> Prediction {
        let batch = (replica.load.running() + 1.0).min(f64::from(replica.load.slots));
        let finish = times.first_token + times.decode;
        let output_tokens = f64::from(self.demand.output_tokens);
        let cost = self.pool.prefill_cost(times.prefill_tokens)
            + self.pool.decode_cost(output_tokens, self.config);
        Prediction {
            wait: times.wait,
            prefill_tokens: times.prefill_tokens,
            first_token: times.first_token,
            finish,
            engine_time: cost,
            batch,
            score: times.first_token + DECODE_WEIGHT * (times.decode + times.penalty),
        }
    }

    /// Predicts a path with a replica of a plain service.
    fn predict_service(&self, target: ReplicaKey) -> Prediction {
        let replica = &self.fleet.replicas[target];
        let time = replica.health.mean_time().unwrap_or(self.config.service_time.as_secs_f64());
        let slots = f64::from(replica.load.slots);
        let running = replica.load.running();
        let wait = (running + 1.0 - slots).max(0.0) / slots * time;
        let finish = wait + time + self.round_trip(replica);
        Prediction {
            wait,
            prefill_tokens: 0.0,
            first_token: finish,
            finish,
            engine_time: time / slots,
            batch: running + 1.0,
            score: finish + time * running / slots,
        }
    }
}

/// Times on a path with engines, in seconds, and the prompt tokens to prefill.
struct PathTimes {
    wait: f64,
    prefill_tokens: f64,
    first_token: f64,
    decode: f64,
    penalty: f64,
}
