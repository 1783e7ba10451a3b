//! Planning of roles and models: an engine is changed only if the gain exceeds the cost.

use std::time::Duration;

use fuchsiaknot::{
    clock::Moment,
    role::{
        Cause, Change, Config, Demand, Engine, Model, Placement, Planner, Policy, Rotation, Supply,
        View,
    },
    target::{Action, Role},
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// A simulated group that carries out planned changes; each takes `Config::change_time`.
struct Group {
    view: View,
    planner: Planner,
    config: Config,
    now: Moment,
    /// Index of each changed engine and the end of its change.
    change_ends: Vec<(usize, Moment)>,
    changes: Vec<Change>,
}

impl Group {
    fn new(roles: &[Role], config: Config) -> Group {
        let engine = |(index, role): (usize, &Role)| Engine {
            target: format!("e{index}").into(),
            role: *role,
            changing: false,
            serving: true,
            leaves_at: None,
            requests: 0,
        };
        let engines = roles.iter().enumerate().map(engine).collect();
        Group {
            view: View { engines, ..View::default() },
            planner: Planner::new(config.clone()),
            config,
            now: Moment::ZERO,
            change_ends: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn run(&mut self, seconds: u32, demand: Demand) {
        for _ in 0..seconds {
            self.view.demand = demand;
            self.now += SECOND;
            for (index, end) in &self.change_ends {
                self.view.engines[*index].changing &= self.now < *end;
            }
            for change in self.planner.plan(&self.view, self.now) {
                self.carry_out(change);
            }
        }
    }

    fn carry_out(&mut self, change: Change) {
        let index = self.view.engines.iter().position(|it| it.target == change.target);
        let index = index.expect("a change names an engine of the group");
        let Action::Role(role) = change.action else { panic!("not a role: {change:?}") };
        self.view.engines[index].role = role;
        self.view.engines[index].changing = true;
        self.change_ends.push((index, self.now + self.config.change_time));
        self.changes.push(change);
    }

    fn count(&self, role: Role) -> usize {
        self.view.engines.iter().filter(|it| it.role == role).count()
    }
}

const SIX_ENGINES: [Role; 6] =
    [Role::Prefill, Role::Prefill, Role::Decode, Role::Decode, Role::Mixed, Role::Mixed];

fn demand(prefill: f64, decode: f64) -> Demand {
    Demand { prefill, decode }
}

#[test]
fn steady_mix_unchanged() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    group.run(600, demand(2.4, 2.4));
    assert_eq!(group.changes, []);
}

#[test]
fn lasting_shift_followed() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    group.run(60, demand(2.4, 2.4));
    group.run(180, demand(0.8, 4.4));
    assert!(3 <= group.count(Role::Decode), "{:?}", group.view);
    assert!((1..=3).contains(&group.changes.len()), "{:?}", group.changes);
}

#[test]
fn spike_ignored() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    group.run(120, demand(2.0, 2.4));
    group.run(6, demand(8.0, 2.4));
    group.run(120, demand(2.0, 2.4));
    assert_eq!(group.changes, []);
}

#[test]
fn start_without_demand() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    group.run(1, demand(0.0, 0.0));
    group.run(60, demand(0.8, 4.4));
    assert!(3 <= group.count(Role::Decode), "{:?}", group.view);
}

#[test]
fn short_swing_ignored() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    for _ in 0..60 {
        group.run(5, demand(3.4, 1.4));
        group.run(5, demand(1.4, 3.4));
    }
    assert_eq!(group.changes, []);
}

#[test]
fn fewer_than_greedy() {
    let change_count = |policy: Policy| {
        let mut group = Group::new(&SIX_ENGINES, Config { policy, ..Config::default() });
        for _ in 0..5 {
            group.run(60, demand(3.5, 1.5));
            group.run(60, demand(1.5, 3.5));
        }
        group.changes.len()
    };
    let (planned, greedy) = (change_count(Policy::Planned), change_count(Policy::Greedy));
    assert!(2 * planned <= greedy, "planned {planned}, greedy {greedy}");
}

#[test]
fn reserve_kept() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    group.run(900, demand(0.1, 9.0));
    assert!(2 <= group.count(Role::Mixed), "{:?}", group.view);
}

#[test]
fn concurrent_changes_bounded() {
    let mut group = Group::new(&[Role::Prefill; 12], Config::default());
    for _ in 0..900 {
        group.run(1, demand(1.0, 8.0));
        let changing = group.view.engines.iter().filter(|it| it.changing).count();
        assert!(changing <= 3, "{changing} change at once");
    }
    assert!(5 <= group.count(Role::Decode) + group.count(Role::Mixed), "{:?}", group.view);
}

#[test]
fn departure_prepared() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    group.run(60, demand(1.6, 3.2));
    assert_eq!(group.changes, []);
    let leaves_at = group.now + group.config.departure_lead;
    for index in [2, 3] {
        group.view.engines[index].leaves_at = Some(leaves_at);
    }
    group.run(group.config.departure_lead.as_secs() as u32 - 1, demand(1.6, 3.2));
    assert!(!group.changes.is_empty());
    assert!(group.changes.iter().all(|it| it.cause == Cause::Announced), "{:?}", group.changes);
    let others_changed = group.changes.iter().all(|it| !["e2", "e3"].contains(&it.target.as_str()));
    assert!(others_changed, "{:?}", group.changes);
}

#[test]
fn groups_take_turns() {
    let mut group = Group::new(&[Role::Prefill; 6], Config::default());
    group.view.rotation = Rotation { position: 1, groups: 3 };
    let pause = group.config.cooldown;
    for _ in 0..300 {
        let before = group.changes.len();
        group.run(1, demand(0.5, 4.0));
        let turn = group.now.as_nanos() / pause.as_nanos() % 3;
        assert!(group.changes.len() == before || turn == 1, "changed in turn {turn}");
    }
    assert!(!group.changes.is_empty());
}

#[test]
fn other_groups_count() {
    let mut group = Group::new(&SIX_ENGINES, Config::default());
    group.view.other_groups = Supply { prefill: 0.0, decode: 6.0, mixed: 0.0 };
    group.run(300, demand(1.6, 7.0));
    assert_eq!(group.changes, []);
}

#[rstest]
#[case::balanced(2.0, 2.0, 0.0, demand(2.0, 2.0), 1.0)]
#[case::short_of_decode(2.0, 1.0, 0.0, demand(1.0, 2.0), 0.5)]
#[case::mixed_fills(1.0, 1.0, 2.0, demand(2.0, 2.0), 1.0)]
#[case::nothing_decodes(4.0, 0.0, 0.0, demand(1.0, 1.0), 0.0)]
fn served_fraction(
    #[case] prefill: f64,
    #[case] decode: f64,
    #[case] mixed: f64,
    #[case] demand: Demand,
    #[case] expected: f64,
) {
    let part = Supply { prefill, decode, mixed }.served_fraction(demand, 1.0);
    assert!((part - expected).abs() < 1e-6, "served {part}");
}

#[test]
fn model_follows_demand() {
    let config = Config::default();
    let mut placement = Placement::new(config.clone());
    let model = |name: &str, count: usize, work: f64| Model {
        name: name.into(),
        engines: Group::new(&vec![Role::Mixed; count], config.clone()).view.engines,
        demand: demand(work / 2.0, work / 2.0),
        loading: 0,
    };
    let mut models = [model("old", 4, 1.0), model("new", 2, 4.0)];
    for (index, engine) in models[1].engines.iter_mut().enumerate() {
        engine.target = format!("n{index}").into();
    }
    let mut changes = Vec::new();
    for second in 0..120 {
        let change = placement.plan(&models, second * SECOND);
        models[1].loading += change.iter().len();
        changes.extend(change);
    }
    assert_eq!(changes.len(), 1, "one load at a time: {changes:?}");
    assert_eq!(changes[0].action, Action::Model("new".into()));
    assert!(changes[0].target.starts_with('e'), "{changes:?}");
}
