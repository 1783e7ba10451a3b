//! Work in flight of all hosts at a target.

mod common;

use fuchsiaknot_gateway::load::{Tracker, Work};

use common::{keys, ms};

const ONE: Work = Work { requests: 1, prompt_tokens: 100, kv_tokens: 200 };

#[test]
fn sum_of_hosts() {
    let key = keys(1)[0];
    let mut tracker = Tracker::new(ms(1000));
    tracker.add(key, ONE);
    tracker.replace_peer("h2".into(), [("t".into(), ONE)].into(), ms(0));
    assert_eq!(tracker.total(key, &"t".into(), ms(10)).requests, 2);
    assert_eq!(tracker.total(key, &"t".into(), ms(1000)).requests, 1);
    tracker.remove(key, ONE);
    assert_eq!(tracker.total(key, &"t".into(), ms(10)).requests, 1);
}

/// A grant counts only until its host acknowledges it, so that its work isn't counted twice.
#[test]
fn acknowledged_grant() {
    let key = keys(1)[0];
    let mut tracker = Tracker::new(ms(1000));
    let number = tracker.record_grant("h2".into(), vec![(key, ONE)], ms(0));
    assert_eq!(tracker.total(key, &"t".into(), ms(1)).requests, 1);
    tracker.update_peer(&"h2".into(), vec![("t".into(), ONE)], ms(2));
    tracker.acknowledge_grants(&"h2".into(), number);
    assert_eq!(tracker.total(key, &"t".into(), ms(3)).requests, 1);
}

/// A grant that its host never acknowledges expires.
#[test]
fn lost_grant() {
    let key = keys(1)[0];
    let mut tracker = Tracker::new(ms(1000));
    tracker.record_grant("h2".into(), vec![(key, ONE)], ms(0));
    assert_eq!(tracker.total(key, &"t".into(), ms(500)), Work::default());
}
