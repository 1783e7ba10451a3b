//! Has one engine read a prompt whose stream another engine will generate.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, header::HeaderValue};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    attempt::{self, Failure, InFlight, Options},
    context::Context,
    job::Job,
    registry::Key,
    target::Target,
};
use fuchsiaknot_core::clock;

/// Time to drop a prompt that nobody fetches; after it the engine drops it by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Times the estimate that reading may take before another engine is tried.
const LIMIT_FACTOR: u32 = 3;
/// Time beyond that; it covers steps of work that the estimate does not know.
const LIMIT_MARGIN: Duration = Duration::from_millis(400);

/// A prompt that an engine has read and keeps; it is dropped there unless it was taken.
#[derive(Debug)]
pub struct Prefilled {
    context: Rc<Context>,
    key: Key,
    target: Target,
    handle: SmolStr,
    fetched: bool,
}

impl Prefilled {
    /// Returns where another engine fetches the prompt.
    pub fn source(&self) -> HeaderValue {
        let source = format!("{}/{}", self.target.address, self.handle);
        HeaderValue::from_str(&source).unwrap_or_else(|err| {
            tracing::error!(code = 8029, %err, %source, "an engine's handle is no header value");
            HeaderValue::from_static("")
        })
    }

    /// Notes that another engine fetched the prompt.
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
                tracing::debug!(target = %target.id, "an unused prompt is left to lapse");
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
    let Ok(mut connection) = context.pool.connect(key, target.address).await else { return };
    if let Err(err) = connection.send(request).await {
        tracing::debug!(target = %target.id, %err, "an unused prompt could not be dropped");
    }
}

/// A prompt that an engine is to read.
#[derive(Debug)]
pub struct Task {
    /// Counts it at the engine.
    pub ticket: InFlight,
    /// Time to the first event.
    pub estimate: Duration,
    /// Tokens that the engine lacks.
    pub missing_tokens: u64,
}

/// Has an engine read a job's prompt.
///
/// # Errors
/// Fails when the engine does not keep the prompt; the job itself did not run.
pub async fn run(
    context: &Rc<Context>,
    job: &Job,
    Task { ticket, estimate, missing_tokens }: Task,
) -> Result<Prefilled, Failure> {
    let (key, tokens) = (ticket.key, ticket.queued_tokens());
    let missing_tokens = Some(missing_tokens).filter(|_| ticket.queue_was_empty());
    let mut headers = HeaderMap::new();
    headers.insert(context.header_names.stage.clone(), context.header_names.prefill_stage.clone());
    let began = clock::now();
    let head_timeout = Some(estimate * LIMIT_FACTOR + LIMIT_MARGIN);
    let options = Options { head_timeout, ..Options::default() };
    let answer = attempt::send_request(context, job, key, options, headers).await?;
    let target = answer.target.clone();
    let (status, _, body) = answer.read_whole(context, job).await?;
    let handle = (context.prefill_api.parse_handle)(&body).filter(|_| status.is_success());
    let handle = handle.ok_or_else(|| Failure::Broken(format!("no prompt was kept: {status}")))?;
    let took = clock::now().saturating_sub(began);
    tracing::info!(code = 8030,
        id = %job.id,
        target = %target.id,
        tokens,
        shared_part = job.prompt.affinity_key(),
        shared = job.prompt.tokens - job.prompt.unshared_tokens(),
        prompt = job.prompt.tokens,
        took_ms = took.as_millis() as u64,
        "prompt read"
    );
    let mut state = context.state_mut();
    state.health.record_success(key);
    let latency_model = state.latency_models.entry(job.service.clone()).or_default();
    let expected = latency_model.expected_prefill_time(tokens);
    match missing_tokens {
        Some(missing_tokens) => {
            latency_model.record_lone_prefill(&job.prompt, missing_tokens, took)
        }
        None => latency_model.record_prefill(tokens, took),
    }
    state.slowness.record(key, took.as_secs_f64() / expected.as_secs_f64(), clock::now());
    drop(state);
    drop(ticket);
    Ok(Prefilled { context: Rc::clone(context), key, target, handle, fetched: false })
}
