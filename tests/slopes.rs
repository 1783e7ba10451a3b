//! Cost of one more of everything: the fit, and a quick look at all measurements.

use fuchsiaknot::slopes::{
    self,
    fit::{Line, Point},
};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|(size, value)| Point { size: *size, value: *value }).collect()
}

#[test]
fn exact_line() {
    let line = Line::fit(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.start - 3.0).abs() < 1e-9);
    assert!(line.residual < 1e-9);
}

#[test]
fn bent_line_residual() {
    let line = Line::fit(&points(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)])).unwrap();
    assert!((line.slope).abs() < 1e-9);
    // Distances of 2/3, 4/3 and 2/3 from the mean of 2/3.
    assert!((line.residual - 2_f64.sqrt()).abs() < 1e-9);
}

#[test]
fn one_size_unfit() {
    assert_eq!(Line::fit(&points(&[(3.0, 1.0), (3.0, 2.0)])), None);
    assert_eq!(Line::fit(&[]), None);
}

#[test]
fn everything_measured() {
    let slopes = slopes::measure(64).unwrap();
    let items: Vec<_> = slopes.iter().map(|it| it.item).collect();
    for item in [
        "entry host",
        "target",
        "load report",
        "customer account",
        "plan",
        "edit of 1,000 accounts",
        "claim",
        "open stream",
        "token",
    ] {
        assert!(items.contains(&item), "{item} is missing");
    }
    assert!(slopes.iter().all(|it| 3 <= it.points.len()));
    // Bytes are counted, not timed, so that they are the same on any machine.
    let bytes = slopes.iter().filter(|it| it.quantity.starts_with("bytes"));
    assert!(bytes.clone().all(|it| 0.0 < it.line.slope));
}
