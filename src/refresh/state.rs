//! How fresh this host's picture of the configuration is, as a state machine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::Moment, id};

/// What a host may do with its picture of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Freshness {
    /// No configuration is known to be the latest yet; the host admits nothing.
    Starting,
    /// The table was read within the bound.
    Fresh,
    /// The table was not read within the bound, but most peers are heard and none knows a later
    /// configuration; the host admits repeatable requests only.
    Stale,
    /// The table was not read within the bound and a later configuration may be in force; the host
    /// admits nothing.
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

/// What the other entry hosts say about the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Peers {
    /// Whether the other entry hosts are known at all.
    pub listed: bool,
    /// Other entry hosts that are known, live or leaving.
    pub known: usize,
    /// Those that were heard within the bound on silence.
    pub heard: usize,
    /// Those that have heard this host.
    pub told: usize,
    /// Highest version that one of them has in force.
    pub highest: id::Version,
}

impl Peers {
    /// Returns whether this host and the heard peers are more than half of all.
    pub fn is_majority(&self) -> bool {
        self.listed && self.known + 1 < (self.heard + 1) * 2
    }

    fn all_told(&self) -> bool {
        self.listed && self.known <= self.told
    }
}

/// Something that the machine is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// The table was read.
    Read {
        /// When the read was sent.
        sent: Moment,
        /// Version that the table names.
        version: id::Version,
    },
    /// A configuration was fetched and checked.
    Fetched {
        /// Its version.
        version: id::Version,
    },
    /// The time passed, or a peer was heard.
    Tick,
}

/// Something that the runner does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Fetches a version from the table.
    FetchFromTable(id::Version),
    /// Fetches a version from a peer that has it in force.
    FetchFromPeer(id::Version),
    /// Puts the fetched version in force.
    Install(id::Version),
    /// Reports that the table names an earlier version than the one in force.
    WentBack(id::Version),
}

/// The machine; versions in force never fall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    bound: Duration,
    version: Option<id::Version>,
    named: Option<Named>,
    confirmed: Option<Moment>,
    joined: bool,
}

/// The last version that the table named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Named {
    sent: Moment,
    version: id::Version,
}

impl State {
    /// Creates the machine of a host that starts.
    pub fn new(bound: Duration) -> State {
        State { bound, version: None, named: None, confirmed: None, joined: false }
    }

    /// Returns the version in force; `None` before the first.
    pub fn version(&self) -> Option<id::Version> {
        self.version
    }

    /// Takes an input and returns what to do.
    ///
    /// With a read, `peers` is what was known before the read was sent.
    pub fn step(&mut self, input: Input, peers: &Peers) -> Vec<Action> {
        match input {
            Input::Read { sent, version } => self.read(sent, version, peers),
            Input::Fetched { version } => self.fetched(version),
            Input::Tick => self.tick(peers),
        }
    }

    /// Returns whether the host is fresh at `now`, whatever its peers say.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.joined && self.version.is_some() && self.is_confirmed(now)
    }

    /// Returns what the host may do at `now`.
    pub fn freshness(&self, now: Moment, peers: &Peers) -> Freshness {
        let Some(version) = self.version else { return Freshness::Starting };
        if !self.joined {
            return Freshness::Starting;
        }
        if self.is_fresh(now) {
            return Freshness::Fresh;
        }
        if peers.is_majority() && peers.highest <= version {
            return Freshness::Stale;
        }
        Freshness::Alone
    }

    fn is_confirmed(&self, now: Moment) -> bool {
        self.confirmed.is_some_and(|it| now.saturating_sub(it) < self.bound)
    }

    fn read(&mut self, sent: Moment, version: id::Version, peers: &Peers) -> Vec<Action> {
        if self.named.is_some_and(|it| sent < it.sent) {
            return Vec::new();
        }
        if self.version.is_some_and(|it| version < it) {
            return vec![Action::WentBack(version)];
        }
        // A host that the others do not know of yet could miss an edit that they report in force,
        // so only a read that is sent after all of them were told lets it join.
        self.joined |= peers.all_told();
        self.named = Some(Named { sent, version });
        if self.version == Some(version) {
            self.confirmed = Some(sent);
            return Vec::new();
        }
        vec![Action::FetchFromTable(version)]
    }

    fn fetched(&mut self, version: id::Version) -> Vec<Action> {
        if self.version.is_some_and(|it| version <= it) {
            return Vec::new();
        }
        self.version = Some(version);
        if let Some(named) = self.named.filter(|it| it.version <= version) {
            self.confirmed = Some(named.sent);
        }
        vec![Action::Install(version)]
    }

    fn tick(&mut self, peers: &Peers) -> Vec<Action> {
        if self.version.is_none_or(|it| it < peers.highest) && 0 < peers.highest {
            return vec![Action::FetchFromPeer(peers.highest)];
        }
        if self.version.is_some() && self.named.is_none() {
            self.joined |= peers.is_majority();
        }
        Vec::new()
    }
}
