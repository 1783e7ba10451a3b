//! Which targets this host may send to after they said that they are leaving or asked for a backoff.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::targets::{
    availability::{Backoff, Departure, InvalidBackoff, Source, Tracker},
    registry::Key,
};
use rstest::rstest;

use common::{keys, ms, target};

const SLOTS: u32 = 4;

fn key() -> Key {
    keys(1)[0]
}

fn departure(id: &str, incarnation: u64) -> Departure {
    let mut target = target(id, 1);
    target.incarnation = Some(incarnation);
    Departure::from(&target)
}

fn backoff(text: &str) -> Backoff {
    Backoff::try_from(text).unwrap()
}

/// A backoff is a positive number of seconds, also a fraction, and never longer than ten minutes.
#[rstest]
#[case::seconds("2", Ok(ms(2000)))]
#[case::fraction("0.25", Ok(ms(250)))]
#[case::spaces(" 1 ", Ok(ms(1000)))]
#[case::longest("600", Ok(ms(600_000)))]
#[case::too_long("601", Ok(ms(600_000)))]
#[case::absurd("1e300", Ok(ms(600_000)))]
#[case::zero("0", Err(InvalidBackoff))]
#[case::negative_zero("-0.0", Err(InvalidBackoff))]
#[case::negative("-1", Err(InvalidBackoff))]
#[case::not_a_number("NaN", Err(InvalidBackoff))]
#[case::infinite("inf", Err(InvalidBackoff))]
#[case::overflow("1e400", Err(InvalidBackoff))]
#[case::text("soon", Err(InvalidBackoff))]
#[case::empty("", Err(InvalidBackoff))]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT", Err(InvalidBackoff))]
fn backoff_values(#[case] text: &str, #[case] expected: Result<Duration, InvalidBackoff>) {
    assert_eq!(Backoff::try_from(text).map(Duration::from), expected);
}

/// A target without a notice is available.
#[test]
fn no_notice() {
    let (tracker, key) = (Tracker::default(), key());
    assert!(tracker.is_available(key, ms(0)) && tracker.may_send(key, ms(0)));
}

/// Nothing is sent until the backoff is over, whatever shorter one follows.
#[test]
fn backoff_ends() {
    let (mut tracker, key) = (Tracker::default(), key());
    tracker.record_backoff(key, backoff("2"), ms(1000));
    tracker.record_backoff(key, backoff("0.1"), ms(1100));
    assert!(!tracker.may_send(key, ms(2999)) && !tracker.is_available(key, ms(2999)));
    assert_eq!(tracker.time_until_available(key, ms(1400)), Some(ms(1600)));
    assert!(tracker.may_send(key, ms(3000)) && tracker.is_available(key, ms(3000)));
    tracker.record_backoff(key, backoff("1"), ms(5000));
    assert!(!tracker.may_send(key, ms(5999)));
}

/// Requests that waited for the end of a backoff don't reach the target all at once.
#[test]
fn spaced_after_backoff() {
    let (mut tracker, key) = (Tracker::default(), key());
    tracker.record_backoff(key, backoff("1"), ms(0));
    let sent_by = |tracker: &mut Tracker, from: u64, to: u64| {
        let due = (from..to).filter(|now| {
            let available = tracker.is_available(key, ms(*now));
            if available {
                tracker.record_request(key, SLOTS, ms(*now));
            }
            available
        });
        due.count()
    };
    assert_eq!(sent_by(&mut tracker, 900, 1050), 1);
    assert_eq!(sent_by(&mut tracker, 1050, 1500), 7);
    assert_eq!(sent_by(&mut tracker, 1570, 1670), 100);
    // A request that was chosen before the next one's time may still be sent.
    tracker.record_backoff(key, backoff("1"), ms(2000));
    tracker.record_request(key, SLOTS, ms(3000));
    assert!(tracker.may_send(key, ms(3001)) && !tracker.is_available(key, ms(3001)));
}

/// A departure is new once, and no backoff or time ends it.
#[test]
fn departure_stays() {
    let (mut tracker, key) = (Tracker::default(), key());
    assert!(tracker.record_departure(key, departure("one", 1), Source::Target, ms(0)));
    assert!(!tracker.record_departure(key, departure("one", 1), Source::Target, ms(10)));
    tracker.record_backoff(key, backoff("1"), ms(20));
    tracker.expire(ms(10_000_000));
    assert!(tracker.is_leaving(key) && !tracker.may_send(key, ms(10_000_000)));
    assert_eq!(tracker.time_until_available(key, ms(10_000_000)), None);
}

/// A departed run whose entry is lost and comes back is recognised for a minute; a later run is not
/// taken for it, nor does a late report of an earlier run replace it.
#[test]
fn departure_remembered() {
    let mut tracker = Tracker::default();
    tracker.remember(departure("one", 2), Source::Target, ms(0));
    tracker.remember(departure("one", 1), Source::Target, ms(10));
    assert!(tracker.has_departed(&departure("one", 2)));
    assert!(!tracker.has_departed(&departure("one", 1)));
    assert!(!tracker.has_departed(&departure("one", 3)));
    let elsewhere = Departure { address: "127.0.0.1:9".parse().unwrap(), ..departure("one", 2) };
    assert!(!tracker.has_departed(&elsewhere));
    tracker.expire(ms(59_999));
    assert!(tracker.has_departed(&departure("one", 2)));
    tracker.expire(ms(60_000));
    assert!(!tracker.has_departed(&departure("one", 2)));
}

/// The minute starts when the target leaves the registry, however long it was there.
#[test]
fn departure_of_known_target() {
    let (mut tracker, key) = (Tracker::default(), key());
    tracker.record_departure(key, departure("one", 1), Source::Target, ms(0));
    tracker.expire(ms(500_000));
    tracker.forget(key, &"one".into(), ms(500_000));
    assert!(!tracker.is_leaving(key));
    tracker.expire(ms(559_999));
    assert!(tracker.has_departed(&departure("one", 1)));
    tracker.expire(ms(560_000));
    assert!(!tracker.has_departed(&departure("one", 1)));
}

/// What a host reports and remembers is bounded, and the latest departures come first.
#[test]
fn departures_bounded() {
    let mut tracker = Tracker::default();
    for number in 0..2000 {
        tracker.remember(departure(&format!("t{number}"), 1), Source::Target, ms(number));
    }
    let known = (0..2000).filter(|it| tracker.has_departed(&departure(&format!("t{it}"), 1)));
    assert_eq!(known.count(), 1024);
    let reported = tracker.recent_departures(ms(2000));
    let expected: Vec<String> = (0..16).map(|it| format!("t{}", 1999 - it)).collect();
    assert_eq!(reported.iter().map(|it| it.target.as_str()).collect::<Vec<_>>(), expected);
    // What another host reported isn't reported again.
    tracker.remember(departure("reported", 1), Source::Host, ms(2000));
    assert_eq!(tracker.recent_departures(ms(2000))[0].target, "t1999");
    // A report that comes back doesn't extend the time for which it is reported.
    tracker.remember(departure("t1999", 1), Source::Target, ms(6000));
    assert!(tracker.recent_departures(ms(6999)).is_empty());
}
