//! Execution of one request: claim, admission, and attempts until the answer is complete.

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

/// Retry delay sent to callers when no target accepts the request.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time between two tries to assign a waiting request to a target.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait for another target after a failed attempt. Requests with tokens received, and those
/// suspected of crashing targets, wait until their deadline.
const RETARGET_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an attempt ended without a complete answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The exchange with the target failed.
    Target(Failure),
    /// The caller went away.
    CallerGone,
}

impl From<Failure> for AttemptError {
    fn from(it: Failure) -> AttemptError {
        AttemptError::Target(it)
    }
}

/// The kind-specific part of a request: how to run an attempt and deliver the answer.
pub(super) trait Operation {
    /// A complete answer.
    type Output;

    /// Runs one attempt until the answer is complete.
    fn attempt(
        &mut self,
        execution: &Execution<'_>,
        path: &Path,
        ticket: Ticket,
    ) -> Result<Self::Output, AttemptError>;

    /// Prepares for another attempt.
    fn prepare_retry(&mut self) {}

    /// Returns the number of answer tokens received so far, over all attempts.
    fn received_tokens(&self) -> u32 {
        0
    }

    /// Returns the outcome of a complete attempt, for the router.
    fn outcome(&self, output: &Self::Output) -> Outcome;

    /// Returns the answer in the form that is stored for later copies of the request.
    fn stored_answer(&self, output: &Self::Output) -> claim::Answer;

    /// Answers a later copy of the request with the stored answer.
    fn replay(&mut self, answer: claim::Answer) -> Result<Self::Output, Abort>;
}

/// A request in execution.
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

/// Targets assigned to an attempt.
struct Assignment {
    path: Path,
    ticket: Ticket,
    /// Reservation of the target, for a request suspected of crashing targets.
    trial: Option<Trial>,
}

/// The incarnation of a target that an attempt is sent to.
struct TargetRun {
    client: target::Client,
    /// Crash to record if this incarnation dies during the attempt.
    crash: Crash,
}

impl<'a> Execution<'a> {
    /// Registers a request, whose deadline counts from now.
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

    /// Runs the request until its answer is complete. A request that must run at most once and has
    /// an idempotency key is claimed first.
    pub(super) fn run<O: Operation>(&mut self, operation: &mut O) -> Result<O::Output, Abort> {
        self.caller.check_allowed(&self.demand.model_or_service)?;
        self.check_crash_status()?;
        if self.repeat == Repeat::Forbidden {
            self.ctx.check_ready_for_unrepeatable()?;
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

    /// Runs a claimed request and settles its claim: with the answer, by releasing it if the
    /// request certainly didn't run, or as unknown.
    fn run_claimed<O: Operation>(
        &mut self,
        operation: &mut O,
        mut grant: Grant,
    ) -> Result<O::Output, Abort> {
        let result = self.run_admitted(operation, Some(&mut grant));
        match &result {
            Ok(output) => grant.finish(operation.stored_answer(output)),
            Err(_) if self.attempts.verdict() == Verdict::NotRun => grant.release(),
            Err(_) => drop(grant),
        }
        result
    }

    /// Runs the request once it is admitted.
    fn run_admitted<O: Operation>(
        &mut self,
        operation: &mut O,
        grant: Option<&mut Grant>,
    ) -> Result<O::Output, Abort> {
        let mut permit = self.wait_for_admission()?;
        self.ctx.record_first_attempt(&self.caller.plan);
        let result = self.run_attempts(operation, grant);
        permit.record_cost(self.engine_time(operation.received_tokens()));
        if result.is_ok() {
            self.ctx.crashes.record_completion(self.fingerprint);
        }
        result
    }

    /// Blocks until the request is admitted.
    fn wait_for_admission(&self) -> Result<Permit<'a>, Abort> {
        let now = clock::now();
        let estimate = {
            let mut router = self.ctx.fleet.lock_router();
            router.record_offered(&self.demand, now);
            router.estimate(&self.demand, now)
        };
        let Some(estimate) = estimate else { return Err(self.no_target_refusal().into()) };
        let first_token_due = match self.demand.kind {
            TargetKind::Engine => self.started + self.caller.limits.first_token,
            TargetKind::Service => self.deadline,
        };
        let request = admit::Request {
            plan: self.caller.plan.clone(),
            pool: self.demand.model_or_service.clone(),
            cost: estimate.engine_time,
            tokens: self.demand.prompt_tokens.saturating_add(self.demand.output_tokens),
            first_token: estimate.first_token,
            first_token_due: first_token_due.min(self.deadline),
            expires: self.deadline,
        };
        Ok(self.ctx.admission.admit(request, self.ctx.fleet.router(), &self.presence)?)
    }

    /// Returns the refusal for a request that no target can accept; unknown names get a reason of
    /// their own.
    fn no_target_refusal(&self) -> Refusal {
        let name = &self.demand.model_or_service;
        if !self.ctx.fleet.serves(name, self.demand.kind) {
            return Refusal::new(Reason::UnknownModel, format!("no target serves `{name}`"));
        }
        Refusal::new(Reason::NoTarget, "no target can take the request now")
            .with_retry_after(Some(NO_TARGET_RETRY_AFTER))
    }

    /// Returns the estimated engine time of the prompt and of `tokens` answer tokens.
    fn engine_time(&self, tokens: u32) -> Duration {
        let demand = Demand { output_tokens: tokens, ..self.demand.clone() };
        let estimate = self.ctx.fleet.lock_router().estimate(&demand, clock::now());
        estimate.map_or(Duration::ZERO, |it| it.engine_time)
    }

    /// Makes attempts until one completes the answer or the request is given up.
    fn run_attempts<O: Operation>(
        &mut self,
        operation: &mut O,
        mut grant: Option<&mut Grant>,
    ) -> Result<O::Output, Abort> {
        loop {
            let Assignment { path, ticket, trial: _trial } =
                self.assign_target(operation.received_tokens())?;
            if let Err(refusal) = self.begin_send(grant.as_deref_mut()) {
                self.ctx.fleet.record_unsent(ticket);
                return Err(refusal.into());
            }
            let runs = self.target_runs(&path);
            let failure = match self.run_attempt(operation, &path, ticket) {
                Ok(output) => return Ok(output),
                Err(AttemptError::Target(it)) => it,
                Err(AttemptError::CallerGone) => return Err(Abort::CallerGone),
            };
            self.handle_failure(&path, &runs, &failure, operation.received_tokens())?;
            operation.prepare_retry();
        }
    }

    /// Checks, right before an attempt, that a request that must run at most once may still be
    /// sent, and marks its claim as sent.
    fn begin_send(&self, grant: Option<&mut Grant>) -> Result<(), Refusal> {
        if self.repeat == Repeat::Forbidden {
            self.ctx.check_ready_for_unrepeatable()?;
        }
        grant.map_or(Ok(()), |it| it.begin_send().map_err(Refusal::from))
    }

    /// Runs one attempt and reports its outcome to the router.
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
            Ok(output) => operation.outcome(output),
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

    /// Waits until the router assigns a target. A request suspected of crashing targets is assigned
    /// only to a target where no other suspect runs.
    ///
    /// A suspect, or a request with `tokens` already received, waits until its deadline. After any
    /// other failed attempt the wait is short, since the router avoids targets for a time after a
    /// failure. A first attempt doesn't wait.
    fn assign_target(&mut self, tokens: u32) -> Result<Assignment, Abort> {
        let waiting_since = clock::now();
        loop {
            let crash_status = self.check_crash_status()?;
            let assignment = match crash_status {
                crash::Status::Clear => self.try_assign(&self.demand),
                crash::Status::Suspect | crash::Status::Refused { .. } => self.try_assign_trial(),
            };
            if let Some(assignment) = assignment {
                return Ok(assignment);
            }
            let is_retry = 1 < self.attempts.current();
            let may_wait = is_retry && clock::now() < waiting_since + RETARGET_TIMEOUT;
            let must_wait = 0 < tokens || crash_status != crash::Status::Clear;
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

    /// Assigns a suspect to a target that it can reserve; `None` if there is none now.
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

    /// Sleeps for `delay`, unless the caller has gone or the deadline would pass.
    fn pause(&self, delay: Duration) -> Result<(), Abort> {
        if self.is_abandoned() {
            return Err(Abort::CallerGone);
        }
        if self.deadline <= clock::now() + delay {
            return Err(self.final_refusal(Reason::Expired).into());
        }
        thread::sleep(delay);
        Ok(())
    }

    /// Returns whether the request may be cancelled: its caller has gone and it is repeatable.
    pub(super) fn is_abandoned(&self) -> bool {
        self.repeat == Repeat::Allowed && self.presence.is_disconnected()
    }

    /// Returns the refusal that ends the request. Its reason is `not_run` if certainly no attempt
    /// ran.
    fn final_refusal(&self, not_run: Reason) -> Refusal {
        match self.attempts.give_up(not_run) {
            Decision::GiveUp(reason) => self.refusal(reason),
            Decision::Retry { .. } => self.refusal(not_run),
        }
    }

    /// Returns a refusal whose verdict covers all attempts.
    fn refusal(&self, reason: Reason) -> Refusal {
        let verdict = self.attempts.verdict();
        let retry_after = (verdict == Verdict::NotRun).then_some(NO_TARGET_RETRY_AFTER);
        Refusal::new(reason, "no target gave the whole answer")
            .with_retry_after(retry_after)
            .with_verdict(verdict)
    }

    /// Handles a failed attempt; returns after the retry delay if another attempt may start.
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
        let (delay, reason) = match decision {
            Decision::Retry { after, reason } => (after, reason),
            Decision::GiveUp(reason) => return Err(self.refusal(reason).into()),
        };
        self.ctx.metrics.count_retry(reason);
        let event = if tokens == 0 { Event::Retried } else { Event::Resumed };
        let (request, target) = (&self.options.request_id, &path.target);
        event!(
            event,
            "retrying request {request} from token {tokens} after target {target} failed: {failure}"
        );
        self.demand.exclude.push(path.target.clone());
        self.pause(delay)
    }

    /// Refuses a request that has crashed more than one target.
    fn check_crash_status(&self) -> Result<crash::Status, Refusal> {
        self.check_not_refused(self.ctx.crashes.status(self.fingerprint))
    }

    /// Returns the crash status, or a refusal if it refuses the request.
    fn check_not_refused(&self, crash_status: crash::Status) -> Result<crash::Status, Refusal> {
        let crash::Status::Refused { remaining } = crash_status else { return Ok(crash_status) };
        Err(Refusal::new(Reason::CrashesTargets, "the request crashed more than one target")
            .with_retry_after(Some(remaining))
            .with_verdict(self.attempts.verdict()))
    }

    /// Returns the current incarnations of the targets that an attempt will be sent to.
    fn target_runs(&self, path: &Path) -> Vec<TargetRun> {
        let names = [Some(&path.target), path.prefill.as_ref()];
        names.into_iter().flatten().filter_map(|it| self.target_run(it)).collect()
    }

    fn target_run(&self, name: &id::Target) -> Option<TargetRun> {
        let client = self.ctx.fleet.client(name)?;
        let incarnation = self.ctx.fleet.incarnation(name)?;
        Some(TargetRun { client, crash: Crash { target: name.clone(), incarnation } })
    }

    /// Records each of these target incarnations that died during the failed attempt.
    ///
    /// # Errors
    /// Refuses the request once it has crashed more than one target; peers are told first.
    fn record_crashes(&self, runs: &[TargetRun], failure: &Failure) -> Result<(), Refusal> {
        if failure.verdict() == Verdict::NotRun {
            return Ok(());
        }
        for run in runs {
            if crash::probe(&run.client, run.crash.incarnation) == Liveness::Dead {
                let crash_status =
                    self.ctx.crashes.record_crash(self.fingerprint, run.crash.clone());
                if let crash::Status::Refused { .. } = crash_status {
                    let record = self.ctx.crashes.record(self.fingerprint);
                    peers::announce_crashes(&self.ctx.members, self.fingerprint, record);
                }
                self.check_not_refused(crash_status)?;
            }
        }
        Ok(())
    }

    /// Returns the client of a target.
    ///
    /// # Errors
    /// Fails if the target is no longer listed.
    pub(super) fn client(&self, name: &str) -> Result<target::Client, Failure> {
        let client = self.ctx.fleet.client(name);
        client.ok_or_else(|| Failure::Connect("the target is no longer listed".to_owned()))
    }
}
