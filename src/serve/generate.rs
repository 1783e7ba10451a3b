//! Runs one request for generated text: admission, claim, attempts, answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    admit, claim,
    claim::Outcome as Claimed,
    clock,
    clock::Moment,
    event,
    event::Event,
    id,
    link::front::{Presence, Reply},
    retry::{Accepted, Assembly, Decision, Repeat, Tries},
    route::{Demand, Kind, Outcome, Path, Ticket},
    serve::{
        Context, Refusal, Stop,
        completion::{Completion, Form, Usage},
        gate::Permit,
        options::{Caller, Mark, Options},
        output::Output,
    },
    target::{Engine, Failure, Generation, prefix},
    verdict::{Reason, Verdict},
};

/// Time after which to come back when no target takes the request.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// Answers one request for generated text.
pub(super) fn generate(
    ctx: &Context,
    caller: &Caller,
    options: &Options,
    completion: Completion,
    reply: Reply,
) {
    let presence = reply.presence();
    let form = Form::new(&completion, options.request.clone());
    let mut output = Output::new(form, options.request.clone(), completion.delivery, reply);
    let mut run = Run::new(ctx, caller, options, completion, presence);
    match run.run(&mut output) {
        Ok(end) => output.finish(&end.finish, end.usage),
        Err(Stop::Refused(refusal)) => {
            ctx.refused(&options.request, &caller.customer, &refusal);
            output.fail(&refusal);
        }
        Err(Stop::Gone) => ctx.gone(&options.request),
    }
}

/// End of a whole answer.
struct End {
    finish: SmolStr,
    usage: Usage,
}

/// A generated answer as it is kept for later copies of its request.
#[derive(Serialize, Deserialize)]
struct Kept {
    text: SmolStr,
    finish: SmolStr,
    prompt_tokens: u32,
    tokens: u32,
}

/// One request under way.
struct Run<'a> {
    ctx: &'a Context,
    caller: &'a Caller,
    options: &'a Options,
    completion: Completion,
    presence: Presence,
    started: Moment,
    expires: Moment,
    fingerprint: SmolStr,
    demand: Demand,
    assembly: Assembly,
    tries: Tries,
}

/// How an attempt ended without the whole answer.
enum Broken {
    Target(Failure),
    Refused(Refusal),
    Gone,
}

impl From<Failure> for Broken {
    fn from(it: Failure) -> Broken {
        Broken::Target(it)
    }
}

impl<'a> Run<'a> {
    fn new(
        ctx: &'a Context,
        caller: &'a Caller,
        options: &'a Options,
        completion: Completion,
        presence: Presence,
    ) -> Run<'a> {
        let started = clock::now();
        let time = options.time.unwrap_or(ctx.settings.callers.request_time);
        let expires = started + time;
        let repeat = match options.mark {
            Mark::NotRepeatable => Repeat::Forbidden,
            Mark::None | Mark::Repeatable => Repeat::Allowed,
        };
        let prompt = prefix::Prompt::new(&completion.model, &completion.prompt);
        let demand = Demand {
            model_or_service: completion.model.clone(),
            kind: Kind::Engine,
            data_centre: ctx.settings.host.data_centre.clone(),
            prompt_tokens: prompt.tokens,
            pieces: prompt.pieces,
            output_tokens: ctx.expected_output(&caller.plan, &completion.model, completion.max_tokens),
            priority: caller.limits.priority,
            exclude: Vec::new(),
        };
        Run {
            ctx,
            caller,
            options,
            fingerprint: completion.fingerprint(),
            completion,
            presence,
            started,
            expires,
            demand,
            assembly: Assembly::new(),
            tries: Tries::new(repeat, expires),
        }
    }

    fn run(&mut self, output: &mut Output) -> Result<End, Stop> {
        self.caller.may_use(&self.completion.model)?;
        let Some(mut grant) = self.claim()? else { return self.serve(output, None) };
        let grant = match &mut grant {
            Claimed::Granted(it) => it,
            Claimed::Replay(answer) => return replay(answer, output),
        };
        self.serve(output, Some(grant))
    }
}
