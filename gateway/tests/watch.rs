//! Who asks the store for changes, and who relies on what others saw.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::watch::{News, Sight, Step, Watch};

use common::ms;

const RETURN: Duration = Duration::from_millis(2000);

fn sight(after: u64, at: u64) -> Sight<()> {
    Sight { after, at, age: Duration::ZERO, contents: () }
}

/// A watch that read the table at version 10, at 1,000 ms.
fn informed() -> Watch {
    let mut watch = Watch::default();
    assert_eq!(watch.next(false, ms(0)), Step::Read);
    watch.answered(10, RETURN, ms(1000));
    watch
}

/// Pattern: many hosts and one store. While a watcher confirms the picture, the others do not ask.
#[test]
fn relies_on_watchers() {
    let mut watch = informed();
    let mut asked = 0;
    for round in 1..100 {
        let now = ms(1000 + 600 * round);
        assert_eq!(watch.hear(&sight(9 + round, 10 + round), RETURN, now), News::After(9 + round));
        asked += usize::from(matches!(watch.next(false, now), Step::Ask { .. }));
    }
    assert_eq!(asked, 0);
}

#[test]
fn watcher_asks() {
    assert_eq!(informed().next(true, ms(1001)), Step::Ask { after: 10, wait: true });
}

/// Nobody confirms the picture any more: the host asks before a change would be late.
#[test]
fn watchers_gone() {
    let watch = informed();
    assert_eq!(watch.next(false, ms(1500)), Step::Rest(ms(700)));
    assert_eq!(watch.next(false, ms(2200)), Step::Ask { after: 10, wait: false });
}

#[test]
fn missed_change() {
    let mut watch = informed();
    assert_eq!(watch.hear(&sight(12, 13), RETURN, ms(1100)), News::Missed);
    assert_eq!(watch.next(false, ms(1100)), Step::Ask { after: 10, wait: false });
    watch.answered(13, RETURN, ms(1110));
    assert!(matches!(watch.next(false, ms(1110)), Step::Rest(_)));
}

/// Two watchers overlap; what was known already is not told as new.
#[test]
fn overlapping_sights() {
    let mut watch = informed();
    assert_eq!(watch.hear(&sight(7, 9), RETURN, ms(1100)), News::Old);
    assert_eq!(watch.hear(&sight(7, 12), RETURN, ms(1200)), News::After(10));
    assert_eq!(watch.hear(&sight(10, 11), RETURN, ms(1300)), News::Old);
    assert_eq!(watch.age(ms(1300)), ms(100));
}

/// A watcher that was suspended tells of what it saw before.
#[test]
fn old_sight() {
    let mut watch = informed();
    let sight = Sight { age: ms(3000), ..sight(10, 10) };
    assert_eq!(watch.hear(&sight, RETURN, ms(1500)), News::After(10));
    assert_eq!(watch.age(ms(1500)), ms(500));
}

#[test]
fn history_gone() {
    let mut watch = informed();
    watch.failed(true, ms(1100));
    assert_eq!(watch.next(false, ms(1100)), Step::Read);
}

/// A host that the store did not answer tries again although others keep it up to date.
#[test]
fn tries_again() {
    let mut watch = informed();
    watch.failed(false, ms(1100));
    watch.hear(&sight(10, 11), RETURN, ms(3000));
    assert!(matches!(watch.next(false, ms(3099)), Step::Rest(_)));
    assert_eq!(watch.next(false, ms(3100)), Step::Ask { after: 11, wait: false });
    watch.answered(11, RETURN, ms(3101));
    assert!(!watch.has_failed());
}

/// After an outage, entries that lapsed in it have some time to return.
#[test]
fn outage() {
    let mut watch = informed();
    watch.answered(11, RETURN, ms(2400));
    assert_eq!(watch.settled(), ms(0));
    watch.answered(12, RETURN, ms(4000));
    assert_eq!(watch.settled(), ms(6000));
}
