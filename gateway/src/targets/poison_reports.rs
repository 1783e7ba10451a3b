//! Reports runs that targets broke off, and answers to suspected requests and parts, to the other
//! hosts, and applies their reports.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fuchsiaknot_core::{clock, id, verdict::Reason};
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    cluster::{
        messages::{self, Kind, Message},
        peers::{self, Packet},
    },
    context::Context,
    entry::{forward::Forwarder, job::Job},
    targets::{
        poison::{self, Admission, MAX_REPORTED, Report, Suspect},
        poison_inquiry::{Answer, Query},
        poison_part::Block,
        registry::Key,
        target::Run,
    },
};

/// Time from its first event on for which a run that breaks off may have crashed its target.
const EARLY_TIME: Duration = Duration::from_millis(500);
/// Time from its first event on after which a run did not crash its target.
const SOUND_TIME: Duration = Duration::from_secs(1);
/// Interval at which blocks are reported to some hosts again, for those that missed a report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of hosts that get such a report.
const REPORT_FANOUT: usize = 3;
/// Interval at which a host that has started asks some others for the recognised requests.
const INQUIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Recognised requests, as the sender knows them.
#[derive(Debug, Serialize, Deserialize)]
struct Recognised(Vec<Report>);

impl Message for Recognised {
    const KIND: Kind = 50;
}

impl Message for Query {
    const KIND: Kind = 51;
}

impl Message for Answer {
    const KIND: Kind = 52;
}

/// Registers the handlers of the other hosts' messages.
pub(crate) fn register(context: &Context) {
    let handlers = &context.handlers;
    handlers.register(|context, sender, Recognised(reports)| apply(context, &sender, &reports));
    handlers.register(|context, sender, query: Query| {
        let now = clock::now();
        let state = context.state();
        let reports = state.poison.reports_after(query.after, now);
        let is_complete = state.poison_inquiry.is_complete(now);
        drop(state);
        messages::send(context, &sender, &Answer { query, is_complete, reports });
    });
    handlers.register(|context, sender, answer: Answer| {
        apply(context, &sender, &answer.reports);
        let next = {
            let mut state = context.state_mut();
            let has_more = state.poison_inquiry.record_answer(&answer);
            has_more.then(|| state.poison_inquiry.query())
        };
        if let Some(query) = next {
            messages::send(context, &sender, &query);
        }
    });
}

impl Forwarder {
    /// Records the arrival of the job; returns whether it may be sent, as its request is not
    /// recognised or is tried.
    pub(crate) fn is_admitted(&mut self) -> bool {
        let (context, request, now) = (&self.context, self.job.fingerprints(), clock::now());
        let admission = {
            let state = &mut *context.state_mut();
            // One host only, so that few trials reach targets.
            let may_try = *state.membership.dispatcher() == context.settings.host.name
                && state.poison_inquiry.is_complete(now);
            state.poison.admit_request(request, may_try, now)
        };
        self.is_trial = admission == Admission::Tried;
        if self.is_trial {
            request.all().into_iter().for_each(|it| announce(context, it));
            tracing::info!(code = 8212,
                id = %self.job.id,
                fingerprint = format!("{:016x}", request.at_service),
                "trying a request that crashed targets"
            );
        }
        admission != Admission::Refused
    }

    /// Returns the reason for not sending the job to a target because it may crash it, if any.
    pub(crate) fn poison_reason(&self) -> Option<Reason> {
        if self.is_sound {
            return None;
        }
        let (state, now) = (self.context.state(), clock::now());
        let is_first_trial = self.is_trial && !self.may_have_run;
        if !is_first_trial && state.poison.is_request_refused(self.job.fingerprints(), now) {
            let reason =
                if self.may_have_run { Reason::TargetFailed } else { Reason::CrashesTargets };
            return Some(reason);
        }
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
        let (context, requests, now) = (&self.context, self.job.fingerprints(), clock::now());
        let mut state = context.state_mut();
        let refused = requests.all().map(|it| state.poison.is_refused(it, now).then_some(it));
        let cleared = state.poison.record_request_answer(requests, now);
        drop(state);
        for request in cleared {
            if refused.contains(&Some(request)) {
                log_request_clearing(context, request);
            }
            peers::send_to_all(context, &Packet::RequestCleared(request));
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
    let (requests, now) = (job.fingerprints(), clock::now());
    context.state_mut().poison_parts.record_break(requests.at_service, &target, now);
    for request in requests.all() {
        let run = target.clone();
        let is_recognised =
            context.state_mut().poison.record_interrupted_run(request, run.clone(), now);
        peers::send_to_all(context, &Packet::AttemptBroken(request, run));
        if is_recognised {
            announce(context, request);
            log_recognition(request, &job.id, &job.route.name);
        }
    }
    Some((requests.at_service, target))
}

/// Applies another host's report that a target broke off a request.
pub(crate) fn handle_break(context: &Context, request: id::Fingerprint, target: Run) {
    let now = clock::now();
    let mut state = context.state_mut();
    if !poison::is_anywhere(request) {
        state.poison_parts.record_break(request, &target, now);
    }
    let is_recognised = state.poison.record_interrupted_run(request, target, now);
    drop(state);
    if is_recognised {
        log_recognition(request, "", "");
        pass_on(context, &[request]);
    }
}

/// Applies another host's report that a request was answered.
pub(crate) fn handle_request_clearing(context: &Context, request: id::Fingerprint) {
    clear_request(context, request);
}

/// Clears a request that another host or the operator lets through.
fn clear_request(context: &Context, request: id::Fingerprint) {
    let (mut state, now) = (context.state_mut(), clock::now());
    let was_refused = state.poison.is_refused(request, now);
    state.poison.record_clearing(request, now);
    drop(state);
    if was_refused {
        log_request_clearing(context, request);
    }
}

fn log_request_clearing(context: &Context, request: id::Fingerprint) {
    tracing::info!(
        code = 8211,
        fingerprint = format!("{request:016x}"),
        scope = scope(request),
        "request answered or cleared; no longer refusing it"
    );
    update_metric(context);
}

/// Returns where a fingerprint names its request, as in logs.
fn scope(request: id::Fingerprint) -> &'static str {
    if poison::is_anywhere(request) { "any service" } else { "one service" }
}

/// Applies what an earlier host has saved of requests and prompt parts that crash targets.
pub(crate) fn restore(
    context: &Context,
    reports: &[Report],
    suspects: &[Suspect],
    blocks: &[Block],
) {
    let now = clock::now();
    let mut learned = Vec::new();
    {
        let mut state = context.state_mut();
        for reports in reports.chunks(MAX_REPORTED) {
            learned.extend(state.poison.apply_reports(reports, now).learned);
        }
        let recognised = suspects.iter().filter(|it| state.poison.restore_suspect(it, now));
        learned.extend(recognised.map(|it| it.request));
        state.poison_parts.apply_report(blocks, now);
    }
    for request in &learned {
        log_recognition(*request, "", "");
    }
    pass_on(context, &learned);
}

/// Applies another host's reports of recognised requests.
fn apply(context: &Context, sender: &id::Host, reports: &[Report]) {
    let findings = context.state_mut().poison.apply_reports(reports, clock::now());
    for request in &findings.cleared {
        peers::send(context, sender, &Packet::RequestCleared(*request));
    }
    for request in &findings.learned {
        log_recognition(*request, "", "");
    }
    pass_on(context, &findings.learned);
}

/// Reports a recognised request to all hosts.
fn announce(context: &Context, request: id::Fingerprint) {
    let report = context.state().poison.report(request, clock::now());
    if let Some(report) = report {
        messages::send_to_all(context, &Recognised(vec![report]));
    }
    update_metric(context);
}

/// Reports requests of which this host has just learned to some others.
fn pass_on(context: &Context, requests: &[id::Fingerprint]) {
    let now = clock::now();
    let reports: Vec<Report> = {
        let state = context.state();
        requests.iter().filter_map(|it| state.poison.report(*it, now)).collect()
    };
    send_to_some(context, &Recognised(reports));
    update_metric(context);
}

/// Sends reports to some hosts, if there are any.
fn send_to_some(context: &Context, recognised: &Recognised) {
    if recognised.0.is_empty() {
        return;
    }
    messages::send_to(context, &some_peers(context), recognised);
}

fn some_peers(context: &Context) -> Vec<SocketAddr> {
    let state = context.state();
    state.membership.peer_addresses().choose_multiple(&mut rand::rng(), REPORT_FANOUT)
}

fn update_metric(context: &Context) {
    let count = context.state().poison.refused_count(clock::now());
    context.metrics.recognised_requests.set(count as i64);
}

fn log_recognition(request: id::Fingerprint, id: &str, route: &str) {
    tracing::warn!(
        code = 8210,
        id,
        route,
        fingerprint = format!("{request:016x}"),
        scope = scope(request),
        "request crashes targets; refusing it while it keeps coming"
    );
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

/// Reports this host's blocks to a host that came up, and asks it for the recognised requests if they
/// are not known yet.
pub(crate) fn report_to(context: &Context, host: &id::Host) {
    let first_query = context.state_mut().poison_inquiry.first_query();
    if let Some(query) = first_query {
        messages::send(context, host, &query);
    }
    if let Some(packet) = report_packet(context) {
        peers::send(context, host, &packet);
    }
}

fn report_packet(context: &Context) -> Option<Packet> {
    let report = context.state().poison_parts.report(clock::now());
    let name = context.settings.host.name.clone();
    (!report.is_empty()).then_some(Packet::PartsBlocked(name, report))
}

/// Reports this host's blocks and recognised requests to some other hosts at an interval, forever.
pub(crate) async fn repeat_reports(context: Rc<Context>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let (reports, quiet) = {
            let (mut state, now) = (context.state_mut(), clock::now());
            let quiet = state.poison.expire(now);
            (state.poison.next_reports(now), quiet)
        };
        for request in quiet {
            tracing::info!(
                code = 8213,
                fingerprint = format!("{request:016x}"),
                "request that crashed targets has not come for an hour; letting it through again"
            );
        }
        update_metric(&context);
        send_to_some(&context, &Recognised(reports));
        if let Some(packet) = report_packet(&context) {
            peers::send_to(&context, &some_peers(&context), &packet);
        }
    }
}

/// Asks some other hosts at an interval for the recognised requests, until they are known; then waits
/// forever.
pub(crate) async fn inquire(context: Rc<Context>) {
    loop {
        sleep(INQUIRY_INTERVAL).await;
        let query = {
            let (state, now) = (context.state(), clock::now());
            (!state.poison_inquiry.is_ended(now)).then(|| state.poison_inquiry.query())
        };
        let Some(query) = query else { break };
        messages::send_to(&context, &some_peers(&context), &query);
    }
    std::future::pending().await
}

/// Lets all recognised requests through again, at all hosts, whenever the operator sends the signal;
/// forever.
pub(crate) async fn clear_on_signal(context: Rc<Context>, mut signal: Signal) {
    while signal.recv().await.is_some() {
        let requests = context.state().poison.refused(clock::now());
        tracing::warn!(
            code = 8214,
            count = requests.len(),
            "operator lets all requests through that were refused because they crash targets"
        );
        for request in requests {
            clear_request(&context, request);
            peers::send_to_all(&context, &Packet::RequestCleared(request));
        }
    }
}
