//! Handles requests for generated text.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    claim, clock,
    link::http_server::Responder,
    retry::{Accepted, Assembly, Repeat},
    route::{Demand, Outcome, Path, TargetKind, Ticket},
    serve::{
        Abort, Context, Refusal,
        completion::{CompletionRequest, Formatter, Usage},
        execution::{AttemptError, Execution, Operation},
        options::{Caller, Options, Repeatability},
        response::ResponseWriter,
    },
    target::{Engine, Failure, Generation, prefix},
    verdict::Reason,
};

/// Answers one request for generated text.
pub(super) fn handle(
    ctx: &Context,
    caller: &Caller,
    options: &Options,
    completion: CompletionRequest,
    responder: Responder,
) {
    let repeat = match options.repeatability {
        Repeatability::NotRepeatable => Repeat::Forbidden,
        Repeatability::Unspecified | Repeatability::Repeatable => Repeat::Allowed,
    };
    let demand = demand(ctx, caller, &completion);
    let fingerprint = completion.fingerprint();
    let presence = responder.presence();
    let mut execution = Execution::new(ctx, caller, options, presence, fingerprint, repeat, demand);
    let formatter = Formatter::new(&completion, options.request_id.clone());
    let response =
        ResponseWriter::new(formatter, options.request_id.clone(), completion.delivery, responder);
    let mut operation = TextGeneration { completion, assembly: Assembly::new(), response };
    match execution.run(&mut operation) {
        Ok(generated) => {
            let tokens = generated.usage.completion_tokens;
            ctx.record_output_tokens(&caller.plan, &operation.completion.model, tokens);
            operation.response.finish(&generated.finish_reason, generated.usage);
        }
        Err(Abort::Refused(refusal)) => {
            ctx.record_refusal(options, caller, &refusal);
            operation.response.fail(&refusal);
        }
        Err(Abort::CallerGone) => ctx.record_caller_gone(options),
    }
}

fn demand(ctx: &Context, caller: &Caller, completion: &CompletionRequest) -> Demand {
    let output_tokens =
        ctx.expected_output_tokens(&caller.plan, &completion.model, completion.max_tokens);
    Demand {
        model_or_service: completion.model.clone(),
        kind: TargetKind::Engine,
        data_centre: ctx.settings.host.data_centre.clone(),
        prompt_tokens: prefix::count_tokens(&completion.prompt),
        pieces: prefix::piece_hashes(&completion.model, &completion.prompt),
        output_tokens,
        priority: ctx.settings.decisions.engine_priority(&caller.limits),
        exclude: Vec::new(),
    }
}

/// Final details of a complete answer.
#[derive(Debug, Clone)]
struct Generated {
    finish_reason: SmolStr,
    usage: Usage,
    /// Prompt tokens found in the engine's prefix cache.
    cached_tokens: u32,
}

/// A complete answer in the form stored for later copies of its request.
#[derive(Serialize, Deserialize)]
struct StoredAnswer {
    text: SmolStr,
    finish: SmolStr,
    prompt_tokens: u32,
    tokens: u32,
}

/// Generates the text for one request and writes it to the caller.
struct TextGeneration {
    completion: CompletionRequest,
    assembly: Assembly,
    response: ResponseWriter,
}

impl TextGeneration {
    /// Returns the request to the engine for the current attempt.
    fn generation(&self, execution: &Execution<'_>) -> Generation {
        let request = &execution.options.request_id;
        Generation {
            request_id: format_smolstr!("{request}-{}", self.assembly.attempt()),
            model: self.completion.model.clone(),
            adapter: self.completion.adapter.clone(),
            prompt: self.completion.prompt.clone(),
            max_tokens: self.completion.max_tokens,
            resume_at: self.assembly.resume_at(),
            priority: execution.demand.priority,
            kv: None,
        }
    }

    /// Writes tokens to the caller. A request that must run at most once continues after its caller
    /// has gone.
    fn deliver(
        &mut self,
        execution: &Execution<'_>,
        tokens: &[SmolStr],
    ) -> Result<(), AttemptError> {
        match self.response.write_tokens(tokens) {
            Err(_) if execution.repeat == Repeat::Allowed => Err(AttemptError::CallerGone),
            Ok(()) | Err(_) => Ok(()),
        }
    }
}

impl Operation for TextGeneration {
    type Output = Generated;

    fn attempt(
        &mut self,
        execution: &Execution<'_>,
        path: &Path,
        ticket: Ticket,
    ) -> Result<Generated, AttemptError> {
        let fleet = &execution.ctx.fleet;
        let mut generation = self.generation(execution);
        if let Some(prefill) = &path.prefill {
            generation.kv = Some(execution.client(prefill)?.prefill(&generation)?);
            fleet.lock_router().record_kv_export(ticket, clock::now());
        }
        let stream = execution.client(&path.target)?.generate(&generation)?;
        let presence = (execution.repeat == Repeat::Allowed).then(|| execution.presence.clone());
        let _guard = execution.ctx.streams.watch(presence, execution.deadline, stream.canceller());
        let attempt = self.assembly.attempt();
        let resumed_at = self.assembly.resume_at();
        for piece in stream {
            let accepted = self.assembly.accept(attempt, piece?);
            match accepted.map_err(|gap| Failure::Broken(gap.to_string()))? {
                Accepted::Nothing => {}
                Accepted::Tokens(tokens) => {
                    if self.assembly.resume_at() == resumed_at + tokens.len() as u32 {
                        fleet.lock_router().record_first_token(ticket, clock::now());
                    }
                    self.deliver(execution, &tokens)?;
                }
                Accepted::End { tokens, cached, finish } => {
                    let usage = Usage::new(execution.demand.prompt_tokens, tokens);
                    return Ok(Generated { finish_reason: finish, usage, cached_tokens: cached });
                }
            }
        }
        Err(AttemptError::Target(Failure::Broken("the stream ended early".to_owned())))
    }

    fn prepare_retry(&mut self) {
        self.assembly.next_attempt();
    }

    fn received_tokens(&self) -> u32 {
        self.assembly.resume_at()
    }

    fn outcome(&self, output: &Generated) -> Outcome {
        Outcome::Done {
            prompt_tokens: output.usage.prompt_tokens,
            cached_tokens: output.cached_tokens,
            output_tokens: output.usage.completion_tokens,
        }
    }

    fn stored_answer(&self, output: &Generated) -> claim::Answer {
        let stored = StoredAnswer {
            text: SmolStr::new(self.response.text()),
            finish: output.finish_reason.clone(),
            prompt_tokens: output.usage.prompt_tokens,
            tokens: output.usage.completion_tokens,
        };
        let body = serde_json::to_vec(&stored).unwrap_or_default();
        claim::Answer { status: 200, headers: Vec::new(), body }
    }

    fn replay(&mut self, answer: claim::Answer) -> Result<Generated, Abort> {
        let Ok(stored) = serde_json::from_slice::<StoredAnswer>(&answer.body) else {
            let message = "the kept answer cannot be read; ask the operators";
            return Err(Refusal::new(Reason::AnswerLost, message).into());
        };
        self.response.write_tokens(&[stored.text]).map_err(|_| Abort::CallerGone)?;
        let usage = Usage::new(stored.prompt_tokens, stored.tokens);
        Ok(Generated { finish_reason: stored.finish, usage, cached_tokens: 0 })
    }
}
