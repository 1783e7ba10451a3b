//! RPC between entry hosts: tarpc over TCP, after both sides have proved that they know the shared
//! key.

mod client;
pub mod handshake;
mod server;
pub mod wire;

use std::{io, sync::Arc};

use tarpc::{
    serde_transport::Transport,
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::net::TcpStream;

use self::wire::{
    ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion, DrainStatus,
    Heartbeat, Hint, Member, Shares, StopQuestion, StopStatus,
};
pub use self::{
    client::{Error, Links},
    server::{Config, Listener},
};
use crate::id;

/// Longest message that is sent or accepted, in bytes; a configuration of 48,000 client accounts
/// fits.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// The RPC methods, from which tarpc generates the client and the server.
#[allow(missing_docs)]
mod service {
    use super::*;

    #[tarpc::service]
    pub(super) trait Peer {
        async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
        async fn members() -> Vec<Member>;
        async fn hint(hint: Hint);
        async fn configuration(min_version: id::Version) -> Option<Configuration>;
        async fn claim_status(question: ClaimQuestion) -> ClaimStatus;
        async fn drain_status(question: DrainQuestion) -> DrainStatus;
        async fn stop_status(question: StopQuestion) -> StopStatus;
        async fn shares(demands: Demands) -> Option<Shares>;
        async fn crash(notice: CrashNotice);
    }
}

/// Handles calls from peers; each call runs on a blocking thread.
pub trait Handler: Send + Sync + 'static {
    /// Receives a heartbeat and returns one from this host.
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;
    /// Returns the entry hosts that this host knows, including itself.
    fn members(&self) -> Vec<Member>;
    /// Learns that a row of the table has changed.
    fn hint(&self, hint: Hint);
    /// Returns the configuration in force if its version is at least `min_version`.
    fn configuration(&self, min_version: id::Version) -> Option<Configuration>;
    /// Returns the status of a claim; a claim whose request was not sent yet is abandoned by this
    /// call.
    fn claim_status(&self, question: ClaimQuestion) -> ClaimStatus;
    /// Returns whether this host still has work at a target that is being drained.
    fn drain_status(&self, question: DrainQuestion) -> DrainStatus;
    /// Returns whether this host has stopped sending orders under a lease that it held earlier.
    fn stop_status(&self, question: StopQuestion) -> StopStatus;
    /// Receives a host's demand and returns its shares; `None` if this host does not hold the
    /// group's lease.
    fn shares(&self, demands: Demands) -> Option<Shares>;
    /// Receives a peer's record of the targets that a request has crashed.
    fn crash(&self, notice: CrashNotice);
}

type Stream<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

fn transport<Item, SinkItem>(stream: TcpStream) -> Stream<Item, SinkItem>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
    tarpc::serde_transport::new(Framed::new(stream, codec), Bincode::default())
}

/// Serves peers on a listener until the returned value is dropped.
///
/// # Errors
/// Fails when the listener cannot be registered with the runtime.
pub fn listen(
    listener: std::net::TcpListener,
    config: Config,
    handler: Arc<impl Handler>,
) -> io::Result<Listener> {
    server::listen(listener, config, handler)
}
