//! State machine that decides what the holder of a group writes, sends and asks next.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Config, Delivery, Entry, FENCING_SEQUENCE, Group, Outcome, Pending, TargetState,
    tracker::Tracker,
};
use crate::{
    clock::Moment,
    drain::{Barrier, Drain, Purpose},
    id,
    lease::Owner,
    target::{Action, Fence, Order},
};

/// A period in which one run of a host holds a group's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tenure {
    /// Run of the host that holds the lease.
    pub owner: Owner,
    /// Epoch of the lease.
    pub epoch: id::Epoch,
}

/// A compare-and-set on the group's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Write {
    /// Version that the row must have for the write to succeed.
    pub expected: id::Version,
    /// New contents of the row.
    pub group: Group,
}

/// An action for the holder to take.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the group's row.
    Read,
    /// Write the group's row.
    Write(Write),
    /// Send an order to a target, if this run still holds the lease right before the last byte.
    Send(id::Target, Order),
    /// Ask an earlier holder whether it has stopped sending this group's orders under its epoch.
    AskStopped(Tenure),
    /// Ask a host whether it has seen the drain of a target that began at this revision of the
    /// group's row, and has no request left at the target.
    AskDrained(id::Host, id::Target, id::Version),
    /// Stop writing and sending: a later holder has taken over the group.
    Resign,
}

/// Orders and drains of one group during one tenure.
///
/// It does no I/O: the caller carries out the returned [`Step`]s and passes their results back.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    pub(super) tenure: Tenure,
    pub(super) config: Config,
    pub(super) row: Option<Row>,
    /// Write whose outcome is unknown.
    in_flight: Option<Write>,
    /// Whether the row has shown the epoch of a later holder.
    superseded: bool,
    pub(super) trackers: BTreeMap<id::Target, Tracker>,
    /// When each earlier holder was known to have stopped.
    pub(super) stopped_at: BTreeMap<Tenure, Moment>,
    /// Changes to record in the row.
    requested_changes: BTreeMap<id::Target, Action>,
    /// Drains to begin, with their purpose, or to end (`None`).
    requested_drains: BTreeMap<id::Target, Option<Purpose>>,
    /// Orders settled since the last [`Controller::take_settled`].
    settled: Vec<(id::Target, Fence, Outcome)>,
}

/// The group's row in its last known version.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Row {
    version: id::Version,
    pub(super) group: Group,
    /// When the answer with this version arrived.
    received_at: Moment,
}

impl Controller {
    /// Creates the state of a tenure in which nothing is known yet.
    pub fn new(tenure: Tenure, config: Config) -> Controller {
        Controller {
            tenure,
            config,
            row: None,
            in_flight: None,
            superseded: false,
            trackers: BTreeMap::new(),
            stopped_at: BTreeMap::new(),
            requested_changes: BTreeMap::new(),
            requested_drains: BTreeMap::new(),
            settled: Vec::new(),
        }
    }

    /// Returns the epoch of the tenure.
    pub fn epoch(&self) -> id::Epoch {
        self.tenure.epoch
    }

    /// Returns the contents of the group's row in the last known version.
    pub fn group(&self) -> Option<&Group> {
        self.row.as_ref().map(|it| &it.group)
    }

    /// Returns whether the group's row has the epoch of this tenure, so that earlier holders can no
    /// longer write it.
    pub fn has_claimed_row(&self) -> bool {
        self.group().is_some_and(|it| it.epoch == self.tenure.epoch)
    }

    /// Returns the orders settled since the last call, and forgets them.
    pub fn take_settled(&mut self) -> Vec<(id::Target, Fence, Outcome)> {
        std::mem::take(&mut self.settled)
    }

    /// Requests a change of a target.
    pub fn request_change(&mut self, target: &id::Target, action: Action) {
        self.requested_changes.insert(target.clone(), action);
    }

    /// Requests a drain that lasts until [`Controller::end_drain`].
    pub fn begin_drain(&mut self, target: &id::Target, purpose: Purpose) {
        self.requested_drains.insert(target.clone(), Some(purpose));
    }

    /// Requests the end of a drain that [`Controller::begin_drain`] began.
    pub fn end_drain(&mut self, target: &id::Target) {
        self.requested_drains.insert(target.clone(), None);
    }

    /// Updates the known row after a read or a write conflict; `received_at` is when the answer
    /// arrived.
    pub fn observe_row(&mut self, version: id::Version, group: Group, received_at: Moment) {
        if self.row.as_ref().is_some_and(|it| version <= it.version && it.version != 0) {
            return;
        }
        if group.epoch > self.tenure.epoch {
            self.superseded = true;
        }
        let settled = self.in_flight.take_if(|it| it.expected < version);
        if let Some(write) = settled
            && write.group.token == group.token
        {
            self.apply_write(&group);
        }
        self.replace_row(version, group, received_at);
    }

    /// Handles a successful write, which gave the row this version; `received_at` is when the
    /// answer arrived.
    pub fn write_committed(&mut self, write: &Write, version: id::Version, received_at: Moment) {
        if self.in_flight.as_ref() != Some(write) {
            return;
        }
        self.in_flight = None;
        self.apply_write(&write.group);
        self.replace_row(version, write.group.clone(), received_at);
    }

    /// Handles a write that was refused without effect.
    pub fn write_refused(&mut self, write: &Write) {
        self.in_flight.take_if(|it| it == write);
    }

    /// Updates what is known of a target from its report, unless the report's figures are older.
    pub fn target_reported(&mut self, target: &id::Target, observed: TargetState) {
        let tracker = self.trackers.entry(target.clone()).or_default();
        let known = tracker.observed.as_ref().map(|it| it.load.measured_at);
        if known.is_none_or(|it| it <= observed.load.measured_at) {
            tracker.observed = Some(observed);
        }
    }

    /// Handles the end of sending an order.
    pub fn send_ended(
        &mut self,
        target: &id::Target,
        fence: Fence,
        delivery: Delivery,
        ended_at: Moment,
    ) {
        self.trackers.entry(target.clone()).or_default().end_send(fence, delivery, ended_at);
    }

    /// Records that an earlier holder sends no more orders under its epoch; `known_at` is when this
    /// became known.
    pub fn holder_stopped(&mut self, earlier: &Tenure, known_at: Moment) {
        self.stopped_at.entry(earlier.clone()).or_insert(known_at);
    }

    /// Records that a host has seen the drain begun at `revision` and has no request left at the
    /// target.
    pub fn host_drained(
        &mut self,
        host: &id::Host,
        target: &id::Target,
        revision: id::Version,
        received_at: Moment,
    ) {
        let current = self.group().and_then(|it| it.drain(target)).map(|it| it.revision);
        if current != Some(revision) {
            return;
        }
        if let Some(barrier) = self.trackers.entry(target.clone()).or_default().barrier.as_mut() {
            barrier.host_drained(host, received_at);
        }
    }

    /// Returns whether an order is being sent to any target.
    pub fn is_sending(&self) -> bool {
        self.trackers.values().any(|it| it.sending.is_some())
    }

    /// Returns whether a change, drain, order or write is in progress, or the row is not known yet.
    pub fn is_busy(&self) -> bool {
        let recorded = self.group().is_none_or(|it| !it.targets.is_empty());
        let requested = !self.requested_changes.is_empty() || !self.requested_drains.is_empty();
        recorded || requested || self.in_flight.is_some() || self.is_sending()
    }

    /// Returns whether the drain of a target is complete: no request runs there or can still
    /// arrive.
    pub fn is_drained(&self, target: &str, now: Moment) -> bool {
        self.trackers.get(target).is_some_and(|it| self.is_drain_complete(it, now))
    }

    /// Returns the hosts whose requests may still arrive at a drained target, since they have
    /// neither confirmed the drain nor passed the bound after which they send nothing there.
    pub fn unconfirmed_hosts(&self, target: &str, now: Moment) -> Vec<id::Host> {
        let barrier = self.trackers.get(target).and_then(|it| it.barrier.as_ref());
        let barrier = barrier.filter(|it| it.passed_at(now, &self.config.drain).is_none());
        barrier.map_or_else(Vec::new, |it| it.pending_hosts().cloned().collect())
    }

    /// Returns the steps to take now; `hosts` are the entry hosts in the host list, and `token` is
    /// stored in a new write.
    ///
    /// Call this only while the host holds the lease. A write whose answer was lost is returned
    /// again with the same contents until a read of the row or a write conflict shows whether it
    /// took effect.
    pub fn next_steps(
        &mut self,
        now: Moment,
        hosts: &BTreeSet<id::Host>,
        token: id::Token,
    ) -> Vec<Step> {
        if self.superseded {
            return vec![Step::Resign];
        }
        if self.row.is_none() {
            return vec![Step::Read];
        }
        self.update_barriers(hosts);
        let mut steps = Vec::new();
        if self.in_flight.is_none() {
            self.drop_satisfied_requests();
            self.in_flight = self.next_write(now, token);
        }
        steps.extend(self.in_flight.clone().map(Step::Write));
        if self.has_claimed_row() {
            self.send_fencing_orders(now, &mut steps);
            self.send_pending(now, &mut steps);
            self.ask_peers(&mut steps);
        }
        steps
    }

    fn replace_row(&mut self, version: id::Version, group: Group, received_at: Moment) {
        for (target, entry) in &group.targets {
            let tracker = self.trackers.entry(target.clone()).or_default();
            let released = entry.pending.as_ref().is_some_and(|it| it.released);
            tracker.released_at = released.then_some(tracker.released_at.unwrap_or(received_at));
        }
        self.row = Some(Row { version, group, received_at });
    }

    /// Drops the requests that a successful write recorded and notes the orders that it settled.
    fn apply_write(&mut self, written: &Group) {
        let Some(before) = self.row.as_ref().map(|it| it.group.clone()) else { return };
        for (target, entry) in &before.targets {
            let Some(pending) = &entry.pending else { continue };
            let still_pending = written.targets.get(target).and_then(|it| it.pending.as_ref());
            if still_pending.is_some_and(|it| it.fence == pending.fence) {
                continue;
            }
            let outcome = self.pending_outcome(target, pending).unwrap_or(Outcome::Void);
            self.settled.push((target.clone(), pending.fence, outcome));
        }
        self.requested_changes.retain(|target, action| {
            let wanted = written.targets.get(target).and_then(|it| it.wanted.as_ref());
            wanted != Some(action)
        });
        self.requested_drains
            .retain(|target, purpose| !is_drain_recorded(written, target, *purpose));
    }

    /// Drops requests for changes that the target already has and for drains already recorded.
    fn drop_satisfied_requests(&mut self) {
        let Some(row) = &self.row else { return };
        let trackers = &self.trackers;
        self.requested_changes.retain(|target, action| {
            let recorded = row
                .group
                .targets
                .get(target)
                .is_some_and(|it| it.wanted.is_some() || it.pending.is_some());
            let observed = trackers.get(target).and_then(|it| it.observed.as_ref());
            recorded || !observed.is_some_and(|it| it.satisfies(action))
        });
        self.requested_drains
            .retain(|target, purpose| !is_drain_recorded(&row.group, target, *purpose));
    }

    fn update_barriers(&mut self, hosts: &BTreeSet<id::Host>) {
        let Some(row) = &self.row else { return };
        for (target, tracker) in &mut self.trackers {
            if row.group.drain(target).is_none() {
                tracker.barrier = None;
                continue;
            }
            let barrier = tracker.barrier.get_or_insert_with(|| Barrier::new(row.received_at));
            barrier.add_hosts(hosts);
        }
    }

    /// Returns the write to make now, if any: a new holder first writes its epoch.
    fn next_write(&self, now: Moment, token: id::Token) -> Option<Write> {
        let row = self.row.as_ref()?;
        let mut group = row.group.clone();
        group.revision += 1;
        group.token = token;
        if group.epoch < self.tenure.epoch {
            group.epoch = self.tenure.epoch;
            group.sequence = FENCING_SEQUENCE;
            return Some(Write { expected: row.version, group });
        }
        let recorded = row.group.targets.keys();
        let targets: BTreeSet<&id::Target> = recorded
            .chain(self.requested_changes.keys())
            .chain(self.requested_drains.keys())
            .collect();
        for target in targets {
            self.advance_entry(target, &mut group, now);
        }
        group.remove_empty_entries();
        let changed = group.targets != row.group.targets;
        changed.then_some(Write { expected: row.version, group })
    }

    /// Advances one target's entry by at most one stage: drain, pending order, completion.
    fn advance_entry(&self, target: &id::Target, group: &mut Group, now: Moment) {
        let unknown = Tracker::default();
        let tracker = self.trackers.get(target).unwrap_or(&unknown);
        let revision = group.revision;
        let mut entry = group.targets.remove(target).unwrap_or_default();
        if let Some(purpose) = self.requested_drains.get(target) {
            apply_drain_request(&mut entry, *purpose, revision);
        }
        match entry.pending.take() {
            Some(pending) => match self.pending_outcome(target, &pending) {
                None => entry.pending = Some(pending),
                // A different change requested since the order was recorded stays wanted.
                Some(Outcome::Done | Outcome::Failed)
                    if entry.wanted.as_ref() == Some(&pending.action) =>
                {
                    clear_change(&mut entry);
                }
                Some(_) => {}
            },
            None => {
                if let Some(action) = self.requested_changes.get(target) {
                    entry.wanted = Some(action.clone());
                }
                self.advance_change(tracker, &mut entry, group, now);
            }
        }
        group.targets.insert(target.clone(), entry);
    }

    fn advance_change(&self, tracker: &Tracker, entry: &mut Entry, group: &mut Group, now: Moment) {
        let Some(action) = entry.wanted.clone() else { return };
        let Some(observed) = &tracker.observed else { return };
        if observed.satisfies(&action) {
            clear_change(entry);
            return;
        }
        if entry.drain.is_none() {
            entry.drain = Some(Drain { revision: group.revision, purpose: Purpose::Order });
            return;
        }
        let fenced = !observed.checks_fence || tracker.rejects_earlier_epochs();
        let idle = tracker.sending.is_none();
        if fenced && idle && self.is_drain_complete(tracker, now) {
            group.sequence += 1;
            let fence = Fence { epoch: self.tenure.epoch, sequence: group.sequence };
            let sender = self.tenure.owner.clone();
            entry.pending = Some(Pending { fence, action, sender, released: false });
        }
    }

    fn is_drain_complete(&self, tracker: &Tracker, now: Moment) -> bool {
        let (Some(barrier), Some(observed)) = (&tracker.barrier, &tracker.observed) else {
            return false;
        };
        barrier.is_complete(now, &self.config.drain, observed.load)
    }

    fn pending_outcome(&self, target: &id::Target, pending: &Pending) -> Option<Outcome> {
        let stopped_at = self.stopped_at.get(&pending.tenure()).copied();
        self.trackers.get(target)?.outcome(pending, self.tenure.epoch, stopped_at, &self.config)
    }
}

/// Ends the wanted change and the drain that preceded its order.
fn clear_change(entry: &mut Entry) {
    entry.wanted = None;
    entry.drain.take_if(|it| it.purpose == Purpose::Order);
}

/// Begins a drain with a purpose. `None` ends the drain, or, while the target has a wanted change
/// or a pending order, keeps the drain for that change.
fn apply_drain_request(entry: &mut Entry, purpose: Option<Purpose>, revision: id::Version) {
    let has_change = entry.wanted.is_some() || entry.pending.is_some();
    match purpose {
        Some(purpose) => {
            let revision = entry.drain.as_ref().map_or(revision, |it| it.revision);
            entry.drain = Some(Drain { revision, purpose });
        }
        None if has_change => {
            entry.drain.iter_mut().for_each(|it| it.purpose = Purpose::Order);
        }
        None => entry.drain = None,
    }
}

/// Returns whether the row already reflects a request to begin or end (`None`) a drain.
fn is_drain_recorded(group: &Group, target: &str, purpose: Option<Purpose>) -> bool {
    match (group.drain(target).map(|it| it.purpose), purpose) {
        (present, Some(purpose)) => present == Some(purpose),
        (present, None) => present.is_none_or(|it| it == Purpose::Order),
    }
}
