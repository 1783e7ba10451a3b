//! Election of the dispatcher, the host that places the requests of all hosts.
//!
//! With many hosts, heartbeats arrive late. If each host simply elected the best one it has heard
//! from, the hosts would switch together, again and again. Instead, a host that becomes dispatcher
//! claims the role, and the others follow the oldest claim.

use std::{cmp::Reverse, time::Duration};

use fuchsiaknot_core::{clock::Moment, id};

/// Difference in age up to which claims count as equally old, because each host measures them a
/// little differently.
const CLAIM_AGE_TOLERANCE: Duration = Duration::from_millis(500);
/// Fraction of the largest CPU share that a host needs to be dispatcher.
const MIN_CPU_RATIO: f64 = 0.6;

/// A host that can be dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the host.
    pub name: id::Host,
    /// CPU share of the host, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Time since which it claims to be dispatcher; `None` without a claim.
    pub claimed_at: Option<Moment>,
}

/// Returns the dispatcher: among the hosts with a large enough CPU share, the one with the oldest
/// claim, or the largest if none has a claim. Of claims of equal age, that of the largest host
/// counts.
pub fn elect(candidates: &[Candidate]) -> Option<&Candidate> {
    let largest = candidates.iter().map(|it| it.cpu_millicores).max()?;
    let is_large =
        |it: &&Candidate| f64::from(largest) * MIN_CPU_RATIO <= f64::from(it.cpu_millicores);
    let large: Vec<&Candidate> = candidates.iter().filter(is_large).collect();
    let oldest = large.iter().filter_map(|it| it.claimed_at).min();
    let is_eligible = |it: &Candidate| match (oldest, it.claimed_at) {
        (Some(oldest), Some(claimed_at)) => claimed_at < oldest + CLAIM_AGE_TOLERANCE,
        (Some(_), None) => false,
        (None, _) => true,
    };
    let eligible = large.into_iter().filter(|it| is_eligible(it));
    eligible.min_by_key(|it| (Reverse(it.cpu_millicores), &it.name))
}
