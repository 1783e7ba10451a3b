//! Runs calls of plain services.

use hyper::header;
use smol_str::SmolStr;

use crate::{
    claim, clock,
    link::front::{Answer, Reply, Request},
    retry::Repeat,
    route::{Demand, Outcome, Path, TargetKind, Ticket},
    serve::{
        Context, Stop,
        job::{Broken, Job, Work},
        options::{Caller, MARK_HEADER, Mark, Options, REQUEST_HEADER, TIME_HEADER},
    },
    target::{Call, Service},
    utils,
};

/// Header fields that concern one connection, or the caller's dealings with this host only.
const OWN_HEADERS: &[&str] = &[
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
    MARK_HEADER,
    TIME_HEADER,
];

/// Answers one call of the service `name`; `path` is what follows the name.
pub(super) fn call(
    ctx: &Context,
    caller: &Caller,
    options: &Options,
    name: &str,
    path: &str,
    request: &Request,
    reply: Reply,
) {
    let target = match &request.query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let repeat = repeat(ctx, options, name, request, path);
    let parts = [name.as_bytes(), request.method.as_str().as_bytes(), target.as_bytes()];
    let fingerprint = utils::fingerprint(&[&parts[..], &[&request.body[..]]].concat());
    let demand = demand(ctx, caller, name);
    let presence = reply.presence();
    let mut job = Job::new(ctx, caller, options, presence, fingerprint, repeat, demand);
    let mut errand = Errand { request, target };
    match job.run(&mut errand) {
        Ok(answer) => reply.whole(to_caller(answer, options)),
        Err(Stop::Refused(refusal)) => {
            ctx.refused(options, caller, &refusal);
            reply.whole(refusal.to_answer(&options.request));
        }
        Err(Stop::Gone) => ctx.gone(options),
    }
}

/// Decides by the caller's mark, or else by the service's settings, whether a call may repeat.
fn repeat(ctx: &Context, options: &Options, name: &str, request: &Request, path: &str) -> Repeat {
    let repeats = match options.mark {
        Mark::Repeatable => true,
        Mark::NotRepeatable => false,
        Mark::None => ctx.settings.service(name).repeats(request.method.as_str(), path),
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

/// Returns the header fields that are passed on to the service.
fn passed_on(request: &Request) -> Vec<(SmolStr, SmolStr)> {
    let fields = request.headers.iter().filter(|(name, _)| !OWN_HEADERS.contains(&name.as_str()));
    let fields = fields.filter_map(|(name, value)| Some((name, value.to_str().ok()?)));
    fields.map(|(name, value)| (SmolStr::new(name.as_str()), SmolStr::new(value))).collect()
}

fn to_caller(answer: claim::Answer, options: &Options) -> Answer {
    let mut reply =
        Answer::new(answer.status, answer.body).with_header(REQUEST_HEADER, &options.request);
    for field in answer.headers {
        if !OWN_HEADERS.contains(&field.name.to_ascii_lowercase().as_str()) {
            reply = reply.with_header(&field.name, &field.value);
        }
    }
    reply
}

/// A call that is made for a caller.
struct Errand<'a> {
    request: &'a Request,
    target: String,
}

impl Work for Errand<'_> {
    type End = claim::Answer;

    fn attempt(
        &mut self,
        job: &Job<'_>,
        path: &Path,
        _ticket: Ticket,
    ) -> Result<claim::Answer, Broken> {
        let mut headers = passed_on(self.request);
        if !self.request.headers.contains_key(header::CONTENT_TYPE) && !self.request.body.is_empty()
        {
            let kind = SmolStr::new_static("application/octet-stream");
            headers.push((SmolStr::new_static("content-type"), kind));
        }
        let call = Call {
            method: SmolStr::new(self.request.method.as_str()),
            path: SmolStr::new(&self.target),
            headers,
            body: self.request.body.to_vec(),
            timeout: job.expires.saturating_sub(clock::now()),
        };
        let answer = job.client(&path.target)?.call(&call)?;
        let headers = answer.headers.into_iter();
        let headers = headers.map(|(name, value)| claim::Header { name, value }).collect();
        Ok(claim::Answer { status: answer.status, headers, body: answer.body })
    }

    fn outcome(&self, _end: &claim::Answer) -> Outcome {
        Outcome::Done { prompt_tokens: 0, cached_tokens: 0, output_tokens: 0 }
    }

    fn kept(&self, end: &claim::Answer) -> claim::Answer {
        end.clone()
    }

    fn replay(&mut self, answer: claim::Answer) -> Result<claim::Answer, Stop> {
        Ok(answer)
    }
}
