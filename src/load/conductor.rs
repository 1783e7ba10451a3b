//! Runs the planner and the shares for all hosts of a run.
//!
//! The hosts' decisions are the daemon's own; what the holder of a group would gather over peer links
//! and order under its lease is done here in process.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    admit::share::{self, Demand},
    clock,
    clock::Moment,
    id,
    load::{
        Scenario,
        cluster::{Cluster, MODEL},
    },
    role::{self, Change, Engine, Planner, Supply, Turn, View},
    settings::{Decisions, Policy},
    target::{Action, Control, Fence, Order, Receipt, Report, Role},
};

/// Time between two rounds.
pub(super) const PERIOD: Duration = Duration::from_millis(100);

/// Plans for all groups and carries the changes out.
pub(super) struct Conductor {
    planners: BTreeMap<id::DataCentre, Planner>,
    pending: Vec<Pending>,
    leaving: HashMap<id::Target, Moment>,
    sequence: id::Sequence,
    weights: HashMap<id::Plan, f64>,
    capacity: f64,
    /// Changes ordered so far.
    pub(super) changes: u32,
    /// Engines by role at the last round.
    pub(super) roles: [u32; 3],
}

/// A change that is being carried out.
struct Pending {
    target: id::Target,
    role: Role,
    begun: Moment,
    ordered: bool,
}

impl Conductor {
    pub(super) fn new(scenario: &Scenario, policy: Policy) -> Conductor {
        let decisions =
            Decisions { policy: policy.name().into(), time_scale: scenario.run.time_scale };
        let planner = |it: &id::DataCentre| (it.clone(), Planner::new(decisions.role()));
        let weights = scenario.plans.iter().map(|(name, it)| (name.clone(), it.weight));
        Conductor {
            planners: scenario.fleet.data_centres.iter().map(planner).collect(),
            pending: Vec::new(),
            leaving: HashMap::new(),
            sequence: 0,
            weights: weights.collect(),
            capacity: f64::from(scenario.fleet.engines),
            changes: 0,
            roles: [0; 3],
        }
    }

    /// Announces that an engine leaves.
    pub(super) fn announce(&mut self, target: &str, at: Moment) {
        self.leaving.insert(target.into(), at);
    }

    /// Does one round.
    pub(super) fn round(&mut self, cluster: &Cluster) {
        let now = clock::now();
        self.share_out(cluster, now);
        let reports = self.reports(cluster);
        self.advance(cluster, &reports, now);
        self.plan(cluster, &reports, now);
        for (target, at) in &self.leaving {
            if *at <= now {
                cluster.with_daemons(|_, it| it.context().fleet.route().drain(target, true));
            }
        }
    }

    /// Gives each host its part of each plan's share.
    fn share_out(&self, cluster: &Cluster, now: Moment) {
        let mut hosts: Vec<id::Host> = Vec::new();
        let mut demands = Vec::new();
        cluster.with_daemons(|number, it| {
            let host = SmolStr::from(number.to_string());
            let asked = it.context().gate.with(|admission, _| admission.demand(now));
            demands.extend(asked.into_iter().map(|(plan, rate)| Demand {
                host: host.clone(),
                plan,
                rate,
            }));
            hosts.push(host);
        });
        let entitled = share::entitlements(self.capacity, &self.weights, &demands);
        let split = share::split(&entitled, &hosts, &demands);
        cluster.with_daemons(|number, it| {
            let Some(shares) = split.get(number.to_string().as_str()) else { return };
            let shares = shares.iter().map(|(plan, it)| (plan.clone(), *it)).collect();
            it.context().gate.with(|admission, now| admission.shares(&shares, now));
        });
    }

    /// Returns the newest reports of the engines, as the first running host knows them.
    fn reports(&self, cluster: &Cluster) -> HashMap<id::Target, Report> {
        let known = cluster.with_daemons(|_, it| it.context().fleet.targets());
        let known = known.into_iter().next().unwrap_or_default();
        known.into_iter().filter_map(|(it, report)| Some((it.name, report?))).collect()
    }

    fn plan(&mut self, cluster: &Cluster, reports: &HashMap<id::Target, Report>, now: Moment) {
        let mut demand = role::Demand::default();
        cluster.with_daemons(|_, it| {
            let work = it.context().fleet.route().work(now);
            for work in work.into_iter().filter(|it| it.name == MODEL) {
                demand.prefill += work.prefill;
                demand.decode += work.decode;
            }
        });
        self.roles = [0; 3];
        let loads: Vec<String> = cluster
            .engines
            .iter()
            .filter_map(|(name, _, _)| {
                let it = reports.get(name)?;
                Some(format!("{:?} {}+{} {}t", it.role?, it.running, it.queued, it.queued_tokens))
            })
            .collect();
        log::debug!("demand {demand:?} {}", loads.join(" | "));
        let views = self.views(cluster, reports, demand);
        for view in &views {
            self.roles = [0, 1, 2].map(|it| self.roles[it] + count(view)[it]);
        }
        let mut changes = Vec::new();
        for (planner, view) in self.planners.values_mut().zip(&views) {
            let planned = planner.plan(view, now);
            if !planned.is_empty() {
                log::info!("{:?} leads to {planned:?}", planner.history());
            }
            changes.extend(planned);
        }
        for change in changes {
            self.begin(cluster, change, now);
        }
    }

    /// Returns the groups as their holders see them, by data centre.
    fn views(
        &self,
        cluster: &Cluster,
        reports: &HashMap<id::Target, Report>,
        demand: role::Demand,
    ) -> Vec<View> {
        let groups = self.planners.len() as u32;
        let view = |(place, data_centre): (u32, &id::DataCentre)| {
            let members = cluster.engines.iter().filter(|it| it.1 == *data_centre);
            let engines = members.filter_map(|(name, _, _)| {
                engine(name, reports.get(name)?, &self.pending, &self.leaving)
            });
            let turn = Turn { place, groups };
            View { engines: engines.collect(), demand, turn, ..View::default() }
        };
        let mut views: Vec<View> = (0..groups).zip(self.planners.keys()).map(view).collect();
        let counts: Vec<[u32; 3]> = views.iter().map(count).collect();
        for (place, view) in views.iter_mut().enumerate() {
            let others = counts.iter().enumerate().filter(|it| it.0 != place);
            let sum =
                others.fold([0; 3], |sum, (_, it)| [0, 1, 2].map(|role| sum[role] + it[role]));
            let [prefill, decode, mixed] = sum.map(f64::from);
            view.elsewhere = Supply { prefill, decode, mixed };
        }
        views
    }

    /// Begins a drain on all hosts.
    fn begin(&mut self, cluster: &Cluster, change: Change, now: Moment) {
        let Action::Role(role) = change.action else { return };
        cluster.with_daemons(|_, it| it.context().fleet.route().drain(&change.target, true));
        self.changes += 1;
        self.pending.push(Pending { target: change.target, role, begun: now, ordered: false });
    }

    /// Orders changes whose engine is empty, and opens engines whose change is complete.
    fn advance(&mut self, cluster: &Cluster, reports: &HashMap<id::Target, Report>, now: Moment) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain_mut(|it| {
            let Some(report) = reports.get(&it.target) else { return false };
            if !it.ordered {
                let empty = report.running == 0 && report.queued == 0;
                if empty && it.begun + report.age + 2 * PERIOD < now {
                    it.ordered = self.order(cluster, it);
                }
                return true;
            }
            let done = report.role == Some(it.role) && report.serving;
            if done && !self.leaving.contains_key(&it.target) {
                cluster.with_daemons(|_, host| {
                    host.context().fleet.route().drain(&it.target, false);
                });
            }
            !done
        });
        self.pending = pending;
    }

    fn order(&mut self, cluster: &Cluster, pending: &Pending) -> bool {
        self.sequence += 1;
        let order = Order {
            fence: Fence { epoch: 1, sequence: self.sequence },
            holder: SmolStr::new_static("host-0"),
            action: Action::Role(pending.role),
        };
        let client = cluster.with_daemons(|_, it| it.context().fleet.client(&pending.target));
        let Some(client) = client.into_iter().flatten().next() else { return false };
        matches!(client.order(&order, || true), Ok(Receipt::Accepted))
    }
}

/// Counts the serving engines of a group by role: prefill, decode, mixed.
fn count(view: &View) -> [u32; 3] {
    let mut counts = [0; 3];
    for engine in view.engines.iter().filter(|it| it.serving) {
        counts[engine.role as usize] += 1;
    }
    counts
}

fn engine(
    name: &id::Target,
    report: &Report,
    pending: &[Pending],
    leaving: &HashMap<id::Target, Moment>,
) -> Option<Engine> {
    let change = pending.iter().find(|it| it.target == *name);
    Some(Engine {
        target: name.clone(),
        role: change.map(|it| it.role).or(report.role)?,
        changing: change.is_some(),
        serving: report.serving || change.is_some(),
        leaves: leaving.get(name).copied(),
        running: report.running + report.queued,
    })
}
