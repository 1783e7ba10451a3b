//! Connections to callers, peers and targets.

pub mod front;
pub mod peer;
pub mod runtime;
