//! Asks the dispatcher where requests go, and answers as the dispatcher.

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
    context::{Context, State},
    dispatch::{DecidedRequest, Decision, Fleet, Placement, Queue, Reply, Request, RequestNumber},
    engine::{Choice, Estimate},
    peers::{self, Packet},
    registry::Registry,
    selection,
    target::Stage,
};

/// Time for a first word from the dispatcher; a round trip takes a few milliseconds.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time beyond a request's patience in which the dispatcher's last word must arrive.
const FINAL_REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Time for which a dispatcher that did not answer is not asked.
const SUSPICION_TIME: Duration = Duration::from_millis(1500);
/// Interval at which a dispatcher looks at the requests that wait.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which changes are gathered before the dispatcher looks at the requests that wait.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Words of a dispatcher about one request that may wait to be read.
const REPLY_CAPACITY: usize = 4;

/// Requests of this host about which the dispatcher was asked, and the requests that it is to place.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pending: RefCell<HashMap<RequestNumber, mpsc::Sender<Message>>>,
    queue: RefCell<Queue>,
    /// Told when something is to be decided.
    queue_changed: Notify,
}

/// What a host heard about a request.
#[derive(Debug, Clone)]
struct Message {
    from: id::Host,
    reply: Reply,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// It goes to these targets.
    Granted {
        /// Host and number of the grant, to be noted as seen once the work is counted.
        grant: (id::Host, u64),
        /// Where it goes.
        placement: Placement,
        /// Tokens that the reader reads before this prompt.
        queued_tokens: u64,
        /// Tokens of this prompt that the reader lacks.
        missing_tokens: u64,
    },
    /// It is refused; the work before it takes this long.
    Refused(Duration),
    /// The dispatcher gave no answer; the host has to place the request itself.
    Unanswered,
}

/// Forgets a request when its caller goes away while it waits.
struct PendingGuard<'a>(&'a Dispatcher, RequestNumber);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.pending.borrow_mut().remove(&self.1);
    }
}

/// Asks the dispatcher where a request goes.
pub async fn request_placement(context: &Rc<Context>, request: Request) -> Outcome {
    let dispatcher = context.state().membership.dispatcher().clone();
    let (sender, mut messages) = mpsc::channel(REPLY_CAPACITY);
    let (number, patience) = (request.number, request.max_wait);
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
    let mut wait = FIRST_REPLY_TIMEOUT;
    loop {
        let Ok(Some(message)) = timeout(wait, messages.recv()).await else {
            suspect(context, dispatcher);
            return Outcome::Unanswered;
        };
        match message.reply {
            Reply::Queued => wait = patience + FINAL_REPLY_MARGIN,
            Reply::Refused(ahead) => return Outcome::Refused(ahead),
            Reply::Granted {
                grant,
                prefill_engine,
                decode_engine,
                estimate,
                queued_tokens,
                missing_tokens,
            } => {
                let state = context.state();
                let Some(placement) =
                    placement(&state.registry, &prefill_engine, decode_engine, estimate)
                else {
                    return Outcome::Unanswered;
                };
                let grant = (message.from, grant);
                return Outcome::Granted { grant, placement, queued_tokens, missing_tokens };
            }
        }
    }
}

/// Returns a placement from the names of its engines; `None` when one takes nothing new, as far as
/// this host knows: the dispatcher may be cut off from the store.
fn placement(
    registry: &Registry,
    prefill_engine: &id::Target,
    decode_engine: Option<id::Target>,
    estimate: Estimate,
) -> Option<Placement> {
    let key = registry.usable_key(prefill_engine)?;
    let stage = registry.get(key)?.stage.unwrap_or(Stage::Decode);
    let decode_engine = match decode_engine {
        Some(it) => Some(registry.usable_key(&it)?),
        None => None,
    };
    Some(Placement { prefill_engine: Choice { key, stage, estimate }, decode_engine })
}

fn suspect(context: &Context, dispatcher: id::Host) {
    if dispatcher == context.settings.host.name {
        return;
    }
    tracing::warn!(code = 8004, host = %dispatcher, "dispatcher does not answer; placing requests without it");
    let now = clock::now();
    let mut state = context.state_mut();
    state.membership.exclude_dispatcher(dispatcher, now + SUSPICION_TIME);
    let fit = state.is_fresh(now);
    state.membership.elect_dispatcher(fit, now);
    drop(state);
    context.work_changed.notify_one();
}

/// Takes a request that a host asks about.
pub fn handle_request(context: &Rc<Context>, host: id::Host, request: Request) {
    let number = request.number;
    let others_wait = !context.dispatcher.queue.borrow().is_empty();
    context.dispatcher.queue.borrow_mut().add(host.clone(), request, clock::now());
    if others_wait {
        wake(context);
    } else {
        decide(context);
    }
    let still_waits = context.dispatcher.queue.borrow().contains(&host, number);
    if still_waits {
        send_reply(context, &host, number, Reply::Queued);
    }
}

/// Hands a word of a dispatcher to the request that waits for it.
pub fn handle_reply(context: &Context, from: id::Host, number: RequestNumber, reply: Reply) {
    let pending = context.dispatcher.pending.borrow().get(&number).cloned();
    let seen = match &reply {
        Reply::Granted { grant, .. } => Some(*grant),
        _ => None,
    };
    let delivered =
        pending.is_some_and(|it| it.try_send(Message { from: from.clone(), reply }).is_ok());
    if let Some(grant) = seen.filter(|_| !delivered) {
        context.record_grant(&from, grant);
    }
}

/// Decides about the requests that wait whenever something changed, forever.
pub async fn run(context: Rc<Context>) {
    loop {
        tokio::select! {
            () = context.dispatcher.queue_changed.notified() => sleep(BATCH_DELAY).await,
            () = sleep(QUEUE_POLL_INTERVAL), if !context.dispatcher.queue.borrow().is_empty() => {}
        }
        decide(&context);
    }
}

/// Notes that targets may have room again.
pub fn wake(context: &Context) {
    if !context.dispatcher.queue.borrow().is_empty() {
        context.dispatcher.queue_changed.notify_one();
    }
}

/// Forgets the requests of a host that is gone.
pub fn forget_host(context: &Context, host: &id::Host) {
    context.dispatcher.queue.borrow_mut().remove_host(host);
}

fn decide(context: &Rc<Context>) {
    let now = clock::now();
    let decided = {
        let state = context.state();
        let mut queue = context.dispatcher.queue.borrow_mut();
        let services = queue.services().into_iter();
        let mut fleets: HashMap<id::Service, Fleet> =
            services.map(|it| (it.clone(), selection::fleet(&state, &it))).collect();
        queue.decide(&mut fleets, &state.prefix_cache, now)
    };
    for DecidedRequest { host, request, decision } in decided {
        let reply = match decision {
            Decision::Refuse(ahead) => Reply::Refused(ahead),
            Decision::Place(placement) => {
                let reply = grant(&mut context.state_mut(), &host, &request, placement, now);
                reply.unwrap_or(Reply::Refused(Duration::ZERO))
            }
        };
        send_reply(context, &host, request.number, reply);
    }
}

/// Counts what is granted, so that later decisions see it; `None` when an engine is gone.
fn grant(
    state: &mut State,
    host: &id::Host,
    request: &Request,
    placement: Placement,
    now: Moment,
) -> Option<Reply> {
    let Placement { prefill_engine, decode_engine } = placement;
    let name = |key| state.registry.get(key).map(|it| it.id.clone());
    let prefill_name = name(prefill_engine.key)?;
    let decode_name = match decode_engine {
        Some(key) => Some(name(key)?),
        None => None,
    };
    let latency_model = state.latency_models.get(&request.service).copied().unwrap_or_default();
    let work = placement.work(&request.prompt, &state.prefix_cache, &latency_model);
    let queued_tokens = state.total_work(prefill_engine.key).prompt_tokens;
    let missing_tokens = state.prefix_cache.missing_tokens(prefill_engine.key, &request.prompt);
    let memory_tokens = state.kv_capacity_tokens(&request.service);
    for (key, _) in &work {
        state.prefix_cache.record_prefill(*key, &request.prompt.parts, memory_tokens);
    }
    Some(Reply::Granted {
        grant: state.load.record_grant(host.clone(), work, now),
        prefill_engine: prefill_name,
        decode_engine: decode_name,
        estimate: prefill_engine.estimate,
        queued_tokens,
        missing_tokens,
    })
}

fn send_reply(context: &Context, host: &id::Host, number: RequestNumber, reply: Reply) {
    let own = &context.settings.host.name;
    if host == own {
        handle_reply(context, own.clone(), number, reply);
        return;
    }
    if !peers::send(context, host, &Packet::DispatchReply(own.clone(), number, reply)) {
        tracing::debug!(%host, number, "a host that pending cannot be answered");
    }
}
