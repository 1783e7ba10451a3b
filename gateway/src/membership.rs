//! Which entry hosts are there, from the datagrams that they send each other.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use fuchsiaknot_core::{clock::Moment, id};

/// Hosts whose addresses one answer names at most.
const MAX_ADDRESSES: usize = 64;

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
}

/// What one heartbeat tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Who sent it.
    pub host: Host,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it shuts down and will send no more.
    pub leaving: bool,
    /// Whether its picture of the targets is fresh, so that it can place requests for others.
    pub fit: bool,
    /// Host that places its requests.
    pub follows: id::Host,
}

/// A change of what this host believes of the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A host is there, or there again.
    Up(id::Host),
    /// A host is leaving, replaced or silent.
    Down(id::Host),
}

/// The other entry hosts.
#[derive(Debug)]
pub struct Membership {
    own: Host,
    silence: Duration,
    peers: BTreeMap<id::Host, Peer>,
    dispatcher: id::Host,
    /// Hosts that did not answer, and until when they are not asked.
    suspects: BTreeMap<id::Host, Moment>,
}

#[derive(Debug)]
struct Peer {
    host: Host,
    ready: bool,
    leaving: bool,
    fit: bool,
    follows: Option<id::Host>,
    /// When it was last heard; `None` when only the store names it.
    heard: Option<Moment>,
    up: bool,
}

impl Membership {
    /// Creates a membership of this host alone; a host unheard for `silence` is down.
    pub fn new(own: Host, silence: Duration) -> Membership {
        Membership {
            dispatcher: own.name.clone(),
            own,
            silence,
            peers: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Returns this host.
    pub fn own(&self) -> &Host {
        &self.own
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
            follows: None,
            heard: None,
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
            follows: Some(beat.follows),
            heard: Some(now),
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

    /// Marks the hosts that have been silent for too long.
    pub fn tick(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, peer) in &mut self.peers {
            let silent = peer.heard.is_none_or(|at| at + self.silence <= now);
            if peer.up && silent {
                peer.up = false;
                changes.push(Change::Down(name.clone()));
            }
        }
        changes
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
    /// It is the fit host that most follow, so that one that returns does not take over. Hosts may
    /// differ for a while; that is only a matter of how well requests are placed.
    pub fn elect(&mut self, own_fit: bool, now: Moment) -> bool {
        self.suspects.retain(|_, until| now < *until);
        let own = own_fit.then_some(&self.own.name);
        let peers = self.peers.iter().filter(|(_, it)| it.up && it.fit).map(|(name, _)| name);
        let eligible = own.into_iter().chain(peers);
        let eligible: Vec<&id::Host> =
            eligible.filter(|it| !self.suspects.contains_key(*it)).collect();
        let votes = |name: &id::Host| {
            let peers = self.peers.values().filter(|it| it.up);
            let followers = peers.filter(|it| it.follows.as_ref() == Some(name)).count();
            followers + usize::from(self.dispatcher == *name)
        };
        let best = eligible.iter().max_by_key(|it| (votes(it), std::cmp::Reverse(**it)));
        let Some(best) = best.map(|it| (*it).clone()) else { return false };
        if best == self.dispatcher {
            return false;
        }
        self.dispatcher = best;
        true
    }

    /// Returns where heartbeats go: to every host known that did not say it was leaving.
    pub fn recipients(&self) -> impl Iterator<Item = (&Host, bool)> {
        self.peers.values().filter(|it| !it.leaving).map(|it| (&it.host, it.up))
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
