//! Has the store show that this host's targets and configuration are the newest, for streams without a
//! record.
//!
//! One pair of calls serves all callers that came before it. The watchers make the calls for the other
//! hosts, so that their number does not grow with that of the hosts; a host whose watchers do not answer
//! makes them itself.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::{
    sync::{Notify, mpsc},
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    cluster::{
        messages::{self, Kind, Message},
        origin_evidence::Evidence,
        origin_lookup::QueryNumber,
        stream_origin::Origin,
    },
    context::Context,
    store::{Error, Snapshot, Store},
    targets::registry::Change,
};

/// Longest time for which a resumption waits for the store.
const PROOF_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a host that has no answer of a watcher calls the store itself.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two calls of one watcher.
const WATCHER_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two calls of another host, for each host of the deployment.
const CALL_SPACING: Duration = Duration::from_millis(20);
/// Longest path of which other hosts are asked.
const MAX_PATH_BYTES: usize = 4096;

/// Request that takes a stream up, as far as it determines the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Subject {
    /// Service that may have begun the stream.
    pub service: id::Service,
    /// Host of the request.
    pub host: SmolStr,
    /// Path of the request.
    pub path: SmolStr,
}

/// A host asks a watcher what shows where a stream began.
#[derive(Debug, Serialize, Deserialize)]
struct Query {
    number: QueryNumber,
    subject: Subject,
}

impl Message for Query {
    const KIND: Kind = 41;
}

/// Answer to a [`Query`], whose evidence is newer than the query.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    number: QueryNumber,
    evidence: Evidence,
}

impl Message for Answer {
    const KIND: Kind = 42;
}

/// Calls of this host, and its queries that wait for answers.
#[derive(Debug, Default)]
pub struct Prover {
    /// Start of the last calls.
    called_at: Cell<Moment>,
    /// Start of the last calls that showed this host to be current.
    proven_at: Cell<Option<Moment>>,
    /// Notified when calls are wanted.
    wanted: Notify,
    /// Notified when calls have ended.
    ended: Notify,
    pending: RefCell<HashMap<QueryNumber, mpsc::Sender<Evidence>>>,
}

/// Removes a pending query on drop, also when the caller disconnects while it waits.
struct PendingGuard<'a> {
    prover: &'a Prover,
    number: QueryNumber,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.prover.pending.borrow_mut().remove(&self.number);
    }
}

/// Registers the handlers of the messages.
pub fn register(context: &Context) {
    context.handlers.register(|context, sender, query: Query| {
        spawn_local(answer(Rc::clone(context), sender, query));
    });
    context.handlers.register(|context, _, Answer { number, evidence }| {
        let pending = context.origin_prover.pending.borrow().get(&number).cloned();
        if pending.is_none_or(|it| it.try_send(evidence).is_err()) {
            tracing::debug!("evidence of a stream's origin came too late");
        }
    });
}

async fn answer(context: Rc<Context>, sender: id::Host, Query { number, subject }: Query) {
    if prove(&context, Instant::now() + PROOF_TIMEOUT).await {
        let evidence = evidence(&context, &subject, true);
        messages::send(&context, &sender, &Answer { number, evidence });
    }
}

/// Returns where the stream of a request began if it can be shown. `known` is what this host and others
/// know already.
pub async fn find(context: &Context, subject: &Subject, known: Evidence) -> Option<Origin> {
    let mut known = known;
    known.merge(evidence(context, subject, false));
    let end = Instant::now() + PROOF_TIMEOUT;
    let is_answered = ask_others(context, subject, &mut known).await;
    let is_proven = !is_answered && prove(context, end).await;
    known.merge(evidence(context, subject, is_proven));
    let in_force = context.state().configuration.as_ref().map(|it| it.version)?;
    let origin = known.into_origin(&subject.service, in_force);
    let outcome = if origin.is_some() { "shown" } else { "unknown" };
    context.metrics.origins_shown.with_label_values(&[outcome]).inc();
    origin
}

/// Returns what this host knows now; `is_proven` says whether the store has shown that it is current.
pub fn evidence(context: &Context, subject: &Subject, is_proven: bool) -> Evidence {
    let (state, now) = (context.state(), clock::now());
    let service = Some(&subject.service);
    let configuration = state.configuration.as_ref();
    Evidence {
        knowledge: state.stream_origins.knowledge(&id::Stream::default(), service, now),
        services: configuration
            .map(|it| state.route_history.services(&it.routes, &subject.host, &subject.path))
            .unwrap_or_default(),
        knows_routes: state.route_history.is_complete(now),
        newest_configuration: configuration.map(|it| it.version).filter(|_| is_proven),
    }
}

/// Asks other hosts unless this one can show the origin by itself, and adds their evidence until it
/// suffices. Returns whether any has answered.
async fn ask_others(context: &Context, subject: &Subject, known: &mut Evidence) -> bool {
    if MAX_PATH_BYTES < subject.host.len() + subject.path.len() {
        return false;
    }
    let hosts = hosts_to_ask(context, known);
    let (sender, mut answers) = mpsc::channel(hosts.len().max(1));
    let number = rand::random();
    let prover = &context.origin_prover;
    prover.pending.borrow_mut().insert(number, sender);
    let _guard = PendingGuard { prover, number };
    let query = Query { number, subject: subject.clone() };
    let asked = hosts.iter().filter(|it| messages::send(context, it, &query)).count();
    let end = Instant::now() + WATCHER_TIMEOUT;
    for answered in 0..asked {
        let Ok(Some(evidence)) = timeout_at(end, answers.recv()).await else {
            return 0 < answered;
        };
        known.merge(evidence);
        if known.knows_all() {
            return true;
        }
    }
    0 < asked
}

/// Returns the watchers, unless this host is one. A host that has not followed versions and routes for
/// long enough asks a few others too, since the watchers may have started as lately.
fn hosts_to_ask(context: &Context, known: &Evidence) -> BTreeSet<id::Host> {
    let state = context.state();
    let watchers = state.other_watchers();
    if known.knows_all() {
        return watchers.unwrap_or_default().into_iter().collect();
    }
    let others = state.membership.record_keepers("");
    watchers.unwrap_or_default().into_iter().chain(others).collect()
}

/// Returns whether the store shows, by calls that start from now on, that this host's targets and
/// configuration are the newest.
async fn prove(context: &Context, end: Instant) -> bool {
    let (prover, asked_at) = (&context.origin_prover, clock::now());
    loop {
        let ended = prover.ended.notified();
        if prover.proven_at.get().is_some_and(|it| asked_at <= it) {
            return true;
        }
        if asked_at <= prover.called_at.get() {
            return false;
        }
        prover.wanted.notify_one();
        if timeout_at(end, ended).await.is_err() {
            return false;
        }
    }
}

/// Makes the calls whenever they are wanted, forever.
pub async fn run<S: Store>(context: Rc<Context>, store: S) {
    let prover = &context.origin_prover;
    loop {
        prover.wanted.notified().await;
        sleep(
            interval(&context).saturating_sub(clock::now().saturating_sub(prover.called_at.get())),
        )
        .await;
        let started = clock::now();
        let is_current = match call(&context, &store).await {
            Ok(is_current) => is_current,
            Err(err) => {
                tracing::debug!(%err, "cannot show that the targets are the newest");
                false
            }
        };
        prover.called_at.set(started);
        if is_current {
            prover.proven_at.set(Some(started));
        }
        prover.ended.notify_waiters();
    }
}

fn interval(context: &Context) -> Duration {
    let state = context.state();
    let hosts = u32::try_from(state.membership.live_count()).unwrap_or(u32::MAX);
    let spacing = CALL_SPACING.saturating_mul(hosts);
    if state.is_watcher() { WATCHER_INTERVAL } else { spacing.max(WATCHER_INTERVAL) }
}

/// Asks the store for newer targets and a newer configuration. Returns whether the versions of all
/// targets are known, and the configuration is the newest.
async fn call<S: Store>(context: &Context, store: &S) -> Result<bool, Error> {
    let (targets_after, configuration_after, era) = {
        let state = context.state();
        let targets = state.targets_watch.known_version();
        let configuration = state.configuration_watch.known_version();
        (targets, configuration, state.store_era())
    };
    let (Some(targets_after), Some(configuration_after)) = (targets_after, configuration_after)
    else {
        return Ok(false);
    };
    let (targets, configuration) = tokio::join!(
        store.targets_after(targets_after, Duration::ZERO),
        store.configuration_after(configuration_after, Duration::ZERO),
    );
    let (targets, configuration) = (targets?, configuration?);
    let is_of_era = |it: Option<id::Era>| it.is_none_or(|it| it == era);
    if !is_of_era(targets.era) || !is_of_era(configuration.era) || store.newest_era() != era {
        return Ok(false);
    }
    let is_known = record_versions(context, targets);
    let in_force = context.state().configuration.as_ref().map(|it| it.version);
    let newest = configuration.contents.map(|it| it.version);
    Ok(is_known && configuration.is_complete && newest.is_none_or(|it| Some(it) <= in_force))
}

/// Records the versions of new targets; returns whether they are all known. A target that left before
/// this host saw it may have had any.
fn record_versions(context: &Context, changes: Snapshot<Vec<(id::Version, Change)>>) -> bool {
    let (mut state, now) = (context.state_mut(), clock::now());
    let mut announced = Vec::new();
    for (_, change) in changes.contents {
        match change {
            Change::Announced(target) => {
                state.stream_origins.record_version(&Origin::from(&target), now);
                announced.push(target.id);
            }
            Change::Removed(id) | Change::Unreadable(id) => {
                if state.registry.key(&id).is_none() && !announced.contains(&id) {
                    return false;
                }
            }
        }
    }
    true
}
