//! One plan's queue, limits and share on this host.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    admit::{Config, Counts, Key, Share, allowance::Allowance},
    clock::Moment,
    configuration::Limits,
    cost::Rate,
};

/// Time for which request and token limits may be saved up.
const LIMIT_BURST: Duration = Duration::from_secs(1);

/// Part of a request below which a limit is not rounded up.
const ROUNDING: f64 = 1e-6;

/// Requests of one plan.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) limits: Limits,
    /// Share as last given by the holder, and when.
    pub(super) given: Option<(Share, Moment)>,
    /// Engine time of this plan that was started, over its weight.
    pub(super) virtual_time: f64,
    /// Engine time within the plan's share.
    pub(super) share: Allowance,
    requests: Allowance,
    tokens: Allowance,
    /// Waiting requests by model or service and deadline.
    pub(super) waiting: BTreeMap<SmolStr, BTreeSet<(Moment, Key)>>,
    /// Engine time of the waiting requests.
    pub(super) backlog: Duration,
    /// Engine time asked for, as a rate.
    pub(super) demand: Rate,
    /// Engine time started, as a rate.
    pub(super) drained: Rate,
    pub(super) counts: Counts,
}

impl Queue {
    pub(super) fn new(limits: Limits, config: &Config, now: Moment) -> Queue {
        Queue {
            given: None,
            virtual_time: 0.0,
            share: Allowance::new(0.0, 0.0, now),
            requests: Allowance::new(0.0, f64::MAX, now),
            tokens: Allowance::new(0.0, f64::MAX, now),
            waiting: BTreeMap::new(),
            backlog: Duration::ZERO,
            demand: Rate::new(config.demand_window, now),
            drained: Rate::new(config.demand_window, now),
            counts: Counts::default(),
            limits,
        }
    }

    /// Returns the plan's part and rate on this host, fading to an even split without news.
    pub(super) fn current(&self, even: Share, config: &Config, now: Moment) -> Share {
        let Some((share, at)) = self.given else { return even };
        let late = now.saturating_sub(at).saturating_sub(config.shares_bound);
        let fade = config.shares_fade.as_secs_f64().max(1e-3);
        let moved = (late.as_secs_f64() / fade).clamp(0.0, 1.0);
        let mix = |from: f64, to: f64| from + (to - from) * moved;
        Share { rate: mix(share.rate, even.rate), part: mix(share.part, even.part) }
    }

    /// Sets the allowances from the present share.
    pub(super) fn set_share(&mut self, share: Share, config: &Config, now: Moment) {
        let burst = share.rate * config.burst.as_secs_f64();
        self.share.set(share.rate, burst, now);
        let saved = LIMIT_BURST.as_secs_f64();
        let requests = self.limits.requests_per_second * share.part;
        self.requests.set(requests, (requests * saved).max(1.0), now);
        let tokens = self.limits.tokens_per_second * share.part;
        self.tokens.set(tokens, (tokens * saved).max(1.0), now);
    }

    /// Returns the requests that may be open on this host.
    pub(super) fn concurrent(&self, part: f64) -> usize {
        (f64::from(self.limits.concurrent) * part - ROUNDING).ceil().max(1.0) as usize
    }

    /// Returns the time until the request limit allows one more; zero when it does now.
    pub(super) fn request_wait(&mut self, now: Moment) -> Duration {
        self.requests.time_to(1.0, now)
    }

    /// Returns the time until the token limit is no longer overdrawn; zero when it is not.
    pub(super) fn token_wait(&mut self, now: Moment) -> Duration {
        self.tokens.time_to(0.0, now)
    }

    /// Counts an offered request against the limits.
    pub(super) fn take(&mut self, tokens: u32, now: Moment) {
        self.requests.take(1.0, now);
        self.tokens.take(f64::from(tokens), now);
    }

    /// Charges engine time, or gives it back when negative.
    pub(super) fn charge(&mut self, seconds: f64, now: Moment) {
        let weight = match self.given {
            Some((share, _)) => share.rate,
            None => self.limits.weight,
        };
        self.virtual_time += seconds / weight.max(1e-6);
        self.share.take(seconds, now);
    }

    /// Returns the time in which the waiting requests start at the present rate.
    pub(super) fn drain_time(&self, now: Moment) -> Duration {
        let rate = self.drained.value(now).max(self.given.map_or(0.0, |(it, _)| it.rate));
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(self.backlog.as_secs_f64() / rate).unwrap_or(Duration::MAX)
    }

    pub(super) fn push(&mut self, pool: &SmolStr, order: Moment, key: Key, cost: Duration) {
        self.waiting.entry(pool.clone()).or_default().insert((order, key));
        self.backlog += cost;
        self.counts.waiting += 1;
    }

    /// Takes a waiting request out; returns false when it was not waiting.
    pub(super) fn pull(&mut self, pool: &SmolStr, order: Moment, key: Key, cost: Duration) -> bool {
        let Some(set) = self.waiting.get_mut(pool) else { return false };
        if !set.remove(&(order, key)) {
            return false;
        }
        if set.is_empty() {
            self.waiting.remove(pool);
        }
        self.backlog = self.backlog.saturating_sub(cost);
        self.counts.waiting -= 1;
        true
    }

    /// Returns the first waiting request for a model or service.
    pub(super) fn first(&self, pool: &SmolStr) -> Option<(Moment, Key)> {
        self.waiting.get(pool)?.first().copied()
    }
}
