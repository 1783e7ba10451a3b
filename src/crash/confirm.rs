//! Tells a dead target from a broken connection.

use crate::{
    id,
    target::{Control, Failure},
};

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
pub fn confirm(control: &impl Control, incarnation: id::Incarnation) -> Finding {
    match control.report() {
        Ok(report) if report.incarnation == incarnation => Finding::Alive,
        Ok(_) | Err(Failure::Connect(_)) => Finding::Died,
        Err(_) => Finding::Unclear,
    }
}
