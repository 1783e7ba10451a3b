//! The documentation against the code.

use std::collections::BTreeSet;

use fuchsiaknot::event::Event;

/// Returns the cells of the table rows whose first cell passes.
fn rows(text: &str, first: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    let cells = |line: &str| -> Vec<String> {
        line.trim_matches('|').split('|').map(|it| it.trim().to_owned()).collect()
    };
    let table = text.lines().filter(|it| it.starts_with('|')).map(cells);
    table.filter(|it| first(&it[0])).collect()
}

#[test]
fn events_catalogued() {
    let documented: BTreeSet<(String, String)> =
        rows(include_str!("../docs/events.md"), |it| it.starts_with("FK-"))
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
