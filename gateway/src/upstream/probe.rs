//! Connects to targets, and finds out whether this host reaches any.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::clock;
use rand::seq::IteratorRandom;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    cluster::peers,
    context::Context,
    placement::dispatcher,
    targets::{reachability::Change, registry::Key},
    upstream::connection::{Connection, RequestError},
};

/// Interval at which targets are probed as long as it is necessary.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The same while the host is cut off.
const CUT_OFF_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Returns an idle connection to a target for a request with this identifier, or opens a new one.
///
/// # Errors
/// Fails when the target refuses the connection or does not accept it in time.
pub(crate) async fn connect(
    context: &Context,
    key: Key,
    address: std::net::SocketAddr,
    request_id: &str,
) -> Result<Connection, RequestError> {
    if let Some(connection) = context.pool.take_idle(&key, request_id) {
        return Ok(connection);
    }
    let opened = context.pool.open(address).await;
    match &opened {
        Ok(_) => record_connected(context, key),
        Err(err) => record_failed(context, key, err.is_refused()),
    }
    opened
}

fn record_connected(context: &Context, key: Key) {
    let (change, refused) = {
        let mut state = context.state_mut();
        let target_count = state.registry.all_usable().count();
        let change = state.reachability.record_connected(key, target_count, clock::now());
        let refused = state.reachability.take_refused();
        let targets = refused.into_iter().filter_map(|it| state.registry.get(it).cloned());
        (change, targets.collect::<Vec<_>>())
    };
    refused.iter().for_each(|it| dispatcher::report_refusal(context, it));
    record_change(context, change);
}

fn record_failed(context: &Context, key: Key, is_refused: bool) {
    let change = {
        let mut state = context.state_mut();
        let target_count = state.registry.all_usable().count();
        if is_refused {
            state.reachability.record_refused(key);
        }
        state.reachability.record_failed(key, target_count, clock::now())
    };
    context.connect_failed.notify_one();
    record_change(context, change);
}

fn record_change(context: &Context, change: Option<Change>) {
    let Some(change) = change else { return };
    let is_cut_off = change == Change::CutOff;
    context.metrics.cut_off.set(i64::from(is_cut_off));
    match change {
        Change::CutOff => {
            // Connections from before a cut may get no answer.
            context.pool.close_all();
            tracing::warn!(
                code = 8059,
                targets = context.state().registry.len(),
                "cut off from all targets; other hosts send the requests on. Check this host's links to the targets"
            );
        }
        Change::Restored => {
            tracing::info!(code = 8060, "targets are reachable again; sending requests to them");
        }
    }
    peers::announce(context);
}

/// Probes targets while there is a reason to doubt that this host reaches any, forever.
pub(crate) async fn run(context: Rc<Context>) {
    loop {
        if context.is_cut_off() {
            sleep(CUT_OFF_PROBE_INTERVAL).await;
        } else {
            tokio::select! {
                () = context.connect_failed.notified() => {}
                () = sleep(PROBE_INTERVAL) => {}
            }
        }
        let keys = due_probes(&context);
        let mut probes = JoinSet::new();
        for key in keys {
            probes.spawn_local(probe(Rc::clone(&context), key));
        }
        while probes.join_next().await.is_some() {}
    }
}

/// Opens a connection to a target, and keeps it for a request.
async fn probe(context: Rc<Context>, key: Key) {
    let address = context.state().registry.get(key).map(|it| it.address);
    let Some(address) = address else { return };
    let opened = context.pool.open(address).await;
    match opened {
        Ok(connection) => {
            record_connected(&context, key);
            context.pool.put_back(key, connection, None);
        }
        Err(_) => record_failed(&context, key, false),
    }
}

/// Returns random targets to probe now; those to which connections failed only if there are no
/// others.
fn due_probes(context: &Context) -> Vec<Key> {
    let (state, now) = (context.state(), clock::now());
    let has_work = state.load.all_own().next().is_some();
    let silence = has_work.then(|| now.saturating_sub(context.pool.last_received()));
    let count = state.reachability.due_probes(silence);
    if count == 0 {
        return Vec::new();
    }
    let mut random = rand::rng();
    let (failed, others): (Vec<Key>, Vec<Key>) =
        state.registry.all_usable().partition(|key| state.reachability.has_failed(*key));
    let mut keys = others.into_iter().choose_multiple(&mut random, count);
    let missing = count - keys.len();
    keys.extend(failed.into_iter().choose_multiple(&mut random, missing));
    keys
}
