//! Sends this host's counts to the holder of the duties and, on the holder, reports the usage.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    cluster::messages::{self, Kind, Message},
    context::Context,
    duty::{Credential, Endpoint, Error, Tenure},
    store::{Outcome, Record, Store},
    usage::{
        KEPT_WINDOWS, Settings, Tracker, UnixTime, Window, clock::Clock, collector::Collector,
        counter::Batch, ledger::Ledger,
    },
};

/// Key of the record.
const RECORD_KEY: &str = "usage";
/// Interval at which a host sends its counts.
const COUNTS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the holder checks what is due.
const HOLDER_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed call, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Counts of the sender in one window.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Counts {
    incarnation: id::Incarnation,
    /// The sender's own time of day, in milliseconds.
    time_ms: u64,
    batch: Batch,
}

impl Message for Counts {
    const KIND: Kind = 21;
}

/// What the holder tells all hosts.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Notice {
    /// Fencing token of the holder.
    epoch: id::Epoch,
    /// Time of day that the hosts agree on, in milliseconds.
    time_ms: u64,
    /// First window that is not committed.
    next: Window,
}

impl Message for Notice {
    const KIND: Kind = 22;
}

/// Counts and reports the usage, forever; does nothing if the deployment wants no reports.
pub async fn run<S: Store, E: Endpoint>(context: Rc<Context>, store: S, endpoint: E) {
    let settings = context.settings.duties.as_ref().and_then(|it| it.usage);
    let Some(settings) = settings else { return };
    let clock = Clock::new(own_time(), clock::now());
    context.state_mut().usage.start(settings, clock);
    context.handlers.register(handle_counts);
    context.handlers.register(handle_notice);
    let mut reporter = Reporter::new(&context, store, endpoint, settings);
    let mut sent_to = None;
    loop {
        let tenure = context.state().duties.tenure(clock::now()).cloned();
        match tenure {
            Some(tenure) => {
                sent_to = None;
                reporter.step(&tenure).await;
                sleep(HOLDER_INTERVAL).await;
            }
            None => {
                send_counts(&context, &mut sent_to);
                sleep(COUNTS_INTERVAL).await;
            }
        }
    }
}

/// Returns the time of day by this host's own clock.
fn own_time() -> UnixTime {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn ms(time: UnixTime) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Applies an operation to the counts.
fn with_tracker<T>(
    context: &Context,
    operation: impl FnOnce(&mut Tracker, Moment) -> T,
) -> Option<T> {
    let (mut state, now) = (context.state_mut(), clock::now());
    state.usage.tracker().map(|it| operation(it, now))
}

/// Sends the holder what it has not been sent; everything, if it is another one than `sent_to`.
fn send_counts(context: &Context, sent_to: &mut Option<Credential>) {
    let holder = context.state().duties.holder().cloned();
    let own_name = &context.settings.host.name;
    let Some(holder) = holder.filter(|it| it.holder != *own_name) else { return };
    let is_new = sent_to.as_ref() != Some(&holder);
    let batches = with_tracker(context, |tracker, now| {
        let current = tracker.settings.window_at(tracker.clock.time(now));
        tracker.counter.batches(tracker.next, current, is_new)
    });
    for batch in batches.unwrap_or_default() {
        let incarnation = context.settings.host.incarnation;
        let counts = Counts { incarnation, time_ms: ms(own_time()), batch };
        messages::send(context, &holder.holder, &counts);
    }
    *sent_to = Some(holder);
}

fn handle_counts(context: &Rc<Context>, sender: id::Host, counts: Counts) {
    let is_holder = context.state().duties.tenure(clock::now()).is_some();
    let is_behind = with_tracker(context, |tracker, now| {
        tracker.clock.observe_host(&sender, Duration::from_millis(counts.time_ms), now);
        let current = tracker.settings.window_at(tracker.clock.time(now));
        let window = counts.batch.window;
        // A clock that is far off would push the counts of others out.
        if tracker.next <= window && window <= current + 1 && current < window + KEPT_WINDOWS {
            tracker.collector.record(&sender, counts.incarnation, counts.batch);
        }
        0 < tracker.next && (window < tracker.next || current + 1 < window)
    });
    if is_holder && is_behind == Some(true) {
        messages::send(context, &sender, &notice(context));
    }
}

fn handle_notice(context: &Rc<Context>, _sender: id::Host, notice: Notice) {
    let known = context.state().duties.holder().map_or(0, |it| it.epoch);
    if notice.epoch < known {
        return;
    }
    with_tracker(context, |tracker, now| {
        tracker.clock.observe_agreed(Duration::from_millis(notice.time_ms), now);
        tracker.commit_until(notice.next);
    });
}

fn notice(context: &Context) -> Notice {
    let epoch = context.state().duties.holder().map_or(0, |it| it.epoch);
    let known = with_tracker(context, |it, now| (ms(it.clock.time(now)), it.next));
    let (time_ms, next) = known.unwrap_or_default();
    Notice { epoch, time_ms, next }
}

/// Reports the usage while this host holds the duties.
struct Reporter<S, E> {
    context: Rc<Context>,
    store: S,
    endpoint: E,
    settings: Settings,
    /// Start of this process.
    started_at: Moment,
    /// Fencing token of the current tenure.
    epoch: id::Epoch,
    /// Start of the current tenure.
    taken_over_at: Moment,
    /// The record as this holder knows it, and its version; `None` while its state is unknown.
    record: Option<(id::Version, Ledger)>,
    /// Whether the last report was not accepted.
    is_failing: bool,
    retry_at: Moment,
}

impl<S: Store, E: Endpoint> Reporter<S, E> {
    fn new(context: &Rc<Context>, store: S, endpoint: E, settings: Settings) -> Reporter<S, E> {
        let context = Rc::clone(context);
        let (record, retry_at, started_at) = (None, Moment::ZERO, clock::now());
        Reporter {
            started_at,
            context,
            store,
            endpoint,
            settings,
            epoch: 0,
            taken_over_at: Moment::ZERO,
            record,
            is_failing: false,
            retry_at,
        }
    }

    /// Does what is due under a tenure.
    async fn step(&mut self, tenure: &Tenure) {
        if self.epoch != tenure.credential.epoch {
            self.epoch = tenure.credential.epoch;
            self.taken_over_at = clock::now();
            self.record = None;
        }
        self.collect_own();
        if clock::now() < self.retry_at {
            return;
        }
        if self.record.is_none() {
            return self.read().await;
        }
        self.commit().await;
        self.send().await;
    }

    /// Agrees on the time of day and collects this host's own counts.
    fn collect_own(&self) {
        let host = &self.context.settings.host;
        let up: Vec<id::Host> = self.context.state().membership.up_hosts().cloned().collect();
        with_tracker(&self.context, |tracker, now| {
            tracker.clock.observe_host(&host.name, own_time(), now);
            tracker.clock.agree(&up);
            let current = tracker.settings.window_at(tracker.clock.time(now));
            for batch in tracker.counter.batches(tracker.next, current, true) {
                tracker.collector.record(&host.name, host.incarnation, batch);
            }
        });
    }

    async fn read(&mut self) {
        match self.store.record(RECORD_KEY).await {
            Ok(answer) => self.adopt(answer.era, answer.contents),
            Err(_) => self.retry_later(),
        }
    }

    /// Takes over the record as it is in the store.
    fn adopt(&mut self, era: Option<id::Era>, record: Record) {
        let contents = record.contents.as_deref();
        let mut ledger = contents.map_or(Ok(Ledger::default()), Ledger::decode).unwrap_or_else(|err| {
            tracing::error!(code = 8125, %err, "cannot decode the record of the usage reports; starting with the current window");
            Ledger::default()
        });
        let era = era.unwrap_or_default().max(self.context.state().store_era());
        let skipped = with_tracker(&self.context, |tracker, now| {
            let current = tracker.settings.window_at(tracker.clock.time(now));
            let started = tracker.settings.window_at(tracker.clock.time(self.started_at));
            let skipped = ledger.take_over(era, tracker.next, started, current);
            tracker.commit_until(ledger.next);
            skipped
        });
        self.record_missed(skipped.unwrap_or_default(), ledger.next);
        self.record = Some((record.version, ledger));
        messages::send_to_all(&self.context, &notice(&self.context));
    }

    /// Commits the reports of the windows that are ready.
    async fn commit(&mut self) {
        let Some((version, committed)) = self.record.clone() else { return };
        let mut ledger = committed.clone();
        let is_first = version == 0 && ledger.era == 0 && ledger.pending.is_empty();
        let missed = self.add_ready(&mut ledger, is_first);
        if ledger.pending.len() == committed.pending.len() {
            if ledger.next != committed.next {
                let next = ledger.next;
                self.record = Some((version, ledger));
                self.record_missed(missed, next);
                self.announce(next);
            }
            return;
        }
        match self.store.write_record(RECORD_KEY, version, &ledger.encode()).await {
            Ok(answer) => match answer.contents {
                Outcome::Committed(version) => {
                    let next = ledger.next;
                    self.record = Some((version, ledger));
                    self.record_missed(missed, next);
                    self.announce(next);
                }
                Outcome::Conflict(record) => self.adopt(answer.era, record),
            },
            Err(_) => {
                // The write may take effect later, so that its outcome has to be read.
                self.record = None;
                self.retry_later();
            }
        }
    }

    /// Tells all hosts that the windows before `next` need no further counts.
    fn announce(&self, next: Window) {
        with_tracker(&self.context, |it, _| it.commit_until(next));
        messages::send_to_all(&self.context, &notice(&self.context));
    }

    /// Adds the reports of the windows that are ready to a ledger; returns the number of windows that
    /// cannot be reported. Windows without requests before the first report are left out.
    fn add_ready(&self, ledger: &mut Ledger, is_first: bool) -> u64 {
        let up: Vec<id::Host> = self.context.state().membership.up_hosts().cloned().collect();
        let missed = with_tracker(&self.context, |tracker, now| {
            let time = tracker.clock.time(now);
            let taken_over = tracker.clock.time(self.taken_over_at);
            let first_kept = tracker.settings.window_at(time).saturating_sub(KEPT_WINDOWS);
            let mut missed = ledger.skip_until(first_kept);
            while ledger.has_room() {
                let missing = tracker.collector.missing_hosts(ledger.next, up.iter());
                if !Collector::is_ready(&tracker.settings, ledger.next, missing, taken_over, time) {
                    break;
                }
                let report = tracker.collector.report(ledger.next);
                if is_first && ledger.pending.is_empty() && report.counts.is_empty() {
                    ledger.next += 1;
                    continue;
                }
                tracing::debug!(window = ledger.next, missing, "committing a usage report");
                match ledger.with_next(report) {
                    Some(next) => *ledger = next,
                    None if ledger.pending.is_empty() => {
                        missed += ledger.skip_until(ledger.next + 1)
                    }
                    None => break,
                }
            }
            missed
        });
        missed.unwrap_or_default()
    }

    /// Sends the committed reports, the oldest first.
    async fn send(&mut self) {
        while let Some((_, ledger)) = &self.record
            && let Some(report) = ledger.pending.front().cloned()
        {
            let tenure = self.context.state().duties.tenure(clock::now()).cloned();
            let Some(tenure) = tenure.filter(|it| it.credential.epoch == self.epoch) else {
                return;
            };
            let result = self.endpoint.report_usage(&tenure, &report).await;
            let outcome = match &result {
                Ok(()) => "accepted",
                Err(Error::Fenced) => "fenced",
                Err(Error::Refused(_) | Error::Unavailable) => "refused",
                Err(Error::Lost(_)) => "lost",
            };
            self.context.metrics.usage_reports.with_label_values(&[outcome]).inc();
            if let Err(err) = result {
                return self.handle_failure(&tenure, report.window, &err);
            }
            if let Some((_, ledger)) = &mut self.record {
                ledger.pending.pop_front();
            }
            self.record_accepted(&report);
        }
    }

    fn handle_failure(&mut self, tenure: &Tenure, window: Window, err: &Error) {
        if *err == Error::Fenced {
            self.context.state_mut().duties.handle_fenced(tenure, clock::now());
        }
        if !self.is_failing {
            tracing::warn!(code = 8127, window, fault = %err, "usage report not accepted; sending it again");
        }
        self.is_failing = true;
        self.retry_later();
    }

    fn record_accepted(&mut self, report: &crate::usage::Report) {
        let time = with_tracker(&self.context, |it, now| it.clock.time(now)).unwrap_or_default();
        let late = time.saturating_sub(self.settings.end_of(report.window));
        tracing::info!(
            code = 8124,
            window = report.window,
            accounts = report.counts.len(),
            requests = report.counts.values().sum::<u64>(),
            late_ms = ms(late),
            "usage reported"
        );
        if self.is_failing {
            tracing::info!(code = 8128, window = report.window, "usage reports accepted again");
        }
        self.is_failing = false;
        self.context.metrics.usage_window.set(i64::try_from(report.window).unwrap_or(i64::MAX));
    }

    fn record_missed(&self, count: u64, next: Window) {
        if 0 < count {
            tracing::warn!(
                code = 8126,
                count,
                next,
                "usage windows passed over; they are not reported"
            );
            self.context.metrics.usage_missed.inc_by(count);
        }
    }

    fn retry_later(&mut self) {
        self.retry_at = clock::now() + RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
    }
}
