//! Bounds a plan's retries to a fraction of its requests.

use crate::retry::Policy;

/// Retry budget of one plan on one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// Retries earned by each request.
    ratio: f64,
    /// Largest number of retries left.
    capacity: f64,
    /// Retries left.
    left: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(policy: &Policy) -> Budget {
        Budget {
            ratio: policy.budget_ratio,
            capacity: policy.budget_capacity,
            left: policy.budget_capacity,
        }
    }

    /// Adds what a request earns with its first attempt.
    pub fn record_first_attempt(&mut self) {
        self.left = (self.left + self.ratio).min(self.capacity);
    }

    /// Takes one retry; returns false if less than one is left.
    pub fn try_take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
