//! Network connections: the HTTP server for callers, the HTTP client for targets and the platform,
//! and the RPC links between entry hosts.

pub mod http_client;
pub mod http_server;
pub mod peer;
pub mod runtime;
