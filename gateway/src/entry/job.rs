//! A caller's request, read whole and matched to a route.

use std::{
    cell::{Cell, RefCell},
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Uri,
    body::Incoming,
    header::{self, HeaderValue},
};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    account::{
        Account, Digest,
        recognition::{self, Identity},
    },
    cluster::{
        origin_lookup,
        origin_proof::Subject,
        peer_ticket::{TICKET_HEADER, Ticket},
        stream_origin::Origin,
    },
    configuration::{Configuration, RequestKind, Route},
    context::Context,
    entry::{
        body_memory,
        headers::{HeaderNames, end_to_end, head_bytes},
        open_request,
        prompt::Prompt,
    },
    placement::engine,
    targets::{
        poison::{self, Contents},
        poison_part::MAX_PROMPT_PARTS,
        target::Target,
    },
    upstream::{
        attempt::Options,
        calls::{Call, Ledger},
    },
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
    verdict::Reason,
};

/// Timeout assumed for a caller that sends none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum time before an idempotent request is sent to another target; a busy target may take as
/// long.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum silence of a target after which its stream is resumed at another.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum silence of a target after which its stream is resumed at another; callers disconnect
/// after two seconds of silence.
pub(crate) const MAX_SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time within which the body of a refused request is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller's request while it is forwarded, with the state of its attempts.
#[derive(Debug)]
pub struct Job {
    /// Identifier that the caller gave the request; empty without one.
    pub id: SmolStr,
    /// Route in force when the request arrived.
    pub route: Rc<Route>,
    /// Service that runs the request, chosen by the route's traffic split.
    pub service: id::Service,
    /// Whether the service's targets are engines.
    pub on_engines: bool,
    /// Version of the configuration from which route and service were chosen.
    pub configuration_version: id::Version,
    /// Client account of the caller; `None` if the caller is anonymous.
    pub account: Option<Rc<Account>>,
    /// Prompt description from the headers.
    pub prompt: Prompt,
    /// Fingerprints of the prompt's shared parts, in order.
    pub parts: Vec<id::Fingerprint>,
    /// Arrival time of the request head.
    pub arrived: Moment,
    /// Time at which the request had been read whole.
    pub read_at: Moment,
    /// Time for which the caller waits, counted from `arrived`.
    pub caller_timeout: Duration,
    /// Time that the caller had spent on earlier attempts before this request.
    pub prior_time: Duration,
    /// Deadline: the end of the caller's timeout or of the route's, whichever is earlier.
    pub expires_at: Moment,
    /// Number of attempts to run the job that were written to a target, answered or not.
    pub attempts_sent: Cell<u32>,
    /// Calls that were written to targets, and what was taken for them from the retry budget.
    pub calls: Cell<Ledger>,
    /// Engine chosen for the prefill, with its stage and latency estimate.
    pub prefill_choice: Cell<Option<engine::Choice>>,
    /// Time of the last attempt to run the request.
    pub sent_at: Cell<Option<Moment>>,
    /// Time at which the prefill on a separate engine ended.
    pub prefilled_at: Cell<Option<Moment>>,
    /// Whether the job is counted in the retry budget of its service.
    pub is_counted: Cell<bool>,
    /// Whether the job is counted in the usage of its account.
    pub is_run_counted: Cell<bool>,
    /// Whether another host sends the job through this one.
    pub is_from_peer: bool,
    /// Whether the job was sent through another host.
    pub is_delegated: Cell<bool>,
    /// Stream that the caller takes up after some events; empty when it doesn't name the stream, and
    /// `None` for a new request.
    pub resumed_stream: Option<id::Stream>,
    /// Where the stream began; `None` until it has begun.
    pub origin: RefCell<Option<Origin>>,
    /// Time from `arrived` to the first event of the stream.
    pub time_to_first_event: Cell<Option<Duration>>,
    /// Digest of the key that showed the account.
    key: Option<Digest>,
    /// Digest of what makes requests to a service the same.
    contents: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    _memory: body_memory::Share,
    open: open_request::Guard,
}

impl Job {
    /// Reads a request and finds its route.
    ///
    /// # Errors
    /// Returns the reason for refusing the request; nothing was sent to a target.
    pub async fn read(
        context: &Context,
        request: Request<Incoming>,
        ticket: Option<&Ticket>,
    ) -> Result<Job, Reason> {
        let (arrived, open) = (clock::now(), context.open_requests.open());
        let configuration = context.state().configuration.clone();
        let (parts, body) = request.into_parts();
        // A newer configuration may send the request elsewhere or not allow it.
        let is_superseded = context.state().is_superseded() && !context.should_use_proxies();
        let current = configuration.as_ref().filter(|_| !is_superseded);
        let missing = if is_superseded { Reason::Stale } else { Reason::NotReady };
        let chosen = choose_route(current.ok_or(missing), &parts).and_then(|chosen| {
            let (configuration, route, _) = &chosen;
            let identity = identify(context, configuration, route, &parts.headers, ticket)?;
            Ok((chosen, identity))
        });
        let ((configuration, route, service), identity) = match chosen {
            Ok(chosen) => chosen,
            Err(reason) => {
                let limits = configuration.map(|it| it.limits).unwrap_or_default();
                tokio::task::spawn_local(discard_body(body, limits.max_body_bytes));
                return Err(reason);
            }
        };
        let on_engines = configuration.services.get(&service).is_some_and(|it| it.engine.is_some());
        let names = &context.header_names;
        let id = request_id(&parts.headers, names);
        let caller_timeout =
            header_text(&parts.headers, &names.deadline).and_then(|it| it.trim().parse().ok());
        let caller_timeout = caller_timeout.map_or(DEFAULT_CALLER_TIMEOUT, Duration::from_millis);
        let prior_time = context.state_mut().deadlines.elapsed(&route.name, caller_timeout);
        let expires_at = arrived + caller_timeout.min(route.timeout);
        let prompt = Prompt::read(&parts.headers, names);
        let part_fingerprints = fingerprints(&service, &prompt);
        let time_left = expires_at.saturating_sub(clock::now());
        let max_bytes = configuration.limits.max_body_bytes;
        let mut memory = context.request_memory.share();
        let body = read_body(body, max_bytes, time_left, &mut memory).await?;
        let mut headers = end_to_end(&parts.headers);
        for name in &names.reserved {
            headers.remove(name);
        }
        headers.remove(header::EXPECT);
        headers.remove(TICKET_HEADER);
        if configuration.accounts.is_some() {
            headers.remove(header::AUTHORIZATION);
            headers.remove(&names.account);
        }
        let (account, key) = identity.map(|it| (it.account, it.key)).unzip();
        if let Some(name) = account.as_ref().and_then(|it| HeaderValue::from_str(&it.name).ok()) {
            headers.insert(names.account.clone(), name);
        }
        let attempts_sent = ticket.map_or(0, |it| it.attempts_sent);
        let mut calls = Ledger::default();
        (0..attempts_sent).for_each(|_| calls.record_call());
        let resumed_stream = resumed_stream(&route, &parts.headers, names);
        let account_name = account.as_ref().map(|it| it.name.as_str());
        let contents = Contents {
            host: &route.host,
            method: parts.method.as_str(),
            path: parts.uri.path(),
            query: parts.uri.query(),
            account: account_name,
            body: &body,
        };
        let contents = contents.digest();
        Ok(Job {
            id,
            route,
            service,
            on_engines,
            configuration_version: configuration.version,
            account,
            prompt,
            parts: part_fingerprints,
            arrived,
            read_at: clock::now(),
            caller_timeout,
            prior_time,
            expires_at,
            attempts_sent: Cell::new(attempts_sent),
            calls: Cell::new(calls),
            prefill_choice: Cell::new(None),
            sent_at: Cell::new(None),
            prefilled_at: Cell::new(None),
            time_to_first_event: Cell::new(None),
            is_counted: Cell::new(ticket.is_some_and(|it| it.is_counted)),
            is_run_counted: Cell::new(false),
            is_from_peer: ticket.is_some(),
            is_delegated: Cell::default(),
            resumed_stream,
            origin: RefCell::default(),
            key,
            contents,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            _memory: memory,
            open,
        })
    }

    /// Has the job counted and listed among the host's open requests.
    pub fn register(self: &Rc<Job>) {
        self.open.attach(self);
    }

    /// Finds where the stream began that the caller takes up; `None` if it takes up none.
    ///
    /// # Errors
    /// Returns the reason for refusing the request; nothing was sent to a target.
    pub async fn find_origin(&self, context: &Rc<Context>) -> Result<Option<Origin>, Reason> {
        let Some(stream) = &self.resumed_stream else { return Ok(None) };
        let subject = self.sole_service(context).map(|service| Subject {
            service,
            host: authority(&self.uri, &self.headers).unwrap_or_default().into(),
            path: self.uri.path().into(),
        });
        let origin = origin_lookup::find(context, stream, subject.as_ref()).await;
        let origin = origin.ok_or(Reason::OriginUnknown)?;
        if !self.route.traffic_split.iter().any(|(service, _)| *service == origin.service) {
            return Err(Reason::NoTarget);
        }
        Ok(Some(origin))
    }

    /// Has the stream that the caller takes up go on where it began.
    pub fn set_origin(&mut self, context: &Context, origin: Origin) {
        if self.service != origin.service {
            self.service = origin.service.clone();
            self.parts = fingerprints(&self.service, &self.prompt);
            let configuration = context.state().configuration.clone();
            let service = configuration.as_ref().and_then(|it| it.services.get(&self.service));
            self.on_engines = service.is_some_and(|it| it.engine.is_some());
        }
        self.origin = RefCell::new(Some(origin));
    }

    /// Returns the service of the route, if requests like this one have gone to no other lately.
    fn sole_service(&self, context: &Context) -> Option<id::Service> {
        let state = context.state();
        let [(service, _)] = self.route.traffic_split.as_slice() else { return None };
        if !state.route_history.has_former() {
            return Some(service.clone());
        }
        let host = authority(&self.uri, &self.headers)?;
        let routes = &state.configuration.as_ref()?.routes;
        let services = state.route_history.services(routes, host, self.uri.path());
        services.iter().eq([service]).then(|| service.clone())
    }

    /// Records that the stream began at a target, unless its caller had taken it up.
    pub fn record_origin(&self, context: &Context, target: &Target) {
        let origin = Origin::from(target);
        let stream = self.resumed_stream.clone().filter(|it| !it.is_empty());
        let stream = stream.unwrap_or_else(|| self.id.clone());
        *self.origin.borrow_mut() = Some(origin.clone());
        if !stream.is_empty() {
            let has_sole_service = self.sole_service(context).is_some();
            origin_lookup::record_begin(context, stream, origin, has_sole_service);
        }
    }

    /// Returns a hash that is equal for all attempts at the same request.
    pub fn fingerprint(&self) -> id::Fingerprint {
        self.fingerprints().at_service
    }

    /// Returns the fingerprints of the request at its service and at any one.
    pub fn fingerprints(&self) -> poison::Fingerprints {
        poison::Fingerprints::new(&self.service, self.contents)
    }

    /// Returns whether a target may run the job: any, or one of the software version that began the
    /// stream.
    pub fn allows(&self, target: &Target) -> bool {
        self.origin.borrow().as_ref().is_none_or(|it| it.allows(target))
    }

    /// Returns the software version that began the stream, if it has begun.
    pub fn required_version(&self) -> Option<id::SoftwareVersion> {
        self.origin.borrow().as_ref()?.version.clone()
    }

    /// Counts the job, once, as one of its account's that began to run.
    pub fn count_run(&self, context: &Context) {
        let Some(account) = self.account.as_ref().filter(|_| !self.is_run_counted.get()) else {
            return;
        };
        self.is_run_counted.set(true);
        context.state_mut().usage.record(&account.name, clock::now());
    }

    /// Returns the priority of the job, which is that of its account if that has one.
    pub fn priority(&self) -> u8 {
        let priority = self.account.as_ref().and_then(|it| it.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the digest of the caller's key; `None` if the caller is anonymous.
    pub(crate) fn key(&self) -> Option<Digest> {
        self.key
    }

    /// Checks that the job may still be sent to a target: its key was not revoked, and this host can
    /// tell.
    ///
    /// # Errors
    /// Returns the reason for not sending it.
    pub fn check_account(&self, context: &Context) -> Result<(), Reason> {
        let (Some(account), Some(key)) = (&self.account, self.key) else { return Ok(()) };
        let knowledge = context.configuration_knowledge();
        let configuration = context.state().configuration.clone();
        let accounts = configuration.as_ref().and_then(|it| it.accounts.as_ref());
        let identity = Identity { account: Rc::clone(account), key };
        recognition::check(&identity, accounts, knowledge)
    }

    /// Returns whether a target may have started the job.
    pub fn may_have_started(&self) -> bool {
        0 < self.attempts_sent.get() || self.is_delegated.get()
    }

    /// Returns the time left until the job's deadline.
    pub fn time_left(&self) -> Duration {
        self.expires_at.saturating_sub(clock::now())
    }

    /// Returns the time to wait for a response head before another target is tried; `None` when the
    /// request is not idempotent or this is its last attempt.
    pub fn head_timeout(&self) -> Option<Duration> {
        let has_next_attempt = self.attempts_sent.get() + 1 < self.route.max_attempts;
        let idempotent = self.route.kind == RequestKind::Idempotent;
        (idempotent && has_next_attempt)
            .then(|| (self.route.latency_objective * 2).max(MIN_HEAD_TIMEOUT))
    }

    /// Returns the silence of a target after which its stream is resumed at another; `None` when
    /// the stream cannot be resumed or no attempt is left.
    pub fn silence_timeout(&self) -> Option<Duration> {
        let resumable = self.route.kind == RequestKind::Stream { resumable: true };
        let silence =
            (self.route.max_event_gap * 4).clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT);
        (resumable && !self.attempts_exhausted()).then_some(silence)
    }

    /// Records that a call is written to a target; returns whether it is beyond the request's first.
    pub fn record_call(&self, call: Call) -> bool {
        if call == Call::Run {
            self.attempts_sent.set(self.attempts_sent.get() + 1);
        }
        let before = self.calls.get().further_calls();
        self.update_calls(Ledger::record_call);
        before < self.calls.get().further_calls()
    }

    /// Takes back a call that did not reach its target.
    pub fn withdraw_call(&self, call: Call) {
        if call == Call::Run {
            self.attempts_sent.set(self.attempts_sent.get() - 1);
        }
        self.update_calls(Ledger::withdraw_call);
    }

    /// Changes the record of the job's calls.
    pub fn update_calls(&self, update: impl FnOnce(&mut Ledger)) {
        let mut calls = self.calls.get();
        update(&mut calls);
        self.calls.set(calls);
    }

    /// Returns the identifier of a shared part of the prompt, given its fingerprint.
    pub fn part_name(&self, part: id::Fingerprint) -> Option<&str> {
        let index = self.parts.iter().position(|it| *it == part)?;
        Some(self.prompt.shared_parts().get(index)?.id.as_str())
    }

    /// Returns whether the route allows no further attempt.
    pub fn attempts_exhausted(&self) -> bool {
        self.route.max_attempts <= self.attempts_sent.get()
    }

    /// Returns the time since the caller first sent the request, as estimated from its timeouts.
    pub fn elapsed(&self) -> Duration {
        self.prior_time + clock::now().saturating_sub(self.arrived)
    }

    /// Counts the job in the retry budget of its service, unless it is counted already.
    pub fn count(&self, context: &Context) {
        if !self.is_counted.replace(true) {
            context.count_request(&self.service);
        }
    }

    /// Builds the request to send through another host; `None` if the ticket cannot be a header.
    pub(crate) fn peer_request(
        &self,
        names: &HeaderNames,
        ticket: &Ticket,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = self.request(names);
        request.headers_mut().insert(TICKET_HEADER, HeaderValue::try_from(ticket).ok()?);
        Some(request)
    }

    /// Builds the request as the caller sent it, with the time that is left.
    fn request(&self, names: &HeaderNames) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left_ms = self.time_left().as_millis() as u64;
        request.headers_mut().insert(names.deadline.clone(), HeaderValue::from(left_ms));
        request
    }

    /// Builds the request to send to a target.
    pub fn target_request(
        &self,
        names: &HeaderNames,
        target: &Target,
        options: Options<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = self.request(names);
        let headers = request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(names.expected_target.clone(), id);
        }
        if let Some(last_event_id) = options.last_event_id {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last_event_id));
        }
        if let Some(prefilled) = options.prefilled {
            headers.insert(names.cache_source.clone(), prefilled.source());
        }
        let part_source = options.part_source.map(|it| HeaderValue::from_str(&it.to_string()));
        if let Some(Ok(address)) = part_source {
            headers.insert(names.part_source.clone(), address);
        }
        request
    }
}

/// Returns the identifier that the caller gave a request; empty without one.
pub fn request_id(headers: &HeaderMap, names: &HeaderNames) -> SmolStr {
    header_text(headers, &names.request_id).map(SmolStr::new).unwrap_or_default()
}

/// Returns the stream that a request takes up; empty if it doesn't name it, `None` if it takes up none.
fn resumed_stream(route: &Route, headers: &HeaderMap, names: &HeaderNames) -> Option<id::Stream> {
    let is_stream = matches!(route.kind, RequestKind::Stream { .. });
    let stream = header_text(headers, &names.resumed_stream);
    let resumes = stream.is_some() || headers.contains_key(&names.last_event_id);
    (is_stream && resumes).then(|| id::Stream::new(stream.unwrap_or_default()))
}

/// Returns the configuration in force, and the request's route and service.
fn choose_route(
    configuration: Result<&Rc<Configuration>, Reason>,
    parts: &hyper::http::request::Parts,
) -> Result<(Rc<Configuration>, Rc<Route>, id::Service), Reason> {
    let configuration = configuration?;
    if configuration.limits.max_header_bytes < head_bytes(parts) {
        return Err(Reason::HeaderTooLarge);
    }
    let route = find_route(configuration, parts).ok_or(Reason::NotFound)?;
    let service = route.choose_service(rand::random()).cloned().ok_or(Reason::NotFound)?;
    Ok((Rc::clone(configuration), route, service))
}

/// Returns the identity of a request's sender, or of the caller for whom another host sends it; `None`
/// if it is anonymous or the configuration has no accounts.
fn identify(
    context: &Context,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    ticket: Option<&Ticket>,
) -> Result<Option<Identity>, Reason> {
    let Some(accounts) = &configuration.accounts else { return Ok(None) };
    let key = match ticket {
        Some(ticket) => Ok(ticket.key),
        None => recognition::read_key(headers),
    };
    recognition::identify(accounts, route, key, context.configuration_knowledge())
}

/// Returns hashes of the first shared parts of a prompt to a service.
fn fingerprints(service: &id::Service, prompt: &Prompt) -> Vec<id::Fingerprint> {
    let parts = prompt.shared_parts().iter().take(MAX_PROMPT_PARTS);
    let fingerprint = |id: &SmolStr| {
        let mut hasher = std::hash::DefaultHasher::new();
        (service, id).hash(&mut hasher);
        hasher.finish()
    };
    parts.map(|it| fingerprint(&it.id)).collect()
}

fn find_route(
    configuration: &Configuration,
    parts: &hyper::http::request::Parts,
) -> Option<Rc<Route>> {
    let host = authority(&parts.uri, &parts.headers)?;
    configuration.routes.find(host, parts.uri.path()).cloned()
}

/// Returns the host of a request.
fn authority<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    match uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => headers.get(header::HOST)?.to_str().ok(),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads the body of a request whole, within the memory that all bodies share.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    time_left: Duration,
    memory: &mut body_memory::Share,
) -> Result<Bytes, Reason> {
    let mut bytes = Vec::new();
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Reason::BadRequest)?;
            let Ok(chunk) = frame.into_data() else { continue };
            if max_bytes < bytes.len() + chunk.len() {
                return Err(Reason::BodyTooLarge);
            }
            memory.take_shared(chunk.len()).map_err(|_| Reason::OutOfMemory)?;
            bytes.extend_from_slice(&chunk);
        }
        Ok(())
    };
    let outcome = timeout(time_left, read).await.unwrap_or(Err(Reason::BodyTimeout));
    if outcome == Err(Reason::OutOfMemory) {
        tokio::task::spawn_local(discard_body(body, max_bytes));
    }
    outcome.map(|()| Bytes::from(bytes))
}

/// Reads and drops the body of a refused request, since a connection that closes with unread bytes is
/// reset and its caller may not see the response.
async fn discard_body(mut body: Incoming, max_bytes: usize) {
    let read = async {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    };
    if timeout(DISCARD_TIMEOUT, read).await.is_err() {
        tracing::debug!("the body of a refused request did not arrive in time");
    }
}
