//! Upper bound on the answers in time, by capacity arithmetic.

use std::time::Duration;

use crate::load::{
    Scenario,
    arrivals::{Arrival, Ask},
};

/// Length of the windows that are bounded one by one.
const WINDOW: Duration = Duration::from_secs(30);

/// The most answers in time that perfect foresight could give.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Answers counted.
    pub offered: usize,
    /// Answers that could be in time.
    pub in_time: usize,
}

impl Bound {
    /// Bounds the answers of a run.
    ///
    /// Each engine is taken to do any stage at any time without a role change, each decode step to
    /// run at the largest batch that is still in time, and each shared start to be cached. Work
    /// that arrives in a window may use the engines for the window and for as long as its last
    /// answer may take. Of the arrivals of a window the cheapest are taken first.
    pub fn of(scenario: &Scenario, arrivals: &[Arrival]) -> Bound {
        let counted: Vec<(Duration, f64, f64)> = arrivals
            .iter()
            .filter(|it| scenario.run.warmup <= it.at)
            .map(|it| (it.at, cost(scenario, it), slack(scenario, it)))
            .collect();
        let whole = fill(scenario, &counted, scenario.run.duration - scenario.run.warmup);
        let mut windows = 0;
        let mut from = scenario.run.warmup;
        while from < scenario.run.duration {
            let inside: Vec<_> = counted
                .iter()
                .filter(|(at, ..)| from <= *at && *at < from + WINDOW)
                .copied()
                .collect();
            windows += fill(scenario, &inside, WINDOW);
            from += WINDOW;
        }
        Bound { offered: counted.len(), in_time: whole.min(windows) }
    }
}

/// Counts the cheapest requests that fit into the engines' time.
fn fill(scenario: &Scenario, requests: &[(Duration, f64, f64)], window: Duration) -> usize {
    let slack = requests.iter().map(|it| it.2).fold(0.0, f64::max);
    let mut left = f64::from(scenario.fleet.engines) * (window.as_secs_f64() + slack);
    let mut costs: Vec<f64> = requests.iter().map(|it| it.1).collect();
    costs.sort_by(f64::total_cmp);
    let fits = costs.iter().take_while(|it| {
        left -= **it;
        0.0 <= left
    });
    fits.count()
}

/// Returns the least engine time of a request, in seconds.
pub(super) fn cost(scenario: &Scenario, arrival: &Arrival) -> f64 {
    let Ask::Text { prompt, output, shared, .. } = arrival.ask else { return 0.0 };
    let read = f64::from(prompt.saturating_sub(shared / 2_000 * 2_000));
    prefill(scenario, read) + decode(scenario, arrival.plan, output)
}

/// Returns the engine time to read a prompt, in seconds.
pub(super) fn prefill(scenario: &Scenario, tokens: f64) -> f64 {
    tokens / scenario.fleet.prefill_rate
}

/// Returns the least engine time to generate an answer, in seconds.
fn decode(scenario: &Scenario, plan: usize, output: u32) -> f64 {
    let fleet = &scenario.fleet;
    let (base, slope) = (fleet.step_base.as_secs_f64(), fleet.step_per_request.as_secs_f64());
    let bound = scenario.plans[plan].1.between_tokens.as_secs_f64();
    let batch = ((bound - base) / slope).clamp(1.0, f64::from(fleet.slots));
    f64::from(output) * (base + slope * batch) / batch
}

/// Returns how long after its arrival a request may still use an engine, in seconds.
fn slack(scenario: &Scenario, arrival: &Arrival) -> f64 {
    let Ask::Text { output, .. } = arrival.ask else { return 0.0 };
    let plan = &scenario.plans[arrival.plan].1;
    plan.first_token.as_secs_f64() + f64::from(output) * plan.between_tokens.as_secs_f64()
}
