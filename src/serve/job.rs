//! One request under way: claim, admission, and attempts until it has its answer.

use std::{thread, time::Duration};

use crate::{
    admit,
    claim::{self, Grant},
    clock,
    clock::Moment,
    crash::{self, Crash, Finding, Suspicion, Trial},
    event,
    event::Event,
    id,
    link::front::Presence,
    retry::{Attempts, Decision, Repeat},
    route::{Demand, Outcome, Path, TargetKind, Ticket},
    serve::{
        Context, Refusal, Stop,
        gate::Permit,
        options::{Caller, Options},
        peers,
        register::{Entry, Registered},
    },
    target::{self, Failure},
    verdict::{Reason, Verdict},
};

/// Time after which to come back when no target takes the request.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
/// Time between two looks for a target that can go on with a request.
const CHOICE_PAUSE: Duration = Duration::from_millis(50);
/// Time that a request whose attempt failed waits for another target.
const RETARGET_TIME: Duration = Duration::from_secs(2);

/// How an attempt ended without the whole answer.
#[derive(Debug)]
pub(super) enum Broken {
    /// The target failed.
    Target(Failure),
    /// The caller went away.
    Gone,
}

impl From<Failure> for Broken {
    fn from(it: Failure) -> Broken {
        Broken::Target(it)
    }
}

/// What a request asks of a target, attempt by attempt.
pub(super) trait Work {
    /// The whole answer.
    type End;

    /// Runs one attempt to the whole answer.
    fn attempt(&mut self, job: &Job<'_>, path: &Path, ticket: Ticket) -> Result<Self::End, Broken>;

    /// Prepares for another attempt.
    fn restart(&mut self) {}

    /// Returns the tokens that the caller has been given so far.
    fn tokens(&self) -> u32 {
        0
    }

    /// Returns the outcome of a complete attempt, for the router.
    fn outcome(&self, end: &Self::End) -> Outcome;

    /// Returns the answer as it is kept for later copies of the request.
    fn kept(&self, end: &Self::End) -> claim::Answer;

    /// Gives a later copy of the request the kept answer.
    fn replay(&mut self, answer: claim::Answer) -> Result<Self::End, Stop>;
}

/// One request under way.
pub(super) struct Job<'a> {
    pub(super) ctx: &'a Context,
    pub(super) caller: &'a Caller,
    pub(super) options: &'a Options,
    pub(super) presence: Presence,
    pub(super) expires: Moment,
    pub(super) repeat: Repeat,
    pub(super) demand: Demand,
    started: Moment,
    fingerprint: id::Fingerprint,
    tries: Attempts,
    registered: Registered<'a>,
}

/// Where an attempt goes.
struct Choice {
    path: Path,
    ticket: Ticket,
    /// Sole right to the target, for a suspect.
    trial: Option<Trial>,
}

/// One run of a target that an attempt goes to.
struct Run {
    client: target::Client,
    crash: Crash,
}

impl<'a> Job<'a> {
    /// Creates a job whose time runs from now.
    pub(super) fn new(
        ctx: &'a Context,
        caller: &'a Caller,
        options: &'a Options,
        presence: Presence,
        fingerprint: id::Fingerprint,
        repeat: Repeat,
        demand: Demand,
    ) -> Job<'a> {
        let started = clock::now();
        let expires = started + options.time.unwrap_or(ctx.settings.callers.request_time);
        let tries = Attempts::new(repeat, expires);
        let registered = ctx.register.enter(Entry {
            request: options.request.clone(),
            customer: caller.customer.clone(),
            plan: caller.plan.clone(),
            asks: demand.model_or_service.clone(),
            target: None,
            attempts: 0,
            arrived: started,
        });
        Job {
            ctx,
            caller,
            options,
            presence,
            expires,
            repeat,
            demand,
            started,
            fingerprint,
            tries,
            registered,
        }
    }

    /// Runs the request to its answer; one that may not repeat and has a key is claimed first.
    pub(super) fn run<W: Work>(&mut self, work: &mut W) -> Result<W::End, Stop> {
        self.caller.may_use(&self.demand.model_or_service)?;
        self.check_suspicion()?;
        if self.repeat == Repeat::Forbidden {
            self.ctx.admits_unrepeatable()?;
        }
        let Some(key) = self.options.key.clone().filter(|_| self.repeat == Repeat::Forbidden)
        else {
            return self.admitted(work, None);
        };
        let request = claim::Request {
            customer: self.caller.customer.clone(),
            key,
            fingerprint: self.fingerprint,
        };
        match self.ctx.claims.claim(&request, self.expires).map_err(Refusal::from)? {
            claim::Outcome::Granted(grant) => self.claimed(work, grant),
            claim::Outcome::Replay(answer) => work.replay(answer),
        }
    }

    /// Runs a claimed request and settles its claim by what is known at the end.
    fn claimed<W: Work>(&mut self, work: &mut W, mut grant: Grant) -> Result<W::End, Stop> {
        let result = self.admitted(work, Some(&mut grant));
        match &result {
            Ok(end) => grant.finish(work.kept(end)),
            Err(_) if self.tries.verdict() == Verdict::NotRun => grant.release(),
            Err(_) => drop(grant),
        }
        result
    }

    fn admitted<W: Work>(
        &mut self,
        work: &mut W,
        grant: Option<&mut Grant>,
    ) -> Result<W::End, Stop> {
        let mut permit = self.enter()?;
        self.ctx.first_try(&self.caller.plan);
        let result = self.attempts(work, grant);
        permit.spent(self.engine_time(work.tokens()));
        if result.is_ok() {
            self.ctx.crashes.completed(self.fingerprint);
        }
        result
    }

    /// Waits for admission.
    fn enter(&self) -> Result<Permit<'a>, Stop> {
        let now = clock::now();
        let estimate = {
            let mut router = self.ctx.fleet.route();
            router.record_offered(&self.demand, now);
            router.estimate(&self.demand, now)
        };
        let Some(estimate) = estimate else { return Err(self.no_target().into()) };
        let due = match self.demand.kind {
            TargetKind::Engine => self.started + self.caller.limits.first_token,
            TargetKind::Service => self.expires,
        };
        let request = admit::Request {
            plan: self.caller.plan.clone(),
            pool: self.demand.model_or_service.clone(),
            cost: estimate.engine_time,
            tokens: self.demand.prompt_tokens.saturating_add(self.demand.output_tokens),
            first_token: estimate.first_token,
            first_token_due: due.min(self.expires),
            expires: self.expires,
        };
        Ok(self.ctx.gate.enter(request, self.ctx.fleet.router(), &self.presence)?)
    }

    /// Refuses for want of a target; an unknown name has a reason of its own.
    fn no_target(&self) -> Refusal {
        let name = &self.demand.model_or_service;
        if !self.ctx.fleet.serves(name, self.demand.kind) {
            return Refusal::new(Reason::UnknownModel, format!("no target serves `{name}`"));
        }
        Refusal::new(Reason::NoTarget, "no target can take the request now")
            .with_retry_after(Some(NO_TARGET_RETRY))
    }

    /// Returns the engine time of the prompt and of the tokens given to the caller.
    fn engine_time(&self, tokens: u32) -> Duration {
        let demand = Demand { output_tokens: tokens, ..self.demand.clone() };
        let estimate = self.ctx.fleet.route().estimate(&demand, clock::now());
        estimate.map_or(Duration::ZERO, |it| it.engine_time)
    }

    fn attempts<W: Work>(
        &mut self,
        work: &mut W,
        mut grant: Option<&mut Grant>,
    ) -> Result<W::End, Stop> {
        loop {
            let Choice { path, ticket, trial: _trial } = self.choose(work.tokens())?;
            if let Err(refusal) = self.may_send(grant.as_deref_mut()) {
                self.ctx.fleet.unsent(ticket);
                return Err(refusal.into());
            }
            let runs = self.runs(&path);
            let failure = match self.attempt(work, &path, ticket) {
                Ok(end) => return Ok(end),
                Err(Broken::Target(it)) => it,
                Err(Broken::Gone) => return Err(Stop::Gone),
            };
            self.failed(&path, &runs, &failure, work.tokens())?;
            work.restart();
        }
    }

    /// Checks, right before an attempt, what must still hold of a request that may not repeat.
    fn may_send(&self, grant: Option<&mut Grant>) -> Result<(), Refusal> {
        if self.repeat == Repeat::Forbidden {
            self.ctx.admits_unrepeatable()?;
        }
        grant.map_or(Ok(()), |it| it.begin_send().map_err(Refusal::from))
    }

    /// Runs one attempt and tells the router what came of it.
    fn attempt<W: Work>(
        &self,
        work: &mut W,
        path: &Path,
        ticket: Ticket,
    ) -> Result<W::End, Broken> {
        let fleet = &self.ctx.fleet;
        self.registered.attempt(&path.target);
        let result = work.attempt(self, path, ticket);
        let outcome = match &result {
            Ok(end) => work.outcome(end),
            Err(Broken::Target(Failure::Connect(_) | Failure::Broken(_))) => Outcome::Failed,
            Err(Broken::Target(Failure::Refused(_))) => Outcome::Refused,
            Err(Broken::Target(Failure::Silent)) => Outcome::Silent,
            Err(Broken::Target(Failure::Cancelled) | Broken::Gone) => Outcome::Cancelled,
        };
        fleet.finished(path, ticket, outcome);
        self.ctx.gate.advance(fleet.router());
        result
    }

    /// Chooses a target; a suspect runs only where this host tries no other suspect.
    ///
    /// A request that the caller has part of waits for a target until its deadline, and one whose
    /// last target has just failed waits a short time, since targets are set aside after a failure.
    fn choose(&mut self, tokens: u32) -> Result<Choice, Stop> {
        let began = clock::now();
        loop {
            let suspicion = self.check_suspicion()?;
            let choice = match suspicion {
                Suspicion::Clear => self.pick(&self.demand),
                Suspicion::Suspect | Suspicion::Refused { .. } => self.pick_trial(),
            };
            if let Some(choice) = choice {
                return Ok(choice);
            }
            let is_retry = 1 < self.tries.current();
            let may_wait = is_retry && clock::now() < began + RETARGET_TIME;
            let must_wait = 0 < tokens || suspicion != Suspicion::Clear;
            if self.demand.exclude.is_empty() && !may_wait && !must_wait {
                return Err(self.give_up(Reason::NoTarget).into());
            }
            if self.demand.exclude.is_empty() {
                self.pause(CHOICE_PAUSE)?;
            }
            self.demand.exclude.clear();
        }
    }

    fn pick(&self, demand: &Demand) -> Option<Choice> {
        let (path, ticket) = self.ctx.fleet.route().assign(demand, clock::now()).ok()?;
        Some(Choice { path, ticket, trial: None })
    }

    fn pick_trial(&self) -> Option<Choice> {
        let mut demand = self.demand.clone();
        demand.exclude.extend(self.ctx.crashes.taken(self.fingerprint));
        let choice = self.pick(&demand)?;
        match self.ctx.crashes.trial(self.fingerprint, &choice.path.target) {
            Some(trial) => Some(Choice { trial: Some(trial), ..choice }),
            None => {
                self.ctx.fleet.unsent(choice.ticket);
                None
            }
        }
    }

    /// Waits a little, unless the caller has gone or the deadline comes first.
    fn pause(&self, time: Duration) -> Result<(), Stop> {
        if self.is_abandoned() {
            return Err(Stop::Gone);
        }
        if self.expires <= clock::now() + time {
            return Err(self.give_up(Reason::Expired).into());
        }
        thread::sleep(time);
        Ok(())
    }

    /// Returns whether the caller has gone from a request that need not be finished.
    pub(super) fn is_abandoned(&self) -> bool {
        self.repeat == Repeat::Allowed && self.presence.is_gone()
    }

    /// Gives the final answer for want of a whole one; its verdict covers all attempts.
    fn give_up(&self, not_run: Reason) -> Refusal {
        match self.tries.give_up(not_run) {
            Decision::GiveUp(reason) => self.refusal(reason),
            Decision::Retry { .. } => self.refusal(not_run),
        }
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        let verdict = self.tries.verdict();
        let retry_after = (verdict == Verdict::NotRun).then_some(NO_TARGET_RETRY);
        Refusal::new(reason, "no target gave the whole answer")
            .with_retry_after(retry_after)
            .with_verdict(verdict)
    }

    /// Decides after a failed attempt; returns once another one may start.
    fn failed(
        &mut self,
        path: &Path,
        runs: &[Run],
        failure: &Failure,
        tokens: u32,
    ) -> Result<(), Stop> {
        let now = clock::now();
        let decision = self.ctx.decide(&self.caller.plan, &mut self.tries, failure, now);
        if self.is_abandoned() {
            return Err(Stop::Gone);
        }
        if self.expires <= now && self.tries.verdict() == Verdict::MayHaveRun {
            return Err(self.refusal(Reason::DeadlineExceeded).into());
        }
        self.note_crashes(runs, failure)?;
        let (after, reason) = match decision {
            Decision::Retry { after, reason } => (after, reason),
            Decision::GiveUp(reason) => return Err(self.refusal(reason).into()),
        };
        self.ctx.metrics.retried(reason);
        let event = if tokens == 0 { Event::Retried } else { Event::Resumed };
        let (request, target) = (&self.options.request, &path.target);
        event!(event, "request {request} goes on at token {tokens} after {target}: {failure}");
        self.demand.exclude.push(path.target.clone());
        self.pause(after)
    }

    /// Refuses a request that has crashed more than one target.
    fn check_suspicion(&self) -> Result<Suspicion, Refusal> {
        self.unless_refused(self.ctx.crashes.check(self.fingerprint))
    }

    fn unless_refused(&self, suspicion: Suspicion) -> Result<Suspicion, Refusal> {
        let Suspicion::Refused { remaining } = suspicion else { return Ok(suspicion) };
        Err(Refusal::new(Reason::CrashesTargets, "the request crashed more than one target")
            .with_retry_after(Some(remaining))
            .with_verdict(self.tries.verdict()))
    }

    /// Returns the runs of the targets that an attempt goes to, as they are before it.
    fn runs(&self, path: &Path) -> Vec<Run> {
        let names = [Some(&path.target), path.prefill.as_ref()];
        names.into_iter().flatten().filter_map(|it| self.run_of(it)).collect()
    }

    fn run_of(&self, name: &id::Target) -> Option<Run> {
        let client = self.ctx.fleet.client(name)?;
        let incarnation = self.ctx.fleet.incarnation(name)?;
        Some(Run { client, crash: Crash { target: name.clone(), incarnation } })
    }

    /// Notes the death of any target under this request.
    fn note_crashes(&self, runs: &[Run], failure: &Failure) -> Result<(), Refusal> {
        if failure.verdict() == Verdict::NotRun {
            return Ok(());
        }
        for run in runs {
            if crash::confirm(&run.client, run.crash.incarnation) == Finding::Died {
                let suspicion = self.ctx.crashes.crashed(self.fingerprint, run.crash.clone());
                if let Suspicion::Refused { .. } = suspicion {
                    let record = self.ctx.crashes.record(self.fingerprint);
                    peers::tell_crashes(&self.ctx.members, self.fingerprint, record);
                }
                self.unless_refused(suspicion)?;
            }
        }
        Ok(())
    }

    /// Returns the client of a target.
    pub(super) fn client(&self, name: &str) -> Result<target::Client, Failure> {
        let client = self.ctx.fleet.client(name);
        client.ok_or_else(|| Failure::Connect("the target has left the host list".to_owned()))
    }
}
