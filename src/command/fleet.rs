//! The commands `fleet`, `requests` and `counters`.

use clap::Subcommand;

use super::{Failure, Options, Printer};
use crate::operate::wire::{Counters, Fleet, Group, Host, Request, Requests, Target};

/// What to do with the fleet.
#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Shows hosts with their freshness, groups with their lease holders, orders and drains, and
    /// targets with their roles.
    Show,
}

impl Command {
    pub(super) fn run(self, options: &Options, printer: &Printer) -> Result<(), Failure> {
        match self {
            Command::Show => {
                printer.print_answer(&options.client().fleet()?, |it| fleet_tables(it, printer))
            }
        }
    }
}

pub(super) fn show_requests(options: &Options, printer: &Printer) -> Result<(), Failure> {
    printer.print_answer(&options.client().requests()?, |it| request_table(it, printer))
}

pub(super) fn show_counters(options: &Options, printer: &Printer) -> Result<(), Failure> {
    printer.print_answer(&options.client().counters()?, |it| counter_table(it, printer))
}

fn fleet_tables(fleet: &Fleet, printer: &Printer) -> String {
    let freshness = format!("{:?}", fleet.freshness).to_lowercase();
    let summary = format!(
        "Seen by {}, which has version {} in force and is {freshness}\n\n",
        fleet.host, fleet.version
    );
    let hosts: Vec<_> = fleet.hosts.iter().map(host_row).collect();
    let host_headings = ["host", "data centre", "status", "version", "freshness", "connections"];
    let groups: Vec<_> = fleet.groups.iter().map(group_row).collect();
    let group_headings = ["group", "holder", "epoch", "pending orders", "drains", "held back"];
    let targets: Vec<_> = fleet.targets.iter().map(target_row).collect();
    let target_headings =
        ["target", "data centre", "serves", "role", "serving", "running", "waiting", "report"];
    let announcements: Vec<_> = fleet
        .announcements
        .iter()
        .map(|it| {
            vec![it.id.to_string(), it.change.to_string(), format!("{} s", it.after_ms / 1_000)]
        })
        .collect();
    [
        summary,
        printer.format_table("Hosts", &host_headings, &hosts),
        printer.format_table("\nGroups", &group_headings, &groups),
        printer.format_table("\nTargets", &target_headings, &targets),
        printer.format_table("\nAnnounced changes", &["id", "change", "delay"], &announcements),
    ]
    .concat()
}

fn host_row(it: &Host) -> Vec<String> {
    vec![
        it.host.to_string(),
        it.data_centre.to_string(),
        it.status.to_string(),
        it.version.map_or("none".to_owned(), |it| it.to_string()),
        format!("{:?}", it.freshness).to_lowercase(),
        it.connections.to_string(),
    ]
}

fn group_row(it: &Group) -> Vec<String> {
    let pending = it.pending.iter().map(|it| format!("{} {}", it.target, it.action));
    let drains = it.drains.iter().map(ToString::to_string);
    vec![
        it.group.to_string(),
        it.holder.as_deref().unwrap_or("none").to_owned(),
        it.epoch.to_string(),
        join(pending),
        join(drains),
        join(it.held_back.iter().map(ToString::to_string)),
    ]
}

fn target_row(it: &Target) -> Vec<String> {
    let serving = match (it.serving, it.leaving) {
        (_, true) => "leaving",
        (Some(true), _) => "yes",
        (Some(false), _) => "no",
        (None, _) => "unknown",
    };
    vec![
        it.target.to_string(),
        it.data_centre.to_string(),
        it.serves.to_string(),
        it.role.as_deref().unwrap_or("-").to_owned(),
        serving.to_owned(),
        it.running.to_string(),
        it.waiting.to_string(),
        it.report_age_ms.map_or("never".to_owned(), |it| format!("{it} ms ago")),
    ]
}

fn request_table(requests: &Requests, printer: &Printer) -> String {
    let row = |it: &Request| {
        vec![
            it.request.to_string(),
            it.customer.to_string(),
            it.plan.to_string(),
            it.asks.to_string(),
            it.target.as_deref().unwrap_or("-").to_owned(),
            it.attempts.to_string(),
            format!("{} ms", it.age_ms),
        ]
    };
    let rows: Vec<_> = requests.requests.iter().map(row).collect();
    let title = format!("Open requests of {}", requests.host);
    let headings = ["request", "customer", "plan", "asks for", "target", "attempts", "age"];
    printer.format_table(&title, &headings, &rows)
}

fn counter_table(counters: &Counters, printer: &Printer) -> String {
    let row = |(name, value): (&smol_str::SmolStr, &i64)| vec![name.to_string(), value.to_string()];
    let rows: Vec<_> = counters.counters.iter().map(row).collect();
    printer.format_table(&format!("Counters of {}", counters.host), &["counter", "value"], &rows)
}

/// Joins the items of a cell; an empty cell shows a dash.
fn join(items: impl Iterator<Item = String>) -> String {
    let text = items.collect::<Vec<_>>().join(", ");
    if text.is_empty() { "-".to_owned() } else { text }
}
