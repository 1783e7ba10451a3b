//! Work of all hosts at a target.

mod common;

use fuchsiaknot_gateway::load::{Tracker, Work};

use common::{keys, ms};

const ONE: Work = Work { requests: 1, prompt_tokens: 100, memory_tokens: 200 };

#[test]
fn sums_hosts() {
    let key = keys(1)[0];
    let mut board = Tracker::new(ms(1000));
    board.add(key, ONE);
    board.replace_peer("h2".into(), [("t".into(), ONE)].into(), ms(0));
    assert_eq!(board.total(key, &"t".into(), ms(10)).requests, 2);
    assert_eq!(board.total(key, &"t".into(), ms(1000)).requests, 1);
    board.remove(key, ONE);
    assert_eq!(board.total(key, &"t".into(), ms(10)).requests, 1);
}

/// A grant counts until its host reports it, and no longer.
#[test]
fn grant_counts_once() {
    let key = keys(1)[0];
    let mut board = Tracker::new(ms(1000));
    let number = board.record_grant("h2".into(), vec![(key, ONE)], ms(0));
    assert_eq!(board.total(key, &"t".into(), ms(1)).requests, 1);
    board.update_peer(&"h2".into(), vec![("t".into(), ONE)], ms(2));
    board.acknowledge_grants(&"h2".into(), number);
    assert_eq!(board.total(key, &"t".into(), ms(3)).requests, 1);
}

/// A grant whose host never reports it is forgotten.
#[test]
fn lost_grant() {
    let key = keys(1)[0];
    let mut board = Tracker::new(ms(1000));
    board.record_grant("h2".into(), vec![(key, ONE)], ms(0));
    assert_eq!(board.total(key, &"t".into(), ms(500)), Work::default());
}
