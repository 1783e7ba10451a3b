//! Reports to other hosts where streams began, and asks them.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use fuchsiaknot_core::{clock, id};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

use crate::{
    cluster::{
        origin_evidence::Evidence,
        origin_proof::{self, Subject},
        peers::{self, Packet},
        stream_origin::{Knowledge, Origin},
    },
    context::Context,
    stream_archive,
};

/// Number that identifies a query at the host that sends it.
pub type QueryNumber = u64;

/// Times to wait for the answers to a query, which is sent again after the first.
const ANSWER_TIMEOUTS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(80)];
/// Capacity of the channel for the answers to one query.
const ANSWER_CAPACITY: usize = 8;
/// Most streams in one datagram.
const MAX_REPORTED: usize = 64;

/// A host asks another where a stream began.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Query {
    /// The asking host.
    pub host: id::Host,
    /// Number at the asking host.
    pub number: QueryNumber,
    /// The stream.
    pub stream: id::Stream,
    /// Service that may have begun it, if there is only one.
    pub service: Option<id::Service>,
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The answering host.
    pub host: id::Host,
    /// Number of the query.
    pub number: QueryNumber,
    /// What the host knows.
    pub knowledge: Knowledge,
}

/// Queries of this host that wait for answers.
#[derive(Debug, Default)]
pub struct Pending {
    senders: RefCell<HashMap<QueryNumber, mpsc::Sender<Answer>>>,
}

/// Removes a pending query on drop, also when the caller disconnects while it waits.
struct PendingGuard<'a> {
    pending: &'a Pending,
    number: QueryNumber,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.senders.borrow_mut().remove(&self.number);
    }
}

/// Records where a stream began, and reports it to other hosts if they may need it; `has_sole_service`
/// says whether they can tell its service from its route.
pub fn record_begin(context: &Context, stream: id::Stream, origin: Origin, has_sole_service: bool) {
    let now = clock::now();
    let is_needed = context.state_mut().stream_origins.record_begin(
        stream.clone(),
        origin.clone(),
        has_sole_service,
        now,
    );
    if is_needed {
        publish(context, vec![(stream, origin)]);
    }
    stream_archive::driver::report_streams(context);
}

/// Reports the streams whose origin the other hosts could conclude until now.
pub fn publish_pending(context: &Context) {
    let unpublished = context.state_mut().stream_origins.take_unpublished(clock::now());
    publish(context, unpublished);
    stream_archive::driver::report_streams(context);
}

/// Sends the origins of streams to the hosts that keep them.
fn publish(context: &Context, streams: Vec<(id::Stream, Origin)>) {
    let mut by_host: HashMap<id::Host, Vec<(id::Stream, Origin)>> = HashMap::new();
    for (stream, origin) in streams {
        for host in context.state().membership.record_keepers(&stream) {
            by_host.entry(host).or_default().push((stream.clone(), origin.clone()));
        }
    }
    for (host, streams) in by_host {
        for part in streams.chunks(MAX_REPORTED) {
            peers::send(context, &host, &Packet::StreamsBegan(part.to_vec()));
        }
    }
}

/// Handles another host's report of streams that began.
pub fn handle_report(context: &Context, streams: Vec<(id::Stream, Origin)>) {
    let (mut state, now) = (context.state_mut(), clock::now());
    for (stream, origin) in streams {
        state.stream_origins.record_report(stream, origin, now);
    }
}

/// Returns where a stream began; `None` if neither this host, nor those that keep its record, nor the
/// archive know, and it cannot be shown.
///
/// `subject` has the only service that may have begun it, if there is only one.
pub async fn find(
    context: &Rc<Context>,
    stream: &id::Stream,
    subject: Option<&Subject>,
) -> Option<Origin> {
    let knowledge = ask_keepers(context, stream, subject.map(|it| &it.service)).await;
    if knowledge.record.is_some() {
        return knowledge.record;
    }
    if let Some(subject) = subject.filter(|_| knowledge.may_be_sole()) {
        let known = Evidence { knowledge, ..Evidence::default() };
        let shown = origin_proof::find(context, subject, known).await;
        if shown.is_some() {
            return shown;
        }
    }
    match stream.is_empty() {
        true => None,
        false => stream_archive::driver::find(context, stream).await,
    }
}

/// Returns what this host and those that keep its record know of a stream.
async fn ask_keepers(
    context: &Rc<Context>,
    stream: &id::Stream,
    service: Option<&id::Service>,
) -> Knowledge {
    let mut knowledge = context.state().stream_origins.knowledge(stream, service, clock::now());
    let keepers = context.state().membership.record_keepers(stream);
    if knowledge.record.is_some() || keepers.is_empty() {
        return knowledge;
    }
    let (sender, mut answers) = mpsc::channel(ANSWER_CAPACITY);
    let number = rand::random();
    let pending = &context.origin_queries;
    pending.senders.borrow_mut().insert(number, sender);
    let _guard = PendingGuard { pending, number };
    let query = Query {
        host: context.settings.host.name.clone(),
        number,
        stream: stream.clone(),
        service: service.cloned(),
    };
    let mut answered = BTreeSet::new();
    for answer_timeout in ANSWER_TIMEOUTS {
        for keeper in keepers.iter().filter(|it| !answered.contains(*it)) {
            peers::send(context, keeper, &Packet::OriginQuery(query.clone()));
        }
        let end = Instant::now() + answer_timeout;
        while let Ok(Some(answer)) = timeout_at(end, answers.recv()).await {
            knowledge.merge(answer.knowledge);
            answered.insert(answer.host);
            if knowledge.record.is_some() || answered.len() == keepers.len() {
                return knowledge;
            }
        }
    }
    knowledge
}

/// Answers another host's query.
pub fn handle_query(context: &Context, query: Query) {
    let Query { host, number, stream, service } = query;
    let knowledge =
        context.state().stream_origins.knowledge(&stream, service.as_ref(), clock::now());
    let answer = Answer { host: context.settings.host.name.clone(), number, knowledge };
    peers::send(context, &host, &Packet::OriginAnswer(answer));
}

/// Passes an answer to the query that waits for it.
pub fn handle_answer(context: &Context, answer: Answer) {
    let pending = context.origin_queries.senders.borrow().get(&answer.number).cloned();
    if pending.is_none_or(|it| it.try_send(answer).is_err()) {
        tracing::debug!("an answer about a stream's origin came too late");
    }
}
