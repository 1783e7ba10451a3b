//! Sends placement requests to the dispatcher, and serves them when this host is the dispatcher.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};
use tokio::{
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};

use crate::{
    cluster::peers::{self, Packet},
    context::{Context, State},
    placement::{
        dispatch::{
            DecidedRequest, Decision, Fleet, Placement, Queue, Reply, Request, RequestNumber,
        },
        engine::{Choice, Estimate, Fetch},
        selection,
    },
    scaling::demand::Outcome as DemandOutcome,
    targets::{
        refusal,
        registry::Key,
        target::{Run, Stage, Target},
    },
};

/// Time for the dispatcher's first reply; a round trip takes a few milliseconds.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time beyond a request's longest wait within which the dispatcher's final reply must arrive.
const FINAL_REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Time for which a host that didn't reply isn't elected as dispatcher by this host.
const EXCLUSION_TIME: Duration = Duration::from_millis(1500);
/// Interval at which the dispatcher decides about queued requests if nothing changes.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which changes are batched before the dispatcher decides about queued requests.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Capacity of the channel for the replies to one request.
const REPLY_CAPACITY: usize = 4;

/// Pending placement requests of this host, and the queue for when this host is the dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pending: RefCell<HashMap<RequestNumber, mpsc::Sender<Message>>>,
    queue: RefCell<Queue>,
    /// Notified when queued requests may be decided.
    queue_changed: Notify,
}

/// A dispatcher's reply, and the name of this dispatcher.
#[derive(Debug, Clone)]
struct Message {
    dispatcher: id::Host,
    reply: Reply,
}

/// Result of a placement request.
#[derive(Debug)]
pub enum Outcome {
    /// The request may go to these engines.
    Granted {
        /// Dispatcher and number of the grant, to be acknowledged once the work is counted on this
        /// host.
        grant: (id::Host, u64),
        /// Engines that run the request.
        placement: Placement,
        /// Tokens queued at the prefill engine before this prompt.
        queued_tokens: u64,
        /// Tokens of this prompt that are not in the prefill engine's prefix cache.
        missing_tokens: u64,
    },
    /// The request is refused, with the time that the work queued before it takes.
    Refused(Duration),
    /// The engines of the grant accept no new requests as far as this host knows.
    Unusable,
    /// No reply arrived; the host has to place the request itself.
    Unanswered,
}

/// Removes a pending request on drop, also when the caller disconnects while it waits.
struct PendingGuard<'a>(&'a Dispatcher, RequestNumber);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.pending.borrow_mut().remove(&self.1);
    }
}

/// Asks the dispatcher where a request goes, and waits for its decision.
pub async fn request_placement(context: &Rc<Context>, request: Request) -> Outcome {
    let dispatcher = context.state().membership.dispatcher().clone();
    let (sender, mut messages) = mpsc::channel(REPLY_CAPACITY);
    let (number, max_wait) = (request.number, request.max_wait);
    context.dispatcher.pending.borrow_mut().insert(number, sender);
    let _guard = PendingGuard(&context.dispatcher, number);
    if dispatcher == context.settings.host.name {
        handle_request(context, dispatcher.clone(), request);
    } else if !peers::send(
        context,
        &dispatcher,
        &Packet::DispatchRequest(context.settings.host.name.clone(), request),
    ) {
        return Outcome::Unanswered;
    }
    let mut reply_timeout = FIRST_REPLY_TIMEOUT;
    loop {
        let Ok(Some(message)) = timeout(reply_timeout, messages.recv()).await else {
            exclude(context, dispatcher);
            return Outcome::Unanswered;
        };
        match message.reply {
            Reply::Queued => reply_timeout = max_wait + FINAL_REPLY_MARGIN,
            Reply::Refused(queue_time) => return Outcome::Refused(queue_time),
            Reply::Granted {
                grant,
                prefill_engine,
                decode_engine,
                estimate,
                queued_tokens,
                missing_tokens,
                source,
            } => {
                let usable =
                    placement(&context.state(), &prefill_engine, decode_engine, estimate, source);
                let Some(placement) = usable else {
                    context.record_grant(&message.dispatcher, grant);
                    return Outcome::Unusable;
                };
                let grant = (message.dispatcher, grant);
                return Outcome::Granted { grant, placement, queued_tokens, missing_tokens };
            }
        }
    }
}

/// Returns the placement on engines with these ids; `None` when one of them accepts no new requests
/// as far as this host knows: the dispatcher may be cut off from the store, and an engine may have
/// sent a notice only to this host.
fn placement(
    state: &State,
    prefill_engine: &id::Target,
    decode_engine: Option<id::Target>,
    estimate: Estimate,
    source: Option<id::Target>,
) -> Option<Placement> {
    let now = clock::now();
    let usable_key = |id: &id::Target| {
        let key = state.registry.usable_key(id)?;
        let is_available =
            state.availability.may_send(key, now) && state.rate_limits.is_available(key, now);
        is_available.then_some(key)
    };
    let key = usable_key(prefill_engine)?;
    let stage = state.registry.get(key)?.stage.unwrap_or(Stage::Decode);
    let decode_engine = match decode_engine {
        Some(it) => Some(usable_key(&it)?),
        None => None,
    };
    let version = |key| state.registry.get(key).map(|it| it.software_version.clone());
    if decode_engine.is_some_and(|it| version(it) != version(key)) {
        return None;
    }
    // Without its source, the engine reads all of the prompt.
    let source = source.and_then(|it| usable_key(&it)).filter(|it| version(*it) == version(key));
    let fetch = source.map(|source| Fetch { source, tokens: 0, time: Duration::ZERO });
    Some(Placement { prefill_engine: Choice { key, stage, estimate }, decode_engine, fetch })
}

fn exclude(context: &Context, dispatcher: id::Host) {
    if dispatcher == context.settings.host.name {
        return;
    }
    tracing::warn!(code = 8004, host = %dispatcher, "dispatcher does not answer; placing requests without it");
    let until = clock::now() + EXCLUSION_TIME;
    context.state_mut().membership.exclude_dispatcher(dispatcher, until);
    context.elect_dispatcher();
    context.work_changed.notify_one();
}

/// Handles a placement request as the dispatcher.
pub fn handle_request(context: &Rc<Context>, host: id::Host, request: Request) {
    let number = request.number;
    let others_queued = !context.dispatcher.queue.borrow().is_empty();
    context.dispatcher.queue.borrow_mut().add(host.clone(), request, clock::now());
    if others_queued {
        wake(context);
    } else {
        decide(context);
    }
    let is_queued = context.dispatcher.queue.borrow().contains(&host, number);
    if is_queued {
        send_reply(context, &host, number, Reply::Queued);
    }
}

/// Reports to the dispatcher that an engine refused a connection.
pub fn report_refusal(context: &Context, target: &Target) {
    if target.stage.is_none() {
        return;
    }
    let (name, run) = (context.settings.host.name.clone(), Run::from(target));
    let dispatcher = context.state().membership.dispatcher().clone();
    if dispatcher == name {
        handle_refusal(context, &name, &run);
    } else {
        peers::send(context, &dispatcher, &Packet::ConnectionRefused(name, run));
    }
}

/// Handles a host's report that an engine refused a connection, as the dispatcher.
pub fn handle_refusal(context: &Context, host: &id::Host, run: &Run) {
    let now = clock::now();
    let mut state = context.state_mut();
    let key = state.registry.usable_key(&run.target);
    let is_same_run = |key: &Key| state.registry.get(*key).is_some_and(|it| Run::from(it) == *run);
    let Some(key) = key.filter(is_same_run) else { return };
    if !state.refusals.record(key, host, now) {
        return;
    }
    state.health.pause(key, now + refusal::PAUSE);
    drop(state);
    context.metrics.target_notices.with_label_values(&["refused"]).inc();
    tracing::info!(code = 8058, target = %run.target, "target refuses connections of several hosts; placing nothing on it for a moment");
}

/// Passes a dispatcher's reply to the pending request; a grant that nobody takes is acknowledged at
/// once.
pub fn handle_reply(context: &Context, dispatcher: id::Host, number: RequestNumber, reply: Reply) {
    let pending = context.dispatcher.pending.borrow().get(&number).cloned();
    let grant = match &reply {
        Reply::Granted { grant, .. } => Some(*grant),
        _ => None,
    };
    let delivered = pending
        .is_some_and(|it| it.try_send(Message { dispatcher: dispatcher.clone(), reply }).is_ok());
    if let Some(grant) = grant.filter(|_| !delivered) {
        context.record_grant(&dispatcher, grant);
    }
}

/// Decides about queued requests on each change and at intervals, forever.
pub async fn run(context: Rc<Context>) {
    loop {
        tokio::select! {
            () = context.dispatcher.queue_changed.notified() => sleep(BATCH_DELAY).await,
            () = sleep(QUEUE_POLL_INTERVAL), if !context.dispatcher.queue.borrow().is_empty() => {}
        }
        decide(&context);
    }
}

/// Wakes the dispatcher, since engines may have room again.
pub fn wake(context: &Context) {
    if !context.dispatcher.queue.borrow().is_empty() {
        context.dispatcher.queue_changed.notify_one();
    }
}

/// Removes the queued requests of a host that is down.
pub fn forget_host(context: &Context, host: &id::Host) {
    context.dispatcher.queue.borrow_mut().remove_host(host);
}

fn decide(context: &Rc<Context>) {
    let now = clock::now();
    {
        let mut state = context.state_mut();
        state.load.expire(now);
        state.prefix_cache.set_time(now);
    }
    let decided = {
        let state = context.state();
        let mut queue = context.dispatcher.queue.borrow_mut();
        let services = queue.services().into_iter();
        let (unserved, served): (Vec<id::Service>, Vec<id::Service>) =
            services.partition(|it| selection::are_all_leaving(&state, it));
        let mut fleets: HashMap<id::Service, Fleet> =
            served.into_iter().map(|it| (it.clone(), selection::fleet(&state, &it))).collect();
        let mut decided = queue.decide(&mut fleets, &state.prefix_cache, now);
        decided.extend(unserved.iter().flat_map(|it| queue.refuse_service(it)));
        decided
    };
    for DecidedRequest { host, request, decision, is_held_up, is_excess } in decided {
        if is_excess {
            let decision =
                if matches!(decision, Decision::Place(_)) { "placed" } else { "refused" };
            context.metrics.excess_requests.with_label_values(&[decision]).inc();
        }
        let reply = match decision {
            Decision::Refuse(queue_time) => {
                record_refusal(&mut context.state_mut(), &host, &request);
                Reply::Refused(queue_time)
            }
            Decision::Place(placement) => {
                let reply =
                    grant(&mut context.state_mut(), &host, &request, placement, is_held_up, now);
                reply.unwrap_or(Reply::Refused(Duration::ZERO))
            }
        };
        send_reply(context, &host, request.number, reply);
    }
}

/// Grants a placement and adds its work, so that later decisions take it into account; `None` when
/// an engine is gone.
fn grant(
    state: &mut State,
    host: &id::Host,
    request: &Request,
    placement: Placement,
    is_held_up: bool,
    now: Moment,
) -> Option<Reply> {
    let Placement { prefill_engine, decode_engine, fetch } = placement;
    let id = |key| state.registry.get(key).map(|it| it.id.clone());
    let prefill_id = id(prefill_engine.key)?;
    let decode_id = match decode_engine {
        Some(key) => Some(id(key)?),
        None => None,
    };
    let source = fetch.and_then(|it| id(it.source));
    let latency_model = state.latency_models.get(&request.service).copied().unwrap_or_default();
    let work = placement.work(&request.prompt, &state.prefix_cache, &latency_model);
    if state.is_scaled(&request.service) {
        let outcome = if is_held_up { DemandOutcome::Late } else { DemandOutcome::OnTime };
        let prompt_tokens = work.iter().map(|(_, it)| it.prompt_tokens).sum();
        record_demand(state, host, request, outcome, prompt_tokens);
    }
    let queued_tokens = state.total_work(prefill_engine.key).prompt_tokens;
    let missing_tokens = placement.missing_tokens(&request.prompt, &state.prefix_cache);
    let kv_capacity_tokens = state.kv_capacity_tokens(&request.service);
    for (key, _) in &work {
        state.prefix_cache.record_prefill(*key, &request.prompt.parts, kv_capacity_tokens);
    }
    Some(Reply::Granted {
        grant: state.load.record_grant(host.clone(), work, now),
        prefill_engine: prefill_id,
        decode_engine: decode_id,
        estimate: prefill_engine.estimate,
        queued_tokens,
        missing_tokens,
        source,
    })
}

/// Counts a refused request in the demand on its service.
fn record_refusal(state: &mut State, host: &id::Host, request: &Request) {
    if !state.is_scaled(&request.service) {
        return;
    }
    let latency_model = state.latency_models.get(&request.service).copied().unwrap_or_default();
    let prompt = &request.prompt;
    let prompt_tokens = latency_model.weighted_tokens(prompt, prompt.unshared_tokens());
    record_demand(state, host, request, DemandOutcome::Refused, prompt_tokens);
}

fn record_demand(
    state: &mut State,
    host: &id::Host,
    request: &Request,
    outcome: DemandOutcome,
    prompt_tokens: u64,
) {
    if let Some(origin) = state.membership.data_centre(host) {
        state.scaling.demand.record(&request.service, origin, outcome, prompt_tokens);
    }
}

fn send_reply(context: &Context, host: &id::Host, number: RequestNumber, reply: Reply) {
    let own_name = &context.settings.host.name;
    if host == own_name {
        handle_reply(context, own_name.clone(), number, reply);
        return;
    }
    if !peers::send(context, host, &Packet::DispatchReply(own_name.clone(), number, reply)) {
        tracing::debug!(%host, number, "could not send a placement reply to the requesting host");
    }
}
