//! Sends a job through another host while this one is cut off from the targets.
//!
//! The other host does everything that this one would do for its caller, and sends no request any
//! further. Here the response is passed on as it arrives; a caller that leaves closes the connection
//! to the other host, which then frees the target.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use fuchsiaknot_core::{clock, id, verdict::Reason};
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Body as _, Incoming},
    http::response::Parts,
};
use tokio::time::{sleep, timeout};

use crate::{
    cluster::{
        membership::Host,
        peer_ticket::{NOT_TAKEN_HEADER, Ticket, VERSION_HEADER},
    },
    context::Context,
    entry::{
        body_memory::{Exceeded, MAX_BODY_BYTES},
        headers::{closes_connection, end_to_end, is_event_stream},
        job::Job,
        response::{self, Body, Chunks, Sender},
    },
    upstream::connection::{Connection, RequestError},
};

/// Most hosts that are tried for one job.
const MAX_HOSTS: u32 = 3;
/// Interval at which is checked whether the other host is still up.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a host counts as down before the work that it does for this one is given up. A
/// host that was only silent goes on with it; one that has stopped closes its connections.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Why another host yielded no response to forward.
enum Failure {
    /// The host has not taken the job.
    NotTaken,
    /// The connection broke, or the host went down; the job may have run.
    Broken,
    /// The job's deadline passed.
    Expired,
}

/// Sends a job through other hosts until one of them responds.
///
/// # Errors
/// Returns the reason for giving the job up.
pub(crate) async fn forward(
    context: &Rc<Context>,
    job: &Rc<Job>,
    may_have_run: bool,
) -> Result<Response<Body>, Reason> {
    let mut tried: Vec<id::Host> = Vec::new();
    for _ in 0..MAX_HOSTS {
        let host = context.state().membership.choose_proxy(&tried, rand::random());
        let Some(host) = host else { break };
        tried.push(host.name.clone());
        match send(context, job, &host).await {
            Ok((response, version)) => {
                log_forwarded(job, &host, response.status(), version);
                return Ok(response);
            }
            Err(Failure::NotTaken) => job.is_delegated.set(false),
            Err(Failure::Expired) => return Err(Reason::DeadlineExceeded),
            // How many attempts the other host made is unknown, so there may be none left.
            Err(Failure::Broken) => return Err(Reason::TargetFailed),
        }
    }
    Err(if may_have_run { Reason::TargetFailed } else { Reason::NoTarget })
}

fn log_forwarded(job: &Job, host: &Host, status: StatusCode, host_version: Option<id::Version>) {
    tracing::info!(
        code = 8062,
        id = %job.id,
        host = %host.name,
        version = job.configuration_version,
        host_version,
        status = status.as_u16(),
        "request sent through another host"
    );
}

/// Sends a job to another host and returns its response, of which a stream goes on arriving, and the
/// version of the configuration by which it handled the job.
async fn send(
    context: &Rc<Context>,
    job: &Rc<Job>,
    host: &Host,
) -> Result<(Response<Body>, Option<id::Version>), Failure> {
    let mut connection = match context.peer_pool.take_idle(&host.name, &job.id) {
        Some(connection) => connection,
        None => context.peer_pool.open(host.peer_address).await.map_err(|_| Failure::NotTaken)?,
    };
    let ticket = Ticket {
        from: context.settings.host.name.clone(),
        from_incarnation: context.settings.host.incarnation,
        to_incarnation: host.incarnation,
        attempts_sent: job.attempts_sent.get(),
        is_counted: job.is_counted.get(),
        configuration_version: job.configuration_version.max(context.state().handled_version),
        key: job.key(),
    };
    let request = job.peer_request(&context.header_names, &ticket).ok_or(Failure::NotTaken)?;
    context.metrics.peer_requests.with_label_values(&["sent"]).inc();
    job.is_delegated.set(true);
    let sent = tokio::select! {
        sent = timeout(job.time_left(), connection.send(&job.id, request)) => sent,
        () = host_lost(context, host) => return Err(Failure::Broken),
    };
    let response = match sent {
        Err(_) => return Err(Failure::Expired),
        Ok(Err(RequestError::NotSent)) => return Err(Failure::NotTaken),
        Ok(Err(_)) => return Err(Failure::Broken),
        Ok(Ok(response)) => response,
    };
    let (head, body) = response.into_parts();
    if head.headers.contains_key(NOT_TAKEN_HEADER) {
        return Err(Failure::NotTaken);
    }
    let exchange = Exchange {
        context: Rc::clone(context),
        job: Rc::clone(job),
        host: host.clone(),
        connection,
        body,
    };
    let version = handled_version(&head);
    version.into_iter().for_each(|it| context.record_handled_version(it));
    Ok((exchange.forward(head).await?, version))
}

/// Returns the version of the configuration by which another host handled a job; `None` if it is of a
/// build that does not say.
fn handled_version(head: &Parts) -> Option<id::Version> {
    head.headers.get(VERSION_HEADER)?.to_str().ok()?.parse().ok()
}

/// Completes once another host was restarted, or has been down for [`MAX_SILENCE`].
async fn host_lost(context: &Context, host: &Host) {
    let mut down_since = None;
    loop {
        sleep(LIVENESS_INTERVAL).await;
        let state = context.state();
        if !state.membership.is_known(&host.name, host.incarnation) {
            return;
        }
        if !state.membership.is_lost(&host.name, host.incarnation) {
            down_since = None;
            continue;
        }
        let now = clock::now();
        if *down_since.get_or_insert(now) + MAX_SILENCE <= now {
            return;
        }
    }
}

/// A response of another host in progress. Dropping it closes the connection.
struct Exchange {
    context: Rc<Context>,
    job: Rc<Job>,
    host: Host,
    connection: Connection,
    body: Incoming,
}

impl Exchange {
    /// Forwards the response: a stream as it arrives, any other once it is whole.
    async fn forward(mut self, head: Parts) -> Result<Response<Body>, Failure> {
        let closes = closes_connection(&head.headers);
        let mut body = Chunks::new(self.context.body_memory.share());
        let mut next = None;
        let is_stream = is_event_stream(&head.headers);
        while !is_stream && let Some(chunk) = self.chunk().await? {
            match body.push(chunk) {
                Ok(()) => {}
                Err((Exceeded::Shared, chunk)) if self.has_bounded_length() => {
                    next = Some(chunk);
                    break;
                }
                Err(_) => return Err(Failure::Broken),
            }
        }
        let body = if is_stream || next.is_some() {
            let (sender, receiver) = response::stream_from(body);
            tokio::task::spawn_local(self.forward_stream(sender, next, closes));
            Body::Stream(receiver)
        } else {
            self.finish(closes);
            Body::Chunks(body)
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = end_to_end(&head.headers);
        response.headers_mut().remove(VERSION_HEADER);
        Ok(response)
    }

    /// Passes on the chunks of a stream. It is cut if the other host fails, so that it does not look
    /// complete.
    async fn forward_stream(mut self, sender: Sender, mut next: Option<Bytes>, closes: bool) {
        loop {
            let chunk = match next.take() {
                Some(chunk) => Ok(Some(chunk)),
                None => tokio::select! {
                    chunk = self.chunk() => chunk,
                    () = sender.closed() => return,
                },
            };
            match chunk {
                Ok(Some(chunk)) => {
                    if sender.send(chunk).await.is_err() {
                        return;
                    }
                }
                Ok(None) => return self.finish(closes),
                Err(_) => {
                    tracing::warn!(code = 8063, id = %self.job.id, host = %self.host.name, "stream through another host broke off");
                    return sender.cut(self.job.time_left()).await;
                }
            }
        }
    }

    fn has_bounded_length(&self) -> bool {
        let length = self.body.size_hint().exact();
        length.is_some_and(|it| it <= MAX_BODY_BYTES as u64)
    }

    /// Returns the next chunk of the body; `None` at its end.
    async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = tokio::select! {
                frame = timeout(self.job.time_left(), self.body.frame()) => frame,
                () = host_lost(&self.context, &self.host) => return Err(Failure::Broken),
            };
            match frame {
                Err(_) => return Err(Failure::Expired),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(Failure::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Keeps the connection after a complete response.
    fn finish(self, closes: bool) {
        if !closes {
            self.context.peer_pool.put_back(self.host.name, self.connection, None);
        }
    }
}
