//! Scheduler thread of the engine: plans steps, waits for their duration, publishes their results.

use std::{
    net::TcpListener,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{
    Shared, State,
    batch::{Batch, Load, Outcome},
    job::{Ending, Job},
    order_state::OrderState,
    wire::Faults,
};
use crate::target::{Report, Role};

/// Shortest time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest pause of an idle engine, and interval of checks of a frozen or crashed one.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of attempts to listen again after a crash.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Largest delay of a step that the following steps make up for.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);

/// Settings for one iteration of the scheduler loop.
struct IterationSettings {
    faults: Faults,
    role: Role,
}

/// Runs the scheduler loop until the engine is stopped.
pub(super) fn run(shared: &Arc<Shared>) {
    let mut batch = Batch::default();
    // Planned end of the last step; `None` after idle time.
    let mut last_end = None;
    while !shared.is_stopped() {
        let settings = begin_iteration(shared, &mut batch);
        if settings.faults.freeze {
            thread::sleep(IDLE_INTERVAL);
            continue;
        }
        let begun = Instant::now();
        let mut outcome = Outcome::default();
        let step = batch.plan_step(&shared.config, settings.role, &settings.faults, &mut outcome);
        if let Some(step) = &step {
            let planned_start = last_end.map_or(begun, |it: Instant| it.max(begun - MAX_CATCH_UP));
            let end = planned_start + shared.config.scaled(step.duration);
            thread::sleep(end.saturating_duration_since(Instant::now()));
            last_end = Some(end);
            batch.finish_step(&shared.config, step, &settings.faults, &mut outcome);
        }
        if outcome.crashed {
            crash(shared, &mut batch);
            continue;
        }
        let ended = batch.remove_ended(&mut outcome);
        let is_idle = step.is_none() && ended.is_empty();
        let crash_due = publish(shared, outcome, batch.load());
        ended.into_iter().for_each(Job::close);
        if crash_due {
            crash(shared, &mut batch);
        } else if is_idle {
            wait_for_work(shared);
            // Later steps don't make up for idle time.
            last_end = None;
        }
    }
}

/// Passes submissions, cancellations and resets since the last iteration on to the batch.
fn begin_iteration(shared: &Shared, batch: &mut Batch) -> IterationSettings {
    let mut state = shared.state();
    let settings = IterationSettings { faults: state.faults.clone(), role: state.order_state.role };
    if settings.faults.freeze {
        return settings;
    }
    let submitted = std::mem::take(&mut state.submitted);
    let cancelled_ids = std::mem::take(&mut state.cancelled_ids);
    let reset_requested = std::mem::take(&mut state.reset_requested);
    drop(state);
    for job in submitted {
        batch.enqueue(job);
    }
    for request_id in cancelled_ids {
        batch.cancel(&request_id);
    }
    if reset_requested {
        let cut = batch.reset();
        shared.state().count_cut(&cut);
    }
    settings
}

/// Publishes the outcome of a step; returns whether the fault `crash_after_tokens` is due.
fn publish(shared: &Shared, outcome: Outcome, load: Load) -> bool {
    let mut state = shared.state();
    state.count_endings(&outcome.endings);
    state.record.tokens += outcome.generated_tokens;
    state.record.prefilled += outcome.prefilled_tokens;
    state.record.cached += outcome.cached_tokens;
    state.event_log.publish(outcome.cache_events);
    state.exports.extend(outcome.exports);
    state.append_report(shared, load);
    let Some(tokens_left) = &mut state.faults.crash_after_tokens else {
        return false;
    };
    *tokens_left = tokens_left.saturating_sub(outcome.generated_tokens);
    *tokens_left == 0
}

/// Blocks until there is work or the engine is stopped, for at most [`IDLE_INTERVAL`].
fn wait_for_work(shared: &Shared) {
    let state = shared.state();
    let is_idle = |it: &mut State| {
        it.submitted.is_empty()
            && it.cancelled_ids.is_empty()
            && !it.reset_requested
            && !shared.is_stopped()
    };
    let _ = shared
        .wake
        .wait_timeout_while(state, IDLE_INTERVAL, is_idle)
        .expect("engine lock poisoned");
}

/// Closes all connections without completing the responses; restarts the engine if configured.
fn crash(shared: &Arc<Shared>, batch: &mut Batch) {
    shared.stop_server();
    let mut cut = batch.reset();
    let mut state = shared.state();
    state.crashed = true;
    cut.append(&mut state.submitted);
    state.count_cut(&cut);
    drop(state);
    drop(cut);
    let Some(delay) = shared.config.restart_after else {
        while !shared.is_stopped() {
            thread::sleep(IDLE_INTERVAL);
        }
        return;
    };
    thread::sleep(shared.config.scaled(delay));
    restart(shared);
}

/// Restarts the engine as a new incarnation with its initial role, model, adapters and version.
fn restart(shared: &Arc<Shared>) {
    let mut state = shared.state();
    state.incarnation = rand::random();
    state.order_state = OrderState::new(&shared.config);
    state.faults.crash_after_tokens = None;
    state.exports.clear();
    state.reports.clear();
    state.event_log = Default::default();
    state.crashed = false;
    drop(state);
    while !shared.is_stopped() {
        let started =
            TcpListener::bind(shared.config.address).and_then(|it| shared.start_server(it));
        if started.is_ok() {
            return;
        }
        thread::sleep(BIND_RETRY_INTERVAL);
    }
}

impl State {
    /// Counts ended requests in the record; they are no longer open.
    fn count_endings(&mut self, endings: &[Ending]) {
        self.open_requests = self.open_requests.saturating_sub(endings.len());
        for ending in endings {
            match ending {
                Ending::Finished => self.record.finished += 1,
                Ending::Cancelled => self.record.cancelled += 1,
                Ending::Cut => self.record.cut += 1,
            }
        }
    }

    /// Counts requests that the engine ended early.
    fn count_cut(&mut self, cut: &[Job]) {
        self.count_endings(&vec![Ending::Cut; cut.len()]);
    }

    /// Appends a load report if [`REPORT_INTERVAL`] has passed, and drops those too old to be read.
    fn append_report(&mut self, shared: &Shared, load: Load) {
        let now = Instant::now();
        if self.reports.back().is_some_and(|(at, _)| now < *at + REPORT_INTERVAL) {
            return;
        }
        let lag = shared.config.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
        let number = self.reports.back().map_or(0, |(_, it)| it.number) + 1;
        let report = Report {
            incarnation: self.incarnation,
            number,
            age: Duration::ZERO,
            role: Some(self.order_state.role),
            serves: self.order_state.model.clone(),
            adapters: self.order_state.adapters.clone(),
            version: self.order_state.version.clone(),
            serving: self.order_state.is_serving(),
            checks_fence: shared.config.checks_fence,
            order: self.order_state.last_accepted(),
            running: load.running,
            queued: load.queued + self.submitted.len() as u32,
            queued_tokens: load.queued_tokens,
            kv_tokens: load.kv_tokens,
            kv_capacity: shared.config.kv_capacity,
            slots: shared.config.slots,
        };
        self.reports.push_back((now, report));
    }
}
