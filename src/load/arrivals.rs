//! Open-loop arrivals drawn from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use smol_str::SmolStr;

use crate::load::Scenario;

/// Spread of token numbers: from the mean over this to the mean times this.
const SPREAD: f64 = 2.0;

/// What an arrival asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// Generated text.
    Text {
        /// Tokens of the prompt.
        prompt: u32,
        /// Tokens of the answer.
        output: u32,
        /// Number of the shared start.
        prefix: u32,
        /// Tokens of the shared start.
        shared: u32,
    },
    /// A call of the plain service that may not be repeated.
    Order,
}

/// One planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start, in the targets' life.
    pub at: Duration,
    /// Number, from 0, in the order of time.
    pub number: usize,
    /// Index of the plan in the scenario.
    pub plan: usize,
    /// Number of the entry host that the caller uses.
    pub host: usize,
    /// What is asked.
    pub ask: Ask,
}

/// Draws all arrivals of a run; the same seed gives the same ones.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (plan, (name, _)) in scenario.plans.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(plan as u64));
        draw(scenario, plan, name, &mut rng, &mut all);
    }
    all.sort_by_key(|it| it.at);
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.number = number;
    }
    all
}

fn draw(
    scenario: &Scenario,
    plan: usize,
    name: &SmolStr,
    rng: &mut SmallRng,
    all: &mut Vec<Arrival>,
) {
    let base = &scenario.plans[plan].1;
    let mut at = 0.0;
    let end = scenario.run.duration.as_secs_f64();
    loop {
        let load = base.at(name, &scenario.phases, Duration::from_secs_f64(at));
        let rate = load.rate + load.orders;
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if end <= at {
            return;
        }
        let load = base.at(name, &scenario.phases, Duration::from_secs_f64(at));
        let ask = match rng.random::<f64>() * rate < load.orders {
            true => Ask::Order,
            false => Ask::Text {
                prompt: spread(load.prompt, rng).max(load.shared as u32 + 1),
                output: spread(load.output, rng),
                prefix: rng.random_range(0..load.prefixes.max(1)),
                shared: load.shared as u32,
            },
        };
        let host = rng.random_range(0..scenario.fleet.hosts as usize);
        all.push(Arrival { at: Duration::from_secs_f64(at), number: 0, plan, host, ask });
    }
}

/// Draws a number of tokens with the given mean.
fn spread(mean: f64, rng: &mut SmallRng) -> u32 {
    let (low, high) = ((mean / SPREAD).ln(), (mean * SPREAD).ln());
    let drawn = (low + (high - low) * rng.random::<f64>()).exp();
    // The mean of a log-uniform draw lies above the middle of its logarithm.
    let excess = (SPREAD - 1.0 / SPREAD) / (2.0 * SPREAD.ln());
    ((drawn / excess).round() as u32).max(2)
}
