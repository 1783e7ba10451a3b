//! The host list, which is read with a lag.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use smol_str::SmolStr;

use crate::{
    id,
    store::{Machine, State},
};

/// A run of a process.
type Run = (SmolStr, id::Incarnation);

#[derive(Debug)]
pub(super) struct Hosts {
    dropped_after: Duration,
    lag: Duration,
    entries: BTreeMap<SmolStr, Entry>,
    dropped: HashSet<Run>,
    leaving: HashSet<Run>,
    /// The list as it stood since each moment, oldest first.
    history: VecDeque<(Instant, Vec<Machine>)>,
}

#[derive(Debug)]
struct Entry {
    machine: Machine,
    reported: Instant,
}

impl Hosts {
    pub(super) fn new(dropped_after: Duration, lag: Duration) -> Hosts {
        Hosts {
            dropped_after,
            lag,
            entries: BTreeMap::new(),
            dropped: HashSet::new(),
            leaving: HashSet::new(),
            history: VecDeque::new(),
        }
    }

    /// Takes a report; returns false when this run was dropped before.
    pub(super) fn report(&mut self, machine: Machine, now: Instant) -> bool {
        self.sweep(now);
        let run = (machine.name.clone(), machine.incarnation);
        if self.dropped.contains(&run) {
            return false;
        }
        let entry = Entry { machine, reported: now };
        if let Some(it) = self.entries.insert(run.0, entry)
            && it.machine.incarnation != run.1
        {
            self.dropped.insert((it.machine.name, it.machine.incarnation));
        }
        self.record(now);
        true
    }

    /// Marks the present run of a machine as leaving; returns false when it is not listed.
    pub(super) fn leave(&mut self, name: &str, now: Instant) -> bool {
        self.sweep(now);
        let Some(entry) = self.entries.get(name) else {
            return false;
        };
        self.leaving.insert((SmolStr::new(name), entry.machine.incarnation));
        self.record(now);
        true
    }

    /// Returns the list as it stood `lag` ago.
    pub(super) fn machines(&mut self, now: Instant) -> Vec<Machine> {
        self.sweep(now);
        while self.history.get(1).is_some_and(|(since, _)| *since + self.lag <= now) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((since, machines)) if *since + self.lag <= now => machines.clone(),
            _ => Vec::new(),
        }
    }

    /// Drops the machines that have not reported for too long.
    fn sweep(&mut self, now: Instant) {
        let dropped_after = self.dropped_after;
        let silent = self.entries.extract_if(.., |_, it| it.reported + dropped_after <= now);
        let runs: Vec<Run> = silent.map(|(name, it)| (name, it.machine.incarnation)).collect();
        if runs.is_empty() {
            return;
        }
        self.dropped.extend(runs);
        self.record(now);
    }

    fn record(&mut self, now: Instant) {
        let machines: Vec<Machine> = self.entries.values().map(|it| self.listed(it)).collect();
        if self.history.back().is_none_or(|(_, last)| *last != machines) {
            self.history.push_back((now, machines));
        }
    }

    fn listed(&self, entry: &Entry) -> Machine {
        let mut machine = entry.machine.clone();
        if self.leaving.contains(&(machine.name.clone(), machine.incarnation)) {
            machine.state = State::Leaving;
        }
        machine
    }
}
