//! The HTTP API for callers: health checks, generated text, plain services and the host list.

mod admission;
mod completion;
mod context;
mod execution;
mod fleet;
mod generate;
mod options;
mod peers;
mod refusal;
mod registry;
mod response;
mod service;
mod stream_monitor;

use std::sync::Arc;

use hyper::Method;
use serde::Serialize;
use smol_str::SmolStr;

pub use self::{
    admission::{AdmissionQueue, Permit},
    completion::{CompletionRequest, Delivery, Endpoint},
    context::{Claims, Context, Refresher, RetryBudgets, Shutdown},
    fleet::Fleet,
    options::{
        Caller, IDEMPOTENCY_KEY_HEADER, NOT_REPEATABLE_HEADER, Options, REQUEST_ID_HEADER,
        Repeatability, TIME_ALLOWED_HEADER,
    },
    peers::{Members, Peers},
    refusal::Refusal,
    registry::{OpenRequest, Registry, RegistryGuard},
    stream_monitor::{STREAM_CHECK_INTERVAL, StreamMonitor},
};
use crate::{
    clock,
    link::http_server::{Handler, Request, Responder, Response},
    verdict::Reason,
};

/// Path prefix of plain services.
const SERVICE_PREFIX: &str = "/v1/services/";

/// Why a request ended without a complete answer.
#[derive(Debug)]
pub(crate) enum Abort {
    /// The request is refused; the caller is told why.
    Refused(Refusal),
    /// The caller went away.
    CallerGone,
}

impl From<Refusal> for Abort {
    fn from(it: Refusal) -> Abort {
        Abort::Refused(it)
    }
}

impl From<admission::Abort> for Abort {
    fn from(it: admission::Abort) -> Abort {
        match it {
            admission::Abort::Refused(it) => {
                Abort::Refused(crate::verdict::Refusal::from(it).into())
            }
            admission::Abort::CallerGone => Abort::CallerGone,
        }
    }
}

/// Handles the requests that arrive on the callers' port.
#[derive(Debug)]
pub struct CallerApi {
    ctx: Arc<Context>,
}

impl CallerApi {
    /// Creates the handler from a host's shared state.
    pub fn new(ctx: Arc<Context>) -> CallerApi {
        CallerApi { ctx }
    }

    /// Answers a request that must be authenticated.
    fn dispatch(&self, route: Route<'_>, request: &Request, responder: Responder) {
        let (caller, options) = match self.check_request(request) {
            Ok(it) => it,
            Err(refusal) => return self.refuse(&refusal, responder),
        };
        let ctx = &*self.ctx;
        let _guard = ctx.shutdown.track_request();
        match route {
            Route::Models => responder.send(models(ctx, &caller)),
            Route::Generate(endpoint) => match CompletionRequest::parse(endpoint, &request.body) {
                Ok(it) => generate::handle(ctx, &caller, &options, it, responder),
                Err(refusal) => self.refuse(&refusal, responder),
            },
            Route::Service(name, path) => {
                service::handle(ctx, &caller, &options, name, path, request, responder);
            }
        }
    }

    /// Checks that this host is ready, authenticates the caller and reads the request's options.
    fn check_request(&self, request: &Request) -> Result<(Caller, Options), Refusal> {
        self.ctx.check_ready(clock::now())?;
        let caller = Caller::authenticate(&request.headers, &self.ctx.configuration())?;
        let options = Options::parse(&request.headers)?;
        Ok((caller, options))
    }

    fn refuse(&self, refusal: &Refusal, responder: Responder) {
        self.ctx.metrics.count_refusal(refusal.reason);
        responder.send(refusal.to_response(""));
    }
}

/// Route of an authenticated request.
#[derive(Debug, Clone, Copy)]
enum Route<'a> {
    Models,
    Generate(Endpoint),
    /// Name of a plain service, and the path at the service.
    Service(&'a str, &'a str),
}

impl Handler for CallerApi {
    fn handle(&self, request: Request, responder: Responder) {
        let ctx = &*self.ctx;
        let path = request.path.clone();
        match (&request.method, path.as_str()) {
            (&Method::GET, "/health/live") => responder.send(Response::new(200, "live\n")),
            (&Method::GET, "/health/ready") => responder.send(readiness(ctx)),
            (&Method::GET, "/v1/hosts") => responder.send(hosts(ctx, &request)),
            (&Method::GET, "/v1/models") => self.dispatch(Route::Models, &request, responder),
            (&Method::POST, "/v1/chat/completions") => {
                self.dispatch(Route::Generate(Endpoint::Chat), &request, responder);
            }
            (&Method::POST, "/v1/completions") => {
                self.dispatch(Route::Generate(Endpoint::Text), &request, responder);
            }
            (_, path) => match split_service_path(path) {
                Some((name, rest)) => {
                    self.dispatch(Route::Service(name, rest), &request, responder)
                }
                None => self.refuse(&Refusal::new(Reason::NotFound, "no such path"), responder),
            },
        }
    }
}

/// Splits a request path below [`SERVICE_PREFIX`] into the service's name and the path at the
/// service.
fn split_service_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix(SERVICE_PREFIX)?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    (!name.is_empty()).then_some((name, path))
}

fn readiness(ctx: &Context) -> Response {
    match ctx.check_ready(clock::now()) {
        Ok(()) => Response::new(200, "ready\n"),
        Err(refusal) => Response::new(503, format!("{}\n", refusal.reason)),
    }
}

/// Answers with the entry hosts that the caller should use. The query may name its data centre.
fn hosts(ctx: &Context, request: &Request) -> Response {
    let query = request.query.as_deref().unwrap_or_default();
    let data_centre = query.split('&').find_map(|it| it.strip_prefix("data_centre="));
    Response::json(200, &ctx.members.rank_hosts(data_centre, rand::random()))
}

fn models(ctx: &Context, caller: &Caller) -> Response {
    #[derive(Serialize)]
    struct Models {
        object: &'static str,
        data: Vec<Model>,
    }

    #[derive(Serialize)]
    struct Model {
        id: SmolStr,
        object: &'static str,
    }

    let names = ctx.fleet.models().into_iter().filter(|it| caller.limits.allows(it));
    let data = names.map(|id| Model { id, object: "model" }).collect();
    Response::json(200, &Models { object: "list", data })
}
