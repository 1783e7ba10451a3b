//! Memory of response bodies that are read whole.

use std::{sync::Arc, time::Duration};

use fuchsiaknot_gateway::{
    entry::body_memory::{Config, Exceeded, Memory, choose_stalled},
    upstream::tapped_stream::Tap,
    watchdog::{self, Watchdog},
};

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
    assert_eq!((0..8 * KB).map(|_| body.take(5)).find(Result::is_err), None);
    assert_eq!(body.take(5), Err(Exceeded::Chunks));
}

/// The caller that has read nothing for the longest time is cut, and none that reads.
#[test]
fn longest_stall() {
    let seconds = |stalls: &[u64]| {
        let stalls = stalls.iter().map(|it| Duration::from_secs(*it)).enumerate();
        choose_stalled(stalls)
    };
    assert_eq!(seconds(&[0, 5, 9, 3]), Some(2));
    assert_eq!(seconds(&[0, 0, 0]), None);
    assert_eq!(seconds(&[]), None);
}

/// One caller that reads nothing holds memory that others need: it is cut at once and its memory is
/// free; when the only others read on, the newcomer is refused.
#[test]
fn stalled_caller() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let memory = Memory::new(Config { free_bytes: 0, shared_bytes: 2 * MB });
        let connections = [(); 2].map(|()| Arc::new(Watchdog::new(watchdog::Phase::Busy)));
        let mut shares = [(); 3].map(|()| memory.share());
        for (share, connection) in shares.iter_mut().zip(&connections) {
            share.take(MB).unwrap();
            share.attach(connection);
        }
        connections[0].record_write(None);
        assert_eq!(shares[2].take(MB), Err(Exceeded::Shared), "nobody has stalled");
        tokio::time::advance(Duration::from_secs(3)).await;
        assert_eq!(shares[2].take(MB), Ok(()));
        assert_eq!(memory.evicted(), 1);
        assert!(connections[0].is_evicted() && !connections[1].is_evicted());
        assert_eq!(memory.share().take(1), Err(Exceeded::Shared));
        drop(shares);
        assert_eq!(memory.used(), 0);
    });
}

/// Streams wait while more than half is in use, so that whole responses find room; a stream that
/// holds nothing, or little, goes on.
#[test]
fn waiting_streams() {
    let memory = Memory::new(Config { free_bytes: 4 * KB, shared_bytes: 2 * MB });
    let mut streams: Vec<_> = (0..8).map(|_| memory.share()).collect();
    while streams.iter_mut().any(|it| it.take_for_stream(64 * KB).is_ok()) {}
    assert!((MB - 512 * KB..=MB + 8 * 64 * KB).contains(&memory.used()), "{}", memory.used());
    assert_eq!(memory.share().take(512 * KB), Ok(()));
    assert_eq!(memory.share().take_for_stream(4 * KB), Ok(()));
    for stream in &mut streams {
        stream.give_back(stream.bytes());
    }
    assert_eq!(memory.used(), 0);
    assert_eq!(streams[0].take_for_stream(64 * KB), Ok(()));
}

/// Small hosts set less memory aside.
#[test]
fn host_memory() {
    for megabytes in [112, 160, 512] {
        let config = Config::for_host(megabytes * MB);
        let callers = 500 * config.free_bytes;
        assert!(
            2 * config.shared_bytes + callers < megabytes * MB / 2,
            "{megabytes} MB: {config:?}"
        );
    }
}
