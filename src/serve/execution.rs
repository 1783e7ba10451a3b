//! One request under way: claim, admission, and attempts until it has its answer.

use std::{thread, time::Duration};

use crate::{
    admit,
    claim::{self, Grant},
    clock,
    clock::Moment,
    crash::{self, Crash, Liveness, Trial},
    event,
    event::Event,
    id,
    link::http_server::CallerPresence,
    retry::{Attempts, Decision, Repeat},
    route::{Demand, Outcome, Path, TargetKind, Ticket},
    serve::{
        Abort, Context, Refusal,
        admission::Permit,
        options::{Caller, Options},
        peers,
        registry::{OpenRequest, RegistryGuard},
    },
    target::{self, Failure},
    verdict::{Reason, Verdict},
};

/// Time after which to come back when no target takes the request.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time between two looks for a target that can go on with a request.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a request whose attempt failed waits for another target.
const RETARGET_TIMEOUT: Duration = Duration::from_secs(2);

/// How an attempt ended without the whole answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The target failed.
    Target(Failure),
    /// The caller went away.
    CallerGone,
}

impl From<Failure> for AttemptError {
    fn from(it: Failure) -> AttemptError {
        AttemptError::Target(it)
    }
}

/// What a request asks of a target, attempt by attempt.
pub(super) trait Operation {
    /// The whole answer.
    type Output;

    /// Runs one attempt to the whole answer.
    fn attempt(
        &mut self,
        execution: &Execution<'_>,
        path: &Path,
        ticket: Ticket,
    ) -> Result<Self::Output, AttemptError>;

    /// Prepares for another attempt.
    fn prepare_retry(&mut self) {}

    /// Returns the tokens that the caller has been given so far.
    fn delivered_tokens(&self) -> u32 {
        0
    }

    /// Returns the outcome of a complete attempt, for the router.
    fn outcome(&self, end: &Self::Output) -> Outcome;

    /// Returns the answer as it is kept for later copies of the request.
    fn stored_answer(&self, end: &Self::Output) -> claim::Answer;

    /// Gives a later copy of the request the kept answer.
    fn replay(&mut self, answer: claim::Answer) -> Result<Self::Output, Abort>;
}

/// One request under way.
pub(super) struct Execution<'a> {
    pub(super) ctx: &'a Context,
    pub(super) caller: &'a Caller,
    pub(super) options: &'a Options,
    pub(super) presence: CallerPresence,
    pub(super) deadline: Moment,
    pub(super) repeat: Repeat,
    pub(super) demand: Demand,
    started: Moment,
    fingerprint: id::Fingerprint,
    attempts: Attempts,
    registration: RegistryGuard<'a>,
}

/// Where an attempt goes.
struct Assignment {
    path: Path,
    ticket: Ticket,
    /// Sole right to the target, for a suspect.
    trial: Option<Trial>,
}

/// One run of a target that an attempt goes to.
struct TargetRun {
    client: target::Client,
    crash: Crash,
}

impl<'a> Execution<'a> {
    /// Creates a job whose time runs from now.
    pub(super) fn new(
        ctx: &'a Context,
        caller: &'a Caller,
        options: &'a Options,
        presence: CallerPresence,
        fingerprint: id::Fingerprint,
        repeat: Repeat,
        demand: Demand,
    ) -> Execution<'a> {
        let started = clock::now();
        let deadline = started + options.time_allowed.unwrap_or(ctx.settings.callers.request_time);
        let attempts = Attempts::new(repeat, deadline);
        let registration = ctx.requests.insert(OpenRequest {
            request_id: options.request_id.clone(),
            customer: caller.customer.clone(),
            plan: caller.plan.clone(),
            model_or_service: demand.model_or_service.clone(),
            target: None,
            attempts: 0,
            arrived: started,
        });
        Execution {
            ctx,
            caller,
            options,
            presence,
            deadline,
            repeat,
            demand,
            started,
            fingerprint,
            attempts,
            registration,
        }
    }

    /// Runs the request to its answer; one that may not repeat and has a key is claimed first.
    pub(super) fn run<O: Operation>(&mut self, operation: &mut O) -> Result<O::Output, Abort> {
        self.caller.check_allowed(&self.demand.model_or_service)?;
        self.check_crash_suspicion()?;
        if self.repeat == Repeat::Forbidden {
            self.ctx.check_unrepeatable_ready()?;
        }
        let Some(key) =
            self.options.idempotency_key.clone().filter(|_| self.repeat == Repeat::Forbidden)
        else {
            return self.run_admitted(operation, None);
        };
        let request = claim::Request {
            customer: self.caller.customer.clone(),
            key,
            fingerprint: self.fingerprint,
        };
        match self.ctx.claims.claim(&request, self.deadline).map_err(Refusal::from)? {
            claim::Outcome::Granted(grant) => self.run_claimed(operation, grant),
            claim::Outcome::Replay(answer) => operation.replay(answer),
        }
    }

    /// Runs a claimed request and settles its claim by what is known at the end.
    fn run_claimed<O: Operation>(
        &mut self,
        operation: &mut O,
        mut grant: Grant,
    ) -> Result<O::Output, Abort> {
        let result = self.run_admitted(operation, Some(&mut grant));
        match &result {
            Ok(end) => grant.finish(operation.stored_answer(end)),
            Err(_) if self.attempts.verdict() == Verdict::NotRun => grant.release(),
            Err(_) => drop(grant),
        }
        result
    }

    fn run_admitted<O: Operation>(
        &mut self,
        operation: &mut O,
        grant: Option<&mut Grant>,
    ) -> Result<O::Output, Abort> {
        let mut permit = self.wait_for_admission()?;
        self.ctx.record_first_attempt(&self.caller.plan);
        let result = self.run_attempts(operation, grant);
        permit.record_cost(self.engine_time(operation.delivered_tokens()));
        if result.is_ok() {
            self.ctx.crashes.record_completion(self.fingerprint);
        }
        result
    }

    /// Waits for admission.
    fn wait_for_admission(&self) -> Result<Permit<'a>, Abort> {
        let now = clock::now();
        let estimate = {
            let mut router = self.ctx.fleet.lock_router();
            router.record_offered(&self.demand, now);
            router.estimate(&self.demand, now)
        };
        let Some(estimate) = estimate else { return Err(self.no_target_refusal().into()) };
        let due = match self.demand.kind {
            TargetKind::Engine => self.started + self.caller.limits.first_token,
            TargetKind::Service => self.deadline,
        };
        let request = admit::Request {
            plan: self.caller.plan.clone(),
            pool: self.demand.model_or_service.clone(),
            cost: estimate.engine_time,
            tokens: self.demand.prompt_tokens.saturating_add(self.demand.output_tokens),
            first_token: estimate.first_token,
            first_token_due: due.min(self.deadline),
            expires: self.deadline,
        };
        Ok(self.ctx.admission.admit(request, self.ctx.fleet.router(), &self.presence)?)
    }

    /// Refuses for want of a target; an unknown name has a reason of its own.
    fn no_target_refusal(&self) -> Refusal {
        let name = &self.demand.model_or_service;
        if !self.ctx.fleet.serves(name, self.demand.kind) {
            return Refusal::new(Reason::UnknownModel, format!("no target serves `{name}`"));
        }
        Refusal::new(Reason::NoTarget, "no target can take the request now")
            .with_retry_after(Some(NO_TARGET_RETRY_AFTER))
    }

    /// Returns the engine time of the prompt and of the tokens given to the caller.
    fn engine_time(&self, tokens: u32) -> Duration {
        let demand = Demand { output_tokens: tokens, ..self.demand.clone() };
        let estimate = self.ctx.fleet.lock_router().estimate(&demand, clock::now());
        estimate.map_or(Duration::ZERO, |it| it.engine_time)
    }

    fn run_attempts<O: Operation>(
        &mut self,
        operation: &mut O,
        mut grant: Option<&mut Grant>,
    ) -> Result<O::Output, Abort> {
        loop {
            let Assignment { path, ticket, trial: _trial } =
                self.assign_target(operation.delivered_tokens())?;
            if let Err(refusal) = self.check_sendable(grant.as_deref_mut()) {
                self.ctx.fleet.record_unsent(ticket);
                return Err(refusal.into());
            }
            let runs = self.target_runs(&path);
            let failure = match self.run_attempt(operation, &path, ticket) {
                Ok(end) => return Ok(end),
                Err(AttemptError::Target(it)) => it,
                Err(AttemptError::CallerGone) => return Err(Abort::CallerGone),
            };
            self.handle_failure(&path, &runs, &failure, operation.delivered_tokens())?;
            operation.prepare_retry();
        }
    }

    /// Checks, right before an attempt, what must still hold of a request that may not repeat.
    fn check_sendable(&self, grant: Option<&mut Grant>) -> Result<(), Refusal> {
        if self.repeat == Repeat::Forbidden {
            self.ctx.check_unrepeatable_ready()?;
        }
        grant.map_or(Ok(()), |it| it.begin_send().map_err(Refusal::from))
    }

    /// Runs one attempt and tells the router what came of it.
    fn run_attempt<O: Operation>(
        &self,
        operation: &mut O,
        path: &Path,
        ticket: Ticket,
    ) -> Result<O::Output, AttemptError> {
        let fleet = &self.ctx.fleet;
        self.registration.record_attempt(&path.target);
        let result = operation.attempt(self, path, ticket);
        let outcome = match &result {
            Ok(end) => operation.outcome(end),
            Err(AttemptError::Target(Failure::Connect(_) | Failure::Broken(_))) => Outcome::Failed,
            Err(AttemptError::Target(Failure::Refused(_))) => Outcome::Refused,
            Err(AttemptError::Target(Failure::Silent)) => Outcome::Silent,
            Err(AttemptError::Target(Failure::Cancelled) | AttemptError::CallerGone) => {
                Outcome::Cancelled
            }
        };
        fleet.record_finished(path, ticket, outcome);
        self.ctx.admission.schedule(fleet.router());
        result
    }

    /// Chooses a target; a suspect runs only where this host tries no other suspect.
    ///
    /// A request that the caller has part of waits for a target until its deadline, and one whose
    /// last target has just failed waits a short time, since targets are set aside after a failure.
    fn assign_target(&mut self, tokens: u32) -> Result<Assignment, Abort> {
        let waiting_since = clock::now();
        loop {
            let suspicion = self.check_crash_suspicion()?;
            let assignment = match suspicion {
                crash::Status::Clear => self.try_assign(&self.demand),
                crash::Status::Suspect | crash::Status::Refused { .. } => self.try_assign_trial(),
            };
            if let Some(assignment) = assignment {
                return Ok(assignment);
            }
            let is_retry = 1 < self.attempts.current();
            let may_wait = is_retry && clock::now() < waiting_since + RETARGET_TIMEOUT;
            let must_wait = 0 < tokens || suspicion != crash::Status::Clear;
            if self.demand.exclude.is_empty() && !may_wait && !must_wait {
                return Err(self.final_refusal(Reason::NoTarget).into());
            }
            if self.demand.exclude.is_empty() {
                self.pause(TARGET_POLL_INTERVAL)?;
            }
            self.demand.exclude.clear();
        }
    }

    fn try_assign(&self, demand: &Demand) -> Option<Assignment> {
        let (path, ticket) = self.ctx.fleet.lock_router().assign(demand, clock::now()).ok()?;
        Some(Assignment { path, ticket, trial: None })
    }

    fn try_assign_trial(&self) -> Option<Assignment> {
        let mut demand = self.demand.clone();
        demand.exclude.extend(self.ctx.crashes.targets_on_trial(self.fingerprint));
        let assignment = self.try_assign(&demand)?;
        match self.ctx.crashes.begin_trial(self.fingerprint, &assignment.path.target) {
            Some(trial) => Some(Assignment { trial: Some(trial), ..assignment }),
            None => {
                self.ctx.fleet.record_unsent(assignment.ticket);
                None
            }
        }
    }

    /// Waits a little, unless the caller has gone or the deadline comes first.
    fn pause(&self, time: Duration) -> Result<(), Abort> {
        if self.is_abandoned() {
            return Err(Abort::CallerGone);
        }
        if self.deadline <= clock::now() + time {
            return Err(self.final_refusal(Reason::Expired).into());
        }
        thread::sleep(time);
        Ok(())
    }

    /// Returns whether the caller has gone from a request that need not be finished.
    pub(super) fn is_abandoned(&self) -> bool {
        self.repeat == Repeat::Allowed && self.presence.is_disconnected()
    }

    /// Gives the final answer for want of a whole one; its verdict covers all attempts.
    fn final_refusal(&self, not_run: Reason) -> Refusal {
        match self.attempts.give_up(not_run) {
            Decision::GiveUp(reason) => self.refusal(reason),
            Decision::Retry { .. } => self.refusal(not_run),
        }
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        let verdict = self.attempts.verdict();
        let retry_after = (verdict == Verdict::NotRun).then_some(NO_TARGET_RETRY_AFTER);
        Refusal::new(reason, "no target gave the whole answer")
            .with_retry_after(retry_after)
            .with_verdict(verdict)
    }

    /// Decides after a failed attempt; returns once another one may start.
    fn handle_failure(
        &mut self,
        path: &Path,
        runs: &[TargetRun],
        failure: &Failure,
        tokens: u32,
    ) -> Result<(), Abort> {
        let now = clock::now();
        let decision = self.ctx.decide_retry(&self.caller.plan, &mut self.attempts, failure, now);
        if self.is_abandoned() {
            return Err(Abort::CallerGone);
        }
        if self.deadline <= now && self.attempts.verdict() == Verdict::MayHaveRun {
            return Err(self.refusal(Reason::DeadlineExceeded).into());
        }
        self.record_crashes(runs, failure)?;
        let (after, reason) = match decision {
            Decision::Retry { after, reason } => (after, reason),
            Decision::GiveUp(reason) => return Err(self.refusal(reason).into()),
        };
        self.ctx.metrics.retried(reason);
        let event = if tokens == 0 { Event::Retried } else { Event::Resumed };
        let (request, target) = (&self.options.request_id, &path.target);
        event!(event, "request {request} goes on at token {tokens} after {target}: {failure}");
        self.demand.exclude.push(path.target.clone());
        self.pause(after)
    }

    /// Refuses a request that has crashed more than one target.
    fn check_crash_suspicion(&self) -> Result<crash::Status, Refusal> {
        self.check_not_refused(self.ctx.crashes.status(self.fingerprint))
    }

    fn check_not_refused(&self, suspicion: crash::Status) -> Result<crash::Status, Refusal> {
        let crash::Status::Refused { remaining } = suspicion else { return Ok(suspicion) };
        Err(Refusal::new(Reason::CrashesTargets, "the request crashed more than one target")
            .with_retry_after(Some(remaining))
            .with_verdict(self.attempts.verdict()))
    }

    /// Returns the runs of the targets that an attempt goes to, as they are before it.
    fn target_runs(&self, path: &Path) -> Vec<TargetRun> {
        let names = [Some(&path.target), path.prefill.as_ref()];
        names.into_iter().flatten().filter_map(|it| self.target_run(it)).collect()
    }

    fn target_run(&self, name: &id::Target) -> Option<TargetRun> {
        let client = self.ctx.fleet.client(name)?;
        let incarnation = self.ctx.fleet.incarnation(name)?;
        Some(TargetRun { client, crash: Crash { target: name.clone(), incarnation } })
    }

    /// Notes the death of any target under this request.
    fn record_crashes(&self, runs: &[TargetRun], failure: &Failure) -> Result<(), Refusal> {
        if failure.verdict() == Verdict::NotRun {
            return Ok(());
        }
        for run in runs {
            if crash::probe(&run.client, run.crash.incarnation) == Liveness::Dead {
                let suspicion = self.ctx.crashes.record_crash(self.fingerprint, run.crash.clone());
                if let crash::Status::Refused { .. } = suspicion {
                    let record = self.ctx.crashes.record(self.fingerprint);
                    peers::announce_crashes(&self.ctx.members, self.fingerprint, record);
                }
                self.check_not_refused(suspicion)?;
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
