//! Stand-ins for the platform's store, replicas and clients, and the entry host as a child process.
//!
//! Only the standard library is used. Everything runs on loopback addresses and the real clock.

pub mod client;
pub mod cut;
pub mod entry;
pub mod http;
pub mod json;
pub mod record;
pub mod plain_replica;
pub mod replica;
pub mod store;

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Returns whether the case runs with its disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// A small generator of pseudo-random numbers (splitmix64), shared by all threads.
#[derive(Debug)]
pub struct Random(AtomicU64);

impl Random {
    /// Creates a generator from a seed.
    pub const fn new(seed: u64) -> Random {
        Random(AtomicU64::new(seed))
    }

    /// Returns the next number.
    pub fn next(&self) -> u64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 to 1.
    pub fn unit(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number below `limit`.
    pub fn below(&self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }
}

static IDS: AtomicU64 = AtomicU64::new(0);

/// Returns an identifier that no other request of this run has.
pub fn request_id() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_nanos() as u64);
    let number = IDS.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (nanos << 16) ^ (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 3))
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Returns a loopback address of this run on which these ports are free.
pub fn loopback_address(ports: &[u16]) -> Ipv4Addr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let process = std::process::id();
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) as u32;
        let mixed = process.wrapping_mul(251).wrapping_add(number);
        let address = Ipv4Addr::new(
            127,
            1 + (mixed >> 16) as u8 % 200,
            (mixed >> 8) as u8,
            1 + mixed as u8 % 250,
        );
        if ports.iter().all(|port| TcpListener::bind((address, *port)).is_ok()) {
            return address;
        }
    }
}

/// Binds a listener to a free port of 127.0.0.1.
pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

/// Polls until a condition holds; returns whether it did within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if limit < started.elapsed() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// How a case ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run.
    NotRun,
}

impl Verdict {
    /// Returns the exit code.
    pub fn code(self) -> i32 {
        match self {
            Verdict::Broken => 1,
            Verdict::Held => 0,
            Verdict::NotRun => 2,
        }
    }
}
