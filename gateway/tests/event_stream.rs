//! Splitting of an event stream into whole events.

use fuchsiaknot_gateway::upstream::event_stream::{Event, Malformed, Splitter};
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid:3\r\ndata: d\r\n\r\n";

/// Pushes bytes in chunks and returns the events, up to the first error.
fn split(bytes: &[u8], chunk_size: usize) -> (Vec<Event>, Option<Malformed>) {
    let (mut splitter, mut events) = (Splitter::default(), Vec::new());
    for chunk in bytes.chunks(chunk_size) {
        splitter.push(chunk);
        loop {
            match splitter.next_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(err) => return (events, Some(err)),
            }
        }
    }
    (events, None)
}

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
        events.extend(std::iter::from_fn(|| splitter.next_event().unwrap()));
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
    assert_eq!(splitter.next_event().unwrap().unwrap().id, Some(1));
    assert_eq!(splitter.next_event(), Ok(None));
    assert_eq!(&splitter.take_partial()[..], b"id: 2\nda");
}

/// A long event is returned in parts, of which only the last is complete.
#[rstest]
#[case::one_line(1)]
#[case::many_lines(40)]
fn long_event(#[case] lines: usize) {
    let data = format!("data: {}\n", "a:b".repeat(200_000 / lines)).repeat(lines);
    let stream = format!("id: 7\n{data}\nid: 8\ndata: x\n\n");
    for chunk_size in [1000, 16_384, 1_000_000] {
        let (events, err) = split(stream.as_bytes(), chunk_size);
        assert_eq!(err, None);
        let complete: Vec<_> = events.iter().filter(|it| it.is_complete).map(|it| it.id).collect();
        assert_eq!(complete, [Some(7), Some(8)]);
        let joined: Vec<u8> = events.iter().flat_map(|it| it.bytes.to_vec()).collect();
        assert_eq!(joined, stream.as_bytes());
    }
}

/// Bytes that are no event were buffered up to a megabyte and then returned as one.
#[rstest]
#[case::one_line(b"hello")]
#[case::control_characters(b"\0\x01\x02")]
fn no_event(#[case] garbage: &[u8]) {
    let (events, err) = split(&garbage.repeat(1000), 100);
    assert_eq!((events, err), (Vec::new(), Some(Malformed::Line)));
    let after_event = [b"id: 1\ndata: a\n\n", garbage.repeat(1000).as_slice()].concat();
    let (events, err) = split(&after_event, 100);
    assert_eq!((events.len(), err), (1, Some(Malformed::Line)));
}

/// An event without end is returned in parts up to a bound.
#[test]
fn endless_event() {
    let (events, err) = split(&b"data: a\n".repeat(2_000_000), 16_384);
    let bytes: usize = events.iter().map(|it| it.bytes.len()).sum();
    assert_eq!(err, Some(Malformed::Event));
    assert!((7_000_000..=8 * 1024 * 1024).contains(&bytes), "{bytes}");
    assert!(events.iter().all(|it| !it.is_complete && it.bytes.len() < 100_000));
}
