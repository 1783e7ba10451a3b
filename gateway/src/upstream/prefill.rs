//! Has one engine prefill a prompt for which another engine generates.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, header::HeaderValue};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    context::Context,
    entry::job::Job,
    targets::{notice, registry::Key, target::Target},
    upstream::{
        attempt::{self, Failure, InFlight, Options},
        calls::{Call, Ledger},
        probe,
    },
};
use fuchsiaknot_core::clock;

/// Timeout for releasing an unused KV cache; the engine drops it later on its own.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Multiple of the estimate within which the prefill must be answered before another engine is
/// tried.
const TIMEOUT_FACTOR: u32 = 3;
/// Time added to this multiple, for work on the engine that the estimate doesn't include.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// A prefilled prompt whose KV cache an engine keeps; it is released on drop unless it was fetched.
#[derive(Debug)]
pub struct Prefilled {
    context: Rc<Context>,
    key: Key,
    target: Target,
    handle: SmolStr,
    fetched: bool,
}

impl Prefilled {
    /// Returns the header value that tells another engine where to fetch the KV cache.
    pub fn source(&self) -> HeaderValue {
        let source = format!("{}/{}", self.target.address, self.handle);
        HeaderValue::from_str(&source).unwrap_or_else(|err| {
            tracing::error!(code = 8029, %err, %source, "an engine's KV handle is not a valid header value");
            HeaderValue::from_static("")
        })
    }

    /// Returns the key of the engine that keeps the KV cache.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Records that another engine fetched the KV cache, so that it isn't released on drop.
    pub fn mark_fetched(&mut self) {
        self.fetched = true;
    }
}

impl Drop for Prefilled {
    fn drop(&mut self) {
        if self.fetched {
            return;
        }
        let path = (self.context.prefill_api.release_path)(&self.handle);
        let (context, key, target) = (Rc::clone(&self.context), self.key, self.target.clone());
        tokio::task::spawn_local(async move {
            if timeout(RELEASE_TIMEOUT, release(&context, key, &target, &path)).await.is_err() {
                tracing::debug!(target = %target.id, "timed out releasing an unused KV cache; the engine will drop it on its own");
            }
        });
    }
}

async fn release(context: &Context, key: Key, target: &Target, path: &str) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    let Ok(uri) = path.parse() else { return };
    *request.uri_mut() = uri;
    let address = HeaderValue::from_str(&target.address.to_string());
    if let Ok(address) = address {
        request.headers_mut().insert(hyper::header::HOST, address);
    }
    let may_send = || context.state().availability.may_send(key, clock::now());
    if !may_send() {
        return;
    }
    let connected = probe::connect(context, key, target.address, "").await;
    let Ok(mut connection) = connected else { return };
    if !may_send() || !context.state().rate_limits.is_available(key, clock::now()) {
        return;
    }
    notice::record_request(context, key);
    match connection.send("", request).await {
        Ok(response) => notice::record(context, key, response.status(), response.headers()),
        Err(err) => {
            tracing::debug!(target = %target.id, %err, "could not release an unused KV cache");
        }
    }
}

/// A prefill to run on an engine.
#[derive(Debug)]
pub struct Task {
    /// Counts the prefill as load of its engine.
    pub in_flight: InFlight,
    /// Expected time to the first event.
    pub estimate: Duration,
    /// Tokens of the prompt that are not in the engine's prefix cache.
    pub missing_tokens: u64,
    /// Engine from which this one first fetches what it lacks.
    pub source: Option<SocketAddr>,
}

/// Has an engine prefill a job's prompt.
///
/// # Errors
/// Fails when the engine doesn't return a handle to the KV cache; the job itself did not run.
pub async fn run(
    context: &Rc<Context>,
    job: &Job,
    Task { in_flight, estimate, missing_tokens, source }: Task,
) -> Result<Prefilled, Failure> {
    let (key, tokens) = (in_flight.key, in_flight.queued_tokens());
    let lone_missing_tokens = Some(missing_tokens).filter(|_| in_flight.queue_was_empty());
    let mut headers = HeaderMap::new();
    headers.insert(context.header_names.stage.clone(), context.header_names.prefill_stage.clone());
    let started = clock::now();
    let max_wait = estimate * TIMEOUT_FACTOR + TIMEOUT_MARGIN;
    let head_timeout = Some(max_wait);
    let options =
        Options { call: Call::Prefill, head_timeout, part_source: source, ..Options::default() };
    let response = attempt::send_request(context, job, key, options, headers).await?;
    let (target, status) = (response.target.clone(), response.head.status);
    // The head may have arrived at the end of its time.
    let end = (started + max_wait).max(clock::now() + TIMEOUT_MARGIN);
    let body = response.read_short(context, job, end).await?;
    let handle = (context.prefill_api.parse_handle)(&body).filter(|_| status.is_success());
    let handle =
        handle.ok_or_else(|| Failure::Broken(format!("engine returned no KV handle: {status}")))?;
    job.update_calls(Ledger::record_accepted_prefill);
    let took = clock::now().saturating_sub(started);
    tracing::info!(code = 8030,
        id = %job.id,
        target = %target.id,
        tokens,
        shared_part = job.prompt.affinity_key(),
        shared = job.prompt.tokens - job.prompt.unshared_tokens(),
        prompt = job.prompt.tokens,
        source = source.map(|it| it.to_string()),
        took_ms = took.as_millis() as u64,
        "prompt prefilled"
    );
    let mut state = context.state_mut();
    state.health.record_success(key);
    let latency_model = state.latency_models.entry(job.service.clone()).or_default();
    let expected = latency_model.expected_prefill_time(tokens);
    match lone_missing_tokens {
        Some(missing_tokens) => {
            latency_model.record_lone_prefill(&job.prompt, missing_tokens, took)
        }
        None => latency_model.record_prefill(tokens, took),
    }
    state.slowness.record(key, took.as_secs_f64() / expected.as_secs_f64(), clock::now());
    drop(state);
    drop(in_flight);
    Ok(Prefilled { context: Rc::clone(context), key, target, handle, fetched: false })
}
