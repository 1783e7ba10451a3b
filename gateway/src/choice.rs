//! Which target a request goes to.
//!
//! The cost of a target is the time until it would have read the request's prompt: the work that
//! waits there, and the part of the prompt that its cache lacks. Requests with the same shared parts
//! agree on a first target without asking each other, by rendezvous hashing.

use std::hash::{Hash, Hasher};

use crate::{load::Work, prompt::Prompt, registry::Key};

/// Prompt tokens that weigh as much as one request under way.
const TOKENS_PER_REQUEST: f64 = 400.0;
/// Part of a request's cost that a cross-data-centre target adds.
const REMOTE_COST: f64 = 0.05;
/// Cost added for each unit of the share of recent failures.
const FAILURE_COST: f64 = 4.0;

/// A target that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The target.
    pub key: Key,
    /// Number that all hosts derive alike from the target's identity.
    pub hash: u64,
    /// Work of all hosts under way there.
    pub work: Work,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in this host's data centre.
    pub is_near: bool,
    /// Share of recent requests that failed there.
    pub failures: f64,
    /// Tokens of the prompt that its cache is believed to hold.
    pub cached: u64,
}

/// Returns the candidate with the lowest cost.
pub fn choose(prompt: &Prompt, candidates: &[Candidate], draw: u64) -> Option<Key> {
    let costs = candidates.iter().map(|it| (it, cost(prompt, it)));
    let best = costs.min_by(|(a, a_cost), (b, b_cost)| {
        let order = a_cost.total_cmp(b_cost);
        order.then_with(|| (a.hash ^ draw).cmp(&(b.hash ^ draw)))
    });
    best.map(|(it, _)| it.key)
}

fn cost(prompt: &Prompt, candidate: &Candidate) -> f64 {
    let work = candidate.work;
    let missing = prompt.tokens.saturating_sub(candidate.cached);
    let tokens = (work.prompt_tokens + missing) as f64 / TOKENS_PER_REQUEST;
    let slots = f64::from(candidate.slots.max(1));
    let requests = f64::from(work.requests);
    let full = if f64::from(candidate.slots) <= requests { requests - slots + 1.0 } else { 0.0 };
    let remote = if candidate.is_near { 0.0 } else { REMOTE_COST };
    tokens + requests / slots * 8.0 + full * 4.0 + remote + candidate.failures * FAILURE_COST
}

/// Returns a number for a pair that all hosts compute alike.
pub fn rendezvous(target: &str, part: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    target.hash(&mut hasher);
    part.hash(&mut hasher);
    hasher.finish()
}
