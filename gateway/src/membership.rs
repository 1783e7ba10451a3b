//! Which entry hosts are there, from the datagrams that they send each other.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, ops::Bound, time::Duration};

use serde::{Deserialize, Serialize};

use fuchsiaknot_core::{clock::Moment, id};

use crate::election::{self, Candidate};

/// Hosts whose addresses one answer names at most.
const MAX_ADDRESSES: usize = 64;
/// Interval of the rounds of heartbeats.
pub const ROUND: Duration = Duration::from_millis(150);
/// Hosts that one round reaches; with more of them, each hears from the others less often.
const ROUND_HOSTS: usize = 16;
/// Hosts that watch the store for the others; one may fail unnoticed for a while.
const WATCHERS: usize = 2;
/// Turns of all hosts after which one that is not there is tried once.
const ABSENT_EVERY: u64 = 7;
/// Time beyond its interval that a host may be silent before it is asked for a heartbeat.
const OVERDUE: Duration = Duration::from_millis(350);
/// Time in which a host that was asked must answer; it covers some lost datagrams.
const ANSWER: Duration = Duration::from_millis(500);

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
    pub front: SocketAddr,
    /// Where other hosts' datagrams go.
    pub peers: SocketAddr,
    /// Processor that it may use, in thousandths of a core.
    pub capacity: u32,
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
    pub fit: bool,
    /// Whether the store does not answer it.
    pub cut_off: bool,
    /// How long it has claimed to place the requests of all; `None` when it does not.
    pub claim: Option<Duration>,
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
    pub tell: Vec<id::Host>,
    /// Where to ask for a heartbeat.
    pub ask: Vec<SocketAddr>,
}

/// The other entry hosts.
#[derive(Debug)]
pub struct Membership {
    own: Host,
    peers: BTreeMap<id::Host, Peer>,
    dispatcher: id::Host,
    /// Since when this host claims to place the requests of all.
    claimed: Option<Moment>,
    /// Host that the last round of heartbeats ended with.
    reached: id::Host,
    turns: u64,
    /// Hosts that did not answer, and until when they are not asked.
    suspects: BTreeMap<id::Host, Moment>,
}

#[derive(Debug)]
struct Peer {
    host: Host,
    ready: bool,
    leaving: bool,
    fit: bool,
    cut_off: bool,
    claimed: Option<Moment>,
    /// When it was last heard; `None` when only the store names it.
    heard: Option<Moment>,
    /// When and why it was asked for a heartbeat.
    asked: Option<Asked>,
    up: bool,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    at: Moment,
    /// Whether another host said that it is down.
    on_word: bool,
}

impl Membership {
    /// Creates a membership of this host alone.
    pub fn new(own: Host) -> Membership {
        Membership {
            dispatcher: own.name.clone(),
            claimed: None,
            reached: own.name.clone(),
            turns: 0,
            own,
            peers: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Notes a host that the store names; it counts as there once it is heard.
    pub fn introduce(&mut self, host: Host) {
        if host.name == self.own.name {
            return;
        }
        let fresh = Peer {
            host: host.clone(),
            ready: false,
            leaving: false,
            fit: false,
            cut_off: false,
            claimed: None,
            heard: None,
            asked: None,
            up: false,
        };
        let peer = self.peers.entry(host.name.clone()).or_insert(fresh);
        if peer.heard.is_none() {
            peer.host = host;
        }
    }

    /// Notes a heartbeat.
    pub fn hear(&mut self, beat: Heartbeat, now: Moment) -> Option<Change> {
        if beat.host.name == self.own.name {
            return None;
        }
        let name = beat.host.name.clone();
        let peer = Peer {
            host: beat.host,
            ready: beat.ready,
            leaving: beat.leaving,
            fit: beat.fit,
            cut_off: beat.cut_off,
            claimed: beat.claim.map(|it| now.saturating_sub(it)),
            heard: Some(now),
            asked: None,
            up: !beat.leaving,
        };
        let before = self.peers.insert(name.clone(), peer);
        let was_up = before.is_some_and(|it| it.up);
        match (was_up, !beat.leaving) {
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
            let silent = peer.heard.map_or(Duration::MAX, |at| now.saturating_sub(at));
            if peer.asked.is_none() && interval + OVERDUE <= silent {
                peer.asked = Some(Asked { at: now, on_word: false });
            }
            match peer.asked {
                Some(asked) if asked.at + ANSWER <= now => {
                    peer.up = false;
                    tick.down.push(name.clone());
                    if !asked.on_word {
                        tick.tell.push(name.clone());
                    }
                }
                Some(_) => tick.ask.push(peer.host.peers),
                None => {}
            }
        }
        tick
    }

    /// Notes that another host found a host down; returns where to ask whether it is.
    pub fn doubt(&mut self, host: &id::Host, now: Moment) -> Option<SocketAddr> {
        let peer = self.peers.get_mut(host).filter(|it| it.up && it.asked.is_none())?;
        if peer.heard.is_some_and(|at| now < at + ROUND) {
            return None;
        }
        peer.asked = Some(Asked { at: now, on_word: true });
        Some(peer.host.peers)
    }

    /// Returns the time between two heartbeats from one host to another.
    fn interval(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(ROUND_HOSTS).max(1);
        ROUND * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Returns where the next round of heartbeats goes: to the hosts after those of the last one.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let after = (Bound::Excluded(&self.reached), Bound::Unbounded);
        let until = (Bound::Unbounded, Bound::Included(&self.reached));
        let circle =
            self.peers.range::<id::Host, _>(after).chain(self.peers.range::<id::Host, _>(until));
        let staying = circle.filter(|(_, it)| !it.leaving);
        let round: Vec<(&id::Host, &Peer)> = staying.take(ROUND_HOSTS).collect();
        let with_absent = self.turns.is_multiple_of(ABSENT_EVERY);
        let due = round.iter().filter(|(_, it)| it.up || with_absent);
        let addresses = due.map(|(_, it)| it.host.peers).collect();
        let Some((last, _)) = round.last() else { return addresses };
        let last = (*last).clone();
        if last <= self.reached {
            self.turns += 1;
        }
        self.reached = last;
        addresses
    }

    /// Returns the host that places this host's requests.
    pub fn dispatcher(&self) -> &id::Host {
        &self.dispatcher
    }

    /// Returns where a host that is there hears datagrams.
    pub fn address(&self, host: &id::Host) -> Option<SocketAddr> {
        self.peers.get(host).filter(|it| it.up).map(|it| it.host.peers)
    }

    /// Notes that a host did not answer; it is not asked until `until`.
    pub fn suspect(&mut self, host: id::Host, until: Moment) {
        self.suspects.insert(host, until);
    }

    /// Chooses the host that places this host's requests; returns whether it changed.
    ///
    /// Hosts may differ for a while; that is only a matter of how well requests are placed.
    pub fn elect(&mut self, own_fit: bool, now: Moment) -> bool {
        self.suspects.retain(|_, until| now < *until);
        let own = Candidate {
            name: self.own.name.clone(),
            capacity: self.own.capacity,
            claimed: self.claimed,
        };
        let peers = self.peers.iter().filter(|(_, it)| it.up && it.fit);
        let peers = peers.filter(|(name, _)| !self.suspects.contains_key(*name));
        let peers = peers.map(|(name, it)| Candidate {
            name: name.clone(),
            capacity: it.host.capacity,
            claimed: it.claimed,
        });
        let candidates: Vec<Candidate> = own_fit.then_some(own).into_iter().chain(peers).collect();
        let chosen = election::choose(&candidates).map(|it| it.name.clone());
        let is_own = chosen.as_ref() == Some(&self.own.name);
        self.claimed = is_own.then(|| self.claimed.unwrap_or(now));
        let Some(chosen) = chosen.filter(|it| *it != self.dispatcher) else { return false };
        self.dispatcher = chosen;
        true
    }

    /// Returns whether this host watches the store for the others: one of the largest that reach it.
    pub fn is_watcher(&self, own_cut_off: bool) -> bool {
        let order = |host: &Host| (Reverse(host.capacity), host.name.clone());
        let peers = self.peers.values().filter(|it| it.up && !it.cut_off).map(|it| &it.host);
        let before = peers.filter(|it| order(it) < order(&self.own)).count();
        !own_cut_off && before < WATCHERS
    }

    /// Returns how long this host has claimed to place the requests of all.
    pub fn claim(&self, now: Moment) -> Option<Duration> {
        self.claimed.map(|it| now.saturating_sub(it))
    }

    /// Returns where the hosts that are there hear datagrams.
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().filter(|it| it.up).map(|it| it.host.peers)
    }

    /// Returns the hosts that are there, this one among them.
    pub fn live(&self) -> usize {
        1 + self.peers.values().filter(|it| it.up).count()
    }

    /// Returns the addresses at which callers may connect, those of their data centre first.
    pub fn addresses(&self, data_centre: &str, own_ready: bool) -> Vec<SocketAddr> {
        let own = own_ready.then_some(&self.own);
        let peers = self.peers.values().filter(|it| it.up && it.ready).map(|it| &it.host);
        let mut hosts: Vec<&Host> = own.into_iter().chain(peers).collect();
        hosts.sort_by_key(|it| it.data_centre != data_centre);
        hosts.into_iter().take(MAX_ADDRESSES).map(|it| it.front).collect()
    }
}
