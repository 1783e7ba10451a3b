//! The retries that a plan may make, as a share of its first tries.

use crate::retry::Policy;

/// Retry budget of one plan on one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    share: f64,
    reserve: f64,
    left: f64,
}

impl Budget {
    /// Creates a budget with its whole reserve.
    pub fn new(policy: &Policy) -> Budget {
        Budget { share: policy.share, reserve: policy.reserve, left: policy.reserve }
    }

    /// Notes the first try of a request.
    pub fn first_try(&mut self) {
        self.left = (self.left + self.share).min(self.reserve);
    }

    /// Takes one retry; returns false when the budget is used up.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
