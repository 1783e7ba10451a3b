//! Follows the store: configuration, targets and hosts.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    configuration::Configuration,
    context::{Context, State},
    logging::Log,
    peers::{self, Packet},
    registry::Change,
    store::{Fault, Snapshot, Store},
    target::Target,
    watch::{News, Sight, Step, Watch},
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};

/// Pause after the first failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between failed calls, so that a store that returned is seen soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time that the store takes for an answer at most, beyond what it was asked to wait; one that took
/// longer may have lain here while this host was suspended.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Changes of targets that one datagram tells at most.
const MAX_CHANGES: usize = 64;
/// Interval at which the times of engines are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which lapsed targets are dropped and idle connections closed.
const TIDY_INTERVAL: Duration = Duration::from_millis(200);

/// Pauses between calls to the store, and when it was lost.
#[derive(Debug)]
struct Contact {
    what: &'static str,
    failures: u32,
    lost_at: Moment,
}

impl Contact {
    fn new(what: &'static str) -> Contact {
        Contact { what, failures: 0, lost_at: Moment::ZERO }
    }

    fn regained(&mut self, context: &Context) {
        if 0 < self.failures {
            let away = clock::now().saturating_sub(self.lost_at);
            tracing::info!(
                code = 8007,
                matter = self.what,
                away_ms = away.as_millis() as u64,
                failures = self.failures,
                "store answers again"
            );
        }
        self.failures = 0;
        context.metrics.store_calls.with_label_values(&["answered"]).inc();
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
            self.lost_at = clock::now();
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

/// A table of the store that hosts follow.
#[allow(async_fn_in_trait)] // the request path runs on one thread
pub trait Table {
    /// Name in the log.
    const NAME: &'static str;
    /// All that the table holds.
    type All;
    /// What changed.
    type Changes;

    /// Returns what is known of it.
    fn watch(state: &mut State) -> &mut Watch;

    /// Reads it.
    ///
    /// # Errors
    /// As [`Store::targets`].
    async fn read<S: Store>(store: &S) -> Result<Snapshot<Self::All>, Fault>;

    /// Asks for the changes after a version.
    ///
    /// # Errors
    /// As [`Store::targets_after`].
    async fn ask<S: Store>(
        store: &S,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Self::Changes>, Fault>;

    /// Takes over all that it holds.
    fn take_all(context: &Context, all: Self::All);

    /// Takes over changes and tells the other hosts of them if this one watches for them.
    fn take_changes(context: &Context, changes: Self::Changes, seen: Seen);
}

/// Where changes stand among those of their table.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    after: id::Version,
    at: id::Version,
    age: Duration,
    /// Whether the other hosts are told.
    is_watcher: bool,
}

impl Seen {
    fn sight<T>(self, contents: T) -> Sight<T> {
        Sight { after: self.after, at: self.at, age: self.age, contents }
    }
}

/// Keeps a table up to date, forever.
pub async fn table<S: Store, T: Table>(context: Rc<Context>, store: S) {
    let mut contact = Contact::new(T::NAME);
    let mut was_watcher = false;
    loop {
        let is_watcher = context.state().is_watcher();
        if is_watcher != was_watcher {
            tracing::info!(
                code = 8040,
                matter = T::NAME,
                is_watcher,
                "watching the store for other hosts"
            );
            was_watcher = is_watcher;
        }
        let begun = clock::now();
        let step = T::watch(&mut context.state_mut()).next(is_watcher, begun);
        let fault = match step {
            Step::Rest(time) => {
                tokio::select! {
                    () = sleep(time) => {}
                    () = context.sight_missed.notified() => {}
                }
                continue;
            }
            Step::Read => match T::read(&store).await {
                Ok(Snapshot { version, contents }) => {
                    observe_call(&context, T::NAME, begun);
                    note_answer::<T>(&context, &mut contact, version);
                    T::take_all(&context, contents);
                    continue;
                }
                Err(fault) => fault,
            },
            Step::Ask { after, wait } => {
                let wait = if wait { context.settings.feed_wait } else { Duration::ZERO };
                match T::ask(&store, after, wait).await {
                    Ok(Snapshot { version, contents }) => {
                        observe_call(&context, T::NAME, begun);
                        note_answer::<T>(&context, &mut contact, version);
                        let took = clock::now().saturating_sub(begun);
                        let age =
                            if took < wait + ANSWER_TIME { Duration::ZERO } else { took - wait };
                        T::take_changes(
                            &context,
                            contents,
                            Seen { after, at: version, age, is_watcher },
                        );
                        continue;
                    }
                    Err(fault) => fault,
                }
            }
        };
        observe_call(&context, T::NAME, begun);
        let history_gone = fault == Fault::HistoryGone;
        T::watch(&mut context.state_mut()).failed(history_gone, clock::now());
        contact.lost(&fault, &context).await;
    }
}

fn observe_call(context: &Context, matter: &str, begun: Moment) {
    let took = clock::now().saturating_sub(begun);
    context.metrics.store_time.with_label_values(&[matter]).observe(took.as_secs_f64());
}

fn note_answer<T: Table>(context: &Context, contact: &mut Contact, version: id::Version) {
    contact.regained(context);
    let return_time = context.settings.return_time;
    T::watch(&mut context.state_mut()).answered(version, return_time, clock::now());
}

/// The table with the operators' configuration.
#[derive(Debug)]
pub struct Configurations;

impl Table for Configurations {
    const NAME: &'static str = "configuration";
    type All = Option<Configuration>;
    type Changes = Option<Configuration>;

    fn watch(state: &mut State) -> &mut Watch {
        &mut state.configuration_watch
    }

    async fn read<S: Store>(store: &S) -> Result<Snapshot<Self::All>, Fault> {
        store.configuration().await
    }

    async fn ask<S: Store>(
        store: &S,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Self::Changes>, Fault> {
        store.configuration_after(after, wait).await
    }

    fn take_all(context: &Context, all: Self::All) {
        if let Some(configuration) = all {
            put_in_force(context, configuration);
        }
    }

    fn take_changes(context: &Context, changes: Self::Changes, seen: Seen) {
        Self::take_all(context, changes);
        if seen.is_watcher {
            let version = context.state().configuration.as_ref().map(|it| it.version);
            peers::send_to_all(context, &Packet::Configuration(seen.sight(version)));
        }
    }
}

/// Notes what another host saw of the configuration; a newer one is read from the store.
pub fn hear_configuration(context: &Context, sight: &Sight<Option<id::Version>>) {
    let return_time = context.settings.return_time;
    let mut state = context.state_mut();
    let own = state.configuration.as_ref().map(|it| it.version);
    let watch = &mut state.configuration_watch;
    let news = match own < sight.contents {
        true => {
            watch.miss();
            News::Missed
        }
        false => watch.hear(sight, return_time, clock::now()),
    };
    if news == News::Missed {
        context.sight_missed.notify_waiters();
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

/// The table with the targets.
#[derive(Debug)]
pub struct Targets;

impl Table for Targets {
    const NAME: &'static str = "targets";
    type All = Vec<Target>;
    type Changes = Vec<(id::Version, Change)>;

    fn watch(state: &mut State) -> &mut Watch {
        &mut state.targets_watch
    }

    async fn read<S: Store>(store: &S) -> Result<Snapshot<Self::All>, Fault> {
        store.targets().await
    }

    async fn ask<S: Store>(
        store: &S,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Self::Changes>, Fault> {
        store.targets_after(after, wait).await
    }

    fn take_all(context: &Context, all: Self::All) {
        let beliefs = {
            let mut state = context.state_mut();
            let settled = state.targets_watch.settled();
            state.registry.replace(all, settled, clock::now())
        };
        context.note_targets(beliefs);
    }

    fn take_changes(context: &Context, changes: Self::Changes, seen: Seen) {
        if seen.is_watcher {
            let sight = match changes.len() <= MAX_CHANGES {
                true => seen.sight(changes.clone()),
                // Says that there is something newer, so that the others ask for it.
                false => Seen { after: seen.at, ..seen }.sight(Vec::new()),
            };
            peers::send_to_all(context, &Packet::Targets(sight));
        }
        apply(context, changes);
    }
}

/// Notes what another host saw of the targets.
pub fn hear_targets(context: &Context, sight: Sight<Vec<(id::Version, Change)>>) {
    let return_time = context.settings.return_time;
    let news = context.state_mut().targets_watch.hear(&sight, return_time, clock::now());
    match news {
        News::Old => {}
        News::Missed => context.sight_missed.notify_waiters(),
        News::After(known) => {
            let unknown = sight.contents.into_iter().filter(|(version, _)| known < *version);
            apply(context, unknown.collect());
        }
    }
}

fn apply(context: &Context, changes: Vec<(id::Version, Change)>) {
    let beliefs = {
        let mut state = context.state_mut();
        let settled = state.targets_watch.settled();
        let now = clock::now();
        let registry = &mut state.registry;
        changes.into_iter().filter_map(|(_, it)| registry.apply(it, settled, now)).collect()
    };
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
        context.pool.close_expired();
        let now = clock::now();
        let mut state = context.state_mut();
        state.board.expire_grants(now);
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
