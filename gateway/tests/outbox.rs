//! Datagrams that wait until the socket takes them.

use std::{io, net::SocketAddr};

use fuchsiaknot_gateway::outbox::{Outbox, Outcome};

fn addresses(count: u16) -> Vec<SocketAddr> {
    (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
}

/// Socket whose send buffer takes a number of datagrams until it is drained.
struct Socket {
    free: usize,
    sent: Vec<SocketAddr>,
}

impl Socket {
    fn try_send(&mut self, datagram: &[u8], address: SocketAddr) -> io::Result<usize> {
        if self.free == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.free -= 1;
        self.sent.push(address);
        Ok(datagram.len())
    }
}

/// A watcher sends an update to 380 hosts, more than the send buffer takes at once, and then a
/// second one. All hosts get both, in order.
#[test]
fn more_than_buffer() {
    let addresses = addresses(380);
    let mut outbox = Outbox::default();
    let mut socket = Socket { free: 200, sent: Vec::new() };
    let outcome = outbox.send(b"first", &addresses, |it, to| socket.try_send(it, to));
    assert_eq!(outcome, Outcome { delayed: 180, dropped: 0 });
    outbox.send(b"second", &addresses, |it, to| socket.try_send(it, to));
    while !outbox.is_empty() {
        socket.free = 200;
        assert_eq!(outbox.flush(|it, to| socket.try_send(it, to)), 0);
    }
    let twice = [addresses.clone(), addresses].concat();
    assert_eq!(socket.sent, twice);
}

/// The socket takes nothing for a long time: the oldest datagrams are dropped and counted.
#[test]
fn bounded() {
    let mut outbox = Outbox::default();
    let mut socket = Socket { free: 0, sent: Vec::new() };
    let mut dropped = 0;
    for _ in 0..20 {
        dropped += outbox.send(b"x", &addresses(380), |it, to| socket.try_send(it, to)).dropped;
    }
    socket.free = 10_000;
    outbox.flush(|it, to| socket.try_send(it, to));
    assert_eq!(socket.sent.len() as u64 + dropped, 20 * 380);
    assert!(0 < dropped);
}

/// A refused address is dropped and does not hold up the others.
#[test]
fn refused_address() {
    let mut outbox = Outbox::default();
    let mut sent = 0;
    let outcome = outbox.send(b"x", &addresses(3), |_, to| match to.port() {
        2 => Err(io::ErrorKind::NetworkUnreachable.into()),
        _ => {
            sent += 1;
            Ok(1)
        }
    });
    assert_eq!((sent, outcome), (2, Outcome { delayed: 0, dropped: 1 }));
}
