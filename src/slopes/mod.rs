//! Cost of one more of everything that grows: measured at several sizes, with the line through
//! them.
//!
//! Everything runs in this process over loopback, one measurement after the other.

mod configuration;
mod control;
pub mod fit;
mod meter;
mod requests;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use clap::Args as ClapArgs;
use serde::Serialize;

use self::fit::{Line, Point};

/// Arguments of `load slopes`.
#[derive(Debug, Clone, ClapArgs)]
pub struct Args {
    /// Prints JSON in place of a table.
    #[arg(long)]
    pub json: bool,
    /// Divides all sizes, for a quick look; the figures are then rough.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    pub divide: u32,
}

/// One quantity measured at several sizes.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// What there is more of.
    pub item: &'static str,
    /// What was measured.
    pub quantity: &'static str,
    /// Unit of the slope for each item.
    pub unit: &'static str,
    /// The measurements.
    pub points: Vec<Point>,
    /// The line through them.
    pub line: Line,
}

impl Slope {
    fn new(
        item: &'static str,
        quantity: &'static str,
        unit: &'static str,
        points: Vec<Point>,
    ) -> io::Result<Slope> {
        let line = Line::fit(&points).ok_or_else(|| io::Error::other("too few sizes to fit"))?;
        Ok(Slope { item, quantity, unit, points, line })
    }
}

/// Sizes of a measurement, divided for a quick look.
#[derive(Debug, Clone, Copy)]
struct Sizes(u32);

impl Sizes {
    /// Returns the sizes in use; all differ and none is 0.
    fn of(self, sizes: &[usize]) -> Vec<usize> {
        let divided = sizes.iter().map(|it| it / self.0 as usize);
        divided.enumerate().map(|(i, it)| it.max(i + 1)).collect()
    }
}

/// Measures all slopes.
///
/// # Errors
/// Fails when a stand-in cannot be started or does not answer.
pub fn measure(divide: u32) -> io::Result<Vec<Slope>> {
    let sizes = Sizes(divide);
    let mut slopes = control::measure(sizes)?;
    slopes.extend(configuration::measure(sizes)?);
    slopes.extend(requests::measure(sizes)?);
    Ok(slopes)
}

/// Measures all slopes and prints them.
pub fn run(args: &Args) -> ExitCode {
    let printed = measure(args.divide).and_then(|it| print(&it, args.json));
    match printed {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("cannot measure: {err}; free ports and memory, then try again");
            ExitCode::FAILURE
        }
    }
}

fn print(slopes: &[Slope], json: bool) -> io::Result<()> {
    let mut out = io::stdout().lock();
    if json {
        return writeln!(out, "{}", serde_json::to_string_pretty(slopes)?);
    }
    writeln!(out, "| one more | quantity | at sizes | measured | slope | at 0 | residual |")?;
    writeln!(out, "|---|---|---|---|---|---|---|")?;
    for slope in slopes {
        writeln!(out, "{}", row(slope))?;
    }
    Ok(())
}

fn row(slope: &Slope) -> String {
    let list = |of: fn(&Point) -> f64| {
        slope.points.iter().map(|it| short(of(it))).collect::<Vec<_>>().join(", ")
    };
    format!(
        "| {} | {} | {} | {} | {} {} | {} | {:.1}% |",
        slope.item,
        slope.quantity,
        list(|it| it.size),
        list(|it| it.value),
        short(slope.line.slope),
        slope.unit,
        short(slope.line.start),
        slope.line.residual * 100.0,
    )
}

/// Returns a number with three digits or, when it is large, without a fraction.
fn short(value: f64) -> String {
    match value.abs() {
        it if 100.0 <= it => format!("{value:.0}"),
        it if 1.0 <= it => format!("{value:.2}"),
        0.0 => "0".to_owned(),
        _ => format!("{value:.4}"),
    }
}
