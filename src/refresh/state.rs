//! State machine that tracks how recent this host's configuration is and what the host may admit.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::Moment, id};

/// How recent a host's configuration is, and what the host may admit with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Freshness {
    /// The host has not joined yet, since no configuration is confirmed as the latest; it admits
    /// nothing.
    Starting,
    /// The configuration was confirmed by a table read within the maximum age; the host admits all
    /// requests.
    Fresh,
    /// The last confirmation is too old, but the host hears from a majority of the entry hosts and
    /// none of them has a later version; it admits repeatable requests only.
    Stale,
    /// The last confirmation is too old and a later version may be in force; the host admits
    /// nothing.
    Alone,
}

impl Freshness {
    /// Returns whether repeatable requests may be admitted.
    pub fn admits(self) -> bool {
        matches!(self, Freshness::Fresh | Freshness::Stale)
    }

    /// Returns whether requests that are not repeatable may be admitted.
    pub fn admits_unrepeatable(self) -> bool {
        self == Freshness::Fresh
    }
}

/// Numbers of the other entry hosts, and the highest configuration version among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerSummary {
    /// Whether the list of entry hosts is known; if it isn't, the counts are meaningless.
    pub members_known: bool,
    /// Number of other entry hosts, live or leaving.
    pub known: usize,
    /// Number of peers whose last heartbeat is younger than the silence timeout.
    pub heard: usize,
    /// Number of heard peers whose last heartbeat names this host's current incarnation.
    pub acknowledged: usize,
    /// Highest version in force at a heard peer.
    pub highest_version: id::Version,
}

impl PeerSummary {
    /// Returns whether this host and the heard peers form a majority of the entry hosts.
    pub fn is_majority(&self) -> bool {
        self.members_known && self.known + 1 < (self.heard + 1) * 2
    }

    fn all_acknowledged(&self) -> bool {
        self.members_known && self.known <= self.acknowledged
    }
}

/// Input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// The current version was read from the table.
    Read {
        /// When the read was sent.
        sent_at: Moment,
        /// Current version according to the table.
        version: id::Version,
    },
    /// A configuration was fetched and validated.
    Fetched {
        /// Version of the fetched configuration.
        version: id::Version,
    },
    /// The time or the peers' state may have changed.
    Tick,
}

/// Action that [`Refresher`](super::Refresher) carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Fetch a version from the table.
    FetchFromTable(id::Version),
    /// Fetch this version or a later one from a peer.
    FetchFromPeer(id::Version),
    /// The fetched version is now the one in force.
    Install(id::Version),
    /// Report that the table's current version is older than the one in force.
    ReportRollback(id::Version),
}

/// State of the configuration on one host; the version in force never decreases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    max_age: Duration,
    version: Option<id::Version>,
    last_read: Option<TableRead>,
    confirmed_at: Option<Moment>,
    joined: bool,
}

/// The latest accepted table read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TableRead {
    sent_at: Moment,
    version: id::Version,
}

impl State {
    /// Creates the state of a starting host; the configuration is fresh while its last confirmation
    /// is younger than `max_age`.
    pub fn new(max_age: Duration) -> State {
        State { max_age, version: None, last_read: None, confirmed_at: None, joined: false }
    }

    /// Returns the version in force; `None` until a first one is installed.
    pub fn version(&self) -> Option<id::Version> {
        self.version
    }

    /// Applies an input and returns the actions to carry out.
    ///
    /// For [`Input::Read`], `peers` must have been taken before the read was sent.
    pub fn step(&mut self, input: Input, peers: &PeerSummary) -> Vec<Action> {
        match input {
            Input::Read { sent_at, version } => self.read(sent_at, version, peers),
            Input::Fetched { version } => self.fetched(version),
            Input::Tick => self.tick(peers),
        }
    }

    /// Returns whether the configuration is fresh at `now`; this doesn't depend on the peers.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.joined && self.version.is_some() && self.is_confirmed(now)
    }

    /// Returns the freshness at `now`.
    pub fn freshness(&self, now: Moment, peers: &PeerSummary) -> Freshness {
        let Some(version) = self.version else { return Freshness::Starting };
        if !self.joined {
            return Freshness::Starting;
        }
        if self.is_fresh(now) {
            return Freshness::Fresh;
        }
        if peers.is_majority() && peers.highest_version <= version {
            return Freshness::Stale;
        }
        Freshness::Alone
    }

    fn is_confirmed(&self, now: Moment) -> bool {
        self.confirmed_at.is_some_and(|it| now.saturating_sub(it) < self.max_age)
    }

    fn read(&mut self, sent_at: Moment, version: id::Version, peers: &PeerSummary) -> Vec<Action> {
        if self.last_read.is_some_and(|it| sent_at < it.sent_at) {
            return Vec::new();
        }
        if self.version.is_some_and(|it| version < it) {
            return vec![Action::ReportRollback(version)];
        }
        // Peers that don't know this host yet don't wait for it before they report an edit as in
        // force. The host therefore joins only with a read that was sent after all peers had
        // acknowledged it, since such a read can't miss an edit of that kind.
        self.joined |= peers.all_acknowledged();
        self.last_read = Some(TableRead { sent_at, version });
        if self.version == Some(version) {
            self.confirmed_at = Some(sent_at);
            return Vec::new();
        }
        vec![Action::FetchFromTable(version)]
    }

    fn fetched(&mut self, version: id::Version) -> Vec<Action> {
        if self.version.is_some_and(|it| version <= it) {
            return Vec::new();
        }
        self.version = Some(version);
        if let Some(read) = self.last_read.filter(|it| it.version <= version) {
            self.confirmed_at = Some(read.sent_at);
        }
        vec![Action::Install(version)]
    }

    fn tick(&mut self, peers: &PeerSummary) -> Vec<Action> {
        if self.version.is_none_or(|it| it < peers.highest_version) && 0 < peers.highest_version {
            return vec![Action::FetchFromPeer(peers.highest_version)];
        }
        // Before its first successful read of the table, a host joins once it has a peer's
        // configuration and hears a majority of the entry hosts.
        if self.version.is_some() && self.last_read.is_none() {
            self.joined |= peers.is_majority();
        }
        Vec::new()
    }
}
