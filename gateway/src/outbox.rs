//! Datagrams that wait until the socket takes them.
//!
//! A datagram to each of several hundred hosts at once exceeds the send buffer of the socket.
//! Without a queue, the same hosts would miss every one of them: the last ones in the order of
//! sending.

use std::{collections::VecDeque, io, net::SocketAddr, rc::Rc};

/// Most datagrams that wait; beyond it, the oldest are dropped.
const CAPACITY: usize = 4096;

/// Queue of datagrams before a socket that does not block.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: VecDeque<(Rc<[u8]>, SocketAddr)>,
}

/// What became of the datagrams that the socket did not take at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Datagrams that wait from now on.
    pub delayed: u64,
    /// Datagrams that were dropped: the queue was full, or the socket refused the address.
    pub dropped: u64,
}

impl Outbox {
    /// Sends a datagram to each address, after those that wait already.
    pub fn send(
        &mut self,
        datagram: &[u8],
        addresses: &[SocketAddr],
        mut try_send: impl FnMut(&[u8], SocketAddr) -> io::Result<usize>,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let mut queued: Option<Rc<[u8]>> = None;
        for address in addresses {
            if self.waiting.is_empty() {
                match try_send(datagram, *address) {
                    Ok(_) => continue,
                    Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                    Err(err) => {
                        tracing::debug!(%address, %err, "cannot send a datagram");
                        outcome.dropped += 1;
                        continue;
                    }
                }
            }
            if CAPACITY <= self.waiting.len() {
                self.waiting.pop_front();
                outcome.dropped += 1;
            }
            let datagram = queued.get_or_insert_with(|| Rc::from(datagram));
            self.waiting.push_back((Rc::clone(datagram), *address));
            outcome.delayed += 1;
        }
        outcome
    }

    /// Sends the waiting datagrams until the socket takes no more; returns the number of those that
    /// it refused for another reason, which are dropped.
    pub fn flush(
        &mut self,
        mut try_send: impl FnMut(&[u8], SocketAddr) -> io::Result<usize>,
    ) -> u64 {
        let mut dropped = 0;
        while let Some((datagram, address)) = self.waiting.front() {
            match try_send(datagram, *address) {
                Ok(_) => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                Err(err) => {
                    tracing::debug!(%address, %err, "cannot send a datagram");
                    dropped += 1;
                }
            }
            self.waiting.pop_front();
        }
        dropped
    }

    /// Returns whether no datagram waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
