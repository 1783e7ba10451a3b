//! Straight lines through measured points.

use serde::Serialize;

/// A measurement at one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// What was measured there.
    pub value: f64,
}

/// The line `value = start + slope * size` that is nearest to the points by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    pub start: f64,
    /// Growth of the value with each unit of size.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line, over their mean value.
    pub residual: f64,
}

impl Line {
    /// Fits a line; `None` for fewer than two different sizes.
    pub fn fit(points: &[Point]) -> Option<Line> {
        let n = points.len() as f64;
        let size = points.iter().map(|it| it.size).sum::<f64>() / n;
        let value = points.iter().map(|it| it.value).sum::<f64>() / n;
        let spread: f64 = points.iter().map(|it| (it.size - size).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let common: f64 = points.iter().map(|it| (it.size - size) * (it.value - value)).sum();
        let slope = common / spread;
        let start = value - slope * size;
        let squares: f64 =
            points.iter().map(|it| (it.value - start - slope * it.size).powi(2)).sum();
        let residual = if value == 0.0 { 0.0 } else { (squares / n).sqrt() / value.abs() };
        Some(Line { start, slope, residual })
    }
}
