//! The two lists and the announcements: validation, differences and round trips.

use std::{collections::HashMap, time::Duration};

use fuchsiaknot::configuration::{
    Change, Configuration, Customer, Difference, Limits, Lists, RawAnnouncement, RawSubject,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn lists(plans: &str, limits: &str) -> Lists {
    Lists { plans: plans.into(), limits: limits.into(), announcements: Vec::new() }
}

fn valid() -> Lists {
    let plans = format!("# fish\n[customer stall]\nplan = gold\nkey = {KEY}\n");
    lists(&plans, "[plan gold]\nweight = 2.5\nallowed = draft, quick\nfirst_token = 570 ms\n")
}

fn fault_messages(lists: &Lists) -> Vec<String> {
    Configuration::try_from(lists).unwrap_err().iter().map(ToString::to_string).collect()
}

#[test]
fn lists_accepted() {
    let configuration = Configuration::try_from(&valid()).unwrap();
    assert_eq!(configuration.customers[KEY].name, "stall");
    let limits = &configuration.limits["gold"];
    assert_eq!(limits.weight, 2.5);
    assert!(limits.allows("quick") && !limits.allows("other"));
}

#[test]
fn unknown_plan_reported() {
    let plans = format!("[customer stall]\nplan = gald\nkey = {KEY}\n");
    assert_eq!(
        fault_messages(&lists(&plans, "[plan gold]\nweight = 1\n")),
        ["plans: [customer stall] plan: the plan `gald` has no limits; did you mean `gold`?"]
    );
}

#[test]
fn duplicate_key_reported() {
    let plans =
        format!("[customer a]\nplan = gold\nkey = {KEY}\n[customer b]\nplan = gold\nkey = {KEY}\n");
    assert_eq!(
        fault_messages(&lists(&plans, "[plan gold]\nweight = 1\n")),
        ["plans: [customer b] key: the same value stands in [customer a]"]
    );
}

#[rstest]
#[case("weight = 0", "weight")]
#[case("weight = -1", "weight")]
#[case("weight = NaN", "weight")]
#[case("weight = inf", "weight")]
#[case("", "weight")]
#[case("weight = 1\nwait = 2", "wait")]
#[case("weight = 1\npriority = 99999999999", "priority")]
#[case("weight = 1\nfirst_token = 570", "first_token")]
#[case("weight = 1\nallowed = a,,b", "allowed")]
#[case("weight = 1\nqueue = 0", "queue")]
fn limits_fault_located(#[case] body: &str, #[case] key: &str) {
    let found = Configuration::try_from(&lists("", &format!("[plan p]\n{body}\n"))).unwrap_err();
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(
        (found[0].location.section.as_str(), found[0].location.key.as_str()),
        ("plan p", key)
    );
}

#[test]
fn plaintext_key_hidden() {
    let found =
        fault_messages(&lists("[customer a]\nplan = g\nkey = my-secret\n", "[plan g]\nweight=1\n"));
    assert!(!found.concat().contains("my-secret"), "{found:?}");
    assert!(found[0].starts_with("plans: [customer a] key:"), "{found:?}");
}

#[test]
fn sections_unique() {
    let found = fault_messages(&lists("", "[plan a]\nweight=1\n[plan a]\nweight=2\n[plans b]\n"));
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].contains("[plan a]: given more than once"), "{found:?}");
    assert!(found[1].contains("[plans b]: unknown section"), "{found:?}");
}

fn announcement(id: &str, target: &str) -> RawAnnouncement {
    RawAnnouncement {
        id: id.into(),
        change: Change::Withdraw,
        subject: RawSubject::Target(target.into()),
        added_in: 3,
        after_ms: 60_000,
        announced_ms: 1_000_000,
    }
}

#[test]
fn announcement_checked() {
    let announcements = vec![announcement("a", "engine-1"), announcement("a", "engine/2")];
    let found = fault_messages(&Lists { announcements, ..valid() });
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].contains("announcements: [a]: given more than once"), "{found:?}");
    assert!(found[1].contains("announcements: [a] target: `engine/2`"), "{found:?}");
}

#[test]
fn announcement_due() {
    let announcements = vec![announcement("a", "engine-1")];
    let configuration = Configuration::try_from(&Lists { announcements, ..valid() }).unwrap();
    let due = |wall| configuration.announcements[0].due_in(Duration::from_secs(wall));
    assert_eq!(due(1_010), Duration::from_secs(50));
    assert_eq!(due(5), Duration::from_secs(60));
    assert_eq!(due(9_999), Duration::ZERO);
    assert!(configuration.announcements[0].affects("engine-1", "brno-a"));
}

#[test]
fn difference_readable() {
    let mut after = valid();
    after.limits =
        "[plan gold]\nweight = 3\nallowed = draft, quick\n[plan tin]\nweight = 1\n".into();
    after.plans = String::new();
    let text = Difference::between(&valid(), &after).to_string();
    assert!(text.contains("~ [plan gold] weight = 2.5 -> 3\n"), "{text}");
    assert!(text.contains("+ [plan tin] weight = 1\n"), "{text}");
    assert!(text.contains("- [customer stall] plan = gold\n"), "{text}");
}

#[test]
fn comments_ignored() {
    let after = Lists { plans: format!("# other\n\n{}", valid().plans), ..valid() };
    assert!(Difference::between(&valid(), &after).is_empty());
}

fn name() -> impl Strategy<Value = SmolStr> {
    "[a-z0-9][A-Za-z0-9._-]{0,20}".prop_map(SmolStr::from)
}

fn limits() -> impl Strategy<Value = Limits> {
    (
        1e-6_f64..1e9,
        1e-6_f64..1e9,
        1_u32..,
        any::<i32>(),
        1_u64..1_000_000,
        prop::collection::vec(name(), 0..4),
    )
        .prop_map(|(weight, rate, concurrent, priority, millis, allowed)| Limits {
            weight,
            requests_per_second: rate,
            concurrent,
            priority,
            first_token: Duration::from_millis(millis),
            allowed,
            ..Limits::default()
        })
}

fn configuration() -> impl Strategy<Value = Configuration> {
    let limits = prop::collection::hash_map(name(), limits(), 1..5);
    (limits, prop::collection::vec(any::<prop::sample::Index>(), 0..8)).prop_map(
        |(limits, picks)| {
            let plans: Vec<SmolStr> = limits.keys().cloned().collect();
            let customer = |(number, pick): (usize, &prop::sample::Index)| {
                let plan = pick.get(&plans).clone();
                let name = format_smolstr!("c{number}");
                (format_smolstr!("{number:064x}"), Customer { name, plan })
            };
            let customers: HashMap<_, _> = picks.iter().enumerate().map(customer).collect();
            Configuration { version: 0, customers, limits, announcements: Vec::new() }
        },
    )
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn configuration_round_trip(configuration in configuration()) {
        let lists = Lists::from(&configuration);
        prop_assert_eq!(Configuration::try_from(&lists), Ok(configuration));
    }

    #[test]
    fn lists_round_trip(configuration in configuration()) {
        let lists = Lists { announcements: vec![announcement("a", "engine-1")], ..Lists::from(&configuration) };
        let text = serde_json::to_string(&lists).unwrap();
        prop_assert_eq!(serde_json::from_str::<Lists>(&text).unwrap(), lists);
    }

    #[test]
    fn arbitrary_lists_parse(plans in any::<String>(), limits in any::<String>()) {
        if let Err(found) = Configuration::try_from(&lists(&plans, &limits)) {
            for fault in found {
                prop_assert!(fault.location.file == "plans" || fault.location.file == "limits");
            }
        }
    }

    #[test]
    fn truncated_lists_parse(configuration in configuration(), cut in any::<prop::sample::Index>()) {
        let whole = Lists::from(&configuration);
        let mut cut_at = cut.index(whole.limits.len());
        while !whole.limits.is_char_boundary(cut_at) {
            cut_at -= 1;
        }
        let _ = Configuration::try_from(&lists(&whole.plans, &whole.limits[..cut_at]));
        let difference = Difference::between(&whole, &lists(&whole.plans, &whole.limits[..cut_at]));
        prop_assert!(cut_at == whole.limits.len() || !difference.changes.iter().any(|it| it.before == it.after));
    }
}
