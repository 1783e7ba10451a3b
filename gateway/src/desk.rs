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
    dispatch::{Ask, Decided, Decision, Fleet, Number, Placement, Queue, Verdict},
    engine::{Choice, Estimate},
    peers::{self, Packet},
    pick,
    registry::Registry,
    target::Stage,
};

/// Time for a first word from the dispatcher; a round trip takes a few milliseconds.
const FIRST_WORD: Duration = Duration::from_millis(60);
/// Time beyond a request's patience in which the dispatcher's last word must arrive.
const LAST_WORD: Duration = Duration::from_millis(60);
/// Time for which a dispatcher that did not answer is not asked.
const SUSPICION: Duration = Duration::from_millis(1500);
/// Interval at which a dispatcher looks at the requests that wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which changes are gathered before the dispatcher looks at the requests that wait.
const GATHER: Duration = Duration::from_millis(4);
/// Words of a dispatcher about one request that may wait to be read.
const WORDS: usize = 4;

/// Requests of this host about which the dispatcher was asked, and the requests that it is to place.
#[derive(Debug, Default)]
pub struct Desk {
    asked: RefCell<HashMap<Number, mpsc::Sender<Word>>>,
    queue: RefCell<Queue>,
    /// Told when something is to be decided.
    work: Notify,
}

/// What a host heard about a request.
#[derive(Debug, Clone)]
struct Word {
    from: id::Host,
    verdict: Verdict,
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
        waiting: u64,
        /// Tokens of this prompt that the reader lacks.
        missing: u64,
    },
    /// It is refused; the work before it takes this long.
    Refused(Duration),
    /// The dispatcher gave no answer; the host has to place the request itself.
    Unanswered,
}

/// Forgets a request when its caller goes away while it waits.
struct Asked<'a>(&'a Desk, Number);

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.0.asked.borrow_mut().remove(&self.1);
    }
}

/// Asks the dispatcher where a request goes.
pub async fn ask(context: &Rc<Context>, ask: Ask) -> Outcome {
    let dispatcher = context.state().membership.dispatcher().clone();
    let (sender, mut words) = mpsc::channel(WORDS);
    let (number, patience) = (ask.number, ask.patience);
    context.desk.asked.borrow_mut().insert(number, sender);
    let _asked = Asked(&context.desk, number);
    if dispatcher == context.settings.host.name {
        receive(context, dispatcher.clone(), ask);
    } else if !peers::send(
        context,
        &dispatcher,
        &Packet::Ask(context.settings.host.name.clone(), ask),
    ) {
        return Outcome::Unanswered;
    }
    let mut wait = FIRST_WORD;
    loop {
        let Ok(Some(word)) = timeout(wait, words.recv()).await else {
            suspect(context, dispatcher);
            return Outcome::Unanswered;
        };
        match word.verdict {
            Verdict::Queued => wait = patience + LAST_WORD,
            Verdict::Refused(ahead) => return Outcome::Refused(ahead),
            Verdict::Granted { grant, reader, generator, estimate, waiting, missing } => {
                let state = context.state();
                let Some(placement) = placement(&state.registry, &reader, generator, estimate)
                else {
                    return Outcome::Unanswered;
                };
                let grant = (word.from, grant);
                return Outcome::Granted { grant, placement, waiting, missing };
            }
        }
    }
}

/// Returns a placement from the names of its engines; `None` when one takes nothing new, as far as
/// this host knows: the dispatcher may be cut off from the store.
fn placement(
    registry: &Registry,
    reader: &id::Target,
    generator: Option<id::Target>,
    estimate: Estimate,
) -> Option<Placement> {
    let key = registry.usable_key(reader)?;
    let stage = registry.get(key)?.stage.unwrap_or(Stage::Decode);
    let generator = match generator {
        Some(it) => Some(registry.usable_key(&it)?),
        None => None,
    };
    Some(Placement { reader: Choice { key, stage, estimate }, generator })
}

fn suspect(context: &Context, dispatcher: id::Host) {
    if dispatcher == context.settings.host.name {
        return;
    }
    tracing::warn!(code = 8004, host = %dispatcher, "dispatcher does not answer; placing requests without it");
    let now = clock::now();
    let mut state = context.state_mut();
    state.membership.exclude_dispatcher(dispatcher, now + SUSPICION);
    let fit = state.is_fresh(now);
    state.membership.elect_dispatcher(fit, now);
    drop(state);
    context.work_changed.notify_one();
}

/// Takes a request that a host asks about.
pub fn receive(context: &Rc<Context>, host: id::Host, ask: Ask) {
    let number = ask.number;
    let others_wait = !context.desk.queue.borrow().is_empty();
    context.desk.queue.borrow_mut().add(host.clone(), ask, clock::now());
    if others_wait {
        look(context);
    } else {
        decide(context);
    }
    let still_waits = context.desk.queue.borrow().waits(&host, number);
    if still_waits {
        answer(context, &host, number, Verdict::Queued);
    }
}

/// Hands a word of a dispatcher to the request that waits for it.
pub fn hear(context: &Context, from: id::Host, number: Number, verdict: Verdict) {
    let asked = context.desk.asked.borrow().get(&number).cloned();
    let seen = match &verdict {
        Verdict::Granted { grant, .. } => Some(*grant),
        _ => None,
    };
    let delivered =
        asked.is_some_and(|it| it.try_send(Word { from: from.clone(), verdict }).is_ok());
    if let Some(grant) = seen.filter(|_| !delivered) {
        context.record_grant(&from, grant);
    }
}

/// Decides about the requests that wait whenever something changed, forever.
pub async fn run(context: Rc<Context>) {
    loop {
        tokio::select! {
            () = context.desk.work.notified() => sleep(GATHER).await,
            () = sleep(LOOK_INTERVAL), if !context.desk.queue.borrow().is_empty() => {}
        }
        decide(&context);
    }
}

/// Notes that targets may have room again.
pub fn look(context: &Context) {
    if !context.desk.queue.borrow().is_empty() {
        context.desk.work.notify_one();
    }
}

/// Forgets the requests of a host that is gone.
pub fn forget(context: &Context, host: &id::Host) {
    context.desk.queue.borrow_mut().forget(host);
}

fn decide(context: &Rc<Context>) {
    let now = clock::now();
    let decided = {
        let state = context.state();
        let mut queue = context.desk.queue.borrow_mut();
        let services = queue.services().into_iter();
        let mut fleets: HashMap<id::Service, Fleet> =
            services.map(|it| (it.clone(), pick::fleet(&state, &it))).collect();
        queue.decide(&mut fleets, &state.cache, now)
    };
    for Decided { host, ask, decision } in decided {
        let verdict = match decision {
            Decision::Refuse(ahead) => Verdict::Refused(ahead),
            Decision::Place(placement) => {
                let verdict = grant(&mut context.state_mut(), &host, &ask, placement, now);
                verdict.unwrap_or(Verdict::Refused(Duration::ZERO))
            }
        };
        answer(context, &host, ask.number, verdict);
    }
}

/// Counts what is granted, so that later decisions see it; `None` when an engine is gone.
fn grant(
    state: &mut State,
    host: &id::Host,
    ask: &Ask,
    placement: Placement,
    now: Moment,
) -> Option<Verdict> {
    let Placement { reader, generator } = placement;
    let name = |key| state.registry.get(key).map(|it| it.id.clone());
    let reader_name = name(reader.key)?;
    let generator_name = match generator {
        Some(key) => Some(name(key)?),
        None => None,
    };
    let times = state.times.get(&ask.service).copied().unwrap_or_default();
    let work = placement.work(&ask.prompt, &state.cache, &times);
    let waiting = state.total_work(reader.key).prompt_tokens;
    let missing = state.cache.missing(reader.key, &ask.prompt);
    let memory = state.kv_capacity_tokens(&ask.service);
    for (key, _) in &work {
        state.cache.read(*key, &ask.prompt.parts, memory);
    }
    Some(Verdict::Granted {
        grant: state.board.grant(host.clone(), work, now),
        reader: reader_name,
        generator: generator_name,
        estimate: reader.estimate,
        waiting,
        missing,
    })
}

fn answer(context: &Context, host: &id::Host, number: Number, verdict: Verdict) {
    let own = &context.settings.host.name;
    if host == own {
        hear(context, own.clone(), number, verdict);
        return;
    }
    if !peers::send(context, host, &Packet::Verdict(own.clone(), number, verdict)) {
        tracing::debug!(%host, number, "a host that asked cannot be answered");
    }
}
