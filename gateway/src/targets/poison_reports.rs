//! Reports runs that targets broke off, and answers to suspected requests and parts, to the other
//! hosts, and applies their reports.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::{clock, id, verdict::Reason};
use rand::seq::IteratorRandom as _;
use tokio::time::sleep;

use crate::{
    cluster::peers::{self, Packet},
    context::Context,
    entry::{forward::Forwarder, job::Job},
    targets::{poison_part::Block, registry::Key, target::Run},
};

/// Time from its first event on for which a run that breaks off may have crashed its target.
const EARLY_TIME: Duration = Duration::from_millis(500);
/// Time from its first event on after which a run did not crash its target.
const SOUND_TIME: Duration = Duration::from_secs(1);
/// Interval at which blocks are reported to some hosts again, for those that missed a report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of hosts that get such a report.
const REPORT_FANOUT: usize = 3;

impl Forwarder {
    /// Returns the reason for not sending the job to a target because it may crash it, if any.
    pub(crate) fn poison_reason(&self) -> Option<Reason> {
        if self.is_sound {
            return None;
        }
        let (state, now) = (self.context.state(), clock::now());
        if let Some(part) = state.poison_parts.blocked_part(&self.job.parts, now) {
            tracing::info!(code = 8042,
                id = %self.job.id,
                part = self.job.part_name(part),
                "prompt part is blocked; not sending the request"
            );
            let reason =
                if self.may_have_run { Reason::TargetFailed } else { Reason::CrashesTargets };
            return Some(reason);
        }
        if self.may_have_run && state.poison_parts.is_retry_refused(&self.job.parts, now) {
            return Some(Reason::TargetFailed);
        }
        None
    }

    /// Records an event of the current run.
    pub(crate) fn record_event(&mut self) {
        let now = clock::now();
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if !self.is_sound && first_event_at + SOUND_TIME <= now {
            self.record_sound_parts();
        }
    }

    /// Records a complete answer, and informs all hosts if the request or its parts were suspected.
    ///
    /// The first events of a stream clear its parts only: the request may still crash its targets
    /// later on.
    pub(crate) fn record_answer(&mut self) {
        self.record_sound_parts();
        let request = self.job.fingerprint();
        let was_suspected = self.context.state_mut().poison.record_answer(request);
        if was_suspected {
            peers::send_to_all(&self.context, &Packet::RequestCleared(request));
        }
    }

    /// Records that the job's parts are harmless, and informs all hosts if they were suspected.
    fn record_sound_parts(&mut self) {
        self.is_sound = true;
        let (context, now) = (&self.context, clock::now());
        let mut state = context.state_mut();
        let was_blocked = state.poison_parts.blocked_part(&self.job.parts, now);
        let cleared = state.poison_parts.record_answer(&self.job.parts, now);
        drop(state);
        if let Some(part) = was_blocked {
            log_clearing(part);
        }
        if !cleared.is_empty() {
            peers::send_to_all(context, &Packet::PartsCleared(cleared));
        }
    }

    /// Informs all hosts that the request broke off at a target, which it may have crashed.
    pub(crate) fn announce_broken(&mut self, key: Key) {
        let first_event_at = self.first_event_at.take();
        let (context, now) = (&self.context, clock::now());
        let Some((request, target)) = announce_break(context, &self.job, key) else { return };
        let is_early = first_event_at.is_none_or(|it| now < it + EARLY_TIME);
        if !is_early || self.is_sound || self.job.parts.is_empty() {
            return;
        }
        let parts = self.job.parts.clone();
        let blocked = context.state_mut().poison_parts.record_crash(request, &parts, &target, now);
        peers::send_to_all(context, &Packet::CrashSuspected(request, parts, target));
        if blocked.is_empty() {
            return;
        }
        for part in blocked {
            tracing::warn!(code = 8043,
                id = %self.job.id,
                part = self.job.part_name(part),
                fingerprint = format!("{part:016x}"),
                "targets crash under a prompt part; blocking it"
            );
        }
        let report = context.state().poison_parts.report(now);
        let name = context.settings.host.name.clone();
        peers::send_to_all(context, &Packet::PartsBlocked(name, report));
    }
}

/// Informs all hosts that a request broke off at a target; returns the request and the target.
pub(crate) fn announce_break(
    context: &Context,
    job: &Job,
    key: Key,
) -> Option<(id::Fingerprint, Run)> {
    let target = context.state().registry.get(key).map(Run::from)?;
    let (request, now) = (job.fingerprint(), clock::now());
    let mut state = context.state_mut();
    state.poison_parts.record_break(request, &target, now);
    state.poison.record_interrupted_run(request, target.clone(), now);
    drop(state);
    peers::send_to_all(context, &Packet::AttemptBroken(request, target.clone()));
    Some((request, target))
}

fn log_clearing(part: id::Fingerprint) {
    tracing::info!(
        code = 8044,
        fingerprint = format!("{part:016x}"),
        "prompt part answered; no longer blocking it"
    );
}

/// Applies another host's report that a target crashed.
pub(crate) fn handle_crash(
    context: &Context,
    request: id::Fingerprint,
    parts: &[id::Fingerprint],
    target: &Run,
) {
    context.state_mut().poison_parts.record_crash(request, parts, target, clock::now());
}

/// Applies another host's report that parts were answered.
pub(crate) fn handle_clearing(context: &Context, parts: &[id::Fingerprint]) {
    let mut state = context.state_mut();
    let was_blocked = state.poison_parts.blocked_part(parts, clock::now());
    state.poison_parts.clear(parts);
    drop(state);
    if let Some(part) = was_blocked {
        log_clearing(part);
    }
}

/// Applies another host's report of its blocks, and informs it of parts answered since.
pub(crate) fn handle_report(context: &Context, host: &id::Host, blocks: &[Block]) {
    let answered = context.state_mut().poison_parts.apply_report(blocks, clock::now());
    if !answered.is_empty() {
        peers::send(context, host, &Packet::PartsCleared(answered));
    }
}

/// Reports this host's blocks to a host that came up.
pub(crate) fn report_to(context: &Context, host: &id::Host) {
    if let Some(packet) = report_packet(context) {
        peers::send(context, host, &packet);
    }
}

fn report_packet(context: &Context) -> Option<Packet> {
    let report = context.state().poison_parts.report(clock::now());
    let name = context.settings.host.name.clone();
    (!report.is_empty()).then_some(Packet::PartsBlocked(name, report))
}

/// Reports this host's blocks to some other hosts at an interval, forever.
pub(crate) async fn repeat_reports(context: Rc<Context>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let Some(packet) = report_packet(&context) else { continue };
        let addresses = {
            let state = context.state();
            state.membership.peer_addresses().choose_multiple(&mut rand::rng(), REPORT_FANOUT)
        };
        peers::send_to(&context, &addresses, &packet);
    }
}
