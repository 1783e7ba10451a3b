//! Notices of targets in their responses: that they are leaving, that a host is to back off, or that
//! they limit the rate of requests.

use std::borrow::Cow;

use fuchsiaknot_core::clock;
use hyper::{HeaderMap, StatusCode, header};

use crate::{
    cluster::peers::{self, Packet},
    context::Context,
    targets::{
        availability::{Backoff, Departure, Source},
        rate_limit::{self, Limit},
        registry::Key,
        target::Run,
    },
};

/// Records the notices in the head of a target's response.
///
/// Must be called for every response, whatever its status, before anything else is sent.
pub fn record(context: &Context, key: Key, status: StatusCode, headers: &HeaderMap) {
    let leaving = headers.get(&context.header_names.target_leaving);
    if leaving.is_some_and(|it| it.as_bytes() == b"1") {
        record_departure(context, key);
    }
    let retry_after = headers.get(header::RETRY_AFTER);
    if let Some(value) = retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
        record_backoff(context, key, &String::from_utf8_lossy(value.as_bytes()));
    }
    // Another target at the address answers with this status.
    if status != StatusCode::MISDIRECTED_REQUEST {
        let limit = headers.get(&context.header_names.target_limit);
        record_limit(context, key, limit.map(|it| String::from_utf8_lossy(it.as_bytes())));
    }
}

/// Records the value of the limit in a response; `None` if it names none. A value that is not a
/// number changes nothing.
fn record_limit(context: &Context, key: Key, value: Option<Cow<'_, str>>) {
    let limit = match value.as_deref().map(Limit::try_from).transpose() {
        Ok(limit) => limit,
        Err(err) => {
            let target = context.state().registry.get(key).map(|it| it.id.to_string());
            tracing::warn!(code = 8056, target, value = value.as_deref(), %err, "target sent no usable limit; ignoring it");
            return;
        }
    };
    let before = context.state().rate_limits.limit(key);
    if before.is_none() && limit.is_none() {
        return;
    }
    let run = context.state().registry.get(key).map(Run::from);
    let Some(run) = run else { return };
    let now = clock::now();
    if context.state_mut().rate_limits.observe(key, &run, limit, now) {
        apply_limit(context, key, before, Source::Target);
    }
}

/// Handles a report of another host that a target has changed its limit.
pub fn handle_limit(context: &Context, report: &rate_limit::Report) {
    let key = context.state().registry.key(&report.run.target);
    let is_same_run = |key: &Key| {
        context.state().registry.get(*key).is_some_and(|it| Run::from(it) == report.run)
    };
    let Some(key) = key.filter(is_same_run) else { return };
    let before = context.state().rate_limits.limit(key);
    let applied = context.state_mut().rate_limits.apply(key, report, clock::now());
    match applied {
        Ok(true) => apply_limit(context, key, before, Source::Host),
        Ok(false) => {}
        Err(err) => {
            tracing::debug!(target = %report.run.target, %err, "unusable report of a limit")
        }
    }
}

/// Divides a limit that has changed among the hosts.
fn apply_limit(context: &Context, key: Key, before: Option<Limit>, source: Source) {
    context.state_mut().divide_rate_limits(clock::now());
    let (state, before) = (context.state(), before.map(f64::from));
    let Some(target) = state.registry.get(key).map(|it| &it.id) else { return };
    let limit = state.rate_limits.limit(key).map(f64::from);
    if limit.is_some() {
        context.metrics.target_notices.with_label_values(&["limit"]).inc();
    }
    tracing::info!(code = 8055, notice = "limit", %target, limit, before, source = source.as_str(), "target changed the rate of requests that it takes");
}

/// Records that a target said that it is leaving, and reports it to the dispatcher at once; the other
/// hosts learn of it from heartbeats.
fn record_departure(context: &Context, key: Key) {
    let departure = context.state().registry.get(key).map(Departure::from);
    let Some(departure) = departure else { return };
    if apply_departure(context, key, &departure, Source::Target) {
        let dispatcher = context.state().membership.dispatcher().clone();
        peers::send(context, &dispatcher, &Packet::TargetLeaving(departure));
    }
}

fn record_backoff(context: &Context, key: Key, value: &str) {
    let Some(run) = context.state().registry.get(key).map(Run::from) else { return };
    let target = run.target.clone();
    match Backoff::try_from(value) {
        Ok(backoff) => {
            context.metrics.target_notices.with_label_values(&["backoff"]).inc();
            let mut state = context.state_mut();
            state.availability.record_backoff(key, backoff, clock::now());
            state.availability.remember_backoff(key, run);
            drop(state);
            let backoff_ms = std::time::Duration::from(backoff).as_millis() as u64;
            tracing::info!(code = 8050, notice = "backoff", %target, backoff_ms, "target asks for a pause; nothing is sent to it until its end");
        }
        Err(err) => {
            tracing::warn!(code = 8051, %target, value, %err, "target sent no usable Retry-After; ignoring it");
        }
    }
}

/// Handles a report of another host that a target is leaving.
pub fn handle_departure(context: &Context, departure: Departure) {
    let key = context.state().registry.key(&departure.target);
    let key = key.filter(|key| {
        context.state().registry.get(*key).is_some_and(|it| Departure::from(it) == departure)
    });
    match key {
        Some(key) => {
            apply_departure(context, key, &departure, Source::Host);
        }
        None => context.state_mut().availability.remember(departure, Source::Host, clock::now()),
    }
}

/// Applies a remembered departure or backoff to a target that was added to the registry again.
pub fn restore(context: &Context, key: Key) {
    let run = context.state().registry.get(key).map(Run::from);
    if let Some(run) = run {
        context.state_mut().availability.restore_backoff(key, &run);
    }
    let departure = context.state().registry.get(key).map(Departure::from);
    let departure = departure.filter(|it| context.state().availability.has_departed(it));
    if let Some(departure) = departure {
        apply_departure(context, key, &departure, Source::Memory);
    }
}

/// Applies a departure; returns whether it was not known.
fn apply_departure(context: &Context, key: Key, departure: &Departure, source: Source) -> bool {
    let now = clock::now();
    let is_new =
        context.state_mut().availability.record_departure(key, departure.clone(), source, now);
    if is_new {
        context.metrics.target_notices.with_label_values(&["leaving"]).inc();
        context.pool.close_idle(&key);
        tracing::info!(code = 8049, notice = "leaving", target = %departure.target, source = source.as_str(), "target says that it is leaving; nothing new is sent to it");
    }
    is_new
}

/// Records that a request is about to be sent to a target.
pub fn record_request(context: &Context, key: Key) {
    let mut state = context.state_mut();
    let slots = state.registry.get(key).map_or(1, |it| it.slots);
    let now = clock::now();
    state.availability.record_request(key, slots, now);
    state.rate_limits.record_request(key, now);
}
