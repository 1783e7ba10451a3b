//! Compares the documented log events and metrics with the code.

use std::{collections::BTreeSet, fs, path::Path};

use fuchsiaknot_gateway::metrics::Metrics;

fn sources() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let dirs = [root.join("gateway/src"), root.join("platform/src")];
    dirs.iter().map(|it| sources_in(it)).collect()
}

fn sources_in(dir: &Path) -> String {
    let entries = fs::read_dir(dir).unwrap().map(|it| it.unwrap().path());
    let texts = entries.map(|path| match path.is_dir() {
        true => sources_in(&path),
        false => fs::read_to_string(path).unwrap(),
    });
    texts.collect()
}

#[test]
fn events_documented() {
    let text = sources();
    let codes = text.match_indices("code = ").filter_map(|(at, found)| {
        let rest = &text[at + found.len()..];
        rest.split(|it: char| !it.is_ascii_digit()).next()?.parse().ok()
    });
    let coded: BTreeSet<u32> = codes.collect();
    let page = include_str!("../../docs/gateway-events.md");
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter(|it| it.starts_with("| 8"))
        .map(|it| it.split('|').map(str::trim).collect())
        .collect();
    let documented: BTreeSet<u32> = rows.iter().map(|it| it[1].parse().unwrap()).collect();
    assert_eq!(documented, coded);
    assert_eq!(documented.len(), rows.len(), "duplicate code");
    for row in rows {
        assert!(text.contains(&format!("\"{}\"", row[3])), "no log line has the text {:?}", row[3]);
        assert!(!row[4].is_empty());
    }
}

/// Every log line at level INFO and above has a code.
#[test]
fn events_coded() {
    let text: String = sources().split_whitespace().collect();
    for level in ["info", "warn", "error"] {
        let call = format!("tracing::{level}!(");
        for (at, found) in text.match_indices(&call) {
            let rest = &text[at + found.len()..];
            assert!(rest.starts_with("code="), "{}", &rest[..60.min(rest.len())]);
        }
    }
}

/// The documentation lists exactly the metrics that a host serves.
#[test]
fn metrics_documented() {
    let metrics = Metrics::new().unwrap();
    // A metric with labels is served only once it has a value.
    metrics.answered.with_label_values(&["200"]);
    metrics.attempts.with_label_values(&["answered"]);
    metrics.retried.with_label_values(&["silent"]);
    metrics.further_calls.with_label_values(&["run"]);
    metrics.target_notices.with_label_values(&["leaving"]);
    metrics.peer_requests.with_label_values(&["sent"]);
    metrics.excess_requests.with_label_values(&["placed"]);
    metrics.origins_shown.with_label_values(&["shown"]);
    metrics.usage_reports.with_label_values(&["accepted"]);
    metrics.store_calls.with_label_values(&["answered"]);
    metrics.store_call_time.with_label_values(&["targets"]);
    metrics.latency.with_label_values(&["first"]);
    metrics.table_age.with_label_values(&["targets"]);
    metrics.scaled_targets.with_label_values(&["llm", "a", "firm"]);
    metrics.needed_targets.with_label_values(&["llm", "total"]);
    let text = String::from_utf8(metrics.text().unwrap()).unwrap();
    let served: BTreeSet<&str> =
        text.lines().filter_map(|it| it.strip_prefix("# TYPE ")?.split(' ').next()).collect();
    let page = include_str!("../../docs/gateway-metrics.md");
    let documented: BTreeSet<&str> =
        page.lines().filter_map(|it| it.strip_prefix("| `")?.split('`').next()).collect();
    assert_eq!(documented, served);
}
