//! Section `decisions`.

use std::time::Duration;

use smol_str::SmolStr;

use super::{Fault, Field, Place, Section, Slot, value};
use crate::{admit, configuration::Limits, cost, role, route};

/// Names of the policies, as the settings have them.
const POLICIES: [(&str, Policy); 5] = [
    ("planned", Policy::Planned),
    ("thin", Policy::Thin),
    ("static", Policy::Static),
    ("mixed", Policy::Mixed),
    ("greedy", Policy::Greedy),
];

/// How requests are admitted and routed, and roles planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Policy {
    /// Weighted admission, routing by expected course, roles by gain against cost.
    #[default]
    Planned,
    /// Weighted admission, the less loaded of two random targets, fixed roles.
    Thin,
    /// Limits only, each target in turn, fixed roles.
    Static,
    /// Limits only, the target with the fewest requests of this host, fixed roles.
    Mixed,
    /// As `Planned`, but roles follow the ratio of the moment.
    Greedy,
}

/// How decisions are made.
#[derive(Debug, Clone, PartialEq)]
pub struct Decisions {
    /// Name of the policy.
    pub policy: SmolStr,
    /// Seconds of the targets' life in one second; above 1 only in experiments.
    pub time_scale: f64,
}

impl Default for Decisions {
    fn default() -> Decisions {
        Decisions { policy: Policy::Planned.name().into(), time_scale: 1.0 }
    }
}

impl Policy {
    /// Every policy.
    pub const ALL: [Policy; 5] =
        [Policy::Planned, Policy::Thin, Policy::Static, Policy::Mixed, Policy::Greedy];

    /// Returns the name used in settings.
    pub fn name(self) -> &'static str {
        POLICIES.iter().find(|it| it.1 == self).map_or("planned", |it| it.0)
    }

    /// Returns the policy of a name.
    pub fn named(name: &str) -> Option<Policy> {
        POLICIES.iter().find(|it| it.0 == name).map(|it| it.1)
    }
}

impl Decisions {
    /// Returns the policy; the default one for an unknown name, which the check refuses.
    pub fn policy(&self) -> Policy {
        Policy::named(&self.policy).unwrap_or_default()
    }

    /// Returns the settings of the router.
    pub fn route(&self) -> route::Config {
        let policy = match self.policy() {
            Policy::Planned | Policy::Greedy => route::Policy::Expected,
            Policy::Thin => route::Policy::TwoRandom,
            Policy::Static => route::Policy::RoundRobin,
            Policy::Mixed => route::Policy::LeastOutstanding,
        };
        let it = route::Config { policy, cost: self.cost(), ..route::Config::default() };
        route::Config {
            between_tokens: self.scaled(it.between_tokens),
            prefill_window: self.scaled(it.prefill_window),
            transfer_rate_near: it.transfer_rate_near * self.time_scale,
            transfer_rate_far: it.transfer_rate_far * self.time_scale,
            cache_half_life: self.scaled(it.cache_half_life),
            ..it
        }
    }

    /// Returns the priority at the engines of a plan's requests.
    pub fn priority(&self, limits: &Limits) -> i32 {
        match self.policy() {
            Policy::Planned | Policy::Greedy => {
                route::engine_priority(limits.priority, limits.first_token)
            }
            Policy::Thin | Policy::Static | Policy::Mixed => limits.priority,
        }
    }

    /// Returns the settings of the cost model.
    pub fn cost(&self) -> cost::Config {
        let it = cost::Config::default();
        cost::Config {
            prefill_rate: it.prefill_rate * self.time_scale,
            step_base: self.scaled(it.step_base),
            step_per_request: self.scaled(it.step_per_request),
            ..it
        }
    }

    /// Returns the settings of admission.
    pub fn admit(&self) -> admit::Config {
        let policy = match self.policy() {
            Policy::Planned | Policy::Greedy | Policy::Thin => admit::Policy::Weighted,
            Policy::Static | Policy::Mixed => admit::Policy::Fifo,
        };
        admit::Config { policy, ..admit::Config::default() }
    }

    /// Returns the settings of the planner.
    pub fn role(&self) -> role::Config {
        let policy = match self.policy() {
            Policy::Planned => role::Policy::Planned,
            Policy::Greedy => role::Policy::Greedy,
            Policy::Thin | Policy::Static | Policy::Mixed => role::Policy::Static,
        };
        let it = role::Config { policy, ..role::Config::default() };
        role::Config {
            fast_window: self.scaled(it.fast_window),
            slow_window: self.scaled(it.slow_window),
            horizon: self.scaled(it.horizon),
            change_time: self.scaled(it.change_time),
            cache_loss: self.scaled(it.cache_loss),
            dwell: self.scaled(it.dwell),
            cooldown: self.scaled(it.cooldown),
            departure_lead: self.scaled(it.departure_lead),
            load_time: self.scaled(it.load_time),
            ..it
        }
    }

    fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.time_scale.max(1e-3))
    }
}

impl Section for Decisions {
    const NAME: &'static str = "decisions";
    const FIELDS: &'static [Field<Decisions>] = &[
        Field::optional(
            "policy",
            "How requests are admitted and routed: planned, thin, static, mixed or greedy.",
            |it| Slot::Name(&mut it.policy),
        ),
        Field::optional(
            "time_scale",
            "Seconds of the targets' life in one second; above 1 only in experiments.",
            |it| Slot::Number(&mut it.time_scale),
        ),
    ];

    fn check(&self, place: &Place, faults: &mut Vec<Fault>) {
        if Policy::named(&self.policy).is_none() {
            let expected = "`planned`, `thin`, `static`, `mixed` or `greedy`";
            faults.push(place.key("policy").fault(value::form(&self.policy, expected)));
        }
    }
}
