//! Feedback from requests: updates load, health and cost estimates, and derives the capacity of
//! pools.

use std::time::Duration;

use crate::{
    clock::Moment,
    route::{
        Capacity, Config, Demand, Outcome,
        fleet::{Fleet, Pool},
        in_flight::InFlight,
        replica::{Replica, ReplicaKey},
    },
    target::Role,
};

/// Number of prefilled tokens from which the time to the first token is used to learn the prefill
/// rate; with fewer, it says little about that rate.
const MIN_PREFILL_TOKENS: f64 = 500.0;
/// Length of an answer, in tokens, from which its duration is used to learn the step time; shorter
/// answers say little about it.
const MIN_OUTPUT_TOKENS: u32 = 8;
/// Largest number of replicas over whose response times the median is computed.
const MAX_COMPARED_REPLICAS: usize = 64;

impl Fleet {
    /// Returns the rate at which a target's prefill queue shrinks, in prompt tokens per second.
    fn net_prefill_rate(&self, key: ReplicaKey, now: Moment) -> f64 {
        let Some(replica) = self.replicas.get(key) else { return 1.0 };
        self.pool(&replica.serves).map_or(1.0, |it| it.net_prefill_rate(replica.role, now))
    }

    /// Adds a request to the offered load; `prefill_tokens` are the prompt tokens to prefill.
    pub(super) fn record_offered(
        &mut self,
        demand: &Demand,
        prefill_tokens: f64,
        config: &Config,
        now: Moment,
    ) {
        let Some(pool) = self.pool_mut(&demand.model_or_service) else { return };
        let prefill = pool.prefill_cost(prefill_tokens);
        let decode = pool.decode_cost(f64::from(demand.output_tokens), config);
        pool.prefill_by_priority.add(demand.priority, prefill, now);
        pool.offered.prefill.add(prefill, now);
        pool.offered.decode.add(decode, now);
    }

    /// Adds a request that was sent to the load of its targets.
    pub(super) fn record_sent(&mut self, request: &InFlight, now: Moment) {
        for (key, tokens) in request.occupied_targets() {
            let rate = self.net_prefill_rate(key, now);
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.load.record_sent(tokens, rate, now);
                replica.health.record_sent();
            }
        }
    }

    /// Records that the prefill engine has exported a prompt's KV cache, which ends its part in the
    /// request.
    pub(super) fn record_kv_export(&mut self, request: &InFlight, now: Moment) {
        let Some(key) = request.prefill else { return };
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.load.record_finished(now);
            replica.health.record_success();
        }
        self.record_prefill(key, request, now);
    }

    /// Records the first token of an answer, which ends the prefill on a path with one engine.
    pub(super) fn record_first_token(&mut self, request: &InFlight, now: Moment) {
        if request.prefill.is_none() {
            self.record_prefill(request.target, request, now);
        }
    }

    /// Records that an engine has prefilled a prompt: updates its cache view and the prefill rate.
    fn record_prefill(&mut self, key: ReplicaKey, request: &InFlight, now: Moment) {
        let Some(replica) = self.replicas.get_mut(key) else { return };
        replica.cache.record_prompt(&request.pieces, now);
        let role = replica.role;
        let time = now.saturating_sub(request.sent_at);
        let Some(pool) = self.pool_mut(&request.model_or_service) else { return };
        if request.unqueued && MIN_PREFILL_TOKENS <= request.prefill_tokens {
            pool.rates_mut(role).observe_prefill(request.prefill_tokens as u32, time);
        }
    }

    /// Removes a request from the load of its targets and records its outcome.
    pub(super) fn record_finished(
        &mut self,
        request: &InFlight,
        outcome: Outcome,
        config: &Config,
        now: Moment,
    ) {
        for (key, _) in request.occupied_targets() {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.load.record_finished(now);
            }
        }
        match outcome {
            Outcome::Done { prompt_tokens, cached_tokens, output_tokens } => {
                self.record_success(request, config, now);
                let prefill_tokens = f64::from(prompt_tokens.saturating_sub(cached_tokens));
                self.learn_costs(request, prefill_tokens, output_tokens, config, now);
            }
            Outcome::Refused => self.eject(request.accountable_target(), config, now),
            Outcome::Failed | Outcome::Silent => {
                if let Some(replica) = self.replicas.get_mut(request.accountable_target()) {
                    replica.health.record_failure(config, now);
                }
            }
            Outcome::Cancelled => {}
        }
        for (key, _) in request.occupied_targets() {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.health.end_probe();
            }
        }
    }

    /// Stops sending requests to a target that refused one, until its next report is likely to have
    /// come.
    fn eject(&mut self, key: ReplicaKey, config: &Config, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.eject(now + config.base_ejection_time);
        }
    }

    /// Records a complete answer in the health of its targets.
    fn record_success(&mut self, request: &InFlight, config: &Config, now: Moment) {
        for (key, _) in request.occupied_targets() {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.health.record_success();
            }
        }
        let Some(replica) = self.replicas.get_mut(request.target) else { return };
        if replica.is_engine {
            return;
        }
        replica.health.record_response_time(now.saturating_sub(request.sent_at), config);
        self.eject_if_slow(request, config, now);
    }

    /// Counts a failure of a service's replica when it is far slower than the median of its pool.
    fn eject_if_slow(&mut self, request: &InFlight, config: &Config, now: Moment) {
        let Some(pool) = self.pool(&request.model_or_service) else { return };
        let replicas = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        let mut times: Vec<f64> =
            replicas.filter_map(|it| it.health.mean_time()).take(MAX_COMPARED_REPLICAS).collect();
        times.sort_by(f64::total_cmp);
        let Some(median) = times.get(times.len().saturating_sub(1) / 2).copied() else { return };
        let Some(replica) = self.replicas.get_mut(request.target) else { return };
        if 1 < times.len()
            && replica.health.mean_time().is_some_and(|it| median * config.slow_factor < it)
        {
            replica.health.reset_mean_time();
            replica.health.record_failure(config, now);
        }
    }

    /// Updates the pool's mean request and the decode step time with a complete answer.
    fn learn_costs(
        &mut self,
        request: &InFlight,
        prefill_tokens: f64,
        output_tokens: u32,
        config: &Config,
        now: Moment,
    ) {
        let target = self.replicas.get(request.target).map(|it| (it.role, it.load.running()));
        let Some(pool) = self.pool_mut(&request.model_or_service) else { return };
        pool.mean_request.observe(prefill_tokens, f64::from(output_tokens), config.cost.gain);
        let (Some(first_token_at), Some((role, running))) = (request.first_token_at, target) else {
            return;
        };
        if MIN_OUTPUT_TOKENS <= output_tokens {
            let step = now.saturating_sub(first_token_at) / (output_tokens - 1);
            let mean_batch = (request.batch + running + 1.0) / 2.0;
            pool.rates_mut(role).observe_step(mean_batch, step);
        }
    }

    /// Returns the capacity of the usable targets of a pool; zero when the pool is unknown.
    pub(super) fn capacity(&self, name: &str, config: &Config, now: Moment) -> Capacity {
        let Some(pool) = self.pool(name) else { return Capacity::default() };
        let (mut prefill, mut decode) = (RequestCapacity::default(), RequestCapacity::default());
        let mut service = RequestCapacity::default();
        let replicas = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        for replica in replicas.filter(|it| it.usable(now)) {
            match (replica.is_engine, replica.role) {
                (false, _) => service.add(replica.slot_capacity(f64::INFINITY)),
                (true, Role::Prefill) => prefill.add(pool.prefill_capacity(replica, config, now)),
                (true, Role::Decode) => decode.add(pool.slot_capacity(replica, config)),
                (true, Role::Mixed) => {
                    prefill.add(pool.prefill_capacity(replica, config, now));
                    decode.add(pool.slot_capacity(replica, config));
                }
            }
        }
        if 0.0 < service.limit {
            return service.capacity(config.service_time.as_secs_f64());
        }
        prefill.bottleneck(decode).capacity(pool.mean_cost(config))
    }
}

/// Capacity of targets, in requests: what is free now, and the limit when nothing runs.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestCapacity {
    free: f64,
    limit: f64,
}

impl RequestCapacity {
    fn add(&mut self, other: RequestCapacity) {
        self.free += other.free;
        self.limit += other.limit;
    }

    /// Returns the capacity of two stages in sequence, through which each request passes.
    fn bottleneck(self, other: RequestCapacity) -> RequestCapacity {
        RequestCapacity { free: self.free.min(other.free), limit: self.limit.min(other.limit) }
    }

    /// Converts to engine time, given the mean `cost` of a request in seconds.
    fn capacity(self, cost: f64) -> Capacity {
        let time = |it: f64| Duration::try_from_secs_f64(it * cost).unwrap_or(Duration::MAX);
        Capacity { free: time(self.free), limit: time(self.limit) }
    }
}

impl Replica {
    /// Returns the capacity of the target's slots, of which at most `max_running` are used.
    fn slot_capacity(&self, max_running: f64) -> RequestCapacity {
        let limit = f64::from(self.load.slots).min(max_running);
        RequestCapacity { free: (limit - self.load.running()).max(0.0), limit }
    }
}

impl Pool {
    /// Returns how many requests with prompts of mean length fit into an engine's prefill queue.
    fn prefill_capacity(&self, replica: &Replica, config: &Config, now: Moment) -> RequestCapacity {
        let rate = self.rates(replica.role).prefill_rate();
        let window = config.prefill_window.as_secs_f64();
        let queued =
            replica.load.backlog_tokens(self.net_prefill_rate(replica.role, now), now) / rate;
        let per_request = self.mean_request.prefill_tokens.max(1.0) / rate;
        RequestCapacity {
            free: (window - queued).max(0.0) / per_request,
            limit: window / per_request,
        }
    }

    /// Returns how many requests fit into an engine's batch within the bound on the time between
    /// tokens.
    fn slot_capacity(&self, replica: &Replica, config: &Config) -> RequestCapacity {
        replica.slot_capacity(self.max_batch(self.rates(replica.role), config))
    }

    /// Returns the mean engine time of a request, in seconds.
    fn mean_cost(&self, config: &Config) -> f64 {
        self.prefill_cost(self.mean_request.prefill_tokens)
            + self.decode_cost(self.mean_request.output_tokens, config)
    }
}

impl InFlight {
    /// Returns the target against which a failure is counted at the current stage of the request.
    fn accountable_target(&self) -> ReplicaKey {
        match (self.prefill, self.prefilled_at) {
            (Some(prefill), None) => prefill,
            _ => self.target,
        }
    }

    /// Returns the targets that the request occupies now, with the prompt tokens that each
    /// prefills.
    fn occupied_targets(&self) -> impl Iterator<Item = (ReplicaKey, f64)> + use<> {
        let target_tokens = if self.prefill.is_some() { 0.0 } else { self.prefill_tokens };
        let prefilling = self.prefill.filter(|_| self.prefilled_at.is_none());
        let prefill = prefilling.map(|it| (it, self.prefill_tokens));
        prefill.into_iter().chain([(self.target, target_tokens)])
    }
}
