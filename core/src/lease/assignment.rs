//! Assignment of groups to the hosts that should hold their leases.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::id;

/// Assigns each group to a host by rendezvous hashing, with at most an even share for each host.
///
/// Every host computes the same assignment from the same groups and hosts. `hosts` must not contain
/// hosts that are shutting down.
pub fn assign(
    groups: &BTreeSet<id::Group>,
    hosts: &BTreeSet<id::Host>,
) -> BTreeMap<id::Group, id::Host> {
    if hosts.is_empty() {
        return BTreeMap::new();
    }
    let max_per_host = groups.len().div_ceil(hosts.len());
    let mut counts: BTreeMap<&id::Host, usize> = BTreeMap::new();
    let mut assigned = BTreeMap::new();
    for group in groups {
        let host = ranked(group, hosts)
            .into_iter()
            .find(|it| counts.get(it).copied().unwrap_or(0) < max_per_host)
            .expect("the even shares add up to at least the number of groups");
        *counts.entry(host).or_default() += 1;
        assigned.insert(group.clone(), host.clone());
    }
    assigned
}

/// Returns the position of `host` in the group's order of preference, from 0; `u32::MAX` when it is
/// not among `hosts`.
pub fn rank(group: &str, hosts: &BTreeSet<id::Host>, host: &str) -> u32 {
    let position = ranked(group, hosts).iter().position(|it| *it == host);
    position.map_or(u32::MAX, |it| u32::try_from(it).unwrap_or(u32::MAX))
}

fn ranked<'a>(group: &str, hosts: &'a BTreeSet<id::Host>) -> Vec<&'a id::Host> {
    let mut ranked: Vec<&id::Host> = hosts.iter().collect();
    ranked.sort_by_key(|it| Reverse(weight(group, it)));
    ranked
}

/// Returns the weight of rendezvous hashing; the host with the largest weight is preferred.
fn weight(group: &str, host: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(group.as_bytes());
    hasher.update(b"\n");
    hasher.update(host.as_bytes());
    *hasher.finalize().as_bytes()
}
