//! Plans role and model changes of the engines in the groups whose lease this host holds, and
//! begins and ends the drains for announced changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{adapters::Authority, shares::ShareExchange};
use crate::{
    authority::{ENGINES_GROUP, GroupView, group_of},
    clock::Moment,
    configuration::Announcement,
    drain::Purpose,
    event,
    event::Event,
    id,
    role::{self, Change, Engine, Placement, Planner, Rotation, Supply},
    serve::Context,
    store::{Kind, Machine, State},
    target::{Action, Report},
};

/// Planner of one host for all groups that it holds.
pub(super) struct FleetPlanner {
    ctx: Arc<Context>,
    authority: Authority,
    exchange: Arc<ShareExchange>,
    state: Mutex<PlannerState>,
}

/// State kept between planning rounds; a group's state is dropped when its lease is lost.
#[derive(Debug, Default)]
struct PlannerState {
    planners: BTreeMap<Pool, Planner>,
    placements: BTreeMap<id::Group, Placement>,
}

/// The engines of one group that serve one model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Pool {
    group: id::Group,
    model: id::Model,
}

impl fmt::Debug for FleetPlanner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetPlanner").finish_non_exhaustive()
    }
}

impl FleetPlanner {
    pub(super) fn new(
        ctx: Arc<Context>,
        authority: Authority,
        exchange: Arc<ShareExchange>,
    ) -> FleetPlanner {
        FleetPlanner { ctx, authority, exchange, state: Mutex::default() }
    }

    /// Runs one planning round for all groups that this host holds.
    pub(super) fn run(&self, now: Moment) {
        let groups = self.authority.view().groups;
        let targets = self.ctx.fleet.targets();
        for group in groups.iter().filter(|it| it.held_here) {
            self.drain_announced(group, &targets);
        }
        let pools = self.pools(&groups, &targets, now);
        let held: BTreeSet<&id::Group> =
            groups.iter().filter(|it| it.held_here).map(|it| &it.group).collect();
        self.retain_state(&held);
        for group in held.into_iter().filter(|it| it.ends_with(ENGINES_GROUP)) {
            self.plan_roles(group, &pools, now);
            self.plan_models(group, &pools, now);
        }
    }

    /// Begins the drains of targets whose announced change is due, and ends announced drains whose
    /// announcement no longer exists or is no longer due.
    fn drain_announced(&self, group: &GroupView, targets: &[(Machine, Option<Report>)]) {
        let members = targets.iter().map(|(it, _)| it);
        for machine in members.filter(|it| group_of(it).as_ref() == Some(&group.group)) {
            let is_due = self.due_in(machine).is_some_and(|it| it.is_zero());
            let drain = group.drains.iter().find(|it| it.target == machine.name);
            let result = match drain {
                None if is_due => {
                    self.authority.begin_drain(&group.group, &machine.name, Purpose::Announced)
                }
                Some(it) if !is_due && it.is_announced() => {
                    self.authority.end_drain(&group.group, &machine.name)
                }
                _ => Ok(()),
            };
            if let Err(err) = result {
                log::debug!(
                    "cannot change the drain of {}, left to the lease holder: {err}",
                    machine.name
                );
            }
        }
    }

    /// Returns the time left until the next announced change that affects a target; zero if it is
    /// due.
    fn due_in(&self, machine: &Machine) -> Option<Duration> {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let configuration = self.ctx.configuration();
        let affects_machine = |it: &&Announcement| it.affects(&machine.name, &machine.data_centre);
        configuration
            .announcements
            .iter()
            .filter(affects_machine)
            .map(|it| it.due_in(unix_time))
            .min()
    }

    /// Returns the engines that have reported, by group and model.
    fn pools(
        &self,
        groups: &[GroupView],
        targets: &[(Machine, Option<Report>)],
        now: Moment,
    ) -> BTreeMap<Pool, Vec<Engine>> {
        let mut pools: BTreeMap<Pool, Vec<Engine>> = BTreeMap::new();
        for (machine, report) in targets {
            let (Kind::Engine(_), Some(name)) = (&machine.kind, group_of(machine)) else {
                continue;
            };
            let Some(report) = report else { continue };
            let group = groups.iter().find(|it| it.group == name);
            let Some(engine) = self.engine(machine, report, group, now) else { continue };
            let pool = Pool { group: name, model: report.serves.clone() };
            pools.entry(pool).or_default().push(engine);
        }
        pools
    }

    fn engine(
        &self,
        machine: &Machine,
        report: &Report,
        group: Option<&GroupView>,
        now: Moment,
    ) -> Option<Engine> {
        let order = group.and_then(|it| it.orders.iter().find(|it| it.target == machine.name));
        let drained = group.is_some_and(|it| it.drains.iter().any(|it| it.target == machine.name));
        let ordered_role = match order.map(|it| &it.action) {
            Some(Action::Role(role)) => Some(*role),
            _ => None,
        };
        let leaves_at = match machine.state {
            State::Leaving => Some(now),
            State::Live => self.due_in(machine).map(|it| now + it),
        };
        Some(Engine {
            target: machine.name.clone(),
            role: ordered_role.or(report.role)?,
            changing: drained || order.is_some(),
            serving: report.serving || order.is_some(),
            leaves_at,
            requests: report.running + report.queued,
        })
    }

    fn plan_roles(&self, group: &id::Group, pools: &BTreeMap<Pool, Vec<Engine>>, now: Moment) {
        for (pool, engines) in pools.iter().filter(|(pool, _)| pool.group == *group) {
            let view = role::View {
                engines: engines.clone(),
                demand: self.exchange.offered_load(&pool.model),
                other_groups: supply_in_other_groups(pool, pools),
                rotation: rotation(pool, pools),
            };
            let new_planner = || Planner::new(self.ctx.settings.decisions.role_config());
            let mut state = self.state();
            let planner = state.planners.entry(pool.clone()).or_insert_with(new_planner);
            let changes = planner.plan(&view, now);
            drop(state);
            for change in changes {
                self.request_change(group, &change);
            }
        }
    }

    /// Requests the change of an engine to another model if demand has shifted between models.
    fn plan_models(&self, group: &id::Group, pools: &BTreeMap<Pool, Vec<Engine>>, now: Moment) {
        let models: Vec<role::Model> = pools
            .iter()
            .filter(|(pool, _)| pool.group == *group)
            .map(|(pool, engines)| role::Model {
                name: pool.model.clone(),
                engines: engines.clone(),
                demand: self.exchange.offered_load(&pool.model),
                loading: engines.iter().filter(|it| it.changing).count(),
            })
            .collect();
        if models.len() < 2 {
            return;
        }
        let new_planner = || Placement::new(self.ctx.settings.decisions.role_config());
        let mut state = self.state();
        let placement = state.placements.entry(group.clone()).or_insert_with(new_planner);
        let change = placement.plan(&models, now);
        drop(state);
        if let Some(change) = change {
            self.request_change(group, &change);
        }
    }

    fn request_change(&self, group: &id::Group, change: &Change) {
        let Change { target, action, cause } = change;
        match self.authority.request_change(group, target, action.clone()) {
            Ok(()) => {
                self.ctx.metrics.add(&format!("role.{}", cause.code()), 1);
                event!(
                    Event::ChangePlanned,
                    "planned change of {target} in {group} to {action:?}: {cause:?}"
                );
            }
            Err(err) => log::debug!(
                "cannot request the change of {target}, left to the lease holder: {err}"
            ),
        }
    }

    fn retain_state(&self, held: &BTreeSet<&id::Group>) {
        let mut state = self.state();
        state.planners.retain(|pool, _| held.contains(&pool.group));
        state.placements.retain(|group, _| held.contains(group));
    }

    fn state(&self) -> MutexGuard<'_, PlannerState> {
        self.state.lock().expect("planner lock poisoned")
    }
}

/// Returns the serving engines of a pool's model in the other groups.
fn supply_in_other_groups(own: &Pool, pools: &BTreeMap<Pool, Vec<Engine>>) -> Supply {
    let others = pools.iter().filter(|(it, _)| it.model == own.model && it.group != own.group);
    let engines = others.flat_map(|(_, engines)| engines).filter(|it| it.serving);
    engines.fold(Supply::default(), |sum, it| sum.with(it.role, 1.0))
}

/// Returns the position of a pool among the pools of the same model.
fn rotation(own: &Pool, pools: &BTreeMap<Pool, Vec<Engine>>) -> Rotation {
    let same_model: Vec<&Pool> = pools.keys().filter(|it| it.model == own.model).collect();
    let position = same_model.iter().position(|it| *it == own).unwrap_or_default();
    let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
    Rotation { position: count(position), groups: count(same_model.len().max(1)) }
}
