//! One request of a caller, read whole and matched to its route.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Uri,
    body::{Body as _, Incoming},
    header::{self, HeaderValue},
};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    attempt::Options,
    configuration::{Configuration, RequestKind, Route},
    context::{Context, OpenRequest},
    engine,
    headers::{HeaderNames, end_to_end, head_bytes},
    prompt::Prompt,
    target::Target,
};
use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
    verdict::Reason,
};

/// Waiting time of a caller that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Shortest time after which an idempotent request is sent elsewhere; a busy target may take as long.
const LEAST_LIMIT: Duration = Duration::from_millis(400);
/// Range of the silence after which a stream goes on elsewhere; callers leave after two seconds.
const LEAST_SILENCE: Duration = Duration::from_millis(900);
const MOST_SILENCE: Duration = Duration::from_millis(1200);

/// A request on its way to a target.
#[derive(Debug)]
pub struct Job {
    /// Identity that the caller gave this attempt.
    pub id: SmolStr,
    /// Route in force when the request arrived.
    pub route: Rc<Route>,
    /// Service that runs it.
    pub service: id::Service,
    /// Version of the configuration that chose route and service.
    pub configuration_version: id::Version,
    /// What it says of its prompt.
    pub prompt: Prompt,
    /// When it arrived.
    pub arrived: Moment,
    /// Time that the caller waits from this attempt on.
    pub caller_timeout: Duration,
    /// Time that the caller had spent on earlier attempts.
    pub prior_time: Duration,
    /// When the caller, or the route's timeout, gives up.
    pub expires_at: Moment,
    /// Requests sent to targets so far.
    pub attempts_sent: Cell<u32>,
    /// Engine that read the prompt, what it does, and how long that was expected to take.
    pub prefill_choice: Cell<Option<engine::Choice>>,
    /// When it was last sent to run.
    pub sent_at: Cell<Option<Moment>>,
    /// When another engine had read its prompt.
    pub prefilled_at: Cell<Option<Moment>>,
    /// Time from the arrival to the first event.
    pub time_to_first_event: Cell<Option<Duration>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    _open: OpenRequest,
}

impl Job {
    /// Reads a request and finds its route.
    ///
    /// # Errors
    /// Returns why the request is refused; nothing was sent.
    pub async fn read(context: &Context, request: Request<Incoming>) -> Result<Job, Reason> {
        let (arrived, open) = (clock::now(), context.open_request());
        let configuration = context.state().configuration.clone().ok_or(Reason::NotReady)?;
        let (parts, body) = request.into_parts();
        if configuration.limits.max_header_bytes < head_bytes(&parts) {
            return Err(Reason::HeaderTooLarge);
        }
        let route = find_route(&configuration, &parts).ok_or(Reason::NotFound)?;
        let service = route.choose_service(rand::random()).cloned().ok_or(Reason::NotFound)?;
        let names = &context.header_names;
        let id = request_id(&parts.headers, names);
        let deadline = text(&parts.headers, &names.deadline).and_then(|it| it.trim().parse().ok());
        let deadline = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let prior_time = context.state_mut().deadlines.elapsed(&route.name, deadline);
        let expires_at = arrived + deadline.min(route.timeout);
        let prompt = Prompt::read(&parts.headers, names);
        let left = expires_at.saturating_sub(clock::now());
        let body = read_body(body, configuration.limits.max_body_bytes, left).await?;
        let mut headers = end_to_end(&parts.headers);
        for name in &names.reserved {
            headers.remove(name);
        }
        headers.remove(header::EXPECT);
        Ok(Job {
            id,
            route,
            service,
            configuration_version: configuration.version,
            prompt,
            arrived,
            caller_timeout: deadline,
            prior_time,
            expires_at,
            attempts_sent: Cell::new(0),
            prefill_choice: Cell::new(None),
            sent_at: Cell::new(None),
            prefilled_at: Cell::new(None),
            time_to_first_event: Cell::new(None),
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            _open: open,
        })
    }

    /// Returns the time left until the job expires.
    pub fn time_left(&self) -> Duration {
        self.expires_at.saturating_sub(clock::now())
    }

    /// Returns the time after which an idempotent request that got no answer is sent to another
    /// target; `None` when it waits for this one.
    pub fn head_timeout(&self) -> Option<Duration> {
        let another = self.attempts_sent.get() + 1 < self.route.max_attempts;
        let idempotent = self.route.kind == RequestKind::Idempotent;
        (idempotent && another).then(|| (self.route.latency_objective * 2).max(LEAST_LIMIT))
    }

    /// Returns the longest silence within a stream that may go on elsewhere; `None` when it may not.
    pub fn silence_timeout(&self) -> Option<Duration> {
        let resumable = self.route.kind == RequestKind::Stream { resumable: true };
        let limit = (self.route.max_event_gap * 4).clamp(LEAST_SILENCE, MOST_SILENCE);
        (resumable && !self.attempts_exhausted()).then_some(limit)
    }

    /// Returns a number that all attempts at the same request share.
    pub fn fingerprint(&self) -> id::Fingerprint {
        let mut hasher = std::hash::DefaultHasher::new();
        (self.uri.path(), self.uri.query(), &self.body).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns whether no target may be tried any more.
    pub fn attempts_exhausted(&self) -> bool {
        self.route.max_attempts <= self.attempts_sent.get()
    }

    /// Returns how long ago the caller first sent the request, as far as its deadline shows.
    pub fn elapsed(&self) -> Duration {
        self.prior_time + clock::now().saturating_sub(self.arrived)
    }

    /// Returns the request as it is sent to a target.
    pub fn request(
        &self,
        names: &HeaderNames,
        target: &Target,
        options: Options<'_>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let left = self.time_left().as_millis() as u64;
        headers.insert(names.deadline.clone(), HeaderValue::from(left));
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(names.expected_target.clone(), id);
        }
        if let Some(last) = options.last_event_id {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
        if let Some(prefilled) = options.prefilled {
            headers.insert(names.cache_source.clone(), prefilled.source());
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the identity that the caller gave a request; empty without one.
pub fn request_id(headers: &HeaderMap, names: &HeaderNames) -> SmolStr {
    text(headers, &names.request_id).map(SmolStr::new).unwrap_or_default()
}

fn find_route(
    configuration: &Configuration,
    parts: &hyper::http::request::Parts,
) -> Option<Rc<Route>> {
    let host = match parts.uri.authority() {
        Some(authority) => authority.as_str(),
        None => parts.headers.get(header::HOST)?.to_str().ok()?,
    };
    configuration.routes.find(host, parts.uri.path()).cloned()
}

fn text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Reason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let read = timeout(time, Limited::new(body, limit).collect()).await;
    let collected = read.map_err(|_| Reason::BodyTimeout)?;
    collected.map(http_body_util::Collected::to_bytes).map_err(|err| {
        match err.is::<http_body_util::LengthLimitError>() {
            true => Reason::BodyTooLarge,
            false => Reason::BadRequest,
        }
    })
}
