//! Adapters that give [`authority`] access to this host's fleet and to the other entry hosts.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
};

use crate::{
    authority::{self, Listing},
    id,
    link::peer::wire::{DrainQuestion, DrainStatus, StopQuestion, StopStatus},
    order,
    serve::{Context, Members},
    store, target,
};

/// Authority of this host over groups of targets.
pub(super) type Authority = authority::Authority<store::Client, FleetAdapter, PeerAdapter>;

/// Access to the targets of the fleet, for this host's authority.
#[derive(Debug)]
pub(super) struct FleetAdapter {
    ctx: Arc<Context>,
    /// Targets that the router currently excludes because of a drain.
    drained: Mutex<BTreeSet<id::Target>>,
}

impl FleetAdapter {
    pub(super) fn new(ctx: Arc<Context>) -> FleetAdapter {
        FleetAdapter { ctx, drained: Mutex::default() }
    }
}

impl authority::Fleet for FleetAdapter {
    type Control = target::Client;

    fn listing(&self) -> Listing {
        let host_list = self.ctx.members.host_list();
        Listing { machines: host_list.machines, read_at: host_list.read_at }
    }

    fn control(&self, target: &str) -> Option<target::Client> {
        self.ctx.fleet.client(target)
    }

    fn set_drained(&self, targets: &BTreeSet<id::Target>) {
        let mut drained = self.drained.lock().expect("drain lock poisoned");
        let mut router = self.ctx.fleet.lock_router();
        for ended in drained.difference(targets) {
            router.set_drained(ended, false);
        }
        // Repeated for targets that were drained before: the router may have lacked one of them
        // until now.
        for target in targets {
            router.set_drained(target, true);
        }
        drained.clone_from(targets);
    }

    fn has_requests(&self, target: &str) -> bool {
        self.ctx.fleet.has_requests(target)
    }
}

/// Access to the other entry hosts over the peer links, for this host's authority.
#[derive(Debug)]
pub(super) struct PeerAdapter(pub(super) Members);

impl authority::Peers for PeerAdapter {
    fn has_stopped(&self, group: &id::Group, earlier: &order::Tenure) -> Option<bool> {
        let owner = &earlier.owner;
        let address = self.0.run_peer_address(&owner.host, owner.incarnation)?;
        let question = StopQuestion {
            group: group.clone(),
            incarnation: owner.incarnation,
            epoch: earlier.epoch,
        };
        match self.0.links().stop_status(address, question).ok()? {
            StopStatus::Stopped => Some(true),
            StopStatus::Holding => Some(false),
            StopStatus::Unknown => None,
        }
    }

    fn has_drained(
        &self,
        host: &id::Host,
        group: &id::Group,
        target: &id::Target,
        revision: id::Version,
    ) -> Option<bool> {
        let address = self.0.peer_address(host)?;
        let question = DrainQuestion { group: group.clone(), target: target.clone(), revision };
        match self.0.links().drain_status(address, question).ok()? {
            DrainStatus::Drained => Some(true),
            DrainStatus::Busy => Some(false),
            DrainStatus::Unseen => None,
        }
    }
}
