//! Each host's part of each plan's share, computed by the holder of a group from all demands.

use std::collections::{BTreeMap, HashMap};

use crate::id;

/// Part of a plan's demand that is split evenly, so that a host can start serving it at once.
const EVEN_PART: f64 = 0.2;
/// Rounds of filling; each one satisfies at least one plan.
const MOST_ROUNDS: usize = 1_024;

/// One host's part of one plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Engine seconds a second that the plan may use through this host.
    pub rate: f64,
    /// Part of the plan's limits that holds on this host.
    pub part: f64,
}

/// Demand of one plan at one host, in engine seconds a second.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Host that reports it.
    pub host: id::Host,
    /// Plan that asks.
    pub plan: id::Plan,
    /// Engine seconds asked for in a second.
    pub rate: f64,
}

/// Splits `capacity` engine seconds a second by weighted max-min over plans, then over hosts.
///
/// A plan gets its demand if that is below its weighted part; what it leaves is divided among the
/// others. What nobody asked for is spread by weight, so that no plan starts from nothing.
pub fn entitlements(
    capacity: f64,
    weights: &HashMap<id::Plan, f64>,
    demands: &[Demand],
) -> BTreeMap<id::Plan, f64> {
    let mut asked: BTreeMap<&id::Plan, f64> = weights.keys().map(|it| (it, 0.0)).collect();
    for demand in demands {
        if let Some(it) = asked.get_mut(&demand.plan) {
            *it += demand.rate.max(0.0);
        }
    }
    let mut given: BTreeMap<id::Plan, f64> = weights.keys().map(|it| (it.clone(), 0.0)).collect();
    let mut left = capacity.max(0.0);
    let mut open: Vec<&id::Plan> = asked.keys().copied().collect();
    for _ in 0..MOST_ROUNDS {
        let sum: f64 = open.iter().map(|it| weights[*it].max(0.0)).sum();
        if open.is_empty() || sum <= 0.0 {
            break;
        }
        let level = left / sum;
        let (full, rest): (Vec<&id::Plan>, Vec<&id::Plan>) =
            open.iter().partition(|it| asked[**it] <= level * weights[**it].max(0.0));
        let closing = if full.is_empty() { &rest } else { &full };
        for plan in closing {
            let amount = asked[*plan].min(level * weights[*plan].max(0.0));
            left -= amount;
            given.insert((*plan).clone(), amount);
        }
        open = if full.is_empty() { Vec::new() } else { rest };
    }
    let sum: f64 = weights.values().map(|it| it.max(0.0)).sum();
    for (plan, amount) in &mut given {
        *amount += left.max(0.0) * weights[plan].max(0.0) / sum.max(1e-9);
    }
    given
}

/// Splits each plan's entitlement over the hosts by their demand.
pub fn split(
    entitlements: &BTreeMap<id::Plan, f64>,
    hosts: &[id::Host],
    demands: &[Demand],
) -> BTreeMap<id::Host, BTreeMap<id::Plan, Share>> {
    let mut asked: HashMap<(&id::Host, &id::Plan), f64> = HashMap::new();
    let mut sums: HashMap<&id::Plan, f64> = HashMap::new();
    for demand in demands.iter().filter(|it| hosts.contains(&it.host)) {
        *asked.entry((&demand.host, &demand.plan)).or_default() += demand.rate.max(0.0);
        *sums.entry(&demand.plan).or_default() += demand.rate.max(0.0);
    }
    let even = 1.0 / hosts.len().max(1) as f64;
    let part = |host: &id::Host, plan: &id::Plan| {
        let sum = sums.get(plan).copied().unwrap_or(0.0);
        let own = asked.get(&(host, plan)).copied().unwrap_or(0.0);
        if sum <= 0.0 { even } else { EVEN_PART * even + (1.0 - EVEN_PART) * own / sum }
    };
    let shares = |host: &id::Host| {
        let it = entitlements.iter().map(|(plan, rate)| {
            let part = part(host, plan);
            (plan.clone(), Share { rate: rate * part, part })
        });
        it.collect()
    };
    hosts.iter().map(|host| (host.clone(), shares(host))).collect()
}
