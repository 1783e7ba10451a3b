//! Which target of a plain service a request goes to.

use std::hash::{Hash, Hasher};

use crate::registry::Key;

/// Part of a slot that a target in another data centre must be freer by.
const REMOTE_COST: f64 = 0.1;
/// Cost of a target whose recent requests all failed, in units of its slots.
const FAILURE_COST: f64 = 2.0;

/// A target that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The target.
    pub key: Key,
    /// Requests of all hosts under way there.
    pub requests: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in this host's data centre.
    pub is_local: bool,
    /// Share of recent requests that failed there.
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

/// Returns the candidate with the lowest cost; `draw` decides between equal ones.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<Key> {
    let least = candidates.iter().map(Candidate::cost).min_by(f64::total_cmp)?;
    let best: Vec<Key> =
        candidates.iter().filter(|it| it.cost() <= least).map(|it| it.key).collect();
    let at = usize::try_from(draw % best.len() as u64).unwrap_or_default();
    best.get(at).copied()
}

/// Returns a number for a pair that all hosts compute alike.
pub fn rendezvous_hash(target: &str, part: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    target.hash(&mut hasher);
    part.hash(&mut hasher);
    hasher.finish()
}
