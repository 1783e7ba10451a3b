//! Which host places the requests of all hosts.
//!
//! Pattern: many hosts hear of each other late, and a vote by what each one heard makes them change
//! sides together, again and again. A host that begins to place requests claims that instead, and
//! the others keep to the claim that has stood longest.

use std::{cmp::Reverse, time::Duration};

use fuchsiaknot_core::{clock::Moment, id};

/// Claims closer than this count as equally old, since each host measures them a little differently.
const CLAIM_AGE_TOLERANCE: Duration = Duration::from_millis(500);
/// Part of the largest cpu_millicores that a host needs to place requests.
const MIN_CAPACITY_RATIO: f64 = 0.6;

/// A host that could place the requests of all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the host.
    pub name: id::Host,
    /// Processor that it may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Since when it claims to place the requests of all; `None` when it does not.
    pub claimed_at: Option<Moment>,
}

/// Returns the host that places the requests of all: the one with the oldest claim among the large
/// ones, or the largest when nobody claims it.
pub fn elect(candidates: &[Candidate]) -> Option<&Candidate> {
    let largest = candidates.iter().map(|it| it.cpu_millicores).max()?;
    let is_large =
        |it: &&Candidate| f64::from(largest) * MIN_CAPACITY_RATIO <= f64::from(it.cpu_millicores);
    let large: Vec<&Candidate> = candidates.iter().filter(is_large).collect();
    let oldest = large.iter().filter_map(|it| it.claimed_at).min();
    let stands = |it: &Candidate| match (oldest, it.claimed_at) {
        (Some(oldest), Some(claimed_at)) => claimed_at < oldest + CLAIM_AGE_TOLERANCE,
        (Some(_), None) => false,
        (None, _) => true,
    };
    let standing = large.into_iter().filter(|it| stands(it));
    standing.min_by_key(|it| (Reverse(it.cpu_millicores), &it.name))
}
