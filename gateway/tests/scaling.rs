//! Numbers of targets that are ordered, by pattern of load.

mod common;

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot_core::clock::Moment;
use fuchsiaknot_gateway::scaling::{
    Config,
    demand::{Counts as Requests, Inbox, Load, Outcome, Report, Sample, Tracker, demand},
    plan::{Cause, Counts, Demand, Fleet, Kind, Layout, Planner, Pool, Step},
};
use rstest::rstest;

use common::ms;

const BOOT: Duration = Duration::from_secs(4);

fn config() -> Config {
    Config {
        min: 1,
        max: 40,
        boot_time: BOOT,
        withdrawable_price: Some(0.2),
        prices: [("a", 1.0), ("b", 0.8), ("c", 1.25)].map(|(it, price)| (it.into(), price)).into(),
    }
}

fn demand_of(prefill: f64, generation: f64) -> Demand {
    let origins = ["a", "b", "c"].map(|it| (it.into(), 100.0)).into();
    Demand { prefill, generation, late_share: 0.0, origins }
}

/// Targets that start the boot time after an order, and go at once.
struct Targets {
    planner: Planner,
    config: Config,
    fleet: Fleet,
    starting: Vec<(Moment, Pool, u32)>,
    now: Moment,
    steps: Vec<Step>,
    /// Whether the platform carries orders out.
    answers: bool,
}

impl Targets {
    fn new(firm: u32) -> Targets {
        let serving = ["a", "b", "c"].map(|it| (it.into(), Counts { firm, withdrawable: 0 }));
        Targets {
            planner: Planner::default(),
            config: config(),
            fleet: Fleet { serving: serving.into(), prefill_share: 0.3, ..Fleet::default() },
            starting: Vec::new(),
            now: Duration::from_secs(100),
            steps: Vec::new(),
            answers: true,
        }
    }

    /// Runs for some seconds with a demand; returns the orders of this time.
    fn run(&mut self, seconds: u32, demand: &Demand) -> Vec<Step> {
        let before = self.steps.len();
        for _ in 0..seconds {
            self.planner.observe(demand.clone(), self.now);
            self.decide();
        }
        self.steps[before..].to_vec()
    }

    /// Runs without any report of the demand.
    fn run_blind(&mut self, seconds: u32) -> Vec<Step> {
        let before = self.steps.len();
        (0..seconds).for_each(|_| self.decide());
        self.steps[before..].to_vec()
    }

    fn decide(&mut self) {
        for step in self.planner.decide(&self.config, &self.fleet, 0, self.now) {
            self.planner.record_order(&step, self.now);
            if self.answers {
                self.starting.push((self.now + BOOT, step.pool.clone(), step.count));
            }
            self.steps.push(step);
        }
        self.now += Duration::from_secs(1);
        let now = self.now;
        let due = self.starting.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for ((data_centre, kind), count) in due.into_iter().map(|(_, pool, count)| (pool, count)) {
            *self.fleet.serving.entry(data_centre).or_default().of_mut(kind) = count;
        }
    }

    fn total(&self) -> u32 {
        self.fleet.serving.values().map(|it| it.total()).sum()
    }

    fn sum(&self, kind: Kind) -> u32 {
        self.fleet.serving.values().map(|it| it.of(kind)).sum()
    }

    fn withdraw(&mut self, data_centre: &str) {
        let counts = self.fleet.serving.get_mut(data_centre).unwrap();
        let gone = std::mem::take(&mut counts.withdrawable);
        let leaving = Counts { firm: 0, withdrawable: gone };
        self.fleet.leaving = Layout::from([(data_centre.into(), leaving)]);
    }
}

fn raises(steps: &[Step]) -> usize {
    steps.iter().filter(|it| it.expected < it.count).count()
}

#[test]
fn steady_load() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(6.0, 8.0));
    let need = targets.planner.need();
    assert!(targets.total() < 40, "{}", targets.total());
    assert!(need.total <= targets.total());
    assert!(need.firm <= targets.sum(Kind::Firm));
    let most = targets.fleet.serving.values().map(|it| it.withdrawable).max().unwrap();
    assert!(need.after_loss <= targets.total() - most);
    assert_eq!(targets.run(60, &demand_of(6.0, 8.0)), [], "the number settles");
}

/// No step takes more than a third of the targets, and none comes before the demand has been known
/// for twice the boot time.
#[test]
fn small_steps() {
    let mut targets = Targets::new(20);
    let first = targets.run(8, &demand_of(6.0, 8.0));
    assert!(first.iter().all(|it| it.cause == Cause::Replacement), "{first:?}");
    let mut before = targets.total();
    for _ in 0..40 {
        targets.run(1, &demand_of(6.0, 8.0));
        assert!(before * 2 / 3 <= targets.total());
        before = targets.total();
    }
}

#[test]
fn slow_rise() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(4.0, 5.0));
    for tenth in 0..60 {
        let factor = 1.0 + f64::from(tenth) / 20.0;
        targets.run(1, &demand_of(4.0 * factor, 5.0 * factor));
        assert!(9.0 * factor <= f64::from(targets.total()), "busier than the targets there are");
    }
}

/// A burst shorter than the boot time is met by the reserve: what is ordered then comes too late.
#[test]
fn short_burst() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(6.0, 8.0));
    let before = targets.total();
    let mut steps = targets.run(2, &demand_of(9.0, 12.0));
    steps.extend(targets.run(20, &demand_of(6.0, 8.0)));
    assert!(steps.iter().all(|it| it.cause != Cause::Demand), "{steps:?}");
    assert!(targets.total() <= before * 4 / 3, "{before} to {}", targets.total());
    assert!(21 <= before);
}

#[test]
fn lasting_burst() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(6.0, 8.0));
    let raised = targets.run(4, &demand_of(18.0, 24.0));
    assert!(raised.iter().any(|it| it.cause == Cause::Demand));
    targets.run(12, &demand_of(18.0, 24.0));
    assert!(targets.planner.need().total <= targets.total());
}

/// Prompts and answers take turns within the window: enough stays for either.
#[test]
fn swinging_mix() {
    let mut targets = Targets::new(20);
    for _ in 0..10 {
        targets.run(3, &demand_of(10.0, 5.0));
        targets.run(3, &demand_of(3.0, 14.0));
    }
    let steps: Vec<Step> = (0..5)
        .flat_map(|_| [(10.0, 5.0), (3.0, 14.0)])
        .flat_map(|(p, g)| targets.run(3, &demand_of(p, g)))
        .collect();
    assert_eq!(steps, []);
}

#[test]
fn data_centre_lost() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(6.0, 8.0));
    targets.fleet.serving.remove("b");
    let steps = targets.run(2, &demand_of(6.0, 8.0));
    assert!(0 < raises(&steps));
    targets.run(10, &demand_of(6.0, 8.0));
    assert!(targets.planner.need().total <= targets.total());
}

/// Where the deployment has to bear the loss of a data centre, the others suffice without it.
#[test]
fn tolerated_loss() {
    let mut planner = Planner::default();
    let serving = ["a", "b", "c"].map(|it| (it.into(), Counts { firm: 5, withdrawable: 0 }));
    let fleet = Fleet { serving: serving.into(), prefill_share: 0.3, ..Fleet::default() };
    let config = Config { withdrawable_price: None, ..config() };
    planner.observe(demand_of(3.0, 4.0), ms(0));
    assert_eq!(planner.decide(&config, &fleet, 0, ms(0)), []);
    let mut layout = fleet.serving.clone();
    for step in planner.decide(&config, &fleet, 1, ms(0)) {
        *layout.get_mut(&step.pool.0).unwrap().of_mut(step.pool.1) = step.count;
    }
    let most = layout.values().map(|it| it.total()).max().unwrap();
    let total: u32 = layout.values().map(|it| it.total()).sum();
    assert!(planner.need().after_loss <= total - most);
}

/// All withdrawable targets of a data centre go at once, and for a while none are to be had there.
#[test]
fn withdrawal() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(6.0, 8.0));
    assert!(0 < targets.sum(Kind::Withdrawable));
    let need = targets.planner.need();
    targets.withdraw("a");
    assert!(need.after_loss <= targets.total(), "the others suffice at once");
    let steps = targets.run(1, &demand_of(6.0, 8.0));
    assert!(0 < raises(&steps));
    assert!(steps.iter().all(|it| it.pool != ("a".into(), Kind::Withdrawable)), "{steps:?}");
    targets.run(6, &demand_of(6.0, 8.0));
    assert!(need.total <= targets.total());
}

/// Those of two data centres go within a second: the third keeps its own, and the pause of a
/// withdrawal counts once however long the targets take to leave.
#[test]
fn double_withdrawal() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(6.0, 8.0));
    let kept = targets.fleet.serving["c"].withdrawable;
    let need = targets.planner.need();
    targets.withdraw("a");
    targets.run(1, &demand_of(6.0, 8.0));
    targets.starting.clear();
    targets.withdraw("b");
    let left: u32 = targets.total();
    assert!(targets.planner.need().firm <= left);
    targets.run(4, &demand_of(6.0, 8.0));
    assert_eq!(targets.planner.need(), need);
    let steps = targets.run(8, &demand_of(6.0, 8.0));
    let ordered = |data_centre: &str| {
        steps.iter().any(|it| it.pool == (data_centre.into(), Kind::Withdrawable) && 0 < it.count)
    };
    assert!(ordered("b"), "{steps:?}");
    assert!(kept <= targets.fleet.serving["c"].withdrawable);
    assert!(need.total <= targets.total());
}

#[test]
fn none_available() {
    let mut targets = Targets::new(4);
    let first = targets.run(1, &demand_of(6.0, 8.0));
    let refused: Vec<Pool> = first.into_iter().map(|it| it.pool).filter(|it| it.0 == "b").collect();
    assert!(!refused.is_empty());
    targets.starting.retain(|(_, pool, _)| pool.0 != "b");
    for pool in &refused {
        targets.planner.record_refusal(pool, BOOT, targets.now);
    }
    let second = targets.run(1, &demand_of(6.0, 8.0));
    assert!(second.iter().all(|it| it.pool.0 != "b"), "{second:?}");
    targets.run(5, &demand_of(6.0, 8.0));
    assert!(targets.planner.need().total <= targets.total());
}

/// An order that is not carried out is made again, with pauses, and never for more each time.
#[test]
fn platform_away() {
    let mut targets = Targets::new(4);
    targets.answers = false;
    let steps = targets.run(60, &demand_of(6.0, 8.0));
    assert!((2..=40).contains(&steps.len()), "{}", steps.len());
    assert!(steps.iter().all(|it| it.count <= 40));
    targets.answers = true;
    targets.run(70, &demand_of(6.0, 8.0));
    assert!(targets.planner.need().total <= targets.total());
}

/// An order of an earlier moment is carried out last: what is there counts, and is put right.
#[test]
fn late_order() {
    let mut targets = Targets::new(20);
    targets.run(60, &demand_of(6.0, 8.0));
    for counts in targets.fleet.serving.values_mut() {
        *counts = Counts { firm: 1, withdrawable: 1 };
    }
    let steps = targets.run(1, &demand_of(6.0, 8.0));
    assert!(0 < raises(&steps));
}

/// A host that has just taken over gives nothing back before it has seen a window of demand.
#[test]
fn holder_change() {
    let mut targets = Targets::new(20);
    targets.run(30, &demand_of(6.0, 8.0));
    targets.planner = Planner::default();
    let steps = targets.run(8, &demand_of(6.0, 8.0));
    assert_eq!(steps, []);
}

/// Reports that do not arrive are no lower demand.
#[test]
fn silent_hosts() {
    let mut targets = Targets::new(20);
    targets.run(12, &demand_of(6.0, 8.0));
    assert_eq!(targets.run_blind(60), []);
    assert_eq!(targets.run(8, &demand_of(6.0, 8.0)), [], "the window begins anew");
}

/// Callers that have not come yet may come at any moment.
#[test]
fn no_callers() {
    let mut targets = Targets::new(20);
    assert_eq!(targets.run(60, &Demand::default()), []);
    assert_eq!(targets.run(7, &demand_of(0.1, 0.1)), []);
}

#[test]
fn late_callers() {
    let mut targets = Targets::new(20);
    let late = Demand { late_share: 0.05, ..demand_of(6.0, 8.0) };
    assert_eq!(targets.run(60, &late), [], "nothing is given back");
    let very_late = Demand { late_share: 0.3, ..demand_of(20.0, 21.0) };
    let on_time = Targets::new(20).run(2, &demand_of(20.0, 21.0));
    assert!(raises(&on_time) < raises(&targets.run(6, &very_late)) + 1);
}

#[rstest]
#[case::min_above_max(Config { min: 9, max: 3, ..config() })]
#[case::no_data_centre(Config { prices: BTreeMap::new(), ..config() })]
#[case::free(Config { prices: [("a".into(), 0.0)].into(), ..config() })]
#[case::no_price(Config { prices: [("a".into(), f64::NAN)].into(), ..config() })]
#[case::huge(Config { min: u32::MAX, max: u32::MAX, ..config() })]
#[case::no_boot_time(Config { boot_time: Duration::ZERO, ..config() })]
fn garbage_bounds(#[case] config: Config) {
    let mut targets = Targets { config: config.clone(), ..Targets::new(2) };
    for demand in [demand_of(5.0, 5.0), demand_of(f64::INFINITY, f64::NAN), demand_of(1e30, 0.0)] {
        let steps = targets.run(20, &demand);
        assert!(steps.iter().all(|it| it.count <= config.max), "{steps:?}");
    }
}

fn sample(placed: u64, refused: u64, prompt_tokens: u64, requests: u64) -> Sample {
    let origins = [("a".into(), placed + refused)].into();
    let load = Load {
        targets: 10,
        requests,
        slots: 320,
        cache_share: 0.1,
        pause_ratio: 0.1,
        prefill_rate: 100.0,
    };
    Sample { counts: Requests { placed, late: 0, refused, prompt_tokens, origins }, load }
}

#[test]
fn demand_between_samples() {
    let demand = demand(&sample(0, 0, 0, 0), &sample(90, 10, 1_000_000, 120), ms(2000));
    assert_eq!(demand.prefill, 5.0);
    assert!((demand.generation - 10.0 * 0.5 * (1.0 + 10.0 / 90.0)).abs() < 1e-9);
    assert_eq!(demand.late_share, 0.1);
    assert_eq!(demand.origins, [("a".into(), 100.0)].into());
}

/// A host that restarts, or another one, begins to count anew.
#[test]
fn counts_of_runs() {
    let report = |incarnation, seconds, tokens| Report {
        incarnation,
        uptime: Duration::from_secs(seconds),
        services: vec![("llm".into(), sample(tokens / 1000, 0, tokens, 1))],
    };
    let mut inbox = Inbox::default();
    inbox.record("h1".into(), report(1, 10, 5_000_000), ms(0));
    assert_eq!(inbox.take(), []);
    inbox.record("h1".into(), report(1, 12, 5_200_000), ms(2000));
    let [(_, demand)] = &inbox.take()[..] else { panic!("no demand") };
    assert_eq!(demand.prefill, 1.0);
    inbox.record("h1".into(), report(2, 1, 7_000_000), ms(3000));
    inbox.record("h2".into(), report(3, 50, 9_000_000), ms(3000));
    assert_eq!(inbox.take(), []);
}

#[test]
fn recorded_requests() {
    let mut tracker = Tracker::default();
    let outcomes = [(Outcome::OnTime, 10), (Outcome::Late, 20), (Outcome::Refused, 40)];
    for (outcome, tokens) in outcomes {
        tracker.record(&"llm".into(), &"a".into(), outcome, tokens);
    }
    let counts = tracker.counts(&"llm".into());
    assert_eq!((counts.placed, counts.late, counts.refused), (2, 1, 1));
    assert_eq!((counts.prompt_tokens, counts.origins["a"]), (70, 3));
    assert_eq!(tracker.counts(&"other".into()), Requests::default());
}
