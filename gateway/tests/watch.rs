//! When a host polls the store, and when it relies on updates from other hosts.

mod common;

use std::time::Duration;

use fuchsiaknot_gateway::store::{
    Error,
    watch::{Effect, Step, Update, Watch},
};

use common::ms;

const REANNOUNCE_GRACE: Duration = Duration::from_millis(2000);
const MAX_POLL_AGE: Duration = Duration::from_secs(2);

fn update(after: u64, up_to: u64) -> Update<()> {
    Update { after, up_to, age: Duration::ZERO, contents: (), era: 0 }
}

/// Records the answer to a call that was made just before it.
fn answer(watch: &mut Watch, up_to: u64, now: Duration) -> u64 {
    watch.record_answer(watch.begin_call(), up_to, Duration::ZERO, REANNOUNCE_GRACE, now)
}

/// Returns a watch that read the table at version 10, at 1,000 ms.
fn synced_watch() -> Watch {
    let mut watch = Watch::new(MAX_POLL_AGE);
    assert_eq!(watch.next(false, ms(0)), Step::Read);
    answer(&mut watch, 10, ms(1000));
    watch
}

/// With many hosts, polling would overload the store. While updates of a watcher arrive, the other
/// hosts do not poll.
#[test]
fn relies_on_watchers() {
    let mut watch = synced_watch();
    let mut polls = 0;
    for round in 1..100 {
        let now = ms(1000 + 600 * round);
        assert_eq!(
            watch.apply_update(&update(9 + round, 10 + round), REANNOUNCE_GRACE, now),
            Effect::NewAfter(9 + round)
        );
        polls += usize::from(matches!(watch.next(false, now), Step::Poll { .. }));
    }
    assert_eq!(polls, 0);
}

#[test]
fn watcher_polls() {
    assert_eq!(synced_watch().next(true, ms(1001)), Step::Poll { after: 10, long_poll: true });
}

/// Without updates from watchers, a host polls before a change would take effect too late.
#[test]
fn watchers_gone() {
    let watch = synced_watch();
    assert_eq!(watch.next(false, ms(1500)), Step::Sleep(ms(700)));
    assert_eq!(watch.next(false, ms(2200)), Step::Poll { after: 10, long_poll: false });
}

/// CONFIG: a host that lacked the store for long asked for each of the changes, which were too many for
/// one answer.
#[test]
fn outdated() {
    let mut watch = synced_watch();
    watch.record_failure(false, ms(2200));
    assert_eq!(watch.next(false, ms(2900)), Step::Poll { after: 10, long_poll: false });
    for is_watcher in [false, true] {
        assert_eq!(watch.next(is_watcher, ms(3000)), Step::Read);
    }
    watch.mark_behind(ms(3100));
    assert_eq!(watch.next(false, ms(3100)), Step::Read);
    // An update that arrives meanwhile has only the changes after those that are missing.
    assert_eq!(watch.apply_update(&update(30, 31), REANNOUNCE_GRACE, ms(3150)), Effect::Behind);
    answer(&mut watch, 32, ms(3200));
    assert!(matches!(watch.next(false, ms(3200)), Step::Sleep(_)));
}

/// The answer to a full read is older than an update that arrived meanwhile.
#[test]
fn overtaken_read() {
    let mut watch = synced_watch();
    assert_eq!(watch.next(false, ms(3000)), Step::Read);
    let call = watch.begin_call();
    assert_eq!(
        watch.apply_update(&update(10, 14), REANNOUNCE_GRACE, ms(3010)),
        Effect::NewAfter(10)
    );
    assert_eq!(watch.record_answer(call, 12, Duration::ZERO, REANNOUNCE_GRACE, ms(3020)), 14);
}

#[test]
fn missed_change() {
    let mut watch = synced_watch();
    assert_eq!(watch.apply_update(&update(12, 13), REANNOUNCE_GRACE, ms(1100)), Effect::Behind);
    assert_eq!(watch.next(false, ms(1100)), Step::Poll { after: 10, long_poll: false });
    answer(&mut watch, 13, ms(1110));
    assert!(matches!(watch.next(false, ms(1110)), Step::Sleep(_)));
}

/// CONFIG: the answer to a call that was made before a change hid that the change exists, and the host
/// waited for others instead of asking again.
#[test]
fn asked_before_change() {
    let mut watch = synced_watch();
    watch.mark_behind(ms(1100));
    let call = watch.begin_call();
    watch.mark_behind(ms(1105));
    watch.record_answer(call, 11, Duration::ZERO, REANNOUNCE_GRACE, ms(1110));
    assert!(watch.is_behind());
    assert_eq!(watch.next(false, ms(1110)), Step::Poll { after: 11, long_poll: false });
    answer(&mut watch, 12, ms(1120));
    assert!(matches!(watch.next(false, ms(1120)), Step::Sleep(_)));
}

/// Updates of two watchers overlap; changes that were already known are not reported as new.
#[test]
fn overlapping_updates() {
    let mut watch = synced_watch();
    assert_eq!(watch.apply_update(&update(7, 9), REANNOUNCE_GRACE, ms(1100)), Effect::Stale);
    assert_eq!(
        watch.apply_update(&update(7, 12), REANNOUNCE_GRACE, ms(1200)),
        Effect::NewAfter(10)
    );
    assert_eq!(watch.apply_update(&update(10, 11), REANNOUNCE_GRACE, ms(1300)), Effect::Stale);
    assert_eq!(watch.age(ms(1300)), ms(100));
}

/// A watcher that was suspended sends an update with old contents.
#[test]
fn old_update() {
    let mut watch = synced_watch();
    let update = Update { age: ms(3000), ..update(10, 10) };
    assert_eq!(watch.apply_update(&update, REANNOUNCE_GRACE, ms(1500)), Effect::NewAfter(10));
    assert_eq!(watch.age(ms(1500)), ms(500));
}

/// CONFIG: the answer to a full read that had waited while the host was suspended counted as new.
#[test]
fn old_answer() {
    let mut watch = synced_watch();
    watch.record_answer(watch.begin_call(), 11, ms(1500), REANNOUNCE_GRACE, ms(4000));
    assert_eq!(watch.age(ms(4000)), ms(1500));
    assert_eq!(watch.next(false, ms(4000)), Step::Poll { after: 11, long_poll: false });
}

#[test]
fn history_gone() {
    let mut watch = synced_watch();
    watch.record_failure(true, ms(1100));
    assert_eq!(watch.next(false, ms(1100)), Step::Read);
}

/// After a failed call, a host retries even though other hosts keep it up to date.
#[test]
fn retries_after_failure() {
    let mut watch = synced_watch();
    watch.record_failure(false, ms(1100));
    watch.apply_update(&update(10, 11), REANNOUNCE_GRACE, ms(3000));
    assert!(matches!(watch.next(false, ms(3099)), Step::Sleep(_)));
    assert_eq!(watch.next(false, ms(3100)), Step::Poll { after: 11, long_poll: false });
    answer(&mut watch, 11, ms(3101));
    assert!(!watch.has_failed());
}

/// After an outage, entries that expired in it may be announced again for some time.
#[test]
fn outage() {
    let mut watch = synced_watch();
    answer(&mut watch, 11, ms(2400));
    assert_eq!(watch.reannounce_deadline(), ms(0));
    answer(&mut watch, 12, ms(4000));
    assert_eq!(watch.reannounce_deadline(), ms(6000));
}

/// An update from another host that overtakes an answer is newer: the answer's changes up to its
/// version, such as the announcement of a target that has left since, are not applied again.
#[test]
fn overtaken_answer() {
    let mut watch = synced_watch();
    watch.apply_update(&update(10, 14), REANNOUNCE_GRACE, ms(1100));
    assert_eq!(answer(&mut watch, 12, ms(1200)), 14);
    assert_eq!(watch.next(true, ms(1200)), Step::Poll { after: 14, long_poll: true });
}

/// An update that arrives after later ones does not confirm the state of a host that cannot reach
/// the store and has missed a change.
#[test]
fn late_update() {
    let mut watch = synced_watch();
    assert_eq!(watch.apply_update(&update(12, 13), REANNOUNCE_GRACE, ms(1100)), Effect::Behind);
    watch.apply_update(&update(10, 11), REANNOUNCE_GRACE, ms(3000));
    assert_eq!(watch.age(ms(3000)), ms(2000));
}

/// A watcher whose connection broke when the store came back reads the table at once when it learns
/// of the new era, and counts as able to reach the store again.
#[test]
fn era_after_failure() {
    let mut watch = synced_watch();
    watch.record_failure(false, ms(1100));
    assert!(watch.start_era(1, ms(500), REANNOUNCE_GRACE, ms(2000)));
    watch.record_contact();
    assert!(!watch.has_failed());
    assert_eq!(watch.next(true, ms(2000)), Step::Read);
    assert_eq!(watch.next(false, ms(2100)), Step::Sleep(ms(400)));
    assert_eq!(watch.next(false, ms(2500)), Step::Read);
    assert_eq!(watch.reannounce_deadline(), ms(4000));
}

/// An answer counts only in the era of its call, unless it has the full contents of a later one.
#[test]
fn answers_by_era() {
    let mut watch = synced_watch();
    assert_eq!(watch.check_answer(false, 0, Some(0)), Ok(()));
    watch.start_era(2, ms(0), REANNOUNCE_GRACE, ms(2000));
    assert_eq!(watch.check_answer(true, 0, Some(1)), Err(Error::EarlierEra));
    assert_eq!(watch.check_answer(true, 0, None), Err(Error::EarlierEra));
    assert_eq!(watch.check_answer(false, 0, Some(2)), Err(Error::HistoryGone));
    assert_eq!(watch.check_answer(true, 0, Some(2)), Ok(()));
    assert_eq!(watch.check_answer(true, 2, None), Ok(()));
}

/// A host that has read nothing yet does not wait for its turn when it first learns of the era.
#[test]
fn first_era() {
    let mut watch = Watch::new(MAX_POLL_AGE);
    assert!(!watch.start_era(7, ms(500), REANNOUNCE_GRACE, ms(100)));
    assert_eq!(watch.next(false, ms(100)), Step::Read);
    assert_eq!(watch.reannounce_deadline(), ms(0));
}

/// While hosts of two builds run side by side, one without eras reads the updates of one with them,
/// and its own updates are rejected rather than misread.
#[test]
fn update_without_era() {
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    struct EarlierUpdate {
        after: u64,
        up_to: u64,
        age: Duration,
        contents: Vec<u64>,
    }
    let earlier = EarlierUpdate { after: 300, up_to: 301, age: ms(5), contents: vec![7, 8] };
    let update = Update { after: 300, up_to: 301, age: ms(5), contents: vec![7u64, 8], era: 2 };
    let sent = postcard::to_stdvec(&update).unwrap();
    assert_eq!(postcard::from_bytes::<EarlierUpdate>(&sent).unwrap(), earlier);
    let received = postcard::to_stdvec(&earlier).unwrap();
    assert!(postcard::from_bytes::<Update<Vec<u64>>>(&received).is_err());
}
