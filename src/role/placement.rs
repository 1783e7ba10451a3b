//! Which model an engine of a data centre serves.

use std::collections::BTreeMap;

use crate::{
    clock::Moment,
    id,
    role::{Cause, Change, Config, Demand, Engine, History},
    target::Action,
};

/// One model's engines and demand in a data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name.
    pub model: id::Model,
    /// Its engines.
    pub engines: Vec<Engine>,
    /// Work asked of them.
    pub demand: Demand,
    /// Engines that are loading it now.
    pub loading: usize,
}

/// Moves engines between the models of one data centre.
#[derive(Debug)]
pub struct Placement {
    config: Config,
    demand: BTreeMap<id::Model, History>,
    changed: BTreeMap<id::Target, Moment>,
}

impl Placement {
    /// Creates a placement that has seen no demand.
    pub fn new(config: Config) -> Placement {
        Placement { config, demand: BTreeMap::new(), changed: BTreeMap::new() }
    }

    /// Takes in all models of the data centre and returns the load to order now, if any pays.
    pub fn plan(&mut self, models: &[Model], now: Moment) -> Option<Change> {
        self.observe(models, now);
        let loading: usize = models.iter().map(|it| it.loading).sum();
        if self.config.loads <= loading {
            return None;
        }
        let mut best: Option<(f64, &Model, &Model)> = None;
        for from in models.iter().filter(|it| 1 < it.engines.len()) {
            for to in models.iter().filter(|it| it.model != from.model) {
                let gain = self.gain(from, to, now);
                if 0.0 < gain && best.is_none_or(|it| it.0 < gain) {
                    best = Some((gain, from, to));
                }
            }
        }
        let (_, from, to) = best?;
        let engine = self.emptiest(from, now)?;
        self.changed.insert(engine.target.clone(), now);
        let action = Action::Model(to.model.clone());
        Some(Change { target: engine.target.clone(), action, cause: Cause::Model })
    }

    fn observe(&mut self, models: &[Model], now: Moment) {
        self.demand.retain(|name, _| models.iter().any(|it| it.model == *name));
        for model in models {
            let history = self.demand.entry(model.model.clone()).or_default();
            history.observe(model.demand, self.config.slow, self.config.horizon, now);
        }
        let known = |target: &id::Target| {
            models.iter().any(|it| it.engines.iter().any(|engine| engine.target == *target))
        };
        self.changed.retain(|target, _| known(target));
    }

    /// Returns the engine seconds that moving one engine gains after its cost, by the worse average.
    fn gain(&self, from: &Model, to: &Model, now: Moment) -> f64 {
        let Some((a, b)) = self.demand.get(&from.model).zip(self.demand.get(&to.model)) else {
            return 0.0;
        };
        if !a.covers(self.config.slow, now) || !b.covers(self.config.slow, now) {
            return 0.0;
        }
        let fast = self.net_gain(from, to, a.fast.sum(), b.fast.sum());
        let slow = self.net_gain(from, to, a.slow.sum(), b.slow.sum());
        fast.min(slow)
    }

    fn net_gain(&self, from: &Model, to: &Model, asked_from: f64, asked_to: f64) -> f64 {
        let serving = |it: &Model| it.engines.iter().filter(|it| it.serving).count() as f64;
        let headroom = self.config.headroom;
        let (asked_from, asked_to) = (asked_from * headroom, asked_to * headroom);
        let (a, b) = (serving(from), serving(to) + to.loading as f64);
        let lost = asked_from.min(a) - asked_from.min(a - 1.0);
        let won = asked_to.min(b + 1.0) - asked_to.min(b);
        let load = self.config.load.as_secs_f64();
        // A load takes much longer than a role change, so it must pay over a longer time.
        let horizon = self.config.horizon.as_secs_f64() + load;
        (won - lost) * horizon - self.config.margin * load * lost.max(won * 0.1)
    }

    fn emptiest<'a>(&self, model: &'a Model, now: Moment) -> Option<&'a Engine> {
        let dwell = self.config.dwell.max(self.config.load);
        let engines = model.engines.iter().filter(|it| {
            let settled = self.changed.get(&it.target).is_none_or(|at| *at + dwell <= now);
            it.serving && !it.changing && it.leaves.is_none() && settled
        });
        engines.min_by(|a, b| a.running.cmp(&b.running).then_with(|| a.target.cmp(&b.target)))
    }
}
