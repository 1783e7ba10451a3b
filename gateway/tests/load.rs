//! Work of all hosts at a target.

mod common;

use fuchsiaknot_gateway::load::{Board, Work};

use common::{keys, ms};

const ONE: Work = Work { requests: 1, prompt_tokens: 100, memory_tokens: 200 };

#[test]
fn sums_hosts() {
    let key = keys(1)[0];
    let mut board = Board::new(ms(1000));
    board.begin(key, ONE);
    board.hear("h2".into(), [("t".into(), ONE)].into(), ms(0));
    assert_eq!(board.total(key, &"t".into(), ms(10)).requests, 2);
    assert_eq!(board.total(key, &"t".into(), ms(1000)).requests, 1);
    board.end(key, ONE);
    assert_eq!(board.total(key, &"t".into(), ms(10)).requests, 1);
}

/// A grant counts until its host reports it, and no longer.
#[test]
fn grant_counts_once() {
    let key = keys(1)[0];
    let mut board = Board::new(ms(1000));
    let number = board.grant("h2".into(), vec![(key, ONE)], ms(0));
    assert_eq!(board.total(key, &"t".into(), ms(1)).requests, 1);
    board.hear_changes(&"h2".into(), vec![("t".into(), ONE)], ms(2));
    board.seen(&"h2".into(), number);
    assert_eq!(board.total(key, &"t".into(), ms(3)).requests, 1);
}

/// A grant whose host never reports it is forgotten.
#[test]
fn lost_grant() {
    let key = keys(1)[0];
    let mut board = Board::new(ms(1000));
    board.grant("h2".into(), vec![(key, ONE)], ms(0));
    assert_eq!(board.total(key, &"t".into(), ms(500)), Work::default());
}
