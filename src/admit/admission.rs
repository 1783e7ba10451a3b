//! Admission: which waiting request starts next, and which is refused.

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
    waiting: usize,
    hosts: usize,
    /// Virtual time of the last start.
    virtual_time: f64,
}

/// A request that was offered and not yet finished.
#[derive(Debug)]
struct Entry {
    request: Request,
    order: Moment,
    started: bool,
}

impl Admission {
    /// Creates admission without plans.
    pub fn new(config: Config) -> Admission {
        Admission {
            config,
            plans: BTreeMap::new(),
            entries: SlotMap::with_key(),
            waiting: 0,
            hosts: 1,
            virtual_time: 0.0,
        }
    }

    /// Takes over the limits of each plan; requests of a plan that is gone run or wait to their end.
    pub fn contract(&mut self, limits: &HashMap<id::Plan, Limits>, now: Moment) {
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
        self.tick(now);
    }

    /// Notes how many entry hosts there are, for the even split.
    pub fn hosts(&mut self, hosts: usize, now: Moment) {
        self.hosts = hosts.max(1);
        self.tick(now);
    }

    /// Takes over this host's part of each plan from the holder.
    pub fn shares(&mut self, shares: &HashMap<id::Plan, Share>, now: Moment) {
        for (plan, share) in shares {
            if let Some(queue) = self.plans.get_mut(plan) {
                queue.given = Some((*share, now));
            }
        }
        self.tick(now);
    }

    /// Sets the allowances of all plans from their present shares.
    fn tick(&mut self, now: Moment) {
        for queue in self.plans.values_mut() {
            let share = current(queue, self.hosts, &self.config, now);
            queue.set_share(share, &self.config, now);
        }
    }

    /// Offers a request; it starts or is refused by a later [`Admission::next`].
    ///
    /// # Errors
    /// The request was not queued; the refusal says why and when to come back.
    pub fn offer(&mut self, request: Request, now: Moment) -> Result<Key, Refusal> {
        let Some(queue) = self.plans.get_mut(&request.plan) else {
            return Err(self.refusal(Reason::NotReady, self.config.retry_least));
        };
        queue.counts.offered += 1;
        queue.counts.asked += request.cost;
        queue.demand.add(request.cost.as_secs_f64(), now);
        let share = current(queue, self.hosts, &self.config, now);
        queue.set_share(share, &self.config, now);
        let order = order(&request, self.config.policy, now);
        if let Err((reason, wait)) = check(queue, share, &request, order, &self.config, now) {
            return Err(self.refuse(&request.plan, reason, wait));
        }
        if self.config.queue <= self.waiting {
            return Err(self.refuse(&request.plan, Reason::QueueFull, Duration::ZERO));
        }
        Ok(self.enqueue(request, order, now))
    }

    fn enqueue(&mut self, request: Request, order: Moment, now: Moment) -> Key {
        let (plan, pool, cost, tokens) =
            (request.plan.clone(), request.pool.clone(), request.cost, request.tokens);
        let key = self.entries.insert(Entry { request, order, started: false });
        self.waiting += 1;
        if let Some(queue) = self.plans.get_mut(&plan) {
            if queue.counts.waiting == 0 {
                queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            }
            queue.take(tokens, now);
            queue.push(&pool, order, key, cost);
        }
        key
    }

    /// Returns what is to be done now; `capacity` gives the room on the targets of a model or service.
    ///
    /// To be called after each offer, each end of a request and at every tick.
    pub fn next(&mut self, capacity: impl Fn(&str) -> Capacity, now: Moment) -> Vec<Step> {
        let mut steps = Vec::new();
        self.refuse_late(&mut steps, now);
        if self.waiting == 0 {
            return steps;
        }
        let pools = self.plans.values().flat_map(|it| it.waiting.keys());
        let pools: BTreeSet<SmolStr> = pools.cloned().collect();
        for pool in &pools {
            self.start(pool, capacity(pool), &mut steps, now);
        }
        steps
    }

    /// Refuses requests that can no longer start in time.
    fn refuse_late(&mut self, steps: &mut Vec<Step>, now: Moment) {
        if self.waiting == 0 || self.config.policy == Policy::FirstCome {
            return;
        }
        let mut late = Vec::new();
        for queue in self.plans.values() {
            for set in queue.waiting.values() {
                late.extend(set.iter().take_while(|(order, _)| *order < now).map(|it| it.1));
            }
        }
        for key in late {
            let Some(entry) = self.entries.get(key) else { continue };
            let expired = entry.request.expires <= now;
            let reason = if expired { Reason::Expired } else { Reason::WouldBeLate };
            let plan = entry.request.plan.clone();
            self.withdraw(key);
            let wait = self.plans.get_mut(&plan).map_or(Duration::ZERO, |it| it.drain_time(now));
            steps.push(Step::Refuse(key, self.refuse(&plan, reason, wait)));
        }
    }

    /// Starts requests for one model or service while there is room.
    fn start(&mut self, pool: &SmolStr, capacity: Capacity, steps: &mut Vec<Step>, now: Moment) {
        let mut free = capacity.free.as_secs_f64();
        let reserve = capacity.limit.as_secs_f64() * self.config.reserve;
        while let Some(choice) = self.choose(pool, now) {
            let least = if choice.lent { reserve } else { 0.0 };
            let limited = self.config.policy == Policy::Weighted;
            if limited && free <= least {
                break;
            }
            free -= self.begin(choice.key, choice.lent, now);
            steps.push(Step::Start(choice.key));
        }
    }

    /// Returns the request that should start next: plans within their share first.
    fn choose(&mut self, pool: &SmolStr, now: Moment) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        for queue in self.plans.values_mut() {
            let Some((order, key)) = queue.first(pool) else { continue };
            let lent = queue.given.is_some() && queue.share.level(now) <= 0.0;
            let rank = match self.config.policy {
                Policy::Weighted => (lent, queue.virtual_time),
                Policy::FirstCome => (false, order.as_secs_f64()),
            };
            let choice = Choice { key, lent, rank };
            if best.as_ref().is_none_or(|it| choice.before(it)) {
                best = Some(choice);
            }
        }
        best
    }

    /// Starts a waiting request; returns its cost in seconds.
    fn begin(&mut self, key: Key, lent: bool, now: Moment) -> f64 {
        let Some(entry) = self.entries.get_mut(key) else { return 0.0 };
        entry.started = true;
        let (request, order) = (&entry.request, entry.order);
        self.waiting -= 1;
        let Some(queue) = self.plans.get_mut(&request.plan) else { return 0.0 };
        queue.pull(&request.pool, order, key, request.cost);
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.charge(request.cost.as_secs_f64(), now);
        queue.drained.add(request.cost.as_secs_f64(), now);
        queue.counts.started += 1;
        queue.counts.running += 1;
        queue.counts.given += request.cost;
        if lent {
            queue.counts.lent += request.cost;
        }
        request.cost.as_secs_f64()
    }

    /// Withdraws a request whose caller went away, whether it waits or runs.
    pub fn cancel(&mut self, key: Key, _now: Moment) {
        self.withdraw(key);
    }

    fn withdraw(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        let queue = self.plans.get_mut(&entry.request.plan)?;
        if entry.started {
            queue.counts.running = queue.counts.running.saturating_sub(1);
        } else {
            queue.pull(&entry.request.pool, entry.order, key, entry.request.cost);
            self.waiting -= 1;
        }
        Some(entry)
    }

    /// Notes the end of a request that was started, with the engine time that it took.
    pub fn finished(&mut self, key: Key, actual_cost: Duration, now: Moment) {
        let Some(entry) = self.withdraw(key) else { return };
        let Some(queue) = self.plans.get_mut(&entry.request.plan) else { return };
        queue.counts.finished += 1;
        queue.counts.served += actual_cost;
        queue.charge(actual_cost.as_secs_f64() - entry.request.cost.as_secs_f64(), now);
    }

    /// Returns the engine time that each plan asks for, in seconds a second.
    pub fn demand(&self, now: Moment) -> Vec<(id::Plan, f64)> {
        let plans = self.plans.iter();
        plans.map(|(plan, queue)| (plan.clone(), queue.demand.value(now))).collect()
    }

    /// Returns the counts of each plan.
    pub fn stats(&self) -> Stats {
        let plans = self.plans.iter();
        Stats { by_plan: plans.map(|(plan, it)| (plan.clone(), it.counts.clone())).collect() }
    }

    /// Counts a refusal and bounds its time to come back.
    fn refuse(&mut self, plan: &id::Plan, reason: Reason, wait: Duration) -> Refusal {
        if let Some(queue) = self.plans.get_mut(plan) {
            *queue.counts.refused.entry(reason).or_default() += 1;
        }
        self.refusal(reason, wait)
    }

    fn refusal(&self, reason: Reason, wait: Duration) -> Refusal {
        let (least, most) = (self.config.retry_least, self.config.retry_most);
        Refusal { reason, retry_after: wait.clamp(least, most) }
    }
}

/// A request that may start, with its rank; the lowest starts first.
#[derive(Debug, Clone, Copy)]
struct Choice {
    key: Key,
    lent: bool,
    rank: (bool, f64),
}

impl Choice {
    fn before(&self, other: &Choice) -> bool {
        let (lent, time) = self.rank;
        let (other_lent, other_time) = other.rank;
        lent.cmp(&other_lent).then(time.total_cmp(&other_time)).is_lt()
    }
}

/// Returns the moment by which a request must start, which orders its plan's queue.
fn order(request: &Request, policy: Policy, now: Moment) -> Moment {
    match policy {
        Policy::Weighted => request.due.saturating_sub(request.first_token).min(request.expires),
        Policy::FirstCome => now,
    }
}

/// Returns a plan's part of this host, or the even split before the holder gave any.
fn current(queue: &Queue, hosts: usize, config: &Config, now: Moment) -> Share {
    let part = 1.0 / hosts as f64;
    let rate = queue.given.map_or(0.0, |(it, _)| it.rate / it.part.max(1e-9) * part);
    queue.current(Share { rate, part }, config, now)
}

/// Checks a plan's limits and whether the request can start in time.
fn check(
    queue: &mut Queue,
    share: Share,
    request: &Request,
    order: Moment,
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
    if queue.concurrent(share.part) <= open {
        return Err((Reason::ConcurrencyLimited, queue.drain_time(now)));
    }
    if queue.limits.queue <= queue.counts.waiting {
        return Err((Reason::QueueFull, queue.drain_time(now)));
    }
    if config.policy == Policy::FirstCome {
        return Ok(());
    }
    let wait = queue.drain_time(now);
    if order < now || (0 < queue.counts.waiting && order < now + wait) {
        return Err((Reason::WouldBeLate, wait));
    }
    Ok(())
}
