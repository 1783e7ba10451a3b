//! Links between entry hosts: tarpc over TCP, after a mutual proof of the shared key.

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

/// Largest message, in bytes; a configuration of 48,000 accounts fits.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// The calls, as tarpc sees them.
#[allow(missing_docs)]
mod service {
    use super::*;

    #[tarpc::service]
    pub(super) trait Peer {
        async fn heartbeat(beat: Heartbeat) -> Heartbeat;
        async fn members() -> Vec<Member>;
        async fn hint(hint: Hint);
        async fn configuration(least: id::Version) -> Option<Configuration>;
        async fn claim_status(question: ClaimQuestion) -> ClaimStatus;
        async fn drain_status(question: DrainQuestion) -> DrainStatus;
        async fn stop_status(question: StopQuestion) -> StopStatus;
        async fn shares(demands: Demands) -> Option<Shares>;
        async fn crash(notice: CrashNotice);
    }
}

/// Answers peers; each call runs on a thread that may block.
pub trait Handler: Send + Sync + 'static {
    /// Takes a heartbeat and returns this host's own.
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat;
    /// Returns the entry hosts that this host knows, itself included.
    fn members(&self) -> Vec<Member>;
    /// Takes news of a row.
    fn hint(&self, hint: Hint);
    /// Returns the configuration in force if its version is at least `least`.
    fn configuration(&self, least: id::Version) -> Option<Configuration>;
    /// Says what became of a claim; the answer may give up a claim that was not used yet.
    fn claim_status(&self, question: ClaimQuestion) -> ClaimStatus;
    /// Says whether this host has nothing left at a drained target.
    fn drain_status(&self, question: DrainQuestion) -> DrainStatus;
    /// Says whether this host has stopped giving orders under an earlier lease.
    fn stop_status(&self, question: StopQuestion) -> StopStatus;
    /// Takes a host's demand; the holder of the group answers with the host's shares.
    fn shares(&self, demands: Demands) -> Option<Shares>;
    /// Takes what a peer knows of a request that crashes targets.
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
/// Fails when the listener cannot be used by the runtime.
pub fn listen(
    listener: std::net::TcpListener,
    config: Config,
    handler: Arc<impl Handler>,
) -> io::Result<Listener> {
    server::listen(listener, config, handler)
}
