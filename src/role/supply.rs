//! How much demand a set of engines can serve.

use crate::{role::Demand, target::Role};

/// Steps of the bisection for the served fraction.
const BISECTION_STEPS: u32 = 30;

/// Number of engines by role; each engine supplies one engine-second per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Supply {
    /// Engines that run prefill.
    pub prefill: f64,
    /// Engines that decode.
    pub decode: f64,
    /// Engines that do both.
    pub mixed: f64,
}

impl Supply {
    /// Returns the number of engines in a role.
    pub fn of(&self, role: Role) -> f64 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// Adds engines to a role, or removes them if negative, down to zero.
    pub fn with(mut self, role: Role, engines: f64) -> Supply {
        let it = match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        };
        *it = (*it + engines).max(0.0);
        self
    }

    /// Returns the fraction of `demand` that can be served, from 0 to 1.
    ///
    /// A request needs both prefill and decode, so the same fraction of both is served. Mixed
    /// engines, at `efficiency`, serve what the engines of the other roles can't.
    pub fn served_fraction(&self, demand: Demand, efficiency: f64) -> f64 {
        let fits = |fraction: f64| {
            let prefill = (fraction * demand.prefill - self.prefill).max(0.0);
            let decode = (fraction * demand.decode - self.decode).max(0.0);
            prefill + decode <= self.mixed * efficiency
        };
        if fits(1.0) {
            return 1.0;
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            if fits(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Returns the demand that can be served, in engine-seconds per second.
    pub fn served(&self, demand: Demand, efficiency: f64) -> f64 {
        self.served_fraction(demand, efficiency) * (demand.prefill + demand.decode)
    }
}
