//! Follows the store: configuration, targets and hosts.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    configuration::Configuration,
    context::Context,
    logging::Log,
    registry::Change,
    store::{Fault, Snapshot, Store},
    target::Target,
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};

/// Pause after the first failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between failed calls, so that a store that returned is seen soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time without an answer after which entries may have lapsed unseen.
const OUTAGE: Duration = Duration::from_millis(1500);
/// Interval at which the times of engines are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which lapsed targets are dropped and idle connections closed.
const TIDY_INTERVAL: Duration = Duration::from_millis(200);

/// Pauses between calls to the store, and when it was lost.
#[derive(Debug)]
struct Contact {
    what: &'static str,
    failures: u32,
    answered: Moment,
}

impl Contact {
    fn new(what: &'static str) -> Contact {
        Contact { what, failures: 0, answered: clock::now() }
    }

    /// Notes an answer; returns whether the store was away for long before it.
    fn regained(&mut self, context: &Context) -> bool {
        let now = clock::now();
        let away = now.saturating_sub(self.answered);
        if 0 < self.failures {
            tracing::info!(
                code = 8007,
                matter = self.what,
                away_ms = away.as_millis() as u64,
                failures = self.failures,
                "store answers again"
            );
        }
        let outage = 0 < self.failures && OUTAGE < away;
        self.failures = 0;
        self.answered = now;
        context.metrics.store_calls.with_label_values(&["answered"]).inc();
        outage
    }

    async fn lost(&mut self, fault: &Fault, context: &Context) {
        let outcome = match fault {
            Fault::Refused(_) => "refused",
            Fault::Lost(_) => "lost",
            Fault::HistoryGone => "history-gone",
            Fault::Unreadable(_) => "unreadable",
        };
        context.metrics.store_calls.with_label_values(&[outcome]).inc();
        if self.failures == 0 {
            tracing::warn!(code = 8008,
                matter = self.what,
                %fault,
                "store does not answer; going on with what is known"
            );
        }
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        sleep(pause.min(LONGEST_PAUSE).mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Keeps the configuration up to date, forever.
pub async fn configuration<S: Store>(context: Rc<Context>, store: S) {
    let mut contact = Contact::new("configuration");
    let mut version = None;
    loop {
        let wait = context.settings.feed_wait;
        let read = match version {
            None => store.configuration().await,
            Some(after) => store.configuration_after(after, wait).await,
        };
        match read {
            Ok(Snapshot { version: at, contents }) => {
                contact.regained(&context);
                version = Some(at);
                context.state_mut().configuration_seen = clock::now();
                match contents {
                    Some(configuration) => put_in_force(&context, configuration),
                    None if context.state().configuration.is_none() => sleep(FIRST_PAUSE).await,
                    None => {}
                }
            }
            Err(fault) => {
                if fault == Fault::HistoryGone {
                    version = None;
                }
                contact.lost(&fault, &context).await;
            }
        }
    }
}

/// Takes over a configuration unless a newer one is in force.
fn put_in_force(context: &Context, configuration: Configuration) {
    let version = configuration.version;
    let in_force: Option<id::Version> = context.state().configuration.as_ref().map(|it| it.version);
    if in_force.is_some_and(|it| version <= it) {
        if in_force != Some(version) {
            tracing::warn!(
                code = 8009,
                version,
                in_force,
                "store shows an older configuration; keeping the newer"
            );
        }
        return;
    }
    context.state_mut().configuration = Some(Rc::new(configuration));
    context.metrics.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
    tracing::info!(code = 8010, version, before = in_force, "configuration in force");
}

/// Keeps the targets up to date, forever.
pub async fn targets<S: Store>(context: Rc<Context>, store: S) {
    let mut contact = Contact::new("targets");
    let mut version = None;
    let mut settled = clock::now();
    loop {
        let read = match version {
            None => store.targets().await.map(|it| it.map(Seen::All)),
            Some(after) => {
                let changes = store.targets_after(after, context.settings.feed_wait).await;
                changes.map(|it| it.map(Seen::Changes))
            }
        };
        match read {
            Ok(Snapshot { version: at, contents }) => {
                let outage = contact.regained(&context);
                let now = clock::now();
                if outage {
                    settled = now + context.settings.return_time;
                }
                version = Some(at);
                take_over(&context, contents, settled, now);
            }
            Err(fault) => {
                if fault == Fault::HistoryGone {
                    version = None;
                }
                contact.lost(&fault, &context).await;
            }
        }
    }
}

/// What the store showed of the targets.
enum Seen {
    All(Vec<Target>),
    Changes(Vec<Change>),
}

fn take_over(context: &Context, seen: Seen, settled: Moment, now: Moment) {
    let mut state = context.state_mut();
    state.targets_seen = now;
    let registry = &mut state.registry;
    let beliefs = match seen {
        Seen::All(targets) => registry.replace(targets, settled, now),
        Seen::Changes(changes) => {
            changes.into_iter().filter_map(|it| registry.apply(it, settled, now)).collect()
        }
    };
    drop(state);
    context.note_targets(beliefs);
}

/// Logs how fast the engines are believed to be, and lines that the log had to drop, forever.
pub async fn log_times(context: Rc<Context>) {
    let mut dropped = 0;
    loop {
        sleep(LOG_INTERVAL).await;
        let now_dropped = context.log.as_ref().map_or(0, Log::dropped);
        if dropped < now_dropped {
            tracing::warn!(
                code = 8039,
                lines = now_dropped - dropped,
                "log lines were dropped since the reader is too slow"
            );
            dropped = now_dropped;
        }
        for (service, times) in &context.state().times {
            times.log(service);
        }
    }
}

/// Drops lapsed targets and closes idle connections, forever.
pub async fn tidy(context: Rc<Context>) {
    loop {
        sleep(TIDY_INTERVAL).await;
        let beliefs = context.state_mut().registry.expire(clock::now());
        if !beliefs.is_empty() {
            context.note_targets(beliefs);
        }
        context.pool.expire();
        let now = clock::now();
        let mut state = context.state_mut();
        state.board.expire(now);
        state.poison.expire(now);
    }
}

/// Announces this host and learns of the others, until both succeeded once.
pub async fn hosts<S: Store>(context: Rc<Context>, store: S) {
    let mut contact = Contact::new("hosts");
    let own = context.settings.host.clone();
    loop {
        match store.announce(&own).await {
            Ok(()) => break,
            Err(fault) => contact.lost(&fault, &context).await,
        }
    }
    loop {
        match store.hosts().await {
            Ok(hosts) => {
                contact.regained(&context);
                let mut state = context.state_mut();
                for host in hosts {
                    state.membership.introduce(host);
                }
                return;
            }
            Err(fault) => contact.lost(&fault, &context).await,
        }
    }
}
