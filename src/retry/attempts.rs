//! Decides after each failed attempt whether a request is tried again.

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
    /// It may.
    Allowed,
    /// It may not: it is sent again only while it certainly did not run.
    Forbidden,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try again on a new connection.
    Again {
        /// Time to wait first.
        after: Duration,
        /// What the retry is counted under.
        reason: metric::RetryReason,
    },
    /// Give the request its final answer now.
    GiveUp(Reason),
}

/// The attempts at one request.
#[derive(Debug, Clone)]
pub struct Tries {
    repeat: Repeat,
    deadline: Moment,
    attempt: id::Attempt,
    /// Why the request may have run, from the latest attempt that was not certainly unstarted.
    may_have_run: Option<Reason>,
}

impl Tries {
    /// Starts with the first attempt.
    pub fn new(repeat: Repeat, deadline: Moment) -> Tries {
        Tries { repeat, deadline, attempt: 1, may_have_run: None }
    }

    /// Returns the number of the attempt that is under way.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Returns what is known now: whether any attempt may have run.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        }
    }

    /// Decides after a failed attempt. `random` is drawn evenly from 0 to 1.
    pub fn failed(
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
        let after = policy.delay(self.attempt, random);
        if self.deadline <= now + after {
            return self.past_deadline();
        }
        if policy.attempts <= self.attempt {
            return self.give_up(Reason::NoTarget);
        }
        if !budget.take() {
            return self.give_up(Reason::RetryBudget);
        }
        self.attempt += 1;
        Decision::Again { after, reason }
    }

    /// Gives up for want of a target, with a reason whose verdict fits all attempts.
    pub fn give_up(&self, not_run: Reason) -> Decision {
        Decision::GiveUp(self.may_have_run.unwrap_or(not_run))
    }

    fn past_deadline(&self) -> Decision {
        match self.may_have_run {
            Some(_) => Decision::GiveUp(Reason::DeadlineExceeded),
            None => Decision::GiveUp(Reason::NoTarget),
        }
    }
}

/// Returns what a retry after this failure is counted under; `None` when the caller is gone.
fn retry_reason(failure: &Failure) -> Option<metric::RetryReason> {
    match failure {
        Failure::Connect(_) => Some(metric::RetryReason::ConnectRefused),
        Failure::Refused(_) => Some(metric::RetryReason::TargetRefused),
        Failure::Broken(_) => Some(metric::RetryReason::TargetFailed),
        Failure::Silent => Some(metric::RetryReason::Silent),
        Failure::Cancelled => None,
    }
}

/// Returns the reason given to the caller when this failure, whose request may have run, is final.
fn final_reason(failure: &Failure) -> Reason {
    match failure {
        Failure::Silent => Reason::TargetSilent,
        _ => Reason::TargetFailed,
    }
}
