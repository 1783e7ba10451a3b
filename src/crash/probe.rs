//! Distinguishes a dead target from a broken connection.

use std::{thread, time::Duration};

use crate::{
    id,
    target::{Client, Control, Failure},
};

/// Maximum number of probes, after which the liveness counts as unknown.
const MAX_PROBES: u32 = 20;
/// Delay between two probes; a dying process may accept a connection and drop it.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Whether one run of a target's process still exists, probed after a request to it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The run has ended.
    Dead,
    /// The run still answers, so only the connection broke.
    Alive,
    /// The target does not answer on a new connection either.
    Unknown,
}

/// Probes over a new connection whether a run of a target's process still exists.
pub fn probe(client: &Client, incarnation: id::Incarnation) -> Liveness {
    for _ in 0..MAX_PROBES {
        match client.report() {
            Ok(report) if report.incarnation == incarnation => return Liveness::Alive,
            Ok(_) => return Liveness::Dead,
            Err(Failure::Connect(_)) if client.refuses_connections() => return Liveness::Dead,
            Err(Failure::Silent | Failure::Connect(_)) => return Liveness::Unknown,
            Err(_) => thread::sleep(PROBE_INTERVAL),
        }
    }
    Liveness::Unknown
}
