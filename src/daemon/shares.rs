//! Exchange of demand and shares with the coordinator, the lease holder of the first group of
//! engines.
//!
//! Each host sends its demand to the coordinator. The coordinator splits the fleet's engine time
//! and answers with the host's share of each plan and the offered load of all hosts together.

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

/// Time for which the coordinator counts a host's last demand.
const DEMAND_LIFETIME: Duration = Duration::from_secs(3);

/// Exchanges demands and shares with the other hosts.
#[derive(Debug)]
pub(super) struct ShareExchange {
    ctx: Arc<Context>,
    authority: Authority,
    /// Last demand of each host, if this host coordinates.
    received: Mutex<BTreeMap<id::Host, ReceivedDemands>>,
    /// Offered load of each model on all hosts, from the coordinator's last answer.
    offered_load: Mutex<HashMap<id::Model, role::Demand>>,
}

/// The last demand of a host.
#[derive(Debug, Clone)]
struct ReceivedDemands {
    received_at: Moment,
    demands: Demands,
}

impl ShareExchange {
    pub(super) fn new(ctx: Arc<Context>, authority: Authority) -> ShareExchange {
        ShareExchange { ctx, authority, received: Mutex::default(), offered_load: Mutex::default() }
    }

    /// Sends this host's demand to the coordinator and applies its answer.
    pub(super) fn run(&self) {
        let Some(group) = self.coordinating_group() else { return };
        let Some(shares) = self.request_shares(&group) else { return };
        let plans = shares.plans.iter().map(|it| (it.plan.clone(), Share::from(it))).collect();
        self.ctx.admission.with(|admission, now| admission.set_shares(&plans, now));
        let offered_load = shares.offered_load.into_iter();
        let offered_load = offered_load.map(|it| {
            let demand = role::Demand { prefill: it.prefill, decode: it.decode };
            (it.model, demand)
        });
        *self.offered_load.lock().expect("offered load lock poisoned") = offered_load.collect();
    }

    /// Returns the offered load of a model on all hosts together.
    pub(super) fn offered_load(&self, model: &str) -> role::Demand {
        self.offered_load
            .lock()
            .expect("offered load lock poisoned")
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the shares for a host's demand, or `None` if this host is not the coordinator.
    pub(super) fn answer_demands(&self, demands: Demands) -> Option<Shares> {
        if self.authority.holder(&demands.group).as_ref() != Some(&self.ctx.settings.host.name) {
            return None;
        }
        let host = demands.host.clone();
        let all = self.record_demands(demands);
        Some(self.host_shares(&host, &all))
    }

    /// Returns the group whose lease holder coordinates: the first group of engines.
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
        let offered_load = self.ctx.fleet.lock_router().offered_load(clock::now()).into_iter();
        Demands {
            host: self.ctx.settings.host.name.clone(),
            group: group.clone(),
            plans: plans.map(|(plan, rate)| wire::Demand { plan, rate }).collect(),
            offered_load: offered_load
                .map(|it| wire::OfferedLoad {
                    model: it.name,
                    prefill: it.prefill,
                    decode: it.decode,
                })
                .collect(),
        }
    }

    /// Records a host's demand and returns the current demand of all hosts.
    fn record_demands(&self, demands: Demands) -> Vec<Demands> {
        let now = clock::now();
        let mut received = self.received.lock().expect("demand lock poisoned");
        received.retain(|_, it| now.saturating_sub(it.received_at) < DEMAND_LIFETIME);
        received.insert(demands.host.clone(), ReceivedDemands { received_at: now, demands });
        received.values().map(|it| it.demands.clone()).collect()
    }

    fn host_shares(&self, host: &id::Host, all: &[Demands]) -> Shares {
        let configuration = self.ctx.configuration();
        let weights =
            configuration.limits.iter().map(|(plan, it)| (plan.clone(), it.weight)).collect();
        let demands: Vec<Demand> = all.iter().flat_map(plan_demands).collect();
        let hosts: Vec<id::Host> = all.iter().map(|it| it.host.clone()).collect();
        let entitled = share::entitlements(self.capacity(), &weights, &demands);
        let mut shares_by_host = share::split(&entitled, &hosts, &demands);
        let plans = shares_by_host.remove(host).unwrap_or_default().into_iter();
        let plans =
            plans.map(|(plan, it)| wire::Share { plan, rate: it.rate, fraction: it.fraction });
        Shares { plans: plans.collect(), offered_load: total_offered_load(all) }
    }

    /// Returns the fleet's capacity in engine-seconds per second: the number of serving engines.
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

/// Returns the offered load of each model, summed over all hosts.
fn total_offered_load(all: &[Demands]) -> Vec<wire::OfferedLoad> {
    let mut total: BTreeMap<&id::Model, (f64, f64)> = BTreeMap::new();
    for load in all.iter().flat_map(|it| &it.offered_load) {
        let sum = total.entry(&load.model).or_default();
        sum.0 += load.prefill;
        sum.1 += load.decode;
    }
    let offered_load = |(model, (prefill, decode)): (&id::Model, (f64, f64))| wire::OfferedLoad {
        model: model.clone(),
        prefill,
        decode,
    };
    total.into_iter().map(offered_load).collect()
}

impl From<&wire::Share> for Share {
    fn from(it: &wire::Share) -> Share {
        Share { rate: it.rate, fraction: it.fraction }
    }
}
