//! Which entry hosts exist, and what each last said, as a state machine.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Moment,
    id,
    link::peer::wire::{Heartbeat, Load, Member},
    refresh::{Freshness, PeerSummary},
    store::State,
};

/// What this host knows of the other entry hosts.
///
/// Runs of one host are kept apart; the one heard last stands for the host.
#[derive(Debug, Clone)]
pub struct Roster {
    own: id::Host,
    incarnation: id::Incarnation,
    silence: Duration,
    memory: Duration,
    listed: bool,
    runs: BTreeMap<(id::Host, id::Incarnation), Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    listed: bool,
    seen: Moment,
    heard: Option<Heard>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Moment,
    told: bool,
    version: Option<id::Version>,
    freshness: Freshness,
    load: Load,
}

/// How one of the other entry hosts appears from here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// The host as it describes itself, or as the host list does.
    pub member: Member,
    /// Whether it is in use.
    pub status: Status,
    /// Configuration in force there, as it last said.
    pub version: Option<id::Version>,
    /// What it may do, as it last said.
    pub freshness: Freshness,
    /// How busy it is, as it last said.
    pub load: Load,
    /// Time since it was last heard; `None` if never.
    pub silent_for: Option<Duration>,
}

/// What a run of an entry host said of its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedVersion {
    /// Name of the host.
    pub host: id::Host,
    /// Version that it last said to have in force.
    pub version: Option<id::Version>,
    /// Whether it was heard within the bound on silence.
    pub heard: bool,
}

/// Whether an entry host is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// It is heard and has not yet joined.
    Joining,
    /// It is heard.
    Live,
    /// It is about to stop; it gets no new callers.
    Leaving,
    /// It is in the host list but is not heard.
    Silent,
}

impl Status {
    /// Returns the form used in the operators' interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Joining => "joining",
            Status::Live => "live",
            Status::Leaving => "leaving",
            Status::Silent => "silent",
        }
    }
}

/// Something that happened to the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A host is heard for the first time, or again.
    Up(id::Host),
    /// A host is no longer heard.
    Down(id::Host),
    /// A host was replaced by another run under the same name.
    Replaced(id::Host),
}

impl Roster {
    /// Creates an empty roster for the run `incarnation` of the host `own`.
    ///
    /// `silence` is the bound on a peer's silence, `memory` the time for which a run is remembered
    /// after it was last listed or heard; it exceeds the time for which such a run may still admit
    /// requests.
    pub fn new(
        own: id::Host,
        incarnation: id::Incarnation,
        silence: Duration,
        memory: Duration,
    ) -> Roster {
        Roster { own, incarnation, silence, memory, listed: false, runs: BTreeMap::new() }
    }

    /// Takes the host list.
    ///
    /// The other hosts count as known once the list names this run: of two hosts that start at the
    /// same moment, the one that the list took later then finds the other one there. Runs that are neither in it nor heard are forgotten after a while, but only by a host that
    /// hears most hosts: otherwise the silent ones may be the greater part of the fleet, cut off.
    pub fn apply_host_list(&mut self, members: &[Member], now: Moment) {
        let is_own = |it: &Member| it.host == self.own && it.incarnation == self.incarnation;
        self.listed |= members.iter().any(is_own);
        self.runs.values_mut().for_each(|it| it.listed = false);
        members.iter().for_each(|it| self.take_listed(it, now));
        if !self.peer_summary(now).is_majority() {
            return;
        }
        let memory = self.memory;
        self.runs.retain(|_, it| it.listed || now.saturating_sub(it.seen) < memory);
    }

    /// Takes the members that a peer knows, while the host list does not name this run.
    pub fn learn_members(&mut self, members: &[Member], now: Moment) {
        if self.listed {
            return;
        }
        members.iter().for_each(|it| self.take_listed(it, now));
        self.listed = true;
    }

    /// Returns whether the other hosts are known from the host list or from a peer.
    pub fn knows_peers(&self) -> bool {
        self.listed
    }

    /// Takes a heartbeat that was received at `now`.
    pub fn receive_heartbeat(&mut self, beat: &Heartbeat, now: Moment) -> Vec<Change> {
        let member = &beat.from;
        if member.host == self.own {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.latest_run(&member.host).is_some_and(|it| it.incarnation != member.incarnation) {
            changes.push(Change::Replaced(member.host.clone()));
        }
        let (silence, own) = (self.silence, self.incarnation);
        let entry = self.entry(member, now);
        if !entry.is_heard(now, silence) {
            changes.push(Change::Up(member.host.clone()));
        }
        entry.member = member.clone();
        entry.seen = now;
        entry.heard = Some(Heard {
            at: now,
            told: beat.heard == Some(own),
            version: beat.version,
            freshness: beat.freshness,
            load: beat.load,
        });
        changes
    }

    /// Reports hosts that became silent between `before` and `now`.
    pub fn newly_silent(&self, before: Moment, now: Moment) -> Vec<Change> {
        let fell =
            |it: &&Entry| it.is_heard(before, self.silence) && !it.is_heard(now, self.silence);
        let down = |it: &Entry| Change::Down(it.member.host.clone());
        self.latest_runs().into_iter().filter(fell).map(down).collect()
    }

    /// Returns the run of a host that was heard last, or that is listed.
    pub fn latest_run(&self, host: &str) -> Option<&Member> {
        self.latest_runs().into_iter().map(|it| &it.member).find(|it| it.host == host)
    }

    /// Returns a certain run of a host.
    pub fn find_run(&self, host: &id::Host, incarnation: id::Incarnation) -> Option<&Member> {
        self.runs.get(&(host.clone(), incarnation)).map(|it| &it.member)
    }

    /// Returns the run of a host that was heard last, for the next heartbeat to it.
    pub fn heard_incarnation(&self, host: &str) -> Option<id::Incarnation> {
        let heard = self.latest_runs().into_iter().find(|it| it.member.host == host)?;
        heard.heard.map(|_| heard.member.incarnation)
    }

    /// Returns all other hosts as they appear at `now`.
    pub fn views(&self, now: Moment) -> Vec<View> {
        self.latest_runs().into_iter().map(|it| it.view(now, self.silence)).collect()
    }

    /// Returns the hosts that this host sends its next heartbeat to.
    ///
    /// Of two hosts the one with the lower name calls; the other one calls too once it has heard
    /// nothing for half the bound.
    pub fn heartbeat_receivers(&self, now: Moment) -> Vec<Member> {
        let patience = self.silence / 2;
        let due = |it: &&Entry| self.own < it.member.host || !it.is_heard(now, patience);
        self.latest_runs().into_iter().filter(due).map(|it| it.member.clone()).collect()
    }

    /// Returns what the others say about the configuration.
    pub fn peer_summary(&self, now: Moment) -> PeerSummary {
        let mut peers = PeerSummary { members_known: self.listed, ..PeerSummary::default() };
        for entry in self.latest_runs().into_iter().filter(|it| !it.has_left(now, self.silence)) {
            peers.known += 1;
            let Some(heard) = entry.heard.filter(|_| entry.is_heard(now, self.silence)) else {
                continue;
            };
            peers.heard += 1;
            peers.acknowledged += usize::from(heard.told);
            peers.highest_version = peers.highest_version.max(heard.version.unwrap_or(0));
        }
        peers
    }

    /// Returns what each remembered run said of its configuration.
    ///
    /// Runs that left and are no longer heard are not among them; they admit nothing.
    pub fn reported_versions(&self, now: Moment) -> Vec<ReportedVersion> {
        let said = |it: &Entry| ReportedVersion {
            host: it.member.host.clone(),
            version: it.heard.and_then(|it| it.version),
            heard: it.is_heard(now, self.silence),
        };
        let runs = self.runs.values();
        runs.filter(|it| !it.has_left(now, self.silence)).map(said).collect()
    }

    /// Returns one run of each host: the one heard last.
    fn latest_runs(&self) -> Vec<&Entry> {
        let mut hosts: Vec<&Entry> = Vec::new();
        for entry in self.runs.values() {
            match hosts.last_mut().filter(|it| it.member.host == entry.member.host) {
                Some(last) if last.heard_at() < entry.heard_at() => *last = entry,
                Some(_) => {}
                None => hosts.push(entry),
            }
        }
        hosts
    }

    fn take_listed(&mut self, member: &Member, now: Moment) {
        if member.host == self.own {
            return;
        }
        let entry = self.entry(member, now);
        entry.listed = true;
        entry.seen = now;
        // The list lags, so it can say that a host leaves but not that it stays.
        if member.state == State::Leaving {
            entry.member.state = State::Leaving;
        }
    }

    fn entry(&mut self, member: &Member, now: Moment) -> &mut Entry {
        let new = || Entry { member: member.clone(), listed: false, seen: now, heard: None };
        self.runs.entry((member.host.clone(), member.incarnation)).or_insert_with(new)
    }
}

impl Entry {
    fn heard_at(&self) -> Option<Moment> {
        self.heard.map(|it| it.at)
    }

    fn is_heard(&self, now: Moment, silence: Duration) -> bool {
        self.heard.is_some_and(|it| now.saturating_sub(it.at) < silence)
    }

    /// Returns whether the run has left and no longer runs; it admits nothing.
    fn has_left(&self, now: Moment, silence: Duration) -> bool {
        self.member.state == State::Leaving && !self.is_heard(now, silence)
    }

    fn view(&self, now: Moment, silence: Duration) -> View {
        let freshness = self.heard.map_or(Freshness::Starting, |it| it.freshness);
        View {
            member: self.member.clone(),
            status: match (self.is_heard(now, silence), self.member.state, freshness) {
                (false, _, _) => Status::Silent,
                (true, State::Leaving, _) => Status::Leaving,
                (true, State::Live, Freshness::Starting) => Status::Joining,
                (true, State::Live, _) => Status::Live,
            },
            version: self.heard.and_then(|it| it.version),
            freshness,
            load: self.heard.map(|it| it.load).unwrap_or_default(),
            silent_for: self.heard.map(|it| now.saturating_sub(it.at)),
        }
    }
}
