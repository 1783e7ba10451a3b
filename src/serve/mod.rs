//! The callers' interface.

mod call;
mod completion;
mod context;
mod fleet;
mod gate;
mod generate;
mod job;
mod options;
mod output;
mod peers;
mod refusal;
mod register;
mod watch;

use std::sync::Arc;

use hyper::Method;
use serde::Serialize;
use smol_str::SmolStr;

pub use self::{
    completion::{Completion, Delivery, Style},
    context::{Claims, Configuration, Context, Departure, Retries},
    fleet::Fleet,
    gate::{Gate, Permit},
    options::{Caller, KEY_HEADER, MARK_HEADER, Mark, Options, REQUEST_HEADER, TIME_HEADER},
    peers::{Members, Peers},
    refusal::Refusal,
    register::{Entry, Register, Registered},
    watch::{CHECK_EVERY, Watch},
};
use crate::{
    clock,
    link::front::{Answer, Handler, Reply, Request},
    verdict::Reason,
};

/// Start of the paths of plain services.
const SERVICES: &str = "/v1/services/";

/// Why a request ended without its answer.
#[derive(Debug)]
pub(crate) enum Stop {
    /// The caller gets a refusal.
    Refused(Refusal),
    /// The caller went away.
    Gone,
}

impl From<Refusal> for Stop {
    fn from(it: Refusal) -> Stop {
        Stop::Refused(it)
    }
}

impl From<gate::Stop> for Stop {
    fn from(it: gate::Stop) -> Stop {
        match it {
            gate::Stop::Refused(it) => Stop::Refused(crate::verdict::Refusal::from(it).into()),
            gate::Stop::Gone => Stop::Gone,
        }
    }
}

/// Handles the requests of the callers' port.
#[derive(Debug)]
pub struct Callers {
    ctx: Arc<Context>,
}

impl Callers {
    /// Creates the handler of a host.
    pub fn new(ctx: Arc<Context>) -> Callers {
        Callers { ctx }
    }

    /// Answers a request that needs a caller's key.
    fn serve(&self, route: Route<'_>, request: &Request, reply: Reply) {
        let (caller, options) = match self.check(request) {
            Ok(it) => it,
            Err(refusal) => return self.refuse(&refusal, reply),
        };
        let ctx = &*self.ctx;
        let _open = ctx.departure.enter();
        match route {
            Route::Models => reply.whole(models(ctx, &caller)),
            Route::Generate(style) => match Completion::parse(style, &request.body) {
                Ok(it) => generate::generate(ctx, &caller, &options, it, reply),
                Err(refusal) => self.refuse(&refusal, reply),
            },
            Route::Service(name, path) => {
                call::call(ctx, &caller, &options, name, path, request, reply);
            }
        }
    }

    fn check(&self, request: &Request) -> Result<(Caller, Options), Refusal> {
        self.ctx.admits(clock::now())?;
        let caller = Caller::recognise(&request.headers, &self.ctx.contract())?;
        let options = Options::parse(&request.headers)?;
        Ok((caller, options))
    }

    fn refuse(&self, refusal: &Refusal, reply: Reply) {
        self.ctx.metrics.refused(refusal.reason);
        reply.whole(refusal.to_answer(""));
    }
}

/// What a caller with a key asks for.
#[derive(Debug, Clone, Copy)]
enum Route<'a> {
    Models,
    Generate(Style),
    /// Service and the rest of the path.
    Service(&'a str, &'a str),
}

impl Handler for Callers {
    fn handle(&self, request: Request, reply: Reply) {
        let ctx = &*self.ctx;
        let path = request.path.clone();
        match (&request.method, path.as_str()) {
            (&Method::GET, "/health/live") => reply.whole(Answer::new(200, "live\n")),
            (&Method::GET, "/health/ready") => reply.whole(ready(ctx)),
            (&Method::GET, "/v1/hosts") => reply.whole(hosts(ctx, &request)),
            (&Method::GET, "/v1/models") => self.serve(Route::Models, &request, reply),
            (&Method::POST, "/v1/chat/completions") => {
                self.serve(Route::Generate(Style::Chat), &request, reply);
            }
            (&Method::POST, "/v1/completions") => {
                self.serve(Route::Generate(Style::Plain), &request, reply);
            }
            (_, path) => match service(path) {
                Some((name, rest)) => self.serve(Route::Service(name, rest), &request, reply),
                None => self.refuse(&Refusal::new(Reason::NotFound, "no such path"), reply),
            },
        }
    }
}

/// Splits a service's path into its name and the path at the service.
fn service(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix(SERVICES)?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    (!name.is_empty()).then_some((name, path))
}

fn ready(ctx: &Context) -> Answer {
    match ctx.admits(clock::now()) {
        Ok(()) => Answer::new(200, "ready\n"),
        Err(refusal) => Answer::new(503, format!("{}\n", refusal.reason)),
    }
}

/// Answers which hosts to use; the query may name the caller's data centre.
fn hosts(ctx: &Context, request: &Request) -> Answer {
    let query = request.query.as_deref().unwrap_or_default();
    let data_centre = query.split('&').find_map(|it| it.strip_prefix("data_centre="));
    Answer::json(200, &ctx.members.choose(data_centre, rand::random()))
}

fn models(ctx: &Context, caller: &Caller) -> Answer {
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
    Answer::json(200, &Models { object: "list", data })
}
