//! Connections to callers, peers and targets.

pub mod front;
pub mod outgoing;
pub mod peer;
pub mod runtime;
