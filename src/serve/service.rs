//! Forwards calls to plain services.

use hyper::header;
use smol_str::SmolStr;

use crate::{
    claim, clock,
    link::http_server::{Request, Responder, Response},
    retry::Repeat,
    route::{Demand, Outcome, Path, TargetKind, Ticket},
    serve::{
        Abort, Context,
        execution::{AttemptError, Execution, Operation},
        options::{
            Caller, NOT_REPEATABLE_HEADER, Options, REQUEST_ID_HEADER, Repeatability,
            TIME_ALLOWED_HEADER,
        },
    },
    target::{Call, Service},
    utils,
};

/// Header fields that aren't forwarded in either direction: hop-by-hop fields, and those that
/// concern only the caller and this host.
const UNFORWARDED_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    NOT_REPEATABLE_HEADER,
    TIME_ALLOWED_HEADER,
];

/// Answers one call to the service `name`; `path` is the path at the service, without the query.
pub(super) fn handle(
    ctx: &Context,
    caller: &Caller,
    options: &Options,
    name: &str,
    path: &str,
    request: &Request,
    responder: Responder,
) {
    let path_and_query = match &request.query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let repeat = repeat_policy(ctx, options, name, request, path);
    let parts = [name.as_bytes(), request.method.as_str().as_bytes(), path_and_query.as_bytes()];
    let fingerprint = utils::fingerprint(&[&parts[..], &[&request.body[..]]].concat());
    let demand = demand(ctx, caller, name);
    let presence = responder.presence();
    let mut execution = Execution::new(ctx, caller, options, presence, fingerprint, repeat, demand);
    let mut operation = ServiceCall { request, path_and_query };
    match execution.run(&mut operation) {
        Ok(answer) => responder.send(to_response(answer, options)),
        Err(Abort::Refused(refusal)) => {
            ctx.record_refusal(options, caller, &refusal);
            responder.send(refusal.to_response(&options.request_id));
        }
        Err(Abort::CallerGone) => ctx.record_caller_gone(options),
    }
}

/// Returns whether a call may be repeated: as the caller's header says, otherwise as the service's
/// settings say.
fn repeat_policy(
    ctx: &Context,
    options: &Options,
    name: &str,
    request: &Request,
    path: &str,
) -> Repeat {
    let repeats = match options.repeatability {
        Repeatability::Repeatable => true,
        Repeatability::NotRepeatable => false,
        Repeatability::Unspecified => {
            ctx.settings.service(name).is_repeatable(request.method.as_str(), path)
        }
    };
    if repeats { Repeat::Allowed } else { Repeat::Forbidden }
}

fn demand(ctx: &Context, caller: &Caller, name: &str) -> Demand {
    Demand {
        model_or_service: SmolStr::new(name),
        kind: TargetKind::Service,
        data_centre: ctx.settings.host.data_centre.clone(),
        prompt_tokens: 0,
        pieces: Vec::new(),
        output_tokens: 0,
        priority: caller.limits.priority,
        exclude: Vec::new(),
    }
}

/// Returns the header fields that are forwarded to the service. Values that aren't visible ASCII
/// are dropped.
fn forwarded_headers(request: &Request) -> Vec<(SmolStr, SmolStr)> {
    let fields =
        request.headers.iter().filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()));
    let fields = fields.filter_map(|(name, value)| Some((name, value.to_str().ok()?)));
    fields.map(|(name, value)| (SmolStr::new(name.as_str()), SmolStr::new(value))).collect()
}

/// Returns a service's answer as it is sent to the caller.
fn to_response(answer: claim::Answer, options: &Options) -> Response {
    let mut response = Response::new(answer.status, answer.body)
        .with_header(REQUEST_ID_HEADER, &options.request_id);
    for field in answer.headers {
        if !UNFORWARDED_HEADERS.contains(&field.name.to_ascii_lowercase().as_str()) {
            response = response.with_header(&field.name, &field.value);
        }
    }
    response
}

/// Calls a plain service for one request.
struct ServiceCall<'a> {
    request: &'a Request,
    path_and_query: String,
}

impl Operation for ServiceCall<'_> {
    type Output = claim::Answer;

    fn attempt(
        &mut self,
        execution: &Execution<'_>,
        path: &Path,
        _ticket: Ticket,
    ) -> Result<claim::Answer, AttemptError> {
        let mut headers = forwarded_headers(self.request);
        if !self.request.headers.contains_key(header::CONTENT_TYPE) && !self.request.body.is_empty()
        {
            let content_type = SmolStr::new_static("application/octet-stream");
            headers.push((SmolStr::new_static("content-type"), content_type));
        }
        let call = Call {
            method: SmolStr::new(self.request.method.as_str()),
            path: SmolStr::new(&self.path_and_query),
            headers,
            body: self.request.body.to_vec(),
            timeout: execution.deadline.saturating_sub(clock::now()),
        };
        let answer = execution.client(&path.target)?.call(&call)?;
        let headers = answer.headers.into_iter();
        let headers = headers.map(|(name, value)| claim::Header { name, value }).collect();
        Ok(claim::Answer { status: answer.status, headers, body: answer.body })
    }

    fn outcome(&self, _answer: &claim::Answer) -> Outcome {
        Outcome::Done { prompt_tokens: 0, cached_tokens: 0, output_tokens: 0 }
    }

    fn stored_answer(&self, answer: &claim::Answer) -> claim::Answer {
        answer.clone()
    }

    fn replay(&mut self, answer: claim::Answer) -> Result<claim::Answer, Abort> {
        Ok(answer)
    }
}
