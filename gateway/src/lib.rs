//! Request path of an entry host in front of the services in the operators' configuration.
//!
//! Everything runs on one thread. The folders follow a request's way: [`entry`] reads it and writes
//! the response, [`placement`] chooses its targets, [`upstream`] sends it there. [`targets`] is what
//! this host knows of the targets, [`cluster`] what the hosts exchange, [`store`] the synchronisation
//! with the platform's store, [`checkpoint`] and [`stream_archive`] what outlives all hosts there. [`account`], [`duty`], [`usage`] and [`scaling`] are parts
//! that a configuration switches on. Modules that decide do no I/O and read no clock; the others call them.
//! A deployment's platform supplies its names and formats through [`store::Store`],
//! [`entry::headers::HeaderNames`] and [`entry::directory::Directory`].

pub mod account;
pub mod checkpoint;
pub mod cluster;
pub mod configuration;
pub mod context;
pub mod duty;
pub mod entry;
pub mod logging;
pub mod metrics;
pub mod placement;
pub mod scaling;
pub mod store;
pub mod stream_archive;
pub mod targets;
pub mod tasks;
pub mod timeline;
pub mod upstream;
pub mod usage;
pub mod watchdog;

use std::{io, rc::Rc, time::Duration};

use fuchsiaknot_core::clock;
use hyper::Request;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync,
    task::{JoinSet, spawn_local},
    time::{sleep, timeout},
};

use crate::{
    account::proof,
    cluster::{origin_proof, peer_server, peer_ticket, peers},
    context::{Bounds, Context},
    duty::Endpoint,
    entry::{
        directory::{self, Directory},
        forward,
        http_server::{self, Phase},
    },
    placement::dispatcher,
    store::{Store, sync as store_sync},
    targets::poison_reports,
    upstream::probe,
};

/// Interval at which the settings are reloaded without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);
/// Time from the close of the last connection to the end of the process, in which the connections
/// to targets close too.
const RELEASE_DELAY: Duration = Duration::from_millis(50);
/// Timeout for removing this host from the store at shutdown.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves requests until `SIGTERM`, then shuts down gracefully.
///
/// `endpoint` is the platform's interface for duties; `None` if the deployment has none.
/// `read_bounds` is called to reload the settings, on `SIGHUP` and at an interval.
///
/// # Errors
/// Fails when a port cannot be bound, a signal handler cannot be installed, or a background task
/// fails.
pub async fn run<S: Store, D: Directory + 'static, E: Endpoint>(
    context: Rc<Context>,
    store: S,
    directory: D,
    endpoint: Option<E>,
    read_bounds: impl Fn() -> Result<Bounds, String> + 'static,
) -> io::Result<()> {
    let (phase, phase_watch) = sync::watch::channel(Phase::Open);
    proof::register(&context);
    poison_reports::register(&context);
    origin_proof::register(&context);
    stream_archive::driver::register(&context);
    serve_ports(&context, directory, &phase_watch)?;
    drop(phase_watch);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(checkpoint::driver::run(Rc::clone(&context), store.clone()));
    tasks.spawn_local(sync_configuration(Rc::clone(&context), store.clone()));
    tasks.spawn_local(store_sync::sync_table::<_, store_sync::TargetTable>(
        Rc::clone(&context),
        store.clone(),
    ));
    tasks.spawn_local(store_sync::register_host(Rc::clone(&context), store.clone()));
    tasks.spawn_local(origin_proof::run(Rc::clone(&context), store.clone()));
    tasks.spawn_local(stream_archive::driver::read(Rc::clone(&context), store.clone()));
    tasks.spawn_local(stream_archive::driver::write(Rc::clone(&context), store.clone()));
    tasks.spawn_local(store_sync::log_statistics(Rc::clone(&context)));
    tasks.spawn_local(store_sync::expire_state(Rc::clone(&context)));
    tasks.spawn_local(poison_reports::repeat_reports(Rc::clone(&context)));
    tasks.spawn_local(poison_reports::inquire(Rc::clone(&context)));
    tasks.spawn_local(poison_reports::clear_on_signal(
        Rc::clone(&context),
        signal(SignalKind::user_defined1())?,
    ));
    tasks.spawn_local(run_peers(Rc::clone(&context)));
    tasks.spawn_local(peers::report_work(Rc::clone(&context)));
    tasks.spawn_local(dispatcher::run(Rc::clone(&context)));
    tasks.spawn_local(probe::run(Rc::clone(&context)));
    scaling::driver::register(&context);
    let duties = context.settings.duties.as_ref();
    let orders_targets = duties.is_some_and(|it| it.orders_targets);
    if duties.is_some() {
        tasks.spawn_local(duty::runner::run(Rc::clone(&context), store.clone()));
    }
    if let Some(endpoint) = endpoint.clone() {
        tasks.spawn_local(usage::runner::run(Rc::clone(&context), store.clone(), endpoint));
    }
    if let Some(endpoint) = endpoint.filter(|_| orders_targets) {
        tasks.spawn_local(scaling::driver::run(Rc::clone(&context), endpoint));
    }
    tasks.spawn_local(reload_settings(
        Rc::clone(&context),
        signal(SignalKind::hangup())?,
        read_bounds,
    ));
    let mut terminate = signal(SignalKind::terminate())?;
    tracing::info!(code = 8016, host = %context.settings.host.name, front = %context.settings.host.caller_address, "started");
    tokio::select! {
        _ = terminate.recv() => shut_down(&context, &store, &phase).await,
        err = tasks::first_failure(&mut tasks) => {
            tracing::error!(code = 8024, %err, "a background task failed; exiting to be restarted");
            return Err(io::Error::other(err));
        }
    }
    Ok(())
}

/// Keeps the configuration in sync, without which no request is accepted, once this host knows what must
/// not be sent to targets.
async fn sync_configuration<S: Store>(context: Rc<Context>, store: S) {
    checkpoint::driver::wait_until_read(&context).await;
    store_sync::sync_table::<_, store_sync::ConfigurationTable>(context, store).await;
}

/// Binds all ports and serves them.
fn serve_ports<D: Directory + 'static>(
    context: &Rc<Context>,
    directory: D,
    phase: &sync::watch::Receiver<Phase>,
) -> io::Result<()> {
    let limits_context = Rc::clone(context);
    let limits = move || {
        let limits = limits_context.state().configuration.as_ref().map(|it| it.limits);
        let limits = limits.unwrap_or_default();
        http_server::Limits {
            max_header_bytes: limits.max_header_bytes,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    };
    let forward_context = Rc::clone(context);
    let front = http_server::bind(context.settings.host.caller_address)?;
    spawn_local(http_server::serve(front, limits.clone(), phase.clone(), move |request| {
        forward::handle(Rc::clone(&forward_context), request, None)
    }));
    let peer_context = Rc::clone(context);
    let peer = http_server::bind(context.settings.host.peer_address)?;
    let forward_limits = limits.clone();
    let peer_limits = move || {
        let limits = forward_limits();
        let max_header_bytes = limits.max_header_bytes + peer_ticket::MAX_BYTES;
        http_server::Limits { max_header_bytes, ..limits }
    };
    spawn_local(http_server::serve(peer, peer_limits, phase.clone(), move |request| {
        peer_server::handle(Rc::clone(&peer_context), request)
    }));
    let ready_context = Rc::clone(context);
    let ready = http_server::bind(context.settings.ready_address)?;
    spawn_local(http_server::serve(ready, limits.clone(), phase.clone(), move |_: Request<_>| {
        std::future::ready(directory::ready(&ready_context))
    }));
    if let Some(address) = context.settings.directory_address {
        let context = Rc::clone(context);
        let listener = http_server::bind(address)?;
        spawn_local(http_server::serve(listener, limits.clone(), phase.clone(), move |request| {
            let query = request.uri().query().unwrap_or_default();
            std::future::ready(directory::resolve(&context, &directory, query))
        }));
    }
    if let Some(address) = context.settings.metrics_address {
        let context = Rc::clone(context);
        let listener = http_server::bind(address)?;
        spawn_local(http_server::serve(listener, limits, phase.clone(), move |_: Request<_>| {
            std::future::ready(directory::metrics(&context))
        }));
    }
    Ok(())
}

/// Reloads the settings on a signal, and at an interval because they also change without one.
async fn reload_settings(
    context: Rc<Context>,
    mut hangup: Signal,
    read_bounds: impl Fn() -> Result<Bounds, String>,
) {
    let mut last_error = None;
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(RELOAD_INTERVAL) => {}
        }
        match read_bounds() {
            Ok(bounds) => {
                last_error = None;
                if context.set_bounds(bounds) {
                    tracing::info!(code = 8017, ?bounds, "settings reloaded");
                }
            }
            Err(err) => {
                if last_error.as_ref() != Some(&err) {
                    tracing::error!(code = 8018, fault = %err, "the settings file is invalid; keeping the previous settings");
                }
                last_error = Some(err);
            }
        }
    }
}

/// Exchanges heartbeats with the other hosts, and starts again after a failure.
async fn run_peers(context: Rc<Context>) {
    loop {
        if let Err(err) = peers::run(Rc::clone(&context)).await {
            tracing::error!(code = 8019, %err, "heartbeats failed; check the port for internal traffic");
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Shuts down in order: removes the host from the directory, closes the ports, waits until
/// all connections are closed.
async fn shut_down<S: Store>(context: &Rc<Context>, store: &S, phase: &sync::watch::Sender<Phase>) {
    tracing::info!(code = 8020, "shutting down; finishing open requests");
    let schedule = context.start_shutdown();
    let name = context.settings.host.name.clone();
    let withdrawal = timeout(WITHDRAW_TIMEOUT, store.withdraw(&name)).await;
    if let Ok(Err(err)) = withdrawal {
        tracing::warn!(code = 8021, fault = %err, "cannot remove this host from the store; other hosts notice its missing heartbeats");
    }
    sleep(schedule.close.saturating_sub(clock::now())).await;
    phase.send_replace(Phase::Closing);
    // Each connection keeps a receiver until its last response is written.
    let time_left = schedule.end.saturating_sub(clock::now());
    if timeout(time_left, phase.closed()).await.is_err() {
        tracing::debug!("connections are still open at the end of the grace period");
    }
    sleep(RELEASE_DELAY).await;
    log_open_requests(context);
    let (open, connections) = (context.open_requests.count(), phase.receiver_count());
    tracing::info!(code = 8022, open, connections, "stopped");
}

/// Logs the requests that end with the process.
fn log_open_requests(context: &Context) {
    let now = clock::now();
    for job in context.open_requests.jobs() {
        tracing::warn!(code = 8181,
            id = %job.id,
            route = %job.route.name,
            service = %job.service,
            sent = job.attempts_sent.get(),
            first_ms = job.time_to_first_event.get().map(|it| it.as_millis() as u64),
            waited_ms = now.saturating_sub(job.arrived).as_millis() as u64,
            left_ms = job.time_left().as_millis() as u64,
            shutdown_ms = context.shutdown_age_ms(),
            "request is open at the end of the shutdown"
        );
    }
}
