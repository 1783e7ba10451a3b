//! Which model each engine of a group serves.

use std::collections::BTreeMap;

use crate::{
    clock::Moment,
    id,
    role::{Cause, Change, Config, Demand, Engine, History},
    target::Action,
};

/// Engines and demand of one model in a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: id::Model,
    /// Engines that serve the model.
    pub engines: Vec<Engine>,
    /// Demand for the model.
    pub demand: Demand,
    /// Number of engines that are loading the model.
    pub loading: usize,
}

/// Moves engines between the models of one group.
#[derive(Debug)]
pub struct Placement {
    config: Config,
    histories: BTreeMap<id::Model, History>,
    /// Time of the last planned change of each engine.
    changed_at: BTreeMap<id::Target, Moment>,
}

impl Placement {
    /// Creates a placement without observed demand.
    pub fn new(config: Config) -> Placement {
        Placement { config, histories: BTreeMap::new(), changed_at: BTreeMap::new() }
    }

    /// Observes all models of the group and returns the model load with the largest gain, if any
    /// gains more than it costs.
    pub fn plan(&mut self, models: &[Model], now: Moment) -> Option<Change> {
        self.observe(models, now);
        let loading: usize = models.iter().map(|it| it.loading).sum();
        if self.config.max_loads <= loading {
            return None;
        }
        let mut best: Option<(f64, &Model, &Model)> = None;
        for from in models.iter().filter(|it| 1 < it.engines.len()) {
            for to in models.iter().filter(|it| it.name != from.name) {
                let gain = self.gain(from, to, now);
                if 0.0 < gain && best.is_none_or(|it| it.0 < gain) {
                    best = Some((gain, from, to));
                }
            }
        }
        let (_, from, to) = best?;
        let engine = self.least_loaded(from, now)?;
        self.changed_at.insert(engine.target.clone(), now);
        let action = Action::Model(to.name.clone());
        Some(Change { target: engine.target.clone(), action, cause: Cause::Model })
    }

    fn observe(&mut self, models: &[Model], now: Moment) {
        self.histories.retain(|name, _| models.iter().any(|it| it.name == *name));
        for model in models {
            let history = self.histories.entry(model.name.clone()).or_default();
            history.observe(model.demand, self.config.slow_window, self.config.horizon, now);
        }
        let known = |target: &id::Target| {
            models.iter().any(|it| it.engines.iter().any(|engine| engine.target == *target))
        };
        self.changed_at.retain(|target, _| known(target));
    }

    /// Returns the engine-seconds gained, net of cost, by moving one engine; the smaller result of
    /// the fast and the slow average.
    fn gain(&self, from: &Model, to: &Model, now: Moment) -> f64 {
        let Some((from_history, to_history)) =
            self.histories.get(&from.name).zip(self.histories.get(&to.name))
        else {
            return 0.0;
        };
        if !from_history.covers(self.config.slow_window, now)
            || !to_history.covers(self.config.slow_window, now)
        {
            return 0.0;
        }
        let fast = self.net_gain(from, to, from_history.fast.sum(), to_history.fast.sum());
        let slow = self.net_gain(from, to, from_history.slow.sum(), to_history.slow.sum());
        fast.min(slow)
    }

    /// Returns the engine-seconds gained, net of cost, by moving one engine at given demands.
    fn net_gain(&self, from: &Model, to: &Model, from_demand: f64, to_demand: f64) -> f64 {
        let serving = |it: &Model| it.engines.iter().filter(|it| it.serving).count() as f64;
        let headroom = self.config.headroom;
        let (from_demand, to_demand) = (from_demand * headroom, to_demand * headroom);
        let (from_supply, to_supply) = (serving(from), serving(to) + to.loading as f64);
        let lost = from_demand.min(from_supply) - from_demand.min(from_supply - 1.0);
        let gained = to_demand.min(to_supply + 1.0) - to_demand.min(to_supply);
        let load_time = self.config.load_time.as_secs_f64();
        // A model load takes much longer than a role change, so it gets more time to pay for
        // itself.
        let horizon = self.config.horizon.as_secs_f64() + load_time;
        (gained - lost) * horizon - self.config.margin * load_time * lost.max(gained * 0.1)
    }

    /// Returns the engine with the fewest requests that may change to another model now.
    fn least_loaded<'a>(&self, model: &'a Model, now: Moment) -> Option<&'a Engine> {
        let dwell = self.config.dwell.max(self.config.load_time);
        let engines = model.engines.iter().filter(|it| {
            let settled = self.changed_at.get(&it.target).is_none_or(|at| *at + dwell <= now);
            it.serving && !it.changing && it.leaves_at.is_none() && settled
        });
        engines.min_by(|a, b| a.requests.cmp(&b.requests).then_with(|| a.target.cmp(&b.target)))
    }
}
