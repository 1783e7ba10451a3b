//! The connecting side of the RPC between entry hosts.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tarpc::{client::RpcError, context::Context};
use tokio::{net::TcpStream, sync::Mutex as AsyncMutex, task::JoinSet, time};

use super::{
    handshake::{self, Key},
    service::PeerClient,
    transport,
    wire::{
        ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
        DrainStatus, Heartbeat, Hint, Member, Shares, StopQuestion, StopStatus,
    },
};
use crate::{id, link::runtime};

/// Why a call to a peer returned no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, so the peer did not receive the call.
    #[error("cannot connect to the peer at {address}: {message}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause of the failure.
        message: String,
    },
    /// The connection failed or the timeout passed after the call was sent. The peer may have
    /// received the call; the connection is dropped.
    #[error("the peer at {address} did not answer: {message}")]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause of the failure.
        message: String,
    },
}

/// Makes calls to peers, over one connection for each address; clones share the connections.
#[derive(Debug, Clone)]
pub struct Links {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    key: Key,
    timeout: Duration,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

/// The connection to one peer, opened by the first call and replaced after a failure.
#[derive(Debug, Default)]
struct Link {
    connection: AsyncMutex<Option<Connection>>,
}

#[derive(Debug, Clone)]
struct Connection {
    client: PeerClient,
    /// Random number that tells this connection from a later one to the same peer.
    id: u64,
}

/// Whether a connection was opened for the call or was open before.
#[derive(Debug, Clone, Copy)]
enum Origin {
    Opened,
    Reused,
}

/// Why one attempt of a call returned no answer.
enum CallFailure {
    /// A reused connection turned out to be closed; the call is repeated on a new one. All calls
    /// between peers may be repeated.
    StaleConnection,
    Final(Error),
}

impl Links {
    /// Creates links without connections.
    ///
    /// Opening a connection, including the handshake with `key`, may take up to `timeout`, and so
    /// may the answer to a call.
    pub fn new(key: Key, timeout: Duration) -> Links {
        Links { inner: Arc::new(Inner { key, timeout, links: Mutex::default() }) }
    }

    /// Drops the connections to all addresses except `kept`.
    pub fn retain(&self, kept: &[SocketAddr]) {
        self.links().retain(|address, _| kept.contains(address));
    }

    /// Sends heartbeats to several peers in parallel and returns the answers that arrived in time.
    pub fn send_heartbeats(&self, heartbeats: Vec<(SocketAddr, Heartbeat)>) -> Vec<Heartbeat> {
        runtime::handle().block_on(async {
            let mut calls = JoinSet::new();
            for (address, heartbeat) in heartbeats {
                let links = self.clone();
                calls.spawn(async move { links.heartbeat(address, heartbeat).await });
            }
            calls.join_all().await.into_iter().flatten().collect()
        })
    }

    /// Sends a hint to several peers without waiting; a peer that misses it reads the change at its
    /// next refresh.
    pub fn send_hint(&self, addresses: Vec<SocketAddr>, hint: &Hint) {
        for address in addresses {
            let links = self.clone();
            let hint = hint.clone();
            runtime::handle().spawn(async move {
                let call = move |it: PeerClient, context| {
                    let hint = hint.clone();
                    async move { it.hint(context, hint).await }
                };
                let _ = links.call(address, call).await;
            });
        }
    }

    /// Sends a crash notice to several peers in parallel and waits until each call has been
    /// answered or has failed.
    pub fn send_crash_notice(&self, addresses: Vec<SocketAddr>, notice: &CrashNotice) {
        runtime::handle().block_on(async {
            let mut calls = JoinSet::new();
            for address in addresses {
                let links = self.clone();
                let notice = notice.clone();
                let call = move |it: PeerClient, context| {
                    let notice = notice.clone();
                    async move { it.crash(context, notice).await }
                };
                calls.spawn(async move { links.call(address, call).await.is_ok() });
            }
            calls.join_all().await;
        });
    }

    /// Asks several peers in parallel for the entry hosts that they know.
    pub fn all_members(&self, addresses: Vec<SocketAddr>) -> Vec<Member> {
        runtime::handle().block_on(async {
            let mut calls = JoinSet::new();
            for address in addresses {
                let links = self.clone();
                let call = |it: PeerClient, context| async move { it.members(context).await };
                calls.spawn(async move { links.call(address, call).await.unwrap_or_default() });
            }
            calls.join_all().await.into_iter().flatten().collect()
        })
    }

    /// Asks a peer for the entry hosts that it knows.
    ///
    /// # Errors
    /// Fails when the peer does not answer in time.
    pub fn members(&self, address: SocketAddr) -> Result<Vec<Member>, Error> {
        self.call_blocking(
            address,
            |it: PeerClient, context| async move { it.members(context).await },
        )
    }

    /// Asks a peer for its configuration in force if its version is at least `min_version`.
    ///
    /// # Errors
    /// Fails when the peer does not answer in time.
    pub fn configuration(
        &self,
        address: SocketAddr,
        min_version: id::Version,
    ) -> Result<Option<Configuration>, Error> {
        self.call_blocking(address, async |it: PeerClient, context| {
            it.configuration(context, min_version).await
        })
    }

    /// Asks the host that made a claim for the status of the claim.
    ///
    /// # Errors
    /// Fails when the peer does not answer in time.
    pub fn claim_status(
        &self,
        address: SocketAddr,
        question: ClaimQuestion,
    ) -> Result<ClaimStatus, Error> {
        self.call_blocking(address, move |it: PeerClient, context| {
            let question = question.clone();
            async move { it.claim_status(context, question).await }
        })
    }

    /// Asks a host whether it still has work at a target that is being drained.
    ///
    /// # Errors
    /// Fails when the peer does not answer in time.
    pub fn drain_status(
        &self,
        address: SocketAddr,
        question: DrainQuestion,
    ) -> Result<DrainStatus, Error> {
        self.call_blocking(address, move |it: PeerClient, context| {
            let question = question.clone();
            async move { it.drain_status(context, question).await }
        })
    }

    /// Asks an earlier holder of a lease whether it has stopped sending orders.
    ///
    /// # Errors
    /// Fails when the peer does not answer in time.
    pub fn stop_status(
        &self,
        address: SocketAddr,
        question: StopQuestion,
    ) -> Result<StopStatus, Error> {
        self.call_blocking(address, move |it: PeerClient, context| {
            let question = question.clone();
            async move { it.stop_status(context, question).await }
        })
    }

    /// Sends this host's demand to the holder of a group's lease and returns this host's shares;
    /// `None` when the peer does not hold the lease.
    ///
    /// # Errors
    /// Fails when the peer does not answer in time.
    pub fn shares(&self, address: SocketAddr, demands: Demands) -> Result<Option<Shares>, Error> {
        self.call_blocking(address, move |it: PeerClient, context| {
            let demands = demands.clone();
            async move { it.shares(context, demands).await }
        })
    }

    async fn heartbeat(&self, address: SocketAddr, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let call = move |it: PeerClient, context| {
            let heartbeat = heartbeat.clone();
            async move { it.heartbeat(context, heartbeat).await }
        };
        self.call(address, call).await.ok()
    }

    fn call_blocking<R, F>(
        &self,
        address: SocketAddr,
        call: impl Fn(PeerClient, Context) -> F,
    ) -> Result<R, Error>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        runtime::handle().block_on(self.call(address, call))
    }

    /// Makes a call; if a reused connection turns out to be closed, repeats the call once.
    async fn call<R, F>(
        &self,
        address: SocketAddr,
        call: impl Fn(PeerClient, Context) -> F,
    ) -> Result<R, Error>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let link = Arc::clone(self.links().entry(address).or_default());
        match self.call_once(&link, address, &call).await {
            Err(CallFailure::StaleConnection) => {}
            Err(CallFailure::Final(err)) => return Err(err),
            Ok(answer) => return Ok(answer),
        }
        match self.call_once(&link, address, &call).await {
            Err(CallFailure::StaleConnection) => Err(Error::NoAnswer {
                address,
                message: "the connection was closed, and so was its replacement".into(),
            }),
            Err(CallFailure::Final(err)) => Err(err),
            Ok(answer) => Ok(answer),
        }
    }

    async fn call_once<R, F>(
        &self,
        link: &Link,
        address: SocketAddr,
        call: &impl Fn(PeerClient, Context) -> F,
    ) -> Result<R, CallFailure>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let result = self.connection(link, address).await;
        let (connection, origin) = result.map_err(|err| {
            CallFailure::Final(Error::Unreachable { address, message: err.to_string() })
        })?;
        let mut context = Context::current();
        context.deadline = Instant::now() + self.inner.timeout;
        let err = match call(connection.client, context).await {
            Ok(answer) => return Ok(answer),
            Err(err) => err,
        };
        link.drop_connection(connection.id).await;
        match (origin, &err) {
            (Origin::Reused, RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_)) => {
                Err(CallFailure::StaleConnection)
            }
            _ => Err(CallFailure::Final(Error::NoAnswer { address, message: err.to_string() })),
        }
    }

    /// Returns the open connection, or opens one. Concurrent calls wait for the same connection.
    async fn connection(
        &self,
        link: &Link,
        address: SocketAddr,
    ) -> io::Result<(Connection, Origin)> {
        let mut slot = link.connection.lock().await;
        if let Some(connection) = slot.as_ref() {
            return Ok((connection.clone(), Origin::Reused));
        }
        let result = time::timeout(self.inner.timeout, self.open(address)).await;
        let client = result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        let connection = Connection { client, id: rand::random() };
        *slot = Some(connection.clone());
        Ok((connection, Origin::Opened))
    }

    async fn open(&self, address: SocketAddr) -> io::Result<PeerClient> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        handshake::connect(&mut stream, &self.inner.key).await?;
        Ok(PeerClient::new(tarpc::client::Config::default(), transport(stream)).spawn())
    }

    fn links(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Link>>> {
        self.inner.links.lock().expect("link lock poisoned")
    }
}

impl Link {
    /// Drops the connection unless it has been replaced by another one.
    async fn drop_connection(&self, id: u64) {
        let mut slot = self.connection.lock().await;
        if slot.as_ref().is_some_and(|it| it.id == id) {
            *slot = None;
        }
    }
}
