//! Views of the host list: the groups, the candidates for their leases, and absent runs.

use std::collections::{BTreeMap, BTreeSet};

use super::{Listing, group_of};
use crate::{
    clock::Moment,
    id,
    lease::{self, Intent, Owner},
    store::{Kind, State},
};

/// Added to the rank of every candidate for a lease except the preferred host, whose rank is 0. A
/// candidate with a higher rank waits longer before it acquires a free or expired
/// lease.
const NOT_PREFERRED_RANK_OFFSET: u32 = 5;

/// The host list, indexed for one tick.
#[derive(Debug)]
pub(super) struct HostIndex {
    /// When the read of the host list was sent.
    pub(super) read_at: Moment,
    /// Targets of each group, with the current run of each target.
    pub(super) groups: BTreeMap<id::Group, BTreeMap<id::Target, id::Incarnation>>,
    /// Listed entry hosts, whether live or leaving.
    pub(super) hosts: BTreeSet<id::Host>,
    /// Runs of the listed entry hosts.
    runs: BTreeSet<Owner>,
    /// Entry hosts that are not leaving.
    live: BTreeSet<id::Host>,
    /// Host that should hold each group's lease.
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
        let preferred = lease::assign(&groups.keys().cloned().collect(), &live);
        HostIndex { read_at: listing.read_at, groups, hosts, runs, live, preferred }
    }

    /// Returns whether the host list contains a run.
    pub(super) fn lists_run(&self, owner: &Owner) -> bool {
        self.runs.contains(owner)
    }

    /// Returns whether a host other than the owner's should hold the group's lease.
    pub(super) fn prefers_other(&self, group: &str, owner: &Owner) -> bool {
        self.preferred.get(group).is_some_and(|it| *it != owner.host)
    }

    /// Returns what a host that is not shutting down intends to do with a group's lease.
    ///
    /// A run that is missing from the host list acquires no lease, so that other hosts may treat
    /// its absence as proof that it has ended.
    pub(super) fn intent(&self, group: &str, owner: &Owner) -> Intent {
        if !self.lists_run(owner) || !self.live.contains(&owner.host) {
            return Intent::Keep;
        }
        if self.prefers_other(group, owner) {
            let rank = lease::rank(group, &self.live, &owner.host)
                .saturating_add(NOT_PREFERRED_RANK_OFFSET);
            return Intent::Acquire { rank };
        }
        Intent::Acquire { rank: 0 }
    }
}

/// Runs that are missing from the host list, with the time of the first read without them.
#[derive(Debug, Default)]
pub(super) struct Absences(BTreeMap<Owner, Moment>);

impl Absences {
    /// Returns the time since which a run has been missing from the host list.
    pub(super) fn absent_since(&mut self, owner: &Owner, index: &HostIndex) -> Option<Moment> {
        if index.lists_run(owner) {
            self.0.remove(owner);
            return None;
        }
        Some(*self.0.entry(owner.clone()).or_insert(index.read_at))
    }
}
