//! The plain page that shows the fleet in a browser.

use std::fmt::Write;

use super::wire::{Counters, Fleet};

/// Seconds after which a browser loads the page again.
const REFRESH_SECONDS: u32 = 5;

/// Renders the fleet and the counters of one host.
pub(super) fn render(fleet: &Fleet, counters: &Counters) -> String {
    let mut page = head(fleet);
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
    let heads = ["host", "data centre", "status", "version", "freshness", "connections"];
    table(&mut page, "Hosts", &heads, hosts);
    let groups = fleet.groups.iter().map(|it| {
        vec![
            it.group.to_string(),
            it.holder.as_deref().unwrap_or("none").to_owned(),
            it.epoch.to_string(),
            list(it.pending.iter().map(|it| format!("{} {}", it.target, it.action))),
            list(it.drains.iter().map(|it| format!("{} ({})", it.target, it.purpose))),
            list(it.held_back.iter().map(ToString::to_string)),
        ]
    });
    let heads = ["group", "holder", "epoch", "pending orders", "drains", "held back"];
    table(&mut page, "Groups", &heads, groups);
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
    let heads =
        ["target", "data centre", "serves", "role", "serving", "running", "waiting", "report"];
    table(&mut page, "Targets", &heads, targets);
    let counted = counters.counters.iter().map(|(name, it)| vec![name.to_string(), it.to_string()]);
    table(&mut page, "Counters of this host", &["counter", "value"], counted);
    page
}

fn head(fleet: &Fleet) -> String {
    let (host, version) = (escape(&fleet.host), fleet.version);
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>fuchsiaknot {host}</title>\
         <meta http-equiv=\"refresh\" content=\"{REFRESH_SECONDS}\">\
         <style>body{{font-family:sans-serif}}table{{border-collapse:collapse}}\
         td,th{{border:1px solid #999;padding:2px 8px;text-align:left}}</style>\
         <h1>fuchsiaknot on {host}</h1><p>Configuration version {version} is in force here.</p>"
    )
}

fn table(page: &mut String, title: &str, heads: &[&str], rows: impl Iterator<Item = Vec<String>>) {
    let _ = write!(page, "<h2>{title}</h2><table><tr>");
    for head in heads {
        let _ = write!(page, "<th>{head}</th>");
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

fn list(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join(", ")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
