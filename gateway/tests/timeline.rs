//! Timeline of a request from the log lines of several hosts.

use fuchsiaknot_gateway::timeline::{of_request, parse_lines};

const FIRST_HOST: &str = r#"
not a line
{"timestamp":"2026-12-03T10:00:00.000000Z","level":"INFO","message":"target added","target":"t1"}
{"timestamp":"2026-12-03T10:00:07.000000Z","level":"WARN","message":"store does not answer","matter":"targets"}
{"timestamp":"2026-12-03T10:00:08.500000Z","level":"INFO","message":"attempt failed","id":"r1","target":"t1"}
{"timestamp":"2026-12-03T10:00:08.700000Z","level":"INFO","message":"target gone","target":"t1"}
{"timestamp":"2026-12-03T10:00:08.700000Z","level":"INFO","message":"target gone","target":"t9"}
{"timestamp":"2026-12-03T10:00:08.600000Z","level":"INFO","message":"request given up","id":"r1"}
{"timestamp":"2026-12-03T10:00:08.600000Z","level":"INFO","message":"request given up","id":"r2"}
"#;
const SECOND_HOST: &str = r#"
 8.0 h2 {"timestamp":"2026-12-03T10:00:08.900000Z","level":"INFO","message":"request answered","id":"r1","target":"t2"}
"#;

#[test]
fn ordered_with_causes() {
    let mut lines = parse_lines("h1", FIRST_HOST);
    lines.extend(parse_lines("unnamed", SECOND_HOST));
    let timeline = of_request(&lines, "r1");
    let events: Vec<(&str, &str)> =
        timeline.iter().map(|it| (it.host.as_str(), it.message.as_str())).collect();
    assert_eq!(
        events,
        [
            ("h1", "store does not answer"),
            ("h1", "attempt failed"),
            ("h1", "request given up"),
            ("h1", "target gone"),
            ("h2", "request answered"),
        ]
    );
}

#[test]
fn unknown_request() {
    assert!(of_request(&parse_lines("h1", FIRST_HOST), "r7").is_empty());
}
