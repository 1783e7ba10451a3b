//! The command `explain`: the timeline of a request, from the log files of the hosts.

use std::{
    fs,
    io::Read,
    path::{Path, PathBuf},
};

use fuchsiaknot_gateway::timeline::{self, Line};
use serde::Serialize;
use serde_json::{Map, Value};

use super::{Failure, Printer};

/// Arguments of `explain`.
#[derive(Debug, clap::Args)]
pub(super) struct Explain {
    /// Request ID, as the caller sent it.
    id: String,
    /// Log files, each named after its host; standard input if none is given.
    files: Vec<PathBuf>,
}

/// A log line of the timeline; `after_ms` counts from the first line.
#[derive(Debug, Serialize)]
struct Step {
    after_ms: f64,
    host: String,
    message: String,
    fields: Map<String, Value>,
}

impl Explain {
    pub(super) fn run(&self, printer: &Printer) -> Result<(), Failure> {
        let mut lines = Vec::new();
        if self.files.is_empty() {
            let mut text = String::new();
            std::io::stdin().read_to_string(&mut text)?;
            lines.extend(timeline::parse_lines("-", &text));
        }
        for path in &self.files {
            let file = path.display().to_string();
            let text = fs::read_to_string(path).map_err(|source| Failure::File { file, source })?;
            lines.extend(timeline::parse_lines(&host_name(path), &text));
        }
        let steps = timeline_steps(timeline::of_request(&lines, &self.id));
        if steps.is_empty() {
            let hint = "give the log files of every host that may have handled it";
            return Err(Failure::Usage(format!(
                "no log line is about request {}; {hint}",
                self.id
            )));
        }
        printer.print_answer(&steps, |it| it.iter().map(Step::text).collect())
    }
}

/// Returns the host that a log file is named after.
fn host_name(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |it| it.to_string_lossy().into_owned())
}

fn timeline_steps(lines: Vec<Line>) -> Vec<Step> {
    let Some(start) = lines.first().map(|it| it.at) else { return Vec::new() };
    let step = |line: Line| Step {
        after_ms: line.at.duration_since(start).unwrap_or_default().as_secs_f64() * 1e3,
        host: line.host.to_string(),
        message: line.message.to_string(),
        fields: line.fields,
    };
    lines.into_iter().map(step).collect()
}

impl Step {
    fn text(&self) -> String {
        let shown =
            self.fields.iter().filter(|(name, _)| !["id", "level"].contains(&name.as_str()));
        let shown = shown.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        let fields: Vec<String> = shown.collect();
        let Step { after_ms, host, message, .. } = self;
        format!("{after_ms:>9.1} ms  {host:<18} {message}: {}\n", fields.join(" "))
    }
}
