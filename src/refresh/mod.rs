//! Keeps the configuration of this host up to date: one small read of the table each second.

mod delay;
mod state;

use std::{
    fmt,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use smol_str::SmolStr;

pub use self::{
    delay::delay,
    state::{Action, Freshness, Input, Peers, State},
};
use crate::{
    clock::{self, Moment},
    contract::{
        Contract, Lists,
        store::{self, Edition, Store},
    },
    event,
    event::Event,
    id,
    store::{Objects, Row, Table},
    timer::Timer,
};

/// What the refresh needs from the other entry hosts.
pub trait Source: Send + Sync + 'static {
    /// Returns what the other entry hosts say about the configuration.
    fn peers(&self) -> Peers;

    /// Returns a configuration of at least this version from a peer that has it in force.
    fn edition(&self, version: id::Version) -> Option<Edition>;
}

/// A source without peers, for a deployment of one host.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

impl Source for NoPeers {
    fn peers(&self) -> Peers {
        Peers { listed: true, ..Peers::default() }
    }

    fn edition(&self, _version: id::Version) -> Option<Edition> {
        None
    }
}

/// Rows that were read in one refresh.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// When the read was sent.
    pub sent: Moment,
    /// The watched rows, in the order asked for.
    pub rows: Vec<Row>,
}

/// A configuration in force: the checked form and the lists that it came from.
#[derive(Debug, Default)]
pub struct InForce {
    /// The checked form.
    pub contract: Arc<Contract>,
    /// The lists as they were stored.
    pub lists: Arc<Lists>,
}

type ContractSubscriber = Box<dyn Fn(&Arc<Contract>) + Send + Sync>;
type SnapshotSubscriber = Box<dyn Fn(&Snapshot) + Send + Sync>;
type Watch = Box<dyn Fn() -> Vec<SmolStr> + Send + Sync>;

/// Runs the refresh; clones share it.
pub struct Refresh<T, O> {
    inner: Arc<Inner<T, O>>,
}

struct Inner<T, O> {
    store: Store<T, O>,
    source: Box<dyn Source>,
    state: Mutex<State>,
    installing: Mutex<()>,
    in_force: RwLock<Arc<InForce>>,
    failures: Mutex<u32>,
    subscribers: RwLock<Vec<ContractSubscriber>>,
    watches: RwLock<Vec<Watch>>,
    snapshots: RwLock<Vec<SnapshotSubscriber>>,
}

impl<T, O> Clone for Refresh<T, O> {
    fn clone(&self) -> Refresh<T, O> {
        Refresh { inner: Arc::clone(&self.inner) }
    }
}

impl<T, O> fmt::Debug for Refresh<T, O> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Refresh").finish_non_exhaustive()
    }
}

impl<T: Table, O: Objects> Refresh<T, O> {
    /// Creates a refresh; `bound` is the age at which the configuration counts as stale.
    pub fn new(store: Store<T, O>, source: impl Source, bound: Duration) -> Refresh<T, O> {
        let inner = Inner {
            store,
            source: Box::new(source),
            state: Mutex::new(State::new(bound)),
            installing: Mutex::default(),
            in_force: RwLock::default(),
            failures: Mutex::default(),
            subscribers: RwLock::default(),
            watches: RwLock::default(),
            snapshots: RwLock::default(),
        };
        Refresh { inner: Arc::new(inner) }
    }

    /// Adds rows that each refresh reads in the same transaction.
    pub fn watch(&self, rows: impl Fn() -> Vec<SmolStr> + Send + Sync + 'static) {
        self.inner.watches.write().expect("watch lock poisoned").push(Box::new(rows));
    }

    /// Calls `subscriber` with each new configuration, before any request is admitted under it.
    pub fn subscribe(&self, subscriber: impl Fn(&Arc<Contract>) + Send + Sync + 'static) {
        let mut all = self.inner.subscribers.write().expect("subscriber lock poisoned");
        all.push(Box::new(subscriber));
    }

    /// Calls `subscriber` with the watched rows after each read that succeeded.
    pub fn subscribe_rows(&self, subscriber: impl Fn(&Snapshot) + Send + Sync + 'static) {
        let mut all = self.inner.snapshots.write().expect("subscriber lock poisoned");
        all.push(Box::new(subscriber));
    }

    /// Forgets all subscribers and watched rows, so that they can be dropped with their host.
    pub fn unsubscribe_all(&self) {
        self.inner.subscribers.write().expect("subscriber lock poisoned").clear();
        self.inner.snapshots.write().expect("subscriber lock poisoned").clear();
        self.inner.watches.write().expect("watch lock poisoned").clear();
    }

    /// Starts the refresh on the timer service.
    pub fn start(&self, timer: &Timer, period: Duration) {
        let it = self.clone();
        timer.schedule("refresh", move |_| {
            it.run();
            let failures = *it.inner.failures.lock().expect("failure lock poisoned");
            delay(period, failures, rand::random())
        });
    }

    /// Returns the configuration in force.
    pub fn contract(&self) -> Arc<Contract> {
        Arc::clone(&self.in_force().contract)
    }

    /// Returns the configuration in force with its lists.
    pub fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.inner.in_force.read().expect("configuration lock poisoned"))
    }

    /// Returns the configuration in force in the form that peers fetch.
    pub fn edition(&self) -> Edition {
        let in_force = self.in_force();
        Edition { version: in_force.contract.version, lists: Lists::clone(&in_force.lists) }
    }

    /// Returns what this host may do now.
    pub fn freshness(&self) -> Freshness {
        let now = clock::now();
        if self.state().is_fresh(now) {
            return Freshness::Fresh;
        }
        let peers = self.inner.source.peers();
        self.state().freshness(now, &peers)
    }

    /// Returns the store that the refresh reads.
    pub fn store(&self) -> &Store<T, O> {
        &self.inner.store
    }

    /// Takes a peer's hint that this version is stored; reads the table now if it is news.
    pub fn hint(&self, version: id::Version) {
        if self.state().version().is_none_or(|it| it < version) {
            self.run();
        }
    }

    /// Reads the table once and does what follows from it.
    pub fn run(&self) {
        let peers = self.inner.source.peers();
        let sent = clock::now();
        match self.read() {
            Ok((version, rows)) => {
                self.table_answered();
                self.step(Input::Read { sent, version }, &peers);
                self.publish(&Snapshot { sent, rows });
            }
            Err(err) => self.table_failed(&err),
        }
        let peers = self.inner.source.peers();
        self.step(Input::Tick, &peers);
    }

    /// Takes news of peers without a read of the table.
    pub fn tick(&self) {
        let peers = self.inner.source.peers();
        self.step(Input::Tick, &peers);
    }

    fn read(&self) -> Result<(id::Version, Vec<Row>), store::Error> {
        let mut keys = vec![SmolStr::new_static(store::CURRENT)];
        for watch in self.inner.watches.read().expect("watch lock poisoned").iter() {
            keys.extend(watch());
        }
        let mut rows = self.inner.store.table().read(&keys)?;
        if rows.is_empty() {
            return Err(store::Error::Unreadable(store::CURRENT.into()));
        }
        let current = store::current(&rows.remove(0))?;
        Ok((current.version, rows))
    }

    fn step(&self, input: Input, peers: &Peers) {
        let actions = self.state().step(input, peers);
        for action in actions {
            match action {
                Action::FetchFromTable(version) => self.fetch_from_table(version),
                Action::FetchFromPeer(version) => self.fetch_from_peer(version),
                Action::WentBack(version) => event!(
                    Event::ConfigWentBack,
                    "the table names version {version}, which is older than the one in force; \
                     the newer one stays"
                ),
                Action::Install(_) => {}
            }
        }
    }

    fn fetch_from_table(&self, version: id::Version) {
        match self.inner.store.edition(version) {
            Ok(edition) => self.install(edition),
            Err(err) => event!(
                Event::ConfigUnreadable,
                "version {version} cannot be fetched: {err}; it is tried again"
            ),
        }
    }

    fn fetch_from_peer(&self, version: id::Version) {
        if let Some(edition) = self.inner.source.edition(version) {
            self.install(edition);
        }
    }

    /// Puts a configuration in force unless a later one already is.
    fn install(&self, edition: Edition) {
        let version = edition.version;
        let contract = match Contract::try_from(&edition.lists) {
            Ok(contract) => Contract { version, ..contract },
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                event!(Event::ConfigUnreadable, "version {version} has faults: {fault}");
                return;
            }
        };
        let in_force =
            Arc::new(InForce { contract: Arc::new(contract), lists: Arc::new(edition.lists) });
        if self.replace(&in_force) {
            event!(Event::ConfigInForce, "configuration version {version} is in force");
        }
    }

    /// Swaps the configuration if it is later than the one in force.
    fn replace(&self, in_force: &Arc<InForce>) -> bool {
        let version = in_force.contract.version;
        let _guard = self.inner.installing.lock().expect("install lock poisoned");
        if self.state().version().is_some_and(|it| version <= it) {
            return false;
        }
        *self.inner.in_force.write().expect("configuration lock poisoned") = Arc::clone(in_force);
        for it in self.inner.subscribers.read().expect("subscriber lock poisoned").iter() {
            it(&in_force.contract);
        }
        self.state().step(Input::Fetched { version }, &Peers::default());
        true
    }

    fn publish(&self, snapshot: &Snapshot) {
        for it in self.inner.snapshots.read().expect("subscriber lock poisoned").iter() {
            it(snapshot);
        }
    }

    fn table_answered(&self) {
        let failures = std::mem::take(&mut *self.failures());
        if 0 < failures {
            event!(Event::TableUp, "the platform's table answers again after {failures} tries");
        }
    }

    fn table_failed(&self, err: &store::Error) {
        let mut failures = self.failures();
        *failures += 1;
        if *failures == 1 {
            event!(Event::TableDown, "the configuration cannot be refreshed: {err}");
        }
    }

    fn failures(&self) -> std::sync::MutexGuard<'_, u32> {
        self.inner.failures.lock().expect("failure lock poisoned")
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.inner.state.lock().expect("refresh lock poisoned")
    }
}
