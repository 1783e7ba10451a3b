//! Callers that were refused together don't retry together.

mod common;

use fuchsiaknot_gateway::entry::retry_after::delay;
use rstest::rstest;

use common::ms;

/// A hundred callers are refused at the same time. No tenth of the interval in which they retry
/// gets more than twice its share, and none retries before the queued work is done.
#[rstest]
#[case::long_deadline(10_000)]
#[case::short_deadline(2500)]
fn refused_burst(#[case] deadline: u64) {
    let draws = (0..100).map(|it| f64::from(it) / 100.0);
    let delays: Vec<_> = draws.map(|it| delay(ms(200), ms(deadline), it)).collect();
    assert!(delays.iter().all(|it| ms(200) <= *it && 3 * *it <= ms(deadline)));
    let (first, last) = (delays[0], delays[99]);
    let tenth = (last - first) / 10;
    for part in 0..10 {
        let begin = first + tenth * part;
        let count = delays.iter().filter(|it| begin <= **it && **it < begin + tenth).count();
        assert!(count <= 20, "{count} in part {part}");
    }
}

#[test]
fn bounded_by_deadline() {
    assert_eq!(delay(ms(60_000), ms(3000), 1.0), ms(1000));
}
