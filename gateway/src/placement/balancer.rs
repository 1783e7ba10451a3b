//! Load balancing of the requests to plain services.

use std::hash::{Hash, Hasher};

use crate::targets::registry::Key;

/// Cost of a target in another data centre, in requests per slot.
const REMOTE_COST: f64 = 0.1;
/// Cost of a target with a failure rate of 1, in requests per slot; scales with the failure rate.
const FAILURE_COST: f64 = 2.0;

/// A target that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Key of the target in the registry.
    pub key: Key,
    /// Requests of all hosts in flight there.
    pub requests: u32,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in this host's data centre.
    pub is_local: bool,
    /// Share of recent requests that failed there, from 0 to 1.
    pub failure_rate: f64,
}

impl Candidate {
    fn cost(&self) -> f64 {
        let remote = if self.is_local { 0.0 } else { REMOTE_COST };
        f64::from(self.requests) / f64::from(self.slots.max(1))
            + remote
            + self.failure_rate * FAILURE_COST
    }
}

/// Returns the candidate with the lowest cost; the random number `draw` breaks ties.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<Key> {
    let min_cost = candidates.iter().map(Candidate::cost).min_by(f64::total_cmp)?;
    let best: Vec<Key> =
        candidates.iter().filter(|it| it.cost() <= min_cost).map(|it| it.key).collect();
    let index = usize::try_from(draw % best.len() as u64).unwrap_or_default();
    best.get(index).copied()
}

/// Returns the rendezvous hash of a target and a prompt part; the same on all hosts.
pub fn rendezvous_hash(target: &str, part: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    target.hash(&mut hasher);
    part.hash(&mut hasher);
    hasher.finish()
}
