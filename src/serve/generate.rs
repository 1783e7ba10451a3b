//! Runs requests for generated text.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    claim, clock,
    link::front::Reply,
    retry::{Accepted, Assembly, Repeat},
    route::{Demand, Outcome, Path, TargetKind, Ticket},
    serve::{
        Context, Refusal, Stop,
        completion::{Completion, Form, Usage},
        job::{Broken, Job, Work},
        options::{Caller, Mark, Options},
        output::Output,
    },
    target::{Engine, Failure, Generation, prefix},
    verdict::Reason,
};

/// Answers one request for generated text.
pub(super) fn generate(
    ctx: &Context,
    caller: &Caller,
    options: &Options,
    completion: Completion,
    reply: Reply,
) {
    let repeat = match options.mark {
        Mark::NotRepeatable => Repeat::Forbidden,
        Mark::None | Mark::Repeatable => Repeat::Allowed,
    };
    let demand = demand(ctx, caller, &completion);
    let fingerprint = completion.fingerprint();
    let presence = reply.presence();
    let mut job = Job::new(ctx, caller, options, presence, fingerprint, repeat, demand);
    let form = Form::new(&completion, options.request.clone());
    let output = Output::new(form, options.request.clone(), completion.delivery, reply);
    let mut text = Text { completion, assembly: Assembly::new(), output };
    match job.run(&mut text) {
        Ok(end) => {
            let tokens = end.usage.completion_tokens;
            ctx.observe_output(&caller.plan, &text.completion.model, tokens);
            text.output.finish(&end.finish, end.usage);
        }
        Err(Stop::Refused(refusal)) => {
            ctx.refused(options, caller, &refusal);
            text.output.fail(&refusal);
        }
        Err(Stop::Gone) => ctx.gone(options),
    }
}

fn demand(ctx: &Context, caller: &Caller, completion: &Completion) -> Demand {
    let output_tokens = ctx.expected_output(&caller.plan, &completion.model, completion.max_tokens);
    Demand {
        model_or_service: completion.model.clone(),
        kind: TargetKind::Engine,
        data_centre: ctx.settings.host.data_centre.clone(),
        prompt_tokens: prefix::tokens(&completion.prompt),
        pieces: prefix::pieces(&completion.model, &completion.prompt),
        output_tokens,
        priority: ctx.settings.decisions.priority(&caller.limits),
        exclude: Vec::new(),
    }
}

/// End of a whole answer.
#[derive(Debug, Clone)]
struct End {
    finish: SmolStr,
    usage: Usage,
    cached: u32,
}

/// A generated answer as it is kept for later copies of its request.
#[derive(Serialize, Deserialize)]
struct Kept {
    text: SmolStr,
    finish: SmolStr,
    prompt_tokens: u32,
    tokens: u32,
}

/// A text that is generated for a caller.
struct Text {
    completion: Completion,
    assembly: Assembly,
    output: Output,
}

impl Text {
    fn generation(&self, job: &Job<'_>) -> Generation {
        let request = &job.options.request;
        Generation {
            request: format_smolstr!("{request}-{}", self.assembly.attempt()),
            model: self.completion.model.clone(),
            adapter: self.completion.adapter.clone(),
            prompt: self.completion.prompt.clone(),
            max_tokens: self.completion.max_tokens,
            resume_at: self.assembly.resume_at(),
            priority: job.demand.priority,
            kv: None,
        }
    }

    /// Passes tokens on; a request that may not repeat goes on without its caller.
    fn pass_on(&mut self, job: &Job<'_>, tokens: &[SmolStr]) -> Result<(), Broken> {
        match self.output.tokens(tokens) {
            Err(_) if job.repeat == Repeat::Allowed => Err(Broken::Gone),
            Ok(()) | Err(_) => Ok(()),
        }
    }
}

impl Work for Text {
    type End = End;

    fn attempt(&mut self, job: &Job<'_>, path: &Path, ticket: Ticket) -> Result<End, Broken> {
        let fleet = &job.ctx.fleet;
        let mut generation = self.generation(job);
        if let Some(prefill) = &path.prefill {
            generation.kv = Some(job.client(prefill)?.prefill(&generation)?);
            fleet.route().record_kv_export(ticket, clock::now());
        }
        let stream = job.client(&path.target)?.generate(&generation)?;
        let presence = (job.repeat == Repeat::Allowed).then(|| job.presence.clone());
        let _watched = job.ctx.watch.add(presence, job.expires, stream.canceller());
        let attempt = self.assembly.attempt();
        let start = self.assembly.resume_at();
        for piece in stream {
            let accepted = self.assembly.accept(attempt, piece?);
            match accepted.map_err(|gap| Failure::Broken(gap.to_string()))? {
                Accepted::Nothing => {}
                Accepted::Tokens(tokens) => {
                    if self.assembly.resume_at() == start + tokens.len() as u32 {
                        fleet.route().record_first_token(ticket, clock::now());
                    }
                    self.pass_on(job, &tokens)?;
                }
                Accepted::End { tokens, cached, finish } => {
                    let usage = Usage::new(job.demand.prompt_tokens, tokens);
                    return Ok(End { finish, usage, cached });
                }
            }
        }
        Err(Broken::Target(Failure::Broken("the stream ended early".to_owned())))
    }

    fn restart(&mut self) {
        self.assembly.next_attempt();
    }

    fn tokens(&self) -> u32 {
        self.assembly.resume_at()
    }

    fn outcome(&self, end: &End) -> Outcome {
        Outcome::Done {
            prompt_tokens: end.usage.prompt_tokens,
            cached_tokens: end.cached,
            output_tokens: end.usage.completion_tokens,
        }
    }

    fn kept(&self, end: &End) -> claim::Answer {
        let kept = Kept {
            text: SmolStr::new(self.output.text()),
            finish: end.finish.clone(),
            prompt_tokens: end.usage.prompt_tokens,
            tokens: end.usage.completion_tokens,
        };
        let body = serde_json::to_vec(&kept).unwrap_or_default();
        claim::Answer { status: 200, headers: Vec::new(), body }
    }

    fn replay(&mut self, answer: claim::Answer) -> Result<End, Stop> {
        let Ok(kept) = serde_json::from_slice::<Kept>(&answer.body) else {
            let message = "the kept answer cannot be read; ask the operators";
            return Err(Refusal::new(Reason::AnswerLost, message).into());
        };
        self.output.tokens(&[kept.text]).map_err(|_| Stop::Gone)?;
        let usage = Usage::new(kept.prompt_tokens, kept.tokens);
        Ok(End { finish: kept.finish, usage, cached: 0 })
    }
}
