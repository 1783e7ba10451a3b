//! Known entry hosts and the last heartbeat of each, as a state machine without input or output.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Moment,
    id,
    link::peer::wire::{Heartbeat, Load, Member},
    refresh::{Freshness, PeerSummary},
    store::State,
};

/// State of the other entry hosts, as known to this host.
///
/// A *run* is one process of a host, identified by its incarnation. Each run has its own entry; the
/// run with the latest heartbeat represents the host.
#[derive(Debug, Clone)]
pub struct Roster {
    own: id::Host,
    incarnation: id::Incarnation,
    silence_timeout: Duration,
    retention: Duration,
    knows_peers: bool,
    runs: BTreeMap<(id::Host, id::Incarnation), Run>,
}

#[derive(Debug, Clone)]
struct Run {
    member: Member,
    listed: bool,
    /// When the run was last in the host list or sent a heartbeat.
    last_seen: Moment,
    heartbeat: Option<LastHeartbeat>,
}

/// Contents of the last heartbeat of a run.
#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    received_at: Moment,
    /// Whether the sender has received a heartbeat of this run of this host.
    acknowledges_own_run: bool,
    version: Option<id::Version>,
    freshness: Freshness,
    load: Load,
}

/// Another entry host as it appears to this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Member data from the host's last heartbeat, or from the host list if there was none.
    pub member: Member,
    /// Status of the host.
    pub status: Status,
    /// Version of the configuration in force there, from the last heartbeat.
    pub version: Option<id::Version>,
    /// Freshness of the configuration there, from the last heartbeat.
    pub freshness: Freshness,
    /// Load, from the last heartbeat.
    pub load: Load,
    /// Time since the last heartbeat; `None` if there was none.
    pub silent_for: Option<Duration>,
}

/// Configuration version that a run of an entry host last reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedVersion {
    /// Name of the host.
    pub host: id::Host,
    /// Version in force according to its last heartbeat.
    pub version: Option<id::Version>,
    /// Whether a heartbeat arrived within the silence timeout.
    pub heard: bool,
}

/// Status of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// Sends heartbeats, but has no configuration in force yet.
    Joining,
    /// Sends heartbeats.
    Live,
    /// Is shutting down and gets no new callers.
    Leaving,
    /// Sent no heartbeat within the silence timeout.
    Silent,
}

impl Status {
    /// Returns the name used in the operators' interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Joining => "joining",
            Status::Live => "live",
            Status::Leaving => "leaving",
            Status::Silent => "silent",
        }
    }
}

/// A change in the availability of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Heartbeats of a host arrive for the first time, or again.
    Up(id::Host),
    /// Heartbeats of a host no longer arrive.
    Down(id::Host),
    /// A new run of a host has replaced the earlier one.
    Replaced(id::Host),
}

impl Roster {
    /// Creates an empty roster for the run `incarnation` of the host `own`.
    ///
    /// A run is silent after `silence_timeout` without a heartbeat. It is removed `retention` after
    /// it was last in the host list or sent a heartbeat. The retention must be longer than the time
    /// for which a silent run may still admit requests.
    pub fn new(
        own: id::Host,
        incarnation: id::Incarnation,
        silence_timeout: Duration,
        retention: Duration,
    ) -> Roster {
        Roster {
            own,
            incarnation,
            silence_timeout,
            retention,
            knows_peers: false,
            runs: BTreeMap::new(),
        }
    }

    /// Applies the host list.
    ///
    /// The other hosts count as known once the list contains this run: if two hosts start at the
    /// same time, the one that is registered later then finds the other one in the list.
    ///
    /// Runs that are neither in the list nor send heartbeats are removed after the retention time,
    /// but only while this host hears a majority of the hosts. In a minority partition, the silent
    /// runs may be most of the fleet.
    pub fn apply_host_list(&mut self, members: &[Member], now: Moment) {
        let is_own = |it: &Member| it.host == self.own && it.incarnation == self.incarnation;
        self.knows_peers |= members.iter().any(is_own);
        self.runs.values_mut().for_each(|it| it.listed = false);
        members.iter().for_each(|it| self.apply_listed(it, now));
        if !self.peer_summary(now).is_majority() {
            return;
        }
        let retention = self.retention;
        self.runs.retain(|_, it| it.listed || now.saturating_sub(it.last_seen) < retention);
    }

    /// Applies the members that a peer knows, if the other hosts aren't known yet.
    pub fn learn_members(&mut self, members: &[Member], now: Moment) {
        if self.knows_peers {
            return;
        }
        members.iter().for_each(|it| self.apply_listed(it, now));
        self.knows_peers = true;
    }

    /// Returns whether the other hosts are known, from the host list or from a peer.
    pub fn knows_peers(&self) -> bool {
        self.knows_peers
    }

    /// Records a heartbeat received at `now` and returns the resulting changes.
    pub fn receive_heartbeat(&mut self, beat: &Heartbeat, now: Moment) -> Vec<Change> {
        let member = &beat.from;
        if member.host == self.own {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.latest_run(&member.host).is_some_and(|it| it.incarnation != member.incarnation) {
            changes.push(Change::Replaced(member.host.clone()));
        }
        let (silence_timeout, own) = (self.silence_timeout, self.incarnation);
        let run = self.run_mut(member, now);
        if !run.is_heard(now, silence_timeout) {
            changes.push(Change::Up(member.host.clone()));
        }
        run.member = member.clone();
        run.last_seen = now;
        run.heartbeat = Some(LastHeartbeat {
            received_at: now,
            acknowledges_own_run: beat.heard == Some(own),
            version: beat.version,
            freshness: beat.freshness,
            load: beat.load,
        });
        changes
    }

    /// Returns a [`Change::Down`] for each host that became silent between `before` and `now`.
    pub fn newly_silent(&self, before: Moment, now: Moment) -> Vec<Change> {
        let fell_silent = |it: &&Run| {
            it.is_heard(before, self.silence_timeout) && !it.is_heard(now, self.silence_timeout)
        };
        let down = |it: &Run| Change::Down(it.member.host.clone());
        self.latest_runs().into_iter().filter(fell_silent).map(down).collect()
    }

    /// Returns the run of a host with the latest heartbeat, or a listed run if none sent one.
    pub fn latest_run(&self, host: &str) -> Option<&Member> {
        self.latest_runs().into_iter().map(|it| &it.member).find(|it| it.host == host)
    }

    /// Returns the run of a host with the given incarnation.
    pub fn find_run(&self, host: &id::Host, incarnation: id::Incarnation) -> Option<&Member> {
        self.runs.get(&(host.clone(), incarnation)).map(|it| &it.member)
    }

    /// Returns the incarnation from which the latest heartbeat of a host came, so that the next
    /// heartbeat to the host can acknowledge it.
    pub fn heard_incarnation(&self, host: &str) -> Option<id::Incarnation> {
        let run = self.latest_runs().into_iter().find(|it| it.member.host == host)?;
        run.heartbeat.map(|_| run.member.incarnation)
    }

    /// Returns all other hosts as they appear at `now`.
    pub fn views(&self, now: Moment) -> Vec<View> {
        self.latest_runs().into_iter().map(|it| it.view(now, self.silence_timeout)).collect()
    }

    /// Returns the hosts to which this host sends its next heartbeat.
    ///
    /// Of two hosts, the one whose name sorts first initiates the exchange. The other host also
    /// does so if it has received nothing for half the silence timeout.
    pub fn heartbeat_receivers(&self, now: Moment) -> Vec<Member> {
        let half_silence = self.silence_timeout / 2;
        let due = |it: &&Run| self.own < it.member.host || !it.is_heard(now, half_silence);
        self.latest_runs().into_iter().filter(due).map(|it| it.member.clone()).collect()
    }

    /// Summarizes the other hosts and the configuration versions that they report.
    pub fn peer_summary(&self, now: Moment) -> PeerSummary {
        let mut summary = PeerSummary { members_known: self.knows_peers, ..PeerSummary::default() };
        for run in
            self.latest_runs().into_iter().filter(|it| !it.has_left(now, self.silence_timeout))
        {
            summary.known += 1;
            let Some(heartbeat) = run.heartbeat.filter(|_| run.is_heard(now, self.silence_timeout))
            else {
                continue;
            };
            summary.heard += 1;
            summary.acknowledged += usize::from(heartbeat.acknowledges_own_run);
            summary.highest_version = summary.highest_version.max(heartbeat.version.unwrap_or(0));
        }
        summary
    }

    /// Returns the configuration version that each known run last reported.
    ///
    /// Runs that announced their shutdown and are now silent are left out, since they admit no
    /// requests.
    pub fn reported_versions(&self, now: Moment) -> Vec<ReportedVersion> {
        let reported = |it: &Run| ReportedVersion {
            host: it.member.host.clone(),
            version: it.heartbeat.and_then(|it| it.version),
            heard: it.is_heard(now, self.silence_timeout),
        };
        let runs = self.runs.values();
        runs.filter(|it| !it.has_left(now, self.silence_timeout)).map(reported).collect()
    }

    /// Returns one run of each host, the one with the latest heartbeat.
    fn latest_runs(&self) -> Vec<&Run> {
        let mut hosts: Vec<&Run> = Vec::new();
        for run in self.runs.values() {
            match hosts.last_mut().filter(|it| it.member.host == run.member.host) {
                Some(last) if last.heartbeat_at() < run.heartbeat_at() => *last = run,
                Some(_) => {}
                None => hosts.push(run),
            }
        }
        hosts
    }

    fn apply_listed(&mut self, member: &Member, now: Moment) {
        if member.host == self.own {
            return;
        }
        let run = self.run_mut(member, now);
        run.listed = true;
        run.last_seen = now;
        // The list lags behind the heartbeats: a leaving host may still be listed as live, so the
        // list can set the state to leaving but never back to live.
        if member.state == State::Leaving {
            run.member.state = State::Leaving;
        }
    }

    fn run_mut(&mut self, member: &Member, now: Moment) -> &mut Run {
        let new = || Run { member: member.clone(), listed: false, last_seen: now, heartbeat: None };
        self.runs.entry((member.host.clone(), member.incarnation)).or_insert_with(new)
    }
}

impl Run {
    fn heartbeat_at(&self) -> Option<Moment> {
        self.heartbeat.map(|it| it.received_at)
    }

    /// Returns whether a heartbeat arrived within the timeout before `now`.
    fn is_heard(&self, now: Moment, silence_timeout: Duration) -> bool {
        self.heartbeat.is_some_and(|it| now.saturating_sub(it.received_at) < silence_timeout)
    }

    /// Returns whether the run announced its shutdown and is now silent; it admits no requests
    /// then.
    fn has_left(&self, now: Moment, silence_timeout: Duration) -> bool {
        self.member.state == State::Leaving && !self.is_heard(now, silence_timeout)
    }

    fn view(&self, now: Moment, silence_timeout: Duration) -> View {
        let freshness = self.heartbeat.map_or(Freshness::Starting, |it| it.freshness);
        View {
            member: self.member.clone(),
            status: match (self.is_heard(now, silence_timeout), self.member.state, freshness) {
                (false, _, _) => Status::Silent,
                (true, State::Leaving, _) => Status::Leaving,
                (true, State::Live, Freshness::Starting) => Status::Joining,
                (true, State::Live, _) => Status::Live,
            },
            version: self.heartbeat.and_then(|it| it.version),
            freshness,
            load: self.heartbeat.map(|it| it.load).unwrap_or_default(),
            silent_for: self.heartbeat.map(|it| now.saturating_sub(it.received_at)),
        }
    }
}
