//! One plan's queue, limits and share on this host.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    admit::{Config, Counts, Key, Share, token_bucket::TokenBucket},
    clock::Moment,
    configuration::Limits,
    cost::Rate,
};

/// Period over which unused request and token limits may accumulate.
const LIMIT_BURST: Duration = Duration::from_secs(1);

/// Excess over a whole number of requests, in requests, below which a limit is not rounded up.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Waiting requests, limits and counts of one plan.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) limits: Limits,
    /// Share last assigned by the coordinator, and when it was received.
    pub(super) assigned: Option<(Share, Moment)>,
    /// Engine time of the plan's started requests, divided by its assigned rate, or by its weight
    /// without one; raised to the host's virtual time when the queue stops being empty.
    pub(super) virtual_time: f64,
    /// Engine-seconds left of the plan's share.
    pub(super) share_bucket: TokenBucket,
    request_bucket: TokenBucket,
    token_bucket: TokenBucket,
    /// Waiting requests by model or service, sorted by the time by which they must start, or by
    /// arrival under `Policy::Fifo`.
    pub(super) waiting: BTreeMap<SmolStr, BTreeSet<(Moment, Key)>>,
    /// Engine time of the waiting requests.
    pub(super) backlog: Duration,
    /// Engine-seconds per second of offered requests.
    pub(super) offered_rate: Rate,
    /// Engine-seconds per second of started requests.
    pub(super) start_rate: Rate,
    pub(super) counts: Counts,
}

impl Queue {
    pub(super) fn new(limits: Limits, config: &Config, now: Moment) -> Queue {
        Queue {
            assigned: None,
            virtual_time: 0.0,
            share_bucket: TokenBucket::new(0.0, 0.0, now),
            request_bucket: TokenBucket::new(0.0, f64::MAX, now),
            token_bucket: TokenBucket::new(0.0, f64::MAX, now),
            waiting: BTreeMap::new(),
            backlog: Duration::ZERO,
            offered_rate: Rate::new(config.demand_window, now),
            start_rate: Rate::new(config.demand_window, now),
            counts: Counts::default(),
            limits,
        }
    }

    /// Returns the plan's share on this host: the assigned one, which changes linearly to
    /// `even_share` once it is older than `max_share_age`.
    pub(super) fn current_share(&self, even_share: Share, config: &Config, now: Moment) -> Share {
        let Some((share, received_at)) = self.assigned else { return even_share };
        let overdue = now.saturating_sub(received_at).saturating_sub(config.max_share_age);
        let fade = config.share_fade.as_secs_f64().max(1e-3);
        let progress = (overdue.as_secs_f64() / fade).clamp(0.0, 1.0);
        let interpolate = |from: f64, to: f64| from + (to - from) * progress;
        Share {
            rate: interpolate(share.rate, even_share.rate),
            fraction: interpolate(share.fraction, even_share.fraction),
        }
    }

    /// Sets rate and burst of the token buckets from the plan's share on this host.
    pub(super) fn update_buckets(&mut self, share: Share, config: &Config, now: Moment) {
        let share_burst = share.rate * config.share_burst.as_secs_f64();
        self.share_bucket.set(share.rate, share_burst, now);
        let limit_burst = LIMIT_BURST.as_secs_f64();
        let requests = self.limits.requests_per_second * share.fraction;
        self.request_bucket.set(requests, (requests * limit_burst).max(1.0), now);
        let tokens = self.limits.tokens_per_second * share.fraction;
        self.token_bucket.set(tokens, (tokens * limit_burst).max(1.0), now);
    }

    /// Returns how many requests may be open on this host, at least 1.
    pub(super) fn max_concurrent(&self, fraction: f64) -> usize {
        (f64::from(self.limits.concurrent) * fraction - ROUNDING_TOLERANCE).ceil().max(1.0) as usize
    }

    /// Returns the time until the request limit allows another request; zero if it does now.
    pub(super) fn request_wait(&mut self, now: Moment) -> Duration {
        self.request_bucket.time_to(1.0, now)
    }

    /// Returns the time until the token limit is no longer overdrawn; zero if it is not.
    pub(super) fn token_wait(&mut self, now: Moment) -> Duration {
        self.token_bucket.time_to(0.0, now)
    }

    /// Charges one request and its tokens to the limits.
    pub(super) fn charge_limits(&mut self, tokens: u32, now: Moment) {
        self.request_bucket.take(1.0, now);
        self.token_bucket.take(f64::from(tokens), now);
    }

    /// Charges engine time to the share; a negative amount is credited.
    pub(super) fn charge_time(&mut self, seconds: f64, now: Moment) {
        let weight = match self.assigned {
            Some((share, _)) => share.rate,
            None => self.limits.weight,
        };
        self.virtual_time += seconds / weight.max(1e-6);
        self.share_bucket.take(seconds, now);
    }

    /// Returns the time until all waiting requests have started, at the larger of the start rate
    /// and the assigned share; zero if both are zero.
    pub(super) fn backlog_wait(&self, now: Moment) -> Duration {
        let rate = self.start_rate.value(now).max(self.assigned.map_or(0.0, |(it, _)| it.rate));
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(self.backlog.as_secs_f64() / rate).unwrap_or(Duration::MAX)
    }

    pub(super) fn push(&mut self, pool: &SmolStr, sort_key: Moment, key: Key, cost: Duration) {
        self.waiting.entry(pool.clone()).or_default().insert((sort_key, key));
        self.backlog += cost;
        self.counts.waiting += 1;
    }

    /// Removes a waiting request; returns false if it was not waiting.
    pub(super) fn remove(
        &mut self,
        pool: &SmolStr,
        sort_key: Moment,
        key: Key,
        cost: Duration,
    ) -> bool {
        let Some(set) = self.waiting.get_mut(pool) else { return false };
        if !set.remove(&(sort_key, key)) {
            return false;
        }
        if set.is_empty() {
            self.waiting.remove(pool);
        }
        self.backlog = self.backlog.saturating_sub(cost);
        self.counts.waiting -= 1;
        true
    }

    /// Returns the waiting request for a model or service that starts first.
    pub(super) fn first(&self, pool: &SmolStr) -> Option<(Moment, Key)> {
        self.waiting.get(pool)?.first().copied()
    }
}
