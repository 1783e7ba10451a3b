//! Which host should hold which group's lease.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::id;

/// Assigns each group to a host by rendezvous hashing, with no host given more than its even part.
///
/// Every host computes the same result from the same groups and hosts. Leave hosts that are leaving
/// out of `hosts`.
pub fn spread(
    groups: &BTreeSet<id::Group>,
    hosts: &BTreeSet<id::Host>,
) -> BTreeMap<id::Group, id::Host> {
    if hosts.is_empty() {
        return BTreeMap::new();
    }
    let most = groups.len().div_ceil(hosts.len());
    let mut counts: BTreeMap<&id::Host, usize> = BTreeMap::new();
    let mut assigned = BTreeMap::new();
    for group in groups {
        let host = ranked(group, hosts)
            .into_iter()
            .find(|it| counts.get(it).copied().unwrap_or(0) < most)
            .expect("the even parts add up to at least the number of groups");
        *counts.entry(host).or_default() += 1;
        assigned.insert(group.clone(), host.clone());
    }
    assigned
}

/// Returns the place of `host` among the candidates for a group, from 0.
pub fn rank(group: &str, hosts: &BTreeSet<id::Host>, host: &str) -> u32 {
    let place = ranked(group, hosts).iter().position(|it| *it == host);
    place.map_or(u32::MAX, |it| u32::try_from(it).unwrap_or(u32::MAX))
}

fn ranked<'a>(group: &str, hosts: &'a BTreeSet<id::Host>) -> Vec<&'a id::Host> {
    let mut ranked: Vec<&id::Host> = hosts.iter().collect();
    ranked.sort_by_key(|it| Reverse(score(group, it)));
    ranked
}

fn score(group: &str, host: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(group.as_bytes());
    hasher.update(b"\n");
    hasher.update(host.as_bytes());
    *hasher.finalize().as_bytes()
}
