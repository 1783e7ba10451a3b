//! Timeline of one request, assembled from the log lines of all hosts.

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime},
};

use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Time before a request's first line within which changes of a host's state are included.
const CONTEXT_BEFORE: Duration = Duration::from_secs(5);
/// Time after a request's last line within which changes of a host's state are included.
const CONTEXT_AFTER: Duration = Duration::from_secs(1);
/// Fields that mark a line as a change of state that affects every request of its host.
const STATE_FIELDS: [&str; 4] = ["matter", "before", "away_ms", "notice"];

/// One log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time of the event.
    pub at: SystemTime,
    /// Host that logged it.
    pub host: SmolStr,
    /// Message text.
    pub message: SmolStr,
    /// All other fields.
    pub fields: Map<String, Value>,
}

/// Parses the log lines of a host and skips text that is not a log line.
///
/// If there are words before the JSON object, the second one replaces `host` as the name of the
/// host.
pub fn parse_lines(host: &str, text: &str) -> Vec<Line> {
    text.lines().filter_map(|line| parse_line(host, line)).collect()
}

fn parse_line(host: &str, line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let host = line[..start].split_whitespace().nth(1).unwrap_or(host);
    let mut fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let at = humantime::parse_rfc3339(fields.remove("timestamp")?.as_str()?).ok()?;
    let message = SmolStr::new(fields.remove("message")?.as_str()?);
    Some(Line { at, host: SmolStr::new(host), message, fields })
}

impl Line {
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns whether the line is about a request.
    pub fn is_about(&self, id: &str) -> bool {
        self.text("id") == Some(id)
    }
}

/// Returns the lines about a request, and the state changes that may explain them, in order of
/// time.
pub fn of_request(lines: &[Line], id: &str) -> Vec<Line> {
    let about_request: Vec<&Line> = lines.iter().filter(|it| it.is_about(id)).collect();
    let (Some(first), Some(last)) =
        (about_request.iter().map(|it| it.at).min(), about_request.iter().map(|it| it.at).max())
    else {
        return Vec::new();
    };
    let hosts: BTreeSet<&str> = about_request.iter().map(|it| it.host.as_str()).collect();
    let targets: BTreeSet<&str> = about_request.iter().filter_map(|it| it.text("target")).collect();
    let explains = |it: &Line| {
        let about_target = it.text("target").is_some_and(|target| targets.contains(target));
        let about_host_state = STATE_FIELDS.iter().any(|name| it.fields.contains_key(*name));
        let in_time = first <= it.at + CONTEXT_BEFORE && it.at <= last + CONTEXT_AFTER;
        it.text("id").is_none()
            && in_time
            && hosts.contains(it.host.as_str())
            && (about_target || about_host_state)
    };
    let mut timeline: Vec<Line> =
        lines.iter().filter(|it| it.is_about(id) || explains(it)).cloned().collect();
    timeline.sort_by_key(|it| it.at);
    timeline
}
