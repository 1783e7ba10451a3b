//! The planner of one group's roles.

use std::collections::BTreeMap;

use crate::{
    clock::Moment,
    id,
    role::{Cause, Change, Config, Demand, Engine, History, Policy, Supply, View, part_of},
    target::{Action, Role},
};

/// Every role.
const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// Plans the roles of one group.
#[derive(Debug)]
pub struct Planner {
    config: Config,
    history: History,
    changed: BTreeMap<id::Target, Moment>,
    last_change: Option<Moment>,
}

/// A change of one engine's role that may pay.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    from: Role,
    to: Role,
    gain: f64,
}

impl Planner {
    /// Creates a planner that has seen no demand.
    pub fn new(config: Config) -> Planner {
        Planner { config, history: History::default(), changed: BTreeMap::new(), last_change: None }
    }

    /// Returns the demand as it was observed.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Takes in the present view of the group and returns the changes to order now.
    pub fn plan(&mut self, view: &View, now: Moment) -> Vec<Change> {
        self.history.observe(view.demand, self.config.fast, self.config.slow, now);
        self.changed.retain(|target, _| view.engines.iter().any(|it| it.target == *target));
        let changes = match self.config.policy {
            Policy::Planned => self.planned(view, now).into_iter().collect(),
            Policy::Static => Vec::new(),
            Policy::Greedy => greedy(view),
        };
        for change in &changes {
            self.changed.insert(change.target.clone(), now);
            self.last_change = Some(now);
        }
        changes
    }

    fn planned(&self, view: &View, now: Moment) -> Option<Change> {
        let announced = view.engines.iter().any(|it| self.departing(it, now));
        if !self.may_change(view, now) {
            return None;
        }
        let option = self.best(view, now)?;
        let engine = self.emptiest(view, option.from, now)?;
        let cause = if announced { Cause::Announced } else { Cause::Mix };
        Some(Change { target: engine.target.clone(), action: Action::Role(option.to), cause })
    }

    /// Returns whether another engine of the group may begin a change.
    fn may_change(&self, view: &View, now: Moment) -> bool {
        let seen = self.history.covers(self.config.slow / 2, now);
        let turn = self.is_turn(view, now);
        let rested = self.last_change.is_none_or(|it| it + self.config.pause <= now);
        let changing = view.engines.iter().filter(|it| it.changing).count();
        let most = ((view.engines.len() as f64 * self.config.changing) as usize).max(1);
        seen && turn && rested && changing < most
    }

    /// Returns whether it is the group's turn, so that groups do not answer one shift all at once.
    fn is_turn(&self, view: &View, now: Moment) -> bool {
        let length = self.config.pause.as_nanos().max(1);
        let turn = now.as_nanos() / length % u128::from(view.turn.groups.max(1));
        turn == u128::from(view.turn.place)
    }

    /// Returns whether an announced departure is near enough to be prepared.
    fn departing(&self, engine: &Engine, now: Moment) -> bool {
        engine.leaves.is_some_and(|it| it <= now + self.config.prepare)
    }

    fn supply(&self, view: &View, now: Moment) -> Supply {
        let staying = view.engines.iter().filter(|it| it.serving && !self.departing(it, now));
        staying.fold(view.elsewhere, |supply, it| supply.with(it.role, 1.0))
    }

    /// Returns the change of one engine that gains most, if any pays.
    fn best(&self, view: &View, now: Moment) -> Option<Candidate> {
        let supply = self.supply(view, now);
        let all = supply.prefill + supply.decode + supply.mixed;
        let reserve = part_of(all as usize, self.config.reserve) as f64;
        let mut best: Option<Candidate> = None;
        for from in ROLES {
            let least = if from == Role::Mixed { reserve } else { 0.0 };
            let here = view.engines.iter().any(|it| it.role == from);
            if !here || supply.of(from) < least + 1.0 {
                continue;
            }
            for to in ROLES.into_iter().filter(|it| *it != from) {
                let gain = self.gain(supply, from, to);
                if 0.0 < gain && best.is_none_or(|it| it.gain < gain) {
                    best = Some(Candidate { from, to, gain });
                }
            }
        }
        best
    }

    /// Returns the engine seconds that a change gains after its cost, by the worse average.
    fn gain(&self, supply: Supply, from: Role, to: Role) -> f64 {
        let fast = self.net_gain(supply, from, to, self.history.fast);
        let slow = self.net_gain(supply, from, to, self.history.slow);
        fast.min(slow)
    }

    fn net_gain(&self, supply: Supply, from: Role, to: Role, demand: Demand) -> f64 {
        let demand = Demand {
            prefill: demand.prefill * self.config.prefill_headroom,
            decode: demand.decode * self.config.headroom,
        };
        let efficiency = self.config.mixed_efficiency;
        let without = supply.with(from, -1.0);
        let now = supply.served(demand, efficiency);
        let after = without.with(to, 1.0).served(demand, efficiency);
        let away = without.served(demand, efficiency);
        let lost = (now - away) * self.config.away.as_secs_f64();
        let cache = match from {
            Role::Decode => 0.0,
            Role::Prefill | Role::Mixed => self.config.cache_loss.as_secs_f64(),
        };
        (after - now) * self.config.horizon.as_secs_f64() - self.config.margin * (lost + cache)
    }

    /// Returns the engine in a role that holds least and has kept its role long enough.
    fn emptiest<'a>(&self, view: &'a View, role: Role, now: Moment) -> Option<&'a Engine> {
        let engines = view.engines.iter().filter(|it| {
            let settled =
                self.changed.get(&it.target).is_none_or(|at| *at + self.config.dwell <= now);
            it.role == role && it.serving && !it.changing && settled && !self.departing(it, now)
        });
        engines.min_by(|a, b| a.running.cmp(&b.running).then_with(|| a.target.cmp(&b.target)))
    }
}

/// Follows the ratio of the moment without looking at what a change costs.
fn greedy(view: &View) -> Vec<Change> {
    let mut engines: Vec<&Engine> = view.engines.iter().filter(|it| it.serving).collect();
    let sum = view.demand.sum();
    if engines.len() < 2 || sum <= 0.0 {
        return Vec::new();
    }
    let wanted = (engines.len() as f64 * view.demand.prefill / sum).round() as usize;
    let wanted = wanted.clamp(1, engines.len() - 1);
    engines.sort_by_key(|it| it.role != Role::Prefill);
    let roles = (0..engines.len()).map(|it| if it < wanted { Role::Prefill } else { Role::Decode });
    let wrong = engines.iter().zip(roles).filter(|(it, role)| it.role != *role && !it.changing);
    let change = |(engine, role): (&&Engine, Role)| Change {
        target: engine.target.clone(),
        action: Action::Role(role),
        cause: Cause::Mix,
    };
    wrong.map(change).collect()
}
