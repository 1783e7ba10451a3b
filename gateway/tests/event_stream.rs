//! Splitting of an event stream into whole events.

use fuchsiaknot_gateway::event_stream::Splitter;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid:3\r\ndata: d\r\n\r\n";

/// The events do not depend on how the bytes are split into chunks.
#[rstest]
#[case(1)]
#[case(2)]
#[case(7)]
#[case(1000)]
fn any_chunk_size(#[case] size: usize) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for chunk in STREAM.as_bytes().chunks(size) {
        splitter.push(chunk);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    let ids: Vec<_> = events.iter().map(|it| it.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    let joined: Vec<u8> = events.iter().flat_map(|it| it.bytes.to_vec()).collect();
    assert_eq!(joined, STREAM.as_bytes());
    assert!(splitter.take_partial().is_empty());
}

#[test]
fn partial_event() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.next_event().unwrap().id, Some(1));
    assert_eq!(splitter.next_event(), None);
    assert_eq!(&splitter.take_partial()[..], b"id: 2\nda");
}
