//! Keeps configuration and targets in sync with the store, and registers this host there.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    account::proof,
    cluster::{
        origin_lookup,
        peers::{self, Packet},
        stream_origin::Origin,
    },
    configuration::Configuration,
    context::{Context, State},
    logging::Log,
    store::{
        Announcement, Error, Snapshot, Store, era,
        watch::{self, Effect, Step, Update, Watch},
    },
    targets::{
        registry::{Change, Event},
        target::Target,
    },
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};

/// Delay after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay between failed calls, before jitter; short, so that a recovered store is noticed
/// soon.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Longest expected duration of a call beyond its long-poll wait. An answer that took longer may
/// have been queued here while this host was suspended, so it counts as old.
const MAX_CALL_TIME: Duration = Duration::from_millis(900);
/// Most target changes in one datagram.
const MAX_CHANGES_PER_DATAGRAM: usize = 64;
/// Interval at which latency models and dropped log lines are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which expired targets, idle connections and other outdated state are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Outcomes of calls for one table: counters, log lines, and the backoff after failures.
#[derive(Debug)]
pub(crate) struct Backoff {
    table: &'static str,
    /// Consecutive failures.
    failures: u32,
    /// Time of the first of the consecutive failures.
    failing_since: Moment,
}

impl Backoff {
    pub(crate) fn new(table: &'static str) -> Backoff {
        Backoff { table, failures: 0, failing_since: Moment::ZERO }
    }

    pub(crate) fn record_success(&mut self, context: &Context) {
        if 0 < self.failures {
            let away = clock::now().saturating_sub(self.failing_since);
            tracing::info!(
                code = 8007,
                matter = self.table,
                away_ms = away.as_millis() as u64,
                failures = self.failures,
                "store available again"
            );
        }
        self.failures = 0;
        context.metrics.store_calls.with_label_values(&["answered"]).inc();
    }

    /// Records a failed call and sleeps until the next one is due.
    pub(crate) async fn record_failure(&mut self, err: &Error, context: &Context) {
        let outcome = match err {
            Error::Refused(_) => "refused",
            Error::Lost(_) => "lost",
            Error::HistoryGone => "history-gone",
            Error::EarlierEra => "earlier-era",
            Error::Unreadable(_) => "unreadable",
        };
        context.metrics.store_calls.with_label_values(&[outcome]).inc();
        if self.failures == 0 {
            self.failing_since = clock::now();
            tracing::warn!(code = 8008,
                matter = self.table,
                fault = %err,
                "store unavailable; using the last known state"
            );
        }
        let delay = INITIAL_BACKOFF * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        sleep(delay.min(MAX_BACKOFF).mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// A table of the store that hosts keep in sync.
#[allow(async_fn_in_trait)] // the request path runs on one thread
pub trait Table {
    /// Name of the table in log lines and metrics.
    const NAME: &'static str;
    /// Age of the last confirmation from which on the table is read in full instead of polled.
    const MAX_POLL_AGE: Duration;
    /// Full contents of the table.
    type Contents;
    /// Changes since a version.
    type Changes;

    /// Returns the synchronisation state of the table.
    fn watch(state: &mut State) -> &mut Watch;

    /// Reads the whole table.
    ///
    /// # Errors
    /// As [`Store::targets`].
    async fn read_all<S: Store>(store: &S) -> Result<Snapshot<Self::Contents>, Error>;

    /// Reads the changes after a version, waiting up to `wait` for the first one.
    ///
    /// # Errors
    /// As [`Store::targets_after`].
    async fn changes_after<S: Store>(
        store: &S,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Self::Changes>, Error>;

    /// Returns the version after which the update of a watcher that read the table in full at a version
    /// has all changes.
    fn covered_after(version: id::Version) -> id::Version;

    /// Applies the full contents to the state of this host and, on a watcher, sends the other hosts
    /// what they must know before they read the table themselves.
    fn apply_contents(context: &Context, contents: Self::Contents, coverage: Coverage);

    /// Applies changes after version `known` to the state of this host and, on a watcher, sends
    /// them to the other hosts.
    fn apply_changes(
        context: &Context,
        changes: Self::Changes,
        known: id::Version,
        coverage: Coverage,
    );
}

/// How contents or changes of a table were got from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Method {
    /// Read of the whole table.
    Read,
    /// Poll without a wait, since this host lacked a change or nothing confirmed its state.
    Poll,
    /// Poll that the store held until there was a change.
    LongPoll,
}

impl Method {
    /// Returns the name in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Method::Read => "read",
            Method::Poll => "poll",
            Method::LongPoll => "long-poll",
        }
    }
}

/// Range of versions that an answer of the store covers, and its age.
#[derive(Debug, Clone, Copy)]
pub struct Coverage {
    /// Era of the store to which the versions belong.
    era: id::Era,
    /// Version after which changes are included.
    after: id::Version,
    /// Last version whose changes are included.
    up_to: id::Version,
    /// Time since the store answered.
    age: Duration,
    /// Whether this host forwards the changes to the others.
    is_watcher: bool,
    /// Time of the store's clock at which the answer was read; `None` if it does not name it.
    read_at: Option<Duration>,
    /// Whether all of the answer could be decoded.
    is_complete: bool,
    /// How they were got.
    method: Method,
    /// Time for which this host had known of a change that it lacked; zero unless it had.
    behind: Duration,
}

impl Coverage {
    fn update<T>(self, contents: T) -> Update<T> {
        Update { after: self.after, up_to: self.up_to, age: self.age, contents, era: self.era }
    }
}

/// Keeps a table in sync with the store, forever.
pub async fn sync_table<S: Store, T: Table>(context: Rc<Context>, store: S) {
    let mut backoff = Backoff::new(T::NAME);
    let mut was_watcher = false;
    loop {
        let is_watcher = context.state().is_watcher();
        if is_watcher != was_watcher {
            tracing::info!(
                code = 8040,
                matter = T::NAME,
                is_watcher,
                "role of store watcher changed"
            );
            was_watcher = is_watcher;
        }
        let started = clock::now();
        let (step, call_era, watch_call) = {
            let mut state = context.state_mut();
            let watch = T::watch(&mut state);
            (watch.next(is_watcher, started), watch.era(), watch.begin_call())
        };
        let err = match step {
            Step::Sleep(time) => {
                tokio::select! {
                    () = sleep(time) => {}
                    () = context.update_missed.notified() => {}
                    () = context.watch_role_changed.notified() => {}
                }
                continue;
            }
            Step::Read => {
                let result = T::read_all(&store).await;
                observe_era(&context, store.newest_era());
                match check_answer::<T, _>(&context, result, true, call_era) {
                    Ok(snapshot) => {
                        observe_call(&context, T::NAME, started);
                        proof::record_call(&context, &snapshot, call_era, started);
                        let Snapshot { version, read_at, is_complete, contents, .. } = snapshot;
                        let behind = time_behind::<T>(&context);
                        let age = answer_age(started, Duration::ZERO);
                        let known =
                            record_answer::<T>(&context, &mut backoff, watch_call, version, age);
                        if version < known {
                            // Updates from other hosts have overtaken the answer.
                            T::watch(&mut context.state_mut()).mark_behind(clock::now());
                            continue;
                        }
                        let era = T::watch(&mut context.state_mut()).era();
                        let coverage = Coverage {
                            era,
                            after: T::covered_after(version),
                            up_to: version,
                            age,
                            is_watcher,
                            read_at,
                            is_complete,
                            method: Method::Read,
                            behind,
                        };
                        T::apply_contents(&context, contents, coverage);
                        continue;
                    }
                    Err(err) => err,
                }
            }
            Step::Poll { after, long_poll } => {
                let wait =
                    if long_poll { context.settings.long_poll_timeout } else { Duration::ZERO };
                let result = T::changes_after(&store, after, wait).await;
                observe_era(&context, store.newest_era());
                match check_answer::<T, _>(&context, result, false, call_era) {
                    Ok(snapshot) => {
                        observe_call(&context, T::NAME, started);
                        proof::record_call(&context, &snapshot, call_era, started);
                        if snapshot.has_skipped {
                            context.state_mut().route_history.interrupt();
                        }
                        let Snapshot { version, read_at, is_complete, contents, .. } = snapshot;
                        let behind = time_behind::<T>(&context);
                        let age = answer_age(started, wait);
                        let known =
                            record_answer::<T>(&context, &mut backoff, watch_call, version, age);
                        T::apply_changes(
                            &context,
                            contents,
                            known,
                            Coverage {
                                era: call_era,
                                after,
                                up_to: version,
                                age,
                                is_watcher,
                                read_at,
                                is_complete,
                                method: if long_poll { Method::LongPoll } else { Method::Poll },
                                behind,
                            },
                        );
                        continue;
                    }
                    Err(err) => err,
                }
            }
        };
        observe_call(&context, T::NAME, started);
        match err {
            Error::HistoryGone if T::watch(&mut context.state_mut()).era() != call_era => {
                T::watch(&mut context.state_mut()).record_contact();
                backoff.record_success(&context);
                continue;
            }
            Error::EarlierEra => tracing::warn!(
                code = 8046,
                matter = T::NAME,
                call_era,
                "ignoring an answer of the store's earlier era"
            ),
            _ => {
                let history_gone = err == Error::HistoryGone;
                T::watch(&mut context.state_mut()).record_failure(history_gone, clock::now());
            }
        }
        backoff.record_failure(&err, &context).await;
    }
}

/// Returns the answer of the store if it can be applied.
fn check_answer<T: Table, C>(
    context: &Context,
    answer: Result<Snapshot<C>, Error>,
    is_full: bool,
    call_era: id::Era,
) -> Result<Snapshot<C>, Error> {
    let answer = answer?;
    T::watch(&mut context.state_mut()).check_answer(is_full, call_era, answer.era)?;
    Ok(answer)
}

/// Starts a later era of the store: both tables are read again, and this host is announced again.
fn observe_era(context: &Context, era: id::Era) {
    let reannounce_grace = context.settings.reannounce_grace;
    let state = &mut *context.state_mut();
    let before = state.store_era();
    if era <= before {
        return;
    }
    let (host_count, now) = (state.membership.live_count(), clock::now());
    let mut start = |watch: &mut Watch| {
        let delay = era::read_delay(host_count, rand::random());
        watch.start_era(era, delay, reannounce_grace, now)
    };
    let was_read = [&mut state.configuration_watch, &mut state.targets_watch].map(&mut start);
    state.registry.unsettle(state.targets_watch.reannounce_deadline());
    if was_read.contains(&true) {
        state.stream_origins.interrupt();
        state.route_history.interrupt();
    }
    context.metrics.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    if was_read.contains(&true) {
        tracing::warn!(
            code = 8045,
            era,
            before,
            "store came back from an earlier copy; reading its tables again"
        );
    }
    context.update_missed.notify_waiters();
    context.store_era_changed.notify_waiters();
}

fn observe_call(context: &Context, table: &str, started: Moment) {
    let took = clock::now().saturating_sub(started);
    context.metrics.store_call_time.with_label_values(&[table]).observe(took.as_secs_f64());
}

/// Returns the time for which this host has known of a change of the table that it lacks.
fn time_behind<T: Table>(context: &Context) -> Duration {
    let since = T::watch(&mut context.state_mut()).behind_since();
    since.map_or(Duration::ZERO, |it| clock::now().saturating_sub(it))
}

/// Returns the age of an answer that has arrived, given the start of its call and the time for which
/// the store may have held the call; zero if it came without delay.
fn answer_age(started: Moment, wait: Duration) -> Duration {
    let took = clock::now().saturating_sub(started);
    if took < wait + MAX_CALL_TIME { Duration::ZERO } else { took - wait }
}

/// Records an answer and returns the version up to which its changes were already applied.
fn record_answer<T: Table>(
    context: &Context,
    backoff: &mut Backoff,
    call: watch::Call,
    version: id::Version,
    age: Duration,
) -> id::Version {
    backoff.record_success(context);
    let reannounce_grace = context.settings.reannounce_grace;
    let mut state = context.state_mut();
    T::watch(&mut state).record_answer(call, version, age, reannounce_grace, clock::now())
}

/// Table that holds the operators' configuration.
#[derive(Debug)]
pub struct ConfigurationTable;

impl Table for ConfigurationTable {
    const NAME: &'static str = "configuration";
    // Each version is whole, so that a few of them are larger than the table.
    const MAX_POLL_AGE: Duration = Duration::from_secs(2);
    type Contents = Option<Configuration>;
    type Changes = Option<Configuration>;

    fn watch(state: &mut State) -> &mut Watch {
        &mut state.configuration_watch
    }

    async fn read_all<S: Store>(store: &S) -> Result<Snapshot<Self::Contents>, Error> {
        store.configuration().await
    }

    async fn changes_after<S: Store>(
        store: &S,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Self::Changes>, Error> {
        store.configuration_after(after, wait).await
    }

    fn covered_after(_version: id::Version) -> id::Version {
        // The update names the version of the configuration, and a receiver that lacks it reads it.
        0
    }

    fn apply_contents(context: &Context, contents: Self::Contents, coverage: Coverage) {
        if !coverage.is_complete || contents.is_some() {
            let freshness = &mut context.state_mut().accounts.freshness;
            freshness.set_readable(coverage.is_complete);
        }
        if let Some(configuration) = contents {
            activate(context, configuration, coverage);
        }
        let Coverage { era, read_at, is_watcher, .. } = coverage;
        proof::record_configuration(context, era, read_at, is_watcher);
        // A host that gets an update takes the version for read. Without one, it reads by itself.
        let is_readable = context.state().accounts.freshness.is_readable();
        if coverage.is_watcher && is_readable {
            let version = context.state().configuration.as_ref().map(|it| it.version);
            peers::send_to_all(context, &Packet::ConfigurationUpdate(coverage.update(version)));
        }
    }

    fn apply_changes(
        context: &Context,
        changes: Self::Changes,
        _known: id::Version,
        coverage: Coverage,
    ) {
        Self::apply_contents(context, changes, coverage);
    }
}

/// Handles a configuration update from another host. The update has only the version, so a newer
/// configuration is read from the store.
pub fn handle_configuration_update(context: &Context, update: &Update<Option<id::Version>>) {
    observe_era(context, update.era);
    let reannounce_grace = context.settings.reannounce_grace;
    let mut state = context.state_mut();
    let own = state.configuration.as_ref().map(|it| it.version);
    let watch = &mut state.configuration_watch;
    let effect = match own < update.contents {
        true => {
            watch.mark_behind(clock::now());
            Effect::Behind
        }
        false => watch.apply_update(update, reannounce_grace, clock::now()),
    };
    if effect == Effect::Behind {
        context.update_missed.notify_waiters();
    }
}

/// Puts a configuration in force, unless it is no newer than the one in force.
fn activate(context: &Context, configuration: Configuration, coverage: Coverage) {
    let version = configuration.version;
    let in_force: Option<id::Version> = context.state().configuration.as_ref().map(|it| it.version);
    if in_force.is_some_and(|it| version <= it) {
        if in_force != Some(version) {
            tracing::warn!(
                code = 8009,
                version,
                in_force,
                "store returned a configuration older than the one in force; ignoring it"
            );
        }
        return;
    }
    let configuration = Rc::new(configuration);
    let former = context.state_mut().configuration.replace(Rc::clone(&configuration));
    if former.is_some() && coverage.method == Method::Read {
        // Others may have been in force since the last answer.
        context.state_mut().route_history.interrupt();
    }
    if let Some(former) = former.filter(|it| !it.routes.leads_like(&configuration.routes)) {
        let state = &mut *context.state_mut();
        state.route_history.record_former(former, clock::now());
        state.stream_origins.record_route_change();
    }
    origin_lookup::publish_pending(context);
    context.metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    tracing::info!(
        code = 8010,
        version,
        before = in_force,
        call = coverage.method.as_str(),
        behind_ms = coverage.behind.as_millis() as u64,
        "configuration in force"
    );
}

/// Table that holds the targets.
#[derive(Debug)]
pub struct TargetTable;

impl Table for TargetTable {
    const NAME: &'static str = "targets";
    // A change is small against the table.
    const MAX_POLL_AGE: Duration = Duration::from_secs(10);
    type Contents = Vec<Target>;
    type Changes = Vec<(id::Version, Change)>;

    fn watch(state: &mut State) -> &mut Watch {
        &mut state.targets_watch
    }

    async fn read_all<S: Store>(store: &S) -> Result<Snapshot<Self::Contents>, Error> {
        store.targets().await
    }

    async fn changes_after<S: Store>(
        store: &S,
        after: id::Version,
        wait: Duration,
    ) -> Result<Snapshot<Self::Changes>, Error> {
        store.targets_after(after, wait).await
    }

    fn covered_after(version: id::Version) -> id::Version {
        version
    }

    fn apply_contents(context: &Context, contents: Self::Contents, coverage: Coverage) {
        let events = {
            let mut state = context.state_mut();
            let reannounce_deadline = state.targets_watch.reannounce_deadline();
            if !state.registry.is_empty() {
                // Targets may have come and gone since the last answer.
                state.stream_origins.interrupt();
            }
            state.registry.replace(contents, reannounce_deadline, clock::now())
        };
        // In a new era, the other hosts have yet to read the table.
        let changes = {
            let state = context.state();
            let targets = events.iter().filter_map(|event| match event {
                Event::Added(key, _) | Event::Draining(key, _) => state.registry.get(*key),
                Event::Removed(..) | Event::Withheld(..) => None,
            });
            targets.map(|it| (coverage.up_to, Change::Announced(it.clone()))).collect()
        };
        send_target_update(context, changes, coverage);
        context.record_target_events(events);
    }

    fn apply_changes(
        context: &Context,
        changes: Self::Changes,
        known: id::Version,
        coverage: Coverage,
    ) {
        send_target_update(context, changes.clone(), coverage);
        apply_target_changes(context, changes, known);
    }
}

/// Sends target changes to the other hosts if this host is a watcher.
fn send_target_update(context: &Context, changes: Vec<(id::Version, Change)>, coverage: Coverage) {
    if !coverage.is_watcher {
        return;
    }
    let update = match changes.len() <= MAX_CHANGES_PER_DATAGRAM {
        true => coverage.update(changes),
        // Too many changes for a datagram: the gap makes the other hosts poll the store.
        false => Coverage { after: coverage.up_to, ..coverage }.update(Vec::new()),
    };
    peers::send_to_all(context, &Packet::TargetUpdate(update));
}

/// Handles a target update from another host.
pub fn handle_target_update(context: &Context, update: Update<Vec<(id::Version, Change)>>) {
    observe_era(context, update.era);
    let reannounce_grace = context.settings.reannounce_grace;
    let effect =
        context.state_mut().targets_watch.apply_update(&update, reannounce_grace, clock::now());
    match effect {
        Effect::Stale => {}
        Effect::Behind => context.update_missed.notify_waiters(),
        Effect::NewAfter(known) => {
            apply_target_changes(context, update.contents, known);
        }
    }
}

/// Applies the target changes after version `known`.
fn apply_target_changes(
    context: &Context,
    changes: Vec<(id::Version, Change)>,
    known: id::Version,
) {
    let events = {
        let state = &mut *context.state_mut();
        let reannounce_deadline = state.targets_watch.reannounce_deadline();
        let now = clock::now();
        let mut events = Vec::new();
        for (_, change) in changes.into_iter().filter(|(version, _)| known < *version) {
            // A target may have gone again by the end of the changes.
            match &change {
                Change::Announced(target) => {
                    state.stream_origins.record_version(&Origin::from(target), now);
                }
                Change::Removed(id) | Change::Unreadable(id)
                    if state.registry.key(id).is_none() =>
                {
                    state.stream_origins.interrupt();
                }
                Change::Removed(_) | Change::Unreadable(_) => {}
            }
            events.extend(state.registry.apply(change, reannounce_deadline, now));
        }
        events
    };
    context.record_target_events(events);
}

/// Logs the latency models of the engines and the number of dropped log lines, forever.
pub async fn log_statistics(context: Rc<Context>) {
    let mut logged_drops = 0;
    loop {
        sleep(LOG_INTERVAL).await;
        let dropped = context.log.as_ref().map_or(0, Log::dropped_lines);
        if logged_drops < dropped {
            tracing::warn!(
                code = 8039,
                lines = dropped - logged_drops,
                "log lines dropped because standard output is read too slowly"
            );
            logged_drops = dropped;
        }
        for (service, latency_model) in &context.state().latency_models {
            latency_model.log(service);
        }
    }
}

/// Drops expired targets, idle connections, reports, grants and records of broken requests, forever.
pub async fn expire_state(context: Rc<Context>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let events = {
            let state = &mut *context.state_mut();
            let now = clock::now();
            let mut events = state.registry.expire(now);
            // The last answer may have been on its way for this long.
            let current_at = state.targets_watch.confirmed_at().saturating_sub(MAX_CALL_TIME);
            events.extend(state.registry.settle(current_at, now));
            events
        };
        if !events.is_empty() {
            context.record_target_events(events);
        }
        proof::renew_call(&context);
        proof::log_validity(&context);
        context.pool.close_expired();
        context.peer_pool.close_expired();
        let now = clock::now();
        let mut state = context.state_mut();
        state.load.expire(now);
        state.poison_parts.expire(now);
        state.availability.expire(now);
        state.observe_versions(now);
        state.stream_origins.expire(now);
    }
}

/// Announces this host in the store and reads the other hosts there, at the start and whenever the
/// store came back from a copy that may lack the announcement.
pub async fn register_host<S: Store>(context: Rc<Context>, store: S) {
    let mut backoff = Backoff::new("hosts");
    // The rows of a former run are still there after a failure of all hosts, while many
    // announcements at once take the store seconds.
    read_hosts(&context, &store, &mut backoff).await;
    loop {
        let era = announce_host(&context, &store, &mut backoff).await;
        // The hosts that announced themselves in between; those that do so later send this host a
        // heartbeat.
        read_hosts(&context, &store, &mut backoff).await;
        context.state_mut().membership.set_registered();
        context.watch_role_changed.notify_waiters();
        while context.state().store_era() <= era {
            context.store_era_changed.notified().await;
        }
        let host_count = context.state().membership.live_count();
        sleep(era::announcement_delay(host_count, rand::random())).await;
        if context.is_shutting_down() {
            return;
        }
        tracing::info!(
            code = 8047,
            before = era,
            "announcing this host again in the store's new era"
        );
    }
}

/// Announces this host, retrying until it succeeds, and returns the era of the announcement.
async fn announce_host<S: Store>(context: &Context, store: &S, backoff: &mut Backoff) -> id::Era {
    loop {
        let call_era = context.state().store_era();
        let announcement = Announcement {
            host: context.settings.host.clone(),
            archives_streams: context.stream_archive.is_present(),
        };
        let result = store.announce(&announcement).await;
        observe_era(context, store.newest_era());
        match result {
            Ok(era) => return era.unwrap_or(call_era),
            Err(err) => backoff.record_failure(&err, context).await,
        }
    }
}

async fn read_hosts<S: Store>(context: &Context, store: &S, backoff: &mut Backoff) {
    loop {
        match store.hosts().await {
            Ok(hosts) => {
                backoff.record_success(context);
                let (mut state, now) = (context.state_mut(), clock::now());
                context
                    .stream_archive
                    .record_announcements(hosts.iter().any(|it| it.archives_streams));
                for Announcement { host, .. } in hosts {
                    state.membership.add_registered(host, now);
                }
                return;
            }
            Err(err) => backoff.record_failure(&err, context).await,
        }
    }
}
