//! The connecting side of peer links.

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

/// A call to a peer that gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be result, so the peer did not get the call.
    #[error("cannot connect to the peer at {address}: {message}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// What failed.
        message: String,
    },
    /// The peer did not answer in time; it may have got the call. The connection is dropped.
    #[error("the peer at {address} did not answer: {message}")]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// What failed.
        message: String,
    },
}

/// Calls to peers; clones share the connections.
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

/// The connection to one peer, result by the first call and replaced after a failure.
#[derive(Debug, Default)]
struct Link {
    connection: AsyncMutex<Option<Connection>>,
}

#[derive(Debug, Clone)]
struct Connection {
    client: PeerClient,
    number: u64,
}

/// Whether a connection was open before the call.
#[derive(Debug, Clone, Copy)]
enum Origin {
    Opened,
    Reused,
}

/// Why a call on one connection gave no answer.
enum CallFailure {
    /// The connection was closed while it was unused; every call may be repeated on a new one.
    Stale,
    Final(Error),
}

impl Links {
    /// Creates links that prove `key` and wait at most `timeout` for a connection and an answer.
    pub fn new(key: Key, timeout: Duration) -> Links {
        Links { inner: Arc::new(Inner { key, timeout, links: Mutex::default() }) }
    }

    /// Closes the connections to all addresses that are not among `kept`.
    pub fn retain(&self, kept: &[SocketAddr]) {
        self.links().retain(|address, _| kept.contains(address));
    }

    /// Sends heartbeats to several peers at once and returns the answers that came in time.
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

    /// Sends a hint to several peers at once; a peer that misses it learns by its own refresh.
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

    /// Sends a crash notice to several peers at once and waits until each has answered or is late.
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

    /// Asks several peers at once for the entry hosts that they know.
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

    /// Asks a peer for its configuration in force if its version is at least `least`.
    ///
    /// # Errors
    /// Fails when the peer does not answer in time.
    pub fn configuration(
        &self,
        address: SocketAddr,
        least: id::Version,
    ) -> Result<Option<Configuration>, Error> {
        self.call_blocking(address, async |it: PeerClient, context| {
            it.configuration(context, least).await
        })
    }

    /// Asks a claimant what became of a claim.
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

    /// Asks a host whether it has nothing left at a drained target.
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

    /// Asks an earlier holder whether it has stopped giving orders.
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

    /// Sends this host's demand to the holder of a group; `None` when the peer does not hold it.
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
            Err(CallFailure::Stale) => {}
            Err(CallFailure::Final(err)) => return Err(err),
            Ok(answer) => return Ok(answer),
        }
        match self.call_once(&link, address, &call).await {
            Err(CallFailure::Stale) => {
                Err(Error::NoAnswer { address, message: "the connection was closed twice".into() })
            }
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
        link.drop_connection(connection.number).await;
        match (origin, &err) {
            (Origin::Reused, RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_)) => {
                Err(CallFailure::Stale)
            }
            _ => Err(CallFailure::Final(Error::NoAnswer { address, message: err.to_string() })),
        }
    }

    /// Returns the open connection, or a new one. Calls that come meanwhile wait for the same one.
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
        let connection = Connection { client, number: rand::random() };
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
    async fn drop_connection(&self, number: u64) {
        let mut slot = self.connection.lock().await;
        if slot.as_ref().is_some_and(|it| it.number == number) {
            *slot = None;
        }
    }
}
