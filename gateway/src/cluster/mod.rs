//! What the hosts exchange with each other.

pub mod continuity;
pub mod election;
pub mod membership;
pub mod messages;
pub mod origin_evidence;
pub mod origin_lookup;
pub mod origin_proof;
pub(crate) mod peer_proxy;
pub mod peer_server;
pub mod peer_ticket;
pub mod peers;
pub mod route_history;
pub mod stream_origin;
