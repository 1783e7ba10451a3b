//! Takes a job to engines: asks for places, and has the prompt read and the answer generated there.

use std::time::Duration;

use fuchsiaknot_core::{clock, verdict::Reason};

use crate::{
    attempt::{Attempt, Failure, InFlight, Options},
    dispatch::{Placement, Request},
    dispatcher, engine,
    forward::Forwarder,
    prefill,
    registry::Key,
    selection,
    target::Stage,
};

/// Places at the engines that a job was granted.
pub(crate) struct Reservation {
    stage: Stage,
    /// Time to the first event.
    estimate: Duration,
    /// Tokens of the prompt that the reader lacks.
    missing_tokens: u64,
    prefill_engine: InFlight,
    decode_engine: Option<InFlight>,
}

impl Forwarder {
    /// Waits until engines are granted to the job.
    ///
    /// # Errors
    /// Returns why the job is refused.
    pub(crate) async fn reserve_engines(&mut self, resumes: bool) -> Result<Reservation, Reason> {
        let request = self.placement_request(resumes);
        let engines = self.context.state().registry.usable(&request.service).count();
        if engines <= request.avoid.len() {
            return Err(self.no_target_reason());
        }
        let asked = clock::now();
        let outcome = dispatcher::request_placement(&self.context, request).await;
        let waited = clock::now().saturating_sub(asked);
        let waiting = self.context.metrics.latency.with_label_values(&["waiting"]);
        waiting.observe(waited.as_secs_f64());
        let (placement, grant, token_counts) = match outcome {
            dispatcher::Outcome::Granted { grant, placement, queued_tokens, missing_tokens } => {
                (placement, Some(grant), Some((queued_tokens, missing_tokens)))
            }
            dispatcher::Outcome::Refused(ahead) => return Err(self.refused(ahead)),
            dispatcher::Outcome::Unanswered => (self.place_locally(resumes)?, None, None),
        };
        let reservation = self.reserve(placement, token_counts);
        if let Some((dispatcher, number)) = grant {
            self.context.record_grant(&dispatcher, number);
        }
        self.job.prefill_choice.set(Some(placement.prefill_engine));
        Ok(reservation)
    }

    fn placement_request(&self, resumes: bool) -> Request {
        let (job, now) = (&self.job, clock::now());
        let state = self.context.state();
        let paused = state
            .registry
            .usable(&job.service)
            .filter(|(key, _)| self.tried.contains(key) || state.health.is_paused(*key, now));
        let max_wait = match resumes {
            true => engine::MAX_RESUME_WAIT,
            false => engine::max_wait(job.route.latency_objective, job.caller_timeout),
        };
        Request {
            number: rand::random(),
            service: job.service.clone(),
            prompt: job.prompt.clone(),
            priority: job.route.priority,
            objective: job.route.latency_objective,
            elapsed: job.elapsed(),
            max_wait: max_wait.min(job.time_left()),
            resumes,
            avoid: paused.map(|(_, it)| it.id.clone()).collect(),
        }
    }

    /// Places the job without the dispatcher, if that is in time.
    fn place_locally(&mut self, resumes: bool) -> Result<Placement, Reason> {
        let placed =
            selection::place_locally(&self.context.state(), &self.placement_request(resumes));
        match placed {
            Some((placement, starts)) if starts || resumes => Ok(placement),
            Some((placement, _)) => Err(self.refused(placement.prefill_engine.estimate.wait)),
            None => Err(self.refused(Duration::ZERO)),
        }
    }

    fn refused(&mut self, ahead: Duration) -> Reason {
        self.estimated_wait = ahead;
        if self.may_have_run { Reason::TargetFailed } else { Reason::WouldBeLate }
    }

    /// Takes the places; `counts` are the tokens that the reader reads before the prompt, and those of
    /// the prompt that it lacks, as the dispatcher knows them.
    fn reserve(&self, placement: Placement, token_counts: Option<(u64, u64)>) -> Reservation {
        let Placement { prefill_engine, decode_engine } = placement;
        let (missing_tokens, effort) = {
            let (state, prompt) = (self.context.state(), &self.job.prompt);
            let latency_model =
                state.latency_models.get(&self.job.service).copied().unwrap_or_default();
            let missing_tokens = token_counts.map(|(_, it)| it);
            let missing_tokens = missing_tokens
                .unwrap_or_else(|| state.prefix_cache.missing_tokens(prefill_engine.key, prompt));
            (missing_tokens, latency_model.weighted_tokens(prompt, missing_tokens))
        };
        let ticket =
            |key, queued_tokens| InFlight::new(&self.context, &self.job, key, queued_tokens);
        Reservation {
            stage: prefill_engine.stage,
            estimate: prefill_engine.estimate.first_event,
            missing_tokens,
            prefill_engine: ticket(prefill_engine.key, effort)
                .with_tokens_ahead(token_counts.map(|(it, _)| it)),
            decode_engine: decode_engine.map(|key| ticket(key, 0)),
        }
    }

    pub(crate) async fn run_on_engines(
        &mut self,
        reservation: Reservation,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, (Key, Failure)> {
        match reservation.stage {
            Stage::Decode => {
                self.send(
                    reservation.prefill_engine,
                    Options { last_event_id, ..Options::default() },
                )
                .await
            }
            Stage::Prefill => self.run_disaggregated(reservation, last_event_id).await,
        }
    }

    /// Has one engine read the prompt and another generate.
    async fn run_disaggregated(
        &mut self,
        reservation: Reservation,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, (Key, Failure)> {
        let prefill_engine = reservation.prefill_engine.key;
        let prompt = prefill::Task {
            ticket: reservation.prefill_engine,
            estimate: reservation.estimate,
            missing_tokens: reservation.missing_tokens,
        };
        let read = prefill::run(&self.context, &self.job, prompt).await;
        let mut prefilled = read.map_err(|failure| {
            self.tried.push(prefill_engine);
            (prefill_engine, failure.into_prefill_failure())
        })?;
        self.job.prefilled_at.set(Some(clock::now()));
        let no_room =
            || (prefill_engine, Failure::NotSent("no engine has room to generate".to_owned()));
        let decode_engine = reservation.decode_engine.ok_or_else(no_room)?;
        let options = Options { last_event_id, prefilled: Some(&prefilled), head_timeout: None };
        let run = self.send(decode_engine, options).await?;
        prefilled.mark_fetched();
        Ok(run)
    }
}
