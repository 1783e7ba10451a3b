//! Decides how many targets a service needs in each data centre, and of which kind.
//!
//! Answers demand that rises and falls, swings between prompts and answers, or comes in bursts that
//! are shorter than the boot time, and the loss of targets while it lasts. A lasting need is met at
//! once. What is no longer needed is given back in steps, each of which leaves enough for the highest
//! demand of a window of twice the boot time: a target that is missed again takes the boot time to
//! return. Bursts shorter than that are met by a reserve.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};

use crate::scaling::Config;

/// Utilisation at which a burst of two thirds more than the mean still fits.
const USUAL_UTILISATION: f64 = 0.6;
/// Utilisation until lost targets are replaced.
const UTILISATION_AFTER_LOSS: f64 = 0.8;
/// Share of the mean demand that targets which can't be withdrawn carry alone, so that most requests
/// are served if all others are withdrawn within one boot time.
const FIRM_SHARE: f64 = 0.75;
/// Largest share of the targets that one step gives back; it raises the utilisation by no more than
/// the reserve.
const STEP_SHARE: f64 = 1.0 / 3.0;
/// Smallest share of the targets for which a step is worth an order; the need varies by as much.
const MIN_STEP_SHARE: f64 = 0.1;
/// Share of late or refused requests above which no target is given back.
const LATE_SHARE_TO_LOWER: f64 = 0.03;
/// Share of late or refused requests above which the service gets more targets although the counts
/// of work don't ask for them.
const LATE_SHARE_TO_RAISE: f64 = 0.1;
/// Factor by which the need grows then.
const LATE_FACTOR: f64 = 1.25;
/// Speed of a prefill on an engine that generates, as a share of that on a prefill engine.
const SHARED_PREFILL_SPEED: f64 = 0.5;
/// Largest share of prefill engines that is counted with; some engines have to generate.
const MAX_PREFILL_SHARE: f64 = 0.9;
/// Time after which an order counts as not carried out, in boot times.
const OVERDUE_BOOT_TIMES: f64 = 1.5;
/// Time over which the highest demand is kept, in boot times.
const WINDOW_BOOT_TIMES: u32 = 2;
/// Shortest boot time that is counted with, since demand is sampled once a second.
const MIN_BOOT_TIME: Duration = Duration::from_secs(2);
/// Age at which the last sample of the demand says nothing about the present.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(3);
/// Age from which the last sample is too old to give targets back.
const MAX_AGE_TO_LOWER: Duration = Duration::from_millis(900);
/// Longest time for which no targets are asked for where there were none.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Largest number of targets in one data centre that is counted with.
const MAX_COUNT: u32 = 10_000;

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Stays until it is given back.
    Firm,
    /// May be withdrawn on short notice, together with all others of its data centre.
    Withdrawable,
}

/// Targets of one kind in one data centre.
pub type Pool = (id::DataCentre, Kind);

/// Number of targets of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Targets that stay until they are given back.
    pub firm: u32,
    /// Targets that may be withdrawn.
    pub withdrawable: u32,
}

impl Counts {
    /// Returns the number of targets of both kinds.
    pub fn total(self) -> u32 {
        self.firm.saturating_add(self.withdrawable)
    }

    /// Returns the number of targets of one kind.
    pub fn of(self, kind: Kind) -> u32 {
        match kind {
            Kind::Firm => self.firm,
            Kind::Withdrawable => self.withdrawable,
        }
    }

    /// Returns the number of targets of one kind for a change.
    pub fn of_mut(&mut self, kind: Kind) -> &mut u32 {
        match kind {
            Kind::Firm => &mut self.firm,
            Kind::Withdrawable => &mut self.withdrawable,
        }
    }

    fn max(self, other: Counts) -> Counts {
        Counts {
            firm: self.firm.max(other.firm),
            withdrawable: self.withdrawable.max(other.withdrawable),
        }
    }
}

/// Targets by data centre.
pub type Layout = BTreeMap<id::DataCentre, Counts>;

/// Known targets of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Targets that take new requests.
    pub serving: Layout,
    /// Targets that are leaving.
    pub leaving: Layout,
    /// Share of the targets that only prefill.
    pub prefill_share: f64,
}

/// Demand on a service, as a number of targets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// Prefill engines that the prompts keep busy all the time.
    pub prefill: f64,
    /// Targets that the running requests fill as far as they are still on time.
    pub generation: f64,
    /// Share of the requests that were refused, or expected to be late because of the work before them.
    pub late_share: f64,
    /// Requests by data centre of their callers.
    pub origins: BTreeMap<id::DataCentre, f64>,
}

impl Demand {
    fn has_callers(&self) -> bool {
        0.0 < self.prefill + self.generation || self.origins.values().any(|it| 0.0 < *it)
    }

    /// Returns the number of targets at a utilisation, with this share of prefill engines.
    ///
    /// Engines that generate prefill too, with what is left of their time.
    fn targets(&self, utilisation: f64, prefill_share: f64) -> u32 {
        let share = prefill_share.clamp(0.0, MAX_PREFILL_SHARE);
        let (prefill, generation) = (self.prefill / utilisation, self.generation / utilisation);
        let for_generation = generation / (1.0 - share);
        let for_both = (prefill + SHARED_PREFILL_SPEED * generation)
            / (share + SHARED_PREFILL_SPEED * (1.0 - share));
        // A cast of a number that is too large or none gives the largest or none.
        (for_generation.max(for_both).ceil() as u32).min(MAX_COUNT)
    }
}

/// Numbers of targets that a demand needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Targets in all.
    pub total: u32,
    /// Targets that remain when those that can be lost at once are lost.
    pub after_loss: u32,
    /// Targets that can't be withdrawn.
    pub firm: u32,
}

impl Need {
    fn new(demand: &Demand, prefill_share: f64) -> Need {
        Need::at(demand, prefill_share, USUAL_UTILISATION)
    }

    /// Returns the need of a demand within which the reserve is used up.
    fn without_reserve(demand: &Demand, prefill_share: f64) -> Need {
        Need::at(demand, prefill_share, UTILISATION_AFTER_LOSS)
    }

    fn at(demand: &Demand, prefill_share: f64, usual_utilisation: f64) -> Need {
        let targets = |utilisation: f64| demand.targets(utilisation, prefill_share);
        let factor = usual_utilisation / USUAL_UTILISATION;
        Need {
            total: targets(usual_utilisation),
            after_loss: targets(UTILISATION_AFTER_LOSS * factor),
            firm: targets(factor / FIRM_SHARE),
        }
    }

    /// Returns the need multiplied by a factor.
    fn times(self, factor: f64) -> Need {
        let times = |count: u32| ((f64::from(count) * factor).ceil() as u32).min(MAX_COUNT);
        let Need { total, after_loss, firm } = self;
        Need { total: times(total), after_loss: times(after_loss), firm: times(firm) }
    }

    /// Returns whether targets suffice, also after a loss.
    fn is_met(self, layout: &Layout, lost_data_centres: usize) -> bool {
        let sum = |count: fn(Counts) -> u32| layout.values().map(|it| count(*it)).sum::<u32>();
        let total = sum(Counts::total);
        self.firm <= sum(|it| it.firm)
            && self.total <= total
            && self.after_loss <= total - largest_loss(layout, lost_data_centres)
    }
}

/// Returns the largest number of targets that can be lost at once: the withdrawable ones of a data
/// centre, or all of as many data centres as the deployment has to bear the loss of.
fn largest_loss(layout: &Layout, lost_data_centres: usize) -> u32 {
    let withdrawn = layout.values().map(|it| it.withdrawable).max().unwrap_or_default();
    let mut totals: Vec<u32> = layout.values().map(|it| it.total()).collect();
    totals.sort_unstable_by(|a, b| b.cmp(a));
    let lost = totals.into_iter().take(lost_data_centres).sum();
    withdrawn.max(lost)
}

/// Why a number of targets is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Callers need more targets than are expected to serve.
    Demand,
    /// Withdrawable targets are to take the place of others.
    Replacement,
    /// Fewer targets suffice.
    Surplus,
}

impl Cause {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Demand => "demand",
            Cause::Replacement => "replacement",
            Cause::Surplus => "surplus",
        }
    }
}

/// A number of targets to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Targets concerned.
    pub pool: Pool,
    /// Number that is ordered.
    pub count: u32,
    /// Number that is expected to serve without the order.
    pub expected: u32,
    /// Reason for the order.
    pub cause: Cause,
    /// Numbers of targets of the whole service that the demand needs.
    pub need: Need,
}

/// Scaling of one service, while this host holds the duty.
#[derive(Debug, Default)]
pub struct Planner {
    /// Demand of the window, oldest first.
    samples: VecDeque<(Moment, Demand)>,
    /// Time since which the demand is known without a gap.
    observed_since: Option<Moment>,
    ordered: BTreeMap<Pool, Ordered>,
    paused: BTreeMap<Pool, Pause>,
    /// Pools whose targets were withdrawn and are still leaving.
    withdrawn: BTreeSet<Pool>,
    raised_at: Option<Moment>,
    lowered_at: Option<Moment>,
    need: Need,
}

#[derive(Debug, Clone, Copy)]
struct Ordered {
    count: u32,
    at: Moment,
}

/// Time in which no targets are asked for because there were none.
#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Moment,
    duration: Duration,
}

impl Planner {
    /// Records the demand of the last moment.
    pub fn observe(&mut self, demand: Demand, now: Moment) {
        let is_gap = self.samples.back().is_none_or(|(at, _)| *at + MAX_SAMPLE_AGE < now);
        if is_gap {
            self.observed_since = None;
        }
        // Callers that have not come yet, or were all cut off, may come at any moment.
        if self.observed_since.is_none() && demand.has_callers() {
            self.observed_since = Some(now);
        }
        self.samples.push_back((now, demand));
    }

    /// Returns the numbers that the highest demand of the window needs, as of the last decision.
    pub fn need(&self) -> Need {
        self.need
    }

    /// Records that an order is sent.
    pub fn record_order(&mut self, step: &Step, now: Moment) {
        self.ordered.insert(step.pool.clone(), Ordered { count: step.count, at: now });
        match step.cause {
            Cause::Surplus => self.lowered_at = Some(now),
            Cause::Demand => self.raised_at = Some(now),
            Cause::Replacement => {}
        }
    }

    /// Records that an order had no effect; no more targets are asked for there for some time, from
    /// `pause` on longer each time.
    pub fn record_refusal(&mut self, pool: &Pool, pause: Duration, now: Moment) {
        self.ordered.remove(pool);
        self.pause(pool, pause, now);
    }

    fn pause(&mut self, pool: &Pool, boot_time: Duration, now: Moment) {
        let first = boot_time.max(MIN_BOOT_TIME);
        // A pause that ended long ago says nothing about the present.
        let last = self.paused.get(pool).filter(|it| now < it.until + (it.duration + first) * 2);
        let duration = last.map_or(first, |it| (it.duration * 2).min(MAX_PAUSE.max(first)));
        self.paused.insert(pool.clone(), Pause { until: now + duration, duration });
    }

    /// Returns the orders that are due, the most urgent ones first.
    pub fn decide(
        &mut self,
        config: &Config,
        fleet: &Fleet,
        lost_data_centres: usize,
        now: Moment,
    ) -> Vec<Step> {
        let boot_time = config.boot_time.max(MIN_BOOT_TIME);
        let window = boot_time * WINDOW_BOOT_TIMES;
        while self.samples.pop_front_if(|(at, _)| *at + window < now).is_some() {}
        self.drop_overdue(fleet, boot_time, now);
        let expected = self.expected(config, fleet);
        let Some(recent) = self.recent_demand(boot_time, now) else { return Vec::new() };
        if !recent.has_callers() {
            return Vec::new();
        }
        let highest = self.highest_demand(boot_time);
        let now_need = Need::new(&recent, fleet.prefill_share);
        let kept_need = Need::new(&highest, fleet.prefill_share);
        self.need = kept_need;
        let request = Request {
            config,
            expected: &expected,
            paused: &self.paused,
            origins: &highest.origins,
            lost_data_centres,
            now,
        };
        let lasting = self.lowest_demand(boot_time);
        let lasting_need = Need::new(&lasting, fleet.prefill_share);
        let least_need = Need::without_reserve(&recent, fleet.prefill_share);
        let is_met = |need: Need| need.is_met(&expected, lost_data_centres);
        let raised_need = if !is_met(least_need) {
            Some(now_need)
        } else if !is_met(lasting_need) {
            Some(lasting_need)
        } else if LATE_SHARE_TO_RAISE < lasting.late_share
            && is_met(now_need)
            && !self.awaits(window, now)
        {
            Some(now_need.times(LATE_FACTOR))
        } else {
            None
        };
        if let Some(need) = raised_need {
            let wanted = union(&expected, &request.layout(need));
            return steps(&expected, &wanted, Cause::Demand, need);
        }
        let is_unknown = self.observed_since.is_none_or(|it| now < it + boot_time);
        if is_unknown || LATE_SHARE_TO_LOWER < recent.late_share {
            return Vec::new();
        }
        let goal = request.layout(kept_need);
        let mut due = Vec::new();
        if firm_total(&goal) < firm_total(&expected) {
            let wanted = union(&expected, &without_firm(&goal));
            due = steps(&expected, &wanted, Cause::Replacement, kept_need);
        }
        let was_lowered = self.lowered_at.is_some_and(|it| now < it + boot_time);
        if was_lowered || !self.may_lower(window, now) {
            return due;
        }
        let present = intersection(&expected, &fleet.serving);
        let mut wanted = lowered(&present, &goal, Kind::Firm, kept_need, lost_data_centres);
        if due.is_empty() && wanted == present {
            wanted = lowered(&present, &goal, Kind::Withdrawable, kept_need, lost_data_centres);
        }
        // A pool whose targets are not all there keeps its order.
        let is_settled = |it: &Step| count(&present, &it.pool) == count(&expected, &it.pool);
        let lowering = steps(&present, &wanted, Cause::Surplus, kept_need).into_iter();
        due.extend(lowering.filter(is_settled));
        due
    }

    /// Drops orders that were not carried out in time, so that what is there counts.
    fn drop_overdue(&mut self, fleet: &Fleet, boot_time: Duration, now: Moment) {
        let overdue = boot_time.mul_f64(OVERDUE_BOOT_TIMES);
        let is_overdue = |_: &Pool, it: &mut Ordered| it.at + overdue <= now;
        for (pool, ordered) in self.ordered.extract_if(.., is_overdue).collect::<Vec<_>>() {
            if count(&fleet.serving, &pool) < ordered.count {
                self.pause(&pool, boot_time, now);
            }
        }
        let pools = fleet.leaving.keys().map(|it| (it.clone(), Kind::Withdrawable));
        let is_withdrawn = |it: &Pool| {
            0 < count(&fleet.leaving, it)
                && count(&fleet.serving, it) == 0
                && self.ordered.get(it).is_none_or(|it| 0 < it.count)
        };
        let withdrawn: BTreeSet<Pool> = pools.filter(is_withdrawn).collect();
        for pool in withdrawn.difference(&self.withdrawn.clone()) {
            self.ordered.remove(pool);
            self.pause(pool, boot_time, now);
        }
        self.withdrawn = withdrawn;
    }

    /// Returns the targets that serve once the orders on their way are carried out.
    fn expected(&self, config: &Config, fleet: &Fleet) -> Layout {
        let mut layout: Layout =
            config.prices.keys().map(|it| (it.clone(), Counts::default())).collect();
        layout.extend(fleet.serving.iter().map(|(name, counts)| (name.clone(), *counts)));
        for ((data_centre, kind), ordered) in &self.ordered {
            *layout.entry(data_centre.clone()).or_default().of_mut(*kind) = ordered.count;
        }
        layout
    }

    /// Returns the mean demand of the last boot time; `None` if the last sample is too old.
    fn recent_demand(&self, boot_time: Duration, now: Moment) -> Option<Demand> {
        self.samples.back().filter(|(at, _)| now <= *at + MAX_SAMPLE_AGE)?;
        Some(mean(self.samples.iter().filter(|(at, _)| now < *at + boot_time).map(|(_, it)| it)))
    }

    /// Returns the highest demand of the window, prefill and generation apart, each as the mean of
    /// half a boot time.
    fn highest_demand(&self, boot_time: Duration) -> Demand {
        self.extreme_demand(boot_time, f64::max)
    }

    /// Returns the lowest demand of the window in the same way.
    fn lowest_demand(&self, boot_time: Duration) -> Demand {
        self.extreme_demand(boot_time, f64::min)
    }

    fn extreme_demand(&self, boot_time: Duration, choose: fn(f64, f64) -> f64) -> Demand {
        let span = boot_time / 2;
        let mut chosen = mean(self.samples.iter().map(|(_, it)| it));
        for (end, _) in &self.samples {
            let part = self.samples.iter().filter(|(at, _)| at <= end && *end < *at + span);
            let part = mean(part.map(|(_, it)| it));
            chosen.prefill = choose(chosen.prefill, part.prefill);
            chosen.generation = choose(chosen.generation, part.generation);
        }
        chosen
    }

    /// Returns whether targets that were ordered for the demand may not serve yet.
    fn awaits(&self, window: Duration, now: Moment) -> bool {
        self.raised_at.is_some_and(|it| now < it + window)
    }

    fn may_lower(&self, window: Duration, now: Moment) -> bool {
        let has_passed = |at: Option<Moment>| at.is_some_and(|it| it + window <= now);
        let is_fresh = self.samples.back().is_some_and(|(at, _)| now < *at + MAX_AGE_TO_LOWER);
        is_fresh && has_passed(self.observed_since) && !self.awaits(window, now)
    }
}

/// Returns the mean of several demands.
fn mean<'a>(demands: impl Iterator<Item = &'a Demand>) -> Demand {
    let mut sum = Demand::default();
    let mut number = 0.0;
    for demand in demands {
        number += 1.0;
        sum.prefill += demand.prefill;
        sum.generation += demand.generation;
        sum.late_share += demand.late_share;
        for (origin, share) in &demand.origins {
            *sum.origins.entry(origin.clone()).or_default() += share;
        }
    }
    let number = f64::max(number, 1.0);
    Demand {
        prefill: sum.prefill / number,
        generation: sum.generation / number,
        late_share: sum.late_share / number,
        origins: sum.origins,
    }
}

fn count(layout: &Layout, pool: &Pool) -> u32 {
    layout.get(&pool.0).copied().unwrap_or_default().of(pool.1)
}

/// Returns the larger count of each pool.
fn union(a: &Layout, b: &Layout) -> Layout {
    let mut union = a.clone();
    for (data_centre, counts) in b {
        let entry = union.entry(data_centre.clone()).or_default();
        *entry = entry.max(*counts);
    }
    union
}

/// Returns the smaller count of each pool.
fn intersection(a: &Layout, b: &Layout) -> Layout {
    let smaller = |(data_centre, counts): (&id::DataCentre, &Counts)| {
        let other = b.get(data_centre).copied().unwrap_or_default();
        let firm = counts.firm.min(other.firm);
        let withdrawable = counts.withdrawable.min(other.withdrawable);
        (data_centre.clone(), Counts { firm, withdrawable })
    };
    a.iter().map(smaller).collect()
}

fn firm_total(layout: &Layout) -> u32 {
    layout.values().map(|it| it.firm).sum()
}

fn without_firm(layout: &Layout) -> Layout {
    let withdrawable = |it: &Counts| Counts { firm: 0, withdrawable: it.withdrawable };
    layout.iter().map(|(name, counts)| (name.clone(), withdrawable(counts))).collect()
}

/// Returns the orders that turn one layout into another, raises first.
fn steps(from: &Layout, to: &Layout, cause: Cause, need: Need) -> Vec<Step> {
    let mut steps = Vec::new();
    for (data_centre, counts) in to {
        for kind in [Kind::Firm, Kind::Withdrawable] {
            let pool = (data_centre.clone(), kind);
            let (expected, count) = (count(from, &pool), counts.of(kind));
            if expected != count {
                steps.push(Step { pool, count, expected, cause, need });
            }
        }
    }
    steps.sort_by_key(|it| it.count <= it.expected);
    steps
}

/// Returns the targets after one step towards a layout with fewer of a kind, which meets the need.
fn lowered(
    present: &Layout,
    goal: &Layout,
    kind: Kind,
    need: Need,
    lost_data_centres: usize,
) -> Layout {
    let total: u32 = present.values().map(|it| it.total()).sum();
    let share = |share: f64| ((f64::from(total) * share) as u32).max(1);
    let surplus = |data_centre: &id::DataCentre, counts: &Counts| {
        let wanted = goal.get(data_centre).copied().unwrap_or_default();
        counts.of(kind).saturating_sub(wanted.of(kind))
    };
    let all: u32 = present.iter().map(|(name, counts)| surplus(name, counts)).sum();
    if all < share(MIN_STEP_SHARE) {
        return present.clone();
    }
    for number in (1..=share(STEP_SHARE).min(all)).rev() {
        let mut lowered = present.clone();
        for _ in 0..number {
            let most = lowered.iter_mut().max_by_key(|(name, counts)| surplus(name, counts));
            if let Some((_, counts)) = most {
                *counts.of_mut(kind) -= 1;
            }
        }
        if need.is_met(&lowered, lost_data_centres) {
            return lowered;
        }
    }
    present.clone()
}

/// What a layout has to fit.
struct Request<'a> {
    config: &'a Config,
    expected: &'a Layout,
    paused: &'a BTreeMap<Pool, Pause>,
    origins: &'a BTreeMap<id::DataCentre, f64>,
    lost_data_centres: usize,
    now: Moment,
}

impl Request<'_> {
    /// Returns the cheapest layout that meets a need, or the largest possible one.
    ///
    /// Withdrawable targets count only as far as the others suffice without those of any one data
    /// centre, so they are spread evenly.
    fn layout(&self, need: Need) -> Layout {
        let mut firm_total = need.firm;
        loop {
            let firm = self.spread_firm(firm_total);
            let placed: u32 = firm.values().sum();
            let mut layout = self.add_withdrawable(&firm, need);
            let total: u32 = layout.values().map(|it| it.total()).sum();
            let remaining = total - largest_loss(&layout, self.lost_data_centres);
            let missing =
                need.total.saturating_sub(total).max(need.after_loss.saturating_sub(remaining));
            if missing == 0 || placed < firm_total {
                layout.retain(|_, counts| 0 < counts.total());
                return layout;
            }
            firm_total = firm_total.max(placed) + missing;
        }
    }

    fn min(&self) -> u32 {
        self.config.min.min(self.config.max).min(MAX_COUNT)
    }

    fn is_paused(&self, pool: &Pool) -> bool {
        self.paused.get(pool).is_some_and(|it| self.now < it.until)
    }

    /// Returns the largest number of targets that a pool can have next.
    fn limit(&self, data_centre: &id::DataCentre, kind: Kind) -> u32 {
        let max = self.config.max.min(MAX_COUNT);
        let pool = (data_centre.clone(), kind);
        match self.is_paused(&pool) {
            true => count(self.expected, &pool).min(max),
            false => max,
        }
    }

    /// Returns the data centres that targets can be ordered in.
    fn data_centres(&self) -> impl Iterator<Item = &id::DataCentre> {
        self.config.prices.keys()
    }

    /// Returns the share of the targets that a data centre should have: that of its callers, and more
    /// where targets are cheap.
    fn weight(&self, data_centre: &id::DataCentre) -> f64 {
        let price = self.config.prices.get(data_centre).copied().unwrap_or(1.0).max(1e-3);
        let has_origins = self.data_centres().any(|it| self.origins.contains_key(it));
        let callers = match has_origins {
            true => self.origins.get(data_centre).copied().unwrap_or_default(),
            false => 1.0,
        };
        callers / price
    }

    /// Distributes targets that stay over the data centres, with few changes.
    fn spread_firm(&self, total: u32) -> BTreeMap<id::DataCentre, u32> {
        let min = self.min();
        let weight_sum: f64 = self.data_centres().map(|it| self.weight(it)).sum();
        // Of data centre: name, present count, limit, aim.
        let mut all: Vec<(&id::DataCentre, u32, u32, f64)> = self
            .data_centres()
            .map(|it| {
                let limit = self.limit(it, Kind::Firm).max(min);
                let present = count(self.expected, &(it.clone(), Kind::Firm)).clamp(min, limit);
                let aim = f64::from(total) * self.weight(it) / weight_sum.max(f64::MIN_POSITIVE);
                (it, present, limit, aim)
            })
            .collect();
        let mut sum: u32 = all.iter().map(|(_, present, ..)| present).sum();
        while total < sum {
            let above = all.iter_mut().filter(|(_, present, ..)| min < *present);
            let excess = |it: &(&id::DataCentre, u32, u32, f64)| f64::from(it.1) - it.3;
            let Some(most) = above.max_by(|a, b| excess(a).total_cmp(&excess(b))) else { break };
            most.1 -= 1;
            sum -= 1;
        }
        while sum < total {
            let below = all.iter_mut().filter(|(_, present, limit, _)| present < limit);
            let lack = |it: &(&id::DataCentre, u32, u32, f64)| it.3 - f64::from(it.1);
            let Some(least) = below.max_by(|a, b| lack(a).total_cmp(&lack(b))) else { break };
            least.1 += 1;
            sum += 1;
        }
        all.into_iter().map(|(name, present, ..)| (name.clone(), present)).collect()
    }

    /// Adds as many withdrawable targets in each data centre as the need leaves open.
    fn add_withdrawable(&self, firm: &BTreeMap<id::DataCentre, u32>, need: Need) -> Layout {
        let max = self.config.max.min(MAX_COUNT);
        let room = |data_centre: &id::DataCentre, firm: u32| {
            let limit = self.limit(data_centre, Kind::Withdrawable);
            limit.min(max.saturating_sub(firm))
        };
        let rooms: Vec<u32> = firm.iter().map(|(name, firm)| room(name, *firm)).collect();
        // Where some can't be had for a moment, those of the other data centres stay.
        let is_paused = |it| self.is_paused(&(Clone::clone(it), Kind::Withdrawable));
        let keeps = self.data_centres().any(is_paused);
        let kept = |name: &id::DataCentre, room: u32| match keeps {
            true => count(self.expected, &(name.clone(), Kind::Withdrawable)).min(room),
            false => 0,
        };
        let kept: Vec<u32> =
            firm.keys().zip(&rooms).map(|(name, room)| kept(name, *room)).collect();
        let counts = |each: u32| {
            let limits = rooms.iter().zip(&kept);
            limits.map(move |(room, kept)| each.min(*room).max(*kept))
        };
        let layout = |each: u32| -> Layout {
            let counts = firm.iter().zip(counts(each)).map(|((name, firm), withdrawable)| {
                (name.clone(), Counts { firm: *firm, withdrawable })
            });
            counts.collect()
        };
        let places = rooms.iter().filter(|it| 0 < **it).count() as f64;
        // One data centre's part is never relied on, so each target costs that of its share too.
        let is_cheaper =
            self.config.withdrawable_price.is_some_and(|it| it * places < places - 1.0);
        if !is_cheaper {
            return layout(0);
        }
        let largest = rooms.iter().copied().max().unwrap_or_default();
        let sums = |each: u32| {
            let (sum, most) = counts(each).fold((0, 0), |(sum, most), it| (sum + it, most.max(it)));
            (sum, sum - most)
        };
        let firm_total: u32 = firm.values().sum();
        let suffices = |each: &u32| {
            let (sum, remaining) = sums(*each);
            need.total <= firm_total + sum && need.after_loss <= firm_total + remaining
        };
        layout((0..largest).find(suffices).unwrap_or(largest))
    }
}
