//! Schedule of a shutdown, and until when requests are sent to targets.

mod common;

use std::time::Duration;

use common::ms;
use fuchsiaknot_gateway::entry::{duration::Tracker, shutdown::Schedule};
use rstest::rstest;

const START: Duration = Duration::from_secs(100);
const GRACE: Duration = Duration::from_secs(8);

fn schedule() -> Schedule {
    Schedule::new(START, GRACE)
}

#[test]
fn order_of_times() {
    for grace in [ms(0), ms(400), ms(2000), GRACE] {
        let Schedule { start, close, answer, end } = Schedule::new(START, grace);
        assert!(start <= close && close <= answer && answer <= end, "{grace:?}");
        assert!(end <= start + grace, "{grace:?}");
    }
}

/// A request whose deadline is beyond the grace period was sent however late it came.
#[rstest]
#[case::ends_in_time(ms(3400), ms(3000), None, ms(6400))]
#[case::ends_as_answers_are_due(ms(3000), ms(4250), None, ms(7250))]
#[case::late(ms(3400), ms(10_000), Some(ms(100)), ms(0))]
#[case::as_ports_close(ms(2500), ms(10_000), Some(ms(100)), ms(0))]
#[case::usually_short(ms(1000), ms(10_000), Some(ms(2000)), ms(5250))]
#[case::usually_long(ms(1000), ms(10_000), Some(ms(9000)), ms(0))]
#[case::unknown(ms(1000), ms(10_000), None, ms(0))]
fn start_by(
    #[case] read_after: Duration,
    #[case] deadline: Duration,
    #[case] usual_duration: Option<Duration>,
    #[case] expected: Duration,
) {
    let read_at = START + read_after;
    let latest = schedule().latest_start(read_at, read_at + deadline, usual_duration);
    assert_eq!(latest, START + expected);
}

#[test]
fn longest_of_last() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.usual(&"a".into()), None);
    tracker.record(&"a".into(), ms(9000));
    (0..64).for_each(|it| tracker.record(&"a".into(), ms(100 + it)));
    assert_eq!(tracker.usual(&"a".into()), Some(ms(163)));
    assert_eq!(tracker.usual(&"b".into()), None);
}
