//! What is known of one target as this host sees it: role, load, prefix cache and health.

mod cache;
mod health;
mod load;

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::{
    clock::Moment,
    id,
    route::Config,
    store,
    target::{Report, Role},
};

pub(super) use self::{cache::CacheView, health::Health, load::Load};

new_key_type! {
    /// Key of a target within the router.
    pub(super) struct ReplicaKey;
}

/// What this host knows of one target, which is an engine or a replica of a plain service.
#[derive(Debug, Clone)]
pub(super) struct Replica {
    pub(super) name: id::Target,
    pub(super) data_centre: id::DataCentre,
    /// Name of the model or service that the target serves.
    pub(super) serves: SmolStr,
    pub(super) is_engine: bool,
    pub(super) incarnation: id::Incarnation,
    pub(super) role: Role,
    /// Whether the platform lists the target as leaving.
    pub(super) leaving: bool,
    /// Whether the target is being drained.
    pub(super) drained: bool,
    /// Whether the target reported that it accepts requests.
    pub(super) serving: bool,
    pub(super) load: Load,
    pub(super) cache: CacheView,
    pub(super) health: Health,
}

impl Replica {
    /// Creates a target without reports; `None` for an entry host.
    pub(super) fn new(machine: &store::Machine, config: &Config) -> Option<Replica> {
        let (serves, is_engine) = match &machine.kind {
            store::Kind::Entry => return None,
            store::Kind::Engine(model) => (model.clone(), true),
            store::Kind::Service(service) => (service.clone(), false),
        };
        Some(Replica {
            name: machine.name.clone(),
            data_centre: machine.data_centre.clone(),
            serves,
            is_engine,
            incarnation: machine.incarnation,
            role: Role::Mixed,
            leaving: machine.state == store::State::Leaving,
            drained: false,
            serving: true,
            load: Load::new(config.service_slots),
            cache: CacheView::new(config.max_cache_pieces, config.cache_half_life),
            health: Health::default(),
        })
    }

    /// Discards what a new incarnation of the target's process makes invalid.
    pub(super) fn reset(&mut self, incarnation: id::Incarnation, config: &Config) {
        self.incarnation = incarnation;
        self.serving = true;
        self.load.reset();
        self.cache = CacheView::new(config.max_cache_pieces, config.cache_half_life);
        self.health = Health::default();
    }

    /// Records a load report; returns false for one that isn't newer than the last.
    ///
    /// `rate` is the rate at which the prefill queue shrinks, in prompt tokens per second.
    pub(super) fn record_report(&mut self, report: &Report, rate: f64, now: Moment) -> bool {
        if !self.load.record_report(report, rate, now) {
            return false;
        }
        self.serving = report.serving;
        self.serves = report.serves.clone();
        if let Some(role) = report.role {
            self.role = role;
        }
        true
    }

    /// Returns whether new requests may be sent to the target.
    pub(super) fn usable(&self, now: Moment) -> bool {
        !self.leaving && !self.drained && self.serving && self.health.usable(now)
    }
}
