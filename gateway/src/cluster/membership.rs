//! Membership and failure detection of the entry hosts, from the datagrams that they exchange.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, ops::Bound, time::Duration};

use serde::{Deserialize, Serialize};

use fuchsiaknot_core::{clock::Moment, id};

use crate::{
    cluster::election::{self, Candidate},
    placement::balancer,
};

/// Most addresses in one directory response.
const MAX_ADDRESSES: usize = 64;
/// Interval between heartbeat rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Most hosts in one heartbeat round. With more hosts, each pair exchanges heartbeats less often.
const HOSTS_PER_ROUND: usize = 16;
/// Number of hosts that watch the store for the others; two, so that the changes still arrive
/// while the failure of one is undetected.
const WATCHER_COUNT: usize = 2;
/// Number of cycles over all hosts after which hosts that are down are sent a heartbeat too.
const CYCLES_PER_DOWN_HEARTBEAT: u64 = 7;
/// Number of first cycles in which hosts that are not up yet are sent a heartbeat each time: the
/// first heartbeat is lost when its receiver has not started.
const INITIAL_CYCLES: u64 = 3;
/// Number of hosts that compete for the duties when their holder is gone.
const DUTY_CANDIDATES: usize = 3;
/// Time by which a dispatcher's list of targets may be older than the newest list of any host.
const MAX_TARGETS_LAG: Duration = Duration::from_millis(2200);
/// Time by which a heartbeat may be late before its host is probed.
const HEARTBEAT_GRACE: Duration = Duration::from_millis(350);
/// Time within which a probed host must answer; it allows for some lost datagrams.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a silent host counts among those that share a budget: it may only be cut off from
/// this host.
const BUDGET_SHARE_MEMORY: Duration = Duration::from_secs(3600);
/// The same for a target's rate limit, of which the share of a host that is gone is lost meanwhile.
const LIMIT_SHARE_MEMORY: Duration = Duration::from_secs(60);

/// Number of other hosts that keep the record of where a stream began, so that several may fail at the
/// same time as the host that forwards the stream.
const RECORD_KEEPERS: usize = 3;

/// An entry host as it announces itself.
///
/// Its row in the store is this type as JSON, with the names in the attributes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: id::Host,
    /// Identifies this run of the host's process.
    pub incarnation: id::Incarnation,
    /// Data centre of the host.
    pub data_centre: id::DataCentre,
    /// Address for callers.
    #[serde(rename = "front")]
    pub caller_address: SocketAddr,
    /// Address for datagrams from other hosts.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// CPU share of the host, in thousandths of a core.
    #[serde(rename = "capacity")]
    pub cpu_millicores: u32,
}

/// State of a host, sent to the other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: Host,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether it is shutting down and sends no more heartbeats.
    pub leaving: bool,
    /// Whether it knows configuration and targets and is not shutting down, so that it can be the
    /// dispatcher of other hosts.
    pub can_dispatch: bool,
    /// Time since the store last confirmed its list of targets.
    pub targets_age: Duration,
    /// Whether its last calls to the store failed.
    pub store_unreachable: bool,
    /// Time for which it has claimed to be the dispatcher; `None` without a claim.
    pub claim_age: Option<Duration>,
}

/// A change of the state of another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The host came up, or back.
    Up(id::Host),
    /// The host is shutting down or did not answer.
    Down(id::Host),
}

/// Outcome of one run of the failure detector.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Tick {
    /// Hosts that are now considered down because they did not answer a probe.
    pub down: Vec<id::Host>,
    /// Hosts in `down` that this host detected itself, so that it reports them to the others.
    pub report: Vec<id::Host>,
    /// Addresses of the hosts to probe.
    pub probe: Vec<SocketAddr>,
}

/// Known state of the other entry hosts, and the dispatcher elected from it.
#[derive(Debug)]
pub struct Membership {
    own: Host,
    peers: BTreeMap<id::Host, Peer>,
    dispatcher: id::Host,
    /// Whether this host is registered in the store and has read the other hosts there.
    registered: bool,
    /// Time since which this host claims to be the dispatcher.
    claimed_at: Option<Moment>,
    /// Last host of the previous heartbeat round.
    last_reached: id::Host,
    /// Completed cycles of heartbeats over all hosts.
    cycles: u64,
    /// Hosts that did not answer as dispatcher, with the time until which they are not elected.
    excluded_dispatchers: BTreeMap<id::Host, Moment>,
}

#[derive(Debug)]
struct Peer {
    host: Host,
    ready: bool,
    leaving: bool,
    can_dispatch: bool,
    /// Time at which the store last confirmed the host's list of targets.
    targets_confirmed_at: Moment,
    store_unreachable: bool,
    claimed_at: Option<Moment>,
    /// Time of the last heartbeat; `None` when the host is known only from the store.
    last_heard: Option<Moment>,
    /// Time of the last heartbeat, or at which the host was read from the store.
    known_at: Moment,
    /// The probe that is still unanswered.
    probe: Option<Probe>,
    up: bool,
    /// Whether it reaches no target.
    is_cut_off: bool,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    started: Moment,
    /// Whether another host's report that the host is down led to the probe.
    reported: bool,
}

impl Membership {
    /// Creates a membership that knows no other host.
    pub fn new(own: Host) -> Membership {
        Membership {
            dispatcher: own.name.clone(),
            registered: false,
            claimed_at: None,
            last_reached: own.name.clone(),
            cycles: 0,
            own,
            peers: BTreeMap::new(),
            excluded_dispatchers: BTreeMap::new(),
        }
    }

    /// Adds a host that is registered in the store; the host counts as up after its first
    /// heartbeat.
    pub fn add_registered(&mut self, host: Host, now: Moment) {
        if host.name == self.own.name {
            return;
        }
        let new_peer = Peer {
            host: host.clone(),
            ready: false,
            leaving: false,
            can_dispatch: false,
            targets_confirmed_at: Moment::ZERO,
            store_unreachable: false,
            claimed_at: None,
            last_heard: None,
            known_at: now,
            probe: None,
            up: false,
            is_cut_off: false,
        };
        let peer = self.peers.entry(host.name.clone()).or_insert(new_peer);
        if peer.last_heard.is_none() {
            peer.host = host;
        }
    }

    /// Handles a heartbeat; returns the change if its sender came up or went down.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) -> Option<Change> {
        if heartbeat.host.name == self.own.name {
            return None;
        }
        let name = heartbeat.host.name.clone();
        let same_run = self.peers.get(&name);
        let same_run = same_run.filter(|it| it.host.incarnation == heartbeat.host.incarnation);
        let is_cut_off = same_run.is_some_and(|it| it.is_cut_off);
        let peer = Peer {
            host: heartbeat.host,
            ready: heartbeat.ready,
            leaving: heartbeat.leaving,
            can_dispatch: heartbeat.can_dispatch,
            targets_confirmed_at: now.saturating_sub(heartbeat.targets_age),
            store_unreachable: heartbeat.store_unreachable,
            claimed_at: heartbeat.claim_age.map(|it| now.saturating_sub(it)),
            last_heard: Some(now),
            known_at: now,
            probe: None,
            up: !heartbeat.leaving,
            is_cut_off,
        };
        let before = self.peers.insert(name.clone(), peer);
        let was_up = before.is_some_and(|it| it.up);
        match (was_up, !heartbeat.leaving) {
            (false, true) => Some(Change::Up(name)),
            (true, false) => Some(Change::Down(name)),
            _ => None,
        }
    }

    /// Records whether a host reaches no target, as its last heartbeat says.
    pub fn set_cut_off(&mut self, host: &id::Host, is_cut_off: bool) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.is_cut_off = is_cut_off;
        }
    }

    /// Returns a host that can send a request on, and is not among `tried`; `draw` selects one of
    /// them.
    pub fn choose_proxy(&self, tried: &[id::Host], draw: u64) -> Option<Host> {
        let hosts: Vec<&Host> = self.proxies().filter(|it| !tried.contains(&it.name)).collect();
        let index = draw.checked_rem(u64::try_from(hosts.len()).ok()?)?;
        hosts.get(usize::try_from(index).ok()?).map(|it| (*it).clone())
    }

    /// Returns whether there is a host that can send requests on.
    pub fn has_proxy(&self) -> bool {
        self.proxies().next().is_some()
    }

    /// Returns the hosts that serve callers and reach targets.
    fn proxies(&self) -> impl Iterator<Item = &Host> {
        self.peers.values().filter(|it| it.up && it.ready && !it.is_cut_off).map(|it| &it.host)
    }

    /// Returns whether this run of a host has ended or does not answer. One that shuts down still
    /// completes its requests.
    pub fn is_lost(&self, host: &id::Host, incarnation: id::Incarnation) -> bool {
        let peer = self.peers.get(host).filter(|it| it.up || it.leaving);
        peer.is_none_or(|it| it.host.incarnation != incarnation)
    }

    /// Returns whether this run of a host is known, up or not.
    pub fn is_known(&self, host: &id::Host, incarnation: id::Incarnation) -> bool {
        self.peers.get(host).is_some_and(|it| it.host.incarnation == incarnation)
    }

    /// Marks hosts that did not answer a probe as down, and returns the hosts to probe.
    pub fn tick(&mut self, now: Moment) -> Tick {
        let interval = self.interval();
        let mut tick = Tick::default();
        for (name, peer) in self.peers.iter_mut().filter(|(_, it)| it.up) {
            let silence = peer.last_heard.map_or(Duration::MAX, |at| now.saturating_sub(at));
            if peer.probe.is_none() && interval + HEARTBEAT_GRACE <= silence {
                peer.probe = Some(Probe { started: now, reported: false });
            }
            match peer.probe {
                Some(probe) if probe.started + PROBE_TIMEOUT <= now => {
                    peer.up = false;
                    tick.down.push(name.clone());
                    if !probe.reported {
                        tick.report.push(name.clone());
                    }
                }
                Some(_) => tick.probe.push(peer.host.peer_address),
                None => {}
            }
        }
        tick
    }

    /// Handles a report that a host is down; returns the address of this host if it has to be
    /// probed.
    pub fn handle_down_report(&mut self, host: &id::Host, now: Moment) -> Option<SocketAddr> {
        let peer = self.peers.get_mut(host).filter(|it| it.up && it.probe.is_none())?;
        if peer.last_heard.is_some_and(|at| now < at + ROUND_INTERVAL) {
            return None;
        }
        peer.probe = Some(Probe { started: now, reported: true });
        Some(peer.host.peer_address)
    }

    /// Returns the expected time between two heartbeats from the same host.
    fn interval(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(HOSTS_PER_ROUND).max(1);
        ROUND_INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Returns the addresses for the next heartbeat round, which continues after the last host of
    /// the previous one.
    ///
    /// With `to_all`, for a change of this host's state, they include every host that is up. The
    /// hosts that are down keep their turn, since a starting host changes its state in nearly every
    /// round.
    pub fn next_round(&mut self, to_all: bool) -> Vec<SocketAddr> {
        let after = (Bound::Excluded(&self.last_reached), Bound::Unbounded);
        let until = (Bound::Unbounded, Bound::Included(&self.last_reached));
        let cycle =
            self.peers.range::<id::Host, _>(after).chain(self.peers.range::<id::Host, _>(until));
        let staying = cycle.filter(|(_, it)| !it.leaving);
        let round: Vec<(&id::Host, &Peer)> = staying.take(HOSTS_PER_ROUND).collect();
        let include_down =
            self.cycles < INITIAL_CYCLES || self.cycles.is_multiple_of(CYCLES_PER_DOWN_HEARTBEAT);
        let due = round.iter().filter(|(_, it)| if it.up { !to_all } else { include_down });
        let mut addresses: Vec<SocketAddr> = due.map(|(_, it)| it.host.peer_address).collect();
        if to_all {
            addresses.extend(self.peer_addresses());
        }
        let Some((last, _)) = round.last() else { return addresses };
        let last = (*last).clone();
        if last <= self.last_reached {
            self.cycles += 1;
        }
        self.last_reached = last;
        addresses
    }

    /// Returns the name of this host.
    pub fn own_name(&self) -> &id::Host {
        &self.own.name
    }

    /// Returns the host that dispatches this host's requests.
    pub fn dispatcher(&self) -> &id::Host {
        &self.dispatcher
    }

    /// Returns the data centre of a known host.
    pub fn data_centre(&self, host: &id::Host) -> Option<&id::DataCentre> {
        if *host == self.own.name {
            return Some(&self.own.data_centre);
        }
        self.peers.get(host).map(|it| &it.host.data_centre)
    }

    /// Returns the address for datagrams to a host that is up.
    pub fn peer_address(&self, host: &id::Host) -> Option<SocketAddr> {
        self.peers.get(host).filter(|it| it.up).map(|it| it.host.peer_address)
    }

    /// Excludes a host that did not answer from being dispatcher until `until`.
    pub fn exclude_dispatcher(&mut self, host: id::Host, until: Moment) {
        self.excluded_dispatchers.insert(host, until);
    }

    /// Elects the host that dispatches this host's requests; returns whether it changed.
    ///
    /// `own_targets_age` is the time since the store last confirmed this host's list of targets;
    /// `None` when this host cannot be dispatcher. A host whose list is older than that of the
    /// others by more than [`MAX_TARGETS_LAG`] is not elected. While the store is away, all lists
    /// age together, and the dispatcher stays.
    ///
    /// Hosts may disagree for a while; that affects only how well requests are placed.
    pub fn elect_dispatcher(&mut self, own_targets_age: Option<Duration>, now: Moment) -> bool {
        self.excluded_dispatchers.retain(|_, until| now < *until);
        let own_confirmed_at = own_targets_age.map(|it| now.saturating_sub(it));
        let peers = self.peers.iter().filter(|(_, it)| it.up && it.can_dispatch);
        let peers: Vec<(&id::Host, &Peer)> = peers.collect();
        let peers_confirmed_at = peers.iter().map(|(_, it)| it.targets_confirmed_at);
        let newest = peers_confirmed_at.chain(own_confirmed_at).max().unwrap_or_default();
        // A peer's lag at the time of its last heartbeat; later confirmations are not known here yet.
        let is_current = |confirmed_at: Moment, heard_at: Moment| {
            newest.min(heard_at) <= confirmed_at + MAX_TARGETS_LAG
        };
        let own = own_confirmed_at.filter(|it| is_current(*it, now)).map(|_| Candidate {
            name: self.own.name.clone(),
            cpu_millicores: self.own.cpu_millicores,
            claimed_at: self.claimed_at,
        });
        let peers = peers.into_iter().filter(|(name, it)| {
            !self.excluded_dispatchers.contains_key(*name)
                && is_current(it.targets_confirmed_at, it.last_heard.unwrap_or_default())
        });
        let peers = peers.map(|(name, it)| Candidate {
            name: name.clone(),
            cpu_millicores: it.host.cpu_millicores,
            claimed_at: it.claimed_at,
        });
        let candidates: Vec<Candidate> = own.into_iter().chain(peers).collect();
        let chosen = election::elect(&candidates).map(|it| it.name.clone());
        let is_own = chosen.as_ref() == Some(&self.own.name);
        self.claimed_at = is_own.then(|| self.claimed_at.unwrap_or(now));
        let Some(chosen) = chosen.filter(|it| *it != self.dispatcher) else { return false };
        self.dispatcher = chosen;
        true
    }

    /// Records that this host is registered in the store and has read the other hosts there.
    pub fn set_registered(&mut self) {
        self.registered = true;
    }

    /// Returns whether this host watches the store for the others: it is one of the largest
    /// hosts that can reach the store.
    ///
    /// A host that is not registered yet knows no others. It is no watcher: otherwise, each of many
    /// hosts that start at once would call the store for each target that starts with them.
    pub fn is_watcher(&self, own_store_unreachable: bool) -> bool {
        let order = |host: &Host| (Reverse(host.cpu_millicores), host.name.clone());
        let peers =
            self.peers.values().filter(|it| it.up && !it.store_unreachable).map(|it| &it.host);
        let before = peers.filter(|it| order(it) < order(&self.own)).count();
        self.registered && !own_store_unreachable && before < WATCHER_COUNT
    }

    /// Returns the hosts that watch the store for all, as far as this host knows.
    pub fn watchers(&self, own_store_unreachable: bool) -> Vec<id::Host> {
        let own = (self.registered && !own_store_unreachable).then_some(&self.own);
        let peers =
            self.peers.values().filter(|it| it.up && !it.store_unreachable).map(|it| &it.host);
        let mut hosts: Vec<&Host> = own.into_iter().chain(peers).collect();
        hosts.sort_by_cached_key(|it| (Reverse(it.cpu_millicores), it.name.clone()));
        hosts.into_iter().take(WATCHER_COUNT).map(|it| it.name.clone()).collect()
    }

    /// Returns the host that archives the origins of streams, the first of the watchers; `None` if no
    /// host is known to reach the store.
    pub fn archivist(&self, own_store_unreachable: bool) -> Option<&id::Host> {
        let own = (self.registered && !own_store_unreachable).then_some(&self.own);
        let peers =
            self.peers.values().filter(|it| it.up && !it.store_unreachable).map(|it| &it.host);
        let order = |host: &&Host| (Reverse(host.cpu_millicores), host.name.clone());
        own.into_iter().chain(peers).min_by_key(order).map(|it| &it.name)
    }

    /// Returns the hosts that compete for the duties, the preferred one first: those with the largest
    /// CPU share that reach the store, the dispatcher last, since it has the most other work.
    pub fn duty_candidates(&self, own_store_unreachable: bool) -> Vec<id::Host> {
        let own = (self.registered && !own_store_unreachable).then_some(&self.own);
        let peers = self.peers.values().filter(|it| it.up && !it.store_unreachable);
        let mut hosts: Vec<&Host> = own.into_iter().chain(peers.map(|it| &it.host)).collect();
        let order =
            |it: &Host| (it.name == self.dispatcher, Reverse(it.cpu_millicores), it.name.clone());
        hosts.sort_by_cached_key(|it| order(it));
        hosts.into_iter().take(DUTY_CANDIDATES).map(|it| it.name.clone()).collect()
    }

    /// Returns the time for which this host has claimed to be the dispatcher.
    pub fn claim_age(&self, now: Moment) -> Option<Duration> {
        self.claimed_at.map(|it| now.saturating_sub(it))
    }

    /// Returns the addresses for datagrams to all hosts that are up.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().filter(|it| it.up).map(|it| it.host.peer_address)
    }

    /// Returns the other hosts that keep the record of where a stream began: those that are up and
    /// rank highest for it by a hash that is the same on all hosts.
    pub fn record_keepers(&self, stream: &str) -> Vec<id::Host> {
        let up = self.peers.iter().filter(|(_, it)| it.up).map(|(name, _)| name);
        let mut ranked: Vec<(u64, &id::Host)> =
            up.map(|it| (balancer::rendezvous_hash(it, stream), it)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(RECORD_KEEPERS).map(|(_, name)| name.clone()).collect()
    }

    /// Returns the hosts that are up, including this one.
    pub fn up_hosts(&self) -> impl Iterator<Item = &id::Host> {
        let peers = self.peers.iter().filter(|(_, it)| it.up).map(|(name, _)| name);
        std::iter::once(&self.own.name).chain(peers)
    }

    /// Returns the number of hosts that are up, including this one.
    pub fn live_count(&self) -> usize {
        1 + self.peers.values().filter(|it| it.up).count()
    }

    /// Returns the number of hosts that share a budget: this one and those that were known lately, up
    /// or not.
    pub fn budget_sharers(&self, now: Moment) -> usize {
        self.known_within(BUDGET_SHARE_MEMORY, now).count()
    }

    /// Returns the hosts among which a target's rate limit is divided: this one and those that were
    /// known lately, up or not.
    pub fn limit_sharers(&self, now: Moment) -> impl Iterator<Item = &id::Host> + Clone {
        self.known_within(LIMIT_SHARE_MEMORY, now)
    }

    /// Returns this host and those that were known within `memory`.
    fn known_within(
        &self,
        memory: Duration,
        now: Moment,
    ) -> impl Iterator<Item = &id::Host> + Clone {
        let known = self.peers.iter().filter(move |(_, it)| now < it.known_at + memory);
        std::iter::once(&self.own.name).chain(known.map(|(name, _)| name))
    }

    /// Returns the addresses for callers, those in their data centre first.
    pub fn caller_addresses(&self, data_centre: &str, own_ready: bool) -> Vec<SocketAddr> {
        let own = own_ready.then_some(&self.own);
        let peers = self.peers.values().filter(|it| it.up && it.ready).map(|it| &it.host);
        let mut hosts: Vec<&Host> = own.into_iter().chain(peers).collect();
        hosts.sort_by_key(|it| it.data_centre != data_centre);
        hosts.into_iter().take(MAX_ADDRESSES).map(|it| it.caller_address).collect()
    }
}
