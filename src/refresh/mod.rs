//! Keeps this host's configuration up to date by polling the platform's table; each poll is one
//! small read.

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
    state::{Action, Freshness, Input, PeerSummary, State},
};
use crate::{
    clock::{self, Moment},
    configuration::{
        Configuration, Lists,
        store::{self, Store, VersionedLists},
    },
    event,
    event::Event,
    id,
    store::{ObjectStore, Row, Table},
    timer::Timer,
};

/// Access to the configuration of the other entry hosts.
pub trait PeerSource: Send + Sync + 'static {
    /// Returns how many peers are known and heard, and the highest version among them.
    fn peers(&self) -> PeerSummary;

    /// Fetches the configuration in force at a peer; its version is at least `version`.
    fn fetch(&self, version: id::Version) -> Option<VersionedLists>;
}

/// Peer source of a deployment with a single entry host.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

impl PeerSource for NoPeers {
    fn peers(&self) -> PeerSummary {
        PeerSummary { members_known: true, ..PeerSummary::default() }
    }

    fn fetch(&self, _version: id::Version) -> Option<VersionedLists> {
        None
    }
}

/// The watched rows as one refresh read them.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// When the read was sent.
    pub sent_at: Moment,
    /// The rows in the order of the watched keys.
    pub rows: Vec<Row>,
}

/// The configuration in force, with the lists that it was parsed from.
#[derive(Debug, Default)]
pub struct InForce {
    /// The validated configuration.
    pub configuration: Arc<Configuration>,
    /// The lists as stored.
    pub lists: Arc<Lists>,
}

type ConfigurationSubscriber = Box<dyn Fn(&Arc<Configuration>) + Send + Sync>;
type RowSubscriber = Box<dyn Fn(&Snapshot) + Send + Sync>;
type KeySource = Box<dyn Fn() -> Vec<SmolStr> + Send + Sync>;

/// Refreshes the configuration of this host; clones share the same state.
pub struct Refresher<T, O> {
    inner: Arc<Inner<T, O>>,
}

struct Inner<T, O> {
    store: Store<T, O>,
    peer_source: Box<dyn PeerSource>,
    state: Mutex<State>,
    install_lock: Mutex<()>,
    in_force: RwLock<Arc<InForce>>,
    failures: Mutex<u32>,
    configuration_subscribers: RwLock<Vec<ConfigurationSubscriber>>,
    watched_keys: RwLock<Vec<KeySource>>,
    row_subscribers: RwLock<Vec<RowSubscriber>>,
}

impl<T, O> Clone for Refresher<T, O> {
    fn clone(&self) -> Refresher<T, O> {
        Refresher { inner: Arc::clone(&self.inner) }
    }
}

impl<T, O> fmt::Debug for Refresher<T, O> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Refresher").finish_non_exhaustive()
    }
}

impl<T: Table, O: ObjectStore> Refresher<T, O> {
    /// Creates a refresher; the configuration is fresh while its last confirmation by the table is
    /// younger than `max_age`.
    pub fn new(
        store: Store<T, O>,
        peer_source: impl PeerSource,
        max_age: Duration,
    ) -> Refresher<T, O> {
        let inner = Inner {
            store,
            peer_source: Box::new(peer_source),
            state: Mutex::new(State::new(max_age)),
            install_lock: Mutex::default(),
            in_force: RwLock::default(),
            failures: Mutex::default(),
            configuration_subscribers: RwLock::default(),
            watched_keys: RwLock::default(),
            row_subscribers: RwLock::default(),
        };
        Refresher { inner: Arc::new(inner) }
    }

    /// Adds rows that each refresh reads in the same transaction; `keys` is called before each
    /// read.
    pub fn watch_rows(&self, keys: impl Fn() -> Vec<SmolStr> + Send + Sync + 'static) {
        self.inner.watched_keys.write().expect("watch lock poisoned").push(Box::new(keys));
    }

    /// Calls `subscriber` with each new configuration, before any request is admitted under it.
    pub fn subscribe(&self, subscriber: impl Fn(&Arc<Configuration>) + Send + Sync + 'static) {
        let mut subscribers =
            self.inner.configuration_subscribers.write().expect("subscriber lock poisoned");
        subscribers.push(Box::new(subscriber));
    }

    /// Calls `subscriber` with the watched rows after each successful read.
    pub fn subscribe_rows(&self, subscriber: impl Fn(&Snapshot) + Send + Sync + 'static) {
        let mut subscribers = self.inner.row_subscribers.write().expect("subscriber lock poisoned");
        subscribers.push(Box::new(subscriber));
    }

    /// Removes all subscribers and watched rows, so that what they hold can be dropped with the
    /// host.
    pub fn unsubscribe_all(&self) {
        self.inner.configuration_subscribers.write().expect("subscriber lock poisoned").clear();
        self.inner.row_subscribers.write().expect("subscriber lock poisoned").clear();
        self.inner.watched_keys.write().expect("watch lock poisoned").clear();
    }

    /// Schedules the refresh on the timer: each `period` on success, with backoff after failures.
    pub fn start(&self, timer: &Timer, period: Duration) {
        let it = self.clone();
        timer.schedule("refresh", move |_| {
            it.refresh_now();
            let failures = *it.inner.failures.lock().expect("failure lock poisoned");
            delay(period, failures, rand::random())
        });
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.in_force().configuration)
    }

    /// Returns the configuration in force with the lists that it was parsed from.
    pub fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.inner.in_force.read().expect("configuration lock poisoned"))
    }

    /// Returns the version and lists in force, for peers that fetch them.
    pub fn versioned_lists(&self) -> VersionedLists {
        let in_force = self.in_force();
        VersionedLists {
            version: in_force.configuration.version,
            lists: Lists::clone(&in_force.lists),
        }
    }

    /// Returns how recent the configuration is now.
    pub fn freshness(&self) -> Freshness {
        let now = clock::now();
        if self.state().is_fresh(now) {
            return Freshness::Fresh;
        }
        let peers = self.inner.peer_source.peers();
        self.state().freshness(now, &peers)
    }

    /// Returns the configuration store.
    pub fn store(&self) -> &Store<T, O> {
        &self.inner.store
    }

    /// Handles a peer's hint that `version` is stored: reads the table now if the version in force
    /// is older.
    pub fn hint(&self, version: id::Version) {
        if self.state().version().is_none_or(|it| it < version) {
            self.refresh_now();
        }
    }

    /// Reads the table once and applies the result.
    pub fn refresh_now(&self) {
        let peers = self.inner.peer_source.peers();
        let sent_at = clock::now();
        match self.read_table() {
            Ok((version, rows)) => {
                self.table_answered();
                self.step(Input::Read { sent_at, version }, &peers);
                self.notify_row_subscribers(&Snapshot { sent_at, rows });
            }
            Err(err) => self.table_failed(&err),
        }
        let peers = self.inner.peer_source.peers();
        self.step(Input::Tick, &peers);
    }

    /// Applies the current state of the peers without reading the table.
    pub fn tick(&self) {
        let peers = self.inner.peer_source.peers();
        self.step(Input::Tick, &peers);
    }

    /// Reads the current version and the watched rows in one transaction.
    fn read_table(&self) -> Result<(id::Version, Vec<Row>), store::Error> {
        let mut keys = vec![SmolStr::new_static(store::CURRENT_KEY)];
        for source in self.inner.watched_keys.read().expect("watch lock poisoned").iter() {
            keys.extend(source());
        }
        let mut rows = self.inner.store.table().read(&keys)?;
        if rows.is_empty() {
            return Err(store::Error::Unreadable(store::CURRENT_KEY.into()));
        }
        let current = store::current(&rows.remove(0))?;
        Ok((current.version, rows))
    }

    fn step(&self, input: Input, peers: &PeerSummary) {
        let actions = self.state().step(input, peers);
        for action in actions {
            match action {
                Action::FetchFromTable(version) => self.fetch_from_table(version),
                Action::FetchFromPeer(version) => self.fetch_from_peer(version),
                Action::ReportRollback(version) => event!(
                    Event::ConfigRollbackIgnored,
                    "the table's current version {version} is older than the version in force; the \
                     version in force is kept"
                ),
                // Returned only for `Input::Fetched`, when `replace` has already put the version in
                // force.
                Action::Install(_) => {}
            }
        }
    }

    fn fetch_from_table(&self, version: id::Version) {
        match self.inner.store.load(version) {
            Ok(fetched) => self.install(fetched),
            Err(err) => event!(
                Event::ConfigUnreadable,
                "configuration version {version} cannot be fetched: {err}; retrying at the next \
                 refresh"
            ),
        }
    }

    fn fetch_from_peer(&self, version: id::Version) {
        if let Some(fetched) = self.inner.peer_source.fetch(version) {
            self.install(fetched);
        }
    }

    /// Validates a configuration and puts it in force unless the version in force is as new.
    fn install(&self, fetched: VersionedLists) {
        let version = fetched.version;
        let configuration = match Configuration::try_from(&fetched.lists) {
            Ok(configuration) => Configuration { version, ..configuration },
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                event!(
                    Event::ConfigUnreadable,
                    "configuration version {version} is invalid: {fault}"
                );
                return;
            }
        };
        let in_force = Arc::new(InForce {
            configuration: Arc::new(configuration),
            lists: Arc::new(fetched.lists),
        });
        if self.replace(&in_force) {
            event!(Event::ConfigInForce, "configuration version {version} is in force");
        }
    }

    /// Replaces the configuration in force if the new version is higher; returns whether it did.
    fn replace(&self, in_force: &Arc<InForce>) -> bool {
        let version = in_force.configuration.version;
        let _guard = self.inner.install_lock.lock().expect("install lock poisoned");
        if self.state().version().is_some_and(|it| version <= it) {
            return false;
        }
        *self.inner.in_force.write().expect("configuration lock poisoned") = Arc::clone(in_force);
        for it in
            self.inner.configuration_subscribers.read().expect("subscriber lock poisoned").iter()
        {
            it(&in_force.configuration);
        }
        self.state().step(Input::Fetched { version }, &PeerSummary::default());
        true
    }

    fn notify_row_subscribers(&self, snapshot: &Snapshot) {
        for it in self.inner.row_subscribers.read().expect("subscriber lock poisoned").iter() {
            it(snapshot);
        }
    }

    fn table_answered(&self) {
        let failures = std::mem::take(&mut *self.failures());
        if 0 < failures {
            event!(
                Event::TableUp,
                "the platform's table answers again after {failures} failed attempts"
            );
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
