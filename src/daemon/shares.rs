//! Each host's part of each plan's share, and the work that all hosts are asked for.
//!
//! Hosts send what they are asked for to the holder of the first group, which splits the fleet's
//! engine time and answers with the host's part and the work of all hosts together.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use super::adapters::Authority;
use crate::{
    admit::share::{self, Demand, Share},
    authority::ENGINES_GROUP,
    clock,
    clock::Moment,
    id,
    link::peer::wire::{self, Demands, Shares},
    role,
    serve::Context,
};

/// Time after which a host's last word no longer counts.
const DEMAND_LIFETIME: Duration = Duration::from_secs(3);

/// Exchanges demands and shares with the other hosts.
#[derive(Debug)]
pub(super) struct ShareExchange {
    ctx: Arc<Context>,
    authority: Authority,
    received: Mutex<BTreeMap<id::Host, ReceivedDemands>>,
    fleet_demand: Mutex<HashMap<id::Model, role::Demand>>,
}

/// What a host last said.
#[derive(Debug, Clone)]
struct ReceivedDemands {
    at: Moment,
    demands: Demands,
}

impl ShareExchange {
    pub(super) fn new(ctx: Arc<Context>, authority: Authority) -> ShareExchange {
        ShareExchange { ctx, authority, received: Mutex::default(), fleet_demand: Mutex::default() }
    }

    /// Sends this host's demand to the coordinator and takes its answer over.
    pub(super) fn run(&self) {
        let Some(group) = self.coordinating_group() else { return };
        let Some(shares) = self.request_shares(&group) else { return };
        let plans = shares.plans.iter().map(|it| (it.plan.clone(), Share::from(it))).collect();
        self.ctx.admission.with(|admission, now| admission.set_shares(&plans, now));
        let work = shares.offered_load.into_iter();
        let work = work.map(|it| {
            let demand = role::Demand { prefill: it.prefill, decode: it.decode };
            (it.model, demand)
        });
        *self.fleet_demand.lock().expect("work lock poisoned") = work.collect();
    }

    /// Returns the work of a model that all hosts together are asked for.
    pub(super) fn fleet_demand(&self, model: &str) -> role::Demand {
        self.fleet_demand
            .lock()
            .expect("work lock poisoned")
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Answers a host if this one coordinates.
    pub(super) fn answer_demands(&self, demands: Demands) -> Option<Shares> {
        if self.authority.holder(&demands.group).as_ref() != Some(&self.ctx.settings.host.name) {
            return None;
        }
        let host = demands.host.clone();
        let all = self.record_demands(demands);
        Some(self.host_shares(&host, &all))
    }

    /// Returns the group whose holder coordinates: the first one with engines.
    fn coordinating_group(&self) -> Option<id::Group> {
        let groups = self.authority.view().groups.into_iter();
        groups.map(|it| it.group).find(|it| it.ends_with(ENGINES_GROUP))
    }

    fn request_shares(&self, group: &id::Group) -> Option<Shares> {
        let demands = self.own_demands(group);
        let holder = self.authority.holder(group)?;
        if holder == self.ctx.settings.host.name {
            return self.answer_demands(demands);
        }
        let address = self.ctx.members.peer_address(&holder)?;
        self.ctx.members.links().shares(address, demands).ok()?
    }

    fn own_demands(&self, group: &id::Group) -> Demands {
        let plans = self.ctx.admission.with(|admission, now| admission.demand(now)).into_iter();
        let work = self.ctx.fleet.lock_router().offered_load(clock::now()).into_iter();
        Demands {
            host: self.ctx.settings.host.name.clone(),
            group: group.clone(),
            plans: plans.map(|(plan, rate)| wire::Demand { plan, rate }).collect(),
            offered_load: work
                .map(|it| wire::OfferedLoad {
                    model: it.name,
                    prefill: it.prefill,
                    decode: it.decode,
                })
                .collect(),
        }
    }

    /// Notes what a host said and returns what all hosts said lately.
    fn record_demands(&self, demands: Demands) -> Vec<Demands> {
        let now = clock::now();
        let mut received = self.received.lock().expect("demand lock poisoned");
        received.retain(|_, it| now.saturating_sub(it.at) < DEMAND_LIFETIME);
        received.insert(demands.host.clone(), ReceivedDemands { at: now, demands });
        received.values().map(|it| it.demands.clone()).collect()
    }

    fn host_shares(&self, host: &id::Host, all: &[Demands]) -> Shares {
        let contract = self.ctx.configuration();
        let weights = contract.limits.iter().map(|(plan, it)| (plan.clone(), it.weight)).collect();
        let demands: Vec<Demand> = all.iter().flat_map(plan_demands).collect();
        let hosts: Vec<id::Host> = all.iter().map(|it| it.host.clone()).collect();
        let entitled = share::entitlements(self.capacity(), &weights, &demands);
        let mut split = share::split(&entitled, &hosts, &demands);
        let plans = split.remove(host).unwrap_or_default().into_iter();
        let plans =
            plans.map(|(plan, it)| wire::Share { plan, rate: it.rate, fraction: it.fraction });
        Shares { plans: plans.collect(), offered_load: total_work(all) }
    }

    /// Returns the engine seconds that the fleet gives in a second.
    fn capacity(&self) -> f64 {
        let targets = self.ctx.fleet.targets();
        let serving = targets
            .iter()
            .filter(|(_, report)| report.as_ref().is_some_and(|it| it.role.is_some() && it.serving))
            .count();
        serving as f64
    }
}

fn plan_demands(it: &Demands) -> impl Iterator<Item = Demand> + '_ {
    let demand = |plan: &wire::Demand| Demand {
        host: it.host.clone(),
        plan: plan.plan.clone(),
        rate: plan.rate,
    };
    it.plans.iter().map(demand)
}

/// Adds up the work of all hosts by model.
fn total_work(all: &[Demands]) -> Vec<wire::OfferedLoad> {
    let mut total: BTreeMap<&id::Model, (f64, f64)> = BTreeMap::new();
    for work in all.iter().flat_map(|it| &it.offered_load) {
        let sum = total.entry(&work.model).or_default();
        sum.0 += work.prefill;
        sum.1 += work.decode;
    }
    let work = |(model, (prefill, decode)): (&id::Model, (f64, f64))| wire::OfferedLoad {
        model: model.clone(),
        prefill,
        decode,
    };
    total.into_iter().map(work).collect()
}

impl From<&wire::Share> for Share {
    fn from(it: &wire::Share) -> Share {
        Share { rate: it.rate, fraction: it.fraction }
    }
}
