//! Reserves engines for a job, and has them prefill the prompt and generate the answer.

use std::{net::SocketAddr, time::Duration};

use fuchsiaknot_core::{clock, verdict::Reason};

use crate::{
    entry::{forward::Forwarder, prompt::Prompt},
    placement::{
        dispatch::{Placement, Request},
        dispatcher, engine, selection,
    },
    targets::{registry::Key, target::Stage},
    upstream::{
        attempt::{Attempt, Failure, InFlight, Options},
        prefill::{self, Prefilled},
    },
};

/// Engines reserved for a job.
pub(crate) struct Reservation {
    /// Stage that the prefill engine runs.
    stage: Stage,
    /// Expected time to the first event.
    estimate: Duration,
    /// Tokens of the prompt that are not in the prefill engine's prefix cache.
    missing_tokens: u64,
    /// Engine from which the prefill engine first fetches what it lacks.
    source: Option<SocketAddr>,
    /// Load of the prefill engine.
    prefill_in_flight: InFlight,
    /// Load of the decode engine; `None` when the prefill engine also generates, or no other engine
    /// was granted.
    decode_in_flight: Option<InFlight>,
}

impl Forwarder {
    /// Waits until the dispatcher grants engines to the job; places the job locally if the
    /// dispatcher doesn't reply.
    ///
    /// # Errors
    /// Returns the reason when the job is refused.
    pub(crate) async fn reserve_engines(&mut self, resumes: bool) -> Result<Reservation, Reason> {
        if self.exceeds_memory() {
            // No return is worthwhile while the caller waits.
            self.queue_time = self.job.time_left();
            return Err(if self.may_have_run { Reason::TargetFailed } else { Reason::TooLarge });
        }
        let requested_at = clock::now();
        let mut outcome = self.request_placement(resumes).await?;
        if matches!(outcome, dispatcher::Outcome::Unusable) {
            // The engine's notice reached this host while the request was queued.
            outcome = self.request_placement(resumes).await?;
        }
        let waited = clock::now().saturating_sub(requested_at);
        let latency = self.context.metrics.latency.with_label_values(&["waiting"]);
        latency.observe(waited.as_secs_f64());
        let (placement, grant, token_counts) = match outcome {
            dispatcher::Outcome::Granted { grant, placement, queued_tokens, missing_tokens } => {
                (placement, Some(grant), Some((queued_tokens, missing_tokens)))
            }
            dispatcher::Outcome::Refused(queue_time) => return Err(self.refuse(queue_time)),
            dispatcher::Outcome::Unusable | dispatcher::Outcome::Unanswered => {
                (self.place_locally(resumes)?, None, None)
            }
        };
        let reservation = self.reserve(placement, token_counts);
        if let Some((dispatcher, number)) = grant {
            self.context.record_grant(&dispatcher, number);
        }
        self.job.prefill_choice.set(Some(placement.prefill_engine));
        Ok(reservation)
    }

    /// Asks the dispatcher for engines, unless none is left.
    async fn request_placement(&self, resumes: bool) -> Result<dispatcher::Outcome, Reason> {
        let request = self.placement_request(resumes);
        let engine_count = {
            let state = self.context.state();
            let usable = state.registry.usable(&request.service);
            usable.filter(|(_, it)| self.job.allows(it)).count()
        };
        if engine_count <= request.avoid.len() || !self.has_decode_engine() {
            return Err(self.no_target_reason());
        }
        Ok(dispatcher::request_placement(&self.context, request).await)
    }

    /// Returns whether an engine that generates may get the job, now or after a short pause.
    fn has_decode_engine(&self) -> bool {
        let (state, now) = (self.context.state(), clock::now());
        let is_allowed = |key| state.registry.get(key).is_some_and(|it| self.job.allows(it));
        selection::answering(&state, &self.job.service)
            .filter(|key| !self.tried.contains(key) && is_allowed(*key))
            .any(|key| {
                state.availability.may_send(key, now) && state.rate_limits.is_available(key, now)
            })
    }

    fn placement_request(&self, resumes: bool) -> Request {
        let (job, now) = (&self.job, clock::now());
        let state = self.context.state();
        let usable = || state.registry.usable(&job.service).filter(|(_, it)| job.allows(it));
        let is_excluded = |key: &Key| self.tried.contains(key) || !state.is_available(*key, now);
        let is_paused = |key: &Key| state.health.is_paused(*key, now);
        // A paused engine is better than none: it may only have been silent for a moment.
        let none_healthy = usable().all(|(key, _)| is_excluded(&key) || is_paused(&key));
        let avoided =
            usable().filter(|(key, _)| is_excluded(key) || (is_paused(key) && !none_healthy));
        let max_wait = match resumes {
            true => engine::MAX_RESUME_WAIT,
            false => engine::max_wait(job.route.latency_objective, job.caller_timeout),
        };
        Request {
            number: rand::random(),
            service: job.service.clone(),
            prompt: job.prompt.clone(),
            priority: job.priority(),
            objective: job.route.latency_objective,
            elapsed: job.elapsed(),
            max_wait: max_wait.min(job.time_left()),
            resumes,
            avoid: avoided.map(|(_, it)| it.id.clone()).collect(),
            version: job.required_version(),
            account: job.account.as_ref().map(|it| it.name.clone()),
        }
    }

    /// Places the job without the dispatcher, if it should start now or resumes a stream.
    fn place_locally(&mut self, resumes: bool) -> Result<Placement, Reason> {
        let placed =
            selection::place_locally(&self.context.state(), &self.placement_request(resumes));
        match placed {
            Some((placement, should_start)) if should_start || resumes => Ok(placement),
            Some((placement, _)) => Err(self.refuse(placement.prefill_engine.estimate.queue_time)),
            None => Err(self.refuse(Duration::ZERO)),
        }
    }

    /// Returns whether the job needs more memory than an engine of its service has, so that waiting
    /// for one with room is in vain.
    fn exceeds_memory(&self) -> bool {
        let Prompt { tokens, max_output_tokens, .. } = self.job.prompt;
        let capacity = self.context.state().kv_capacity_tokens(&self.job.service);
        capacity < tokens.saturating_add(max_output_tokens)
    }

    fn refuse(&mut self, queue_time: Duration) -> Reason {
        self.queue_time = queue_time;
        if self.may_have_run { Reason::TargetFailed } else { Reason::WouldBeLate }
    }

    /// Counts the job at its engines.
    ///
    /// `token_counts` are the dispatcher's counts at the prefill engine: the tokens queued before
    /// the prompt, and the prompt's tokens that are not in the prefix cache.
    fn reserve(&self, placement: Placement, token_counts: Option<(u64, u64)>) -> Reservation {
        let Placement { prefill_engine, decode_engine, fetch } = placement;
        let source = fetch.and_then(|it| {
            self.context.state().registry.get(it.source).map(|target| target.address)
        });
        let (missing_tokens, weighted_tokens) = {
            let (state, prompt) = (self.context.state(), &self.job.prompt);
            let latency_model =
                state.latency_models.get(&self.job.service).copied().unwrap_or_default();
            let missing_tokens = token_counts.map(|(_, it)| it);
            let missing_tokens = missing_tokens
                .unwrap_or_else(|| state.prefix_cache.missing_tokens(prefill_engine.key, prompt));
            (missing_tokens, latency_model.weighted_tokens(prompt, missing_tokens))
        };
        let in_flight =
            |key, prefill_tokens| InFlight::new(&self.context, &self.job, key, prefill_tokens);
        Reservation {
            stage: prefill_engine.stage,
            estimate: prefill_engine.estimate.first_event,
            missing_tokens,
            source,
            prefill_in_flight: in_flight(prefill_engine.key, weighted_tokens)
                .with_tokens_ahead(token_counts.map(|(it, _)| it)),
            decode_in_flight: decode_engine.map(|key| in_flight(key, 0)),
        }
    }

    /// Reserves engines, and runs the job there if the retry budget can pay for it.
    ///
    /// # Errors
    /// Returns the reason when the job is not sent, and otherwise the engine that failed, and how.
    pub(crate) async fn send_to_engines(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<Result<Attempt, (Key, Failure)>, Reason> {
        if let Some(prefilled) = self.prefilled.take()
            && let Some(in_flight) = self.reserve_decode_engine(&prefilled)
        {
            self.pay_for_attempt(false)?;
            return Ok(self.run_prefilled(prefilled, in_flight, last_event_id).await);
        }
        let resumes = last_event_id.is_some() || self.job.resumed_stream.is_some();
        let reservation = self.reserve_engines(resumes).await?;
        // The part may have been blocked while the job waited.
        if let Some(reason) = self.poison_reason() {
            return Err(reason);
        }
        self.pay_for_attempt(reservation.stage == Stage::Prefill)?;
        Ok(self.run_on_engines(reservation, last_event_id).await)
    }

    /// Counts the job at a decode engine that generates from a prefilled prompt.
    fn reserve_decode_engine(&self, prefilled: &Prefilled) -> Option<InFlight> {
        let request = self.placement_request(false);
        let key = selection::decode_engine(&self.context.state(), &request, prefilled.key())?;
        Some(InFlight::new(&self.context, &self.job, key, 0))
    }

    /// Runs the job on the reserved engines.
    async fn run_on_engines(
        &mut self,
        reservation: Reservation,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, (Key, Failure)> {
        match reservation.stage {
            Stage::Decode => {
                self.send(
                    reservation.prefill_in_flight,
                    Options {
                        last_event_id,
                        part_source: reservation.source,
                        ..Options::default()
                    },
                )
                .await
            }
            Stage::Prefill => self.run_disaggregated(reservation, last_event_id).await,
        }
    }

    /// Has one engine prefill the prompt and another one generate the answer from its KV cache.
    async fn run_disaggregated(
        &mut self,
        reservation: Reservation,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, (Key, Failure)> {
        let prefill_engine = reservation.prefill_in_flight.key;
        let task = prefill::Task {
            in_flight: reservation.prefill_in_flight,
            estimate: reservation.estimate,
            missing_tokens: reservation.missing_tokens,
            source: reservation.source,
        };
        let result = prefill::run(&self.context, &self.job, task).await;
        let prefilled = result.map_err(|failure| {
            self.tried.push(prefill_engine);
            (prefill_engine, failure.into_prefill_failure())
        })?;
        self.job.prefilled_at.set(Some(clock::now()));
        let decode_in_flight =
            reservation.decode_in_flight.or_else(|| self.reserve_decode_engine(&prefilled));
        let Some(decode_in_flight) = decode_in_flight else {
            self.prefilled = Some(prefilled);
            let failure = Failure::NotSent("no decode engine has room".to_owned());
            return Err((prefill_engine, failure));
        };
        self.run_prefilled(prefilled, decode_in_flight, last_event_id).await
    }

    /// Has an engine generate the answer from a prefilled prompt, which is kept for another engine
    /// if this one cannot be reached.
    async fn run_prefilled(
        &mut self,
        mut prefilled: Prefilled,
        in_flight: InFlight,
        last_event_id: Option<u64>,
    ) -> Result<Attempt, (Key, Failure)> {
        let options = Options { last_event_id, prefilled: Some(&prefilled), ..Options::default() };
        let sent = self.send(in_flight, options).await;
        match &sent {
            Ok(_) => prefilled.mark_fetched(),
            Err((_, Failure::NotSent(_))) => self.prefilled = Some(prefilled),
            Err(_) => {}
        }
        sent
    }
}
