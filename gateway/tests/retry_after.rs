//! Callers that were refused together do not come back together.

mod common;

use fuchsiaknot_gateway::retry_after::delay;
use rstest::rstest;

use common::ms;

/// Pattern: a hundred callers are refused in one moment. No tenth of the time in which they return
/// gets more than twice its part, and none returns before the work that waits is done.
#[rstest]
#[case::long_deadline(10_000)]
#[case::short_deadline(2500)]
fn refused_burst(#[case] deadline: u64) {
    let draws = (0..100).map(|it| f64::from(it) / 100.0);
    let times: Vec<_> = draws.map(|it| delay(ms(200), ms(deadline), it)).collect();
    assert!(times.iter().all(|it| ms(200) <= *it && 3 * *it <= ms(deadline)));
    let (first, last) = (times[0], times[99]);
    let slot = (last - first) / 10;
    for part in 0..10 {
        let begin = first + slot * part;
        let count = times.iter().filter(|it| begin <= **it && **it < begin + slot).count();
        assert!(count <= 20, "{count} in part {part}");
    }
}

#[test]
fn bounded_by_deadline() {
    assert_eq!(delay(ms(60_000), ms(3000), 1.0), ms(1000));
}
