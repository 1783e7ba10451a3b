//! HTML page that shows the fleet in a browser.

use std::fmt::Write;

use super::wire::{Counters, Fleet};

/// Interval at which the browser reloads the page.
const RELOAD_INTERVAL_SECONDS: u32 = 5;

/// Renders the fleet as one host sees it, and the counters of that host.
pub(super) fn render(fleet: &Fleet, counters: &Counters) -> String {
    let mut page = page_header(fleet);
    let hosts = fleet.hosts.iter().map(|it| {
        vec![
            it.host.to_string(),
            it.data_centre.to_string(),
            it.status.to_string(),
            it.version.map_or(String::from("none"), |it| it.to_string()),
            format!("{:?}", it.freshness).to_lowercase(),
            it.connections.to_string(),
        ]
    });
    let column_names = ["host", "data centre", "status", "version", "freshness", "connections"];
    append_table(&mut page, "Hosts", &column_names, hosts);
    let groups = fleet.groups.iter().map(|it| {
        vec![
            it.group.to_string(),
            it.holder.as_deref().unwrap_or("none").to_owned(),
            it.epoch.to_string(),
            comma_separated(it.pending.iter().map(|it| format!("{} {}", it.target, it.action))),
            comma_separated(it.drains.iter().map(ToString::to_string)),
            comma_separated(it.held_back.iter().map(ToString::to_string)),
        ]
    });
    let column_names = ["group", "holder", "epoch", "pending orders", "drains", "held back"];
    append_table(&mut page, "Groups", &column_names, groups);
    let targets = fleet.targets.iter().map(|it| {
        vec![
            it.target.to_string(),
            it.data_centre.to_string(),
            it.serves.to_string(),
            it.role.as_deref().unwrap_or("").to_owned(),
            it.serving.map_or("unknown", |it| if it { "yes" } else { "no" }).to_owned(),
            it.running.to_string(),
            it.waiting.to_string(),
            it.report_age_ms.map_or(String::from("never"), |it| format!("{it} ms")),
        ]
    });
    let column_names =
        ["target", "data centre", "serves", "role", "serving", "running", "waiting", "report"];
    append_table(&mut page, "Targets", &column_names, targets);
    let counter_rows =
        counters.counters.iter().map(|(name, it)| vec![name.to_string(), it.to_string()]);
    append_table(&mut page, "Counters of this host", &["counter", "value"], counter_rows);
    page
}

fn page_header(fleet: &Fleet) -> String {
    let (host, version) = (escape(&fleet.host), fleet.version);
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>fuchsiaknot {host}</title>\
         <meta http-equiv=\"refresh\" content=\"{RELOAD_INTERVAL_SECONDS}\">\
         <style>body{{font-family:sans-serif}}table{{border-collapse:collapse}}\
         td,th{{border:1px solid #999;padding:2px 8px;text-align:left}}</style>\
         <h1>fuchsiaknot on {host}</h1><p>Configuration version {version} is in force here.</p>"
    )
}

fn append_table(
    page: &mut String,
    title: &str,
    column_names: &[&str],
    rows: impl Iterator<Item = Vec<String>>,
) {
    let _ = write!(page, "<h2>{title}</h2><table><tr>");
    for column_name in column_names {
        let _ = write!(page, "<th>{column_name}</th>");
    }
    page.push_str("</tr>");
    for row in rows {
        page.push_str("<tr>");
        for cell in row {
            let _ = write!(page, "<td>{}</td>", escape(&cell));
        }
        page.push_str("</tr>");
    }
    page.push_str("</table>");
}

fn comma_separated(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join(", ")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
