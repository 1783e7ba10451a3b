//! What a run gave, by plan.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::load::{
    Arrival, Bound, Run, Scenario,
    arrivals::Ask,
    bound,
    caller::{End, Seen},
    timeline::{INTERVAL, Sample, index},
};

/// Promises that were checked after the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Checks {
    /// Complete answers that were not the answer to their request.
    pub wrong: u64,
    /// Orders that ran more than once.
    pub ran_twice: u64,
    /// Orders that were answered but never ran.
    pub false_answers: u64,
    /// Orders that ran though the caller heard that they had not.
    pub false_not_run: u64,
}

/// Percentiles in milliseconds of the targets' life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
}

/// One plan's answers.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PlanReport {
    /// Requests offered.
    pub offered: u64,
    /// Whole answers in time.
    pub in_time: u64,
    /// Whole answers that were late.
    pub late: u64,
    /// Connections that failed or streams without an end.
    pub broken: u64,
    /// Requests refused, by reason and verdict.
    pub refused: BTreeMap<SmolStr, u64>,
    /// Time to the first token, from the planned arrival.
    pub first_token_ms: Percentiles,
    /// Time between tokens.
    pub between_tokens_ms: Percentiles,
    /// Part of the work in time that is this plan's.
    pub share: f64,
    /// Part that its weight entitles it to when all plans ask for more.
    pub entitled: f64,
}

/// What one run gave.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: &'static str,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Seconds of the targets' life in one second.
    pub time_scale: f64,
    /// Plans by name.
    pub plans: BTreeMap<SmolStr, PlanReport>,
    /// Requests offered.
    pub offered: u64,
    /// Whole answers in time.
    pub in_time: u64,
    /// Most answers that could have been in time.
    pub bound: u64,
    /// Role changes ordered.
    pub role_changes: u32,
    /// Promises broken.
    pub broken: u64,
    /// What was checked.
    pub checks: Checks,
    /// Course of the run.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

/// Values of one plan while they are gathered.
struct Gathered {
    report: PlanReport,
    first_token: Histogram<u64>,
    between: Histogram<u64>,
    work: f64,
}

impl Report {
    pub(super) fn new(
        run: &Run<'_>,
        arrivals: &[Arrival],
        seen: &[Option<Seen>],
        roles: &[[u32; 3]],
        mut checks: Checks,
    ) -> Report {
        let scenario = run.scenario;
        let mut gathered: Vec<Gathered> = scenario.plans.iter().map(|_| Gathered::new()).collect();
        let mut samples = samples(scenario, roles);
        for (arrival, seen) in arrivals.iter().zip(seen) {
            let in_time = seen.as_ref().is_some_and(|it| it.is_in_time(scenario, arrival));
            if let Some(sample) = samples.get_mut(index(arrival.at)) {
                sample.offered += 1;
                sample.in_time += u32::from(in_time);
            }
            if arrival.at < scenario.run.warmup {
                continue;
            }
            checks.wrong += u64::from(seen.as_ref().is_some_and(|it| it.end == End::Wrong));
            gathered[arrival.plan].take(scenario, arrival, seen.as_ref(), in_time);
        }
        mixes(scenario, arrivals, &mut samples);
        let plans = finish(scenario, gathered);
        Report {
            scenario: scenario.name.clone(),
            policy: run.policy.name(),
            seed: run.seed,
            time_scale: scenario.run.time_scale,
            offered: plans.values().map(|it| it.offered).sum(),
            in_time: plans.values().map(|it| it.in_time).sum(),
            bound: Bound::of(scenario, arrivals).in_time as u64,
            plans,
            role_changes: 0,
            broken: checks.wrong + checks.ran_twice + checks.false_answers + checks.false_not_run,
            checks,
            samples,
        }
    }

    /// Returns the report as one line of JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Seen {
    /// Returns whether the answer was whole and in time.
    fn is_in_time(&self, scenario: &Scenario, arrival: &Arrival) -> bool {
        let plan = &scenario.plans[arrival.plan].1;
        let Some(first) = self.first_token.filter(|_| self.end == End::Whole) else { return false };
        if arrival.ask == Ask::Order {
            return true;
        }
        let gaps: f64 = self.gaps.iter().map(|it| it.as_secs_f64()).sum();
        let mean = gaps / self.gaps.len().max(1) as f64;
        first <= scenario.scaled(plan.first_token)
            && mean <= scenario.scaled(plan.between_tokens).as_secs_f64()
    }
}

impl Gathered {
    fn new() -> Gathered {
        let histogram = || Histogram::new(3).expect("three digits are within the library's bounds");
        Gathered {
            report: PlanReport::default(),
            first_token: histogram(),
            between: histogram(),
            work: 0.0,
        }
    }

    fn take(&mut self, scenario: &Scenario, arrival: &Arrival, seen: Option<&Seen>, in_time: bool) {
        self.report.offered += 1;
        let Some(seen) = seen else {
            self.report.broken += 1;
            return;
        };
        match &seen.end {
            End::Whole if in_time => {
                self.report.in_time += 1;
                self.work += bound::cost(scenario, arrival);
            }
            End::Whole => self.report.late += 1,
            End::Refused { reason, verdict } => {
                let name = format_smolstr!("{reason} ({verdict})");
                *self.report.refused.entry(name).or_default() += 1;
            }
            End::Broken | End::Wrong => self.report.broken += 1,
        }
        let life = |it: std::time::Duration| it.mul_f64(scenario.run.time_scale).as_micros() as u64;
        if arrival.ask != Ask::Order {
            if let Some(it) = seen.first_token {
                let _ = self.first_token.record(life(it));
            }
            for it in &seen.gaps {
                let _ = self.between.record(life(*it));
            }
        }
    }
}

fn finish(scenario: &Scenario, gathered: Vec<Gathered>) -> BTreeMap<SmolStr, PlanReport> {
    let work: f64 = gathered.iter().map(|it| it.work).sum();
    let weights: f64 = scenario.plans.iter().map(|it| it.1.weight).sum();
    let plans = scenario.plans.iter().zip(gathered).map(|((name, plan), it)| {
        let report = PlanReport {
            first_token_ms: percentiles(&it.first_token),
            between_tokens_ms: percentiles(&it.between),
            share: it.work / work.max(1e-9),
            entitled: plan.weight / weights,
            ..it.report
        };
        (name.clone(), report)
    });
    plans.collect()
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |it: f64| histogram.value_at_quantile(it) as f64 / 1_000.0;
    Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

fn samples(scenario: &Scenario, roles: &[[u32; 3]]) -> Vec<Sample> {
    let count = index(scenario.run.duration) + 1;
    let sample = |it: usize| Sample {
        at: it as f64 * INTERVAL.as_secs_f64(),
        roles: roles.get(it).or(roles.last()).copied().unwrap_or_default(),
        ..Sample::default()
    };
    (0..count).map(sample).collect()
}

/// Fills in what part of the offered work is prefill.
fn mixes(scenario: &Scenario, arrivals: &[Arrival], samples: &mut [Sample]) {
    let mut sums = vec![(0.0, 0.0); samples.len()];
    for arrival in arrivals {
        let Ask::Text { prompt, .. } = arrival.ask else { continue };
        let Some(sum) = sums.get_mut(index(arrival.at)) else { continue };
        sum.0 += bound::prefill(scenario, f64::from(prompt));
        sum.1 += bound::cost(scenario, arrival);
    }
    for (sample, (prefill, all)) in samples.iter_mut().zip(sums) {
        sample.prefill_part = f64::min(prefill / f64::max(all, 1e-9), 1.0);
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |it: u64| 100.0 * it as f64 / self.bound.max(1) as f64;
        writeln!(
            f,
            "{} {} seed {} (time x{}): {} offered, {} in time, {:.1}% of the bound {}, {} role changes, {} promises broken",
            self.scenario,
            self.policy,
            self.seed,
            self.time_scale,
            self.offered,
            self.in_time,
            part(self.in_time),
            self.bound,
            self.role_changes,
            self.broken,
        )?;
        for (name, plan) in &self.plans {
            writeln!(f, "  {name}: {plan}")?;
        }
        Ok(())
    }
}

impl fmt::Display for PlanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        write!(
            f,
            "{} offered, {} in time, {} late, {refused} refused, {} broken; first token {}; between tokens {}; share {:.2} of {:.2}",
            self.offered,
            self.in_time,
            self.late,
            self.broken,
            self.first_token_ms,
            self.between_tokens_ms,
            self.share,
            self.entitled,
        )?;
        for (reason, count) in &self.refused {
            write!(f, "; {reason} {count}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0}/{:.0}/{:.0} ms", self.p50, self.p95, self.p99)
    }
}
