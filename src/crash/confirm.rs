//! Tells a dead target from a broken connection.

use std::{thread, time::Duration};

use crate::{
    id,
    target::{Client, Control, Failure},
};

/// Questions to a target before its state counts as unclear.
const TRIES: u32 = 20;
/// Time between two questions; a dying process may accept a connection and drop it.
const PAUSE: Duration = Duration::from_millis(50);

/// What a target says of itself after a request to it broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// That run of the target is gone.
    Died,
    /// That run of the target still answers, so only the connection broke.
    Alive,
    /// The target does not answer on a new connection either.
    Unclear,
}

/// Asks a target, on a new connection, whether a run of it is still there.
pub fn confirm(client: &Client, incarnation: id::Incarnation) -> Finding {
    for _ in 0..TRIES {
        match client.report() {
            Ok(report) if report.incarnation == incarnation => return Finding::Alive,
            Ok(_) => return Finding::Died,
            Err(Failure::Connect(_)) if client.refuses_connections() => return Finding::Died,
            Err(Failure::Silent | Failure::Connect(_)) => return Finding::Unclear,
            Err(_) => thread::sleep(PAUSE),
        }
    }
    Finding::Unclear
}
