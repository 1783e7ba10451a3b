//! Decides which waiting request starts next and which is refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::{
    admit::{Config, Key, Policy, Refusal, Request, Share, Stats, Step, queue::Queue},
    clock::Moment,
    configuration::Limits,
    id,
    route::Capacity,
    verdict::Reason,
};

/// Decides which requests start, wait or are refused on this host.
#[derive(Debug)]
pub struct Admission {
    config: Config,
    plans: BTreeMap<id::Plan, Queue>,
    entries: SlotMap<Key, Entry>,
    /// Number of waiting requests of all plans.
    waiting: usize,
    /// Number of entry hosts.
    host_count: usize,
    /// Highest virtual time of a plan at the start of one of its requests.
    virtual_time: f64,
}

/// A request that was offered and has not finished.
#[derive(Debug)]
struct Entry {
    request: Request,
    sort_key: Moment,
    started: bool,
}

impl Admission {
    /// Creates an admission without plans, for a single host.
    pub fn new(config: Config) -> Admission {
        Admission {
            config,
            plans: BTreeMap::new(),
            entries: SlotMap::with_key(),
            waiting: 0,
            host_count: 1,
            virtual_time: 0.0,
        }
    }

    /// Sets the limits of all plans. A plan that is missing from `limits` is kept until its
    /// requests have ended.
    pub fn set_limits(&mut self, limits: &HashMap<id::Plan, Limits>, now: Moment) {
        self.plans.retain(|plan, queue| {
            limits.contains_key(plan) || 0 < queue.counts.running || 0 < queue.counts.waiting
        });
        for (plan, limits) in limits {
            match self.plans.get_mut(plan) {
                Some(queue) => queue.limits = limits.clone(),
                None => {
                    let queue = Queue::new(limits.clone(), &self.config, now);
                    self.plans.insert(plan.clone(), queue);
                }
            }
        }
        self.update_buckets(now);
    }

    /// Sets the number of entry hosts, which determines the even split of a plan over the hosts.
    pub fn set_host_count(&mut self, hosts: usize, now: Moment) {
        self.host_count = hosts.max(1);
        self.update_buckets(now);
    }

    /// Sets this host's share of each plan, as assigned by the coordinator.
    pub fn set_shares(&mut self, shares: &HashMap<id::Plan, Share>, now: Moment) {
        for (plan, share) in shares {
            if let Some(queue) = self.plans.get_mut(plan) {
                queue.assigned = Some((*share, now));
            }
        }
        self.update_buckets(now);
    }

    /// Updates the token buckets of all plans from their current shares.
    fn update_buckets(&mut self, now: Moment) {
        for queue in self.plans.values_mut() {
            let share = current_share(queue, self.host_count, &self.config, now);
            queue.update_buckets(share, &self.config, now);
        }
    }

    /// Offers a request. If it is queued, a later [`Admission::schedule`] starts or refuses it.
    ///
    /// # Errors
    /// Returns a refusal, with the time after which to retry, when the request was not queued.
    pub fn offer(&mut self, request: Request, now: Moment) -> Result<Key, Refusal> {
        let Some(queue) = self.plans.get_mut(&request.plan) else {
            return Err(self.refusal(Reason::NotReady, self.config.min_retry_after));
        };
        queue.counts.offered += 1;
        queue.counts.requested += request.cost;
        queue.offered_rate.add(request.cost.as_secs_f64(), now);
        let share = current_share(queue, self.host_count, &self.config, now);
        queue.update_buckets(share, &self.config, now);
        let sort_key = sort_key(&request, self.config.policy, now);
        if let Err((reason, wait)) = check(queue, share, &request, sort_key, &self.config, now) {
            return Err(self.refuse(&request.plan, reason, wait));
        }
        if self.config.max_waiting <= self.waiting {
            return Err(self.refuse(&request.plan, Reason::QueueFull, Duration::ZERO));
        }
        Ok(self.enqueue(request, sort_key, now))
    }

    fn enqueue(&mut self, request: Request, sort_key: Moment, now: Moment) -> Key {
        let (plan, pool, cost, tokens) =
            (request.plan.clone(), request.pool.clone(), request.cost, request.tokens);
        let key = self.entries.insert(Entry { request, sort_key, started: false });
        self.waiting += 1;
        if let Some(queue) = self.plans.get_mut(&plan) {
            if queue.counts.waiting == 0 {
                queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            }
            queue.charge_limits(tokens, now);
            queue.push(&pool, sort_key, key, cost);
        }
        key
    }

    /// Returns the requests to start and to refuse now; `capacity` returns the free capacity of the
    /// targets of a model or service.
    ///
    /// Must be called after each offer, after each end of a request and periodically.
    pub fn schedule(&mut self, capacity: impl Fn(&str) -> Capacity, now: Moment) -> Vec<Step> {
        let mut steps = Vec::new();
        self.refuse_late(&mut steps, now);
        if self.waiting == 0 {
            return steps;
        }
        let pools = self.plans.values().flat_map(|it| it.waiting.keys());
        let pools: BTreeSet<SmolStr> = pools.cloned().collect();
        for pool in &pools {
            self.start_waiting(pool, capacity(pool), &mut steps, now);
        }
        steps
    }

    /// Refuses waiting requests that can no longer start in time.
    fn refuse_late(&mut self, steps: &mut Vec<Step>, now: Moment) {
        if self.waiting == 0 || self.config.policy == Policy::Fifo {
            return;
        }
        let mut late = Vec::new();
        for queue in self.plans.values() {
            for set in queue.waiting.values() {
                late.extend(set.iter().take_while(|(start_by, _)| *start_by < now).map(|it| it.1));
            }
        }
        for key in late {
            let Some(entry) = self.entries.get(key) else { continue };
            let expired = entry.request.expires <= now;
            let reason = if expired { Reason::Expired } else { Reason::WouldBeLate };
            let plan = entry.request.plan.clone();
            self.remove(key);
            let wait = self.plans.get_mut(&plan).map_or(Duration::ZERO, |it| it.backlog_wait(now));
            steps.push(Step::Refuse(key, self.refuse(&plan, reason, wait)));
        }
    }

    /// Starts waiting requests for one model or service while it has free capacity.
    fn start_waiting(
        &mut self,
        pool: &SmolStr,
        capacity: Capacity,
        steps: &mut Vec<Step>,
        now: Moment,
    ) {
        let mut free = capacity.free.as_secs_f64();
        let reserved = capacity.limit.as_secs_f64() * self.config.reserved_fraction;
        while let Some(candidate) = self.next_candidate(pool, now) {
            let min_free = if candidate.over_share { reserved } else { 0.0 };
            let checks_capacity = self.config.policy == Policy::Weighted;
            if checks_capacity && free <= min_free {
                break;
            }
            free -= self.start(candidate.key, candidate.over_share, now);
            steps.push(Step::Start(candidate.key));
        }
    }

    /// Returns the request to start next; plans within their share come first.
    fn next_candidate(&mut self, pool: &SmolStr, now: Moment) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for queue in self.plans.values_mut() {
            let Some((sort_key, key)) = queue.first(pool) else { continue };
            let over_share = queue.assigned.is_some() && queue.share_bucket.level(now) <= 0.0;
            let rank = match self.config.policy {
                Policy::Weighted => (over_share, queue.virtual_time),
                Policy::Fifo => (false, sort_key.as_secs_f64()),
            };
            let candidate = Candidate { key, over_share, rank };
            if best.as_ref().is_none_or(|it| candidate.ranks_before(it)) {
                best = Some(candidate);
            }
        }
        best
    }

    /// Starts a waiting request and returns its cost in engine-seconds.
    fn start(&mut self, key: Key, over_share: bool, now: Moment) -> f64 {
        let Some(entry) = self.entries.get_mut(key) else { return 0.0 };
        entry.started = true;
        let (request, sort_key) = (&entry.request, entry.sort_key);
        self.waiting -= 1;
        let Some(queue) = self.plans.get_mut(&request.plan) else { return 0.0 };
        queue.remove(&request.pool, sort_key, key, request.cost);
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.charge_time(request.cost.as_secs_f64(), now);
        queue.start_rate.add(request.cost.as_secs_f64(), now);
        queue.counts.started += 1;
        queue.counts.running += 1;
        queue.counts.granted += request.cost;
        if over_share {
            queue.counts.over_share += request.cost;
        }
        request.cost.as_secs_f64()
    }

    /// Removes a waiting or running request whose caller disconnected.
    pub fn cancel(&mut self, key: Key, _now: Moment) {
        self.remove(key);
    }

    fn remove(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        let queue = self.plans.get_mut(&entry.request.plan)?;
        if entry.started {
            queue.counts.running = queue.counts.running.saturating_sub(1);
        } else {
            queue.remove(&entry.request.pool, entry.sort_key, key, entry.request.cost);
            self.waiting -= 1;
        }
        Some(entry)
    }

    /// Removes a started request that has ended, and corrects its plan's charge to the engine time
    /// that it took.
    pub fn finish(&mut self, key: Key, actual_cost: Duration, now: Moment) {
        let Some(entry) = self.remove(key) else { return };
        let Some(queue) = self.plans.get_mut(&entry.request.plan) else { return };
        queue.counts.finished += 1;
        queue.counts.served += actual_cost;
        queue.charge_time(actual_cost.as_secs_f64() - entry.request.cost.as_secs_f64(), now);
    }

    /// Returns the demand of each plan in engine-seconds per second.
    pub fn demand(&self, now: Moment) -> Vec<(id::Plan, f64)> {
        let plans = self.plans.iter();
        plans.map(|(plan, queue)| (plan.clone(), queue.offered_rate.value(now))).collect()
    }

    /// Returns the counts of each plan.
    pub fn stats(&self) -> Stats {
        let plans = self.plans.iter();
        Stats { by_plan: plans.map(|(plan, it)| (plan.clone(), it.counts.clone())).collect() }
    }

    /// Counts a refusal and returns it.
    fn refuse(&mut self, plan: &id::Plan, reason: Reason, wait: Duration) -> Refusal {
        if let Some(queue) = self.plans.get_mut(plan) {
            *queue.counts.refused.entry(reason).or_default() += 1;
        }
        self.refusal(reason, wait)
    }

    /// Returns a refusal, with `wait` clamped to the configured bounds.
    fn refusal(&self, reason: Reason, wait: Duration) -> Refusal {
        let (min, max) = (self.config.min_retry_after, self.config.max_retry_after);
        Refusal { reason, retry_after: wait.clamp(min, max) }
    }
}

/// A waiting request that may start next.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: Key,
    /// Whether the plan has used up its share.
    over_share: bool,
    /// The candidate with the lowest rank starts first.
    rank: (bool, f64),
}

impl Candidate {
    fn ranks_before(&self, other: &Candidate) -> bool {
        let (over_share, time) = self.rank;
        let (other_over_share, other_time) = other.rank;
        over_share.cmp(&other_over_share).then(time.total_cmp(&other_time)).is_lt()
    }
}

/// Returns the time by which a plan's queue is sorted: the latest start that meets the request's
/// deadlines, or its arrival under [`Policy::Fifo`].
fn sort_key(request: &Request, policy: Policy, now: Moment) -> Moment {
    match policy {
        Policy::Weighted => {
            request.first_token_due.saturating_sub(request.first_token).min(request.expires)
        }
        Policy::Fifo => now,
    }
}

/// Returns the plan's current share on this host; an even split, without engine time, until the
/// coordinator has assigned one.
fn current_share(queue: &Queue, host_count: usize, config: &Config, now: Moment) -> Share {
    let fraction = 1.0 / host_count as f64;
    let rate = queue.assigned.map_or(0.0, |(it, _)| it.rate / it.fraction.max(1e-9) * fraction);
    queue.current_share(Share { rate, fraction }, config, now)
}

/// Checks the plan's limits and whether the request can start by `start_by`; fails with the reason
/// to refuse the request and the time after which to retry.
fn check(
    queue: &mut Queue,
    share: Share,
    request: &Request,
    start_by: Moment,
    config: &Config,
    now: Moment,
) -> Result<(), (Reason, Duration)> {
    if request.expires <= now {
        return Err((Reason::Expired, Duration::ZERO));
    }
    let wait = queue.request_wait(now);
    if Duration::ZERO < wait {
        return Err((Reason::RateLimited, wait));
    }
    let wait = queue.token_wait(now);
    if Duration::ZERO < wait {
        return Err((Reason::TokensLimited, wait));
    }
    let open = queue.counts.waiting + queue.counts.running as usize;
    if queue.max_concurrent(share.fraction) <= open {
        return Err((Reason::ConcurrencyLimited, queue.backlog_wait(now)));
    }
    if queue.limits.queue <= queue.counts.waiting {
        return Err((Reason::QueueFull, queue.backlog_wait(now)));
    }
    if config.policy == Policy::Fifo {
        return Ok(());
    }
    let wait = queue.backlog_wait(now);
    if start_by < now || (0 < queue.counts.waiting && start_by < now + wait) {
        return Err((Reason::WouldBeLate, wait));
    }
    Ok(())
}
