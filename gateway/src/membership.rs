//! Which entry hosts are there, from the datagrams that they send each other.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, ops::Bound, time::Duration};

use serde::{Deserialize, Serialize};

use fuchsiaknot_core::{clock::Moment, id};

use crate::election::{self, Candidate};

/// Hosts whose addresses one answer names at most.
const MAX_ADDRESSES: usize = 64;
/// Interval of the rounds of heartbeats.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Hosts that one round reaches; with more of them, each hears from the others less often.
const HOSTS_PER_ROUND: usize = 16;
/// Hosts that watch the store for the others; one may fail unnoticed for a while.
const WATCHER_COUNT: usize = 2;
/// Turns of all hosts after which one that is not there is tried once.
const CYCLES_PER_DOWN_HEARTBEAT: u64 = 7;
/// Time beyond its interval that a host may be silent before it is probe for a heartbeat.
const HEARTBEAT_GRACE: Duration = Duration::from_millis(350);
/// Time in which a host that was probe must answer; it covers some lost datagrams.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// An entry host as it introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: id::Host,
    /// Number of its process's run.
    pub incarnation: id::Incarnation,
    /// Data centre it stands in.
    pub data_centre: id::DataCentre,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts' datagrams go.
    pub peer_address: SocketAddr,
    /// Processor that it may use, in thousandths of a core.
    pub cpu_millicores: u32,
}

/// What one heartbeat tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sent it.
    pub host: Host,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it shuts down and will send no more.
    pub leaving: bool,
    /// Whether its picture of the targets is fresh, so that it can place requests for others.
    pub can_dispatch: bool,
    /// Whether the store does not answer it.
    pub store_unreachable: bool,
    /// How long it has claimed_at to place the requests of all; `None` when it does not.
    pub claim_age: Option<Duration>,
}

/// A change of what this host believes of the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A host is there, or there again.
    Up(id::Host),
    /// A host is leaving, replaced or silent.
    Down(id::Host),
}

/// What the passing of time shows of the other hosts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Tick {
    /// Hosts that did not answer and count as down from now on.
    pub down: Vec<id::Host>,
    /// Those among them that the other hosts are told of, since none of them said it.
    pub report: Vec<id::Host>,
    /// Where to ask for a heartbeat.
    pub probe: Vec<SocketAddr>,
}

/// The other entry hosts.
#[derive(Debug)]
pub struct Membership {
    own: Host,
    peers: BTreeMap<id::Host, Peer>,
    dispatcher: id::Host,
    /// Since when this host claims to place the requests of all.
    claimed_at: Option<Moment>,
    /// Host that the last round of heartbeats ended with.
    last_reached: id::Host,
    cycles: u64,
    /// Hosts that did not answer, and until when they are not probe.
    excluded_dispatchers: BTreeMap<id::Host, Moment>,
}

#[derive(Debug)]
struct Peer {
    host: Host,
    ready: bool,
    leaving: bool,
    can_dispatch: bool,
    store_unreachable: bool,
    claimed_at: Option<Moment>,
    /// When it was last last_heard; `None` when only the store names it.
    last_heard: Option<Moment>,
    /// When and why it was probe for a heartbeat.
    probe: Option<Probe>,
    up: bool,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    started: Moment,
    /// Whether another host said that it is down.
    reported: bool,
}

impl Membership {
    /// Creates a membership of this host alone.
    pub fn new(own: Host) -> Membership {
        Membership {
            dispatcher: own.name.clone(),
            claimed_at: None,
            last_reached: own.name.clone(),
            cycles: 0,
            own,
            peers: BTreeMap::new(),
            excluded_dispatchers: BTreeMap::new(),
        }
    }

    /// Notes a host that the store names; it counts as there once it is last_heard.
    pub fn add_registered(&mut self, host: Host) {
        if host.name == self.own.name {
            return;
        }
        let new_peer = Peer {
            host: host.clone(),
            ready: false,
            leaving: false,
            can_dispatch: false,
            store_unreachable: false,
            claimed_at: None,
            last_heard: None,
            probe: None,
            up: false,
        };
        let peer = self.peers.entry(host.name.clone()).or_insert(new_peer);
        if peer.last_heard.is_none() {
            peer.host = host;
        }
    }

    /// Notes a heartbeat.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) -> Option<Change> {
        if heartbeat.host.name == self.own.name {
            return None;
        }
        let name = heartbeat.host.name.clone();
        let peer = Peer {
            host: heartbeat.host,
            ready: heartbeat.ready,
            leaving: heartbeat.leaving,
            can_dispatch: heartbeat.can_dispatch,
            store_unreachable: heartbeat.store_unreachable,
            claimed_at: heartbeat.claim_age.map(|it| now.saturating_sub(it)),
            last_heard: Some(now),
            probe: None,
            up: !heartbeat.leaving,
        };
        let before = self.peers.insert(name.clone(), peer);
        let was_up = before.is_some_and(|it| it.up);
        match (was_up, !heartbeat.leaving) {
            (false, true) => Some(Change::Up(name)),
            (true, false) => Some(Change::Down(name)),
            _ => None,
        }
    }

    /// Marks the hosts that did not answer, and returns those to ask since they are silent.
    pub fn tick(&mut self, now: Moment) -> Tick {
        let interval = self.interval();
        let mut tick = Tick::default();
        for (name, peer) in self.peers.iter_mut().filter(|(_, it)| it.up) {
            let silent = peer.last_heard.map_or(Duration::MAX, |at| now.saturating_sub(at));
            if peer.probe.is_none() && interval + HEARTBEAT_GRACE <= silent {
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

    /// Notes that another host found a host down; returns where to ask whether it is.
    pub fn handle_down_report(&mut self, host: &id::Host, now: Moment) -> Option<SocketAddr> {
        let peer = self.peers.get_mut(host).filter(|it| it.up && it.probe.is_none())?;
        if peer.last_heard.is_some_and(|at| now < at + ROUND_INTERVAL) {
            return None;
        }
        peer.probe = Some(Probe { started: now, reported: true });
        Some(peer.host.peer_address)
    }

    /// Returns the time between two heartbeats from one host to another.
    fn interval(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(HOSTS_PER_ROUND).max(1);
        ROUND_INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Returns where the next round of heartbeats goes: to the hosts after those of the last one.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let after = (Bound::Excluded(&self.last_reached), Bound::Unbounded);
        let until = (Bound::Unbounded, Bound::Included(&self.last_reached));
        let circle =
            self.peers.range::<id::Host, _>(after).chain(self.peers.range::<id::Host, _>(until));
        let remaining = circle.filter(|(_, it)| !it.leaving);
        let round: Vec<(&id::Host, &Peer)> = remaining.take(HOSTS_PER_ROUND).collect();
        let include_down = self.cycles.is_multiple_of(CYCLES_PER_DOWN_HEARTBEAT);
        let due = round.iter().filter(|(_, it)| it.up || include_down);
        let addresses = due.map(|(_, it)| it.host.peer_address).collect();
        let Some((last, _)) = round.last() else { return addresses };
        let last = (*last).clone();
        if last <= self.last_reached {
            self.cycles += 1;
        }
        self.last_reached = last;
        addresses
    }

    /// Returns the host that places this host's requests.
    pub fn dispatcher(&self) -> &id::Host {
        &self.dispatcher
    }

    /// Returns where a host that is there hears datagrams.
    pub fn peer_address(&self, host: &id::Host) -> Option<SocketAddr> {
        self.peers.get(host).filter(|it| it.up).map(|it| it.host.peer_address)
    }

    /// Notes that a host did not answer; it is not probe until `until`.
    pub fn exclude_dispatcher(&mut self, host: id::Host, until: Moment) {
        self.excluded_dispatchers.insert(host, until);
    }

    /// Chooses the host that places this host's requests; returns whether it changed.
    ///
    /// Hosts may differ for a while; that is only a matter of how well requests are placed.
    pub fn elect_dispatcher(&mut self, own_can_dispatch: bool, now: Moment) -> bool {
        self.excluded_dispatchers.retain(|_, until| now < *until);
        let own = Candidate {
            name: self.own.name.clone(),
            cpu_millicores: self.own.cpu_millicores,
            claimed_at: self.claimed_at,
        };
        let peers = self.peers.iter().filter(|(_, it)| it.up && it.can_dispatch);
        let peers = peers.filter(|(name, _)| !self.excluded_dispatchers.contains_key(*name));
        let peers = peers.map(|(name, it)| Candidate {
            name: name.clone(),
            cpu_millicores: it.host.cpu_millicores,
            claimed_at: it.claimed_at,
        });
        let candidates: Vec<Candidate> =
            own_can_dispatch.then_some(own).into_iter().chain(peers).collect();
        let chosen = election::elect(&candidates).map(|it| it.name.clone());
        let is_own = chosen.as_ref() == Some(&self.own.name);
        self.claimed_at = is_own.then(|| self.claimed_at.unwrap_or(now));
        let Some(chosen) = chosen.filter(|it| *it != self.dispatcher) else { return false };
        self.dispatcher = chosen;
        true
    }

    /// Returns whether this host watches the store for the others: one of the largest that reach it.
    pub fn is_watcher(&self, own_store_unreachable: bool) -> bool {
        let order = |host: &Host| (Reverse(host.cpu_millicores), host.name.clone());
        let peers =
            self.peers.values().filter(|it| it.up && !it.store_unreachable).map(|it| &it.host);
        let before = peers.filter(|it| order(it) < order(&self.own)).count();
        !own_store_unreachable && before < WATCHER_COUNT
    }

    /// Returns how long this host has claimed_at to place the requests of all.
    pub fn claim_age(&self, now: Moment) -> Option<Duration> {
        self.claimed_at.map(|it| now.saturating_sub(it))
    }

    /// Returns where the hosts that are there hear datagrams.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().filter(|it| it.up).map(|it| it.host.peer_address)
    }

    /// Returns the hosts that are there, this one among them.
    pub fn live_count(&self) -> usize {
        1 + self.peers.values().filter(|it| it.up).count()
    }

    /// Returns the addresses at which callers may connect, those of their data centre first.
    pub fn caller_addresses(&self, data_centre: &str, own_ready: bool) -> Vec<SocketAddr> {
        let own = own_ready.then_some(&self.own);
        let peers = self.peers.values().filter(|it| it.up && it.ready).map(|it| &it.host);
        let mut hosts: Vec<&Host> = own.into_iter().chain(peers).collect();
        hosts.sort_by_key(|it| it.data_centre != data_centre);
        hosts.into_iter().take(MAX_ADDRESSES).map(|it| it.caller_address).collect()
    }
}
