//! Request path of an entry host before services that the operators' configuration names.
//!
//! Everything runs on one thread. Decisions (`balancer`, `configuration`, `deadline`, `dispatch`,
//! `election`, `engine`, `event_stream`, `health`, `load`, `membership`, `poison`, `prefix_cache`,
//! `registry`, `retry_after`, `retry_budget`, `slowness`, `watch`) neither wait nor read a clock;
//! `dispatcher`, `forward`, `peers`, `http_server`, `reservation`, `store_sync`, `stream_relay` and `upstream` run them.
//! Names and formats of a deployment's platform come in through [`store::Store`],
//! [`headers::HeaderNames`] and [`directory::Directory`].

pub mod attempt;
pub mod balancer;
pub mod configuration;
pub mod context;
pub mod deadline;
pub mod directory;
pub mod dispatch;
pub mod dispatcher;
pub mod election;
pub mod engine;
pub mod event_stream;
pub mod forward;
pub mod headers;
pub mod health;
pub mod http_server;
pub mod job;
pub mod load;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod peers;
pub mod poison;
pub mod prefill;
pub mod prefix_cache;
pub mod prompt;
pub mod registry;
pub mod reservation;
pub mod response;
pub mod retry_after;
pub mod retry_budget;
pub mod selection;
pub mod slowness;
pub mod store;
pub mod store_sync;
pub mod stream_relay;
pub mod target;
pub mod target_response;
pub mod tasks;
pub mod timeline;
pub mod upstream;
pub mod watch;
pub mod watchdog;

use std::{io, rc::Rc, time::Duration};

use hyper::Request;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync,
    task::{JoinSet, spawn_local},
    time::{Instant, sleep},
};

use crate::{
    context::{Bounds, Context},
    directory::Directory,
    http_server::Phase,
    store::Store,
};

/// Time for which a leaving host goes on taking requests, so that callers learn of it first.
const FAREWELL: Duration = Duration::from_millis(2500);
/// Time before the end of the grace period at which a leaving host stops waiting.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which the settings are read again without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which a leaving host looks whether its last request ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time that the withdrawal from the store may take.
const WITHDRAW_TIME: Duration = Duration::from_millis(500);

/// Serves until the process is told to stop and its requests have ended.
///
/// `read_bounds` reads the settings again, on a signal and from time to time.
///
/// # Errors
/// Fails when a port cannot be bound or signals cannot be watched.
pub async fn run<S: Store, D: Directory + 'static>(
    context: Rc<Context>,
    store: S,
    directory: D,
    read_bounds: impl Fn() -> Result<Bounds, String> + 'static,
) -> io::Result<()> {
    let (phase, watched) = sync::watch::channel(Phase::Open);
    serve_ports(&context, directory, &watched)?;
    let mut tasks = JoinSet::new();
    tasks.spawn_local(store_sync::sync_table::<_, store_sync::ConfigurationTable>(
        Rc::clone(&context),
        store.clone(),
    ));
    tasks.spawn_local(store_sync::sync_table::<_, store_sync::TargetTable>(
        Rc::clone(&context),
        store.clone(),
    ));
    tasks.spawn_local(store_sync::register_host(Rc::clone(&context), store.clone()));
    tasks.spawn_local(store_sync::log_statistics(Rc::clone(&context)));
    tasks.spawn_local(store_sync::expire_state(Rc::clone(&context)));
    tasks.spawn_local(keep_peers(Rc::clone(&context)));
    tasks.spawn_local(peers::report_work(Rc::clone(&context)));
    tasks.spawn_local(dispatcher::run(Rc::clone(&context)));
    tasks.spawn_local(reload(Rc::clone(&context), signal(SignalKind::hangup())?, read_bounds));
    let mut terminate = signal(SignalKind::terminate())?;
    tracing::info!(code = 8016, host = %context.settings.host.name, front = %context.settings.host.caller_address, "started");
    tokio::select! {
        _ = terminate.recv() => leave(&context, &store, &phase).await,
        err = tasks::first_failure(&mut tasks) => {
            tracing::error!(code = 8024, %err, "a part of the process failed; it stops to be started again");
            return Err(io::Error::other(err));
        }
    }
    Ok(())
}

/// Binds all ports and serves them.
fn serve_ports<D: Directory + 'static>(
    context: &Rc<Context>,
    directory: D,
    phase: &sync::watch::Receiver<Phase>,
) -> io::Result<()> {
    let bounds_of = Rc::clone(context);
    let bounds = move || {
        let limits = bounds_of.state().configuration.as_ref().map(|it| it.limits);
        let limits = limits.unwrap_or_default();
        http_server::Limits {
            max_header_bytes: limits.max_header_bytes,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    };
    let forwarding = Rc::clone(context);
    let front = http_server::bind(context.settings.host.caller_address)?;
    spawn_local(http_server::serve(front, bounds.clone(), phase.clone(), move |request| {
        forward::handle(Rc::clone(&forwarding), request)
    }));
    let asked = Rc::clone(context);
    let ready = http_server::bind(context.settings.ready_address)?;
    spawn_local(http_server::serve(ready, bounds.clone(), phase.clone(), move |_: Request<_>| {
        std::future::ready(directory::ready(&asked))
    }));
    if let Some(address) = context.settings.directory_address {
        let asked = Rc::clone(context);
        let listener = http_server::bind(address)?;
        spawn_local(http_server::serve(listener, bounds.clone(), phase.clone(), move |request| {
            let query = request.uri().query().unwrap_or_default();
            std::future::ready(directory::resolve(&asked, &directory, query))
        }));
    }
    if let Some(address) = context.settings.metrics_address {
        let asked = Rc::clone(context);
        let listener = http_server::bind(address)?;
        spawn_local(http_server::serve(listener, bounds, phase.clone(), move |_: Request<_>| {
            std::future::ready(directory::metrics(&asked))
        }));
    }
    Ok(())
}

/// Reads the settings again on a signal, and from time to time since they also change without one.
async fn reload(
    context: Rc<Context>,
    mut hangup: Signal,
    read_bounds: impl Fn() -> Result<Bounds, String>,
) {
    let mut last_fault = None;
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(RELOAD_INTERVAL) => {}
        }
        match read_bounds() {
            Ok(bounds) => {
                last_fault = None;
                if context.set_bounds(bounds) {
                    tracing::info!(code = 8017, ?bounds, "settings reloaded");
                }
            }
            Err(fault) => {
                if last_fault.as_ref() != Some(&fault) {
                    tracing::error!(code = 8018, %fault, "the settings file has a fault; the last settings stay");
                }
                last_fault = Some(fault);
            }
        }
    }
}

/// Keeps the heartbeats going.
async fn keep_peers(context: Rc<Context>) {
    loop {
        if let Err(err) = peers::run(Rc::clone(&context)).await {
            tracing::error!(code = 8019, %err, "heartbeats failed; check the port for internal traffic");
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Shuts down: out of the directory first, then no new connections, then the last answers.
async fn leave<S: Store>(context: &Rc<Context>, store: &S, phase: &sync::watch::Sender<Phase>) {
    let begun = Instant::now();
    tracing::info!(code = 8020, "shutting down; finishing what is open");
    context.start_shutdown();
    let name = context.settings.host.name.clone();
    let withdrawn = tokio::time::timeout(WITHDRAW_TIME, store.withdraw(&name)).await;
    if let Ok(Err(fault)) = withdrawn {
        tracing::warn!(code = 8021, %fault, "the store still names this host; others notice its silence");
    }
    sleep(FAREWELL.saturating_sub(begun.elapsed())).await;
    phase.send_replace(Phase::Closing);
    let end = begun + context.bounds().grace.saturating_sub(GRACE_MARGIN);
    while Instant::now() < end && 0 < context.open_request_count() {
        sleep(DRAIN_POLL).await;
    }
    sleep(DRAIN_POLL).await;
    tracing::info!(code = 8022, open = context.open_request_count(), "stopped");
}
