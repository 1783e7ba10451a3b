//! Keeps the roster: heartbeats to the other entry hosts, and the platform's host list.

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

/// Time between two reports of this host to the host list.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Time between two reports while the list does not yet name this host.
const JOIN_EVERY: Duration = Duration::from_millis(250);
/// Reports of this host for each read of the host list.
const REPORTS_PER_READ: u32 = 2;

/// The host list as it was last read.
#[derive(Debug, Clone, Default)]
pub struct HostListSnapshot {
    /// All machines.
    pub machines: Arc<Vec<Machine>>,
    /// When the read that gave them was sent.
    pub read_at: Moment,
}

/// What this host says of itself in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnState {
    /// Configuration in force; `None` before the first.
    pub version: Option<id::Version>,
    /// What this host may do with it.
    pub freshness: Freshness,
    /// How busy it is.
    pub load: Load,
}

type Describe = Box<dyn Fn() -> OwnState + Send + Sync>;
type MachineSubscriber = Box<dyn Fn(&[Machine]) + Send + Sync>;

/// Runs the membership; clones share it.
pub struct Membership<L> {
    inner: Arc<Inner<L>>,
}

struct Inner<L> {
    own: Mutex<Member>,
    list: L,
    links: Links,
    roster: Mutex<Roster>,
    describe: OnceLock<Describe>,
    machines: RwLock<HostListSnapshot>,
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
    /// `bound` is the age of the configuration after which a lone host admits nothing.
    pub fn new(
        own: Member,
        list: L,
        links: Links,
        peers: &settings::Peers,
        bound: Duration,
    ) -> Membership<L> {
        let memory = bound + peers.silence;
        let roster = Roster::new(own.host.clone(), own.incarnation, peers.silence, memory);
        let inner = Inner {
            own: Mutex::new(own),
            list,
            links,
            roster: Mutex::new(roster),
            describe: OnceLock::new(),
            machines: RwLock::default(),
            subscribers: RwLock::default(),
        };
        Membership { inner: Arc::new(inner) }
    }

    /// Sets what this host says of itself; heartbeats before that name no configuration.
    pub fn set_state_provider(&self, describe: impl Fn() -> OwnState + Send + Sync + 'static) {
        let _ = self.inner.describe.set(Box::new(describe));
    }

    /// Calls `subscriber` with all machines after each read of the host list.
    pub fn subscribe(&self, subscriber: impl Fn(&[Machine]) + Send + Sync + 'static) {
        let mut all = self.inner.subscribers.write().expect("subscriber lock poisoned");
        all.push(Box::new(subscriber));
    }

    /// Starts heartbeats and reports on the timer service.
    pub fn start(&self, timer: &Timer, peers: &settings::Peers) {
        let it = self.clone();
        let mut before = clock::now();
        timer.every("heartbeat", peers.heartbeat, move |now| {
            it.beat(now);
            it.note(it.roster().newly_silent(before, now));
            before = now;
        });
        let it = self.clone();
        let mut reports: u32 = 0;
        let mut answers = Answers::Given;
        timer.schedule("host-list", move |_| {
            it.report();
            let listed = it.roster().knows_peers();
            if !listed || reports.is_multiple_of(REPORTS_PER_READ) {
                answers = it.read_list(answers);
            }
            reports = reports.wrapping_add(1);
            if it.roster().knows_peers() { REPORT_EVERY } else { JOIN_EVERY }
        });
    }

    /// Tells the platform and all peers that this host is about to stop.
    pub fn leave(&self) {
        self.own_mut().state = State::Leaving;
        self.report();
        self.beat_to(self.all_members());
    }

    /// Returns this host as it describes itself.
    pub fn own(&self) -> Member {
        self.own_mut().clone()
    }

    /// Returns whether this host is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.own_mut().state == State::Leaving
    }

    /// Returns how busy this host is.
    pub fn load(&self) -> Load {
        self.own_state().load
    }

    /// Returns all machines of the host list as last read.
    pub fn machines(&self) -> Arc<Vec<Machine>> {
        self.host_list().machines
    }

    /// Returns the host list as last read.
    pub fn host_list(&self) -> HostListSnapshot {
        self.inner.machines.read().expect("machine lock poisoned").clone()
    }

    /// Returns the other entry hosts as they appear now.
    pub fn views(&self) -> Vec<View> {
        self.roster().views(clock::now())
    }

    /// Returns what the runs of the other entry hosts said of their configuration.
    pub fn reported_versions(&self) -> Vec<ReportedVersion> {
        self.roster().reported_versions(clock::now())
    }

    /// Returns all known entry hosts, this one included.
    pub fn members(&self) -> Vec<Member> {
        let mut members = self.all_members();
        members.push(self.own());
        members
    }

    /// Returns the peers' address of an entry host by its name.
    pub fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.roster().latest_run(host).map(|it| it.peers_address)
    }

    /// Returns the peers' address of a certain run of an entry host.
    pub fn run_peer_address(&self, host: &id::Host, run: id::Incarnation) -> Option<SocketAddr> {
        self.roster().find_run(host, run).map(|it| it.peers_address)
    }

    /// Returns the peers' addresses of all other entry hosts.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.all_members().into_iter().map(|it| it.peers_address).collect()
    }

    /// Returns the links to the other hosts.
    pub fn links(&self) -> &Links {
        &self.inner.links
    }

    /// Returns which entry hosts a caller near `data_centre` should use; `seed` spreads callers.
    pub fn rank_hosts(&self, data_centre: Option<&str>, seed: u64) -> Ranking {
        let own = self.own();
        let said = self.own_state();
        let views = self.views();
        let mut candidates: Vec<Candidate> =
            views.iter().filter_map(|it| Candidate::try_from(it).ok()).collect();
        if own.state == State::Live && said.freshness.admits() {
            candidates.push(Candidate { member: own.clone(), load: said.load });
        }
        rank(&candidates, data_centre.unwrap_or(&own.data_centre), seed)
    }

    /// Takes a heartbeat from a peer and returns this host's own.
    pub fn receive_heartbeat(&self, beat: &Heartbeat) -> Heartbeat {
        self.take(beat);
        self.heartbeat(&beat.from.host)
    }

    /// Tells all peers that a row has news.
    pub fn send_hint(&self, hint: &Hint) {
        self.inner.links.send_hint(self.peer_addresses(), hint);
    }

    /// Sends a heartbeat to all other hosts now, those included that only other hosts know.
    pub fn heartbeat_all(&self) {
        let views = self.views();
        let known: Vec<Member> = views.iter().map(|it| it.member.clone()).collect();
        let heard = views.iter().filter(|it| it.status != Status::Silent);
        let addresses = heard.map(|it| it.member.peers_address).collect();
        let told = self.inner.links.all_members(addresses);
        let own = self.own().host;
        let unknown = |it: &Member| it.host != own && !known.iter().any(|has| has.host == it.host);
        let mut members = known.clone();
        members.extend(told.into_iter().filter(unknown));
        members.dedup_by(|a, b| a.host == b.host);
        self.beat_to(members);
    }

    fn beat(&self, now: Moment) {
        let due = self.roster().heartbeat_receivers(now);
        self.beat_to(due);
        if !self.roster().knows_peers() {
            self.learn_members();
        }
    }

    fn beat_to(&self, members: Vec<Member>) {
        let beat = |it: &Member| (it.peers_address, self.heartbeat(&it.host));
        let beats = members.iter().map(beat).collect();
        for answer in self.inner.links.send_heartbeats(beats) {
            self.take(&answer);
        }
    }

    /// Asks the first peer that answers for the members, while the host list does not answer.
    fn learn_members(&self) {
        for member in self.all_members() {
            if let Ok(members) = self.inner.links.members(member.peers_address) {
                self.roster().learn_members(&members, clock::now());
                return;
            }
        }
    }

    fn take(&self, beat: &Heartbeat) {
        let changes = self.roster().receive_heartbeat(beat, clock::now());
        self.note(changes);
    }

    fn heartbeat(&self, to: &str) -> Heartbeat {
        let OwnState { version, freshness, load } = self.own_state();
        let heard = self.roster().heard_incarnation(to);
        Heartbeat { from: self.own(), heard, version, freshness, load }
    }

    fn own_state(&self) -> OwnState {
        let unknown =
            OwnState { version: None, freshness: Freshness::Starting, load: Load::default() };
        self.inner.describe.get().map_or(unknown, |it| it())
    }

    fn report(&self) {
        let machine = Machine::from(&self.own());
        if let Err(err) = self.inner.list.report(&machine) {
            log::debug!("the host list did not take this host's report: {err}");
        }
    }

    fn read_list(&self, before: Answers) -> Answers {
        let read_at = clock::now();
        let machines = match self.inner.list.machines() {
            Ok(machines) => machines,
            Err(err) => {
                if before == Answers::Given {
                    event!(Event::HostListDown, "the host list does not answer: {err}");
                }
                return Answers::Missing;
            }
        };
        let members: Vec<Member> =
            machines.iter().filter_map(|it| Member::try_from(it).ok()).collect();
        self.roster().apply_host_list(&members, clock::now());
        self.inner.links.retain(&self.peer_addresses());
        let machines = Arc::new(machines);
        let listed = HostListSnapshot { machines: Arc::clone(&machines), read_at };
        *self.inner.machines.write().expect("machine lock poisoned") = listed;
        for it in self.inner.subscribers.read().expect("subscriber lock poisoned").iter() {
            it(&machines);
        }
        Answers::Given
    }

    fn note(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Up(host) => event!(Event::PeerUp, "the entry host {host} is heard"),
                Change::Down(host) => {
                    event!(Event::PeerDown, "the entry host {host} is no longer heard");
                }
                Change::Replaced(host) => {
                    event!(Event::PeerUp, "the entry host {host} was replaced by a new run");
                }
            }
        }
    }

    fn all_members(&self) -> Vec<Member> {
        self.views().into_iter().map(|it| it.member).collect()
    }

    fn own_mut(&self) -> MutexGuard<'_, Member> {
        self.inner.own.lock().expect("own lock poisoned")
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.inner.roster.lock().expect("roster lock poisoned")
    }
}

/// Whether the host list answered last time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answers {
    Given,
    Missing,
}

impl<L: HostList> refresh::PeerSource for Membership<L> {
    fn peers(&self) -> PeerSummary {
        self.roster().peer_summary(clock::now())
    }

    fn fetch(&self, version: id::Version) -> Option<VersionedLists> {
        let knows = |it: &View| it.version.is_some_and(|it| version <= it);
        let peers = self.views();
        peers.iter().filter(|it| knows(it)).find_map(|it| {
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

/// A machine that is not an entry host.
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
