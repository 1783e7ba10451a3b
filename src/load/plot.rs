//! Plot of a run as SVG: goodput, mix and roles over time.

use std::fmt::Write;

use crate::load::{Report, timeline::Sample};

/// Size of the drawing, in pixels.
const WIDTH: f64 = 900.0;
/// Height of one panel, in pixels.
const PANEL: f64 = 140.0;
/// Space round the panels, in pixels.
const MARGIN: f64 = 40.0;

/// One line of a panel.
struct Line<'a> {
    colour: &'a str,
    value: fn(&Sample) -> f64,
}

/// Draws a report.
pub(super) fn svg(report: &Report) -> String {
    let height = 3.0 * (PANEL + MARGIN) + MARGIN;
    let width = WIDTH + 2.0 * MARGIN;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let goodput: [Line<'_>; 2] = [
        Line { colour: "#999999", value: |it| f64::from(it.offered) },
        Line { colour: "#1b7837", value: |it| f64::from(it.in_time) },
    ];
    let mix: [Line<'_>; 1] = [Line { colour: "#762a83", value: |it| it.prefill_part }];
    let roles: [Line<'_>; 3] = [
        Line { colour: "#2166ac", value: |it| f64::from(it.roles[0]) },
        Line { colour: "#b2182b", value: |it| f64::from(it.roles[1]) },
        Line { colour: "#555555", value: |it| f64::from(it.roles[2]) },
    ];
    let name = format!("{} {} seed {}", report.scenario, report.policy, report.seed);
    panel(&mut out, 0, &format!("{name}: offered (grey), in time (green)"), report, &goodput);
    panel(&mut out, 1, "part of the work that is prefill", report, &mix);
    panel(&mut out, 2, "engines: prefill (blue), decode (red), mixed (grey)", report, &roles);
    out.push_str("</svg>\n");
    out
}

fn panel(out: &mut String, place: u8, title: &str, report: &Report, lines: &[Line<'_>]) {
    let top = MARGIN + f64::from(place) * (PANEL + MARGIN);
    let samples = &report.samples;
    let values = samples.iter().flat_map(|it| lines.iter().map(move |line| (line.value)(it)));
    let most = values.fold(1.0, f64::max);
    let end = samples.last().map_or(1.0, |it| it.at.max(1.0));
    let _ = writeln!(out, "<text x=\"{MARGIN}\" y=\"{}\">{title}</text>", top - 6.0);
    let _ = writeln!(
        out,
        "<rect x=\"{MARGIN}\" y=\"{top}\" width=\"{WIDTH}\" height=\"{PANEL}\" fill=\"none\" stroke=\"#cccccc\"/>"
    );
    let _ = writeln!(out, "<text x=\"4\" y=\"{}\">{most:.1}</text>", top + 10.0);
    for line in lines {
        let points: Vec<String> = samples
            .iter()
            .map(|it| {
                let x = MARGIN + WIDTH * it.at / end;
                let y = top + PANEL * (1.0 - (line.value)(it) / most);
                format!("{x:.1},{y:.1}")
            })
            .collect();
        let _ = writeln!(
            out,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>",
            points.join(" "),
            line.colour
        );
    }
}
