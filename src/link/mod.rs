//! Connections to callers, peers and targets.

pub mod http_client;
pub mod http_server;
pub mod peer;
pub mod runtime;
