//! Section `decisions`: the policy for admission, routing and role planning.

use std::time::Duration;

use smol_str::SmolStr;

use super::{Fault, Field, Location, Section, Slot, value};
use crate::{admit, configuration::Limits, cost, role, route};

/// Policies with their names in settings.
const POLICY_NAMES: [(&str, Policy); 5] = [
    ("planned", Policy::Planned),
    ("thin", Policy::Thin),
    ("static", Policy::Static),
    ("mixed", Policy::Mixed),
    ("greedy", Policy::Greedy),
];

/// Policy for admitting and routing requests and for planning the roles of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Policy {
    /// Weighted admission, routing by expected times, role changes when their gain exceeds their
    /// cost.
    #[default]
    Planned,
    /// Weighted admission, routing to the less loaded of two random targets, fixed roles.
    Thin,
    /// Admission in order of arrival, round-robin routing, fixed roles.
    Static,
    /// Admission in order of arrival, routing to the target with the fewest requests of this host,
    /// fixed roles.
    Mixed,
    /// Like `Planned`, but roles follow the current ratio of prefill to decode work.
    Greedy,
}

/// Settings of the policy and of the time scale.
#[derive(Debug, Clone, PartialEq)]
pub struct Decisions {
    /// Name of the policy.
    pub policy: SmolStr,
    /// Factor by which targets run faster than real time; above 1 only in experiments.
    pub time_scale: f64,
}

impl Default for Decisions {
    fn default() -> Decisions {
        Decisions { policy: Policy::Planned.name().into(), time_scale: 1.0 }
    }
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 5] =
        [Policy::Planned, Policy::Thin, Policy::Static, Policy::Mixed, Policy::Greedy];

    /// Returns the name used in settings.
    pub fn name(self) -> &'static str {
        POLICY_NAMES.iter().find(|it| it.1 == self).map_or("planned", |it| it.0)
    }

    /// Returns the policy with the given name in settings.
    pub fn from_name(name: &str) -> Option<Policy> {
        POLICY_NAMES.iter().find(|it| it.0 == name).map(|it| it.1)
    }
}

impl Decisions {
    /// Returns the policy, or the default one for an unknown name, which [`Section::check`]
    /// reports.
    pub fn policy(&self) -> Policy {
        Policy::from_name(&self.policy).unwrap_or_default()
    }

    /// Returns the router's configuration.
    pub fn route_config(&self) -> route::Config {
        let policy = match self.policy() {
            Policy::Planned | Policy::Greedy => route::Policy::Expected,
            Policy::Thin => route::Policy::TwoRandom,
            Policy::Static => route::Policy::RoundRobin,
            Policy::Mixed => route::Policy::LeastOutstanding,
        };
        let defaults =
            route::Config { policy, cost: self.cost_config(), ..route::Config::default() };
        route::Config {
            between_tokens: self.scaled(defaults.between_tokens),
            prefill_window: self.scaled(defaults.prefill_window),
            transfer_rate_near: defaults.transfer_rate_near * self.time_scale,
            transfer_rate_far: defaults.transfer_rate_far * self.time_scale,
            cache_half_life: self.scaled(defaults.cache_half_life),
            ..defaults
        }
    }

    /// Returns the priority that a plan's requests have in the engines' own queues.
    pub fn engine_priority(&self, limits: &Limits) -> i32 {
        match self.policy() {
            Policy::Planned | Policy::Greedy => {
                route::engine_priority(limits.priority, limits.first_token)
            }
            Policy::Thin | Policy::Static | Policy::Mixed => limits.priority,
        }
    }

    /// Returns the cost model's configuration.
    pub fn cost_config(&self) -> cost::Config {
        let defaults = cost::Config::default();
        cost::Config {
            prefill_rate: defaults.prefill_rate * self.time_scale,
            step_base: self.scaled(defaults.step_base),
            step_per_request: self.scaled(defaults.step_per_request),
            ..defaults
        }
    }

    /// Returns the configuration of admission.
    pub fn admission_config(&self) -> admit::Config {
        let policy = match self.policy() {
            Policy::Planned | Policy::Greedy | Policy::Thin => admit::Policy::Weighted,
            Policy::Static | Policy::Mixed => admit::Policy::Fifo,
        };
        admit::Config { policy, ..admit::Config::default() }
    }

    /// Returns the role planner's configuration.
    pub fn role_config(&self) -> role::Config {
        let policy = match self.policy() {
            Policy::Planned => role::Policy::Planned,
            Policy::Greedy => role::Policy::Greedy,
            Policy::Thin | Policy::Static | Policy::Mixed => role::Policy::Static,
        };
        let defaults = role::Config { policy, ..role::Config::default() };
        role::Config {
            fast_window: self.scaled(defaults.fast_window),
            slow_window: self.scaled(defaults.slow_window),
            horizon: self.scaled(defaults.horizon),
            change_time: self.scaled(defaults.change_time),
            cache_loss: self.scaled(defaults.cache_loss),
            dwell: self.scaled(defaults.dwell),
            cooldown: self.scaled(defaults.cooldown),
            departure_lead: self.scaled(defaults.departure_lead),
            load_time: self.scaled(defaults.load_time),
            ..defaults
        }
    }

    /// Converts a duration on the targets' clock to real time.
    fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.time_scale.max(1e-3))
    }
}

impl Section for Decisions {
    const NAME: &'static str = "decisions";
    const FIELDS: &'static [Field<Decisions>] = &[
        Field::optional(
            "policy",
            "Policy for admission, routing and roles: planned, thin, static, mixed or greedy.",
            |it| Slot::Name(&mut it.policy),
        ),
        Field::optional(
            "time_scale",
            "Factor by which targets run faster than real time; above 1 only in experiments.",
            |it| Slot::Number(&mut it.time_scale),
        ),
    ];

    fn check(&self, location: &Location, faults: &mut Vec<Fault>) {
        if Policy::from_name(&self.policy).is_none() {
            let expected = "`planned`, `thin`, `static`, `mixed` or `greedy`";
            faults.push(location.key("policy").fault(value::invalid_form(&self.policy, expected)));
        }
    }
}
