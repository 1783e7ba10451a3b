//! Each host's share of each plan. The coordinator, which is the lease holder of the first group
//! with engines, computes the shares from the demand of all hosts.

use std::collections::{BTreeMap, HashMap};

use fuchsiaknot_core::share::{self, Claim};

use crate::id;

/// Fraction of a plan's entitlement that is split evenly, so that a host without demand so far can
/// serve the plan at once.
const EVEN_FRACTION: f64 = 0.2;

/// One host's share of one plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Engine-seconds per second that the plan may use through this host.
    pub rate: f64,
    /// Fraction of the plan's limits that applies on this host, from 0 to 1.
    pub fraction: f64,
}

/// Demand of one plan at one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Host that reports the demand.
    pub host: id::Host,
    /// Plan of the requests.
    pub plan: id::Plan,
    /// Engine-seconds per second of the offered requests.
    pub rate: f64,
}

/// Splits `capacity` engine-seconds per second over the plans by weighted max-min fairness.
///
/// A plan whose demand is below its weighted part gets its demand; the rest is divided among the
/// other plans. Capacity beyond all demand is spread by weight, so that an idle plan is entitled to
/// some capacity when its demand begins.
pub fn entitlements(
    capacity: f64,
    weights: &HashMap<id::Plan, f64>,
    demands: &[Demand],
) -> BTreeMap<id::Plan, f64> {
    let mut demanded: BTreeMap<&id::Plan, f64> = weights.keys().map(|it| (it, 0.0)).collect();
    for demand in demands {
        if let Some(it) = demanded.get_mut(&demand.plan) {
            *it += demand.rate.max(0.0);
        }
    }
    let claims =
        demanded.iter().map(|(plan, demand)| Claim { weight: weights[*plan], demand: *demand });
    let level = share::level(capacity, claims);
    let amount = |plan: &id::Plan, demand: f64| match weights[plan].max(0.0) {
        0.0 => 0.0,
        weight => demand.min(level * weight),
    };
    let mut entitled: BTreeMap<id::Plan, f64> =
        demanded.iter().map(|(plan, demand)| ((*plan).clone(), amount(plan, *demand))).collect();
    let remaining = capacity - entitled.values().sum::<f64>();
    let sum: f64 = weights.values().map(|it| it.max(0.0)).sum();
    for (plan, amount) in &mut entitled {
        *amount += remaining.max(0.0) * weights[plan].max(0.0) / sum.max(1e-9);
    }
    entitled
}

/// Splits each plan's entitlement over `hosts`, mostly in proportion to their demand.
pub fn split(
    entitlements: &BTreeMap<id::Plan, f64>,
    hosts: &[id::Host],
    demands: &[Demand],
) -> BTreeMap<id::Host, BTreeMap<id::Plan, Share>> {
    let mut by_host: HashMap<(&id::Host, &id::Plan), f64> = HashMap::new();
    let mut totals: HashMap<&id::Plan, f64> = HashMap::new();
    for demand in demands.iter().filter(|it| hosts.contains(&it.host)) {
        *by_host.entry((&demand.host, &demand.plan)).or_default() += demand.rate.max(0.0);
        *totals.entry(&demand.plan).or_default() += demand.rate.max(0.0);
    }
    let even = 1.0 / hosts.len().max(1) as f64;
    let fraction = |host: &id::Host, plan: &id::Plan| {
        let total = totals.get(plan).copied().unwrap_or(0.0);
        let own = by_host.get(&(host, plan)).copied().unwrap_or(0.0);
        if total <= 0.0 { even } else { EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / total }
    };
    let shares = |host: &id::Host| {
        let it = entitlements.iter().map(|(plan, rate)| {
            let fraction = fraction(host, plan);
            (plan.clone(), Share { rate: rate * fraction, fraction })
        });
        it.collect()
    };
    hosts.iter().map(|host| (host.clone(), shares(host))).collect()
}
