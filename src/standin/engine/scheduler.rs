//! The engine's one thread: plans steps, lets their time pass, publishes what came of them.

use std::{
    net::TcpListener,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{
    Core, State,
    batch::{Batch, Load, Outcome},
    job::{Ending, Job},
    orders::Orders,
    wire::Faults,
};
use crate::target::{Report, Role};

/// Time between two load reports.
const REPORT_EVERY: Duration = Duration::from_millis(50);
/// Pause of an idle or frozen engine.
const IDLE: Duration = Duration::from_millis(50);
/// Time between two tries to listen again.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Lag behind the planned time after which the engine does not try to catch up.
const MAX_LAG: Duration = Duration::from_millis(100);

/// What a turn of the loop works with.
struct Turn {
    faults: Faults,
    role: Role,
}

/// Runs the engine until it is stopped.
pub(super) fn run(core: &Arc<Core>) {
    let mut batch = Batch::default();
    // End of the last step, until the engine is idle.
    let mut due = None;
    while !core.is_stopped() {
        let turn = begin(core, &mut batch);
        if turn.faults.freeze {
            thread::sleep(IDLE);
            continue;
        }
        let begun = Instant::now();
        let mut outcome = Outcome::default();
        let step = batch.plan(&core.config, turn.role, &turn.faults, &mut outcome);
        if let Some(step) = &step {
            let planned = due.map_or(begun, |it: Instant| it.max(begun - MAX_LAG));
            let end = planned + core.config.scaled(step.duration);
            thread::sleep(end.saturating_duration_since(Instant::now()));
            due = Some(end);
            batch.finish(&core.config, step, &turn.faults, &mut outcome);
        }
        if outcome.crashed {
            crash(core, &mut batch);
            continue;
        }
        let ended = batch.retire(&mut outcome);
        let is_idle = step.is_none() && ended.is_empty();
        let crashes = publish(core, outcome, batch.load());
        ended.into_iter().for_each(Job::close);
        if crashes {
            crash(core, &mut batch);
        } else if is_idle {
            wait(core);
            // Time without work is not made up for later.
            due = None;
        }
    }
}

/// Takes over what has arrived since the last turn.
fn begin(core: &Core, batch: &mut Batch) -> Turn {
    let mut state = core.state();
    let turn = Turn { faults: state.faults.clone(), role: state.orders.role };
    if turn.faults.freeze {
        return turn;
    }
    let submitted = std::mem::take(&mut state.submitted);
    let cancelled = std::mem::take(&mut state.cancelled);
    let reset = std::mem::take(&mut state.reset);
    drop(state);
    for job in submitted {
        batch.push(job);
    }
    for request in cancelled {
        batch.cancel(&request);
    }
    if reset {
        let cut = batch.reset();
        core.state().count_cut(&cut);
    }
    turn
}

/// Makes the outcome of a step known; returns whether it made the engine crash.
fn publish(core: &Core, outcome: Outcome, load: Load) -> bool {
    let mut state = core.state();
    state.count(&outcome.endings);
    state.record.tokens += outcome.tokens;
    state.record.prefilled += outcome.prefilled;
    state.record.cached += outcome.cached;
    state.events.publish(outcome.events);
    state.exports.extend(outcome.exports);
    state.report(core, load);
    let Some(left) = &mut state.faults.crash_after_tokens else {
        return false;
    };
    *left = left.saturating_sub(outcome.tokens);
    *left == 0
}

fn wait(core: &Core) {
    let state = core.state();
    let nothing = |it: &mut State| {
        it.submitted.is_empty() && it.cancelled.is_empty() && !it.reset && !core.is_stopped()
    };
    let _ = core.wake.wait_timeout_while(state, IDLE, nothing).expect("engine lock poisoned");
}

/// Closes everything without an answer, and comes up again as another run if that is configured.
fn crash(core: &Arc<Core>, batch: &mut Batch) {
    core.close();
    let mut cut = batch.reset();
    let mut state = core.state();
    state.crashed = true;
    cut.append(&mut state.submitted);
    state.count_cut(&cut);
    drop(state);
    drop(cut);
    let Some(pause) = core.config.restart_after else {
        while !core.is_stopped() {
            thread::sleep(IDLE);
        }
        return;
    };
    thread::sleep(core.config.scaled(pause));
    restart(core);
}

fn restart(core: &Arc<Core>) {
    let mut state = core.state();
    state.incarnation = rand::random();
    state.orders = Orders::new(&core.config);
    state.faults.crash_after_tokens = None;
    state.exports.clear();
    state.reports.clear();
    state.events = Default::default();
    state.crashed = false;
    drop(state);
    while !core.is_stopped() {
        let opened = TcpListener::bind(core.config.address).and_then(|it| core.open(it));
        if opened.is_ok() {
            return;
        }
        thread::sleep(BIND_PAUSE);
    }
}

impl State {
    fn count(&mut self, endings: &[Ending]) {
        self.open = self.open.saturating_sub(endings.len());
        for ending in endings {
            match ending {
                Ending::Finished => self.record.finished += 1,
                Ending::Gone => self.record.cancelled += 1,
                Ending::Cut => self.record.cut += 1,
            }
        }
    }

    fn count_cut(&mut self, cut: &[Job]) {
        self.count(&vec![Ending::Cut; cut.len()]);
    }

    /// Adds a load report if the last one is old enough, and forgets those that none will ask for.
    fn report(&mut self, core: &Core, load: Load) {
        let now = Instant::now();
        if self.reports.back().is_some_and(|(at, _)| now < *at + REPORT_EVERY) {
            return;
        }
        let lag = core.config.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
        let number = self.reports.back().map_or(0, |(_, it)| it.number) + 1;
        let report = Report {
            incarnation: self.incarnation,
            number,
            age: Duration::ZERO,
            role: Some(self.orders.role),
            serves: self.orders.model.clone(),
            adapters: self.orders.adapters.clone(),
            version: self.orders.version.clone(),
            serving: self.orders.is_serving(),
            checks_fence: core.config.checks_fence,
            order: self.orders.taken(),
            running: load.running,
            queued: load.queued + self.submitted.len() as u32,
            queued_tokens: load.queued_tokens,
            kv_tokens: load.kv_tokens,
            kv_capacity: core.config.kv_capacity,
            slots: core.config.slots,
        };
        self.reports.push_back((now, report));
    }
}
