//! Takes a job to engines: asks for places, and has the prompt read and the answer generated there.

use std::time::Duration;

use fuchsiaknot_core::{clock, verdict::Reason};

use crate::{
    attempt::{Failure, Options, Run, Ticket},
    desk,
    dispatch::{Ask, Placement},
    engine,
    forward::Forward,
    pick, prefill,
    registry::Key,
    target::Stage,
};

/// Places at the engines that a job was granted.
pub(crate) struct Seats {
    stage: Stage,
    /// Time to the first event.
    estimate: Duration,
    /// Tokens of the prompt that the reader lacks.
    missing: u64,
    reader: Ticket,
    generator: Option<Ticket>,
}

impl Forward {
    /// Waits until engines are granted to the job.
    ///
    /// # Errors
    /// Returns why the job is refused.
    pub(crate) async fn admit(&mut self, resumes: bool) -> Result<Seats, Reason> {
        let ask = self.ask(resumes);
        let engines = self.context.state().registry.usable(&ask.service).count();
        if engines <= ask.avoid.len() {
            return Err(self.no_target());
        }
        let asked = clock::now();
        let outcome = desk::ask(&self.context, ask).await;
        let waited = clock::now().saturating_sub(asked);
        let waiting = self.context.metrics.latency.with_label_values(&["waiting"]);
        waiting.observe(waited.as_secs_f64());
        let (placement, grant, counts) = match outcome {
            desk::Outcome::Granted { grant, placement, waiting, missing } => {
                (placement, Some(grant), Some((waiting, missing)))
            }
            desk::Outcome::Refused(ahead) => return Err(self.refused(ahead)),
            desk::Outcome::Unanswered => (self.place_alone(resumes)?, None, None),
        };
        let seats = self.take_seats(placement, counts);
        if let Some((dispatcher, number)) = grant {
            self.context.record_grant(&dispatcher, number);
        }
        self.job.reader.set(Some(placement.reader));
        Ok(seats)
    }

    fn ask(&self, resumes: bool) -> Ask {
        let (job, now) = (&self.job, clock::now());
        let state = self.context.state();
        let paused = state
            .registry
            .usable(&job.service)
            .filter(|(key, _)| self.tried.contains(key) || state.health.is_paused(*key, now));
        let patience = match resumes {
            true => engine::RESUME_PATIENCE,
            false => engine::patience(job.route.latency_objective, job.deadline),
        };
        Ask {
            number: rand::random(),
            service: job.service.clone(),
            prompt: job.prompt.clone(),
            priority: job.route.priority,
            objective: job.route.latency_objective,
            elapsed: job.elapsed(),
            patience: patience.min(job.time_left()),
            resumes,
            avoid: paused.map(|(_, it)| it.id.clone()).collect(),
        }
    }

    /// Places the job without the dispatcher, if that is in time.
    fn place_alone(&mut self, resumes: bool) -> Result<Placement, Reason> {
        let placed = pick::alone(&self.context.state(), &self.ask(resumes));
        match placed {
            Some((placement, starts)) if starts || resumes => Ok(placement),
            Some((placement, _)) => Err(self.refused(placement.reader.estimate.wait)),
            None => Err(self.refused(Duration::ZERO)),
        }
    }

    fn refused(&mut self, ahead: Duration) -> Reason {
        self.ahead = ahead;
        if self.may_have_run { Reason::TargetFailed } else { Reason::WouldBeLate }
    }

    /// Takes the places; `counts` are the tokens that the reader reads before the prompt, and those of
    /// the prompt that it lacks, as the dispatcher knows them.
    fn take_seats(&self, placement: Placement, counts: Option<(u64, u64)>) -> Seats {
        let Placement { reader, generator } = placement;
        let (missing, effort) = {
            let (state, prompt) = (self.context.state(), &self.job.prompt);
            let times = state.times.get(&self.job.service).copied().unwrap_or_default();
            let missing = counts.map(|(_, it)| it);
            let missing = missing.unwrap_or_else(|| state.cache.missing(reader.key, prompt));
            (missing, times.effort(prompt, missing))
        };
        let ticket = |key, unread| Ticket::new(&self.context, &self.job, key, unread);
        Seats {
            stage: reader.stage,
            estimate: reader.estimate.first_event,
            missing,
            reader: ticket(reader.key, effort).behind(counts.map(|(it, _)| it)),
            generator: generator.map(|key| ticket(key, 0)),
        }
    }

    pub(crate) async fn run_on_engines(
        &mut self,
        seats: Seats,
        last_event: Option<u64>,
    ) -> Result<Run, (Key, Failure)> {
        match seats.stage {
            Stage::Decode => {
                self.send(seats.reader, Options { last_event, ..Options::default() }).await
            }
            Stage::Prefill => self.hand_over(seats, last_event).await,
        }
    }

    /// Has one engine read the prompt and another generate.
    async fn hand_over(
        &mut self,
        seats: Seats,
        last_event: Option<u64>,
    ) -> Result<Run, (Key, Failure)> {
        let reader = seats.reader.key;
        let prompt = prefill::Prompt {
            ticket: seats.reader,
            estimate: seats.estimate,
            missing: seats.missing,
        };
        let read = prefill::read(&self.context, &self.job, prompt).await;
        let mut prefilled = read.map_err(|failure| {
            self.tried.push(reader);
            (reader, failure.before_run())
        })?;
        self.job.read_at.set(Some(clock::now()));
        let no_room = || (reader, Failure::NotSent("no engine has room to generate".to_owned()));
        let generator = seats.generator.ok_or_else(no_room)?;
        let options = Options { last_event, prefilled: Some(&prefilled), limit: None };
        let run = self.send(generator, options).await?;
        prefilled.take();
        Ok(run)
    }
}
