//! Host list, which readers see with a configured lag.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use smol_str::SmolStr;

use crate::{
    id,
    store::{Machine, State},
};

/// Name and incarnation of a process.
type Instance = (SmolStr, id::Incarnation);

#[derive(Debug)]
pub(super) struct HostList {
    dropped_after: Duration,
    lag: Duration,
    entries: BTreeMap<SmolStr, Entry>,
    /// Incarnations that were removed or replaced, whose reports are rejected.
    dropped: HashSet<Instance>,
    /// Incarnations that are listed as leaving.
    leaving: HashSet<Instance>,
    /// Versions of the list with the time since which each holds, oldest first.
    history: VecDeque<(Instant, Vec<Machine>)>,
}

#[derive(Debug)]
struct Entry {
    machine: Machine,
    reported_at: Instant,
}

impl HostList {
    pub(super) fn new(dropped_after: Duration, lag: Duration) -> HostList {
        HostList {
            dropped_after,
            lag,
            entries: BTreeMap::new(),
            dropped: HashSet::new(),
            leaving: HashSet::new(),
            history: VecDeque::new(),
        }
    }

    /// Accepts a report; returns false if this incarnation has been removed or replaced.
    pub(super) fn report(&mut self, machine: Machine, now: Instant) -> bool {
        self.remove_expired(now);
        let instance = (machine.name.clone(), machine.incarnation);
        if self.dropped.contains(&instance) {
            return false;
        }
        let entry = Entry { machine, reported_at: now };
        if let Some(it) = self.entries.insert(instance.0, entry)
            && it.machine.incarnation != instance.1
        {
            self.dropped.insert((it.machine.name, it.machine.incarnation));
        }
        self.append_history(now);
        true
    }

    /// Marks the listed incarnation of a machine as leaving; returns false if there is none.
    pub(super) fn mark_leaving(&mut self, name: &str, now: Instant) -> bool {
        self.remove_expired(now);
        let Some(entry) = self.entries.get(name) else {
            return false;
        };
        self.leaving.insert((SmolStr::new(name), entry.machine.incarnation));
        self.append_history(now);
        true
    }

    /// Returns the list as of `lag` ago.
    pub(super) fn machines(&mut self, now: Instant) -> Vec<Machine> {
        self.remove_expired(now);
        while self.history.get(1).is_some_and(|(since, _)| *since + self.lag <= now) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((since, machines)) if *since + self.lag <= now => machines.clone(),
            _ => Vec::new(),
        }
    }

    /// Removes the machines without a report for `dropped_after`.
    fn remove_expired(&mut self, now: Instant) {
        let dropped_after = self.dropped_after;
        let expired = self.entries.extract_if(.., |_, it| it.reported_at + dropped_after <= now);
        let instances: Vec<Instance> =
            expired.map(|(name, it)| (name, it.machine.incarnation)).collect();
        if instances.is_empty() {
            return;
        }
        self.dropped.extend(instances);
        self.append_history(now);
    }

    /// Appends the list to the history if it has changed.
    fn append_history(&mut self, now: Instant) {
        let machines: Vec<Machine> = self.entries.values().map(|it| self.to_machine(it)).collect();
        if self.history.back().is_none_or(|(_, latest)| *latest != machines) {
            self.history.push_back((now, machines));
        }
    }

    /// Returns the reported machine, in the state `Leaving` if it is marked so.
    fn to_machine(&self, entry: &Entry) -> Machine {
        let mut machine = entry.machine.clone();
        if self.leaving.contains(&(machine.name.clone(), machine.incarnation)) {
            machine.state = State::Leaving;
        }
        machine
    }
}
