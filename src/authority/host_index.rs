//! What follows from the host list: groups, candidates and runs that are gone.

use std::collections::{BTreeMap, BTreeSet};

use super::{Listing, group_of};
use crate::{
    clock::Moment,
    id,
    lease::{self, Owner, Wish},
    store::{Kind, State},
};

/// Place added to the candidates that are not the first preferred.
const NOT_PREFERRED_RANK_OFFSET: u32 = 5;

/// The host list, arranged for one look.
#[derive(Debug)]
pub(super) struct HostIndex {
    pub(super) read_at: Moment,
    /// Groups with their targets and the runs of these.
    pub(super) groups: BTreeMap<id::Group, BTreeMap<id::Target, id::Incarnation>>,
    /// Entry hosts that are listed, live or leaving.
    pub(super) hosts: BTreeSet<id::Host>,
    runs: BTreeSet<Owner>,
    live: BTreeSet<id::Host>,
    preferred: BTreeMap<id::Group, id::Host>,
}

impl HostIndex {
    pub(super) fn new(listing: &Listing) -> HostIndex {
        let mut groups: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        let mut runs = BTreeSet::new();
        let mut live = BTreeSet::new();
        for machine in listing.machines.iter() {
            if let Some(group) = group_of(machine) {
                groups.entry(group).or_default().insert(machine.name.clone(), machine.incarnation);
            }
            if machine.kind == Kind::Entry {
                let host = machine.name.clone();
                runs.insert(Owner { host, incarnation: machine.incarnation });
            }
            if machine.kind == Kind::Entry && machine.state == State::Live {
                live.insert(machine.name.clone());
            }
        }
        let hosts = runs.iter().map(|it| it.host.clone()).collect();
        let preferred = lease::spread(&groups.keys().cloned().collect(), &live);
        HostIndex { read_at: listing.read_at, groups, hosts, runs, live, preferred }
    }

    /// Returns whether a run is listed.
    pub(super) fn lists_run(&self, owner: &Owner) -> bool {
        self.runs.contains(owner)
    }

    /// Returns whether another host should hold the group.
    pub(super) fn prefers_other(&self, group: &str, owner: &Owner) -> bool {
        self.preferred.get(group).is_some_and(|it| *it != owner.host)
    }

    /// Returns whether a host that stays wants a group's lease.
    ///
    /// A run that the host list does not name takes none, so that others may take its absence from
    /// the list for its end.
    pub(super) fn wish(&self, group: &str, owner: &Owner) -> Wish {
        if !self.lists_run(owner) || !self.live.contains(&owner.host) {
            return Wish::Keep;
        }
        if self.prefers_other(group, owner) {
            let rank = lease::rank(group, &self.live, &owner.host)
                .saturating_add(NOT_PREFERRED_RANK_OFFSET);
            return Wish::Hold { rank };
        }
        Wish::Hold { rank: 0 }
    }
}

/// Runs that the host list does not name, with the first read that did not.
#[derive(Debug, Default)]
pub(super) struct Absences(BTreeMap<Owner, Moment>);

impl Absences {
    /// Returns since when a run has been absent from every read of the list.
    pub(super) fn absent_since(&mut self, owner: &Owner, index: &HostIndex) -> Option<Moment> {
        if index.lists_run(owner) {
            self.0.remove(owner);
            return None;
        }
        Some(*self.0.entry(owner.clone()).or_insert(index.read_at))
    }
}
