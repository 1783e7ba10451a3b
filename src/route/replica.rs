//! What is known of one target: its role, load, prefix cache and health.

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

pub(super) use self::{cache::Cache, health::Health, load::Load};

new_key_type! {
    /// Names a target within the router.
    pub(super) struct ReplicaKey;
}

/// One target as this host sees it.
#[derive(Debug, Clone)]
pub(super) struct Replica {
    pub(super) name: id::Target,
    pub(super) data_centre: id::DataCentre,
    pub(super) serves: SmolStr,
    pub(super) engine: bool,
    pub(super) incarnation: id::Incarnation,
    pub(super) role: Role,
    pub(super) leaving: bool,
    pub(super) drained: bool,
    pub(super) serving: bool,
    pub(super) load: Load,
    pub(super) cache: Cache,
    pub(super) health: Health,
}

impl Replica {
    pub(super) fn new(machine: &store::Machine, config: &Config) -> Option<Replica> {
        let (serves, engine) = match &machine.kind {
            store::Kind::Entry => return None,
            store::Kind::Engine(model) => (model.clone(), true),
            store::Kind::Service(service) => (service.clone(), false),
        };
        Some(Replica {
            name: machine.name.clone(),
            data_centre: machine.data_centre.clone(),
            serves,
            engine,
            incarnation: machine.incarnation,
            role: Role::Mixed,
            leaving: machine.state == store::State::Leaving,
            drained: false,
            serving: true,
            load: Load::new(config.service_slots),
            cache: Cache::new(config.max_cache_pieces, config.cache_half_life),
            health: Health::default(),
        })
    }

    /// Takes over what a new run of the target's process invalidates.
    pub(super) fn restarted(&mut self, incarnation: id::Incarnation, config: &Config) {
        self.incarnation = incarnation;
        self.serving = true;
        self.load.forget();
        self.cache = Cache::new(config.max_cache_pieces, config.cache_half_life);
        self.health = Health::default();
    }

    /// Takes in a load report; returns false for one that is older than what is known.
    pub(super) fn report(&mut self, report: &Report, rate: f64, now: Moment) -> bool {
        if !self.load.report(report, rate, now) {
            return false;
        }
        self.serving = report.serving;
        self.serves = report.serves.clone();
        if let Some(role) = report.role {
            self.role = role;
        }
        true
    }

    /// Returns whether new work may be sent here.
    pub(super) fn usable(&self, now: Moment) -> bool {
        !self.leaving && !self.drained && self.serving && self.health.usable(now)
    }
}
