//! The accepting side of peer links.

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
    proof::{self, Key},
    service::Peer,
    transport,
    wire::{
        ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
        DrainStatus, Heartbeat, Hint, Member, Shares, StopQuestion, StopStatus,
    },
};
use crate::{event, event::Event, id, link::runtime};

/// Connections from peers that are open at once.
const CONNECTIONS: usize = 2_048;
/// Time after which a failed accept is tried again.
const ACCEPT_DELAY: Duration = Duration::from_millis(100);

/// Bounds of the accepting side.
#[derive(Debug, Clone)]
pub struct Config {
    /// Key that peers must prove.
    pub key: Key,
    /// Time allowed for the proof.
    pub proof_time: Duration,
    /// Time without a call after which a connection is dropped.
    pub idle_time: Duration,
}

/// Serves peers until it is dropped.
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
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, from)) = listener.accept().await else {
            time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else { continue };
        let config = config.clone();
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            serve(stream, from, &config, handler).await;
            drop(place);
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    from: SocketAddr,
    config: &Config,
    handler: Arc<impl Handler>,
) {
    let _ = stream.set_nodelay(true);
    let proved = time::timeout(config.proof_time, proof::accept(&mut stream, &config.key)).await;
    match proved {
        Ok(Ok(())) => {}
        Ok(Err(err)) => {
            event!(Event::PeerRefused, "refused a connection from {from}: {err}");
            return;
        }
        Err(_) => return,
    }
    let calls = Arc::new(AtomicU64::new(0));
    let server = Server { handler, calls: Arc::clone(&calls) };
    tokio::select! {
        () = answer(stream, server) => {}
        () = until_idle(&calls, config.idle_time) => {}
    }
}

async fn answer(stream: TcpStream, server: Server<impl Handler>) {
    use futures::StreamExt;

    let channel = BaseChannel::with_defaults(transport(stream));
    channel
        .execute(server.serve())
        .for_each(|call| async move {
            tokio::spawn(call);
        })
        .await;
}

/// Returns once no call arrived for a whole period.
async fn until_idle(calls: &AtomicU64, idle_time: Duration) {
    let mut seen = calls.load(Ordering::Relaxed);
    loop {
        time::sleep(idle_time).await;
        let now = calls.load(Ordering::Relaxed);
        if now == seen {
            return;
        }
        seen = now;
    }
}

struct Server<H> {
    handler: Arc<H>,
    calls: Arc<AtomicU64>,
}

impl<H> Clone for Server<H> {
    fn clone(&self) -> Server<H> {
        Server { handler: Arc::clone(&self.handler), calls: Arc::clone(&self.calls) }
    }
}

impl<H: Handler> Server<H> {
    /// Runs a call on a blocking thread; a handler that panics ends this call without an answer.
    async fn run<R: Send + 'static>(self, call: impl FnOnce(&H) -> R + Send + 'static) -> R {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let handler = self.handler;
        match tokio::task::spawn_blocking(move || call(&handler)).await {
            Ok(answer) => answer,
            Err(err) => {
                event!(Event::PartFailed, "a call from a peer failed: {err}");
                std::future::pending().await
            }
        }
    }
}

impl<H: Handler> Peer for Server<H> {
    async fn heartbeat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        self.run(move |it| it.heartbeat(beat)).await
    }

    async fn members(self, _: Context) -> Vec<Member> {
        self.run(|it| it.members()).await
    }

    async fn hint(self, _: Context, hint: Hint) {
        self.run(move |it| it.hint(hint)).await
    }

    async fn configuration(self, _: Context, least: id::Version) -> Option<Configuration> {
        self.run(move |it| it.configuration(least)).await
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
