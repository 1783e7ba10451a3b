//! How much work a set of engines can do.

use crate::{role::Demand, target::Role};

/// Halvings of the interval in which the served part lies.
const HALVINGS: u32 = 30;

/// Engines by role, as engine seconds a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Supply {
    /// Engines that read prompts.
    pub prefill: f64,
    /// Engines that generate.
    pub decode: f64,
    /// Engines that do both.
    pub mixed: f64,
}

impl Supply {
    /// Returns the engines in a role.
    pub fn of(&self, role: Role) -> f64 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// Adds engines to a role; negative numbers take them away.
    pub fn with(mut self, role: Role, engines: f64) -> Supply {
        let it = match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        };
        *it = (*it + engines).max(0.0);
        self
    }

    /// Returns the part of `demand` that can be served, from 0 to 1.
    ///
    /// Each request needs both stages, so both are served in the same part. Mixed engines fill
    /// what the others leave open.
    pub fn served_part(&self, demand: Demand, efficiency: f64) -> f64 {
        let fits = |part: f64| {
            let prefill = (part * demand.prefill - self.prefill).max(0.0);
            let decode = (part * demand.decode - self.decode).max(0.0);
            prefill + decode <= self.mixed * efficiency
        };
        if fits(1.0) {
            return 1.0;
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..HALVINGS {
            let middle = (low + high) / 2.0;
            if fits(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Returns the work served, in engine seconds a second.
    pub fn served(&self, demand: Demand, efficiency: f64) -> f64 {
        self.served_part(demand, efficiency) * (demand.prefill + demand.decode)
    }
}
