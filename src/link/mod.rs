//! Connections to callers, peers and targets.
