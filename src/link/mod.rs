//! Connections to callers, peers and targets.

pub mod front;
pub mod outgoing;
pub mod runtime;
