//! What the hosts exchange with each other.

pub mod election;
pub mod membership;
pub mod messages;
pub mod origin_lookup;
pub(crate) mod peer_proxy;
pub mod peer_server;
pub mod peer_ticket;
pub mod peers;
pub mod stream_origin;
