//! Checks that the documentation matches the code.

use std::collections::BTreeSet;

use fuchsiaknot::{
    configuration::{Account, Configuration, Limits, Lists},
    event::Event,
    metric::{Metrics, RetryReason},
    settings::{self, Key, Need, Settings},
    verdict::Reason,
};
use rstest::rstest;

/// Returns the cells of the table rows whose first cell satisfies `is_wanted`.
fn table_rows(text: &str, is_wanted: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    let cells = |line: &str| -> Vec<String> {
        line.trim_matches('|').split('|').map(|it| it.trim().to_owned()).collect()
    };
    let table = text.lines().filter(|it| it.starts_with('|')).map(cells);
    table.filter(|it| is_wanted(&it[0])).collect()
}

#[test]
fn events_catalogued() {
    let documented: BTreeSet<(String, String)> =
        table_rows(include_str!("../docs/events.md"), |it| it.starts_with("FK-"))
            .into_iter()
            .map(|it| {
                assert!(it.len() == 4 && it.iter().all(|cell| !cell.is_empty()), "{it:?}");
                (it[0].clone(), it[1].clone())
            })
            .collect();
    let level = |it: &Event| it.level().as_str().to_lowercase();
    let declared = Event::ALL.iter().map(|it| (format!("FK-{}", it.number()), level(it))).collect();
    assert_eq!(documented, declared);
    assert_eq!(documented.len(), Event::ALL.len(), "two events share a number");
}

/// Returns the table rows that a page must have for the keys.
fn key_rows(keys: Vec<Key>) -> BTreeSet<Vec<String>> {
    let default = |it: &Key| match (it.need, &it.default) {
        (Need::Required, _) => "required".to_owned(),
        (Need::Optional, Some(text)) => format!("`{text}`"),
        (Need::Optional, None) => "none".to_owned(),
    };
    let row = |it: &Key| {
        let name = format!("`{}.{}`", it.section, it.name);
        vec![name, it.unit.to_owned(), default(it), it.meaning.to_owned()]
    };
    keys.iter().map(row).collect()
}

fn is_key(cell: &str) -> bool {
    cell.starts_with('`') && cell.contains('.') && !is_counter(cell)
}

fn is_counter(cell: &str) -> bool {
    cell.starts_with("`refused.") || cell.starts_with("`retried.")
}

#[test]
fn settings_documented() {
    let documented = table_rows(include_str!("../docs/settings.md"), is_key);
    let count = documented.len();
    let documented: BTreeSet<_> = documented.into_iter().collect();
    assert_eq!(documented, key_rows(Settings::keys()));
    assert_eq!(documented.len(), count, "a key is documented twice");
}

#[test]
fn lists_documented() {
    let documented: BTreeSet<_> =
        table_rows(include_str!("../docs/operators.md"), is_key).into_iter().collect();
    let keys = [settings::keys::<Account>(), settings::keys::<Limits>()].concat();
    assert_eq!(documented, key_rows(keys));
}

#[test]
fn counters_documented() {
    let documented = table_rows(include_str!("../docs/operators.md"), is_counter);
    assert!(documented.iter().all(|it| it.len() == 3 && !it[2].is_empty()), "{documented:?}");
    let documented: BTreeSet<_> =
        documented.into_iter().map(|it| (it[0].clone(), it[1].clone())).collect();
    let refused = Reason::ALL
        .iter()
        .map(|it| (format!("`refused.{}`", it.code()), it.verdict().as_str().to_owned()));
    let retried =
        RetryReason::ALL.iter().map(|it| (format!("`retried.{}`", it.code()), String::new()));
    assert_eq!(documented, refused.chain(retried).collect());
}

#[test]
fn counters_distinct() {
    let metrics = Metrics::local();
    Reason::ALL.iter().for_each(|it| metrics.count_refusal(*it));
    RetryReason::ALL.iter().for_each(|it| metrics.count_retry(*it));
    let counters = metrics.counters();
    assert_eq!(counters.len(), Reason::ALL.len() + RetryReason::ALL.len());
    assert!(counters.values().all(|it| *it == 1));
}

#[test]
fn exit_codes_listed() {
    let help = fuchsiaknot::command::help();
    for code in 0..=8 {
        assert!(help.contains(&format!("\n  {code}  ")), "{code} is not in\n{help}");
    }
}

#[rstest]
#[case::ledova_vlocka(
    include_str!("../examples/ledova-vlocka/settings.ini"),
    include_str!("../examples/ledova-vlocka/plans.ini"),
    include_str!("../examples/ledova-vlocka/limits.ini"),
    "bulk",
    "dispatch"
)]
#[case::berindex(
    include_str!("../examples/berindex/settings.ini"),
    include_str!("../examples/berindex/plans.ini"),
    include_str!("../examples/berindex/limits.ini"),
    "publishing",
    "compare"
)]
fn examples_accepted(
    #[case] settings: &str,
    #[case] plans: &str,
    #[case] limits: &str,
    #[case] restricted_plan: &str,
    #[case] not_allowed: &str,
) {
    let settings = Settings::parse("settings.ini", settings).unwrap();
    assert!(!settings.services.is_empty());
    let lists = Lists { plans: plans.into(), limits: limits.into(), announcements: Vec::new() };
    let configuration = Configuration::try_from(&lists).unwrap();
    assert_eq!(configuration.customers.len(), 4);
    assert!(!configuration.limits[restricted_plan].allows(not_allowed));
    assert_eq!(Configuration::try_from(&Lists::from(&configuration)), Ok(configuration));
}
