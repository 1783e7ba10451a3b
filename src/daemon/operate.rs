//! What the operators' port shows and does on this host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use crate::{
    clock,
    operate::{
        self, Access, Control, Editor, Port, Service,
        wire::{Group, Released, Request, Target},
    },
    platform::{Kind, Machine, State},
    serve::{Context, Entry},
    target::Report,
};

/// Opens the operators' port.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub(super) fn open(ctx: &Arc<Context>, address: SocketAddr) -> Result<Port, operate::Unavailable> {
    let settings = &ctx.settings;
    let bound = settings.host.configuration_bound;
    let (refresh, membership) = (ctx.refresh.clone(), ctx.members.clone());
    let editor = Editor::new(refresh.clone(), membership.clone(), bound, settings.peers.silence);
    let access = Access::from(settings.host.operators_key_hash.clone());
    let control = Host { ctx: Arc::clone(ctx) };
    let metrics = ctx.metrics.clone();
    operate::serve(address, Service { access, editor, refresh, membership, control, metrics })
}

/// Shows operators what the requests of this host share.
#[derive(Debug)]
struct Host {
    ctx: Arc<Context>,
}

impl Control for Host {
    fn groups(&self) -> Vec<Group> {
        Vec::new()
    }

    fn targets(&self) -> Vec<Target> {
        let mut targets: Vec<Target> =
            self.ctx.fleet.targets().iter().map(|(machine, it)| target(machine, it)).collect();
        targets.sort_by(|a, b| a.target.cmp(&b.target));
        targets
    }

    fn requests(&self) -> Vec<Request> {
        self.ctx.register.list().iter().map(Request::from).collect()
    }

    fn release(&self, _target: &str, _author: &SmolStr) -> Released {
        Released::NothingToRelease
    }
}

fn target(machine: &Machine, report: &Option<Report>) -> Target {
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

impl From<&Entry> for Request {
    fn from(it: &Entry) -> Request {
        Request {
            request: it.request.clone(),
            customer: it.customer.clone(),
            plan: it.plan.clone(),
            asks: it.asks.clone(),
            target: it.target.clone(),
            attempts: it.attempts,
            age_ms: millis(it.age(clock::now())),
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
