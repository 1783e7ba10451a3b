//! Membership of the entry hosts: exchanges heartbeats with the other hosts, reports this host to
//! the platform's host list, reads the list, and keeps the [`Roster`] current.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock},
    time::Duration,
};

use super::{Candidate, Change, Ranking, ReportedVersion, Roster, Status, View, rank};
use crate::{
    clock::{self, Moment},
    configuration::store::VersionedLists,
    event,
    event::Event,
    id,
    link::peer::{
        Links,
        wire::{Heartbeat, Hint, Load, Member},
    },
    refresh::{self, Freshness, PeerSummary},
    settings,
    store::{HostList, Kind, Machine, State},
    timer::Timer,
};

/// Interval of this host's reports to the host list.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the reports until the other hosts are known.
const JOIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Reports per read of the host list, once the other hosts are known.
const REPORTS_PER_READ: u32 = 2;

/// The host list as last read from the platform.
#[derive(Debug, Clone, Default)]
pub struct HostListSnapshot {
    /// All machines.
    pub machines: Arc<Vec<Machine>>,
    /// When the read was sent.
    pub read_at: Moment,
}

/// State that this host reports in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnState {
    /// Version of the configuration in force; `None` before the first.
    pub version: Option<id::Version>,
    /// Freshness of the configuration, which decides whether this host admits requests.
    pub freshness: Freshness,
    /// Load of this host.
    pub load: Load,
}

type StateProvider = Box<dyn Fn() -> OwnState + Send + Sync>;
type MachineSubscriber = Box<dyn Fn(&[Machine]) + Send + Sync>;

/// Membership of this host; clones share one state.
pub struct Membership<L> {
    inner: Arc<Inner<L>>,
}

struct Inner<L> {
    own: Mutex<Member>,
    list: L,
    links: Links,
    roster: Mutex<Roster>,
    state_provider: OnceLock<StateProvider>,
    snapshot: RwLock<HostListSnapshot>,
    subscribers: RwLock<Vec<MachineSubscriber>>,
}

impl<L> Clone for Membership<L> {
    fn clone(&self) -> Membership<L> {
        Membership { inner: Arc::clone(&self.inner) }
    }
}

impl<L> fmt::Debug for Membership<L> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Membership").finish_non_exhaustive()
    }
}

impl<L: HostList> Membership<L> {
    /// Creates the membership of the host `own`.
    ///
    /// `configuration_bound` is the age of the configuration after which a host without a majority
    /// admits no requests.
    pub fn new(
        own: Member,
        list: L,
        links: Links,
        peers: &settings::Peers,
        configuration_bound: Duration,
    ) -> Membership<L> {
        let retention = configuration_bound + peers.silence;
        let roster = Roster::new(own.host.clone(), own.incarnation, peers.silence, retention);
        let inner = Inner {
            own: Mutex::new(own),
            list,
            links,
            roster: Mutex::new(roster),
            state_provider: OnceLock::new(),
            snapshot: RwLock::default(),
            subscribers: RwLock::default(),
        };
        Membership { inner: Arc::new(inner) }
    }

    /// Sets the function that provides this host's state for heartbeats.
    ///
    /// Heartbeats sent earlier contain no configuration version. Only the first call has an effect.
    pub fn set_state_provider(&self, provider: impl Fn() -> OwnState + Send + Sync + 'static) {
        let _ = self.inner.state_provider.set(Box::new(provider));
    }

    /// Calls `subscriber` with all machines after each read of the host list.
    pub fn subscribe(&self, subscriber: impl Fn(&[Machine]) + Send + Sync + 'static) {
        let mut all = self.inner.subscribers.write().expect("subscriber lock poisoned");
        all.push(Box::new(subscriber));
    }

    /// Schedules heartbeats, reports and reads of the host list on the timer.
    pub fn start(&self, timer: &Timer, peers: &settings::Peers) {
        let it = self.clone();
        let mut before = clock::now();
        timer.every("heartbeat", peers.heartbeat, move |now| {
            it.send_due_heartbeats(now);
            it.log_changes(it.roster().newly_silent(before, now));
            before = now;
        });
        let it = self.clone();
        let mut reports: u32 = 0;
        let mut status = ListStatus::Available;
        timer.schedule("host-list", move |_| {
            it.report();
            let knows_peers = it.roster().knows_peers();
            if !knows_peers || reports.is_multiple_of(REPORTS_PER_READ) {
                status = it.read_list(status);
            }
            reports = reports.wrapping_add(1);
            if it.roster().knows_peers() { REPORT_INTERVAL } else { JOIN_REPORT_INTERVAL }
        });
    }

    /// Reports to the platform and to all peers that this host is shutting down.
    pub fn leave(&self) {
        self.lock_own().state = State::Leaving;
        self.report();
        self.send_heartbeats(self.other_members());
    }

    /// Returns the member data of this host.
    pub fn own(&self) -> Member {
        self.lock_own().clone()
    }

    /// Returns whether this host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.lock_own().state == State::Leaving
    }

    /// Returns the load of this host.
    pub fn load(&self) -> Load {
        self.own_state().load
    }

    /// Returns all machines of the host list as last read.
    pub fn machines(&self) -> Arc<Vec<Machine>> {
        self.host_list().machines
    }

    /// Returns the host list as last read.
    pub fn host_list(&self) -> HostListSnapshot {
        self.inner.snapshot.read().expect("machine lock poisoned").clone()
    }

    /// Returns the other entry hosts as they appear now.
    pub fn views(&self) -> Vec<View> {
        self.roster().views(clock::now())
    }

    /// Returns the configuration version that each known run of the other entry hosts last
    /// reported.
    pub fn reported_versions(&self) -> Vec<ReportedVersion> {
        self.roster().reported_versions(clock::now())
    }

    /// Returns all known entry hosts, this one included.
    pub fn members(&self) -> Vec<Member> {
        let mut members = self.other_members();
        members.push(self.own());
        members
    }

    /// Returns the address for peers of another entry host.
    pub fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.roster().latest_run(host).map(|it| it.peers_address)
    }

    /// Returns the address for peers of one run of another entry host.
    pub fn run_peer_address(&self, host: &id::Host, run: id::Incarnation) -> Option<SocketAddr> {
        self.roster().find_run(host, run).map(|it| it.peers_address)
    }

    /// Returns the addresses for peers of all other entry hosts.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.other_members().into_iter().map(|it| it.peers_address).collect()
    }

    /// Returns the links to the other hosts.
    pub fn links(&self) -> &Links {
        &self.inner.links
    }

    /// Ranks the entry hosts for a caller in `data_centre`, or in this host's data centre if
    /// `None`.
    ///
    /// A random `seed` for each call spreads the callers over the hosts.
    pub fn rank_hosts(&self, data_centre: Option<&str>, seed: u64) -> Ranking {
        let own = self.own();
        let state = self.own_state();
        let views = self.views();
        let mut candidates: Vec<Candidate> =
            views.iter().filter_map(|it| Candidate::try_from(it).ok()).collect();
        if own.state == State::Live && state.freshness.admits() {
            candidates.push(Candidate { member: own.clone(), load: state.load });
        }
        rank(&candidates, data_centre.unwrap_or(&own.data_centre), seed)
    }

    /// Records a heartbeat from a peer and returns this host's heartbeat as the reply.
    pub fn receive_heartbeat(&self, beat: &Heartbeat) -> Heartbeat {
        self.record_heartbeat(beat);
        self.heartbeat(&beat.from.host)
    }

    /// Sends all peers a hint that a row has a new version.
    pub fn send_hint(&self, hint: &Hint) {
        self.inner.links.send_hint(self.peer_addresses(), hint);
    }

    /// Sends a heartbeat to all other hosts now, including hosts that only a peer knows.
    pub fn heartbeat_all(&self) {
        let views = self.views();
        let known: Vec<Member> = views.iter().map(|it| it.member.clone()).collect();
        let heard = views.iter().filter(|it| it.status != Status::Silent);
        let addresses = heard.map(|it| it.member.peers_address).collect();
        let reported = self.inner.links.all_members(addresses);
        let own = self.own().host;
        let unknown =
            |it: &Member| it.host != own && !known.iter().any(|other| other.host == it.host);
        let mut members = known.clone();
        members.extend(reported.into_iter().filter(unknown));
        members.dedup_by(|a, b| a.host == b.host);
        self.send_heartbeats(members);
    }

    fn send_due_heartbeats(&self, now: Moment) {
        let due = self.roster().heartbeat_receivers(now);
        self.send_heartbeats(due);
        if !self.roster().knows_peers() {
            self.learn_members();
        }
    }

    fn send_heartbeats(&self, members: Vec<Member>) {
        let beat = |it: &Member| (it.peers_address, self.heartbeat(&it.host));
        let beats = members.iter().map(beat).collect();
        for answer in self.inner.links.send_heartbeats(beats) {
            self.record_heartbeat(&answer);
        }
    }

    /// Learns the members from the first peer that answers, until the other hosts are known.
    fn learn_members(&self) {
        for member in self.other_members() {
            if let Ok(members) = self.inner.links.members(member.peers_address) {
                self.roster().learn_members(&members, clock::now());
                return;
            }
        }
    }

    fn record_heartbeat(&self, beat: &Heartbeat) {
        let changes = self.roster().receive_heartbeat(beat, clock::now());
        self.log_changes(changes);
    }

    fn heartbeat(&self, to: &str) -> Heartbeat {
        let OwnState { version, freshness, load } = self.own_state();
        let heard = self.roster().heard_incarnation(to);
        Heartbeat { from: self.own(), heard, version, freshness, load }
    }

    fn own_state(&self) -> OwnState {
        let without_provider =
            OwnState { version: None, freshness: Freshness::Starting, load: Load::default() };
        self.inner.state_provider.get().map_or(without_provider, |it| it())
    }

    fn report(&self) {
        let machine = Machine::from(&self.own());
        if let Err(err) = self.inner.list.report(&machine) {
            log::debug!("cannot report this host to the host list: {err}");
        }
    }

    fn read_list(&self, previous: ListStatus) -> ListStatus {
        let read_at = clock::now();
        let machines = match self.inner.list.machines() {
            Ok(machines) => machines,
            Err(err) => {
                if previous == ListStatus::Available {
                    event!(Event::HostListDown, "cannot read the host list: {err}");
                }
                return ListStatus::Unavailable;
            }
        };
        let members: Vec<Member> =
            machines.iter().filter_map(|it| Member::try_from(it).ok()).collect();
        self.roster().apply_host_list(&members, clock::now());
        self.inner.links.retain(&self.peer_addresses());
        let machines = Arc::new(machines);
        let snapshot = HostListSnapshot { machines: Arc::clone(&machines), read_at };
        *self.inner.snapshot.write().expect("machine lock poisoned") = snapshot;
        for it in self.inner.subscribers.read().expect("subscriber lock poisoned").iter() {
            it(&machines);
        }
        ListStatus::Available
    }

    fn log_changes(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Up(host) => {
                    event!(Event::PeerUp, "receiving heartbeats from entry host {host}")
                }
                Change::Down(host) => {
                    event!(
                        Event::PeerDown,
                        "no longer receiving heartbeats from entry host {host}"
                    );
                }
                Change::Replaced(host) => {
                    event!(Event::PeerUp, "entry host {host} was replaced by a new run");
                }
            }
        }
    }

    fn other_members(&self) -> Vec<Member> {
        self.views().into_iter().map(|it| it.member).collect()
    }

    fn lock_own(&self) -> MutexGuard<'_, Member> {
        self.inner.own.lock().expect("own lock poisoned")
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.inner.roster.lock().expect("roster lock poisoned")
    }
}

/// Whether the last read of the host list succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListStatus {
    Available,
    Unavailable,
}

impl<L: HostList> refresh::PeerSource for Membership<L> {
    fn peers(&self) -> PeerSummary {
        self.roster().peer_summary(clock::now())
    }

    fn fetch(&self, version: id::Version) -> Option<VersionedLists> {
        let has_version = |it: &View| it.version.is_some_and(|it| version <= it);
        let peers = self.views();
        peers.iter().filter(|it| has_version(it)).find_map(|it| {
            let address = it.member.peers_address;
            let answer = self.inner.links.configuration(address, version).ok()??;
            VersionedLists::try_from(answer).ok()
        })
    }
}

impl From<&Member> for Machine {
    fn from(it: &Member) -> Machine {
        Machine {
            name: it.host.clone(),
            kind: Kind::Entry,
            data_centre: it.data_centre.clone(),
            address: it.callers_address,
            peer_address: Some(it.peers_address),
            incarnation: it.incarnation,
            state: it.state,
        }
    }
}

/// The machine is not an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the machine is not an entry host")]
pub struct NotEntryHost;

impl TryFrom<&Machine> for Member {
    type Error = NotEntryHost;

    fn try_from(it: &Machine) -> Result<Member, NotEntryHost> {
        match (&it.kind, it.peer_address) {
            (Kind::Entry, Some(peers_address)) => Ok(Member {
                host: it.name.clone(),
                incarnation: it.incarnation,
                data_centre: it.data_centre.clone(),
                callers_address: it.address,
                peers_address,
                state: it.state,
            }),
            _ => Err(NotEntryHost),
        }
    }
}
