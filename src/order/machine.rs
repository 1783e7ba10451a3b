//! One holder's tenure of a group: what to write and what to send.

use std::collections::{BTreeMap, BTreeSet};

use super::{Config, Delivery, Entry, FLOOR_SEQUENCE, Facts, Group, Outcome, Pending, slot::Slot};
use crate::{
    clock::Moment,
    drain::{Barrier, Drain, Purpose},
    id,
    lease::Owner,
    target::{Action, Fence, Order},
};

/// A holder and the epoch under which it holds a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tenure {
    /// Run of the holder.
    pub owner: Owner,
    /// Epoch of its lease.
    pub epoch: id::Epoch,
}

/// A compare-and-set on the group's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Write {
    /// Version that the row must have.
    pub expected: id::Version,
    /// New contents.
    pub group: Group,
}

/// What the holder should do next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the group's row.
    Read,
    /// Write the group's row.
    Write(Write),
    /// Send an order, if the lease still holds right before its last byte.
    Send(id::Target, Order),
    /// Ask an earlier holder whether it has stopped ordering in this group under its epoch.
    AskStopped(Tenure),
    /// Ask a host whether it has seen a drain and has nothing at the target.
    AskDrained(id::Host, id::Target, id::Version),
    /// Give the tenure up: a later holder has taken the group over.
    Resign,
}

/// State of one tenure.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Machine {
    pub(super) tenure: Tenure,
    pub(super) config: Config,
    pub(super) row: Option<Stored>,
    open: Option<Write>,
    deposed: bool,
    pub(super) slots: BTreeMap<id::Target, Slot>,
    pub(super) stopped: BTreeMap<Tenure, Moment>,
    changes: BTreeMap<id::Target, Action>,
    drains: BTreeMap<id::Target, Option<Purpose>>,
    settled: Vec<(id::Target, Fence, Outcome)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Stored {
    version: id::Version,
    pub(super) group: Group,
    received: Moment,
}

impl Machine {
    /// Starts a tenure.
    pub fn new(tenure: Tenure, config: Config) -> Machine {
        Machine {
            tenure,
            config,
            row: None,
            open: None,
            deposed: false,
            slots: BTreeMap::new(),
            stopped: BTreeMap::new(),
            changes: BTreeMap::new(),
            drains: BTreeMap::new(),
            settled: Vec::new(),
        }
    }

    /// Returns the epoch of the tenure.
    pub fn epoch(&self) -> id::Epoch {
        self.tenure.epoch
    }

    /// Returns the group's row as last known.
    pub fn group(&self) -> Option<&Group> {
        self.row.as_ref().map(|it| &it.group)
    }

    /// Returns whether the group's row carries the tenure's epoch.
    pub fn is_open(&self) -> bool {
        self.group().is_some_and(|it| it.epoch == self.tenure.epoch)
    }

    /// Takes the orders settled since the last call.
    pub fn settled(&mut self) -> Vec<(id::Target, Fence, Outcome)> {
        std::mem::take(&mut self.settled)
    }

    /// Asks for a change of a target.
    pub fn request(&mut self, target: &id::Target, action: Action) {
        self.changes.insert(target.clone(), action);
    }

    /// Asks for a drain that no order ends.
    pub fn begin_drain(&mut self, target: &id::Target, purpose: Purpose) {
        self.drains.insert(target.clone(), Some(purpose));
    }

    /// Asks to end a drain that no order ends.
    pub fn end_drain(&mut self, target: &id::Target) {
        self.drains.insert(target.clone(), None);
    }

    /// Notes the row as read or as a conflict showed it; `received` is when the answer arrived.
    pub fn observe(&mut self, version: id::Version, group: Group, received: Moment) {
        if self.row.as_ref().is_some_and(|it| version <= it.version && it.version != 0) {
            return;
        }
        if group.epoch > self.tenure.epoch {
            self.deposed = true;
        }
        let settled = self.open.take_if(|it| it.expected < version);
        if let Some(write) = settled
            && write.group.token == group.token
        {
            self.note_write(&group);
        }
        self.store(version, group, received);
    }

    /// Notes that a write took effect as `version`; `received` is when the answer arrived.
    pub fn committed(&mut self, write: &Write, version: id::Version, received: Moment) {
        if self.open.as_ref() != Some(write) {
            return;
        }
        self.open = None;
        self.note_write(&write.group);
        self.store(version, write.group.clone(), received);
    }

    /// Notes that a write was refused before it had any effect.
    pub fn refused(&mut self, write: &Write) {
        self.open.take_if(|it| it == write);
    }

    /// Notes a target's report.
    pub fn reported(&mut self, target: &id::Target, facts: Facts) {
        let slot = self.slots.entry(target.clone()).or_default();
        let known = slot.facts.as_ref().map(|it| it.load.taken_at);
        if known.is_none_or(|it| it <= facts.load.taken_at) {
            slot.facts = Some(facts);
        }
    }

    /// Notes that the sending of an order ended.
    pub fn sent(&mut self, target: &id::Target, fence: Fence, delivery: Delivery, at: Moment) {
        self.slots.entry(target.clone()).or_default().end(fence, delivery, at);
    }

    /// Notes that an earlier holder can begin no more orders under its epoch.
    pub fn stopped(&mut self, earlier: &Tenure, at: Moment) {
        self.stopped.entry(earlier.clone()).or_insert(at);
    }

    /// Notes that a host has seen a drain and has nothing at the target.
    pub fn drained(
        &mut self,
        host: &id::Host,
        target: &id::Target,
        revision: id::Version,
        received: Moment,
    ) {
        let current = self.group().and_then(|it| it.drain(target)).map(|it| it.revision);
        if current != Some(revision) {
            return;
        }
        if let Some(barrier) = self.slots.entry(target.clone()).or_default().barrier.as_mut() {
            barrier.answered(host, received);
        }
    }

    /// Returns whether an order is being sent.
    pub fn is_sending(&self) -> bool {
        self.slots.values().any(|it| it.sending.is_some())
    }

    /// Returns whether a change, a drain or an order is under way.
    pub fn is_busy(&self) -> bool {
        let recorded = self.group().is_none_or(|it| !it.targets.is_empty());
        let requested = !self.changes.is_empty() || !self.drains.is_empty();
        recorded || requested || self.open.is_some() || self.is_sending()
    }

    /// Returns whether a drained target has nothing left to run.
    pub fn is_drained(&self, target: &str, now: Moment) -> bool {
        self.slots.get(target).is_some_and(|it| self.is_clear(it, now))
    }

    /// Returns what to do now; `hosts` are the entry hosts that the host list names.
    ///
    /// Call it only while the lease holds. A write whose answer was lost is returned again with the
    /// same contents until a read of the row or a conflict settles it.
    pub fn next(&mut self, now: Moment, hosts: &BTreeSet<id::Host>, token: id::Token) -> Vec<Step> {
        if self.deposed {
            return vec![Step::Resign];
        }
        if self.row.is_none() {
            return vec![Step::Read];
        }
        self.track_barriers(hosts);
        let mut steps = Vec::new();
        if self.open.is_none() {
            self.drop_idle_requests();
            self.open = self.propose(now, token);
        }
        steps.extend(self.open.clone().map(Step::Write));
        if self.is_open() {
            self.send_floors(now, &mut steps);
            self.send_pending(now, &mut steps);
            self.ask(&mut steps);
        }
        steps
    }

    fn store(&mut self, version: id::Version, group: Group, received: Moment) {
        for (target, entry) in &group.targets {
            let slot = self.slots.entry(target.clone()).or_default();
            let released = entry.pending.as_ref().is_some_and(|it| it.released);
            slot.released = released.then_some(slot.released.unwrap_or(received));
        }
        self.row = Some(Stored { version, group, received });
    }

    /// Drops the requests that a write has recorded and lists the orders that it settled.
    fn note_write(&mut self, written: &Group) {
        let Some(before) = self.row.as_ref().map(|it| it.group.clone()) else { return };
        for (target, entry) in &before.targets {
            let Some(pending) = &entry.pending else { continue };
            let now = written.targets.get(target).and_then(|it| it.pending.as_ref());
            if now.is_some_and(|it| it.fence == pending.fence) {
                continue;
            }
            let outcome = self.slot_outcome(target, pending).unwrap_or(Outcome::Void);
            self.settled.push((target.clone(), pending.fence, outcome));
        }
        self.changes.retain(|target, action| {
            let wanted = written.targets.get(target).and_then(|it| it.wanted.as_ref());
            wanted != Some(action)
        });
        self.drains.retain(|target, purpose| !is_recorded(written, target, *purpose));
    }

    /// Drops requests that ask for what already is.
    fn drop_idle_requests(&mut self) {
        let Some(row) = &self.row else { return };
        let slots = &self.slots;
        self.changes.retain(|target, action| {
            let open = row
                .group
                .targets
                .get(target)
                .is_some_and(|it| it.wanted.is_some() || it.pending.is_some());
            let facts = slots.get(target).and_then(|it| it.facts.as_ref());
            open || !facts.is_some_and(|it| it.satisfies(action))
        });
        self.drains.retain(|target, purpose| !is_recorded(&row.group, target, *purpose));
    }

    fn track_barriers(&mut self, hosts: &BTreeSet<id::Host>) {
        let Some(row) = &self.row else { return };
        for (target, slot) in &mut self.slots {
            if row.group.drain(target).is_none() {
                slot.barrier = None;
                continue;
            }
            let barrier = slot.barrier.get_or_insert_with(|| Barrier::new(row.received));
            barrier.expect(hosts);
        }
    }

    fn propose(&self, now: Moment, token: id::Token) -> Option<Write> {
        let row = self.row.as_ref()?;
        let mut group = row.group.clone();
        group.revision += 1;
        group.token = token;
        if group.epoch < self.tenure.epoch {
            group.epoch = self.tenure.epoch;
            group.sequence = FLOOR_SEQUENCE;
            return Some(Write { expected: row.version, group });
        }
        let recorded = row.group.targets.keys();
        let targets: BTreeSet<&id::Target> =
            recorded.chain(self.changes.keys()).chain(self.drains.keys()).collect();
        for target in targets {
            self.advance(target, &mut group, now);
        }
        group.tidy();
        let changed = group.targets != row.group.targets;
        changed.then_some(Write { expected: row.version, group })
    }

    /// Moves one target's entry on by at most one stage.
    fn advance(&self, target: &id::Target, group: &mut Group, now: Moment) {
        let idle = Slot::default();
        let slot = self.slots.get(target).unwrap_or(&idle);
        let revision = group.revision;
        let mut entry = group.targets.remove(target).unwrap_or_default();
        if let Some(purpose) = self.drains.get(target) {
            record_drain(&mut entry, *purpose, revision);
        }
        let outcome = entry.pending.as_ref().map(|it| self.slot_outcome(target, it));
        match outcome {
            Some(None) => {}
            Some(Some(outcome)) => {
                entry.pending = None;
                if outcome != Outcome::Void {
                    finish(&mut entry);
                }
            }
            None => {
                if let Some(action) = self.changes.get(target) {
                    entry.wanted = Some(action.clone());
                }
                self.advance_wanted(slot, &mut entry, group, now);
            }
        }
        group.targets.insert(target.clone(), entry);
    }

    fn advance_wanted(&self, slot: &Slot, entry: &mut Entry, group: &mut Group, now: Moment) {
        let Some(action) = entry.wanted.clone() else { return };
        let Some(facts) = &slot.facts else { return };
        if facts.satisfies(&action) {
            finish(entry);
            return;
        }
        if entry.drain.is_none() {
            entry.drain = Some(Drain { revision: group.revision, purpose: Purpose::Order });
            return;
        }
        let ready = !facts.checks_fence || slot.is_floor_raised();
        let idle = slot.sending.is_none();
        if ready && idle && self.is_clear(slot, now) {
            group.sequence += 1;
            let fence = Fence { epoch: self.tenure.epoch, sequence: group.sequence };
            let sender = self.tenure.owner.clone();
            entry.pending = Some(Pending { fence, action, sender, released: false });
        }
    }

    fn is_clear(&self, slot: &Slot, now: Moment) -> bool {
        let (Some(barrier), Some(facts)) = (&slot.barrier, &slot.facts) else { return false };
        barrier.complete(now, &self.config.drain, facts.load)
    }

    fn slot_outcome(&self, target: &id::Target, pending: &Pending) -> Option<Outcome> {
        let stopped = self.stopped.get(&pending.tenure()).copied();
        self.slots.get(target)?.outcome(pending, self.tenure.epoch, stopped, &self.config)
    }
}

/// Ends the change that an order was for.
fn finish(entry: &mut Entry) {
    entry.wanted = None;
    entry.drain.take_if(|it| it.purpose == Purpose::Order);
}

/// Begins a drain with a purpose, or ends the one that no order ends.
fn record_drain(entry: &mut Entry, purpose: Option<Purpose>, revision: id::Version) {
    let changing = entry.wanted.is_some() || entry.pending.is_some();
    match purpose {
        Some(purpose) => {
            let revision = entry.drain.as_ref().map_or(revision, |it| it.revision);
            entry.drain = Some(Drain { revision, purpose });
        }
        None if changing => {
            entry.drain.iter_mut().for_each(|it| it.purpose = Purpose::Order);
        }
        None => entry.drain = None,
    }
}

fn is_recorded(group: &Group, target: &str, purpose: Option<Purpose>) -> bool {
    match (group.drain(target).map(|it| it.purpose), purpose) {
        (present, Some(purpose)) => present == Some(purpose),
        (present, None) => present.is_none_or(|it| it == Purpose::Order),
    }
}
