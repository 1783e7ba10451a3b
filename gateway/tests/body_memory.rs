//! Memory of response bodies that are read whole.

use fuchsiaknot_gateway::entry::body_memory::{Exceeded, Memory};

const KB: usize = 1024;
const MB: usize = 1024 * KB;

/// Many bodies without end took all memory of the host.
#[test]
fn many_bodies() {
    let memory = Memory::default();
    let mut bodies: Vec<_> = (0..500).map(|_| memory.share()).collect();
    let mut total = 0;
    for _ in 0..1000 {
        for body in &mut bodies {
            total += if body.take(16 * KB).is_ok() { 16 * KB } else { 0 };
        }
    }
    assert!((32 * MB..=32 * MB + 500 * 64 * KB).contains(&total), "{total}");
    assert_eq!(memory.share().take(64 * KB), Ok(()));
    assert_eq!(memory.share().take(65 * KB), Err(Exceeded::Shared));
    drop(bodies);
    assert_eq!(memory.share().take(8 * MB), Ok(()));
}

#[test]
fn large_body() {
    let memory = Memory::default();
    let mut body = memory.share();
    assert_eq!(body.take(8 * MB), Ok(()));
    assert_eq!(body.take(1), Err(Exceeded::Body));
}

/// A body in chunks of a few bytes kept the processor busy up to the deadline.
#[test]
fn many_chunks() {
    let memory = Memory::default();
    let mut body = memory.share();
    assert_eq!((0..32 * KB).map(|_| body.take(5)).find(Result::is_err), None);
    assert_eq!(body.take(5), Err(Exceeded::Chunks));
}
