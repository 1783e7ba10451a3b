//! What the router learns from the requests that it follows, and the capacity that follows from it.

use std::time::Duration;

use crate::{
    clock::Moment,
    route::{
        Capacity, Config, Demand, Outcome,
        fleet::{Fleet, Pool},
        flight::Flight,
        replica::{Replica, ReplicaKey},
    },
    target::Role,
};

/// Prompt tokens below which the time to the first token tells little of the prefill rate.
const LEAST_TOKENS: f64 = 500.0;
/// Answers shorter than this tell little of the step time.
const LEAST_OUTPUT: u32 = 8;
/// Response times that the median is taken over at most.
const MOST_COMPARED: usize = 64;

impl Fleet {
    /// Returns the rate at which a target's queue shrinks.
    fn rate(&self, key: ReplicaKey, now: Moment) -> f64 {
        let Some(replica) = self.replicas.get(key) else { return 1.0 };
        self.pool(&replica.serves).map_or(1.0, |it| it.net_rate(replica.role, now))
    }

    /// Counts the work of a request that was offered, with the prompt tokens to read.
    pub(super) fn offered(&mut self, demand: &Demand, tokens: f64, config: &Config, now: Moment) {
        let Some(pool) = self.pool_mut(&demand.model_or_service) else { return };
        let reading = pool.reading(tokens);
        let decoding = pool.decoding(f64::from(demand.output_tokens), config);
        pool.classes.add(demand.priority, reading, now);
        pool.asked.prefill.add(reading, now);
        pool.asked.decode.add(decoding, now);
    }

    /// Counts a request that was sent at its targets.
    pub(super) fn sent(&mut self, flight: &Flight, now: Moment) {
        for (key, tokens) in flight.loads() {
            let rate = self.rate(key, now);
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.load.sent(tokens, rate, now);
                replica.health.sent();
            }
        }
    }

    /// Learns from the export of a prompt's KV cache, and releases the engine that read it.
    pub(super) fn prefilled(&mut self, flight: &Flight, now: Moment) {
        let Some(key) = flight.prefill else { return };
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.load.finished(now);
            replica.health.succeeded();
        }
        self.read(key, flight, now);
    }

    /// Learns from the first token of an answer.
    pub(super) fn first_token(&mut self, flight: &Flight, now: Moment) {
        if flight.prefill.is_none() {
            self.read(flight.target, flight, now);
        }
    }

    /// Learns from a prompt that an engine has read.
    fn read(&mut self, key: ReplicaKey, flight: &Flight, now: Moment) {
        let Some(replica) = self.replicas.get_mut(key) else { return };
        replica.cache.routed(&flight.pieces, now);
        let role = replica.role;
        let time = now.saturating_sub(flight.sent);
        let Some(pool) = self.pool_mut(&flight.name) else { return };
        if flight.alone && LEAST_TOKENS <= flight.tokens {
            pool.rates_mut(role).observe_prefill(flight.tokens as u32, time);
        }
    }

    /// Releases the targets of a request and learns from its outcome.
    pub(super) fn finished(
        &mut self,
        flight: &Flight,
        outcome: Outcome,
        config: &Config,
        now: Moment,
    ) {
        for (key, _) in flight.loads() {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.load.finished(now);
            }
        }
        match outcome {
            Outcome::Done { prompt_tokens, cached_tokens, output_tokens } => {
                self.served(flight, config, now);
                let read = f64::from(prompt_tokens.saturating_sub(cached_tokens));
                self.learn(flight, read, output_tokens, config, now);
            }
            Outcome::Refused => self.set_aside(flight.blamed(), config, now),
            Outcome::Failed | Outcome::Silent => {
                if let Some(replica) = self.replicas.get_mut(flight.blamed()) {
                    replica.health.failed(config, now);
                }
            }
            Outcome::Cancelled => {}
        }
        for (key, _) in flight.loads() {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.health.undecided();
            }
        }
    }

    /// Sets a target that refused aside until its next report is likely.
    fn set_aside(&mut self, key: ReplicaKey, config: &Config, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.set_aside(now + config.base_ejection_time);
        }
    }

    /// Notes a whole answer in the health of its targets.
    fn served(&mut self, flight: &Flight, config: &Config, now: Moment) {
        for (key, _) in flight.loads() {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.health.succeeded();
            }
        }
        let Some(replica) = self.replicas.get_mut(flight.target) else { return };
        if replica.engine {
            return;
        }
        replica.health.responded(now.saturating_sub(flight.sent), config);
        self.set_slow_aside(flight, config, now);
    }

    /// Sets a replica of a service aside when it is far slower than the median of its pool.
    fn set_slow_aside(&mut self, flight: &Flight, config: &Config, now: Moment) {
        let Some(pool) = self.pool(&flight.name) else { return };
        let replicas = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        let mut times: Vec<f64> =
            replicas.filter_map(|it| it.health.time()).take(MOST_COMPARED).collect();
        times.sort_by(f64::total_cmp);
        let Some(median) = times.get(times.len().saturating_sub(1) / 2).copied() else { return };
        let Some(replica) = self.replicas.get_mut(flight.target) else { return };
        if 1 < times.len()
            && replica.health.time().is_some_and(|it| median * config.slow_factor < it)
        {
            replica.health.forget_time();
            replica.health.failed(config, now);
        }
    }

    /// Learns the step time and the pool's mean work.
    fn learn(&mut self, flight: &Flight, read: f64, output: u32, config: &Config, now: Moment) {
        let batch = self.replicas.get(flight.target).map(|it| (it.role, it.load.running()));
        let Some(pool) = self.pool_mut(&flight.name) else { return };
        pool.mean.observe(read, f64::from(output), config.cost.gain);
        let (Some(first), Some((role, running))) = (flight.first, batch) else { return };
        if LEAST_OUTPUT <= output {
            let step = now.saturating_sub(first) / (output - 1);
            let mean = (flight.batch + running + 1.0) / 2.0;
            pool.rates_mut(role).observe_step(mean, step);
        }
    }

    /// Returns the engine time that may be in flight on the targets of a pool.
    pub(super) fn capacity(&self, name: &str, config: &Config, now: Moment) -> Capacity {
        let Some(pool) = self.pool(name) else { return Capacity::default() };
        let (mut reading, mut generating) = (Room::default(), Room::default());
        let mut service = Room::default();
        let replicas = pool.members.iter().filter_map(|it| self.replicas.get(*it));
        for replica in replicas.filter(|it| it.usable(now)) {
            match (replica.engine, replica.role) {
                (false, _) => service.add(replica.slot_capacity(f64::INFINITY)),
                (true, Role::Prefill) => reading.add(pool.reading_room(replica, config, now)),
                (true, Role::Decode) => generating.add(pool.slot_capacity(replica, config)),
                (true, Role::Mixed) => {
                    reading.add(pool.reading_room(replica, config, now));
                    generating.add(pool.slot_capacity(replica, config));
                }
            }
        }
        if 0.0 < service.limit {
            return service.capacity(config.service_time.as_secs_f64());
        }
        reading.and(generating).capacity(pool.mean_cost(config))
    }
}

/// Requests that fit, now and at most.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Room {
    free: f64,
    limit: f64,
}

impl Room {
    fn add(&mut self, other: Room) {
        self.free += other.free;
        self.limit += other.limit;
    }

    /// Returns the room of two stages that each request passes.
    fn and(self, other: Room) -> Room {
        Room { free: self.free.min(other.free), limit: self.limit.min(other.limit) }
    }

    fn capacity(self, cost: f64) -> Capacity {
        let time = |it: f64| Duration::try_from_secs_f64(it * cost).unwrap_or(Duration::MAX);
        Capacity { free: time(self.free), limit: time(self.limit) }
    }
}

impl Replica {
    fn slot_capacity(&self, most: f64) -> Room {
        let limit = f64::from(self.load.slots).min(most);
        Room { free: (limit - self.load.running()).max(0.0), limit }
    }
}

impl Pool {
    /// Returns the requests whose prompts fit into the window before an engine.
    fn reading_room(&self, replica: &Replica, config: &Config, now: Moment) -> Room {
        let rate = self.rates(replica.role).prefill_rate();
        let window = config.prefill_window.as_secs_f64();
        let waiting = replica.load.backlog(self.net_rate(replica.role, now), now) / rate;
        let each = self.mean.prompt.max(1.0) / rate;
        Room { free: (window - waiting).max(0.0) / each, limit: window / each }
    }

    /// Returns the requests that fit into an engine's batch while tokens come in time.
    fn slot_capacity(&self, replica: &Replica, config: &Config) -> Room {
        replica.slot_capacity(self.full_batch(self.rates(replica.role), config))
    }

    /// Returns the mean engine time of a request, in seconds.
    fn mean_cost(&self, config: &Config) -> f64 {
        self.reading(self.mean.prompt) + self.decoding(self.mean.output, config)
    }
}

impl Flight {
    /// Returns the target that a failure at this stage is counted against.
    fn blamed(&self) -> ReplicaKey {
        match (self.prefill, self.read) {
            (Some(reader), None) => reader,
            _ => self.target,
        }
    }

    /// Returns the targets that still hold the request with the prompt tokens that each reads.
    fn loads(&self) -> impl Iterator<Item = (ReplicaKey, f64)> + use<> {
        let own = if self.prefill.is_some() { 0.0 } else { self.tokens };
        let reading = self.prefill.filter(|_| self.read.is_none());
        let reader = reading.map(|it| (it, self.tokens));
        reader.into_iter().chain([(self.target, own)])
    }
}
