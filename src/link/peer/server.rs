//! The accepting side of the RPC between entry hosts.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
    time,
};

use super::{
    Handler,
    handshake::{self, Key},
    service::Peer,
    transport,
    wire::{
        ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
        DrainStatus, Heartbeat, Hint, Member, Shares, StopQuestion, StopStatus,
    },
};
use crate::{event, event::Event, id, link::runtime};

/// Peer connections open at once; further ones are closed when they are accepted.
const MAX_CONNECTIONS: usize = 2_048;
/// Delay before accepting again after an accept has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of the accepting side.
#[derive(Debug, Clone)]
pub struct Config {
    /// Key that peers must prove they know.
    pub key: Key,
    /// Time allowed for the handshake.
    pub handshake_timeout: Duration,
    /// Time without a call after which a connection is dropped; up to twice as long in practice.
    pub idle_timeout: Duration,
}

/// Serves peers until this value is dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Returns the address that peers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) fn listen(
    listener: std::net::TcpListener,
    config: Config,
    handler: Arc<impl Handler>,
) -> io::Result<Listener> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let runtime = runtime::handle();
    let _guard = runtime.enter();
    let listener = TcpListener::from_std(listener)?;
    let task = runtime.spawn(accept_all(listener, config, handler));
    Ok(Listener { address, task })
}

async fn accept_all(listener: TcpListener, config: Config, handler: Arc<impl Handler>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, peer_address)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let config = config.clone();
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            serve(stream, peer_address, &config, handler).await;
            drop(permit);
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    peer_address: SocketAddr,
    config: &Config,
    handler: Arc<impl Handler>,
) {
    let _ = stream.set_nodelay(true);
    let handshake =
        time::timeout(config.handshake_timeout, handshake::accept(&mut stream, &config.key)).await;
    match handshake {
        Ok(Ok(())) => {}
        Ok(Err(err)) => {
            event!(Event::PeerRefused, "refused a connection from {peer_address}: {err}");
            return;
        }
        Err(_) => return,
    }
    let call_count = Arc::new(AtomicU64::new(0));
    let server = Server { handler, call_count: Arc::clone(&call_count) };
    tokio::select! {
        () = run_calls(stream, server) => {}
        () = until_idle(&call_count, config.idle_timeout) => {}
    }
}

async fn run_calls(stream: TcpStream, server: Server<impl Handler>) {
    use futures::StreamExt;

    let channel = BaseChannel::with_defaults(transport(stream));
    channel
        .execute(server.serve())
        .for_each(|call| async move {
            tokio::spawn(call);
        })
        .await;
}

/// Returns after a whole `idle_timeout` in which no call arrived.
async fn until_idle(call_count: &AtomicU64, idle_timeout: Duration) {
    let mut previous = call_count.load(Ordering::Relaxed);
    loop {
        time::sleep(idle_timeout).await;
        let current = call_count.load(Ordering::Relaxed);
        if current == previous {
            return;
        }
        previous = current;
    }
}

struct Server<H> {
    handler: Arc<H>,
    call_count: Arc<AtomicU64>,
}

impl<H> Clone for Server<H> {
    fn clone(&self) -> Server<H> {
        Server { handler: Arc::clone(&self.handler), call_count: Arc::clone(&self.call_count) }
    }
}

impl<H: Handler> Server<H> {
    /// Runs a call on a blocking thread; if the handler panics, the call is never answered.
    async fn run<R: Send + 'static>(self, call: impl FnOnce(&H) -> R + Send + 'static) -> R {
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let handler = self.handler;
        match tokio::task::spawn_blocking(move || call(&handler)).await {
            Ok(answer) => answer,
            Err(err) => {
                event!(Event::TaskFailed, "the handler of a call from a peer failed: {err}");
                std::future::pending().await
            }
        }
    }
}

impl<H: Handler> Peer for Server<H> {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        self.run(move |it| it.heartbeat(heartbeat)).await
    }

    async fn members(self, _: Context) -> Vec<Member> {
        self.run(|it| it.members()).await
    }

    async fn hint(self, _: Context, hint: Hint) {
        self.run(move |it| it.hint(hint)).await
    }

    async fn configuration(self, _: Context, min_version: id::Version) -> Option<Configuration> {
        self.run(move |it| it.configuration(min_version)).await
    }

    async fn claim_status(self, _: Context, question: ClaimQuestion) -> ClaimStatus {
        self.run(move |it| it.claim_status(question)).await
    }

    async fn drain_status(self, _: Context, question: DrainQuestion) -> DrainStatus {
        self.run(move |it| it.drain_status(question)).await
    }

    async fn stop_status(self, _: Context, question: StopQuestion) -> StopStatus {
        self.run(move |it| it.stop_status(question)).await
    }

    async fn shares(self, _: Context, demands: Demands) -> Option<Shares> {
        self.run(move |it| it.shares(demands)).await
    }

    async fn crash(self, _: Context, notice: CrashNotice) {
        self.run(move |it| it.crash(notice)).await
    }
}
