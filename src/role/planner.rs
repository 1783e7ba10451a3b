//! Plans the roles of one model's engines in one group.

use std::collections::BTreeMap;

use crate::{
    clock::Moment,
    id,
    role::{Cause, Change, Config, Demand, Engine, History, Policy, Supply, View, ceil_fraction},
    target::{Action, Role},
};

/// All roles.
const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// Plans the roles of one model's engines in one group.
#[derive(Debug)]
pub struct Planner {
    config: Config,
    history: History,
    /// Time of the last planned change of each engine.
    changed_at: BTreeMap<id::Target, Moment>,
    /// Time of the last planned change of any engine.
    last_change: Option<Moment>,
}

/// A possible change of one engine's role, with its gain in engine-seconds.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    from: Role,
    to: Role,
    gain: f64,
}

impl Planner {
    /// Creates a planner without observed demand.
    pub fn new(config: Config) -> Planner {
        Planner {
            config,
            history: History::default(),
            changed_at: BTreeMap::new(),
            last_change: None,
        }
    }

    /// Returns the averages of the observed demand.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Observes the group and returns the changes to order now.
    pub fn plan(&mut self, view: &View, now: Moment) -> Vec<Change> {
        self.history.observe(view.demand, self.config.fast_window, self.config.slow_window, now);
        self.changed_at.retain(|target, _| view.engines.iter().any(|it| it.target == *target));
        let changes = match self.config.policy {
            Policy::Planned => self.planned(view, now).into_iter().collect(),
            Policy::Static => Vec::new(),
            Policy::Greedy => greedy(view),
        };
        for change in &changes {
            self.changed_at.insert(change.target.clone(), now);
            self.last_change = Some(now);
        }
        changes
    }

    /// Returns the change under [`Policy::Planned`], if any.
    fn planned(&self, view: &View, now: Moment) -> Option<Change> {
        let announced = view.engines.iter().any(|it| self.is_departing(it, now));
        if !self.may_change(view, now) {
            return None;
        }
        let candidate = self.best_candidate(view, now)?;
        let engine = self.least_loaded(view, candidate.from, now)?;
        let cause = if announced { Cause::Announced } else { Cause::Mix };
        Some(Change { target: engine.target.clone(), action: Action::Role(candidate.to), cause })
    }

    /// Returns whether another engine of the group may start a change.
    fn may_change(&self, view: &View, now: Moment) -> bool {
        let has_history = self.history.covers(self.config.slow_window / 2, now);
        let is_turn = self.is_turn(view, now);
        let cooled_down = self.last_change.is_none_or(|it| it + self.config.cooldown <= now);
        let changing = view.engines.iter().filter(|it| it.changing).count();
        let max_changing = ((view.engines.len() as f64 * self.config.max_changing) as usize).max(1);
        has_history && is_turn && cooled_down && changing < max_changing
    }

    /// Returns whether it is the group's turn. Turns are as long as the cooldown and keep groups
    /// from all reacting to the same shift at once.
    fn is_turn(&self, view: &View, now: Moment) -> bool {
        let turn_ns = self.config.cooldown.as_nanos().max(1);
        let position = now.as_nanos() / turn_ns % u128::from(view.rotation.groups.max(1));
        position == u128::from(view.rotation.position)
    }

    /// Returns whether the engine leaves within the lead time of an announced departure.
    fn is_departing(&self, engine: &Engine, now: Moment) -> bool {
        engine.leaves_at.is_some_and(|it| it <= now + self.config.departure_lead)
    }

    /// Returns the model's engines in all groups that serve and are not departing.
    fn supply(&self, view: &View, now: Moment) -> Supply {
        let staying = view.engines.iter().filter(|it| it.serving && !self.is_departing(it, now));
        staying.fold(view.other_groups, |supply, it| supply.with(it.role, 1.0))
    }

    /// Returns the role change of one engine with the largest gain, if any gains more than it
    /// costs.
    fn best_candidate(&self, view: &View, now: Moment) -> Option<Candidate> {
        let supply = self.supply(view, now);
        let total = supply.prefill + supply.decode + supply.mixed;
        let reserve = ceil_fraction(total as usize, self.config.mixed_reserve) as f64;
        let mut best: Option<Candidate> = None;
        for from in ROLES {
            let min_left = if from == Role::Mixed { reserve } else { 0.0 };
            let has_engine = view.engines.iter().any(|it| it.role == from);
            if !has_engine || supply.of(from) < min_left + 1.0 {
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

    /// Returns the engine-seconds gained, net of cost, by changing one engine's role; the smaller
    /// result of the fast and the slow average.
    fn gain(&self, supply: Supply, from: Role, to: Role) -> f64 {
        let fast = self.net_gain(supply, from, to, self.history.fast);
        let slow = self.net_gain(supply, from, to, self.history.slow);
        fast.min(slow)
    }

    /// Returns the engine-seconds gained, net of cost, by changing one engine's role at a demand.
    fn net_gain(&self, supply: Supply, from: Role, to: Role, demand: Demand) -> f64 {
        let demand = Demand {
            prefill: demand.prefill * self.config.prefill_headroom,
            decode: demand.decode * self.config.headroom,
        };
        let efficiency = self.config.mixed_efficiency;
        let without = supply.with(from, -1.0);
        let before = supply.served(demand, efficiency);
        let after = without.with(to, 1.0).served(demand, efficiency);
        let during = without.served(demand, efficiency);
        let lost = (before - during) * self.config.change_time.as_secs_f64();
        let cache_loss = match from {
            Role::Decode => 0.0,
            Role::Prefill | Role::Mixed => self.config.cache_loss.as_secs_f64(),
        };
        (after - before) * self.config.horizon.as_secs_f64()
            - self.config.margin * (lost + cache_loss)
    }

    /// Returns the engine in `role` with the fewest requests that may change its role now.
    fn least_loaded<'a>(&self, view: &'a View, role: Role, now: Moment) -> Option<&'a Engine> {
        let engines = view.engines.iter().filter(|it| {
            let settled =
                self.changed_at.get(&it.target).is_none_or(|at| *at + self.config.dwell <= now);
            it.role == role && it.serving && !it.changing && settled && !self.is_departing(it, now)
        });
        engines.min_by(|a, b| a.requests.cmp(&b.requests).then_with(|| a.target.cmp(&b.target)))
    }
}

/// Returns the changes that match the engines to the current ratio of prefill to decode work,
/// regardless of their cost.
fn greedy(view: &View) -> Vec<Change> {
    let mut engines: Vec<&Engine> = view.engines.iter().filter(|it| it.serving).collect();
    let sum = view.demand.sum();
    if engines.len() < 2 || sum <= 0.0 {
        return Vec::new();
    }
    let prefill_count = (engines.len() as f64 * view.demand.prefill / sum).round() as usize;
    let prefill_count = prefill_count.clamp(1, engines.len() - 1);
    engines.sort_by_key(|it| it.role != Role::Prefill);
    let roles =
        (0..engines.len()).map(|it| if it < prefill_count { Role::Prefill } else { Role::Decode });
    let mismatched =
        engines.iter().zip(roles).filter(|(it, role)| it.role != *role && !it.changing);
    let change = |(engine, role): (&&Engine, Role)| Change {
        target: engine.target.clone(),
        action: Action::Role(role),
        cause: Cause::Mix,
    };
    mismatched.map(change).collect()
}
