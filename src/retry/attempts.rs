//! Decides after each failed attempt whether to retry the request.

use std::time::Duration;

use crate::{
    clock::Moment,
    id, metric,
    retry::{Budget, Policy},
    target::Failure,
    verdict::{Reason, Verdict},
};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may run again.
    Allowed,
    /// It may not: it is retried only while it certainly did not run.
    Forbidden,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry on a new connection.
    Retry {
        /// Delay before the retry.
        after: Duration,
        /// Reason under which the retry is counted.
        reason: metric::RetryReason,
    },
    /// Give up and answer the caller with this reason.
    GiveUp(Reason),
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    repeat: Repeat,
    deadline: Moment,
    /// Number of the current attempt, from 1.
    current: id::Attempt,
    /// Reason of the latest failed attempt that may have run, if any.
    may_have_run: Option<Reason>,
}

impl Attempts {
    /// Starts the first attempt.
    pub fn new(repeat: Repeat, deadline: Moment) -> Attempts {
        Attempts { repeat, deadline, current: 1, may_have_run: None }
    }

    /// Returns the number of the current attempt, from 1.
    pub fn current(&self) -> id::Attempt {
        self.current
    }

    /// Returns the verdict over all failed attempts: whether any of them may have run.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        }
    }

    /// Records the failure of the current attempt and decides whether to retry. `random` is drawn
    /// uniformly from 0 to 1.
    pub fn record_failure(
        &mut self,
        failure: &Failure,
        now: Moment,
        random: f64,
        policy: &Policy,
        budget: &mut Budget,
    ) -> Decision {
        if failure.verdict() != Verdict::NotRun {
            self.may_have_run = Some(final_reason(failure));
            if self.repeat == Repeat::Forbidden {
                return Decision::GiveUp(final_reason(failure));
            }
        }
        let Some(reason) = retry_reason(failure) else {
            return self.give_up(Reason::NoTarget);
        };
        let after = policy.delay(self.current, random);
        if self.deadline <= now + after {
            return self.past_deadline();
        }
        if policy.max_attempts <= self.current {
            return self.give_up(Reason::NoTarget);
        }
        if !budget.try_take() {
            return self.give_up(Reason::RetryBudget);
        }
        self.current += 1;
        Decision::Retry { after, reason }
    }

    /// Gives up with the reason of an attempt that may have run, or with `not_run` if there is
    /// none.
    pub fn give_up(&self, not_run: Reason) -> Decision {
        Decision::GiveUp(self.may_have_run.unwrap_or(not_run))
    }

    /// Gives up because a retry would start after the deadline.
    fn past_deadline(&self) -> Decision {
        match self.may_have_run {
            Some(_) => Decision::GiveUp(Reason::DeadlineExceeded),
            None => Decision::GiveUp(Reason::NoTarget),
        }
    }
}

/// Returns the reason under which a retry after `failure` is counted; `None` if the call was
/// cancelled, which is not retried.
fn retry_reason(failure: &Failure) -> Option<metric::RetryReason> {
    match failure {
        Failure::Connect(_) => Some(metric::RetryReason::ConnectRefused),
        Failure::Refused(_) => Some(metric::RetryReason::TargetRefused),
        Failure::Broken(_) => Some(metric::RetryReason::TargetFailed),
        Failure::Silent => Some(metric::RetryReason::Silent),
        Failure::Cancelled => None,
    }
}

/// Returns the reason given to the caller when no retry follows a failure that may have run.
fn final_reason(failure: &Failure) -> Reason {
    match failure {
        Failure::Silent => Reason::TargetSilent,
        _ => Reason::TargetFailed,
    }
}
