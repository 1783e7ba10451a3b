//! State and actions of this host on the operators' port.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::adapters::Authority;
use crate::{
    authority::{DrainView, GroupView, OrderView, group_of},
    clock,
    operate::{
        self, Access, Control, Editor, Port, Service,
        wire::{Drain, Group, Order, ReleaseOutcome, Request, Target},
    },
    serve::{Context, OpenRequest},
    store::{Kind, Machine, State},
    target::Report,
};

/// Starts to serve the operators' port.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub(super) fn open_port(
    ctx: &Arc<Context>,
    authority: &Authority,
    address: SocketAddr,
) -> Result<Port, operate::ListenError> {
    let settings = &ctx.settings;
    let bound = settings.host.configuration_bound;
    let (refresh, membership) = (ctx.refresher.clone(), ctx.members.clone());
    let editor = Editor::new(refresh.clone(), membership.clone(), bound, settings.peers.silence);
    let access = Access::from(settings.host.operators_key_hash.clone());
    let control = HostControl { ctx: Arc::clone(ctx), authority: authority.clone() };
    let metrics = ctx.metrics.clone();
    operate::serve(address, Service { access, editor, refresh, membership, control, metrics })
}

/// Gives the operators' port access to the state and the actions of this host.
#[derive(Debug)]
struct HostControl {
    ctx: Arc<Context>,
    authority: Authority,
}

impl Control for HostControl {
    fn groups(&self) -> Vec<Group> {
        self.authority.view().groups.into_iter().map(Group::from).collect()
    }

    fn targets(&self) -> Vec<Target> {
        let mut targets: Vec<Target> = self
            .ctx
            .fleet
            .targets()
            .iter()
            .map(|(machine, it)| target_entry(machine, it))
            .collect();
        targets.sort_by(|a, b| a.target.cmp(&b.target));
        targets
    }

    fn requests(&self) -> Vec<Request> {
        self.ctx.requests.list().iter().map(Request::from).collect()
    }

    fn release(&self, target: &str, author: &SmolStr) -> ReleaseOutcome {
        let targets = self.ctx.fleet.targets();
        let machine = targets.iter().map(|(it, _)| it).find(|it| it.name == target);
        let Some(group) = machine.and_then(group_of) else {
            return ReleaseOutcome::NothingToRelease;
        };
        match self.authority.release(&group, target) {
            Ok(true) => {
                log::info!("operator {author} released the pending order of {target}");
                ReleaseOutcome::Recorded
            }
            Ok(false) => ReleaseOutcome::NothingToRelease,
            Err(fault) => ReleaseOutcome::Failed { message: fault.to_string() },
        }
    }
}

impl From<GroupView> for Group {
    fn from(it: GroupView) -> Group {
        let held_back = it.orders.iter().filter(|it| it.pending && !it.released);
        let held_back = held_back.filter(|order| order.sender != it.holder);
        let held_back = held_back.map(|it| it.target.clone()).collect();
        let order = |order: OrderView| Order {
            target: order.target,
            action: format_smolstr!("{:?}", order.action),
            epoch: it.epoch,
        };
        let drain = |it: DrainView| Drain {
            target: it.target,
            purpose: SmolStr::new_static(it.purpose),
            complete: it.complete,
            waiting: it.waiting,
        };
        Group {
            group: it.group,
            holder: it.holder,
            epoch: it.epoch,
            revision: it.revision,
            pending: it.orders.into_iter().filter(|it| it.pending).map(order).collect(),
            drains: it.drains.into_iter().map(drain).collect(),
            held_back,
        }
    }
}

fn target_entry(machine: &Machine, report: &Option<Report>) -> Target {
    let report = report.as_ref();
    let serves = match &machine.kind {
        Kind::Engine(name) | Kind::Service(name) => name.clone(),
        Kind::Entry => SmolStr::default(),
    };
    let role = report.and_then(|it| it.role);
    Target {
        target: machine.name.clone(),
        data_centre: machine.data_centre.clone(),
        serves,
        role: role.map(|it| format_smolstr!("{it:?}").to_lowercase().into()),
        serving: report.map(|it| it.serving),
        checks_fence: report.map(|it| it.checks_fence),
        leaving: machine.state == State::Leaving,
        running: report.map_or(0, |it| it.running),
        waiting: report.map_or(0, |it| it.queued),
        report_age_ms: report.map(|it| millis(it.age)),
    }
}

impl From<&OpenRequest> for Request {
    fn from(it: &OpenRequest) -> Request {
        Request {
            request: it.request_id.clone(),
            customer: it.customer.clone(),
            plan: it.plan.clone(),
            asks: it.model_or_service.clone(),
            target: it.target.clone(),
            attempts: it.attempts,
            age_ms: millis(it.age(clock::now())),
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
